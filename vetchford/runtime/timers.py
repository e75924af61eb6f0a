"""Timers of one actor, on the Unix clock."""

import heapq
import time
from collections.abc import Callable
from typing import Any

A_TURN = 64  # fired before the mailbox is looked at again


class Timers:
    """A heap, emptied as its entries fall due; only its actor's thread touches it."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = 0  # among equals the first set is the first to fire

    def at(self, when: float, act: Callable[..., None], *given: Any) -> None:
        """`when` in Unix ms."""
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, act, given))

    def next_timeout(self) -> float | None:
        """Seconds until the next is due; None while there is none."""
        return max(0.0, self.heap[0][0] / 1000.0 - time.time()) if self.heap else None

    def fire(self, guarded: Callable[..., None]) -> None:
        for _ in range(A_TURN):
            if not self.heap or self.heap[0][0] > time.time() * 1000.0:
                return
            _, _, act, given = heapq.heappop(self.heap)
            guarded(act, *given)
