"""The protocol class that lease servers and clients act through."""

from typing import Any, Protocol

from vetchford.leases.messages import LeaseMessage


class LeaseActions(Protocol):
    """What lease servers and clients act through."""

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        """Sends a datagram, also to this process; it may be lost, late or duplicated."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Counts and logs an event."""
