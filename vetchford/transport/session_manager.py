"""Sessions with peers over streams: links, handshakes, checks of frames. No I/O; times in ms, monotonic.

Each pair of processes has one stream: the process whose name sorts first connects to the other. Every frame
carries an incarnation of its sender and a sequence number, so that late or duplicate frames and those of an
earlier incarnation are detected. `LinkState` has the states of a link, `LinkTable` opens and closes links;
datagrams, which have no links, are handled by `DatagramSessions`.
"""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from vetchford.transport import handshake
from vetchford.transport.datagram_sessions import DatagramSessions
from vetchford.transport.faults import IncarnationFault, LinkFailure, Refusal, SequenceFault
from vetchford.transport.framing import Envelope
from vetchford.transport.link_table import LinkTable
from vetchford.transport.peers import Identity, Link, LinkState, Peer, PeerTable
from vetchford.transport.session_actions import SessionActions
from vetchford.transport.session_events import count_out_of_sequence, count_refused
from vetchford.transport.timing import HEARTBEAT_INTERVAL_MS

HEARTBEAT = "beat"
SESSION_KINDS = (handshake.KIND, HEARTBEAT)  # of messages that are not delivered


class SessionManager:
    """The sessions of one process with all listed peers.

    Not thread-safe: only for the thread of the actor that owns it.
    """

    def __init__(
        self,
        actions: SessionActions,
        identity: Identity,
        addresses: Mapping[str, str],
        seed: int,
        streams: bool = True,
    ) -> None:
        """Start with all listed peers disconnected.

        Args:
            actions: Connects, writes, delivers and logs.
            identity: Identity of this process.
            addresses: Host of each peer, by name.
            seed: Seed of the jitter of reconnections, together with the name of this process.
            streams: Whether streams are used; without them datagrams carry known incarnations.
        """
        self.actions = actions
        self.identity = identity
        others = {name: address for name, address in addresses.items() if name != identity.name}
        self.peer_table = PeerTable(identity.fleet, others, actions.on_peer_incarnation)
        self.peers: dict[str, Peer] = self.peer_table.by_name
        self.link_table = LinkTable(actions, self.peer_table, identity.name, seed, streams)
        self.links: dict[int, Link] = self.link_table.links
        self.datagrams = DatagramSessions(actions, self.peer_table, notifies_incarnations=not streams)
        self.last_tick_at_ms = 0.0

    # -- timers

    def tick(self, now_ms: float) -> None:
        """Handle timers; call this about 20 times a second."""
        self.link_table.compensate_suspension(now_ms - self.last_tick_at_ms)
        self.last_tick_at_ms = now_ms
        self.link_table.connect_due(now_ms)
        for link_number, link in list(self.links.items()):
            self.link_table.check_timeouts(now_ms, link_number, link)
            if link_number in self.links and self._is_heartbeat_due(now_ms, link):
                self._write(now_ms, link_number, HEARTBEAT, None)

    def _is_heartbeat_due(self, now_ms: float, link: Link) -> bool:
        return link.is_established() and now_ms - link.last_sent_at_ms >= HEARTBEAT_INTERVAL_MS

    # -- connections

    def on_connected(self, now_ms: float, link_number: int) -> None:
        """Start the handshake on a connection that this process requested."""
        link = self.links.get(link_number)
        if link is None:
            self.actions.close_link(link_number)
            return
        link.state = LinkState.HANDSHAKING
        link.state_since_ms = now_ms
        self.link_table.set_state(link.peer, LinkState.HANDSHAKING)
        self._send_handshake(now_ms, link_number, link.peer)

    def on_accepted(self, now_ms: float, address: str) -> int:
        """Handle an accepted connection; return its link number, or 0 if it is to be closed at once."""
        return self.link_table.accept(now_ms, address)

    def on_closed(self, now_ms: float, link_number: int, reason: str) -> None:
        """Handle a connection that ended or could not be established."""
        self.link_table.drop(now_ms, link_number, reason)

    def begin_incarnation(self, now_ms: float, incarnation: int, nonce: int) -> None:
        """Begin a new incarnation of this process: close all links, so that they are established again."""
        for link_number in list(self.links):
            self.on_closed(now_ms, link_number, LinkFailure.INCARNATION_CHANGED)
        self.identity = replace(self.identity, incarnation=incarnation, nonce=nonce)
        self.datagrams.begin_incarnation()

    # -- messages

    def send(self, now_ms: float, peer: str, kind: str, body: Any) -> bool:
        """Queue a message on the stream to a peer; return False if there is none, so the caller can retry."""
        known_peer = self.peers.get(peer)
        if known_peer is None or not known_peer.link or not self.links[known_peer.link].is_established():
            return False
        return self._write(now_ms, known_peer.link, kind, body)

    def receive(self, now_ms: float, link_number: int, envelope: Envelope) -> None:
        """Handle a frame received on a link."""
        link = self.links.get(link_number)
        if link is None:
            return
        refusal = self._refuse_frame(link, envelope)
        if refusal is not None:
            count_refused(self.actions, refusal, envelope.sender)
            self.link_table.drop(now_ms, link_number, refusal)
            return
        if not self._accept_sequence(link, envelope):
            return
        link.last_received_at_ms = now_ms
        fault = self.peer_table.check_incarnation(envelope)
        if fault is not None:
            self._reject_incarnation(now_ms, link_number, envelope.sender, fault)
            return
        if link.state is LinkState.HANDSHAKING:
            self._receive_handshake(now_ms, link_number, link, envelope)
        elif link.state is LinkState.SILENT:
            link.state = LinkState.UP
            self.link_table.set_state(link.peer, LinkState.UP)
        if envelope.kind not in SESSION_KINDS and link_number in self.links:
            self.actions.deliver(envelope.sender, envelope.kind, envelope.body)

    def _write(self, now_ms: float, link_number: int, kind: str, body: Any) -> bool:
        link = self.links[link_number]
        link.sent_sequence += 1
        link.last_sent_at_ms = now_ms
        return self.actions.write(link_number, kind, body, link.sent_sequence)

    def _refuse_frame(self, link: Link, envelope: Envelope) -> Refusal | None:
        refusal = self.peer_table.refuse_sender(envelope)
        if refusal is None and link.peer and envelope.sender != link.peer:
            return Refusal.WRONG_SENDER
        return refusal

    def _accept_sequence(self, link: Link, envelope: Envelope) -> bool:
        """Return whether the frame is new; a gap in the sequence is only counted."""
        if envelope.sequence <= link.received_sequence:
            count_out_of_sequence(self.actions, SequenceFault.DUPLICATE, envelope.sender)
            return False
        if envelope.sequence != link.received_sequence + 1:  # the sender's outbox was full
            count_out_of_sequence(self.actions, SequenceFault.GAP, envelope.sender)
        link.received_sequence = envelope.sequence
        return True

    def _reject_incarnation(
        self, now_ms: float, link_number: int, sender: str, fault: IncarnationFault
    ) -> None:
        """Close the link, or, if it was just accepted, first send the peer its known incarnation.

        The peer can then begin a new incarnation. The accepted link is closed by the handshake timeout later.
        """
        if self.links[link_number].sent_sequence:
            reason = f"{fault.replace('_', ' ')} of {sender}"
            self.link_table.drop(now_ms, link_number, reason, counted_as=fault)
        else:
            self.actions.count_event("peer_of_another_life", why=fault.log_term, peer=sender)
            self._send_handshake(now_ms, link_number, sender)

    # -- handshake

    def _send_handshake(self, now_ms: float, link_number: int, recipient: str) -> None:
        peer = self.peers[recipient]
        self._write(
            now_ms, link_number, handshake.KIND, handshake.encode(recipient, peer.incarnation, peer.nonce)
        )

    def _receive_handshake(self, now_ms: float, link_number: int, link: Link, envelope: Envelope) -> None:
        """Handle the first message on a link: the link becomes UP or is closed."""
        name = envelope.sender
        received = handshake.decode(envelope.body) if envelope.kind == handshake.KIND else None
        if received is None or received.recipient != self.identity.name:
            count_refused(self.actions, Refusal.NO_HANDSHAKE, name)
            self.link_table.drop(now_ms, link_number, Refusal.NO_HANDSHAKE)
            return
        is_outgoing = bool(link.peer)
        if not is_outgoing and not self._assign_link(now_ms, link_number, link, name):
            return
        peer = self.peers[name]
        link.state = LinkState.UP
        peer.up_since_ms = now_ms
        if not is_outgoing:
            peer.connect_attempts = 0
        self.link_table.set_state(name, LinkState.UP)
        if received.known_incarnation is not None:
            self.compare_incarnation(*received.known_incarnation)

    def _assign_link(self, now_ms: float, link_number: int, link: Link, name: str) -> bool:
        """Assign an accepted connection to a peer; a newer connection replaces an older one."""
        if self.link_table.connects_to(name):  # only this process may connect: a pair has one stream
            count_refused(self.actions, Refusal.WRONG_SIDE, name)
            self.link_table.drop(now_ms, link_number, Refusal.WRONG_SIDE)
            return False
        peer = self.peers[name]
        link.peer = name
        if peer.link:
            self.link_table.give_up(now_ms, peer.link, LinkFailure.REPLACED)
        peer.link = link_number
        self._send_handshake(now_ms, link_number, name)
        return True

    def compare_incarnation(self, incarnation: int, nonce: int) -> None:
        """Report an incarnation known to a peer that this process did not begin and that is not earlier."""
        identity = self.identity
        is_same = incarnation == identity.incarnation
        if incarnation > identity.incarnation or (is_same and nonce != identity.nonce):
            self.actions.on_later_incarnation(incarnation, nonce)

    # -- datagrams

    def next_datagram_sequence(self) -> int:
        """Return the sequence number of the next datagram to send."""
        return self.datagrams.next_sequence()

    def accept_datagram(self, now_ms: float, address: str, envelope: Envelope) -> bool:
        """Return whether to deliver a datagram from a host."""
        return self.datagrams.accept(now_ms, address, envelope)

    # -- status

    def status(self) -> list[dict[str, Any]]:
        """Return a row for each peer, with the keys of replies to the command-line tool."""
        return [
            {
                "name": name,
                "link": peer.state,
                "life": peer.incarnation,
                "why": "" if peer.link else peer.last_failure,
            }
            for name, peer in sorted(self.peers.items())
        ]
