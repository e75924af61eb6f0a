"""Race tests of cancelling calls and reusing connections, on loopback. Cases: docs/crossings.md."""

import threading
import time

from testkit.fakes.peers import WAIT_TIMEOUT_S, ScriptedRecordsService
from testkit.faults.checkpoints import GUARDED_WAIT_S, Checkpoint, HeldLock, PostedEvents, run_in_thread
from testkit.faults.waiting import wait_until
from vetchford.runtime.metrics import Metrics
from vetchford.server.records_client import RecordsClient


def host_and_port(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def test_a_connection_cancelled_as_its_call_ends_is_not_reused():
    """The reply to a call arrives between the look-up of its connection in `cancel_call` and the cancel."""
    service, admission = ScriptedRecordsService(), PostedEvents()
    records = RecordsClient(host_and_port(service.address), 8, admission, Metrics())
    deadline_unix_ms = time.time() * 1000.0 + 60_000.0
    records.start_call("a", 1, deadline_unix_ms, b"ask", False)
    service_sock = service.take("OP")[3]
    connection, checkpoint, call_end_handled = records.in_flight[1], Checkpoint(), threading.Event()
    connection.cancel = checkpoint.before(connection.cancel)
    on_call_ended = records.on_call_ended
    records.on_call_ended = lambda *arguments: (on_call_ended(*arguments), call_end_handled.set())
    cancelling_thread, _ = run_in_thread(lambda: records.cancel_call("a", 1))
    checkpoint.wait()
    service_sock.sendall(b"a DONE 2\r\nok\r\n")
    assert admission.wait_for("call_ended")[0] == 1  # `on_call_ended` is called next
    call_end_handled.wait(GUARDED_WAIT_S)  # without the lock, the connection would be idle by now
    calling_thread, _ = run_in_thread(lambda: records.start_call("b", 2, deadline_unix_ms, b"ask", False))
    calling_thread.join(GUARDED_WAIT_S)
    checkpoint.open()
    cancelling_thread.join(WAIT_TIMEOUT_S)
    calling_thread.join(WAIT_TIMEOUT_S)
    _, name, _, second_service_sock = service.take("OP")
    assert name == "b"
    second_service_sock.sendall(b"b DONE 2\r\nok\r\n")
    assert admission.wait_for("call_ended") == (2, "completed", b"ok")


def test_a_queued_call_cancelled_just_after_its_dispatch_is_given_up():
    """The end of one call dispatches the next waiting call, which is cancelled right after."""
    service, admission = ScriptedRecordsService(), PostedEvents()
    records = RecordsClient(host_and_port(service.address), 2, admission, Metrics())  # one call in flight
    deadline_unix_ms = time.time() * 1000.0 + 60_000.0
    records.start_call("a", 1, deadline_unix_ms, b"ask", True)
    service_sock = service.take("OP")[3]
    records.start_call("b", 2, deadline_unix_ms, b"ask", True)
    assert len(records.waiting) == 1
    checkpoint = Checkpoint(lambda: not records.waiting)
    records.lock, call_end_handled = HeldLock(checkpoint), threading.Event()
    on_call_ended = records.on_call_ended
    records.on_call_ended = lambda *arguments: (on_call_ended(*arguments), call_end_handled.set())
    service_sock.sendall(b"a DONE 2\r\nok\r\n")
    checkpoint.wait()  # "b" does not wait any more
    records.cancel_call("b", 2)
    checkpoint.open()
    assert call_end_handled.wait(WAIT_TIMEOUT_S)
    # Otherwise the cancelled call would be in flight, and nothing would cancel it any more.
    assert 2 not in records.in_flight and not records.waiting


def test_a_reused_connection_remembers_a_bounded_number_of_request_ids():
    """Consecutive calls, each before the connection was idle for long, could all share one connection."""
    service, admission = ScriptedRecordsService(), PostedEvents()
    records = RecordsClient(host_and_port(service.address), 8, admission, Metrics())
    deadline_unix_ms, connections, max_remembered = time.time() * 1000.0 + 60_000.0, set(), 0
    for number in range(1, 601):
        records.start_call(f"t{number}", number, deadline_unix_ms, b"ask", False)
        connection = records.in_flight[number]
        connections.add(connection)
        service.take("OP")[3].sendall(b"t%d DONE 2\r\nok\r\n" % number)
        assert admission.wait_for("call_ended") == (number, "completed", b"ok")
        wait_until(
            lambda number=number: number not in records.in_flight, "the call is not in flight any more"
        )
        max_remembered = max(max_remembered, len(connection.called_request_ids))
    assert max_remembered <= 256 and len(connections) < 100  # bounded, and each connection serves many calls
