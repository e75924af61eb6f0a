"""Race tests of accepting, reading and closing connections, on loopback. Cases: docs/crossings.md."""

import errno
import queue
import socket
import threading

import pytest
from helpers import ScriptedClient

from testkit.fakes.peers import WAIT_TIMEOUT_S
from testkit.faults.checkpoints import GUARDED_WAIT_S, Checkpoint, PostedEvents, Wrapped, run_in_thread
from testkit.faults.waiting import wait_until
from vetchford.protocol import json_rpc
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.server import connection_limits
from vetchford.server.client_connection import ClientConnection
from vetchford.server.idle_poller import IdleConnectionPoller
from vetchford.server.listener import Listener


class ListenerUnderTest:
    """A listener on loopback, whose events are queued in place of an admission actor."""

    def __init__(self, max_connections=16):
        self.admission, self.metrics = PostedEvents(), Metrics()
        self.listener = Listener(
            ("127.0.0.1", 0), max_connections, {"read": 0}, {"acme": 0}, self.admission, self.metrics
        )
        self.port = self.listener.sock.getsockname()[1]

    def next_request(self):
        """Return the connection and the id of the next request posted to the admission actor."""
        connection, request = self.admission.wait_for("request_arrived")
        return connection, request.rpc_id

    def finish(self, connection, rpc_id):
        connection.answer(rpc_id, json_rpc.completed(rpc_id, "b2s="))


@pytest.fixture
def under_test():
    running = ListenerUnderTest()
    yield running
    running.listener.close()


def test_a_connection_being_accepted_is_not_missed_by_the_shutdown(under_test):
    """The listener is closed and checked for drained while a connection is accepted but not in the table."""
    checkpoint, listener = Checkpoint(), under_test.listener
    listener.add = checkpoint.before(listener.add)
    listener.start()
    client = ScriptedClient(under_test.port)
    client.request(1)
    checkpoint.wait()
    closing_thread, drained = run_in_thread(lambda: (listener.close(), listener.is_drained())[1])
    closing_thread.join(GUARDED_WAIT_S)
    checkpoint.open()
    closing_thread.join(WAIT_TIMEOUT_S)
    assert drained == [False]
    under_test.finish(*under_test.next_request())
    assert {client.receive().get("id") for _ in range(2)} == {None, 1}  # `closing` and the answer


def test_a_listener_out_of_descriptors_accepts_the_backlog_at_the_next_tick(under_test):
    """The listener is closed with a request in the backlog and no descriptor left for its connection."""
    listener, accept_errors = under_test.listener, [OSError(errno.EMFILE, "too many")]
    listening_sock = listener.sock
    listener.idle_poller.start()  # without the accepting thread, connections wait in the backlog
    client = ScriptedClient(under_test.port)
    client.request(1)
    accept_calls = []

    def accept():
        accept_calls.append(1)
        if accept_errors:
            raise accept_errors.pop()
        return listening_sock.accept()

    listener.sock = Wrapped(listening_sock, accept=accept)
    listener.close()
    assert accept_calls == [1] and not listener.is_drained()
    listener.close()
    under_test.finish(*under_test.next_request())
    assert {client.receive().get("id") for _ in range(2)} == {None, 1}


@pytest.mark.parametrize("accepted_by", ["accept", "close"])
def test_a_connection_reset_before_its_options_are_set_affects_no_other(under_test, accepted_by):
    listener, listening_sock, reset_socks = under_test.listener, under_test.listener.sock, []

    def fail_with_reset(*arguments):
        raise OSError(errno.ECONNRESET, "reset")

    def accept():
        sock, address = listening_sock.accept()
        if not reset_socks:
            reset_socks.append(sock)
            return Wrapped(sock, setsockopt=fail_with_reset), address
        return sock, address

    listener.sock = Wrapped(listening_sock, accept=accept)
    reset_client, other_client = ScriptedClient(under_test.port), ScriptedClient(under_test.port)
    other_client.request(1)
    if accepted_by == "accept":
        listener.start()
    else:
        listener.idle_poller.start()
        listener.close()
    under_test.finish(*under_test.next_request())
    messages = [other_client.receive() for _ in range(1 if accepted_by == "accept" else 2)]
    assert 1 in [message.get("id") for message in messages]
    assert reset_socks and reset_client.receive() is None
    wait_until(lambda: len(listener.connections) <= 1, "the reset connection is removed from the table")


def test_the_drained_check_sees_unread_bytes(under_test, monkeypatch):
    """The process is paused past the close timeout before a connection accepted in `close` is read."""
    monkeypatch.setattr(connection_limits, "DRAIN_CLOSE_TIMEOUT_S", 0.0)
    listener = under_test.listener
    client = ScriptedClient(under_test.port)
    client.request(1)
    listener.close()  # the poller does not run yet, as if the process were paused
    wait_until(
        lambda: all(connection.state.close_requested_at_s for connection in listener.connections),
        "all connections are asked to close",
    )
    assert listener.connections and not listener.is_drained()
    listener.idle_poller.start()
    under_test.finish(*under_test.next_request())
    assert {client.receive().get("id") for _ in range(2)} == {None, 1}
    wait_until(listener.is_drained, "the listener is drained once the request is answered")


