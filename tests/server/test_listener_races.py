"""Connections between two lines, on loopback. Rows and their state: docs/crossings.md."""

import errno
import queue
import socket
import threading

import pytest
from helpers import Balancer

from testkit.fakes.peers import PATIENCE
from testkit.faults.checkpoints import SHORT, Checkpoint, Heard, Wrapped, beside, until
from vetchford.protocol import json_rpc
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.server import client_connections
from vetchford.server.client_connections import Listener
from vetchford.server.idle_poller import IdleConnectionPoller


class Entrance:
    """Doors on loopback, with a module that only listens."""

    def __init__(self, most=16):
        self.module, self.metrics = Heard(), Metrics()
        self.doors = Listener(("127.0.0.1", 0), most, {"read": 0}, {"acme": 0}, self.module, self.metrics)
        self.port = self.doors.sock.getsockname()[1]

    def request(self):
        """The connection and the id of the next task that the module is told of."""
        connection, request = self.module.take("request_arrived")
        return connection, request.rpc_id

    def finish(self, connection, rpc_id):
        connection.answer(rpc_id, json_rpc.finished(rpc_id, "b2s="))


@pytest.fixture
def entrance():
    entered = Entrance()
    yield entered
    entered.doors.close()


def test_a_connection_between_two_hands_keeps_the_drain_from_its_end(entrance):
    """Accepted and not yet in the table, as the doors close and the drain looks whether all is done."""
    gate, doors = Checkpoint(), entrance.doors
    doors.enter = gate.before(doors.enter)
    doors.start()
    caller = Balancer(entrance.port)
    caller.ask(1)
    gate.wait()
    closing, done = beside(lambda: (doors.close(), doors.done())[1])
    closing.join(SHORT)
    gate.open()
    closing.join(PATIENCE)
    assert done == [False]
    entrance.finish(*entrance.request())
    assert {caller.hear().get("id") for _ in range(2)} == {None, 1}  # `closing`, and its answer


def test_a_door_out_of_descriptors_takes_in_at_the_next_sweep_what_waits_before_it(entrance):
    """The drain closes the door with a request in the backlog and no descriptor left for it."""
    doors, short = entrance.doors, [OSError(errno.EMFILE, "too many")]
    listener = doors.sock
    doors.lobby.start()  # no thread accepts: what connects waits in the backlog
    caller = Balancer(entrance.port)
    caller.ask(1)
    tries = []

    def accept():
        tries.append(1)
        if short:
            raise short.pop()
        return listener.accept()

    doors.sock = Wrapped(listener, accept=accept)
    doors.close()
    assert tries == [1] and not doors.done()
    doors.close()
    entrance.finish(*entrance.request())
    assert {caller.hear().get("id") for _ in range(2)} == {None, 1}


@pytest.mark.parametrize("by", ["accept", "close"])
def test_a_connection_reset_before_its_options_are_set_costs_no_other(entrance, by):
    doors, listener, bad = entrance.doors, entrance.doors.sock, []

    def reset(*given):
        raise OSError(errno.ECONNRESET, "reset")

    def accept():
        sock, peer = listener.accept()
        if not bad:
            bad.append(sock)
            return Wrapped(sock, setsockopt=reset), peer
        return sock, peer

    doors.sock = Wrapped(listener, accept=accept)
    first, second = Balancer(entrance.port), Balancer(entrance.port)
    second.ask(1)
    if by == "accept":
        doors.start()
    else:
        doors.lobby.start()
        doors.close()
    entrance.finish(*entrance.request())
    heard = [second.hear() for _ in range(1 if by == "accept" else 2)]
    assert 1 in [message.get("id") for message in heard]
    assert bad and first.hear() is None
    until(lambda: len(doors.connections) <= 1, "the reset one leaves the table")


def test_the_last_look_sees_what_stands_unread(entrance, monkeypatch):
    """A pause lets the time after `closing` pass before anybody has read one taken in at the drain."""
    monkeypatch.setattr(client_connections, "DRAINED_IN", 0.0)
    doors = entrance.doors
    caller = Balancer(entrance.port)
    caller.ask(1)
    doors.close()  # the lobby does not run yet: the process was paused
    until(lambda: all(connection.asked for connection in doors.connections), "asked to close")
    assert doors.connections and not doors.done()
    doors.lobby.start()
    entrance.finish(*entrance.request())
    assert {caller.hear().get("id") for _ in range(2)} == {None, 1}
    until(doors.done, "the end once it is answered")


