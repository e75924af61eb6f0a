"""Divides unanswered bytes and memory into bulkheads. No I/O.

A bulkhead may always use its share; beyond its share it may use what others leave, but its requests are
evicted first. `BulkheadSettings.keeps_bytes` says whether an unused share stays free for its bulkhead.
"""

from collections.abc import Iterable, Sequence

from vetchford.admission.request import Request
from vetchford.bulkheads.settings import BulkheadObserver, BulkheadSettings, Resource


class ByteSharing:
    """Bytes in use by each bulkhead. Used only on the thread that owns the controller."""

    def __init__(self, observer: BulkheadObserver, settings: Sequence[BulkheadSettings]) -> None:
        """Start without requests in memory."""
        self.observer = observer
        self.settings = settings
        total = sum(each.byte_share for each in settings)
        self.shares = [each.byte_share / total for each in settings]
        self.unanswered_bytes = [0] * len(settings)
        self.used_bytes = [0.0] * len(settings)  # memory of requests and their runs

    # -- events

    def arrived(self, bulkhead: int, size_bytes: int) -> None:
        """Count a request that was read."""
        self.unanswered_bytes[bulkhead] += size_bytes
        self.used_bytes[bulkhead] += size_bytes

    def answered(self, bulkhead: int, size_bytes: int) -> None:
        """Count a request that needs no answer any more."""
        self.unanswered_bytes[bulkhead] -= size_bytes

    def released(self, bulkhead: int, size_bytes: float) -> None:
        """Count the memory of a request as free."""
        self.used_bytes[bulkhead] -= size_bytes

    def run_started(self, bulkhead: int, extra_bytes: float) -> None:
        """Count the memory that a run uses besides its request."""
        self.used_bytes[bulkhead] += extra_bytes

    def run_ended(self, bulkhead: int, extra_bytes: float) -> None:
        """Count the memory that a run used besides its request as free."""
        self.used_bytes[bulkhead] -= extra_bytes

    # -- rules

    def is_within_share(self, bulkhead: int, clearable_bytes: float, size_bytes: int = 0) -> bool:
        """Return whether the bulkhead's unanswered bytes are within its share of `clearable_bytes`.

        One request, of `size_bytes`, always is.
        """
        share_bytes = self.shares[bulkhead] * clearable_bytes
        return self.unanswered_bytes[bulkhead] <= max(share_bytes, size_bytes)

    def has_room(
        self, bulkhead: int, unanswered_bytes: float, clearable_bytes: float, size_bytes: int = 0
    ) -> bool:
        """Return whether the newest request of a bulkhead may stay; if not, a candidate must be evicted.

        Args:
            bulkhead: Bulkhead of the request, whose bytes already include the request.
            unanswered_bytes: Unanswered bytes of all bulkheads.
            clearable_bytes: Unanswered bytes that the server can answer in time.
            size_bytes: Bytes of the request.
        """
        if self.is_within_share(bulkhead, clearable_bytes, size_bytes):
            return unanswered_bytes <= clearable_bytes
        kept_bytes = self._kept_by_others(bulkhead, clearable_bytes, self.unanswered_bytes)
        if self.settings[bulkhead].borrows and unanswered_bytes <= clearable_bytes - kept_bytes:
            self.observer.borrowed(bulkhead, Resource.BYTES)
            return True
        return False

    def eviction_candidates(
        self, bulkhead: int, queued: Iterable[Request], clearable_bytes: float, size_bytes: int = 0
    ) -> list[Request]:
        """Return the queued requests of which one is evicted: those of bulkheads over their share.

        If the arriving request's own bulkhead is over its share, only its requests are returned. The result
        is empty if no bulkhead is over its share; the request is then admitted.
        """
        if not self.is_within_share(bulkhead, clearable_bytes, size_bytes):
            self.observer.limit_reached(bulkhead, Resource.BYTES)
            return [request for request in queued if request.bulkhead == bulkhead]
        bulkheads = range(len(self.settings))
        over_share = {each for each in bulkheads if not self.is_within_share(each, clearable_bytes)}
        return [request for request in queued if request.bulkhead in over_share]

    def memory_fits(self, bulkhead: int, more_bytes: float, used_bytes: float, memory_bytes: float) -> bool:
        """Return whether a bulkhead may use more memory: within its share, or beyond if no other keeps it.

        Args:
            bulkhead: Bulkhead that requests memory.
            more_bytes: Memory that it requests.
            used_bytes: Memory in use by all bulkheads.
            memory_bytes: Memory that all bulkheads may use.
        """
        if used_bytes + more_bytes > memory_bytes:
            return False
        if self.used_bytes[bulkhead] + more_bytes <= self.shares[bulkhead] * memory_bytes:
            return True
        kept_bytes = self._kept_by_others(bulkhead, memory_bytes, self.used_bytes)
        return used_bytes + more_bytes + kept_bytes <= memory_bytes

    def _kept_by_others(self, bulkhead: int, total_bytes: float, taken_bytes: Sequence[float]) -> float:
        """Return the unused bytes of the shares of `total_bytes` that stay free for other bulkheads."""
        return sum(
            max(0.0, self.shares[other] * total_bytes - taken_bytes[other])
            for other, other_settings in enumerate(self.settings)
            if other != bulkhead and other_settings.keeps_bytes()
        )
