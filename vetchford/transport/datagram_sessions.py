"""Which datagrams are heard, and the numbers of those that we send. No I/O; times in ms, monotonic."""

from vetchford.transport.faults import Refusal
from vetchford.transport.framing import Envelope
from vetchford.transport.peers import PeerTable
from vetchford.transport.session_actions import SessionActions
from vetchford.transport.session_events import count_out_of_sequence, count_refused
from vetchford.transport.timing import INCARNATION_NOTICE_INTERVAL_MS


class DatagramSessions:
    """Datagrams between this process and the listed peers. Not thread-safe: for one actor's thread."""

    def __init__(self, actions: SessionActions, table: PeerTable, tells_incarnations: bool) -> None:
        """`tells_incarnations`: whether datagrams tell a peer which incarnation of it is known.

        Where there are streams, their handshakes do.
        """
        self.actions = actions
        self.table = table
        self.tells_incarnations = tells_incarnations
        self.last_sequence = 0

    def begin_incarnation(self) -> None:
        """Numbers datagrams anew."""
        self.last_sequence = 0

    def next_sequence(self) -> int:
        """The sequence number of the next datagram that we send."""
        self.last_sequence += 1
        return self.last_sequence

    def accept(self, now_ms: float, address: str, envelope: Envelope) -> bool:
        """Whether a datagram from this host is to be delivered; counts why one is not."""
        refusal = self._refuse(address, envelope)
        if refusal is not None:
            count_refused(self.actions, refusal, envelope.sender)
            return False
        fault = self.table.check_incarnation(envelope)
        if fault is not None:
            self.actions.count_event("peer_of_another_life", why=fault.log_term, peer=envelope.sender)
            self._tell_incarnation(now_ms, envelope.sender)
            return False
        late = self.table.by_name[envelope.sender].window.take(envelope.sequence)
        if late is not None:
            count_out_of_sequence(self.actions, late, envelope.sender)
        return late is None

    def _refuse(self, address: str, envelope: Envelope) -> Refusal | None:
        """Why a datagram is not heard: its sender is not listed, or not under this host."""
        refusal = self.table.refuse_sender(envelope)
        if refusal is None and self.table.by_name[envelope.sender].address != address:
            return Refusal.WRONG_ADDRESS
        return refusal

    def _tell_incarnation(self, now_ms: float, sender: str) -> None:
        """Tells the sender, seldom, which incarnation of it is known, so that it can begin a later one."""
        peer = self.table.by_name[sender]
        if self.tells_incarnations and now_ms >= peer.next_attempt_at_ms:
            peer.next_attempt_at_ms = now_ms + INCARNATION_NOTICE_INTERVAL_MS
            self.actions.send_known_incarnation(sender, peer.incarnation, peer.nonce)
