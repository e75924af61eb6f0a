"""Plain types of the bulkheads: what the operators set, and who is notified. No decisions."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from vetchford.bulkheads.adaptive_limit import LimitChange


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
    call_budget: float = math.inf
    """Milliseconds after which a call is abandoned."""


class BulkheadObserver(Protocol):
    """Notified when a limit of a bulkhead acted; `resource` is "slots", "bytes", "calls" or "skip"."""

    def borrowed(self, bulkhead: int, resource: str) -> None:
        """It took more than its share."""

    def returned(self, bulkhead: int, resource: str) -> None:
        """It gave back what it had beyond its share."""

    def reserve_used(self, bulkhead: int) -> None:
        """A request started on a reserved slot."""

    def limit_reached(self, bulkhead: int, resource: str) -> None:
        """A limit kept a request waiting, or made one skip its call or give way."""

    def call_limit_changed(self, bulkhead: int, reason: LimitChange, limit: float) -> None:
        """Its limit on concurrent calls moved."""

    def regrouped(self, bulkhead_of_class: Sequence[int]) -> None:
        """Request classes moved to other bulkheads."""
