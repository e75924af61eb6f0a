"""`Transport`: carries out what `SessionManager` decides, by the sockets of an endpoint and of its streams.

All decisions are made on the thread of the actor that owns it; the threads of the sockets post what they get
to that actor.
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

INCARNATION_KIND = "life"  # datagrams that tell a peer which incarnation of it is known
DATAGRAM_KIND = "news"  # all others


class Owner(Protocol):
    """What the transport tells, on the thread of its actor."""

    def on_message(self, peer: str, kind: str, body: Any) -> None:
        """A message came by stream."""

    def on_datagram(self, peer: str, body: Any) -> None:
        """A datagram came."""

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """The state of a peer's link has changed."""

    def on_peer_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """A peer began a new incarnation."""

    def on_later_incarnation(self, incarnation: int, nonce: int) -> None:
        """A peer knows a later incarnation of this process's name, or another nonce of this one."""


class Transport:
    """Streams and datagrams to all listed peers.

    After `start`, its actor calls `tick` several times a second. All methods are for the actor's thread, but
    for those of the section on threads.
    """

    def __init__(
        self,
        actor: Actor,
        owner: Owner,
        metrics: Metrics,
        identity: Identity,
        listen: str,
        addresses: Mapping[str, str],
        seed: int,
        streams: bool = True,
    ) -> None:
        """Binds its address; the actor owns it.

        Args:
            actor: On whose thread all decisions are made.
            owner: Told what comes, on the same thread.
            metrics: Where events are counted.
            identity: Of this process.
            listen: The address to bind, "host:port".
            addresses: Where each peer is to be found from here, "host:port" by name.
            seed: Chooses the jitter of reconnections.
            streams: Whether there are connections, or datagrams only.

        Raises OSError where `listen` can't be bound, ValueError where a port is no number.
        """
        self.actor = actor
        self.owner = owner
        self.metrics = metrics
        self.addresses = {
            peer: parse_address(address) for peer, address in addresses.items() if peer != identity.name
        }
        hosts = {peer: host for peer, (host, _) in self.addresses.items()}
        self.sessions = SessionManager(self, identity, hosts, seed, streams)
        self.streams: dict[int, StreamConnection] = {}  # by number of the link; removed as links end
        self.bytes_sent = 0
        self.datagrams_sent = 0
        self.endpoint = Endpoint(parse_address(listen), self, metrics)

    def start(self) -> None:
        """Begins to accept connections and to read datagrams."""
        self.endpoint.start()

    def tick(self) -> None:
        """Handles timers."""
        self.sessions.tick(clock.now())

    def begin_incarnation(self, incarnation: int, nonce: int) -> None:
        """Goes on under another incarnation: all connections are made anew."""
        self.sessions.begin_incarnation(clock.now(), incarnation, nonce)

    def send(self, peer: str, kind: str, body: Any) -> bool:
        """Queues a message on the stream to a peer; False where there is none."""
        return self.sessions.send(clock.now(), peer, kind, body)

    def send_datagram(self, peer: str, body: Any, kind: str = DATAGRAM_KIND) -> None:
        """Sends a datagram; it may be lost, and is where it is too long or the socket's buffer is full."""
        try:
            data = self._encode(self.sessions.next_datagram_sequence(), kind, body)
            if len(data) > framing.MAX_DATAGRAM_BYTES:
                self.metrics.log_sampled("datagram_too_long", bytes=len(data))
                return
            self.bytes_sent += len(data)
            self.datagrams_sent += 1
            self.endpoint.send_datagram(data, self.addresses[peer])
        except OSError as problem:  # nobody there, or no room
            self.metrics.log_sampled("datagram_not_sent", problem=str(problem))

    # -- what the session manager acts through

    def connect(self, peer: str, link: int) -> None:
        """Connects on a thread of its own; see `SessionActions`."""
        self.endpoint.connect(link, self.addresses[peer])

    def write(self, link: int, kind: str, body: Any, sequence: int) -> bool:
        """Queues a frame on a stream; see `SessionActions`."""
        stream = self.streams.get(link)
        if stream is None:
            return False
        try:
            data = self._encode(sequence, kind, body)
        except FrameError:
            self.metrics.log_sampled("peer_message_too_long", kind=kind)
            self.actor.post(self.on_ended, link, "a message of ours was too long")
            return False
        self.bytes_sent += len(data)
        if stream.put(kind, data):  # its oldest message was dropped: the other side counts a gap
            self.metrics.log_sampled("peer_behind", kind=kind)
        return True

    def close_link(self, link: int) -> None:
        """Closes a stream; see `SessionActions`."""
        if link in self.streams:
            self.streams.pop(link).close()

    def deliver(self, peer: str, kind: str, body: Any) -> None:
        """Passes a message on to the owner."""
        self.owner.on_message(peer, kind, body)

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """Tells the owner."""
        self.owner.on_link_state(peer, state)

    def on_peer_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Tells the owner."""
        self.owner.on_peer_incarnation(peer, incarnation, nonce)

    def on_later_incarnation(self, incarnation: int, nonce: int) -> None:
        """Tells the owner."""
        self.owner.on_later_incarnation(incarnation, nonce)

    def send_known_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Tells a peer by datagram; see `SessionActions`."""
        self.send_datagram(peer, [incarnation, nonce], INCARNATION_KIND)

    def count_event(self, name: str, **fields: Any) -> None:
        """Counts an event by its reason, and logs it at counts that are powers of two.

        The reasons are few; counted together, many events for one reason would hide those for another. May
        be called on any thread.
        """
        why = fields.get("why", "")
        count = self.metrics.increment(f"{name} {why}".rstrip())
        if count & (count - 1) == 0:
            log.warning(name, count=count, **fields)

    # -- posted to the actor by the other threads

    def on_connected(self, link: int, sock: socket.socket) -> None:
        """A connection that we asked for is established."""
        if link not in self.sessions.links:
            sock.close()
            return
        if self.start_stream(link, sock):
            self.sessions.on_connected(clock.now(), link)

    def on_accepted(self, sock: socket.socket, address: str) -> None:
        """Somebody connected to us."""
        link = self.sessions.on_accepted(clock.now(), address)
        if not link:
            sock.close()
            return
        self.start_stream(link, sock)

    def start_stream(self, link: int, sock: socket.socket) -> bool:
        """Starts the reader and writer of a connection; False where it is broken already."""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as problem:  # reset by now: unreported, the link would stay in CONNECTING
            sock.close()
            self.on_ended(link, _describe(problem))
            return False
        stream = self.streams[link] = StreamConnection(sock)
        start_thread(lambda: self._read(link, stream), "transport-read", self.metrics)
        start_thread(lambda: self._write(link, stream), "transport-write", self.metrics)
        return True

    def on_ended(self, link: int, reason: str) -> None:
        """A connection ended, or could not be made."""
        self.sessions.on_closed(clock.now(), link, reason)

    def on_envelope(self, link: int, envelope: Envelope) -> None:
        """A frame came by stream."""
        self.sessions.receive(clock.now(), link, envelope)

    def on_datagram(self, address: str, envelope: Envelope) -> None:
        """A datagram came."""
        if not self.sessions.accept_datagram(clock.now(), address, envelope):
            return
        if envelope.kind != INCARNATION_KIND:
            self.owner.on_datagram(envelope.sender, envelope.body)
            return
        try:
            incarnation, nonce = envelope.body
            self.sessions.compare_incarnation(int(incarnation), int(nonce))
        except framing.MALFORMED:
            self.count_event("peer_refused", why=FrameFault.MALFORMED.log_term, peer=envelope.sender)

    # -- what the endpoint tells, on its threads

    def stream_accepted(self, sock: socket.socket, host: str) -> None:
        """Hands an accepted connection to the actor."""
        self.actor.post_when_room(self.on_accepted, sock, host)

    def stream_connected(self, link: int, sock: socket.socket) -> None:
        """Hands a connection that we asked for to the actor."""
        self.actor.post(self.on_connected, link, sock)

    def connect_failed(self, link: int, problem: Exception) -> None:
        """Tells the actor that there is no connection."""
        self.actor.post(self.on_ended, link, f"no connection: {_describe(problem)}")

    def datagram_received(self, host: str, envelope: Envelope) -> None:
        """Hands a datagram to the actor."""
        self.actor.post_when_room(self.on_datagram, host, envelope)

    def datagram_refused(self, fault: FrameFault) -> None:
        """Counts a datagram that can't be read."""
        self.count_event("peer_refused", why=fault.log_term)

    # -- the threads of one stream

    def _read(self, link: int, stream: StreamConnection) -> None:
        reason = "closed by the other side"
        try:
            stream.read(lambda envelope: self.actor.post_when_room(self.on_envelope, link, envelope))
        except FrameError as problem:
            self.count_event("peer_refused", why=problem.fault.log_term)
            reason = f"an unreadable message: {problem.fault}"
        except OSError as problem:
            reason = _describe(problem)
        self.actor.post(self.on_ended, link, reason)

    def _write(self, link: int, stream: StreamConnection) -> None:
        try:
            stream.write()
        except OSError as problem:
            self.actor.post(self.on_ended, link, _describe(problem))
        stream.finish()

    def _encode(self, sequence: int, kind: str, body: Any) -> bytes:
        local = self.sessions.identity
        envelope = Envelope(local.fleet, local.name, local.incarnation, local.nonce, sequence, kind, body)
        return framing.encode_frame(envelope)


def _describe(problem: Exception) -> str:
    return str(getattr(problem, "strerror", None) or problem)