def test_a_message_started_before_closing_is_waited_for(under_test, monkeypatch):
    """Part of a request was read when the listener closes; the rest comes after the close timeout."""
    monkeypatch.setattr(connection_limits, "DRAIN_CLOSE_TIMEOUT_S", 0.0)
    listener = under_test.listener
    listener.start()
    client = ScriptedClient(under_test.port)
    messages, send = [], client.sock.sendall
    client.send_bytes = messages.append
    client.request(1)
    send(messages[0][:60])
    wait_until(
        lambda: any(
            connection.state.message_has_started() and listener.idle_poller.is_waiting(connection)
            for connection in listener.connections
        ),
        "the first part is read",
    )
    listener.close()
    assert client.receive()["method"] == "closing"
    assert not listener.is_drained()
    send(messages[0][60:])
    under_test.finish(*under_test.next_request())
    assert client.receive()["id"] == 1
    wait_until(listener.is_drained, "the listener is drained once the request is answered")


def test_a_request_that_arrives_as_its_connection_times_out_is_answered(under_test, monkeypatch):
    """The first request arrives between the timeout and the last read, the second one after the last read."""
    monkeypatch.setattr(connection_limits, "FIRST_MESSAGE_TIMEOUT_S", 0.05)
    listener, checkpoint = under_test.listener, Checkpoint()
    read_before_close, last_read_done = ClientConnection.read_before_close, threading.Event()

    def held_read_before_close(connection):
        checkpoint.pass_or_wait()
        read_before_close(connection)
        last_read_done.set()

    monkeypatch.setattr(ClientConnection, "read_before_close", held_read_before_close)
    listener.start()
    client = ScriptedClient(under_test.port)
    checkpoint.wait()
    client.request(1)
    sock = next(iter(listener.connections)).sock
    wait_until(lambda: sock.recv(1, socket.MSG_PEEK), "the request is in the socket's buffer")
    checkpoint.open()
    first_request = under_test.next_request()
    assert last_read_done.wait(WAIT_TIMEOUT_S)
    client.request(2)
    under_test.finish(*under_test.next_request())
    under_test.finish(*first_request)
    assert {client.receive()["id"], client.receive()["id"]} == {1, 2}


class PolledConnection:
    """Stands in for a client connection in the poller; tells whether it was registered when it timed out."""

    def __init__(self):
        self.sock, self.client_sock = socket.socketpair()
        self.keeps_open, self.registered, self.timed_out = True, threading.Event(), queue.Queue()

    def check_timeouts(self, now_s):
        return not self.keeps_open

    def read(self):
        self.sock.recv(1)
        self.resume(self)
        self.registered.set()

    def read_before_close(self):
        self.timed_out.put(self.registered.is_set())


@pytest.mark.parametrize("first_registration", [True, False])
def test_no_connection_times_out_between_its_entry_and_its_registration_with_epoll(first_registration):
    """The connection would be closed, and the registration apply to the next one with its descriptor."""
    poller = IdleConnectionPoller(ThreadPool(Metrics(), 4))
    connection = PolledConnection()
    checkpoint = Checkpoint()
    connection.resume = poller.resume
    poller.epoll = Wrapped(
        poller.epoll,
        **{
            name: checkpoint.before(getattr(poller.epoll, name))
            for name in (["register"] if first_registration else ["modify"])
        },
    )
    poller.start()
    if first_registration:
        run_in_thread(lambda: (poller.add(connection), connection.registered.set()))
    else:
        poller.add(connection)
        connection.client_sock.send(b"!")
    checkpoint.wait()
    connection.keeps_open = False
    try:
        timed_out_registered = connection.timed_out.get(timeout=GUARDED_WAIT_S)
    except queue.Empty:
        timed_out_registered = None
    checkpoint.open()
    assert timed_out_registered is None or timed_out_registered
    assert connection.timed_out.get(timeout=WAIT_TIMEOUT_S) or connection.registered.wait(WAIT_TIMEOUT_S)


def test_a_connection_that_epoll_refuses_is_closed_and_removed_from_the_table(under_test):
    """After a read, epoll refuses to register the connection again; it would stay in the table for ever."""
    listener = under_test.listener

    def refuse(*arguments):
        raise OSError(errno.ENOMEM, "no memory")

    listener.idle_poller.epoll = Wrapped(listener.idle_poller.epoll, modify=refuse)
    listener.start()
    client = ScriptedClient(under_test.port)
    client.send({"jsonrpc": "2.0", "id": 1, "method": "check"})
    assert client.receive()["id"] == 1 and client.receive() is None
    wait_until(lambda: not listener.connections, "the connection is removed from the table")
    assert under_test.metrics.by_name["connections_not_watched"] == 1
