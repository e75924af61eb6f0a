"""A machine of a simulated fleet: its disk, its processes and its agent."""

import copy
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from vetchford.fleet.coordinator import FleetCoordinator
from vetchford.fleet.fleet_record import founding_record
from vetchford.fleet.fleet_view import AgentReport
from vetchford.fleet.instance import InstanceSettings
from vetchford.fleet.local_steps import begin_step, step_results
from vetchford.fleet.rollout_controller import RolloutController

if TYPE_CHECKING:
    from testkit.simulation.agents import World

STOP_MS = 400.0
READY_MS = 2000.0
NEVER_MS = 1e15
MIN_START_MS = 50
MAX_START_MS = 400
MIN_DRAIN_MS = 10
MAX_DRAIN_MS = 300
HANGING_FRACTION = 0.05
"""Fraction of the processes that do not exit on SIGTERM."""
FLEET_RECORDS = ("book", "orders")
INSTANCE_RECORDS = ("instance", "change")
STORE_KEY = "store"

Disk = dict[Any, Any]
"""Records by (kind, name), and the identity of the store under `STORE_KEY`."""


class KilledError(Exception):
    """The simulated agent is killed between two of its actions."""

    def __init__(self, machine: "Machine") -> None:
        """Create the error for the agent of `machine`."""
        super().__init__(machine.name)
        self.machine = machine


@dataclass(slots=True)
class Process:
    """A process of an instance."""

    version: str
    ready_at_ms: float
    hangs: bool
    ends_at_ms: float = NEVER_MS
    draining: bool = False


