"""Programs in virtual time: a network that loses, delays, doubles and splits, clocks that go wrong,
processes that freeze, die and begin anew. One seed is one run.

A program is an object with `woke(now)` and `heard(now, sender, word)`, made by `make(port)`; it sends by
`port.send`. Its `now` is its own clock's.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from typing import Any

TURN = 100.0  # ms between two calls of `woke`


class Port:
    """What a program holds of the world."""

    def __init__(self, world: "World", name: str, life: int) -> None:
        self.world, self.name, self.life = world, name, life

    def send(self, to: str, word: Any) -> None:
        self.world.send(self, to, word)

    def now(self) -> float:
        return self.world.clock(self.name)


class World:
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
        """`slope`: how far each clock's rate may be off, and each offset is drawn."""
        self.chance, self.make = random.Random(seed), make
        self.loss, self.doubled, self.delay = loss, doubled, delay
        self.now, self.count, self.queue = 0.0, 0, []
        self.programs: dict[str, Any] = {}
        self.ports: dict[str, Port] = {}
        self.frozen: dict[str, list[Any]] = {}  # what has come for them meanwhile
        self.side: dict[str, int] = {}
        self.slow: dict[str, float] = {}
        self.cut: set[tuple[str, str]] = set()  # from whom to whom nothing comes
        self.lives: dict[str, int] = {}
        self.sent = self.lost = 0
        self.clocks: dict[str, tuple[float, float]] = {}
        self.after: Callable[[], None] = lambda: None
        for name in names:
            rate = 1.0 + (self.chance.uniform(-slope, slope) if slope else 0.0)
            self.clocks[name] = (self.chance.uniform(0.0, 1e6) if slope else 0.0, rate)
            self.begin(name)

    def clock(self, name: str) -> float:
        offset, rate = self.clocks[name]
        return offset + self.now * rate

    # -- processes

    def begin(self, name: str) -> None:
        life = self.lives[name] = self.lives.get(name, 0) + 1
        port = self.ports[name] = Port(self, name, life)
        self.programs[name] = self.make(port)
        self.later(self.chance.uniform(0.0, TURN), self.turn, name, life)

    def kill(self, name: str) -> None:
        self.programs.pop(name, None)
        self.frozen.pop(name, None)

    def freeze(self, name: str) -> None:
        if name in self.programs:
            self.frozen.setdefault(name, [])

    def thaw(self, name: str) -> None:
        """It goes on where it was; what came meanwhile is heard first, then its timers."""
        missed = self.frozen.pop(name, [])
        self.after()
        for act, given in sorted(missed, key=lambda one: one[0] == self.turn):
            act(*given)
            self.after()

    def there(self) -> list[str]:
        return [name for name in self.programs if name not in self.frozen]

    def turn(self, name: str, life: int) -> None:
        if self.lives[name] != life or name not in self.programs:
            return
        if name in self.frozen:
            if not any(act == self.turn for act, _ in self.frozen[name]):
                self.frozen[name].append((self.turn, (name, life)))
            return
        self.later(TURN, self.turn, name, life)
        self.programs[name].woke(self.clock(name))

    # -- the network

    def send(self, port: Port, to: str, word: Any) -> None:
        self.sent += 1
        if to == port.name:
            self.later(0.01, self.arrive, port.name, to, word)
            return
        for _ in range(1 + (self.chance.random() < self.doubled)):
            apart = self.side.get(port.name, 0) != self.side.get(to, 0) or (port.name, to) in self.cut
            if apart or self.chance.random() < self.loss:
                self.lost += 1
                continue
            wait = self.chance.uniform(*self.delay) + self.slow.get(to, 0.0) + self.slow.get(port.name, 0.0)
            self.later(wait, self.arrive, port.name, to, word)

    def arrive(self, sender: str, to: str, word: Any) -> None:
        if to in self.frozen:
            if len(self.frozen[to]) < 200:
                self.frozen[to].append((self.arrive, (sender, to, word)))
        elif to in self.programs:
            self.programs[to].heard(self.clock(to), sender, word)

    def split(self, side: Iterable[str]) -> None:
        for name in side:
            self.side[name] = 1

    def heal(self) -> None:
        self.side.clear()
        self.cut.clear()
        self.slow.clear()

    # -- time

    def later(self, wait: float, act: Callable[..., None], *given: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + wait, self.count, act, given))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act, given = heapq.heappop(self.queue)
            act(*given)
            self.after()
        self.now = until
