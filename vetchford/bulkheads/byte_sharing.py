"""Whose request has room: unanswered bytes and memory, divided into bulkheads. No I/O.

A bulkhead is always admitted up to its share; beyond it only into what others leave, and whoever is beyond
its share gives way first. `BulkheadSettings.keeps_bytes` says whose share stays free.
"""

from collections.abc import Iterable, Sequence

from vetchford.admission.request import Request
from vetchford.bulkheads.settings import BulkheadObserver, BulkheadSettings, Resource


class ByteSharing:
    """Bytes in use by bulkhead. Not thread-safe: for the thread that owns the controller."""

    def __init__(self, observer: BulkheadObserver, settings: Sequence[BulkheadSettings]) -> None:
        """Begin with no request in memory."""
        self.observer = observer
        self.settings = settings
        total = sum(each.byte_share for each in settings)
        self.shares = [each.byte_share / total for each in settings]
        self.unanswered_bytes = [0] * len(settings)
        self.used_bytes = [0.0] * len(settings)  # of memory, with what runs use on top

    # -- events

    def arrived(self, bulkhead: int, size_bytes: int) -> None:
        """A request was read."""
        self.unanswered_bytes[bulkhead] += size_bytes
        self.used_bytes[bulkhead] += size_bytes

    def answered(self, bulkhead: int, size_bytes: int) -> None:
        """A request needs no answer any more."""
        self.unanswered_bytes[bulkhead] -= size_bytes

    def released(self, bulkhead: int, size_bytes: float) -> None:
        """The memory of a request is free."""
        self.used_bytes[bulkhead] -= size_bytes

    def run_started(self, bulkhead: int, extra_bytes: float) -> None:
        """A run uses so much memory on top of its request."""
        self.used_bytes[bulkhead] += extra_bytes

    def run_ended(self, bulkhead: int, extra_bytes: float) -> None:
        """A run gives back what it used on top."""
        self.used_bytes[bulkhead] -= extra_bytes

    # -- rules

    def is_within_share(self, bulkhead: int, clearable_bytes: float) -> bool:
        """Whether its unanswered bytes are within its share of those that the server clears in time."""
        return self.unanswered_bytes[bulkhead] <= self.shares[bulkhead] * clearable_bytes

    def has_room(self, bulkhead: int, unanswered_bytes: float, clearable_bytes: float) -> bool:
        """Whether the newest request of a bulkhead has room; if not, an eviction candidate must go.

        Args:
            bulkhead: Its bulkhead, in whose bytes it is counted already.
            unanswered_bytes: Of all bulkheads.
            clearable_bytes: Unanswered bytes that the server clears in time.
        """
        if self.is_within_share(bulkhead, clearable_bytes):
            return unanswered_bytes <= clearable_bytes
        kept_bytes = self._kept_by_others(bulkhead, clearable_bytes, self.unanswered_bytes)
        if self.settings[bulkhead].borrows and unanswered_bytes <= clearable_bytes - kept_bytes:
            self.observer.borrowed(bulkhead, Resource.BYTES)
            return True
        return False

    def eviction_candidates(
        self, bulkhead: int, queued: Iterable[Request], clearable_bytes: float
    ) -> list[Request]:
        """The queued requests of which one makes room: of bulkheads beyond their share, its own first.

        Empty where it is within its share and nobody else is beyond: it is admitted.
        """
        if not self.is_within_share(bulkhead, clearable_bytes):
            self.observer.limit_reached(bulkhead, Resource.BYTES)
            return [request for request in queued if request.bulkhead == bulkhead]
        bulkheads = range(len(self.settings))
        over_share = {each for each in bulkheads if not self.is_within_share(each, clearable_bytes)}
        return [request for request in queued if request.bulkhead in over_share]

    def memory_fits(self, bulkhead: int, more_bytes: float, used_bytes: float, memory_bytes: float) -> bool:
        """Whether a bulkhead may use more memory: within its share, or into what no other keeps.

        Args:
            bulkhead: That wants memory.
            more_bytes: That it wants.
            used_bytes: By all bulkheads.
            memory_bytes: That all may use.
        """
        if used_bytes + more_bytes > memory_bytes:
            return False
        if self.used_bytes[bulkhead] + more_bytes <= self.shares[bulkhead] * memory_bytes:
            return True
        kept_bytes = self._kept_by_others(bulkhead, memory_bytes, self.used_bytes)
        return used_bytes + more_bytes + kept_bytes <= memory_bytes

    def _kept_by_others(self, bulkhead: int, total_bytes: float, taken_bytes: Sequence[float]) -> float:
        """What others have of so many bytes, do not use and do not lend."""
        return sum(
            max(0.0, self.shares[other] * total_bytes - taken_bytes[other])
            for other, its in enumerate(self.settings)
            if other != bulkhead and its.keeps_bytes()
        )
