"""The interface through which lease servers and clients send messages and log events."""

from typing import Any, Protocol

from vetchford.leases.messages import LeaseMessage


class LeaseActions(Protocol):
    """The actions of lease servers and clients."""

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        """Send a datagram to a process, which may be this one; it may be lost, delayed or duplicated."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Count and log an event."""
