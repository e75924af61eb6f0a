"""A simulation of agents in virtual time: real decisions, with simulated processes, disks, links and faults.

`World` is the reference model: it knows which processes run and serve, checks each drain against the minimum
available, and keeps one history that `violations` checks. The same seed gives the same history.
"""

import copy
import heapq
import random
from collections.abc import Callable, Sequence
from typing import Any

from testkit.simulation.agent_faults import FAULTS, FaultInjector
from testkit.simulation.agent_history import Event, find_violations
from testkit.simulation.agent_machine import KilledError, Machine
from vetchford.fleet.consensus import Role
from vetchford.fleet.fleet_record import ENDED_STATES
from vetchford.fleet.rollout import RefusedError

TICK_INTERVAL_MS = 100.0
DETECTION_TIME_MS = 3000.0
"""Time within which agents must detect a failed instance.

Until then a failed instance still counts as available, as agents cannot know of the failure.
"""
RESTART_DELAY_MS = 1000.0
DUPLICATE_FRACTION = 0.02
MIN_DELAY_MS = 1.0
MAX_DELAY_MS = 15.0
MIN_SLOW_DELAY_MS = 200.0
MAX_SLOW_DELAY_MS = 2500.0
START_BATCH = 100
START_TIMEOUT_MS = 60_000.0
ELECTION_TIMEOUT_MS = 30_000.0
REPORT_DELAY_MS = 2000.0
"""Time until the reports show the outcome of a rollout."""

PLAYER_SEED_OFFSET = 77
MIN_FAULT_GAP_MS = 100
MAX_FAULT_GAP_MS = 4000
CONTROL_FRACTION = 0.15
"""Probability that a pause or resume follows a fault, and that a repeated request follows."""
SETTLE_MS = 3000.0
HEALED_ROUNDS = 30
HEALED_ROUND_MS = 10_000.0
RESUME_AFTER_ROUNDS = 3


