"""Plain types of the bulkheads: settings, resources and the observer. No decisions."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from vetchford.bulkheads.adaptive_limit import LimitChange


class Resource(StrEnum):
    """The resources divided into bulkheads; the values are parts of metric names."""

    SLOTS = "slots"
    BYTES = "bytes"
    CALLS = "calls"
    SKIPPED_CALLS = "skip"


@dataclass(frozen=True, slots=True)
class BulkheadSettings:
    """Settings of one bulkhead; a share is relative to the sum of all bulkheads' shares."""

    name: str
    slot_share: float
    byte_share: float
    call_share: float
    reserve: int = 0
    """Reserved slots: slots for this bulkhead alone, in addition to the shared slots."""
    lends: bool = True
    """Whether other bulkheads may use what this one leaves idle."""
    borrows: bool = True
    """Whether this bulkhead may use what others leave idle."""
    max_calls: int = 64
    call_budget_ms: float = math.inf
    """Duration after which a call is abandoned."""

    def keeps_bytes(self) -> bool:
        """Return whether unused bytes of the share stay free for the bulkhead.

        They do if the bulkhead does not lend, or if it has reserved slots, whose runs need memory.
        """
        return not self.lends or self.reserve > 0


class BulkheadObserver(Protocol):
    """Receives events of the bulkheads' limits, on the thread that owns the controller."""

    def borrowed(self, bulkhead: int, resource: Resource) -> None:
        """Handle that a bulkhead took more than its share."""

    def returned(self, bulkhead: int, resource: Resource) -> None:
        """Handle that a bulkhead gave back what it had taken beyond its share."""

    def reserve_used(self, bulkhead: int) -> None:
        """Handle that a run started on a reserved slot."""

    def limit_reached(self, bulkhead: int, resource: Resource) -> None:
        """Handle that a limit made a request wait, skip its call or be evicted."""

    def call_limit_changed(self, bulkhead: int, reason: LimitChange, limit: float) -> None:
        """Handle that a bulkhead's limit on concurrent calls changed."""

    def regrouped(self, bulkhead_of_class: Sequence[int]) -> None:
        """Handle that request classes moved to other bulkheads."""
