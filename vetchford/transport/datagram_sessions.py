"""Checks of received datagrams, and sequence numbers of sent ones. No I/O; times in ms, monotonic."""

from vetchford.transport.faults import Refusal
from vetchford.transport.framing import Envelope
from vetchford.transport.peers import PeerTable
from vetchford.transport.session_actions import SessionActions
from vetchford.transport.session_events import count_out_of_sequence, count_refused
from vetchford.transport.timing import INCARNATION_NOTICE_INTERVAL_MS


class DatagramSessions:
    """Datagrams between this process and the listed peers.

    Not thread-safe: only for the thread of the actor that owns it.
    """

    def __init__(self, actions: SessionActions, peer_table: PeerTable, notifies_incarnations: bool) -> None:
        """Start with sequence number 1.

        With `notifies_incarnations`, a peer with a rejected incarnation receives a datagram with its known
        incarnation. With streams, the handshakes carry it instead.
        """
        self.actions = actions
        self.peer_table = peer_table
        self.notifies_incarnations = notifies_incarnations
        self.last_sequence = 0

    def begin_incarnation(self) -> None:
        """Restart the sequence numbers of sent datagrams."""
        self.last_sequence = 0

    def next_sequence(self) -> int:
        """Return the sequence number of the next datagram to send."""
        self.last_sequence += 1
        return self.last_sequence

    def accept(self, now_ms: float, address: str, envelope: Envelope) -> bool:
        """Return whether to deliver a datagram from a host; count the reason if not."""
        refusal = self._refuse(address, envelope)
        if refusal is not None:
            count_refused(self.actions, refusal, envelope.sender)
            return False
        fault = self.peer_table.check_incarnation(envelope)
        if fault is not None:
            self.actions.count_event("peer_of_another_life", why=fault.log_term, peer=envelope.sender)
            self._notify_incarnation(now_ms, envelope.sender)
            return False
        sequence_fault = self.peer_table.by_name[envelope.sender].replay_window.check_and_mark(
            envelope.sequence
        )
        if sequence_fault is not None:
            count_out_of_sequence(self.actions, sequence_fault, envelope.sender)
        return sequence_fault is None

    def _refuse(self, address: str, envelope: Envelope) -> Refusal | None:
        """Return why a datagram is refused, by its sender or the host it came from; None if it is not."""
        refusal = self.peer_table.refuse_sender(envelope)
        if refusal is None and self.peer_table.by_name[envelope.sender].address != address:
            return Refusal.WRONG_ADDRESS
        return refusal

    def _notify_incarnation(self, now_ms: float, sender: str) -> None:
        """Send the sender its known incarnation, at a limited rate, so that it can begin a later one."""
        peer = self.peer_table.by_name[sender]
        if self.notifies_incarnations and now_ms >= peer.next_contact_at_ms:
            peer.next_contact_at_ms = now_ms + INCARNATION_NOTICE_INTERVAL_MS
            self.actions.send_known_incarnation(sender, peer.incarnation, peer.nonce)
