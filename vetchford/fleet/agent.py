"""The agent: owns the processes of its instances and carries out the decisions of the rollout controller.

An actor with a mailbox: its thread makes the decisions and writes the store. Other threads wait for processes
to exit, check health (with a thread pool) and serve tools. Instances keep running when the agent ends; the
next agent adopts them.
"""

import contextlib
import fcntl
import os
import signal
import time
import uuid
from collections.abc import Callable
from typing import IO, TYPE_CHECKING, Any

import structlog

from vetchford.fleet import supervisor
from vetchford.fleet.agent_messages import EncodedReply
from vetchford.fleet.agent_requests import RequestHandler
from vetchford.fleet.agent_settings import AgentSettings, PeerSettings
from vetchford.fleet.health_checker import HealthChecker, is_ready
from vetchford.fleet.history_store import Store, StoreError
from vetchford.fleet.process_table import read_memory_kb
from vetchford.fleet.process_watcher import ProcessWatcher
from vetchford.fleet.rollout_controller import RolloutController
from vetchford.runtime.actor import Actor
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics

if TYPE_CHECKING:
    from vetchford.fleet.coordinator_adapter import CoordinatorAdapter

log = structlog.get_logger()

# Kind and name of the stored record that holds the agent's token.
AGENT_RECORD_KIND = "agent"
TOKEN_NAME = "token"

TICK_INTERVAL_S = 0.05  # between checks of deadlines: SIGKILL is sent at most this late
LIMITS_CHECK_INTERVAL_S = 2.0  # between checks of log sizes and memory, which grow over minutes


