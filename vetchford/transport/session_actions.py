"""The interface through which the session manager acts."""

from typing import Any, Protocol

from vetchford.transport.peers import LinkState


class SessionActions(Protocol):
    """The actions of the session manager."""

    def connect(self, peer: str, link: int) -> None:
        """Start to connect a link; the result is reported by `on_connected` or `on_closed`."""

    def write(self, link: int, kind: str, body: Any, sequence: int) -> bool:
        """Put a message into the link's outbox, without blocking; return whether that succeeded."""

    def close_link(self, link: int) -> None:
        """Close the connection of a link."""

    def deliver(self, peer: str, kind: str, body: Any) -> None:
        """Pass on a message from a peer."""

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """Handle a change of the state of a peer's link."""

    def on_peer_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Handle a new incarnation of a peer; store it, so that earlier ones remain recognizable."""

    def on_later_incarnation(self, incarnation: int, nonce: int) -> None:
        """Handle an incarnation of this process, known to a peer, that this process did not begin.

        Either the store of this process is outdated, or two processes have the same name.
        """

    def send_known_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Send a peer its known incarnation by datagram; the peer passes it to `compare_incarnation`."""

    def count_event(self, name: str, **fields: Any) -> None:
        """Count and log an event; the field `why` is its reason."""
