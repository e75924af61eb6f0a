"""Whose request starts next: the slots, and the reserve beside them, divided into bulkheads. No I/O."""

from collections.abc import Iterable, Sequence

from vetchford.bulkheads.fair_share import FairShare
from vetchford.bulkheads.settings import BulkheadObserver, BulkheadSettings, Resource

MIN_SLOTS = 0.05  # keeps estimates of delays finite


class SlotSharing:
    """Slots in use by bulkhead. Not thread-safe: for the thread that owns the controller."""

    def __init__(self, observer: BulkheadObserver, settings: Sequence[BulkheadSettings]) -> None:
        """Begin with all slots free."""
        self.observer = observer
        self.settings = settings
        self.fair_share = FairShare([each.slot_share for each in settings])
        self.on_reserve = [0] * len(settings)

    # -- events

    def run_started(self, now_ms: float, bulkhead: int, slots: float) -> None:
        """A run takes one of so many slots where one is free for it, else one of its reserve."""
        is_shared = self.fair_share.has_free(slots) and self.fair_share.may_acquire(
            bulkhead, slots, self.settings
        )
        if not is_shared and self._has_reserve(bulkhead):
            self.on_reserve[bulkhead] += 1
            self.observer.reserve_used(bulkhead)
        else:
            self.run_resumed(now_ms, bulkhead, slots)

    def run_resumed(self, now_ms: float, bulkhead: int, slots: float) -> None:
        """A run that had waited for a call is on the cores again, whether or not a slot is free."""
        if self.fair_share.acquire(now_ms, bulkhead, slots):
            self.observer.borrowed(bulkhead, Resource.SLOTS)

    def run_left_cores(self, now_ms: float, bulkhead: int) -> None:
        """A run gives its slot back; runs of a bulkhead are alike, so its reserve is free again first."""
        if self.on_reserve[bulkhead]:
            self.on_reserve[bulkhead] -= 1
        elif self.fair_share.release(now_ms, bulkhead):
            self.observer.returned(bulkhead, Resource.SLOTS)

    # -- rules

    def next_to_start(
        self, now_ms: float, candidates: Iterable[int], running: int, slots: float, max_running: float
    ) -> int | None:
        """The bulkhead that starts a run now; None where none of the candidates may.

        The one furthest behind its share of the slots, else of those that have a reserve left: a reserve is
        used only while the shared slots are taken.

        Args:
            now_ms: Time by which the use of slots is accounted for.
            candidates: Bulkheads that have a request to start.
            running: Runs on the cores, reserves included.
            slots: The server's own limit on them, without reserves.
            max_running: How many the server survives, reserves included.
        """
        candidates = list(candidates)
        self.fair_share.advance(now_ms)
        if self.fair_share.has_free(slots):
            allowed = [each for each in candidates if self.fair_share.may_acquire(each, slots, self.settings)]
            if allowed:
                return self.fair_share.next(allowed)
        if running + 1.0 <= max_running:
            with_reserve = [each for each in candidates if self._has_reserve(each)]
            if with_reserve:
                return self.fair_share.next(with_reserve)
        for bulkhead in candidates:
            self.observer.limit_reached(bulkhead, Resource.SLOTS)
        return None

    def available_slots(self, bulkhead: int, slots: float, active: Iterable[int]) -> float:
        """Slots that it can count on while the `active` bulkheads want theirs; its reserve at least."""
        shares = self.fair_share.shares
        active_share = sum(shares[other] for other in {bulkhead, *active})
        reserve = float(self.settings[bulkhead].reserve)
        return max(slots * shares[bulkhead] / active_share, reserve, MIN_SLOTS)

    def _has_reserve(self, bulkhead: int) -> bool:
        return self.on_reserve[bulkhead] < self.settings[bulkhead].reserve
