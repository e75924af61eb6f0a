"""What our own programs say to each other, between two lines, on loopback. Rows: docs/crossings.md."""

import math
import queue
import socket
import threading

import msgspec
import pytest
import xxhash

from testkit.fakes.peers import PATIENCE
from testkit.faults.checkpoints import SHORT, Checkpoint, Wrapped, until
from vetchford.coordination.fleet_member import FleetMember
from vetchford.gossip.fleet_signals import PROBE_LEASE_NAME
from vetchford.gossip.records_health import RecordsState
from vetchford.runtime.actor import Actor
from vetchford.runtime.metrics import Metrics
from vetchford.transport import framing
from vetchford.transport.connections import Transport
from vetchford.transport.framing import HEADER, MAGIC, VERSION, Envelope
from vetchford.transport.peers import Identity, LinkState


class Side:
    """One program "a" that knows "b": its talk, an actor, and what it is brought."""

    def __init__(self):
        self.metrics, self.brought = Metrics(), queue.Queue()
        self.actor = Actor("a", self.metrics)
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.talk = Transport(
            self.actor,
            self,
            self.metrics,
            Identity("pay", "a", 1, 1),
            f"127.0.0.1:{self.port}",
            {"b": "127.0.0.1:9"},
            1,
        )

    def on_datagram(self, peer, body):
        self.brought.put((peer, body))

    def on_link_state(self, peer, state): ...

    def on_peer_incarnation(self, peer, life, nonce): ...

    def begin(self):
        self.actor.start()
        self.talk.start()

    def throw(self, data):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, ("127.0.0.1", self.port))


@pytest.fixture
def side():
    one = Side()
    yield one
    one.talk.listener.close()
    one.talk.datagram_socket.close()


def said(sequence, kind="news", body="word"):
    return Envelope("pay", "b", 1, 7, sequence, kind, body)


def test_a_dialled_connection_reset_before_its_option_is_set_is_called_for_again(side):
    """It stands, and breaks before the actor has taken it over."""
    peers = side.talk.sessions
    number = peers.peers["b"].link = peers.add_link(0.0, "b", LinkState.CONNECTING)
    peers.set_state("b", LinkState.CONNECTING)
    mine, _ = socket.socketpair()

    def refuses(*given):
        raise OSError(22, "Invalid argument")

    side.talk.on_connected(number, Wrapped(mine, setsockopt=refuses))
    assert not peers.links and peers.peers["b"].state is LinkState.OFF
    dialled = []
    side.talk.connect = lambda peer, link: dialled.append(peer)
    peers.tick(1e12)
    assert dialled == ["b"]


def test_a_connection_that_is_shut_keeps_its_number_until_its_reader_is_through(side):
    """The reader is just about to read; closed now, its number could be the next connection's."""
    peers, gate, closed = side.talk.sessions, Checkpoint(), threading.Event()
    mine, _ = socket.socketpair()
    wrapped = Wrapped(mine, recv=gate.before(mine.recv), close=closed.set, setsockopt=lambda *given: None)
    number = peers.on_accepted(0.0, "127.0.0.1")
    side.talk.start_stream(number, wrapped)
    gate.wait()
    side.talk.close_link(number)
    assert not closed.wait(SHORT)
    gate.open()
    assert closed.wait(PATIENCE)
    mine.close()


def spoilt_words(envelope):
    """The same with a name that is no UTF-8, and a checksum that fits it."""
    body = msgspec.msgpack.encode(envelope).replace(b"news", b"\xff\xfe\xfd\xfc")
    return HEADER.pack(MAGIC, VERSION, 0, len(body), xxhash.xxh3_64_intdigest(body)) + body


@pytest.mark.parametrize(
    "bad",
    [
        spoilt_words(said(1)),
        framing.encode_frame(said(1, "life", [math.inf, 1])),
        framing.encode_frame(said(1, "life", {"life": 1})),
    ],
    ids=["no UTF-8", "an infinite life", "no list"],
)
def test_a_datagram_of_the_wrong_form_deafens_nobody(side, bad):
    side.begin()
    side.throw(bad)
    until(lambda: any("malformed" in name for name in side.metrics.by_name), "it is refused and counted")
    side.throw(framing.encode_frame(said(2)))
    assert side.brought.get(timeout=PATIENCE) == ("b", "word")


def neighbours():
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    servers = {"a": f"127.0.0.1:{port}", "b": "127.0.0.1:9"}
    told = {
        "name": "a",
        "fleet": "pay",
        "listen": servers["a"],
        "servers": servers,
        "keepers": ["a", "b"],
        "turns": {},
        "probes": 1,
        "zone": "",
        "records": True,
        "full": True,
    }
    return FleetMember(told, 1, Metrics(), lambda tell: None, lambda numbers: None)


def test_a_service_held_for_dead_in_a_drain_takes_no_turn_that_its_end_would_keep():
    """The turn is given back at the notice; then the records service is held for dead."""
    one = neighbours()
    one.request_probe_lease()
    assert PROBE_LEASE_NAME in one.lease_client.requests
    one.leave()
    one.signal_policy.records.set_state(one.now(), RecordsState.UNAVAILABLE, "its calls are lost")
    assert not one.lease_client.requests


def test_an_infinite_number_in_a_view_is_counted_and_no_more():
    one = neighbours()
    one.on_datagram("b", ["view", "ping", math.inf, "", []])
    one.on_datagram("b", ["view", "ping", 1, "", [["b", "alive", math.inf]]])
    assert one.metrics.by_name["peer_malformed"] == 2
