"""Timers of one actor, based on the Unix clock."""

import heapq
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from vetchford.runtime.units import MS_PER_S

MAX_FIRED_AT_ONCE = 64  # timers fired before the mailbox is read again


def unix_time_ms() -> float:
    """Return the current time in milliseconds since the Unix epoch."""
    return time.time() * MS_PER_S


class ScheduledCall(NamedTuple):
    """An entry of the heap, ordered by due time, then by number."""

    due_unix_ms: float
    number: int
    method: Callable[..., None]
    arguments: tuple[Any, ...]


class Timers:
    """A heap of scheduled calls; to be used by the thread of its actor only."""

    def __init__(self) -> None:
        """Create an empty heap."""
        self.heap: list[ScheduledCall] = []
        self.scheduled_count = 0

    def schedule(self, due_unix_ms: float, method: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call of `method` at `due_unix_ms`; it can't be cancelled."""
        self.scheduled_count += 1
        heapq.heappush(self.heap, ScheduledCall(due_unix_ms, self.scheduled_count, method, arguments))

    def next_timeout(self) -> float | None:
        """Return the seconds until the next timer is due; None if there is no timer."""
        return max(0.0, self.heap[0].due_unix_ms / MS_PER_S - time.time()) if self.heap else None

    def fire_due(self, run: Callable[..., None]) -> None:
        """Pass each due call to `run`, which must not raise, up to `MAX_FIRED_AT_ONCE` calls."""
        for _ in range(MAX_FIRED_AT_ONCE):
            if not self.heap or self.heap[0].due_unix_ms > unix_time_ms():
                return
            _, _, method, arguments = heapq.heappop(self.heap)
            run(method, *arguments)
