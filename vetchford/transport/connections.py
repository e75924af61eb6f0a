"""`Transport` carries out the decisions of `SessionManager` on the sockets of an endpoint and its streams.

All decisions are made on the thread of the actor that owns the transport; the threads of the sockets post
their events to that actor.
"""

import socket
from collections.abc import Mapping
from typing import Any, Protocol

import structlog

from vetchford.runtime.actor import Actor
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import start_thread
from vetchford.transport import framing
from vetchford.transport.endpoint import Endpoint, parse_address
from vetchford.transport.faults import FrameFault
from vetchford.transport.framing import Envelope, FrameError
from vetchford.transport.peers import Identity, LinkState
from vetchford.transport.session_manager import SessionManager
from vetchford.transport.stream_connection import StreamConnection

log = structlog.get_logger()

INCARNATION_KIND = "life"  # of datagrams with the known incarnation of their receiver
DATAGRAM_KIND = "news"  # of all other datagrams


class TransportEvents(Protocol):
    """Callbacks of the transport, on the thread of its actor."""

    def on_message(self, peer: str, kind: str, body: Any) -> None:
        """Handle a message received on a stream."""

    def on_datagram(self, peer: str, body: Any) -> None:
        """Handle a datagram."""

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """Handle a change of the state of a peer's link."""

    def on_peer_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Handle a new incarnation of a peer."""

    def on_later_incarnation(self, incarnation: int, nonce: int) -> None:
        """Handle an incarnation of this process, known to a peer, that is later or has another nonce."""


class Transport:
    """Streams and datagrams to all listed peers.

    After `start`, the actor calls `tick` about 20 times a second if streams are used; datagrams
    have no timers. All methods are for its thread, except the callbacks of the endpoint and the functions of
    the stream threads.
    """

    def __init__(
        self,
        actor: Actor,
        owner: TransportEvents,
        metrics: Metrics,
        identity: Identity,
        listen: str,
        addresses: Mapping[str, str],
        seed: int,
        streams: bool = True,
    ) -> None:
        """Bind the address.

        Args:
            actor: Actor that owns the transport; all decisions are made on its thread.
            owner: Receiver of messages and changes, called on the same thread.
            metrics: Counters of events.
            identity: Identity of this process.
            listen: Address to bind, "host:port".
            addresses: Address of each peer as reachable from this process, "host:port" by name.
            seed: Seed of the jitter of reconnections.
            streams: Whether to use streams as well as datagrams.

        Raises OSError if `listen` can't be bound, ValueError if a port is not a number.
        """
        self.actor = actor
        self.owner = owner
        self.metrics = metrics
        self.addresses = {
            peer: parse_address(address) for peer, address in addresses.items() if peer != identity.name
        }
        hosts = {peer: host for peer, (host, _) in self.addresses.items()}
        self.sessions = SessionManager(self, identity, hosts, seed, streams)
        self.streams: dict[int, StreamConnection] = {}  # by number of the link; removed when links end
        self.bytes_sent = 0
        self.datagrams_sent = 0
        self.endpoint = Endpoint(parse_address(listen), self, metrics)

    def start(self) -> None:
        """Start accepting connections and reading datagrams."""
        self.endpoint.start()

    def tick(self) -> None:
        """Handle timers."""
        self.sessions.tick(clock.now_ms())

    def begin_incarnation(self, incarnation: int, nonce: int) -> None:
        """Begin a new incarnation: all connections are established again."""
        self.sessions.begin_incarnation(clock.now_ms(), incarnation, nonce)

    def send(self, peer: str, kind: str, body: Any) -> bool:
        """Queue a message on the stream to a peer; return False if there is none."""
        return self.sessions.send(clock.now_ms(), peer, kind, body)

    def send_datagram(self, peer: str, body: Any, kind: str = DATAGRAM_KIND) -> None:
        """Send a datagram; it may be lost, and is dropped if it is too long or the socket buffer is full."""
        try:
            data = self._encode(self.sessions.next_datagram_sequence(), kind, body)
            if len(data) > framing.MAX_DATAGRAM_BYTES:
                self.metrics.log_sampled("datagram_too_long", bytes=len(data))
                return
            self.bytes_sent += len(data)
            self.datagrams_sent += 1
            self.endpoint.send_datagram(data, self.addresses[peer])
        except OSError as problem:  # the peer is unreachable, or the socket buffer is full
            self.metrics.log_sampled("datagram_not_sent", problem=str(problem))

    # -- actions of the session manager

    def connect(self, peer: str, link: int) -> None:
        """Connect on a new thread; see `SessionActions`."""
        self.endpoint.connect(link, self.addresses[peer])

    def write(self, link: int, kind: str, body: Any, sequence: int) -> bool:
        """Queue a frame on a stream; see `SessionActions`."""
        stream = self.streams.get(link)
        if stream is None:
            return False
        try:
            data = self._encode(sequence, kind, body)
        except FrameError:
            self.metrics.log_sampled("peer_message_too_long", kind=kind)
            self.actor.post(self.on_connection_ended, link, "a message of ours was too long")
            return False
        self.bytes_sent += len(data)
        if stream.put(kind, data):  # an older message was dropped: the peer counts a gap
            self.metrics.log_sampled("peer_behind", kind=kind)
        return True

    def close_link(self, link: int) -> None:
        """Close a stream; see `SessionActions`."""
        if link in self.streams:
            self.streams.pop(link).close()

    def deliver(self, peer: str, kind: str, body: Any) -> None:
        """Pass a message to the owner."""
        self.owner.on_message(peer, kind, body)

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """Report a link state to the owner."""
        self.owner.on_link_state(peer, state)

    def on_peer_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Report a new incarnation of a peer to the owner."""
        self.owner.on_peer_incarnation(peer, incarnation, nonce)

    def on_later_incarnation(self, incarnation: int, nonce: int) -> None:
        """Report a later incarnation of this process to the owner."""
        self.owner.on_later_incarnation(incarnation, nonce)

    def send_known_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Send a peer its known incarnation by datagram; see `SessionActions`."""
        self.send_datagram(peer, [incarnation, nonce], INCARNATION_KIND)

    def count_event(self, name: str, **fields: Any) -> None:
        """Count an event by its reason, and log it when the count is a power of two.

        There are few reasons; with a common count, many events for one reason would hide those for another.
        May be called on any thread.
        """
        why = fields.get("why", "")
        count = self.metrics.increment(f"{name} {why}".rstrip())
        if count & (count - 1) == 0:
            log.warning(name, count=count, **fields)

    # -- events that other threads post to the actor

    def on_connected(self, link: int, sock: socket.socket) -> None:
        """Start the stream of a connection that this process requested."""
        if link not in self.sessions.links:
            sock.close()
            return
        if self.start_stream(link, sock):
            self.sessions.on_connected(clock.now_ms(), link)

    def on_accepted(self, sock: socket.socket, address: str) -> None:
        """Start the stream of an accepted connection, or close the connection if it is refused."""
        link = self.sessions.on_accepted(clock.now_ms(), address)
        if not link:
            sock.close()
            return
        self.start_stream(link, sock)

    def start_stream(self, link: int, sock: socket.socket) -> bool:
        """Start the reader and writer of a connection; return False if it has failed already."""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as problem:  # reset; must be reported, or the link stays in CONNECTING
            sock.close()
            self.on_connection_ended(link, _describe_error(problem))
            return False
        stream = self.streams[link] = StreamConnection(sock)
        start_thread(lambda: self._read(link, stream), "transport-read", self.metrics)
        start_thread(lambda: self._write(link, stream), "transport-write", self.metrics)
        return True

    def on_connection_ended(self, link: int, reason: str) -> None:
        """Handle a connection that ended or could not be established."""
        self.sessions.on_closed(clock.now_ms(), link, reason)

    def on_envelope(self, link: int, envelope: Envelope) -> None:
        """Handle a frame received on a stream."""
        self.sessions.receive(clock.now_ms(), link, envelope)

    def on_datagram(self, address: str, envelope: Envelope) -> None:
        """Pass a datagram to the owner, or compare the incarnation in it."""
        if not self.sessions.accept_datagram(clock.now_ms(), address, envelope):
            return
        if envelope.kind != INCARNATION_KIND:
            self.owner.on_datagram(envelope.sender, envelope.body)
            return
        try:
            incarnation, nonce = envelope.body
            self.sessions.compare_incarnation(int(incarnation), int(nonce))
        except framing.MALFORMED_BODY_ERRORS:
            self.count_event("peer_refused", why=FrameFault.MALFORMED.log_term, peer=envelope.sender)

    # -- callbacks of the endpoint, on its threads

    def stream_accepted(self, sock: socket.socket, host: str) -> None:
        """Post an accepted connection to the actor."""
        self.actor.post_when_room(self.on_accepted, sock, host)

    def stream_connected(self, link: int, sock: socket.socket) -> None:
        """Post a requested connection to the actor."""
        self.actor.post(self.on_connected, link, sock)

    def connect_failed(self, link: int, problem: Exception) -> None:
        """Post the failure to connect to the actor."""
        self.actor.post(self.on_connection_ended, link, f"no connection: {_describe_error(problem)}")

    def datagram_received(self, host: str, envelope: Envelope) -> None:
        """Post a datagram to the actor."""
        self.actor.post_when_room(self.on_datagram, host, envelope)

    def datagram_refused(self, fault: FrameFault) -> None:
        """Count a datagram that can't be decoded."""
        self.count_event("peer_refused", why=fault.log_term)

    # -- threads of one stream

    def _read(self, link: int, stream: StreamConnection) -> None:
        reason = "closed by the other side"
        try:
            stream.read(lambda envelope: self.actor.post_when_room(self.on_envelope, link, envelope))
        except FrameError as problem:
            self.count_event("peer_refused", why=problem.fault.log_term)
            reason = f"an unreadable message: {problem.fault}"
        except OSError as problem:
            reason = _describe_error(problem)
        self.actor.post(self.on_connection_ended, link, reason)

    def _write(self, link: int, stream: StreamConnection) -> None:
        try:
            stream.write()
        except OSError as problem:
            self.actor.post(self.on_connection_ended, link, _describe_error(problem))
        stream.finish()

    def _encode(self, sequence: int, kind: str, body: Any) -> bytes:
        local = self.sessions.identity
        envelope = Envelope(local.fleet, local.name, local.incarnation, local.nonce, sequence, kind, body)
        return framing.encode_frame(envelope)


def _describe_error(problem: Exception) -> str:
    return str(getattr(problem, "strerror", None) or problem)
