"""What is known of this process and of the peers that it talks to, and whether a frame is one of theirs.

No I/O; times in ms, monotonic.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from vetchford.transport.faults import IncarnationFault, Refusal
from vetchford.transport.framing import Envelope
from vetchford.transport.replay_window import ReplayWindow


class LinkState(StrEnum):
    """The state of the link to one peer; the values are those of the tool's replies."""

    OFF = "off"  # no connection; the next attempt is due after a backoff
    CONNECTING = "calling"
    HANDSHAKING = "greeting"  # connected; the other side's handshake has not come yet
    UP = "up"
    SILENT = "silent"  # connected, and nothing was received for SILENCE_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class Identity:
    """Under which name and incarnation a process talks to its peers."""

    fleet: str
    name: str
    incarnation: int  # higher at each start
    nonce: int  # drawn at each start: tells apart two processes that claim one incarnation


@dataclass(slots=True)
class Link:
    """One connection, from its beginning to its end."""

    peer: str  # empty until the other side's handshake has come
    since_ms: float  # when the state began
    state: LinkState
    last_received_at_ms: float
    last_sent_at_ms: float
    sent_sequence: int = 0
    received_sequence: int = 0

    def is_established(self) -> bool:
        """Whether both sides' handshakes have come."""
        return self.state in (LinkState.UP, LinkState.SILENT)


@dataclass(slots=True)
class Peer:
    """One listed peer."""

    address: str  # its host
    state: LinkState = LinkState.OFF
    incarnation: int = 0  # the newest that was seen; 0: none
    nonce: int = 0
    link: int = 0  # number of its connection; 0: none
    attempts: int = 0  # to connect, since the backoff began anew
    next_attempt_at_ms: float = 0.0
    up_since_ms: float = 0.0
    window: ReplayWindow = field(default_factory=ReplayWindow)
    last_failure: str = "not tried yet"  # why there is no link


class PeerTable:
    """The listed peers by name; frames of anybody else are refused."""

    def __init__(
        self,
        fleet: str,
        addresses: Mapping[str, str],
        on_peer_incarnation: Callable[[str, int, int], None],
    ) -> None:
        """`on_peer_incarnation`: called with name, incarnation and nonce where a peer begins a new one."""
        self.fleet = fleet
        self.on_peer_incarnation = on_peer_incarnation
        self.by_name = {name: Peer(address) for name, address in addresses.items()}

    def has_address(self, address: str) -> bool:
        """Whether some peer is listed under this host."""
        return any(peer.address == address for peer in self.by_name.values())

    def refuse_sender(self, envelope: Envelope) -> Refusal | None:
        """Why the sender is not heard; None where it is a listed peer."""
        if envelope.fleet != self.fleet:
            return Refusal.OTHER_FLEET
        return None if envelope.sender in self.by_name else Refusal.UNKNOWN_PEER

    def check_incarnation(self, envelope: Envelope) -> IncarnationFault | None:
        """Takes in a newer incarnation of a listed peer; returns what is wrong with any other."""
        peer = self.by_name[envelope.sender]
        if envelope.incarnation < peer.incarnation:
            return IncarnationFault.STALE_INCARNATION
        if envelope.incarnation == peer.incarnation and envelope.nonce != peer.nonce:
            return IncarnationFault.DUPLICATE_IDENTITY
        if envelope.incarnation > peer.incarnation:
            peer.incarnation = envelope.incarnation
            peer.nonce = envelope.nonce
            peer.window = ReplayWindow()
            self.on_peer_incarnation(envelope.sender, envelope.incarnation, envelope.nonce)
        return None
