"""Connections between two lines, on loopback. Rows and their state: docs/crossings.md."""

import errno
import queue
import socket
import threading

import pytest
from helpers import Balancer

from testkit.fakes.peers import WAIT_TIMEOUT_S
from testkit.faults.checkpoints import SHORT, Checkpoint, PostedEvents, Wrapped, run_in_thread
from testkit.faults.waiting import wait_until
from vetchford.protocol import json_rpc
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.server import connection_limits
from vetchford.server.client_connection import ClientConnection
from vetchford.server.idle_poller import IdleConnectionPoller
from vetchford.server.listener import Listener


class ListenerUnderTest:
    """A listener on loopback, with an admission actor that only records."""

    def __init__(self, most=16):
        self.admission, self.metrics = PostedEvents(), Metrics()
        self.listener = Listener(
            ("127.0.0.1", 0), most, {"read": 0}, {"acme": 0}, self.admission, self.metrics
        )
        self.port = self.listener.sock.getsockname()[1]

    def request(self):
        """The connection and the id of the next request that the admission actor gets."""
        connection, request = self.admission.take("request_arrived")
        return connection, request.rpc_id

    def finish(self, connection, rpc_id):
        connection.answer(rpc_id, json_rpc.completed(rpc_id, "b2s="))


@pytest.fixture
def under_test():
    listening = ListenerUnderTest()
    yield listening
    listening.listener.close()


def test_a_connection_being_accepted_is_not_missed_by_the_shutdown(under_test):
    """Accepted and not yet in the table, as the listener closes and the drain looks whether all is done."""
    checkpoint, listener = Checkpoint(), under_test.listener
    listener.add = checkpoint.before(listener.add)
    listener.start()
    client = Balancer(under_test.port)
    client.request(1)
    checkpoint.wait()
    closing, done = run_in_thread(lambda: (listener.close(), listener.is_drained())[1])
    closing.join(SHORT)
    checkpoint.open()
    closing.join(WAIT_TIMEOUT_S)
    assert done == [False]
    under_test.finish(*under_test.request())
    assert {client.receive().get("id") for _ in range(2)} == {None, 1}  # `closing`, and its answer


def test_a_listener_out_of_descriptors_accepts_the_backlog_at_the_next_tick(under_test):
    """The drain closes the listener with a request in the backlog and no descriptor left for it."""
    listener, short = under_test.listener, [OSError(errno.EMFILE, "too many")]
    listening = listener.sock
    listener.idle_poller.start()  # no thread accepts: what connects waits in the backlog
    client = Balancer(under_test.port)
    client.request(1)
    tries = []

    def accept():
        tries.append(1)
        if short:
            raise short.pop()
        return listening.accept()

    listener.sock = Wrapped(listening, accept=accept)
    listener.close()
    assert tries == [1] and not listener.is_drained()
    listener.close()
    under_test.finish(*under_test.request())
    assert {client.receive().get("id") for _ in range(2)} == {None, 1}


@pytest.mark.parametrize("by", ["accept", "close"])
def test_a_connection_reset_before_its_options_are_set_affects_no_other(under_test, by):
    listener, listening, bad = under_test.listener, under_test.listener.sock, []

    def reset(*given):
        raise OSError(errno.ECONNRESET, "reset")

    def accept():
        sock, peer = listening.accept()
        if not bad:
            bad.append(sock)
            return Wrapped(sock, setsockopt=reset), peer
        return sock, peer

    listener.sock = Wrapped(listening, accept=accept)
    first, second = Balancer(under_test.port), Balancer(under_test.port)
    second.request(1)
    if by == "accept":
        listener.start()
    else:
        listener.idle_poller.start()
        listener.close()
    under_test.finish(*under_test.request())
    heard = [second.receive() for _ in range(1 if by == "accept" else 2)]
    assert 1 in [message.get("id") for message in heard]
    assert bad and first.receive() is None
    wait_until(lambda: len(listener.connections) <= 1, "the reset one leaves the table")


def test_the_drained_check_sees_unread_bytes(under_test, monkeypatch):
    """A pause lets the time after `closing` pass before anybody has read one taken in at the drain."""
    monkeypatch.setattr(connection_limits, "DRAIN_CLOSE_TIMEOUT_S", 0.0)
    listener = under_test.listener
    client = Balancer(under_test.port)
    client.request(1)
    listener.close()  # the poller does not run yet: the process was paused
    wait_until(
        lambda: all(connection.state.close_requested_at_s for connection in listener.connections),
        "asked to close",
    )
    assert listener.connections and not listener.is_drained()
    listener.idle_poller.start()
    under_test.finish(*under_test.request())
    assert {client.receive().get("id") for _ in range(2)} == {None, 1}
    wait_until(listener.is_drained, "the end once it is answered")


