"""Weighted fair sharing of one resource by the time it is used."""

from collections.abc import Iterable, Sequence

from vetchford.bulkheads.settings import BulkheadSettings

MAX_CREDIT = 500.0
"""Milliseconds of a whole resource that an idle bulkhead may be behind.

It catches up within a second, but an idle hour does not pay for an hour of everything.
"""
ROUNDING = 0.2
"""Fraction of a slot that may be missing when one is taken, as the server rounds its own."""


class FairShare:
    """Each bulkhead's virtual time runs by its use over its share; the furthest behind is next."""

    def __init__(self, shares: Sequence[float]) -> None:
        """Divide by `shares`, of any sum above 0; the index of a share is that of its bulkhead."""
        total = sum(shares)
        self.shares = [share / total for share in shares]
        self.virtual_times = [0.0] * len(shares)
        self.in_use = [0] * len(shares)
        self.borrowed = [0] * len(shares)
        self.updated_at = 0.0

    def advance(self, now: float) -> None:
        """Account for the use up to `now` (ms)."""
        if now <= self.updated_at:
            return
        passed, self.updated_at = now - self.updated_at, now
        for bulkhead, count in enumerate(self.in_use):
            if count:
                self.virtual_times[bulkhead] += passed * count / self.shares[bulkhead]
        earliest = max(self.virtual_times) - MAX_CREDIT
        for bulkhead, virtual_time in enumerate(self.virtual_times):
            if virtual_time < earliest:
                self.virtual_times[bulkhead] = earliest

    def entitlement(self, bulkhead: int, total: float) -> float:
        """Its share of so many; one at least, or a small bulkhead would never have any."""
        return max(1.0, self.shares[bulkhead] * total)

    def next(self, candidates: Iterable[int]) -> int:
        """The candidate that is furthest behind its share."""
        return min(candidates, key=lambda bulkhead: (self.virtual_times[bulkhead], bulkhead))

    def acquire(self, now: float, bulkhead: int, total: float) -> bool:
        """Take one; returns whether it is beyond its entitlement."""
        self.advance(now)
        self.in_use[bulkhead] += 1
        is_borrowed = self.in_use[bulkhead] > self.entitlement(bulkhead, total) + ROUNDING
        self.borrowed[bulkhead] += is_borrowed
        return is_borrowed

    def release(self, now: float, bulkhead: int) -> bool:
        """Give one back; returns whether it was borrowed."""
        self.advance(now)
        self.in_use[bulkhead] -= 1
        was_borrowed = self.borrowed[bulkhead] > 0
        self.borrowed[bulkhead] -= was_borrowed
        return was_borrowed

    def may_acquire(self, bulkhead: int, total: float, settings: Sequence[BulkheadSettings]) -> bool:
        """Whether its settings and those of the others allow it one more, where one is free."""
        if self.in_use[bulkhead] + 1.0 <= self.entitlement(bulkhead, total) + ROUNDING:
            return True
        kept = sum(
            max(0.0, self.shares[other] * total - self.in_use[other])
            for other, its in enumerate(settings)
            if other != bulkhead and not its.lends
        )
        return settings[bulkhead].borrows and sum(self.in_use) + 1.0 + kept <= total + 1.0 - ROUNDING
