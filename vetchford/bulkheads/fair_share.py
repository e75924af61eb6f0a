"""Weighted fair sharing of one resource by the time it is used. No I/O, no clock.

Virtual time as in weighted fair queueing (Demers, Keshav and Shenker, 1989): that of a bulkhead runs by its
use over its share, and the bulkhead with the least is next.
"""

from collections.abc import Iterable, Sequence

from vetchford.bulkheads.settings import BulkheadSettings

MAX_CREDIT_MS = 500.0  # of a whole resource, that an idle bulkhead may be behind
ROUNDING = 0.2  # of a slot, that may be missing when one is taken
MIN_ENTITLEMENT = 1.0


class FairShare:
    """Who uses how much of one resource, and who is next. Not thread-safe."""

    def __init__(self, shares: Sequence[float]) -> None:
        """Divide by `shares`, of any sum above 0; the index of a share is that of its bulkhead."""
        total = sum(shares)
        self.shares = [share / total for share in shares]
        self.virtual_times_ms = [0.0] * len(shares)
        self.in_use = [0] * len(shares)
        self.borrowed = [0] * len(shares)
        self.updated_at_ms = 0.0

    def advance(self, now_ms: float) -> None:
        """Account for the use up to now; nobody stays further behind than `MAX_CREDIT_MS`.

        So a bulkhead that was idle catches up soon, but an idle hour does not pay for an hour of everything.
        """
        if now_ms <= self.updated_at_ms:
            return
        passed_ms = now_ms - self.updated_at_ms
        self.updated_at_ms = now_ms
        for bulkhead, count in enumerate(self.in_use):
            if count:
                self.virtual_times_ms[bulkhead] += passed_ms * count / self.shares[bulkhead]
        earliest_ms = max(self.virtual_times_ms) - MAX_CREDIT_MS
        for bulkhead, virtual_time_ms in enumerate(self.virtual_times_ms):
            if virtual_time_ms < earliest_ms:
                self.virtual_times_ms[bulkhead] = earliest_ms

    def entitlement(self, bulkhead: int, total: float) -> float:
        """Its share of so many; one at least, or a small bulkhead would never have any."""
        return max(MIN_ENTITLEMENT, self.shares[bulkhead] * total)

    def next(self, candidates: Iterable[int]) -> int:
        """The candidate that is furthest behind its share."""
        return min(candidates, key=lambda bulkhead: (self.virtual_times_ms[bulkhead], bulkhead))

    def has_free(self, total: float) -> bool:
        """Whether one of so many is free, whoever may take it."""
        return sum(self.in_use) + ROUNDING <= total

    def may_acquire(self, bulkhead: int, total: float, settings: Sequence[BulkheadSettings]) -> bool:
        """Whether a bulkhead may take one more, where one is free: within its entitlement, or borrowed.

        It borrows where its settings let it, and where the entitlement of those that do not lend stays free.
        """
        if self.in_use[bulkhead] + 1.0 <= self.entitlement(bulkhead, total) + ROUNDING:
            return True
        kept = sum(
            max(0.0, self.shares[other] * total - self.in_use[other])
            for other, its in enumerate(settings)
            if other != bulkhead and not its.lends
        )
        return settings[bulkhead].borrows and sum(self.in_use) + 1.0 + kept <= total + 1.0 - ROUNDING

    def acquire(self, now_ms: float, bulkhead: int, total: float) -> bool:
        """Take one; returns whether it is beyond its entitlement."""
        self.advance(now_ms)
        self.in_use[bulkhead] += 1
        is_borrowed = self.in_use[bulkhead] > self.entitlement(bulkhead, total) + ROUNDING
        self.borrowed[bulkhead] += is_borrowed
        return is_borrowed

    def release(self, now_ms: float, bulkhead: int) -> bool:
        """Give one back; returns whether it was borrowed."""
        self.advance(now_ms)
        self.in_use[bulkhead] -= 1
        was_borrowed = self.borrowed[bulkhead] > 0
        self.borrowed[bulkhead] -= was_borrowed
        return was_borrowed
