"""Work that is shared by time: what the worker pool's cores and the ledger's slots have in common."""

import heapq
import threading
import time
from collections.abc import Callable
from typing import Any


class Shared:
    """Entries with work in ms, which go on at `rate(count, seconds)` of real time, at once or in slots.

    `done(entry)` is called, without the lock, as each is finished. One thread; emptied as entries end.
    """

    def __init__(
        self,
        rate: Callable[[int, float], float],
        until_next: Callable[[float], float],
        done: Callable[[Any], None],
        slots: float = float("inf"),
    ) -> None:
        self.rate, self.until_next, self.done, self.slots = rate, until_next, done, slots
        self.changed = threading.Condition()
        self.began, self.at, self.progress = time.time(), time.time(), 0.0  # progress: ms that each has had
        self.heap: list[tuple[float, int, Any]] = []
        self.line: list[tuple[float, Any]] = []  # waits for a slot
        self.gone: set[Any] = set()
        self.count = 0
        threading.Thread(target=self.run, daemon=True).start()

    def inside(self) -> int:
        return len(self.heap) - len(self.gone)

    def advance(self) -> float:
        """Brings progress up to now; the rate from here on."""
        now = time.time()
        rate = self.rate(self.inside(), self.at - self.began)
        self.progress += (now - self.at) * 1000.0 * rate
        self.at = now
        return self.rate(self.inside(), now - self.began)

    def add(self, entry: Any, work: float) -> None:
        with self.changed:
            self.advance()
            self.line.append((work, entry))
            self.enter()
            self.changed.notify()

    def enter(self) -> None:
        while self.line and self.inside() < self.slots:
            work, entry = self.line.pop(0)
            self.count += 1
            heapq.heappush(self.heap, (self.progress + work, self.count, entry))

    def drop(self, entry: Any) -> None:
        with self.changed:
            self.advance()
            waiting = [kept for kept in self.line if kept[1] != entry]
            if len(waiting) == len(self.line) and any(kept[2] == entry for kept in self.heap):
                self.gone.add(entry)
            self.line = waiting
            self.enter()

    def run(self) -> None:
        while True:
            ended = []
            with self.changed:
                rate = self.advance()
                while self.heap and (self.heap[0][0] <= self.progress or self.heap[0][2] in self.gone):
                    entry = heapq.heappop(self.heap)[2]
                    if entry in self.gone:
                        self.gone.discard(entry)
                    else:
                        ended.append(entry)
                self.enter()
                if not ended:
                    wait = self.until_next(self.at - self.began)
                    if self.heap and rate > 0.0:
                        wait = min(wait, (self.heap[0][0] - self.progress) / 1000.0 / rate)
                    self.changed.wait(max(0.0002, wait))
            for entry in ended:
                self.done(entry)