class World:
    """Virtual time, the network between the agents, and the checks of the invariants."""

    def __init__(self, seed: int, agents: int = 5, instances: int = 4, minimum_available: int = 0) -> None:
        """Start all agents without instances.

        Args:
            seed: determines the whole simulation.
            agents: number of agents, named a0, a1, ...
            instances: number of instances of each agent, named n0, n1, ...
            minimum_available: number of instances that a rollout must leave serving.
        """
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.names = [f"a{number}" for number in range(agents)]
        self.machines = {
            name: Machine(self, name, [f"n{number}" for number in range(instances)]) for name in self.names
        }
        self.queue: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.event_count = 0
        self.history: list[Event] = []
        self.minimum_available = minimum_available
        self.cut: set[tuple[str, str]] = set()
        """Links (source, target) that deliver no message."""
        self.loss: dict[tuple[str, str], float] = {}
        """Fraction of messages lost, by link."""
        self.slow: set[tuple[str, str]] = set()
        self.sent = 0
        self.failed_at_ms: dict[tuple[str, str, float], float] = {}
        """Time of each failure by (agent, instance, time)."""
        self.minimum_violations: list[str] = []
        self.injector = FaultInjector(self)
        self.faults = self.injector.counts
        self.at(0.0, self._tick)
        for machine in self.machines.values():
            machine.start()

    # -- time and links

    def at(self, when_ms: float, act: Callable[..., Any], *arguments: Any) -> None:
        """Schedule `act` at the virtual time `when_ms`."""
        self.event_count += 1
        heapq.heappush(self.queue, (when_ms, self.event_count, act, arguments))

    def run(self, until_ms: float, stop: Callable[[], bool] = lambda: False) -> bool:
        """Run until this time or until `stop()` is true; return whether `stop()` is true."""
        while self.queue and self.queue[0][0] <= until_ms and not stop():
            self.now, _, act, arguments = heapq.heappop(self.queue)
            self._run_guarded(act, *arguments)
        return stop()

    def _run_guarded(self, act: Callable[..., Any], *arguments: Any) -> None:
        try:
            act(*arguments)
        except KilledError as killed:
            killed.machine.stop()
            self.at(self.now + RESTART_DELAY_MS, killed.machine.restart, "kill")

    def _tick(self) -> None:
        for machine in self.machines.values():
            self.at(self.now, machine.tick)
        self.at(self.now + TICK_INTERVAL_MS, self._tick)

    def send(self, sender: str, to: str, kind: str, body: dict[str, Any]) -> None:
        """Send a message, unless the network loses it."""
        self.sent += 1
        link = (sender, to)
        if link in self.cut or self.rng.random() < self.loss.get(link, 0.0):
            return
        copies = 2 if self.rng.random() < DUPLICATE_FRACTION else 1
        for _ in range(copies):
            slow_ms = self.rng.uniform(MIN_SLOW_DELAY_MS, MAX_SLOW_DELAY_MS) if link in self.slow else 0.0
            arrives_at_ms = self.now + self.rng.uniform(MIN_DELAY_MS, MAX_DELAY_MS) + slow_ms
            self.at(arrives_at_ms, self._deliver, sender, to, kind, copy.deepcopy(body))

    def _deliver(self, sender: str, to: str, kind: str, body: dict[str, Any]) -> None:
        machine = self.machines.get(to)
        if machine is None or machine.coordinator is None:
            return
        if self.now < machine.frozen_until_ms:
            machine.inbox.append(("message", sender, kind, body))
        else:
            machine.coordinator.receive(self.now, sender, kind, body)

    # -- invariants

    def serving(self) -> int:
        """Return the number of instances that serve."""
        return sum(machine.serves(name) for machine in self.machines.values() for name in machine.instances)

    def check_minimum(self, machine: Machine, name: str) -> None:
        """Check that enough other instances serve, counting those whose failure agents cannot know of yet."""
        assert machine.rollouts is not None
        owner = machine.rollouts.rollout_of(name)
        if owner is None or not machine.serves(name):
            return
        undetected = sum(self.now - at_ms <= DETECTION_TIME_MS for at_ms in self.failed_at_ms.values())
        left = self.serving() - 1 + undetected
        self.history.append(
            {"at": self.now, "agent": machine.name, "event": "taken_out", "name": name, "left": left}
        )
        if left < self.minimum_available:
            self.minimum_violations.append(
                f"at {self.now:.0f} ms draining {name}@{machine.name} left {left} serving, "
                f"minimum {self.minimum_available}"
            )

    def violations(self) -> list[str]:
        """Return the violations found in the history and by the checks of the minimum, one text each."""
        return self.minimum_violations + find_violations(self.history)

    def instance_failed(self, agent: str, instance: str) -> None:
        """Record that an instance fails at the current time."""
        self.failed_at_ms[agent, instance, self.now] = self.now

    # -- faults

    def fault(self, kind: str, name: str) -> None:
        """Inject a fault at an agent; the fault ends after a random time."""
        self.injector.inject(kind, name)

    def heal(self) -> None:
        """End all faults."""
        self.cut.clear()
        self.loss.clear()
        self.slow.clear()
        for machine in self.machines.values():
            machine.frozen_until_ms = 0.0
            machine.disk_full = False
            if machine.coordinator is None:
                machine.start()

    # -- requests of the command-line tool

    def request(self, agent: str, ask: str, **fields: Any) -> list[dict[str, Any]]:
        """Send a request to an agent and return the list to which the reply is appended."""
        replies: list[dict[str, Any]] = []
        machine = self.machines[agent]
        if machine.coordinator is None or not machine.can_act():
            return replies
        request = {"ask": ask, **fields}
        try:
            self._run_guarded(machine.coordinator.request, self.now, request, replies.append)
        except RefusedError as problem:
            replies.append({"refused": str(problem)})
        return replies

    def request_rollout(
        self, name: str, id: str, kind: str, targets: list[str] | None = None, **fields: Any
    ) -> list[dict[str, Any]]:
        """Ask an agent for a fleet rollout over these instances, by default all."""
        rollout = {
            "id": id,
            "kind": kind,
            "targets": targets or self._all_instances(),
            "version": "",
            "batch": 1,
            "floor": 0,
            "spacing": 0.0,
            "soak": 200.0,
            "on_failure": "pause",
            **fields,
        }
        return self.request(name, "span", change=rollout)

    def _all_instances(self) -> list[str]:
        return [f"{name}@{machine.name}" for machine in self.machines.values() for name in machine.instances]

    def find_rollout(self, id: str) -> Any:
        """Return the newest copy of a fleet rollout as the record encodes it; `None` if no agent has one."""
        records = [
            machine.coordinator.record
            for machine in self.machines.values()
            if machine.coordinator is not None
        ]
        copies = [
            (record.version, record.body["spans"][id]) for record in records if id in record.body["spans"]
        ]
        return max(copies, key=lambda entry: entry[0])[1] if copies else None

    def has_ended(self, id: str) -> bool:
        """Return whether a fleet rollout has ended."""
        rollout = self.find_rollout(id)
        return rollout is not None and rollout["state"] in ENDED_STATES

    def start_instances(self) -> None:
        """Start all instances by a rollout and run until they serve."""
        self.wait_for_leader()
        self.request_rollout(self.names[0], "up", "start", batch=START_BATCH)
        ended = self.run(self.now + START_TIMEOUT_MS, lambda: self.has_ended("up"))
        assert ended, self.find_rollout("up")
        self.run(self.now + REPORT_DELAY_MS)
        assert self.serving() == len(self._all_instances())

    def wait_for_leader(self) -> None:
        """Run until an agent leads."""
        assert self.run(self.now + ELECTION_TIMEOUT_MS, self._has_leader)

    def _has_leader(self) -> bool:
        return any(
            machine.coordinator is not None and machine.coordinator.record.role == Role.LEADER
            for machine in self.machines.values()
        )


