"""Timers of one actor, on the Unix clock."""

import heapq
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from vetchford.runtime.units import MS_PER_S

MAX_FIRED_AT_ONCE = 64  # timers, before the mailbox is read again


def unix_time_ms() -> float:
    """Now, in milliseconds since the Unix epoch."""
    return time.time() * MS_PER_S


class ScheduledCall(NamedTuple):
    """An entry of the heap; ordered by its time, and among equal times by its number."""

    due_unix_ms: float
    number: int
    method: Callable[..., None]
    arguments: tuple[Any, ...]


class Timers:
    """A heap of calls, emptied as they fall due; only the thread of its actor may use it."""

    def __init__(self) -> None:
        """Start without timers."""
        self.heap: list[ScheduledCall] = []
        self.scheduled_count = 0

    def schedule(self, due_unix_ms: float, method: Callable[..., None], *arguments: Any) -> None:
        """Call `method` with `arguments` at `due_unix_ms`; there is no way to take it back."""
        self.scheduled_count += 1
        heapq.heappush(self.heap, ScheduledCall(due_unix_ms, self.scheduled_count, method, arguments))

    def next_timeout(self) -> float | None:
        """Return the seconds until the next timer is due; None while there is none."""
        return max(0.0, self.heap[0].due_unix_ms / MS_PER_S - time.time()) if self.heap else None

    def fire_due(self, run: Callable[..., None]) -> None:
        """Hand each call that is due to `run`, which must not raise; at most `MAX_FIRED_AT_ONCE` of them."""
        for _ in range(MAX_FIRED_AT_ONCE):
            if not self.heap or self.heap[0].due_unix_ms > unix_time_ms():
                return
            _, _, method, arguments = heapq.heappop(self.heap)
            run(method, *arguments)