class Machine:
    """The machine of one agent; implements the actions that the agent's controllers call."""

    def __init__(self, world: "World", name: str, instances: list[str]) -> None:
        """Create a machine with an empty disk and no process."""
        self.world = world
        self.name = name
        self.instances = instances
        self.disk: Disk = {}
        self.old_disk: Disk = {}
        self.disk_full = False
        self.processes: dict[str, Process] = {}
        self.frozen_until_ms = 0.0
        self.coordinator: FleetCoordinator | None = None
        self.rollouts: RolloutController | None = None
        self.incarnation = 0
        self.inbox: list[tuple[Any, ...]] = []
        """Messages and process exits that came while the agent was frozen."""
        self.actions_done = 0
        """Number of actions of the agent so far."""
        self.killed_at_action = 0
        """Number of the action at which the agent is killed; 0 for none."""

    # -- start and end of the agent

    def start(self) -> None:
        """Start the agent with the records on its disk."""
        self.incarnation += 1
        self.disk.setdefault(STORE_KEY, f"{self.name}.{self.incarnation}")
        self.rollouts = RolloutController(self)
        self.coordinator = FleetCoordinator(
            self,
            self.name,
            self.world.seed,
            self.disk[STORE_KEY],
            founding_record(self.world.names),
            self.world.now,
            self.incarnation,
        )
        for name in self.instances:
            self.rollouts.declare(name, InstanceSettings("pay", STOP_MS, READY_MS), "v1")
        records = sorted((key, body) for key, body in self.disk.items() if key != STORE_KEY)
        for (kind, name), body in records:
            restore = self.rollouts.restore if kind in INSTANCE_RECORDS else self.coordinator.restore
            restore(kind, name, copy.deepcopy(body))
        for name in self.instances:
            process = self.processes.get(name)
            self.rollouts.on_process_found(self.world.now, name, process.version if process else None)

    def stop(self) -> None:
        """Stop the agent; its instances keep running."""
        self.coordinator = None
        self.rollouts = None
        self.inbox.clear()

    def replace_store(self) -> None:
        """Give the store a new identity, as its votes were lost: other agents knew a later incarnation."""
        assert self.coordinator is not None
        self.coordinator.record.replace_store(self.world.now, f"{self.name}.{self.incarnation}")
        self.disk[STORE_KEY] = self.coordinator.record.store

    def restart(self, fault: str) -> None:
        """Start the agent again after a fault of its disk or process, unless it runs already."""
        if self.coordinator is not None:
            return
        if fault == "old_disk":
            kept = {key: body for key, body in self.disk.items() if not is_fleet_record(key)}
            self.disk = {key: body for key, body in self.old_disk.items() if is_fleet_record(key)} | kept
        elif fault == "no_disk":  # `test_rollout_model` covers the loss of instance records
            self.disk = {key: body for key, body in self.disk.items() if key[0] in INSTANCE_RECORDS}
        self.start()
        if fault in ("old_disk", "no_disk"):
            self.replace_store()

    def can_act(self) -> bool:
        """Return whether the agent runs and is not frozen."""
        return self.coordinator is not None and self.world.now >= self.frozen_until_ms

    # -- actions

    def _count_action(self) -> None:
        self.actions_done += 1
        if self.actions_done == self.killed_at_action:
            raise KilledError(self)

    def save_record(self, kind: str, name: str, record: dict[str, Any] | None) -> None:
        """Write a record to the disk; `None` deletes the record.

        Raises:
            OSError: the disk is full.
        """
        self._count_action()
        if self.disk_full:
            raise OSError("full")
        if record is None:
            self.disk.pop((kind, name), None)
        else:
            self.disk[kind, name] = copy.deepcopy(record)

    def post(self, to: str, kind: str, body: dict[str, Any]) -> bool:
        """Send a message to another agent."""
        self._count_action()
        self.world.send(self.name, to, kind, body)
        return True

    def spawn(self, name: str, version: str) -> None:
        """Start the process of an instance; a process of the version `bad` never becomes ready."""
        assert name not in self.processes, f"instance {name} already has a process"
        rng = self.world.rng
        ready_at_ms = NEVER_MS
        if version != "bad":
            ready_at_ms = self.world.now + rng.uniform(MIN_START_MS, MAX_START_MS)
        hangs = rng.random() < HANGING_FRACTION
        self._count_action()
        self.processes[name] = Process(version, ready_at_ms, hangs)

    def terminate(self, name: str) -> None:
        """Check the minimum available and start draining the process."""
        self._count_action()
        self.world.check_minimum(self, name)
        process = self.processes[name]
        process.draining = True
        if not process.hangs:
            process.ends_at_ms = self.world.now + self.world.rng.uniform(MIN_DRAIN_MS, MAX_DRAIN_MS)

    def kill(self, name: str) -> None:
        """End the process at once."""
        self.processes[name].ends_at_ms = self.world.now

    def log_event(self, event: str, **fields: Any) -> None:
        """Add a log event to the history."""
        self.world.history.append({"at": self.world.now, "agent": self.name, "event": event, **fields})

    def report(self, rollouts: set[str]) -> AgentReport:
        """Return the agent's report of its instances and of the steps of these rollouts."""
        controller = self.rollouts
        assert controller is not None
        return {
            "instances": {
                instance.name: {
                    "state": instance.state,
                    "unseen": instance.awaiting_first_check,
                    "group": instance.settings.group,
                    "version": instance.running_version or instance.version,
                    "declared": "v1",
                    "wanted": instance.wanted,
                    "change": owner.id if (owner := controller.rollout_of(instance.name)) else "",
                }
                for instance in controller.instances.values()
            },
            "locals": step_results(controller, rollouts),
            "versions": ["v2", "bad"],
        }

    def begin_step(self, step: Any) -> str:
        """Begin a step of a fleet rollout and return its state."""
        assert self.rollouts is not None
        return begin_step(self.rollouts, self.world.now, step)

    # -- time

    def serves(self, name: str) -> bool:
        """Return whether an instance is ready and not draining."""
        process = self.processes.get(name)
        return process is not None and process.ready_at_ms <= self.world.now and not process.draining

    def tick(self) -> None:
        """End the processes that are due, and run the agent with the messages and exits received."""
        self._end_processes()
        if not self.can_act():
            return
        assert self.rollouts is not None
        assert self.coordinator is not None
        now = self.world.now
        received = self.inbox
        self.inbox = []
        for kind, *arguments in received:
            if kind != "exited":
                self.coordinator.receive(now, *arguments)
            elif arguments[0] not in self.processes:
                self.rollouts.on_process_exit(now, arguments[0], None)
        for name in self.instances:
            if name in self.processes:
                self.rollouts.on_health_check(now, name, self.serves(name))
        self.rollouts.on_tick(now)
        self.coordinator.tick(now)

    def _end_processes(self) -> None:
        now = self.world.now
        for name, process in list(self.processes.items()):
            if process.ends_at_ms > now:
                continue
            del self.processes[name]
            if self.rollouts is not None and now >= self.frozen_until_ms:
                self.rollouts.on_process_exit(now, name, 0)
            else:
                self.inbox.append(("exited", name))


def is_fleet_record(key: Any) -> bool:
    """Return whether a disk key belongs to the fleet's record or controls, not to the machine's instances."""
    return key != STORE_KEY and key[0] in FLEET_RECORDS
