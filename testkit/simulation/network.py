"""Failure detectors in virtual time, on a network that loses, delays, duplicates and partitions messages."""

import heapq
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from vetchford.fleet.failure_detector import FailureDetector
from vetchford.fleet.membership import MAX_UPDATES, MemberState
from vetchford.fleet.membership_updates import MembershipUpdate

TICK_INTERVAL_MS = 100.0
MAX_FIRST_TICK_MS = 1000.0
MIN_DELAY_MS = 1.0
MAX_DELAY_MS = 20.0


class StateChange(NamedTuple):
    """A change of the membership state of `about` in the view of `agent`."""

    at_ms: float
    agent: str
    about: str
    state: MemberState


class Network:
    """The failure detectors of one fleet and the network between them; the seed determines the whole run.

    A test may change `dead`, `side` (side of a partition by name, by default 0) and `slow` (additional delay
    in ms by name).
    """

    def __init__(self, count: int, seed: int, loss: float = 0.0, duplicate_rate: float = 0.0) -> None:
        """Start all agents.

        Args:
            count: number of agents, named a000, a001, ...
            seed: of the run.
            loss: fraction of messages that are lost.
            duplicate_rate: fraction of messages that are sent twice.
        """
        self.rng = random.Random(seed)
        self.loss = loss
        self.duplicate_rate = duplicate_rate
        self.now = 0.0
        self.queue: list[tuple[float, int, str, Callable[..., None], tuple[Any, ...]]] = []
        self.event_count = 0
        self.dead: set[str] = set()
        self.slow: dict[str, float] = {}
        self.side: dict[str, int] = {}
        self.sent = 0
        self.state_changes: list[StateChange] = []
        names = [f"a{number:03}" for number in range(count)]
        self.agents = {name: FailureDetector(Port(self, name), name, names, seed) for name in names}
        for name in names:
            self._schedule(self.rng.uniform(0.0, MAX_FIRST_TICK_MS), name, self._tick, name)

    def _schedule(self, delay_ms: float, name: str, act: Callable[..., None], *arguments: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (self.now + delay_ms, self.event_count, name, act, arguments))

    def send(self, sender: str, to: str, *message: Any) -> None:
        """Send a message, unless the network loses it."""
        self.sent += 1
        if self.side.get(sender, 0) != self.side.get(to, 0):
            return
        copies = 2 if self.rng.random() < self.duplicate_rate else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            delay_ms = self.rng.uniform(MIN_DELAY_MS, MAX_DELAY_MS)
            delay_ms = delay_ms + self.slow.get(to, 0.0) + self.slow.get(sender, 0.0)
            self._schedule(delay_ms, to, self._deliver, to, sender, *message)

    def run(self, until_ms: float) -> None:
        """Run all events up to this time; skip events of dead agents."""
        while self.queue and self.queue[0][0] <= until_ms:
            self.now, _, name, act, arguments = heapq.heappop(self.queue)
            if name not in self.dead:
                act(*arguments)
        self.now = until_ms

    def _tick(self, name: str) -> None:
        self.agents[name].tick(self.now)
        self._schedule(TICK_INTERVAL_MS, name, self._tick, name)

    def _deliver(self, to: str, sender: str, *message: Any) -> None:
        self.agents[to].receive(self.now, sender, *message)

    def views(self, of: str) -> set[MemberState]:
        """Return the states of an agent in the views of the other live agents."""
        return {
            agent.membership.state(of)
            for name, agent in self.agents.items()
            if name not in self.dead and name != of
        }


class Port:
    """The network interface of one agent's failure detector."""

    def __init__(self, network: Network, name: str) -> None:
        """Create the interface of the agent `name`."""
        self.network = network
        self.name = name

    def send(self, to: str, kind: str, number: int, target: str, updates: list[MembershipUpdate]) -> None:
        """Send a message and check that it carries no more updates than allowed."""
        assert len(updates) <= MAX_UPDATES + 1
        self.network.send(self.name, to, kind, number, target, list(updates))

    def on_state_changed(self, name: str, state: MemberState) -> None:
        """Record the change."""
        self.network.state_changes.append(StateChange(self.network.now, self.name, name, state))