def test_a_message_started_before_closing_is_waited_for(under_test, monkeypatch):
    """Half a request was read; the listener closes, the time after `closing` passes; then comes the rest."""
    monkeypatch.setattr(connection_limits, "DRAIN_CLOSE_TIMEOUT_S", 0.0)
    listener = under_test.listener
    listener.start()
    client = Balancer(under_test.port)
    whole, send = [], client.sock.sendall
    client.send_bytes = whole.append
    client.request(1)
    send(whole[0][:60])
    wait_until(
        lambda: any(
            c.state.message_has_started() and listener.idle_poller.is_waiting(c) for c in listener.connections
        ),
        "half is read",
    )
    listener.close()
    assert client.receive()["method"] == "closing"
    assert not listener.is_drained()
    send(whole[0][60:])
    under_test.finish(*under_test.request())
    assert client.receive()["id"] == 1
    wait_until(listener.is_drained, "the end once it is answered")


def test_a_request_that_arrives_as_its_connection_times_out_is_answered(under_test, monkeypatch):
    """Silent for too long it is to go; its first request comes before the last read, the second behind it."""
    monkeypatch.setattr(connection_limits, "FIRST_MESSAGE_TIMEOUT_S", 0.05)
    listener, checkpoint = under_test.listener, Checkpoint()
    read_before_close, over = ClientConnection.read_before_close, threading.Event()

    def held(connection):
        checkpoint.come()
        read_before_close(connection)
        over.set()

    monkeypatch.setattr(ClientConnection, "read_before_close", held)
    listener.start()
    client = Balancer(under_test.port)
    checkpoint.wait()
    client.request(1)
    sock = next(iter(listener.connections)).sock
    wait_until(lambda: sock.recv(1, socket.MSG_PEEK), "the request stands in the buffer")
    checkpoint.open()
    first = under_test.request()
    assert over.wait(WAIT_TIMEOUT_S)
    client.request(2)
    under_test.finish(*under_test.request())
    under_test.finish(*first)
    assert {client.receive()["id"], client.receive()["id"]} == {1, 2}


class PolledConnection:
    """In the place of a client connection in the poller."""

    def __init__(self):
        self.sock, self.peer = socket.socketpair()
        self.keeps_open, self.back, self.timed_out = True, threading.Event(), queue.Queue()

    def check_timeouts(self, now):
        return not self.keeps_open

    def read(self):
        self.sock.recv(1)
        self.resume(self)
        self.back.set()

    def read_before_close(self):
        self.timed_out.put(self.back.is_set())


@pytest.mark.parametrize("first", [True, False])
def test_no_connection_times_out_between_its_entry_and_its_registration_with_epoll(first):
    """Let go there it would be closed, and its number armed anew for whoever has it next."""
    poller = IdleConnectionPoller(ThreadPool(Metrics(), 4))
    connection = PolledConnection()
    checkpoint = Checkpoint()
    connection.resume = poller.resume
    poller.epoll = Wrapped(
        poller.epoll,
        **{
            name: checkpoint.before(getattr(poller.epoll, name))
            for name in (["register"] if first else ["modify"])
        },
    )
    poller.start()
    if first:
        run_in_thread(lambda: (poller.add(connection), connection.back.set()))
    else:
        poller.add(connection)
        connection.peer.send(b"!")
    checkpoint.wait()
    connection.keeps_open = False
    try:
        went = connection.timed_out.get(timeout=SHORT)
    except queue.Empty:
        went = None
    checkpoint.open()
    assert went is None or went
    assert connection.timed_out.get(timeout=WAIT_TIMEOUT_S) or connection.back.wait(WAIT_TIMEOUT_S)


def test_a_connection_that_epoll_refuses_is_closed_and_removed_from_the_table(under_test):
    """It was read, and the system refuses to watch it on: in the listener's table it would stay for good."""
    listener = under_test.listener

    def refuses(*given):
        raise OSError(errno.ENOMEM, "no memory")

    listener.idle_poller.epoll = Wrapped(listener.idle_poller.epoll, modify=refuses)
    listener.start()
    client = Balancer(under_test.port)
    client.send({"jsonrpc": "2.0", "id": 1, "method": "check"})
    assert client.receive()["id"] == 1 and client.receive() is None
    wait_until(lambda: not listener.connections, "it leaves the table")
    assert under_test.metrics.by_name["connections_not_watched"] == 1
