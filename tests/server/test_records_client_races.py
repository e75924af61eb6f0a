"""Calls given up between two lines, on loopback. Rows and their state: docs/crossings.md."""

import threading
import time

from testkit.fakes.peers import PATIENCE, RecordsPeer
from testkit.faults.checkpoints import SHORT, Checkpoint, Heard, HeldLock, beside, until
from vetchford.runtime.metrics import Metrics
from vetchford.server.records_client import RecordsClient


def host_and_port(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def test_a_line_given_up_just_as_its_call_ended_takes_no_later_call():
    """unop has the line in hand; its reply arrives and it ends; then unop cuts it."""
    service, module = RecordsPeer(), Heard()
    records = RecordsClient(host_and_port(service.address), 8, module, Metrics())
    until_ms = time.time() * 1000.0 + 60_000.0
    records.op("a", 1, until_ms, b"ask", False)
    connection = service.take("OP")[3]
    line, gate, ended = records.out[1], Checkpoint(), threading.Event()
    line.give_up = gate.before(line.give_up)
    first_end = records.ended
    records.ended = lambda *given: (first_end(*given), ended.set())
    giving_up, _ = beside(lambda: records.unop("a", 1))
    gate.wait()
    connection.sendall(b"a DONE 2\r\nok\r\n")
    assert module.take("call_ended")[0] == 1  # its end is on its way to the tables
    ended.wait(SHORT)  # where nothing holds it, it is among the free by now
    calling, _ = beside(lambda: records.op("b", 2, until_ms, b"ask", False))
    calling.join(SHORT)
    gate.open()
    giving_up.join(PATIENCE)
    calling.join(PATIENCE)
    _, name, _, other = service.take("OP")
    assert name == "b"
    other.sendall(b"b DONE 2\r\nok\r\n")
    assert module.take("call_ended") == (2, "completed", b"ok")


def test_a_waiting_call_given_up_as_its_turn_comes_is_not_left_out():
    """A call's end takes the next from the line of the waiting; unop of just that one comes behind it."""
    service, module = RecordsPeer(), Heard()
    records = RecordsClient(host_and_port(service.address), 2, module, Metrics())  # one out at a time
    until_ms = time.time() * 1000.0 + 60_000.0
    records.op("a", 1, until_ms, b"ask", True)
    connection = service.take("OP")[3]
    records.op("b", 2, until_ms, b"ask", True)
    assert len(records.waiting) == 1
    gate = Checkpoint(lambda: not records.waiting)
    records.lock, done = HeldLock(gate), threading.Event()
    first_end = records.ended
    records.ended = lambda *given: (first_end(*given), done.set())
    connection.sendall(b"a DONE 2\r\nok\r\n")
    gate.wait()  # "b" is no longer among the waiting
    records.unop("b", 2)
    gate.open()
    assert done.wait(PATIENCE)
    assert 2 not in records.out and not records.waiting  # else it is out, and nobody will give it up


def test_a_line_in_steady_use_does_not_remember_each_task_for_good():
    """One call after the other, each before its line has been idle for long: all could share it."""
    service, module = RecordsPeer(), Heard()
    records = RecordsClient(host_and_port(service.address), 8, module, Metrics())
    until_ms, lines, most = time.time() * 1000.0 + 60_000.0, set(), 0
    for number in range(1, 601):
        records.op(f"t{number}", number, until_ms, b"ask", False)
        line = records.out[number]
        lines.add(line)
        service.take("OP")[3].sendall(b"t%d DONE 2\r\nok\r\n" % number)
        assert module.take("call_ended") == (number, "completed", b"ok")
        until(lambda number=number: number not in records.out, "its end is in the tables")
        most = max(most, len(line.had))
    assert most <= 256 and len(lines) < 100  # bounded, and still shared by many