class Player:
    """Plays one rollout with faults, pauses, resumes and repeated requests."""

    ROLLOUT = "r1"

    def __init__(self, world: World, minimum_available: int) -> None:
        """Draw the batch size and failure policy of the rollout."""
        self.world = world
        self.rng = random.Random(world.seed + PLAYER_SEED_OFFSET)
        batch = self.rng.choice((1, 3, 6))
        on_failure = self.rng.choice(("pause", "go_on", "back"))
        self.options: dict[str, Any] = {
            "version": "v2",
            "floor": minimum_available,
            "batch": batch,
            "on_failure": on_failure,
        }

    def request_rollout(self) -> None:
        """Request the rollout from a random agent; a repeated request changes nothing."""
        self.world.request_rollout(self._any_agent(), self.ROLLOUT, "roll", **self.options)

    def _any_agent(self) -> str:
        return self.rng.choice(self.world.names)

    def play_faults(self, count: int, faults: Sequence[str]) -> None:
        """Inject faults, with pauses, resumes and repeated requests between them."""
        for _ in range(count):
            self.world.run(self.world.now + self.rng.uniform(MIN_FAULT_GAP_MS, MAX_FAULT_GAP_MS))
            self.world.fault(self.rng.choice(faults), self._any_agent())
            draw = self.rng.random()
            if draw < CONTROL_FRACTION:
                agent = self._any_agent()
                self.world.request(agent, self.rng.choice(("pause", "resume")), id=self.ROLLOUT)
            elif draw < 2 * CONTROL_FRACTION:
                self.request_rollout()

    def finish(self) -> None:
        """Run a world without faults until the rollout has ended; resume the rollout if it is paused."""
        for round_number in range(HEALED_ROUNDS):
            if self.world.run(self.world.now + HEALED_ROUND_MS, lambda: self.world.has_ended(self.ROLLOUT)):
                return
            rollout = self.world.find_rollout(self.ROLLOUT)
            if rollout is None:
                self.request_rollout()
            elif rollout["state"] == "paused" or round_number > RESUME_AFTER_ROUNDS:
                for name in self.world.names:
                    self.world.request(name, "resume", id=self.ROLLOUT)


def run_schedule(
    seed: int,
    count: int = 8,
    minimum_available: int = 14,
    faults: Sequence[str] = FAULTS,
    agents: int = 5,
) -> World:
    """Run a rollout with `count` faults, end all faults, and return the world at the end."""
    world = World(seed, agents=agents, minimum_available=minimum_available)
    world.start_instances()
    player = Player(world, minimum_available)
    player.request_rollout()
    player.play_faults(count, faults)
    world.run(world.now + SETTLE_MS)
    world.heal()
    player.finish()
    world.run(world.now + SETTLE_MS)
    return world
