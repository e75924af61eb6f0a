"""The identity of this process, the state of its peers and links, and checks of a frame's sender.

No I/O; times in ms, monotonic.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from vetchford.transport.faults import IncarnationFault, Refusal
from vetchford.transport.framing import Envelope
from vetchford.transport.replay_window import ReplayWindow


class LinkState(StrEnum):
    """The state of the link to one peer; the values appear in replies to the command-line tool."""

    OFF = "off"  # no connection; the next attempt follows after a backoff
    CONNECTING = "calling"
    HANDSHAKING = "greeting"  # connected; the peer's handshake has not been received yet
    UP = "up"
    SILENT = "silent"  # connected; nothing was received for SILENCE_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class Identity:
    """The fleet, name and incarnation of a process, which its peers identify it by."""

    fleet: str
    name: str
    incarnation: int  # higher at each start
    nonce: int  # random at each start; distinguishes processes with the same incarnation


@dataclass(slots=True)
class Link:
    """One connection, from the attempt to connect until it is closed."""

    peer: str  # empty until the handshake of an accepted connection is received
    state_since_ms: float  # start of the state
    state: LinkState
    last_received_at_ms: float
    last_sent_at_ms: float
    sent_sequence: int = 0
    received_sequence: int = 0

    def is_established(self) -> bool:
        """Return whether the handshake is complete."""
        return self.state in (LinkState.UP, LinkState.SILENT)


@dataclass(slots=True)
class Peer:
    """One listed peer."""

    address: str  # host
    state: LinkState = LinkState.OFF
    incarnation: int = 0  # the highest one seen; 0: none
    nonce: int = 0
    link: int = 0  # number of its link; 0: none
    connect_attempts: int = 0  # since the backoff was reset
    next_contact_at_ms: float = 0.0  # next attempt to connect; with datagrams only, next incarnation notice
    up_since_ms: float = 0.0  # start of the established link; 0: none
    replay_window: ReplayWindow = field(default_factory=ReplayWindow)
    last_failure: str = "not tried yet"  # why there is no link


class PeerTable:
    """The listed peers by name; frames from any other sender are refused."""

    def __init__(
        self,
        fleet: str,
        addresses: Mapping[str, str],
        on_peer_incarnation: Callable[[str, int, int], None],
    ) -> None:
        """Start with all peers OFF; `on_peer_incarnation` gets name, incarnation and nonce of a new one."""
        self.fleet = fleet
        self.on_peer_incarnation = on_peer_incarnation
        self.by_name = {name: Peer(address) for name, address in addresses.items()}

    def has_address(self, address: str) -> bool:
        """Return whether a peer with this host is listed."""
        return any(peer.address == address for peer in self.by_name.values())

    def refuse_sender(self, envelope: Envelope) -> Refusal | None:
        """Return why a frame is refused because of its sender; None if that is a listed peer."""
        if envelope.fleet != self.fleet:
            return Refusal.OTHER_FLEET
        return None if envelope.sender in self.by_name else Refusal.UNKNOWN_PEER

    def check_incarnation(self, envelope: Envelope) -> IncarnationFault | None:
        """Return the fault of the sender's incarnation, or None; store a newer incarnation."""
        peer = self.by_name[envelope.sender]
        if envelope.incarnation < peer.incarnation:
            return IncarnationFault.STALE_INCARNATION
        if envelope.incarnation == peer.incarnation and envelope.nonce != peer.nonce:
            return IncarnationFault.DUPLICATE_IDENTITY
        if envelope.incarnation > peer.incarnation:
            peer.incarnation = envelope.incarnation
            peer.nonce = envelope.nonce
            peer.replay_window = ReplayWindow()
            self.on_peer_incarnation(envelope.sender, envelope.incarnation, envelope.nonce)
        return None
