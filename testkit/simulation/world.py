"""Programs in virtual time, with faults: one seed is one run.

The network loses, delays, duplicates and partitions; clocks are off; processes freeze, die and restart. A
program is an object with `tick(now)` and `receive(now, sender, message)`, made by `make(port)`; it sends by
`port.send`. Its `now` is that of its own clock. Times in ms.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from typing import Any

TICK_INTERVAL_MS = 100.0
MAX_MISSED = 200  # messages that are kept for a frozen process; further ones are lost


class Port:
    """How one program reaches the world."""

    def __init__(self, world: "World", name: str, incarnation: int) -> None:
        """Act as this incarnation of a program."""
        self.world = world
        self.name = name
        self.incarnation = incarnation

    def send(self, to: str, message: Any) -> None:
        """Sends over the simulated network; a message must not be changed after it."""
        self.world.send(self, to, message)

    def now(self) -> float:
        """The program's own clock."""
        return self.world.clock(self.name)


class World:
    """All programs, their clocks, and the network between them."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int,
        make: Callable[[Port], Any],
        loss: float = 0.0,
        doubled: float = 0.0,
        delay: tuple[float, float] = (1.0, 20.0),
        slope: float = 0.0,
    ) -> None:
        """Starts all programs.

        `loss`, `doubled`: shares of messages that are lost or duplicated; `delay`: bounds in ms; `slope`: how
        far each clock's rate may be off; with it each offset is drawn.
        """
        self.chance = random.Random(seed)
        self.make = make
        self.loss = loss
        self.doubled = doubled
        self.delay = delay
        self.now = 0.0
        self.count = 0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.programs: dict[str, Any] = {}
        self.ports: dict[str, Port] = {}
        self.frozen: dict[str, list[Any]] = {}  # what has come for each meanwhile
        self.side: dict[str, int] = {}  # of the partition; 0 unless named
        self.slow: dict[str, float] = {}  # ms of additional delay
        self.cut: set[tuple[str, str]] = set()  # from whom to whom nothing comes
        self.incarnations: dict[str, int] = {}
        self.sent = self.lost = 0
        self.clocks: dict[str, tuple[float, float]] = {}
        self.after: Callable[[], None] = lambda: None  # called after each step
        for name in names:
            rate = 1.0 + (self.chance.uniform(-slope, slope) if slope else 0.0)
            self.clocks[name] = (self.chance.uniform(0.0, 1e6) if slope else 0.0, rate)
            self.start(name)

    def clock(self, name: str) -> float:
        """The clock of one program."""
        offset, rate = self.clocks[name]
        return offset + self.now * rate

    # -- processes

    def start(self, name: str) -> None:
        """Starts a program, in a new incarnation."""
        incarnation = self.incarnations[name] = self.incarnations.get(name, 0) + 1
        port = self.ports[name] = Port(self, name, incarnation)
        self.programs[name] = self.make(port)
        self.later(self.chance.uniform(0.0, TICK_INTERVAL_MS), self.tick, name, incarnation)

    def kill(self, name: str) -> None:
        """Ends a program at once."""
        self.programs.pop(name, None)
        self.frozen.pop(name, None)

    def freeze(self, name: str) -> None:
        """Stops a program until `thaw`; its clock goes on."""
        if name in self.programs:
            self.frozen.setdefault(name, [])

    def thaw(self, name: str) -> None:
        """Lets it go on where it was: what came meanwhile is received first, then its timers run."""
        missed = self.frozen.pop(name, [])
        self.after()
        for act, given in sorted(missed, key=lambda one: one[0] == self.tick):
            act(*given)
            self.after()

    def running(self) -> list[str]:
        """The programs that are neither dead nor frozen."""
        return [name for name in self.programs if name not in self.frozen]

    def tick(self, name: str, incarnation: int) -> None:
        """Runs the timers of a program, and comes again."""
        if self.incarnations[name] != incarnation or name not in self.programs:
            return
        if name in self.frozen:
            if not any(act == self.tick for act, _ in self.frozen[name]):
                self.frozen[name].append((self.tick, (name, incarnation)))
            return
        self.later(TICK_INTERVAL_MS, self.tick, name, incarnation)
        self.programs[name].tick(self.clock(name))

    # -- the network

    def send(self, port: Port, to: str, message: Any) -> None:
        """Delivers a message after a delay, not at all, or twice."""
        self.sent += 1
        if to == port.name:
            self.later(0.01, self.arrive, port.name, to, message)
            return
        for _ in range(1 + (self.chance.random() < self.doubled)):
            apart = self.side.get(port.name, 0) != self.side.get(to, 0) or (port.name, to) in self.cut
            if apart or self.chance.random() < self.loss:
                self.lost += 1
                continue
            wait = self.chance.uniform(*self.delay) + self.slow.get(to, 0.0) + self.slow.get(port.name, 0.0)
            self.later(wait, self.arrive, port.name, to, message)

    def arrive(self, sender: str, to: str, message: Any) -> None:
        """Delivers a message now, or keeps it for a frozen program."""
        if to in self.frozen:
            if len(self.frozen[to]) < MAX_MISSED:
                self.frozen[to].append((self.arrive, (sender, to, message)))
        elif to in self.programs:
            self.programs[to].receive(self.clock(to), sender, message)

    def split(self, side: Iterable[str]) -> None:
        """Cuts these off from all others."""
        for name in side:
            self.side[name] = 1

    def heal(self) -> None:
        """Ends all faults of the network."""
        self.side.clear()
        self.cut.clear()
        self.slow.clear()

    # -- time

    def later(self, wait: float, act: Callable[..., None], *given: Any) -> None:
        """Calls `act` in `wait` ms."""
        self.count += 1
        heapq.heappush(self.queue, (self.now + wait, self.count, act, given))

    def run(self, until: float) -> None:
        """Lets time pass until then."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act, given = heapq.heappop(self.queue)
            act(*given)
            self.after()
        self.now = until
