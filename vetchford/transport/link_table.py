"""The connections of one process: made, accepted, timed out and dropped. No I/O; times in ms, monotonic.

A connection in HANDSHAKING is given up after HANDSHAKE_TIMEOUT_MS, a SILENT one after GIVE_UP_TIMEOUT_MS:
such peers are frozen or cut off in one direction. Peers that refuse connections are gone; `LinkFailure` tells
the two apart.
"""

import zlib

from vetchford.transport.backoff import JITTER_STEPS, backoff_ms
from vetchford.transport.faults import LinkFailure, LoggedReason, Refusal
from vetchford.transport.peers import Link, LinkState, Peer, PeerTable
from vetchford.transport.session_actions import SessionActions
from vetchford.transport.timing import (
    GIVE_UP_TIMEOUT_MS,
    HANDSHAKE_TIMEOUT_MS,
    MAX_PENDING_PER_PEER,
    SILENCE_TIMEOUT_MS,
    STABLE_AFTER_MS,
    SUSPENDED_AFTER_MS,
)


class LinkTable:
    """The links by number, and the state in which each peer's link is seen. Not thread-safe."""

    def __init__(
        self, actions: SessionActions, peers: PeerTable, name: str, seed: int, streams: bool
    ) -> None:
        """`name` of this process and `seed` choose the jitter; without `streams` there are no links."""
        self.actions = actions
        self.peers = peers
        self.name = name
        self.streams = streams
        self.seed = seed
        self.draws = 0
        self.links: dict[int, Link] = {}  # by number; removed as connections end
        self.last_number = 0

    # -- made and accepted

    def connect_due(self, now_ms: float) -> None:
        """Begins the connections that are due."""
        for name, peer in self.peers.by_name.items():
            if self._is_connection_due(now_ms, name, peer):
                peer.link = self.add(now_ms, name, LinkState.CONNECTING)
                self.set_state(name, LinkState.CONNECTING)
                self.actions.connect(name, peer.link)

    def connects_to(self, peer: str) -> bool:
        """Whether we are the side that connects: the one whose name is first in order."""
        return self.streams and self.name < peer

    def accept(self, now_ms: float, address: str) -> int:
        """The number of the link of an accepted connection; 0 where it is to be closed at once."""
        refusal = self._refuse_connection(address)
        if refusal is not None:
            self.actions.count_event("peer_refused", why=refusal.log_term, address=address)
            return 0
        return self.add(now_ms, "", LinkState.HANDSHAKING)

    def add(self, now_ms: float, peer: str, state: LinkState) -> int:
        """Adds a link; returns its number."""
        self.last_number += 1
        self.links[self.last_number] = Link(peer, now_ms, state, now_ms, now_ms)
        return self.last_number

    def set_state(self, name: str, state: LinkState) -> None:
        """Sets the state that a peer's link is seen in, and tells of a change."""
        peer = self.peers.by_name[name]
        if peer.state is not state:
            peer.state = state
            self.actions.on_link_state(name, state)

    def _is_connection_due(self, now_ms: float, name: str, peer: Peer) -> bool:
        """Whether we are the side that connects to a peer, it is off and its backoff has passed."""
        return peer.state is LinkState.OFF and self.connects_to(name) and now_ms >= peer.next_attempt_at_ms

    def _refuse_connection(self, address: str) -> Refusal | None:
        """Why a connection from this host is not accepted; None where it is."""
        if not self.peers.has_address(address):
            return Refusal.UNKNOWN_PEER
        if not self.streams:  # each connection would hold a descriptor that is needed elsewhere
            return Refusal.DATAGRAMS_ONLY
        pending = sum(not link.peer for link in self.links.values())
        if pending >= MAX_PENDING_PER_PEER * len(self.peers.by_name):
            return Refusal.TOO_MANY_CONNECTIONS
        return None

    # -- timed out and dropped

    def compensate_suspension(self, passed_ms: float) -> None:
        """Moves the times of all links on where this process was suspended: no peer is late because of it.

        `passed_ms`: since the tick before.
        """
        suspended_ms = passed_ms - SUSPENDED_AFTER_MS
        if suspended_ms <= 0.0:
            return
        for link in self.links.values():
            link.since_ms += suspended_ms
            link.last_received_at_ms += suspended_ms
            link.last_sent_at_ms += suspended_ms

    def check_timeouts(self, now_ms: float, number: int, link: Link) -> None:
        """Gives a link up that has waited too long, and finds one that is silent."""
        if link.state is LinkState.HANDSHAKING and now_ms - link.since_ms >= HANDSHAKE_TIMEOUT_MS:
            self.give_up(now_ms, number, LinkFailure.NO_HANDSHAKE)
        if not link.is_established():
            return
        silent_for_ms = now_ms - link.last_received_at_ms
        if silent_for_ms >= GIVE_UP_TIMEOUT_MS:
            self.give_up(now_ms, number, LinkFailure.UNRESPONSIVE)
        elif silent_for_ms >= SILENCE_TIMEOUT_MS and link.state is LinkState.UP:
            link.state = LinkState.SILENT
            self.actions.count_event("peer_silent", peer=link.peer)
            self.set_state(link.peer, LinkState.SILENT)

    def give_up(self, now_ms: float, number: int, failure: LinkFailure) -> None:
        """Closes a link that still stands, and counts that."""
        self.drop(now_ms, number, failure, counted_as=failure)

    def drop(self, now_ms: float, number: int, reason: str, counted_as: LoggedReason | None = None) -> None:
        """Closes a link; its peer is off until the backoff has passed.

        Args:
            now_ms: Time of the end.
            number: Of the link; one that is gone already is ignored.
            reason: For the tool's replies.
            counted_as: For the log; None where the event that led to it was counted already, or is none.
        """
        link = self.links.pop(number, None)
        if link is None:
            return
        self.actions.close_link(number)
        if counted_as is not None:
            self.actions.count_event("peer_dropped", peer=link.peer or "?", why=counted_as.log_term)
        peer = self.peers.by_name.get(link.peer)
        if peer is None or peer.link != number:
            return
        peer.link = 0
        peer.last_failure = str(reason)
        if peer.up_since_ms and now_ms - peer.up_since_ms >= STABLE_AFTER_MS:
            peer.attempts = 0
        peer.up_since_ms = 0.0
        peer.next_attempt_at_ms = now_ms + backoff_ms(peer.attempts, self._draw(JITTER_STEPS))
        peer.attempts += 1
        self.set_state(link.peer, LinkState.OFF)

    def _draw(self, count: int) -> int:
        """A reproducible pseudo-random number below `count`."""
        self.draws += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % count
