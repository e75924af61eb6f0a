"""Which peers are connected, heard and given up. No I/O; times in ms, monotonic.

Each pair of processes has one stream: the one whose name is first in order connects to the other. Every frame
names an incarnation of its sender and a sequence number, so that a late or duplicated frame, and one of an
earlier incarnation, are known as such. `LinkState` has the states of a link. A connection in HANDSHAKING is
dropped after HANDSHAKE_TIMEOUT_MS ("mute"), one that is SILENT after GIVE_UP_TIMEOUT_MS ("silent"): such
peers are frozen or cut off in one direction. Peers that refuse connections are gone; operators see the
difference.

The module is longer than most because links, handshake and datagrams are one state machine over one table.
"""

import zlib
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from vetchford.transport import handshake
from vetchford.transport.framing import Envelope
from vetchford.transport.peers import (
    Identity,
    IncarnationFault,
    Link,
    LinkState,
    Peer,
    PeerTable,
    Refusal,
)
from vetchford.transport.replay_window import SequenceFault
from vetchford.transport.session_actions import SessionActions
from vetchford.transport.timing import (
    GIVE_UP_TIMEOUT_MS,
    HANDSHAKE_TIMEOUT_MS,
    HEARTBEAT_INTERVAL_MS,
    MAX_BACKOFF_EXPONENT,
    MAX_BACKOFF_MS,
    MAX_LOGGED_NAME,
    MAX_PENDING_PER_PEER,
    MIN_BACKOFF_MS,
    SILENCE_TIMEOUT_MS,
    STABLE_AFTER_MS,
    SUSPENDED_AFTER_MS,
)

HEARTBEAT = "beat"
OWN_KINDS = (handshake.KIND, HEARTBEAT)  # which are not delivered


