"""Weighted fair sharing of one resource by the time for which it is used. No I/O, no clock.

Virtual times as in weighted fair queueing (Demers, Keshav and Shenker, 1989): the virtual time of a bulkhead
advances by its use divided by its share, and the bulkhead with the lowest virtual time is next.
"""

from collections.abc import Iterable, Sequence

from vetchford.bulkheads.settings import BulkheadSettings

MAX_CREDIT_MS = 500.0
"""Greatest lag of a bulkhead's virtual time behind the highest; both are scaled to the whole resource."""
ROUNDING_TOLERANCE = 0.2
"""Fraction of a unit that may be missing when a unit is taken."""
MIN_ENTITLEMENT = 1.0


class FairShare:
    """The use of one resource by bulkhead, and which bulkhead is next. Not thread-safe."""

    def __init__(self, shares: Sequence[float]) -> None:
        """Divide the resource by `shares`, by bulkhead index; their sum may be any number above 0."""
        total = sum(shares)
        self.shares = [share / total for share in shares]
        self.virtual_times_ms = [0.0] * len(shares)
        self.in_use = [0] * len(shares)
        self.borrowed = [0] * len(shares)
        self.updated_at_ms = 0.0

    def advance(self, now_ms: float) -> None:
        """Account for the use up to now; no bulkhead lags by more than `MAX_CREDIT_MS`.

        So a bulkhead that was idle has precedence for a short time only: after an idle hour it can't use the
        whole resource for an hour.
        """
        if now_ms <= self.updated_at_ms:
            return
        elapsed_ms = now_ms - self.updated_at_ms
        self.updated_at_ms = now_ms
        for bulkhead, count in enumerate(self.in_use):
            if count:
                self.virtual_times_ms[bulkhead] += elapsed_ms * count / self.shares[bulkhead]
        min_virtual_time_ms = max(self.virtual_times_ms) - MAX_CREDIT_MS
        for bulkhead, virtual_time_ms in enumerate(self.virtual_times_ms):
            if virtual_time_ms < min_virtual_time_ms:
                self.virtual_times_ms[bulkhead] = min_virtual_time_ms

    def entitlement(self, bulkhead: int, total: float) -> float:
        """Return the bulkhead's share of `total` units; at least one, or a small bulkhead would get none."""
        return max(MIN_ENTITLEMENT, self.shares[bulkhead] * total)

    def next_bulkhead(self, candidates: Iterable[int]) -> int:
        """Return the candidate with the lowest virtual time."""
        return min(candidates, key=lambda bulkhead: (self.virtual_times_ms[bulkhead], bulkhead))

    def has_free(self, total: float) -> bool:
        """Return whether one of `total` units is free, whichever bulkhead may take it."""
        return sum(self.in_use) + ROUNDING_TOLERANCE <= total

    def may_acquire(self, bulkhead: int, total: float, settings: Sequence[BulkheadSettings]) -> bool:
        """Return whether a bulkhead may take one more free unit: within its entitlement, or borrowed.

        A bulkhead may borrow if its settings allow it and if the shares of bulkheads that do not lend stay
        free.
        """
        if self.in_use[bulkhead] + 1.0 <= self.entitlement(bulkhead, total) + ROUNDING_TOLERANCE:
            return True
        reserved_by_others = sum(
            max(0.0, self.shares[other] * total - self.in_use[other])
            for other, other_settings in enumerate(settings)
            if other != bulkhead and not other_settings.lends
        )
        return (
            settings[bulkhead].borrows
            and sum(self.in_use) + 1.0 + reserved_by_others <= total + 1.0 - ROUNDING_TOLERANCE
        )

    def acquire(self, now_ms: float, bulkhead: int, total: float) -> bool:
        """Take one unit; return whether it is borrowed, that is beyond the bulkhead's entitlement."""
        self.advance(now_ms)
        self.in_use[bulkhead] += 1
        is_borrowed = self.in_use[bulkhead] > self.entitlement(bulkhead, total) + ROUNDING_TOLERANCE
        self.borrowed[bulkhead] += is_borrowed
        return is_borrowed

    def release(self, now_ms: float, bulkhead: int) -> bool:
        """Give one unit back; return whether it was borrowed."""
        self.advance(now_ms)
        self.in_use[bulkhead] -= 1
        was_borrowed = self.borrowed[bulkhead] > 0
        self.borrowed[bulkhead] -= was_borrowed
        return was_borrowed
