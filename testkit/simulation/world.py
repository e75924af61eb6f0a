"""Programs in virtual time, with faults; the seed determines the whole run.

The network loses, delays, duplicates and partitions messages, clocks run at wrong rates, and processes
freeze, die and restart. A program is an object with `tick(now)` and `receive(now, sender, message)`, created
by `create_program(port)`; it sends messages by `port.send`. `now` is the time of the program's own clock. All
times are in milliseconds.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from typing import Any

TICK_INTERVAL_MS = 100.0
MAX_MISSED = 200  # messages kept for a frozen process; further messages are lost
LOCAL_DELAY_MS = 0.01  # of a message to the sender itself
MAX_CLOCK_OFFSET_MS = 1e6


class Port:
    """The interface of one program to the network and its clock."""

    def __init__(self, world: "World", name: str, incarnation: int) -> None:
        """Create the interface of this incarnation of a program."""
        self.world = world
        self.name = name
        self.incarnation = incarnation

    def send(self, to: str, message: Any) -> None:
        """Send a message over the simulated network; the caller must not change the message afterwards."""
        self.world.send(self, to, message)

    def now(self) -> float:
        """Return the time of the program's own clock."""
        return self.world.clock(self.name)


class World:
    """All programs, their clocks, and the network between them."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int,
        create_program: Callable[[Port], Any],
        loss: float = 0.0,
        duplicate_rate: float = 0.0,
        delay: tuple[float, float] = (1.0, 20.0),
        clock_rate_error: float = 0.0,
    ) -> None:
        """Start all programs.

        Args:
            names: of the programs.
            seed: determines the whole run.
            create_program: creates a program from its `Port`.
            loss: fraction of messages that are lost.
            duplicate_rate: fraction of messages that are sent twice.
            delay: bounds of the delay of a message, in ms.
            clock_rate_error: maximum deviation of a clock's rate from 1; 0 makes all clocks correct.
        """
        self.rng = random.Random(seed)
        self.create_program = create_program
        self.loss = loss
        self.duplicate_rate = duplicate_rate
        self.delay = delay
        self.now = 0.0
        self.event_count = 0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.programs: dict[str, Any] = {}
        self.ports: dict[str, Port] = {}
        self.frozen: dict[str, list[Any]] = {}  # events kept for each frozen program
        self.side: dict[str, int] = {}  # side of the partition by name; by default 0
        self.slow: dict[str, float] = {}  # additional delay in ms by name
        self.cut: set[tuple[str, str]] = set()  # links (source, target) that deliver no message
        self.incarnations: dict[str, int] = {}
        self.sent = self.lost = 0
        self.clocks: dict[str, tuple[float, float]] = {}  # offset in ms and rate by name
        self.after_step: Callable[[], None] = lambda: None  # called after each event
        for name in names:
            rate = 1.0 + (self.rng.uniform(-clock_rate_error, clock_rate_error) if clock_rate_error else 0.0)
            self.clocks[name] = (
                self.rng.uniform(0.0, MAX_CLOCK_OFFSET_MS) if clock_rate_error else 0.0,
                rate,
            )
            self.start(name)

    def clock(self, name: str) -> float:
        """Return the time of the clock of one program."""
        offset, rate = self.clocks[name]
        return offset + self.now * rate

    # -- processes

    def start(self, name: str) -> None:
        """Start a program in a new incarnation."""
        incarnation = self.incarnations[name] = self.incarnations.get(name, 0) + 1
        port = self.ports[name] = Port(self, name, incarnation)
        self.programs[name] = self.create_program(port)
        self.schedule(self.rng.uniform(0.0, TICK_INTERVAL_MS), self.tick, name, incarnation)

    def kill(self, name: str) -> None:
        """Kill a program."""
        self.programs.pop(name, None)
        self.frozen.pop(name, None)

    def freeze(self, name: str) -> None:
        """Suspend a program until `thaw`; its clock keeps running."""
        if name in self.programs:
            self.frozen.setdefault(name, [])

    def thaw(self, name: str) -> None:
        """Resume a frozen program: deliver the messages kept for it first, then run its timers."""
        missed = self.frozen.pop(name, [])
        self.after_step()
        for act, arguments in sorted(missed, key=lambda event: event[0] == self.tick):
            act(*arguments)
            self.after_step()

    def running(self) -> list[str]:
        """Return the programs that are neither dead nor frozen."""
        return [name for name in self.programs if name not in self.frozen]

    def tick(self, name: str, incarnation: int) -> None:
        """Run the timers of a program and schedule its next tick."""
        if self.incarnations[name] != incarnation or name not in self.programs:
            return
        if name in self.frozen:
            if not any(act == self.tick for act, _ in self.frozen[name]):
                self.frozen[name].append((self.tick, (name, incarnation)))
            return
        self.schedule(TICK_INTERVAL_MS, self.tick, name, incarnation)
        self.programs[name].tick(self.clock(name))

    # -- the network

    def send(self, port: Port, to: str, message: Any) -> None:
        """Schedule the delivery of a message, unless it is lost; duplicate some messages."""
        self.sent += 1
        if to == port.name:
            self.schedule(LOCAL_DELAY_MS, self.deliver, port.name, to, message)
            return
        for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
            is_separated = self.side.get(port.name, 0) != self.side.get(to, 0) or (port.name, to) in self.cut
            if is_separated or self.rng.random() < self.loss:
                self.lost += 1
                continue
            delay_ms = self.rng.uniform(*self.delay) + self.slow.get(to, 0.0) + self.slow.get(port.name, 0.0)
            self.schedule(delay_ms, self.deliver, port.name, to, message)

    def deliver(self, sender: str, to: str, message: Any) -> None:
        """Deliver a message, or keep it if the program is frozen."""
        if to in self.frozen:
            if len(self.frozen[to]) < MAX_MISSED:
                self.frozen[to].append((self.deliver, (sender, to, message)))
        elif to in self.programs:
            self.programs[to].receive(self.clock(to), sender, message)

    def split(self, side: Iterable[str]) -> None:
        """Cut the programs in `side` off from all others."""
        for name in side:
            self.side[name] = 1

    def heal(self) -> None:
        """End all faults of the network."""
        self.side.clear()
        self.cut.clear()
        self.slow.clear()

    # -- time

    def schedule(self, delay_ms: float, act: Callable[..., None], *arguments: Any) -> None:
        """Schedule the call of `act` after `delay_ms`."""
        self.event_count += 1
        heapq.heappush(self.queue, (self.now + delay_ms, self.event_count, act, arguments))

    def run(self, until_ms: float) -> None:
        """Run all events up to this time."""
        while self.queue and self.queue[0][0] <= until_ms:
            self.now, _, act, arguments = heapq.heappop(self.queue)
            act(*arguments)
            self.after_step()
        self.now = until_ms
