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
    """When an agent took another for something else, and for what."""

    at_ms: float
    agent: str
    about: str
    state: MemberState


class Network:
    """Agents by name, all of one fleet; the seed determines everything.

    A test changes `dead`, `side` (of the partition; 0 unless named) and `slow` (ms of additional delay).
    """

    def __init__(self, count: int, seed: int, loss: float = 0.0, doubled: float = 0.0) -> None:
        """Start all agents.

        Args:
            count: how many; they are named a000, a001, ...
            seed: of the run.
            loss: part of the messages that are lost.
            doubled: part of the messages that are sent twice.
        """
        self.chance = random.Random(seed)
        self.loss = loss
        self.doubled = doubled
        self.now = 0.0
        self.queue: list[tuple[float, int, str, Callable[..., None], tuple[Any, ...]]] = []
        self.count = 0
        self.dead: set[str] = set()
        self.slow: dict[str, float] = {}
        self.side: dict[str, int] = {}
        self.sent = 0
        self.state_changes: list[StateChange] = []
        names = [f"a{number:03}" for number in range(count)]
        self.agents = {name: FailureDetector(Port(self, name), name, names, seed) for name in names}
        for name in names:
            self._schedule(self.chance.uniform(0.0, MAX_FIRST_TICK_MS), name, self._tick, name)

    def _schedule(self, delay_ms: float, name: str, act: Callable[..., None], *arguments: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay_ms, self.count, name, act, arguments))

    def send(self, sender: str, to: str, *message: Any) -> None:
        """Send a message, unless the network loses it."""
        self.sent += 1
        if self.side.get(sender, 0) != self.side.get(to, 0):
            return
        copies = 2 if self.chance.random() < self.doubled else 1
        for _ in range(copies):
            if self.chance.random() < self.loss:
                continue
            delay_ms = self.chance.uniform(MIN_DELAY_MS, MAX_DELAY_MS)
            delay_ms = delay_ms + self.slow.get(to, 0.0) + self.slow.get(sender, 0.0)
            self._schedule(delay_ms, to, self._deliver, to, sender, *message)

    def run(self, until_ms: float) -> None:
        """Run all that happens up to this time; dead agents do nothing."""
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
        """Return what the other agents that live take an agent for."""
        return {
            agent.membership.state(of)
            for name, agent in self.agents.items()
            if name not in self.dead and name != of
        }


class Port:
    """How one agent's failure detector acts on the network."""

    def __init__(self, network: Network, name: str) -> None:
        """Act as the agent of that name."""
        self.network = network
        self.name = name

    def send(self, to: str, kind: str, number: int, target: str, updates: list[MembershipUpdate]) -> None:
        """Send a message, which must not carry more updates than allowed."""
        assert len(updates) <= MAX_UPDATES + 1
        self.network.send(self.name, to, kind, number, target, list(updates))

    def on_state_changed(self, name: str, state: MemberState) -> None:
        """Keep the change."""
        self.network.state_changes.append(StateChange(self.network.now, self.name, name, state))
