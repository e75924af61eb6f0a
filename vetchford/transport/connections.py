"""The sockets between programs: one port for datagrams and for streams, a reader and a writer for each
stream.

Carries out what `SessionManager` decides. All decisions are made on the thread of the actor that owns it; a
peer that stalls delays its own writer alone.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, Protocol

import structlog

from vetchford.runtime.actor import Actor, start_thread
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics
from vetchford.transport import framing
from vetchford.transport.framing import Envelope, FrameError
from vetchford.transport.peers import Identity, LinkState
from vetchford.transport.session import Outbox, SessionManager

log = structlog.get_logger()

DIALS = 1.0  # s for a connection: within a site one takes a few ms
READ = 64 * 1024  # bytes at once


class Owner(Protocol):
    """Whose mailbox all of it comes to."""

    def on_message(self, peer: str, kind: str, body: Any) -> None: ...

    def on_datagram(self, peer: str, body: Any) -> None: ...

    def on_link_state(self, peer: str, state: LinkState) -> None: ...

    def on_peer_incarnation(self, peer: str, life: int, nonce: int) -> None: ...

    def on_later_incarnation(self, life: int, nonce: int) -> None: ...


class StreamWriter:
    """One stream: its socket, and what waits to be written."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.outbox, self.ready, self.open = sock, Outbox(), threading.Condition(), True
        self.read_out = threading.Event()  # its reader is through

    def put(self, kind: str, data: bytes) -> int:
        with self.ready:
            dropped = self.outbox.put(kind, data)
            self.ready.notify()
        return dropped

    def shut(self) -> None:
        with self.ready:
            self.open = False
            self.ready.notify()
        with contextlib.suppress(OSError):  # the other side was sooner
            self.sock.shutdown(socket.SHUT_RDWR)


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class Transport:
    """Begun by `begin`; `tick` is called by its actor several times a second."""

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
        """`addresses`: where each peer is to be found from here. OSError where `listen` can't be had."""
        self.actor, self.owner, self.metrics = actor, owner, metrics
        self.addresses = {
            peer: split(address) for peer, address in addresses.items() if peer != identity.name
        }
        self.sessions = SessionManager(
            self,
            identity,
            {peer: host for peer, (host, _) in self.addresses.items()},
            seed,
            streams,
        )
        self.wires: dict[int, StreamWriter] = {}  # emptied as connections end
        self.bytes_out = self.datagrams_out = 0
        self.here = split(listen)
        self.listener = socket.create_server(self.here, backlog=64)
        try:
            self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.datagrams.bind(self.here)
        except OSError:
            self.listener.close()
            raise

    def start(self) -> None:
        start_thread(self.accept, "peers-door", self.metrics)
        start_thread(self.read_datagrams, "peers-datagrams", self.metrics)

    def now(self) -> float:
        return clock.now()

    def tick(self) -> None:
        self.sessions.tick(self.now())

    def begin_incarnation(self, incarnation: int, nonce: int) -> None:
        """A new life: all connections are made anew under it."""
        for number in list(self.sessions.links):
            self.sessions.closed(self.now(), number, "a new life of ours")
        identity = replace(self.sessions.identity, incarnation=incarnation, nonce=nonce)
        self.sessions.identity, self.sessions.sequence = identity, 0

    def send(self, peer: str, kind: str, body: Any) -> bool:
        return self.sessions.send(self.now(), peer, kind, body)

    def send_datagram(self, peer: str, body: Any, kind: str = "news") -> None:
        """A datagram; it may be lost."""
        try:
            data = framing.packed(self.envelope(self.sessions.next_datagram(), kind, body))
            if len(data) > framing.MOST_DATAGRAM:
                self.metrics.log_sampled("datagram_too_long", bytes=len(data))
                return
            self.bytes_out += len(data)
            self.datagrams_out += 1
            self.datagrams.sendto(data, socket.MSG_DONTWAIT, self.addresses[peer])
        except OSError as problem:  # nobody there, or no room: as if it were lost
            self.metrics.log_sampled("datagram_not_sent", problem=str(problem))

    def envelope(self, sequence: int, kind: str, body: Any) -> Envelope:
        local = self.sessions.identity
        return Envelope(local.fleet, local.name, local.incarnation, local.nonce, sequence, kind, body)

    # -- the host

    def dial(self, peer: str, link: int) -> None:
        def act() -> None:
            try:
                sock = socket.create_connection(self.addresses[peer], DIALS, (self.here[0], 0))
                sock.settimeout(None)
            except Exception as problem:  # whatever it is: a dial without an end would never be made again
                why = getattr(problem, "strerror", None) or problem
                self.actor.post(self.ended, link, f"no connection: {why}")
                return
            self.actor.post(self.dialled, link, sock)

        start_thread(act, "peers-dial", self.metrics)

    def write(self, link: int, kind: str, body: Any, sequence: int) -> bool:
        wire = self.wires.get(link)
        if wire is None:
            return False
        try:
            data = framing.packed(self.envelope(sequence, kind, body))
        except FrameError:
            self.metrics.log_sampled("peer_message_too_long", kind=kind)
            self.actor.post(self.ended, link, "a message of ours was too long")
            return False
        self.bytes_out += len(data)
        if wire.put(kind, data):
            self.metrics.log_sampled(
                "peer_behind", kind=kind
            )  # its oldest news went: the other side counts a gap
        return True

    def shut(self, link: int) -> None:
        if link in self.wires:
            self.wires.pop(link).shut()

    def deliver(self, peer: str, kind: str, body: Any) -> None:
        self.owner.on_message(peer, kind, body)

    def on_link_state(self, peer: str, state: LinkState) -> None:
        self.owner.on_link_state(peer, state)

    def on_peer_incarnation(self, peer: str, life: int, nonce: int) -> None:
        self.owner.on_peer_incarnation(peer, life, nonce)

    def on_later_incarnation(self, life: int, nonce: int) -> None:
        self.owner.on_later_incarnation(life, nonce)

    def tell_life(self, peer: str, life: int, nonce: int) -> None:
        self.send_datagram(peer, [life, nonce], "life")

    def count(self, name: str, **fields: Any) -> None:
        """By its reason, which are few: a crowd of one kind must not hide another."""
        why = fields.get("why", "")
        count = self.metrics.increment(f"{name} {why}".rstrip())
        if count & (count - 1) == 0:
            log.warning(name, count=count, **fields)

    # -- told to the actor by the threads beside it

    def dialled(self, link: int, sock: socket.socket) -> None:
        if link not in self.sessions.links:
            sock.close()
            return
        if self.serve(link, sock):
            self.sessions.opened(self.now(), link)

    def taken(self, sock: socket.socket, address: str) -> None:
        link = self.sessions.accepted(self.now(), address)
        if not link:
            sock.close()
            return
        self.serve(link, sock)

    def serve(self, link: int, sock: socket.socket) -> bool:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as problem:  # reset by now: untold, the link would be held for one that is being made
            sock.close()
            self.ended(link, str(problem.strerror or problem))
            return False
        wire = self.wires[link] = StreamWriter(sock)
        start_thread(lambda: self.read(link, wire), "peers-read", self.metrics)
        start_thread(lambda: self.write_out(link, wire), "peers-write", self.metrics)
        return True

    def ended(self, link: int, why: str) -> None:
        self.sessions.closed(self.now(), link, why)

    def arrived(self, link: int, envelope: Envelope) -> None:
        self.sessions.heard(self.now(), link, envelope)

    def thrown(self, address: str, envelope: Envelope) -> None:
        if not self.sessions.datagram(self.now(), address, envelope):
            return
        if envelope.kind == "life":
            try:
                life, nonce = envelope.body
                self.sessions.compare(int(life), int(nonce))
            except framing.MALFORMED:
                self.count("peer_refused", why="malformed", peer=envelope.sender)
        else:
            self.owner.on_datagram(envelope.sender, envelope.body)

    # -- threads

    def accept(self) -> None:
        while True:
            try:
                sock, (address, _) = self.listener.accept()
            except OSError as problem:  # descriptors ran out: they wait in the backlog
                self.metrics.log_sampled("accept_failed", problem=str(problem))
                time.sleep(0.1)
                continue
            self.actor.post_when_room(self.taken, sock, address)

    def read_datagrams(self) -> None:
        while True:
            try:
                data, (address, _) = self.datagrams.recvfrom(framing.MOST_DATAGRAM + 1)
                self.actor.post_when_room(self.thrown, address, framing.datagram(data))
            except FrameError as problem:
                self.count("peer_refused", why=str(problem))
            except OSError as problem:  # an answer of the system to one that we sent to nobody
                self.metrics.log_sampled("datagram_not_read", problem=str(problem))
                time.sleep(0.01)

    def read(self, link: int, wire: StreamWriter) -> None:
        stream, why = framing.Stream(), "closed by the other side"
        try:
            while more := wire.sock.recv(READ):
                for envelope in stream.feed(more):
                    self.actor.post_when_room(self.arrived, link, envelope)
        except FrameError as problem:
            self.count("peer_refused", why=str(problem))
            why = f"an unreadable message: {problem}"
        except OSError as problem:
            why = str(problem.strerror or problem)
        finally:
            wire.read_out.set()
        self.actor.post(self.ended, link, why)

    def write_out(self, link: int, wire: StreamWriter) -> None:
        try:
            while True:
                with wire.ready:
                    while wire.open and not wire.outbox.items:
                        wire.ready.wait()
                    data = wire.outbox.take() if wire.open else None
                if data is None:
                    break
                wire.sock.sendall(data)
        except OSError as problem:
            self.actor.post(self.ended, link, str(problem.strerror or problem))
        wire.shut()  # wakes the reader
        wire.read_out.wait()  # closed under it, its number could be another connection's as it reads on
        wire.sock.close()