class Agent(Actor):
    """The agent's actor; implements `RolloutActions`. Methods run on its thread unless they say otherwise."""

    def __init__(self, settings: AgentSettings, metrics: Metrics) -> None:
        """Open the store and adopt the instances that are running. Raises StoreError, OSError."""
        super().__init__("agent", metrics)
        self.settings = settings
        os.makedirs(settings.logs, exist_ok=True)
        self.store_lock = lock_store(settings.store)
        self.store = Store(settings.store)
        self.controller = RolloutController(self)
        self.processes: dict[str, supervisor.Process] = {}  # by instance name; removed when they exit
        self.next_tick_s = 0.0  # monotonic
        self.next_limits_check_s = 0.0  # monotonic
        self.watcher = ProcessWatcher(self.processes, self.report_exit)
        self.health_checker = HealthChecker(metrics, self.processes, self.check_health)
        self.token = self.restore()
        self.adopt_processes()
        self.requests = RequestHandler(settings, self.controller, self.store, self.processes, self.now)
        self.coordinator = self.join_fleet(settings.peers) if settings.peers else None
        self.requests.coordination = self.coordinator

    def now(self) -> float:
        """Return the monotonic time in ms that all deadlines use."""
        return clock.now_ms()

    # -- start-up

    def restore(self) -> str:
        """Restore the controller from the store; return the token that marks the agent's processes."""
        records = self.store.records()
        token = next((body["token"] for kind, _, body in records if kind == AGENT_RECORD_KIND), None)
        if token is None:
            token = uuid.uuid4().hex
            self.store.put(AGENT_RECORD_KIND, TOKEN_NAME, {"token": token})
        for name, definition in self.settings.instances.items():
            self.controller.declare(name, definition.instance_settings(), definition.version)
        for kind, name, body in records:
            self.controller.restore(kind, name, body)
        self.controller.fail_rollouts_without_settings()
        return str(token)

    def adopt_processes(self) -> None:
        """Adopt the processes that an earlier agent started; report each instance to the controller."""
        adopted = supervisor.adopt_processes(self.token, self.settings.instances)
        for name in self.settings.instances:
            found = adopted.get(name)
            if found is not None:
                self.processes[name] = found.process
            self.controller.on_process_found(self.now(), name, found.version if found is not None else None)

    def join_fleet(self, peers: PeerSettings) -> "CoordinatorAdapter":
        """Return this agent's coordinator in its fleet. Raises OSError if its address cannot be bound."""
        from vetchford.fleet.coordinator_adapter import CoordinatorAdapter  # only for agents in a fleet

        return CoordinatorAdapter(self, self, peers, self.metrics)

    # -- actions of the rollout controller

    def save_record(self, kind: str, name: str, record: dict[str, Any] | None) -> None:
        """Write a record to the store; None deletes it. Raises OSError if the write fails."""
        self.store.put(kind, name, record)

    def spawn(self, name: str, version: str) -> None:
        """Start the process of an instance."""
        command = self.settings.command_of(name, version)
        if command is None:
            self.post(self.on_spawn_failed, name, f"no command for version {version}")
            return
        definition = self.settings.instances[name]
        options = supervisor.StartOptions(
            self.token, definition.environment, self.log_path(name), definition.descriptors
        )
        try:
            self.processes[name] = supervisor.start_process(command, name, version, options)
        except OSError as problem:
            self.post(self.on_spawn_failed, name, str(problem))
            return
        self.watcher.wake()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to the process of an instance, if there is one."""
        if name in self.processes:
            self.processes[name].signal(signal.SIGTERM)

    def kill(self, name: str) -> None:
        """Send SIGKILL to the session of an instance's process, if there is one."""
        if name in self.processes:
            self.processes[name].kill()

    def log_event(self, event: str, **fields: Any) -> None:
        """Write a log event."""
        log.info(event, **fields)

    # -- actor

    def run(self) -> None:
        """Start the other threads, then process the mailbox."""
        if self.coordinator is not None:
            self.coordinator.start()
        self.watcher.start()
        self.health_checker.start()
        super().run()

    def next_timeout(self) -> float | None:
        """Return the seconds until the next tick."""
        return max(0.0, self.next_tick_s - time.monotonic())

    def on_idle(self) -> None:
        """Run the periodic work that is due."""
        if time.monotonic() >= self.next_tick_s:
            self.next_tick_s = time.monotonic() + TICK_INTERVAL_S
            self.controller.on_tick(self.now())
            if self.coordinator is not None:
                self.coordinator.tick()
        if time.monotonic() >= self.next_limits_check_s:
            self.next_limits_check_s = time.monotonic() + LIMITS_CHECK_INTERVAL_S
            self.rotate_logs()
            self.check_memory()

    def on_spawn_failed(self, name: str, reason: str) -> None:
        """Report to the controller that the process of an instance could not be started."""
        self.controller.on_spawn_failed(self.now(), name, reason)

    # -- process exits and health checks

    def report_exit(self, name: str, process: supervisor.Process) -> None:
        """Post to the agent's thread that a process has exited. Called on the watcher's thread."""
        self.post(self.on_exit, name, process)

    def on_exit(self, name: str, process: supervisor.Process) -> None:
        """Reap a process that has exited and report its exit status to the controller."""
        if self.processes.get(name) is process:
            del self.processes[name]
            self.controller.on_process_exit(self.now(), name, process.reap())

    def check_health(self, name: str, process: supervisor.Process) -> None:
        """Check whether an instance is serving. Called on a thread of the health checker's pool."""
        healthy = is_ready(self.settings.instances[name].listen)
        if self.processes.get(name) is process:
            self.post(self.on_health_check, name, process, healthy)

    def on_health_check(self, name: str, process: supervisor.Process, healthy: bool) -> None:
        """Report a check's result to the controller, unless the checked process has exited since."""
        if self.processes.get(name) is process:
            self.controller.on_health_check(self.now(), name, healthy)

    # -- limits

    def log_path(self, name: str) -> str:
        """Return the path of the log file that receives the output of an instance."""
        return os.path.join(self.settings.logs, f"{name}.log")

    def rotate_logs(self) -> None:
        """Rotate the logs that exceed their size limit."""
        for name, definition in self.settings.instances.items():
            supervisor.rotate_log(self.log_path(name), definition.log_mb << 20)

    def check_memory(self) -> None:
        """Pause the active rollouts if an instance exceeds its memory limit."""
        for name, process in self.processes.items():
            limit_mb = self.settings.instances[name].memory_mb
            if limit_mb is not None and read_memory_kb(process.pid) > limit_mb << 10:
                self.pause_rollouts(f"{name} takes over {limit_mb} MB")

    def pause_rollouts(self, reason: str) -> None:
        """Pause all active rollouts."""
        for rollout in self.controller.rollouts.values():
            if rollout.active:
                with contextlib.suppress(OSError):  # the rollout is paused even if the store cannot record it
                    self.controller.pause(rollout.id, reason)

    # -- tools

    def submit_request(self, request: Any, reply: Callable[[EncodedReply], None]) -> None:
        """Pass a tool's request to the agent's thread, which calls `reply` once. Any thread may call this."""
        self.post(self.requests.handle, request, reply)


def lock_store(path: str) -> IO[str]:
    """Lock a store until this process ends; return the lock file. Raises StoreError if it is locked."""
    lock_file = open(path + ".lock", "a")  # noqa: SIM115
    try:
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        raise StoreError(path, "another agent has it open; stop that agent or change 'store'") from None
    return lock_file
