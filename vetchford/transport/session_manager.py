"""Which peers are heard, over streams. No I/O; times in ms, monotonic.

Each pair of processes has one stream: the one whose name is first in order connects to the other. Every frame
names an incarnation of its sender and a sequence number, so that a late or duplicated frame, and one of an
earlier incarnation, are known as such. `LinkState` has the states of a link, `LinkTable` makes and drops
links; datagrams, which have no links, are in `DatagramSessions`.
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
OWN_KINDS = (handshake.KIND, HEARTBEAT)  # which are not delivered


class SessionManager:
    """The sessions of one process with all listed peers. Not thread-safe: for one actor's thread."""

    def __init__(
        self,
        actions: SessionActions,
        identity: Identity,
        addresses: Mapping[str, str],
        seed: int,
        streams: bool = True,
    ) -> None:
        """Knows the listed peers only.

        Args:
            actions: What it acts through.
            identity: Of this process.
            addresses: The host of each peer, by name.
            seed: With the name of this process it chooses the jitter of reconnections.
            streams: Whether there are connections; without them incarnations are told by datagrams.
        """
        self.actions = actions
        self.identity = identity
        others = {name: address for name, address in addresses.items() if name != identity.name}
        self.table = PeerTable(identity.fleet, others, actions.on_peer_incarnation)
        self.peers: dict[str, Peer] = self.table.by_name
        self.link_table = LinkTable(actions, self.table, identity.name, seed, streams)
        self.links: dict[int, Link] = self.link_table.links
        self.datagrams = DatagramSessions(actions, self.table, tells_incarnations=not streams)
        self.last_tick_at_ms = 0.0

    # -- time

    def tick(self, now_ms: float) -> None:
        """Handles timers; to be called some ten times a second."""
        self.link_table.compensate_suspension(now_ms - self.last_tick_at_ms)
        self.last_tick_at_ms = now_ms
        self.link_table.connect_due(now_ms)
        for number, link in list(self.links.items()):
            self.link_table.check_timeouts(now_ms, number, link)
            if number in self.links and self._is_heartbeat_due(now_ms, link):
                self._write(now_ms, number, HEARTBEAT, None)

    def _is_heartbeat_due(self, now_ms: float, link: Link) -> bool:
        return link.is_established() and now_ms - link.last_sent_at_ms >= HEARTBEAT_INTERVAL_MS

    # -- connections

    def on_connected(self, now_ms: float, number: int) -> None:
        """A connection that we asked for is established."""
        link = self.links.get(number)
        if link is None:
            self.actions.close_link(number)
            return
        link.state = LinkState.HANDSHAKING
        link.since_ms = now_ms
        self.link_table.set_state(link.peer, LinkState.HANDSHAKING)
        self._send_handshake(now_ms, number, link.peer)

    def on_accepted(self, now_ms: float, address: str) -> int:
        """Somebody connected to us; returns the number of the link, or 0 where it is to be closed at once."""
        return self.link_table.accept(now_ms, address)

    def on_closed(self, now_ms: float, number: int, reason: str) -> None:
        """A connection ended, or could not be made."""
        self.link_table.drop(now_ms, number, reason)

    def begin_incarnation(self, now_ms: float, incarnation: int, nonce: int) -> None:
        """Goes on under another incarnation of this process: all links are dropped, to be made anew."""
        for number in list(self.links):
            self.on_closed(now_ms, number, LinkFailure.INCARNATION_CHANGED)
        self.identity = replace(self.identity, incarnation=incarnation, nonce=nonce)
        self.datagrams.begin_incarnation()

    # -- messages

    def send(self, now_ms: float, peer: str, kind: str, body: Any) -> bool:
        """Queues a message on the stream to a peer; False where there is none: the caller asks again."""
        known = self.peers.get(peer)
        if known is None or not known.link or not self.links[known.link].is_established():
            return False
        return self._write(now_ms, known.link, kind, body)

    def receive(self, now_ms: float, number: int, envelope: Envelope) -> None:
        """Handles a frame of a connection."""
        link = self.links.get(number)
        if link is None:
            return
        refusal = self._refuse_frame(link, envelope)
        if refusal is not None:
            count_refused(self.actions, refusal, envelope.sender)
            self.link_table.drop(now_ms, number, refusal)
            return
        if not self._take_sequence(link, envelope):
            return
        link.last_received_at_ms = now_ms
        fault = self.table.check_incarnation(envelope)
        if fault is not None:
            self._reject_incarnation(now_ms, number, envelope.sender, fault)
            return
        if link.state is LinkState.HANDSHAKING:
            self._receive_handshake(now_ms, number, link, envelope)
        elif link.state is LinkState.SILENT:
            link.state = LinkState.UP
            self.link_table.set_state(link.peer, LinkState.UP)
        if envelope.kind not in OWN_KINDS and number in self.links:
            self.actions.deliver(envelope.sender, envelope.kind, envelope.body)

    def _write(self, now_ms: float, number: int, kind: str, body: Any) -> bool:
        link = self.links[number]
        link.sent_sequence += 1
        link.last_sent_at_ms = now_ms
        return self.actions.write(number, kind, body, link.sent_sequence)

    def _refuse_frame(self, link: Link, envelope: Envelope) -> Refusal | None:
        refusal = self.table.refuse_sender(envelope)
        if refusal is None and link.peer and envelope.sender != link.peer:
            return Refusal.WRONG_SENDER
        return refusal

    def _take_sequence(self, link: Link, envelope: Envelope) -> bool:
        """Whether the frame is new; a gap is counted only."""
        if envelope.sequence <= link.received_sequence:
            count_out_of_sequence(self.actions, SequenceFault.DUPLICATE, envelope.sender)
            return False
        if envelope.sequence != link.received_sequence + 1:  # the sender's outbox was full
            count_out_of_sequence(self.actions, SequenceFault.GAP, envelope.sender)
        link.received_sequence = envelope.sequence
        return True

    def _reject_incarnation(self, now_ms: float, number: int, sender: str, fault: IncarnationFault) -> None:
        """Drops the link; one that has just connected first hears which incarnation of it is known.

        So it can begin a new incarnation. Its link is given up for want of a handshake later.
        """
        if self.links[number].sent_sequence:
            reason = f"{fault.replace('_', ' ')} of {sender}"
            self.link_table.drop(now_ms, number, reason, counted_as=fault)
        else:
            self.actions.count_event("peer_of_another_life", why=fault.log_term, peer=sender)
            self._send_handshake(now_ms, number, sender)

    # -- handshake

    def _send_handshake(self, now_ms: float, number: int, recipient: str) -> None:
        known = self.peers[recipient]
        self._write(
            now_ms, number, handshake.KIND, handshake.encode(recipient, known.incarnation, known.nonce)
        )

    def _receive_handshake(self, now_ms: float, number: int, link: Link, envelope: Envelope) -> None:
        """Takes the first message of a connection: the link is up, or it is dropped."""
        name = envelope.sender
        received = handshake.decode(envelope.body) if envelope.kind == handshake.KIND else None
        if received is None or received.recipient != self.identity.name:
            count_refused(self.actions, Refusal.NO_HANDSHAKE, name)
            self.link_table.drop(now_ms, number, Refusal.NO_HANDSHAKE)
            return
        connected_by_us = bool(link.peer)
        if not connected_by_us and not self._assign_link(now_ms, number, link, name):
            return
        peer = self.peers[name]
        link.state = LinkState.UP
        peer.up_since_ms = now_ms
        if not connected_by_us:
            peer.attempts = 0
        self.link_table.set_state(name, LinkState.UP)
        if received.known_incarnation is not None:
            self.compare_incarnation(*received.known_incarnation)

    def _assign_link(self, now_ms: float, number: int, link: Link, name: str) -> bool:
        """Makes an accepted connection the stream of a peer; a newer connection replaces an older one."""
        if self.link_table.connects_to(name):  # it should have waited for us: a pair has one stream
            count_refused(self.actions, Refusal.WRONG_SIDE, name)
            self.link_table.drop(now_ms, number, Refusal.WRONG_SIDE)
            return False
        peer = self.peers[name]
        link.peer = name
        if peer.link:
            self.link_table.give_up(now_ms, peer.link, LinkFailure.REPLACED)
        peer.link = number
        self._send_handshake(now_ms, number, name)
        return True

    def compare_incarnation(self, incarnation: int, nonce: int) -> None:
        """Compares ours with the one that a peer knows: one that we did not begin is another process's."""
        ours = self.identity
        same = incarnation == ours.incarnation
        if incarnation > ours.incarnation or (same and nonce != ours.nonce):
            self.actions.on_later_incarnation(incarnation, nonce)

    # -- datagrams

    def next_datagram_sequence(self) -> int:
        """The sequence number of the next datagram that we send."""
        return self.datagrams.next_sequence()

    def accept_datagram(self, now_ms: float, address: str, envelope: Envelope) -> bool:
        """Whether a datagram from this host is to be delivered."""
        return self.datagrams.accept(now_ms, address, envelope)

    # -- status

    def status(self) -> list[dict[str, Any]]:
        """A row for each peer, by the keys of the tool's replies."""
        return [
            {
                "name": name,
                "link": peer.state,
                "life": peer.incarnation,
                "why": "" if peer.link else peer.last_failure,
            }
            for name, peer in sorted(self.peers.items())
        ]
