"""Race tests of calls that are cancelled, on loopback. Rows and their state: docs/crossings.md."""

import threading
import time

from testkit.fakes.peers import WAIT_TIMEOUT_S, RecordsPeer
from testkit.faults.checkpoints import SHORT, Checkpoint, HeldLock, PostedEvents, run_in_thread
from testkit.faults.waiting import wait_until
from vetchford.runtime.metrics import Metrics
from vetchford.server.records_client import RecordsClient


def host_and_port(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def test_a_connection_cancelled_as_its_call_ends_is_not_reused():
    """cancel_call holds the connection; its reply arrives and the call ends; then cancel_call shuts it."""
    service, admission = RecordsPeer(), PostedEvents()
    records = RecordsClient(host_and_port(service.address), 8, admission, Metrics())
    until_ms = time.time() * 1000.0 + 60_000.0
    records.start_call("a", 1, until_ms, b"ask", False)
    peer_socket = service.take("OP")[3]
    connection, checkpoint, ended = records.in_flight[1], Checkpoint(), threading.Event()
    connection.cancel = checkpoint.before(connection.cancel)
    first_end = records.on_call_ended
    records.on_call_ended = lambda *given: (first_end(*given), ended.set())
    giving_up, _ = run_in_thread(lambda: records.cancel_call("a", 1))
    checkpoint.wait()
    peer_socket.sendall(b"a DONE 2\r\nok\r\n")
    assert admission.take("call_ended")[0] == 1  # its end is on its way to the tables
    ended.wait(SHORT)  # where nothing holds it, it is among the free by now
    calling, _ = run_in_thread(lambda: records.start_call("b", 2, until_ms, b"ask", False))
    calling.join(SHORT)
    checkpoint.open()
    giving_up.join(WAIT_TIMEOUT_S)
    calling.join(WAIT_TIMEOUT_S)
    _, name, _, other = service.take("OP")
    assert name == "b"
    other.sendall(b"b DONE 2\r\nok\r\n")
    assert admission.take("call_ended") == (2, "completed", b"ok")


def test_a_queued_call_cancelled_just_after_its_dispatch_is_given_up():
    """A call's end takes the next of the waiting; cancel_call of just that one comes behind it."""
    service, admission = RecordsPeer(), PostedEvents()
    records = RecordsClient(host_and_port(service.address), 2, admission, Metrics())  # one out at a time
    until_ms = time.time() * 1000.0 + 60_000.0
    records.start_call("a", 1, until_ms, b"ask", True)
    peer_socket = service.take("OP")[3]
    records.start_call("b", 2, until_ms, b"ask", True)
    assert len(records.waiting) == 1
    checkpoint = Checkpoint(lambda: not records.waiting)
    records.lock, done = HeldLock(checkpoint), threading.Event()
    first_end = records.on_call_ended
    records.on_call_ended = lambda *given: (first_end(*given), done.set())
    peer_socket.sendall(b"a DONE 2\r\nok\r\n")
    checkpoint.wait()  # "b" is no longer among the waiting
    records.cancel_call("b", 2)
    checkpoint.open()
    assert done.wait(WAIT_TIMEOUT_S)
    assert 2 not in records.in_flight and not records.waiting  # else it is out, and nobody will give it up


def test_a_reused_connection_remembers_a_bounded_number_of_request_ids():
    """One call after the other, each before its connection has been idle for long: all could share it."""
    service, admission = RecordsPeer(), PostedEvents()
    records = RecordsClient(host_and_port(service.address), 8, admission, Metrics())
    until_ms, connections, most = time.time() * 1000.0 + 60_000.0, set(), 0
    for number in range(1, 601):
        records.start_call(f"t{number}", number, until_ms, b"ask", False)
        connection = records.in_flight[number]
        connections.add(connection)
        service.take("OP")[3].sendall(b"t%d DONE 2\r\nok\r\n" % number)
        assert admission.take("call_ended") == (number, "completed", b"ok")
        wait_until(lambda number=number: number not in records.in_flight, "its end is in the tables")
        most = max(most, len(connection.called_names))
    assert most <= 256 and len(connections) < 100  # bounded, and still shared by many
