"""Divides slots into bulkheads: which starts a run next, on a shared or a reserved slot. No I/O."""

from collections.abc import Iterable, Sequence

from vetchford.bulkheads.fair_share import FairShare
from vetchford.bulkheads.settings import BulkheadObserver, BulkheadSettings, Resource

MIN_SLOTS = 0.05
"""Lowest number of slots in estimates, which keeps delays finite."""


class SlotSharing:
    """Slots in use by each bulkhead. Used only on the thread that owns the controller."""

    def __init__(self, observer: BulkheadObserver, settings: Sequence[BulkheadSettings]) -> None:
        """Start with all slots free."""
        self.observer = observer
        self.settings = settings
        self.fair_share = FairShare([each.slot_share for each in settings])
        self.on_reserve = [0] * len(settings)

    # -- events

    def run_started(self, now_ms: float, bulkhead: int, slots: float) -> None:
        """Take one of `slots` shared slots for a run if its bulkhead may, else a reserved slot."""
        is_shared = self.fair_share.has_free(slots) and self.fair_share.may_acquire(
            bulkhead, slots, self.settings
        )
        if not is_shared and self._has_reserve(bulkhead):
            self.on_reserve[bulkhead] += 1
            self.observer.reserve_used(bulkhead)
        else:
            self.run_resumed(now_ms, bulkhead, slots)

    def run_resumed(self, now_ms: float, bulkhead: int, slots: float) -> None:
        """Take a shared slot for a run that resumes after a call, whether or not one is free."""
        if self.fair_share.acquire(now_ms, bulkhead, slots):
            self.observer.borrowed(bulkhead, Resource.SLOTS)

    def run_left_cores(self, now_ms: float, bulkhead: int) -> None:
        """Free a slot of the bulkhead, a reserved slot first, as the bulkhead's runs are interchangeable."""
        if self.on_reserve[bulkhead]:
            self.on_reserve[bulkhead] -= 1
        elif self.fair_share.release(now_ms, bulkhead):
            self.observer.returned(bulkhead, Resource.SLOTS)

    # -- rules

    def next_to_start(
        self, now_ms: float, candidates: Iterable[int], running: int, slots: float, max_running: float
    ) -> int | None:
        """Return the bulkhead that starts a run next; None if no candidate may.

        That is the bulkhead with the lowest virtual time of those that may take a shared slot, else of those
        with a free reserved slot. Reserved slots are used only while no shared slot can be taken.

        Args:
            now_ms: Time up to which the use of slots is accounted for.
            candidates: Bulkheads that have a request to start.
            running: Runs on the cores, including those on reserved slots.
            slots: Number of shared slots.
            max_running: Highest number of runs, including those on reserved slots.
        """
        candidates = list(candidates)
        self.fair_share.advance(now_ms)
        if self.fair_share.has_free(slots):
            allowed = [each for each in candidates if self.fair_share.may_acquire(each, slots, self.settings)]
            if allowed:
                return self.fair_share.next_bulkhead(allowed)
        if running + 1.0 <= max_running:
            with_reserve = [each for each in candidates if self._has_reserve(each)]
            if with_reserve:
                return self.fair_share.next_bulkhead(with_reserve)
        for bulkhead in candidates:
            self.observer.limit_reached(bulkhead, Resource.SLOTS)
        return None

    def available_slots(self, bulkhead: int, slots: float, active: Iterable[int]) -> float:
        """Return the slots of a bulkhead while the `active` bulkheads use theirs; at least its reserve."""
        shares = self.fair_share.shares
        active_share = sum(shares[other] for other in {bulkhead, *active})
        reserve = float(self.settings[bulkhead].reserve)
        return max(slots * shares[bulkhead] / active_share, reserve, MIN_SLOTS)

    def _has_reserve(self, bulkhead: int) -> bool:
        return self.on_reserve[bulkhead] < self.settings[bulkhead].reserve
