"""A machine of a simulated fleet: its disk, its processes, and the agent while it runs."""

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
"""Of the processes: those that do not end on SIGTERM."""
FLEET_RECORDS = ("book", "orders")
INSTANCE_RECORDS = ("instance", "change")
STORE_KEY = "store"

Disk = dict[Any, Any]
"""Records by (kind, name), and the identity of the store by `STORE_KEY`."""


class KilledError(Exception):
    """The agent dies here, between two of its acts."""

    def __init__(self, machine: "Machine") -> None:
        """Name the machine of the agent."""
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
    """One agent's machine; carries out the acts of the agent's decisions."""

    def __init__(self, world: "World", name: str, instances: list[str]) -> None:
        """Begin with an empty disk and no process."""
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
        """What came while the agent was frozen."""
        self.acts = 0
        """Acts of the agent so far."""
        self.dies_at_act = 0
        """The act at which it dies; 0: none."""

    # -- start and end of the agent

    def start(self) -> None:
        """Start the agent on what its disk has."""
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
        """End the agent; its instances go on."""
        self.coordinator = None
        self.rollouts = None
        self.inbox.clear()

    def replace_store(self) -> None:
        """Take a new identity: others knew a later incarnation, so that the disk has lost votes."""
        assert self.coordinator is not None
        self.coordinator.record.replace_store(self.world.now, f"{self.name}.{self.incarnation}")
        self.disk[STORE_KEY] = self.coordinator.record.store

    def restart(self, fault: str) -> None:
        """Start the agent again after a fault of its disk or process, unless it is back already."""
        if self.coordinator is not None:
            return
        if fault == "old_disk":
            kept = {key: body for key, body in self.disk.items() if not is_fleet_record(key)}
            self.disk = {key: body for key, body in self.old_disk.items() if is_fleet_record(key)} | kept
        elif fault == "no_disk":  # the loss of the instances' records is a case of `test_rollout_model`
            self.disk = {key: body for key, body in self.disk.items() if key[0] in INSTANCE_RECORDS}
        self.start()
        if fault in ("old_disk", "no_disk"):
            self.replace_store()

    def can_act(self) -> bool:
        """Return whether the agent runs and is not frozen."""
        return self.coordinator is not None and self.world.now >= self.frozen_until_ms

    # -- acts of the decisions

    def _act(self) -> None:
        self.acts += 1
        if self.acts == self.dies_at_act:
            raise KilledError(self)

    def save_record(self, kind: str, name: str, record: dict[str, Any] | None) -> None:
        """Write a record to the disk; `None` deletes it.

        Raises:
            OSError: the disk is full.
        """
        self._act()
        if self.disk_full:
            raise OSError("full")
        if record is None:
            self.disk.pop((kind, name), None)
        else:
            self.disk[kind, name] = copy.deepcopy(record)

    def post(self, to: str, kind: str, body: dict[str, Any]) -> bool:
        """Send a message to another agent."""
        self._act()
        self.world.send(self.name, to, kind, body)
        return True

    def spawn(self, name: str, version: str) -> None:
        """Start a process of an instance; one of the version `bad` is never ready."""
        assert name not in self.processes, "a second process of one instance"
        chance = self.world.chance
        ready_at_ms = NEVER_MS
        if version != "bad":
            ready_at_ms = self.world.now + chance.uniform(MIN_START_MS, MAX_START_MS)
        hangs = chance.random() < HANGING_FRACTION
        self._act()
        self.processes[name] = Process(version, ready_at_ms, hangs)

    def terminate(self, name: str) -> None:
        """Let the process drain, once the minimum is checked."""
        self._act()
        self.world.check_minimum(self, name)
        process = self.processes[name]
        process.draining = True
        if not process.hangs:
            process.ends_at_ms = self.world.now + self.world.chance.uniform(MIN_DRAIN_MS, MAX_DRAIN_MS)

    def kill(self, name: str) -> None:
        """End the process at once."""
        self.processes[name].ends_at_ms = self.world.now

    def log_event(self, event: str, **fields: Any) -> None:
        """Add a log event to the history."""
        self.world.history.append({"at": self.world.now, "agent": self.name, "event": event, **fields})

    def report(self, rollouts: set[str]) -> AgentReport:
        """Return what the agent reports of its instances and of the steps of these rollouts."""
        controller = self.rollouts
        assert controller is not None
        return {
            "instances": {
                one.name: {
                    "state": one.state,
                    "unseen": one.awaiting_first_check,
                    "group": one.settings.group,
                    "version": one.running_version or one.version,
                    "declared": "v1",
                    "wanted": one.wanted,
                    "change": owner.id if (owner := controller.rollout_of(one.name)) else "",
                }
                for one in controller.instances.values()
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
        """Return whether an instance's health check is good now."""
        process = self.processes.get(name)
        return process is not None and process.ready_at_ms <= self.world.now and not process.draining

    def tick(self) -> None:
        """End processes, and let the agent act on all that has come."""
        self._end_processes()
        if not self.can_act():
            return
        assert self.rollouts is not None
        assert self.coordinator is not None
        now = self.world.now
        waiting = self.inbox
        self.inbox = []
        for kind, *arguments in waiting:
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
    """Return whether a key of a disk is of the fleet's record or controls, not of the machine's instances."""
    return key != STORE_KEY and key[0] in FLEET_RECORDS
