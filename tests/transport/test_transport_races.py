"""Races of the transport and the fleet member, with sockets on loopback; docs/crossings.md lists them."""

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


class LocalProcess:
    """The process "a" with the peer "b": its transport, its actor and the datagrams that it received."""

    def __init__(self):
        self.metrics = Metrics()
        self.datagrams = queue.Queue()
        self.actor = Actor("a", self.metrics)
        with socket.create_server(("127.0.0.1", 0)) as free_port:
            self.port = free_port.getsockname()[1]
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

    def on_peer_incarnation(self, peer, incarnation, nonce): ...

    def start(self):
        self.actor.start()
        self.transport.start()

    def receive_bytes(self, data):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, ("127.0.0.1", self.port))


@pytest.fixture
def local():
    process = LocalProcess()
    yield process
    process.transport.endpoint.close()


def envelope_of(sequence, kind="news", body="word"):
    return Envelope("pay", "b", 1, 7, sequence, kind, body)


def test_a_connection_of_ours_reset_before_its_option_is_set_is_attempted_again(local):
    """Reset a connection before the actor has started its stream: the link must not stay CONNECTING."""
    sessions = local.transport.sessions
    link_number = sessions.peers["b"].link = sessions.link_table.add(0.0, "b", LinkState.CONNECTING)
    sessions.link_table.set_state("b", LinkState.CONNECTING)
    local_socket, _ = socket.socketpair()

    def fail_to_set_option(*arguments):
        raise OSError(22, "Invalid argument")

    local.transport.on_connected(link_number, Wrapped(local_socket, setsockopt=fail_to_set_option))
    assert not sessions.links and sessions.peers["b"].state is LinkState.OFF
    connected_peers = []
    local.transport.connect = lambda peer, link: connected_peers.append(peer)
    sessions.tick(1e12)
    assert connected_peers == ["b"]


def test_a_closed_connection_keeps_its_descriptor_until_its_reader_is_done(local):
    """Close a link whose reader is about to read: its descriptor must stay open until the reader ends."""
    sessions, read_checkpoint, closed = local.transport.sessions, Checkpoint(), threading.Event()
    local_socket, _ = socket.socketpair()
    wrapped = Wrapped(
        local_socket,
        recv=read_checkpoint.before(local_socket.recv),
        close=closed.set,
        setsockopt=lambda *arguments: None,
    )
    link_number = sessions.on_accepted(0.0, "127.0.0.1")
    local.transport.start_stream(link_number, wrapped)
    read_checkpoint.wait()
    local.transport.close_link(link_number)
    assert not closed.wait(GUARDED_WAIT_S)
    read_checkpoint.open()
    assert closed.wait(WAIT_TIMEOUT_S)
    local_socket.close()


def with_invalid_text(envelope):
    """Return the frame with a kind that is not UTF-8 and a checksum that matches."""
    body = msgspec.msgpack.encode(envelope).replace(b"news", b"\xff\xfe\xfd\xfc")
    return HEADER.pack(MAGIC, VERSION, 0, len(body), xxhash.xxh3_64_intdigest(body)) + body


@pytest.mark.parametrize(
    "malformed",
    [
        with_invalid_text(envelope_of(1)),
        framing.encode_frame(envelope_of(1, "life", [math.inf, 1])),
        framing.encode_frame(envelope_of(1, "life", {"life": 1})),
    ],
    ids=["not UTF-8", "an infinite incarnation", "not a list"],
)
def test_after_a_malformed_datagram_the_next_one_is_read(local, malformed):
    local.start()
    local.receive_bytes(malformed)
    wait_until(
        lambda: any("malformed" in name for name in local.metrics.by_name),
        "the malformed datagram was not counted",
    )
    local.receive_bytes(framing.encode_frame(envelope_of(2)))
    assert local.datagrams.get(timeout=WAIT_TIMEOUT_S) == ("b", "word")


def make_fleet_member():
    with socket.create_server(("127.0.0.1", 0)) as free_port:
        port = free_port.getsockname()[1]
    servers = {"a": f"127.0.0.1:{port}", "b": "127.0.0.1:9"}
    settings_record = {
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
    return FleetMember(settings_record, 1, Metrics(), lambda report: None, lambda signals: None)


def test_a_service_found_unavailable_during_shutdown_causes_no_request_for_the_probe_lease():
    """Release all leases as the shutdown starts, and then let the records service become unavailable."""
    member = make_fleet_member()
    member.request_probe_lease()
    assert PROBE_LEASE_NAME in member.lease_client.requests
    member.release_leases_for_shutdown()
    member.signal_policy.records_health.set_state(
        member.now(), RecordsState.UNAVAILABLE, "its calls are lost"
    )
    assert not member.lease_client.requests


def test_an_infinite_number_in_a_membership_message_is_counted_as_malformed():
    member = make_fleet_member()
    member.on_datagram("b", ["view", "ping", math.inf, "", []])
    member.on_datagram("b", ["view", "ping", 1, "", [["b", "alive", math.inf]]])
    assert member.metrics.by_name["peer_malformed"] == 2
