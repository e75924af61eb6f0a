"""The links of one process: connecting, accepting, timeouts and closing. No I/O; times in ms, monotonic.

A link in HANDSHAKING is closed after HANDSHAKE_TIMEOUT_MS, a SILENT one after GIVE_UP_TIMEOUT_MS: the peer is
suspended or unreachable in one direction, which `LinkFailure` reports. A peer that refuses connections has no
running process.
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
    """All links by number, and the link state of each peer. Not thread-safe."""

    def __init__(
        self, actions: SessionActions, peer_table: PeerTable, name: str, seed: int, streams: bool
    ) -> None:
        """Start without links; jitter depends on `seed` and `name`; without `streams` no link is opened."""
        self.actions = actions
        self.peer_table = peer_table
        self.name = name
        self.streams = streams
        self.seed = seed
        self.draw_count = 0
        self.links: dict[int, Link] = {}  # by number; removed when their connections end
        self.last_link_number = 0

    # -- connecting and accepting

    def connect_due(self, now_ms: float) -> None:
        """Connect to each peer whose connection is due."""
        for name, peer in self.peer_table.by_name.items():
            if self._is_connection_due(now_ms, name, peer):
                peer.link = self.add(now_ms, name, LinkState.CONNECTING)
                self.set_state(name, LinkState.CONNECTING)
                self.actions.connect(name, peer.link)

    def connects_to(self, peer: str) -> bool:
        """Return whether this process connects to a peer: the process whose name sorts first does."""
        return self.streams and self.name < peer

    def accept(self, now_ms: float, address: str) -> int:
        """Return the number of the link of an accepted connection; 0 if it is to be closed at once."""
        refusal = self._refuse_connection(address)
        if refusal is not None:
            self.actions.count_event("peer_refused", why=refusal.log_term, address=address)
            return 0
        return self.add(now_ms, "", LinkState.HANDSHAKING)

    def add(self, now_ms: float, peer: str, state: LinkState) -> int:
        """Add a link and return its number."""
        self.last_link_number += 1
        self.links[self.last_link_number] = Link(peer, now_ms, state, now_ms, now_ms)
        return self.last_link_number

    def set_state(self, name: str, state: LinkState) -> None:
        """Set the link state of a peer, and report a change."""
        peer = self.peer_table.by_name[name]
        if peer.state is not state:
            peer.state = state
            self.actions.on_link_state(name, state)

    def _is_connection_due(self, now_ms: float, name: str, peer: Peer) -> bool:
        """Return whether this process connects to a peer whose link is OFF and whose backoff has passed."""
        return peer.state is LinkState.OFF and self.connects_to(name) and now_ms >= peer.next_contact_at_ms

    def _refuse_connection(self, address: str) -> Refusal | None:
        """Return why a connection from this host is refused; None if it is accepted."""
        if not self.peer_table.has_address(address):
            return Refusal.UNKNOWN_PEER
        if not self.streams:  # each connection would occupy a file descriptor needed elsewhere
            return Refusal.DATAGRAMS_ONLY
        pending = sum(not link.peer for link in self.links.values())
        if pending >= MAX_PENDING_PER_PEER * len(self.peer_table.by_name):
            return Refusal.TOO_MANY_CONNECTIONS
        return None

    # -- timeouts and closing

    def compensate_suspension(self, passed_ms: float) -> None:
        """Shift the times of all links if this process was suspended, so that no peer times out.

        `passed_ms`: time since the previous tick.
        """
        suspended_ms = passed_ms - SUSPENDED_AFTER_MS
        if suspended_ms <= 0.0:
            return
        for link in self.links.values():
            link.state_since_ms += suspended_ms
            link.last_received_at_ms += suspended_ms
            link.last_sent_at_ms += suspended_ms

    def check_timeouts(self, now_ms: float, link_number: int, link: Link) -> None:
        """Close a link that has timed out, and mark a link without recent messages as SILENT."""
        if link.state is LinkState.HANDSHAKING and now_ms - link.state_since_ms >= HANDSHAKE_TIMEOUT_MS:
            self.give_up(now_ms, link_number, LinkFailure.NO_HANDSHAKE)
        if not link.is_established():
            return
        silent_for_ms = now_ms - link.last_received_at_ms
        if silent_for_ms >= GIVE_UP_TIMEOUT_MS:
            self.give_up(now_ms, link_number, LinkFailure.UNRESPONSIVE)
        elif silent_for_ms >= SILENCE_TIMEOUT_MS and link.state is LinkState.UP:
            link.state = LinkState.SILENT
            self.actions.count_event("peer_silent", peer=link.peer)
            self.set_state(link.peer, LinkState.SILENT)

    def give_up(self, now_ms: float, link_number: int, failure: LinkFailure) -> None:
        """Close a link because of a failure that this process detected, and count the failure."""
        self.drop(now_ms, link_number, failure, counted_as=failure)

    def drop(
        self, now_ms: float, link_number: int, reason: str, counted_as: LoggedReason | None = None
    ) -> None:
        """Close a link; its peer is OFF until the backoff has passed.

        Args:
            now_ms: Monotonic time.
            link_number: Number of the link; a link that has been removed is ignored.
            reason: Reason for the replies to the command-line tool.
            counted_as: Reason for the log; None if its cause was counted already or is not an error.
        """
        link = self.links.pop(link_number, None)
        if link is None:
            return
        self.actions.close_link(link_number)
        if counted_as is not None:
            self.actions.count_event("peer_dropped", peer=link.peer or "?", why=counted_as.log_term)
        peer = self.peer_table.by_name.get(link.peer)
        if peer is None or peer.link != link_number:
            return
        peer.link = 0
        peer.last_failure = str(reason)
        if peer.up_since_ms and now_ms - peer.up_since_ms >= STABLE_AFTER_MS:
            peer.connect_attempts = 0
        peer.up_since_ms = 0.0
        peer.next_contact_at_ms = now_ms + backoff_ms(peer.connect_attempts, self._random_below(JITTER_STEPS))
        peer.connect_attempts += 1
        self.set_state(link.peer, LinkState.OFF)

    def _random_below(self, count: int) -> int:
        """Return a reproducible pseudo-random number below `count`."""
        self.draw_count += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draw_count)) % count
