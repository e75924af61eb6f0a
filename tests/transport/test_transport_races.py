"""Races of the transport and the fleet member, with real sockets on loopback. Rows: docs/crossings.md."""

import math
import queue
import socket
import threading

import msgspec
import pytest
import xxhash

from testkit.fakes.peers import WAIT_TIMEOUT_S
from testkit.faults.checkpoints import GUARDED_WAIT_S, Checkpoint, Wrapped
from testkit.faults.waiting import wait_until
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
    """One process "a" that lists the peer "b": its transport, an actor and its datagrams."""

    def __init__(self):
        self.metrics = Metrics()
        self.datagrams = queue.Queue()
        self.actor = Actor("a", self.metrics)
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.transport = Transport(
            self.actor,
            self,
            self.metrics,
            Identity("pay", "a", 1, 1),
            f"127.0.0.1:{self.port}",
            {"b": "127.0.0.1:9"},
            1,
        )

    def on_datagram(self, peer, body):
        self.datagrams.put((peer, body))

    def on_link_state(self, peer, state): ...

    def on_peer_incarnation(self, peer, life, nonce): ...

    def start(self):
        self.actor.start()
        self.transport.start()

    def send_to_it(self, data):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, ("127.0.0.1", self.port))


@pytest.fixture
def side():
    one = Side()
    yield one
    one.transport.endpoint.close()


def envelope_of(sequence, kind="news", body="word"):
    return Envelope("pay", "b", 1, 7, sequence, kind, body)


def test_a_connection_of_ours_reset_before_its_option_is_set_is_attempted_again(side):
    """It stands, and breaks before the actor has taken it over."""
    peers = side.transport.sessions
    number = peers.peers["b"].link = peers.link_table.add(0.0, "b", LinkState.CONNECTING)
    peers.link_table.set_state("b", LinkState.CONNECTING)
    mine, _ = socket.socketpair()

    def refuses(*given):
        raise OSError(22, "Invalid argument")

    side.transport.on_connected(number, Wrapped(mine, setsockopt=refuses))
    assert not peers.links and peers.peers["b"].state is LinkState.OFF
    dialled = []
    side.transport.connect = lambda peer, link: dialled.append(peer)
    peers.tick(1e12)
    assert dialled == ["b"]


def test_a_closed_connection_keeps_its_descriptor_until_its_reader_is_done(side):
    """The reader is just about to read; closed now, its number could be the next connection's."""
    peers, gate, closed = side.transport.sessions, Checkpoint(), threading.Event()
    mine, _ = socket.socketpair()
    wrapped = Wrapped(mine, recv=gate.before(mine.recv), close=closed.set, setsockopt=lambda *given: None)
    number = peers.on_accepted(0.0, "127.0.0.1")
    side.transport.start_stream(number, wrapped)
    gate.wait()
    side.transport.close_link(number)
    assert not closed.wait(GUARDED_WAIT_S)
    gate.open()
    assert closed.wait(WAIT_TIMEOUT_S)
    mine.close()


def with_invalid_text(envelope):
    """The same with a name that is no UTF-8, and a checksum that fits it."""
    body = msgspec.msgpack.encode(envelope).replace(b"news", b"\xff\xfe\xfd\xfc")
    return HEADER.pack(MAGIC, VERSION, 0, len(body), xxhash.xxh3_64_intdigest(body)) + body


@pytest.mark.parametrize(
    "bad",
    [
        with_invalid_text(envelope_of(1)),
        framing.encode_frame(envelope_of(1, "life", [math.inf, 1])),
        framing.encode_frame(envelope_of(1, "life", {"life": 1})),
    ],
    ids=["no UTF-8", "an infinite incarnation", "no list"],
)
def test_after_a_malformed_datagram_the_next_one_is_read(side, bad):
    side.start()
    side.send_to_it(bad)
    wait_until(lambda: any("malformed" in name for name in side.metrics.by_name), "it is refused and counted")
    side.send_to_it(framing.encode_frame(envelope_of(2)))
    assert side.datagrams.get(timeout=WAIT_TIMEOUT_S) == ("b", "word")


def make_fleet_member():
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


def test_a_service_found_unavailable_during_shutdown_makes_it_ask_for_no_probe_lease():
    """All leases are released at the notice; then the records service is found unavailable."""
    member = make_fleet_member()
    member.request_probe_lease()
    assert PROBE_LEASE_NAME in member.lease_client.requests
    member.leave()
    member.signal_policy.records.set_state(member.now(), RecordsState.UNAVAILABLE, "its calls are lost")
    assert not member.lease_client.requests


def test_an_infinite_number_in_a_membership_message_is_counted_as_malformed():
    member = make_fleet_member()
    member.on_datagram("b", ["view", "ping", math.inf, "", []])
    member.on_datagram("b", ["view", "ping", 1, "", [["b", "alive", math.inf]]])
    assert member.metrics.by_name["peer_malformed"] == 2
