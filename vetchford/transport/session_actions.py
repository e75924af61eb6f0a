"""The protocol class that the session manager acts through."""

from typing import Any, Protocol

from vetchford.transport.peers import LinkState


class SessionActions(Protocol):
    """What the session manager acts through."""

    def connect(self, peer: str, link: int) -> None:
        """Begins a connection; `on_connected` or `on_closed` tells what came of it."""

    def write(self, link: int, kind: str, body: Any, sequence: int) -> bool:
        """Puts a message into the link's outbox, without blocking; returns whether it could be."""

    def close_link(self, link: int) -> None:
        """Closes a connection."""

    def deliver(self, peer: str, kind: str, body: Any) -> None:
        """Passes on a message of a peer."""

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """The state of a peer's link has changed."""

    def on_peer_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """A peer began a new incarnation; to be kept, so that earlier ones stay known as such."""

    def on_later_incarnation(self, incarnation: int, nonce: int) -> None:
        """A peer knows an incarnation of our name that is neither ours nor earlier.

        Our store is old, or two processes have this name.
        """

    def send_known_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Tells a peer by datagram which incarnation of it we know; it calls `compare_incarnation`."""

    def count_event(self, name: str, **fields: Any) -> None:
        """Counts and logs an event; `why` is its reason."""
