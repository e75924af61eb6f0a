"""Seeded schedules of faults for a cluster of agents."""

import heapq
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from testkit.faults.process_cluster import ProcessCluster
from testkit.faults.relay import Link

MAX_CLOCK_OFFSET_S = 86_400.0
MIN_CLOCK_RATE = 0.9
MAX_CLOCK_RATE = 1.1
SIDE_FRACTION = 0.25
"""Probability that another agent is on the same side of a partition."""
MIN_DURATION_S = 0.5
MAX_DURATION_S = 5.0


class FaultKind(StrEnum):
    """Faults of a schedule: link faults as in `relay`, then agent faults.

    A schedule draws members by position: reordering them changes the schedule of every seed.
    """

    CUT = "cut"
    ONE_WAY = "one_way"
    STALL = "stall"
    SLOW = "slow"
    LOSE = "lose"
    DOUBLE = "double"
    REORDER = "reorder"
    TORN = "torn"
    FREEZE = "freeze"
    KILL = "kill"
    OLD_STORE = "old_store"


AGENT_FAULTS = frozenset({FaultKind.FREEZE, FaultKind.KILL, FaultKind.OLD_STORE})


@dataclass(frozen=True, slots=True)
class FaultStep:
    """A fault of an agent or its links that begins `at_s` after the start and ends `duration_s` later."""

    at_s: float
    kind: FaultKind
    agent: str
    side: frozenset[str]
    duration_s: float


class FaultSchedule:
    """Faults drawn before any process runs, so that the same seed gives the same schedule.

    `clocks` has the offset and rate of each agent's clock, in the format of `runtime/clock.py`.
    """

    def __init__(self, names: list[str], seed: int, seconds: float, count: int) -> None:
        """Draw the schedule.

        Args:
            names: of the agents.
            seed: determines the whole schedule.
            seconds: duration within which faults begin.
            count: the number of faults.
        """
        rng = random.Random(seed)
        self.clocks = {name: _draw_clock(rng) for name in names}
        times = sorted(rng.uniform(0.0, seconds) for _ in range(count))
        self.steps = [_draw_step(rng, names, at_s) for at_s in times]

    def play(self, cluster: ProcessCluster) -> dict[str, int]:
        """Inject the faults and end them all; return how often each was injected."""
        return _Playback(cluster, self.steps).run()


def _draw_clock(rng: random.Random) -> str:
    offset_s = rng.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S)
    rate = rng.uniform(MIN_CLOCK_RATE, MAX_CLOCK_RATE)
    return f"{offset_s:.3f} {rate:.4f}"


def _draw_step(rng: random.Random, names: list[str], at_s: float) -> FaultStep:
    kind = rng.choice(tuple(FaultKind))
    agent = rng.choice(names)
    others = [name for name in names if rng.random() < SIDE_FRACTION]
    duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
    return FaultStep(at_s, kind, agent, frozenset({agent, *others}), duration_s)


@dataclass(order=True, slots=True)
class _Recovery:
    """The end of a fault; recoveries are ordered by time, then by the number of the fault."""

    at_s: float
    number: int
    recover: Callable[[], object] = field(compare=False)
    agent: str = field(compare=False, default="")


class _Playback:
    """One run of a schedule on a cluster."""

    def __init__(self, cluster: ProcessCluster, steps: Sequence[FaultStep]) -> None:
        self.cluster = cluster
        self.steps = steps
        self.recoveries: list[_Recovery] = []
        self.counts: dict[str, int] = {}
        self.agents_with_old_store: set[str] = set()
        self.started_at = time.monotonic()

    def run(self) -> dict[str, int]:
        for step in self.steps:
            self._recover(until_s=step.at_s)
            self._wait(step.at_s)
            if step.kind in AGENT_FAULTS:
                self._inject_agent_fault(step)
            else:
                self._inject_link_fault(step)
        self._recover()
        self.cluster.links.heal()
        return self.counts

    def _wait(self, at_s: float) -> None:
        time.sleep(max(0.0, self.started_at + at_s - time.monotonic()))

    def _recover(self, until_s: float = float("inf")) -> None:
        while self.recoveries and self.recoveries[0].at_s <= until_s:
            recovery = heapq.heappop(self.recoveries)
            self._wait(recovery.at_s)
            recovery.recover()

    def _schedule_recovery(
        self, step: FaultStep, kind: FaultKind, recover: Callable[[], object], agent: str
    ) -> None:
        number = sum(self.counts.values())
        recovery = _Recovery(step.at_s + step.duration_s, number, recover, agent)
        heapq.heappush(self.recoveries, recovery)
        self.counts[kind.value] = self.counts.get(kind.value, 0) + 1

    def _inject_agent_fault(self, step: FaultStep) -> None:
        agent = step.agent
        if agent not in self.cluster.running or any(recovery.agent == agent for recovery in self.recoveries):
            return
        kind = step.kind
        if kind is FaultKind.OLD_STORE and 2 * len(self.agents_with_old_store | {agent}) >= len(
            self.cluster.names
        ):
            kind = FaultKind.KILL  # the loss of most stores is covered by a separate test
        if kind is FaultKind.FREEZE:
            self.cluster.freeze(agent)
            self._schedule_recovery(step, kind, lambda: self.cluster.thaw(agent), agent)
            return
        self.cluster.kill(agent)
        if kind is FaultKind.OLD_STORE:
            self.agents_with_old_store.add(agent)
            self._save_or_restore_store(agent)
        self._schedule_recovery(step, kind, lambda: self.cluster.start(agent), agent)

    def _save_or_restore_store(self, agent: str) -> None:
        """Save the agent's store the first time; restore the saved store later."""
        if self.cluster.has_saved_store(agent):
            self.cluster.restore_store(agent)
        else:
            self.cluster.save_store(agent)

    def _inject_link_fault(self, step: FaultStep) -> None:
        self.cluster.record_event(step.kind.value, side=sorted(step.side))
        links = self._links(step)
        self.cluster.links.fault(step.kind.value, links)
        self._schedule_recovery(step, step.kind, lambda: self.cluster.links.fault("heal", links), agent="")

    def _links(self, step: FaultStep) -> list[Link]:
        if step.kind is FaultKind.CUT:
            return self.cluster.links.between(set(step.side))
        links = self.cluster.links.of(step.agent)
        if step.kind is FaultKind.ONE_WAY:
            links = [link for link in links if link.source == step.agent]
        return links
