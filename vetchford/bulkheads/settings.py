"""Plain types of the bulkheads: what the operators set, and who is notified. No decisions."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from vetchford.bulkheads.adaptive_limit import LimitChange


class Resource(StrEnum):
    """What is divided into bulkheads; the values are parts of the metrics' names."""

    SLOTS = "slots"
    BYTES = "bytes"
    CALLS = "calls"
    SKIPPED_CALLS = "skip"


@dataclass(frozen=True, slots=True)
class BulkheadSettings:
    """One bulkhead. Shares count against the sum of all bulkheads' shares."""

    name: str
    slot_share: float
    byte_share: float
    call_share: float
    reserve: int = 0
    """Slots beside the server's own limit, for this bulkhead alone."""
    lends: bool = True
    """Whether others may use what it leaves idle."""
    borrows: bool = True
    """Whether it may use what others leave idle."""
    max_calls: int = 64
    call_budget_ms: float = math.inf
    """Duration after which a call is abandoned."""

    def keeps_bytes(self) -> bool:
        """Whether its share of the bytes stays free for it: it does not lend, or has a reserve to fill."""
        return not self.lends or self.reserve > 0


class BulkheadObserver(Protocol):
    """Notified when a limit of a bulkhead acted, on the thread that owns the controller."""

    def borrowed(self, bulkhead: int, resource: Resource) -> None:
        """It took more than its share."""

    def returned(self, bulkhead: int, resource: Resource) -> None:
        """It gave back what it had beyond its share."""

    def reserve_used(self, bulkhead: int) -> None:
        """A request started on a reserved slot."""

    def limit_reached(self, bulkhead: int, resource: Resource) -> None:
        """A limit kept a request waiting, or made one skip its call or give way."""

    def call_limit_changed(self, bulkhead: int, reason: LimitChange, limit: float) -> None:
        """Its limit on concurrent calls moved."""

    def regrouped(self, bulkhead_of_class: Sequence[int]) -> None:
        """Request classes moved to other bulkheads."""