class SessionManager:
    """The sessions of one process with all listed peers."""

    def __init__(
        self,
        actions: SessionActions,
        identity: Identity,
        addresses: Mapping[str, str],
        seed: int,
        streams: bool = True,
    ) -> None:
        """Knows nobody else than the peers in `addresses`, which has the host of each by name.

        Without `streams` there are no connections, and incarnations are told by datagrams.
        """
        self.actions, self.identity, self.streams = actions, identity, streams
        self.seed, self.draws = seed, 0
        others = {name: address for name, address in addresses.items() if name != identity.name}
        self.table = PeerTable(identity.fleet, others, actions.on_peer_incarnation)
        self.peers: dict[str, Peer] = self.table.by_name
        self.links: dict[int, Link] = {}  # by number; removed as connections end
        self.last_link_number = 0
        self.last_datagram_sequence = 0
        self.last_tick_at = 0.0

    # -- time

    def tick(self, now: float) -> None:
        """Handles timers; to be called some ten times a second."""
        self._compensate_suspension(now)
        for name, peer in self.peers.items():
            if peer.state is LinkState.OFF and self._connects_to(name) and now >= peer.next_attempt_at:
                peer.link = self.add_link(now, name, LinkState.CONNECTING)
                self.set_state(name, LinkState.CONNECTING)
                self.actions.connect(name, peer.link)
        for number, link in list(self.links.items()):
            if link.is_established():
                self._check_silence(now, number, link)
            elif link.state is LinkState.HANDSHAKING and now - link.since >= HANDSHAKE_TIMEOUT_MS:
                self._drop(now, number, "connected, and no word came", counted_as="mute")

    def _compensate_suspension(self, now: float) -> None:
        """Moves the times of all links on where this process was suspended: no peer is late because of it."""
        suspended = now - self.last_tick_at - SUSPENDED_AFTER_MS
        self.last_tick_at = now
        if suspended <= 0.0:
            return
        for link in self.links.values():
            link.since += suspended
            link.last_received_at += suspended
            link.last_sent_at += suspended

    def _check_silence(self, now: float, number: int, link: Link) -> None:
        silent_for = now - link.last_received_at
        if silent_for >= GIVE_UP_TIMEOUT_MS:
            self._drop(now, number, "accepts and says nothing", counted_as="silent")
            return
        if silent_for >= SILENCE_TIMEOUT_MS and link.state is LinkState.UP:
            link.state = LinkState.SILENT
            self.actions.count_event("peer_silent", peer=link.peer)
            self.set_state(link.peer, LinkState.SILENT)
        if now - link.last_sent_at >= HEARTBEAT_INTERVAL_MS:
            self._write(now, number, HEARTBEAT, None)

    # -- connections

    def on_connected(self, now: float, number: int) -> None:
        """A connection that we asked for is established."""
        link = self.links.get(number)
        if link is None:
            self.actions.close_link(number)
            return
        link.state, link.since = LinkState.HANDSHAKING, now
        self.set_state(link.peer, LinkState.HANDSHAKING)
        self._send_handshake(now, number, link.peer)

    def on_accepted(self, now: float, address: str) -> int:
        """Somebody connected to us; returns the number of the link, or 0 where it is to be closed at once."""
        refusal = self._refuse_connection(address)
        if refusal is not None:
            self.actions.count_event("peer_refused", why=refusal, address=address)
            return 0
        return self.add_link(now, "", LinkState.HANDSHAKING)

    def on_closed(self, now: float, number: int, reason: str) -> None:
        """A connection ended, or could not be made."""
        self._drop(now, number, reason)

    def begin_incarnation(self, now: float, incarnation: int, nonce: int) -> None:
        """Goes on under another incarnation of this process: all links are dropped, to be made anew."""
        for number in list(self.links):
            self.on_closed(now, number, "a new life of ours")
        self.identity = replace(self.identity, incarnation=incarnation, nonce=nonce)
        self.last_datagram_sequence = 0

    def add_link(self, now: float, peer: str, state: LinkState) -> int:
        """Adds a connection; returns its number."""
        self.last_link_number += 1
        self.links[self.last_link_number] = Link(peer, now, state, now, now)
        return self.last_link_number

    def set_state(self, name: str, state: LinkState) -> None:
        """Sets the state that a peer's link is seen in, and tells of a change."""
        peer = self.peers[name]
        if peer.state is not state:
            peer.state = state
            self.actions.on_link_state(name, state)

    def _refuse_connection(self, address: str) -> Refusal | None:
        if not self.table.has_address(address):
            return Refusal.UNKNOWN_PEER
        if not self.streams:  # each connection would hold a descriptor that is needed elsewhere
            return Refusal.DATAGRAMS_ONLY
        pending = sum(not link.peer for link in self.links.values())
        if pending >= MAX_PENDING_PER_PEER * len(self.peers):
            return Refusal.TOO_MANY_CONNECTIONS
        return None

    def _drop(self, now: float, number: int, reason: str, counted_as: str = "") -> None:
        """Closes a link; its peer is off until the backoff has passed."""
        link = self.links.pop(number, None)
        if link is None:
            return
        self.actions.close_link(number)
        if counted_as:
            self.actions.count_event("peer_dropped", peer=link.peer or "?", why=counted_as)
        peer = self.peers.get(link.peer)
        if peer is None or peer.link != number:
            return
        peer.link, peer.last_failure = 0, reason
        if peer.up_since and now - peer.up_since >= STABLE_AFTER_MS:
            peer.attempts = 0
        peer.up_since = 0.0
        peer.next_attempt_at = now + self._backoff(peer.attempts)
        peer.attempts += 1
        self.set_state(link.peer, LinkState.OFF)

    def _backoff(self, attempts: int) -> float:
        """Doubles with each attempt, with jitter: all peers of a restarted process lost it at once."""
        backoff = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0 ** min(MAX_BACKOFF_EXPONENT, attempts))
        return backoff * (0.5 + self._draw(1000) / 1000.0)

    # -- messages

    def send(self, now: float, peer: str, kind: str, body: Any) -> bool:
        """Queues a message on the stream to a peer; False where there is none: the caller asks again."""
        known = self.peers.get(peer)
        if known is None or not known.link or not self.links[known.link].is_established():
            return False
        return self._write(now, known.link, kind, body)

    def receive(self, now: float, number: int, envelope: Envelope) -> None:
        """Handles a frame of a connection."""
        link = self.links.get(number)
        if link is None:
            return
        refusal = self._refuse_frame(link, envelope)
        if refusal is not None:
            self._count_refused(refusal, envelope.sender)
            self._drop(now, number, refusal)
            return
        if not self._take_sequence(link, envelope):
            return
        link.last_received_at = now
        fault = self.table.check_incarnation(envelope)
        if fault is not None:
            self._reject_incarnation(now, number, envelope.sender, fault)
            return
        if link.state is LinkState.HANDSHAKING:
            self._receive_handshake(now, number, link, envelope)
        elif link.state is LinkState.SILENT:
            link.state = LinkState.UP
            self.set_state(link.peer, LinkState.UP)
        if envelope.kind not in OWN_KINDS and number in self.links:
            self.actions.deliver(envelope.sender, envelope.kind, envelope.body)

    def _write(self, now: float, number: int, kind: str, body: Any) -> bool:
        link = self.links[number]
        link.sent_sequence += 1
        link.last_sent_at = now
        return self.actions.write(number, kind, body, link.sent_sequence)

    def _refuse_frame(self, link: Link, envelope: Envelope) -> Refusal | None:
        refusal = self.table.refuse_sender(envelope)
        if refusal is None and link.peer and envelope.sender != link.peer:
            return Refusal.WRONG_SENDER
        return refusal

    def _take_sequence(self, link: Link, envelope: Envelope) -> bool:
        """Whether the frame is new; a gap is counted only."""
        if envelope.sequence <= link.received_sequence:
            self._count_out_of_sequence(SequenceFault.DUPLICATE, envelope.sender)
            return False
        if envelope.sequence != link.received_sequence + 1:  # the sender's outbox was full
            self._count_out_of_sequence(SequenceFault.GAP, envelope.sender)
        link.received_sequence = envelope.sequence
        return True

    def _reject_incarnation(self, now: float, number: int, sender: str, fault: IncarnationFault) -> None:
        """Drops the link; one that has just connected first hears which incarnation of it is known.

        So it can begin a new incarnation. Its link is dropped as mute later.
        """
        if self.links[number].sent_sequence:
            reason = f"{fault.replace('_', ' ')} of {sender}"
            self._drop(now, number, reason, counted_as=fault)
        else:
            self.actions.count_event("peer_of_another_life", why=fault, peer=sender)
            self._send_handshake(now, number, sender)

    # -- handshake

    def _send_handshake(self, now: float, number: int, recipient: str) -> None:
        known = self.peers[recipient]
        self._write(now, number, handshake.KIND, handshake.encode(recipient, known.incarnation, known.nonce))

    def _receive_handshake(self, now: float, number: int, link: Link, envelope: Envelope) -> None:
        """Takes the first message of a connection: the link is up, or it is dropped."""
        name = envelope.sender
        greeting = handshake.decode(envelope.body) if envelope.kind == handshake.KIND else None
        if greeting is None or greeting.recipient != self.identity.name:
            self._count_refused(Refusal.NO_HANDSHAKE, name)
            self._drop(now, number, Refusal.NO_HANDSHAKE)
            return
        connected_by_us = bool(link.peer)
        if not connected_by_us and not self._assign_link(now, number, link, name):
            return
        peer = self.peers[name]
        link.state, peer.up_since = LinkState.UP, now
        if not connected_by_us:
            peer.attempts = 0
        self.set_state(name, LinkState.UP)
        if greeting.known_incarnation is not None:
            self.compare_incarnation(*greeting.known_incarnation)

    def _assign_link(self, now: float, number: int, link: Link, name: str) -> bool:
        """Makes an accepted connection the stream of a peer; a newer connection replaces an older one."""
        if self._connects_to(name):  # it should have waited for us: a pair has one stream
            self._count_refused(Refusal.WRONG_SIDE, name)
            self._drop(now, number, Refusal.WRONG_SIDE)
            return False
        peer = self.peers[name]
        link.peer = name
        if peer.link:
            self._drop(now, peer.link, "a newer connection", counted_as="replaced")
        peer.link = number
        self._send_handshake(now, number, name)
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
        self.last_datagram_sequence += 1
        return self.last_datagram_sequence

    def accept_datagram(self, now: float, address: str, envelope: Envelope) -> bool:
        """Whether a datagram from this host is to be delivered."""
        refusal = self.table.refuse_sender(envelope)
        if refusal is None and self.peers[envelope.sender].address != address:
            refusal = Refusal.WRONG_ADDRESS
        if refusal is not None:
            self._count_refused(refusal, envelope.sender)
            return False
        fault = self.table.check_incarnation(envelope)
        if fault is not None:
            self.actions.count_event("peer_of_another_life", why=fault, peer=envelope.sender)
            self._answer_other_incarnation(now, envelope.sender)
            return False
        late = self.peers[envelope.sender].window.take(envelope.sequence)
        if late is not None:
            self._count_out_of_sequence(late, envelope.sender)
        return late is None

    def _answer_other_incarnation(self, now: float, sender: str) -> None:
        """Without streams: tells the sender by datagram, seldom, which incarnation of it is known."""
        peer = self.peers[sender]
        if not self.streams and now >= peer.next_attempt_at:
            peer.next_attempt_at = now + MIN_BACKOFF_MS
            self.actions.send_known_incarnation(sender, peer.incarnation, peer.nonce)

    # -- status

    def status(self) -> list[dict[str, Any]]:
        """A row for each peer, under the words that operators see."""
        return [
            {
                "name": name,
                "link": peer.state,
                "life": peer.incarnation,
                "why": "" if peer.link else peer.last_failure,
            }
            for name, peer in sorted(self.peers.items())
        ]

    def _connects_to(self, peer: str) -> bool:
        return self.streams and self.identity.name < peer

    def _count_refused(self, refusal: Refusal, sender: str) -> None:
        self.actions.count_event("peer_refused", why=refusal, peer=sender[:MAX_LOGGED_NAME])

    def _count_out_of_sequence(self, fault: SequenceFault, sender: str) -> None:
        self.actions.count_event("peer_out_of_sequence", why=fault, peer=sender)

    def _draw(self, count: int) -> int:
        """A reproducible pseudo-random number below `count`."""
        self.draws += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.identity.name.encode(), self.draws)) % count