def test_a_message_begun_before_closing_is_waited_for(entrance, monkeypatch):
    """Half a request was read; the door closes, the time after `closing` passes; then comes the rest."""
    monkeypatch.setattr(client_connections, "DRAINED_IN", 0.0)
    doors = entrance.doors
    doors.start()
    caller = Balancer(entrance.port)
    whole, send = [], caller.sock.sendall
    caller.raw = whole.append
    caller.ask(1)
    send(whole[0][:60])
    until(lambda: any(c.begun < 1e300 and doors.lobby.holds(c) for c in doors.connections), "half is read")
    doors.close()
    assert caller.hear()["method"] == "closing"
    assert not doors.done()
    send(whole[0][60:])
    entrance.finish(*entrance.request())
    assert caller.hear()["id"] == 1
    until(doors.done, "the end once it is answered")


def test_one_that_speaks_as_it_is_let_go_is_read_on(entrance, monkeypatch):
    """Silent for too long it is to go; its first request comes before the last read, the second behind it."""
    monkeypatch.setattr(client_connections, "FIRST_IN", 0.05)
    doors, gate = entrance.doors, Checkpoint()
    read_last, over = client_connections.Connection.read_last, threading.Event()

    def held(connection):
        gate.come()
        read_last(connection)
        over.set()

    monkeypatch.setattr(client_connections.Connection, "read_last", held)
    doors.start()
    caller = Balancer(entrance.port)
    gate.wait()
    caller.ask(1)
    sock = next(iter(doors.connections)).sock
    until(lambda: sock.recv(1, socket.MSG_PEEK), "the request stands in the buffer")
    gate.open()
    first = entrance.request()
    assert over.wait(PATIENCE)
    caller.ask(2)
    entrance.finish(*entrance.request())
    entrance.finish(*first)
    assert {caller.hear()["id"], caller.hear()["id"]} == {1, 2}


class Visitor:
    """In a connection's place in the lobby."""

    def __init__(self):
        self.sock, self.far = socket.socketpair()
        self.stays, self.back, self.let_go = True, threading.Event(), queue.Queue()

    def overstays(self, now):
        return not self.stays

    def read(self):
        self.sock.recv(1)
        self.come_back(self)
        self.back.set()

    def read_last(self):
        self.let_go.put(self.back.is_set())


@pytest.mark.parametrize("first", [True, False])
def test_none_is_let_go_between_its_place_in_the_table_and_its_arming(first):
    """Let go there it would be closed, and its number armed anew for whoever has it next."""
    lobby, visitor, gate = IdleConnectionPoller(ThreadPool(Metrics(), 4)), Visitor(), Checkpoint()
    visitor.come_back = lobby.come_back
    lobby.epoll = Wrapped(
        lobby.epoll,
        **{name: gate.before(getattr(lobby.epoll, name)) for name in (["register"] if first else ["modify"])},
    )
    lobby.start()
    if first:
        beside(lambda: (lobby.enter(visitor), visitor.back.set()))
    else:
        lobby.enter(visitor)
        visitor.far.send(b"!")
    gate.wait()
    visitor.stays = False
    try:
        went = visitor.let_go.get(timeout=SHORT)
    except queue.Empty:
        went = None
    gate.open()
    assert went is None or went
    assert visitor.let_go.get(timeout=PATIENCE) or visitor.back.wait(PATIENCE)


def test_a_connection_that_cannot_be_watched_again_is_ended_and_leaves_the_table(entrance):
    """It was read, and the system refuses to watch it on: in the doors' table it would stay for good."""
    doors = entrance.doors

    def refuses(*given):
        raise OSError(errno.ENOMEM, "no memory")

    doors.lobby.epoll = Wrapped(doors.lobby.epoll, modify=refuses)
    doors.start()
    caller = Balancer(entrance.port)
    caller.send({"jsonrpc": "2.0", "id": 1, "method": "check"})
    assert caller.hear()["id"] == 1 and caller.hear() is None
    until(lambda: not doors.connections, "it leaves the table")
    assert entrance.metrics.by_name["connections_not_watched"] == 1
