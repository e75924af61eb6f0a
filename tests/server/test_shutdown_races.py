"""A drain between two lines, with a clock that the test sets. Rows and their state: docs/crossings.md."""

import queue
import types

import pytest
from helpers import TOLD, Recorder

from vetchford.runtime import timers
from vetchford.runtime.metrics import Metrics
from vetchford.server import admission_actor as module_file
from vetchford.server.admission_actor import AdmissionActor


class Clocked:
    """A module whose time the test sets; its peers only record."""

    def __init__(self, monkeypatch, bound=True):
        self.now = 1_764_576_000_000.0
        for part in (module_file, timers):
            monkeypatch.setattr(part, "time", types.SimpleNamespace(time=lambda: self.now / 1000.0))
        self.stops, self.peer, self.doors = [], Recorder(), Recorder()
        self.module = AdmissionActor(7, TOLD, Metrics())
        self.peer.mailbox = queue.SimpleQueue()
        self.doors.connections, self.all_out = (), False
        self.doors.is_drained = lambda: self.all_out
        self.module.attach(self.peer, self.peer, self.peer, self.doors, lambda: self.stops.append(self.now))
        if bound:
            self.module.bound(1, False, 5000.0)

    def at(self, now):
        self.now = now
        self.module.on_idle()


def test_a_decision_that_raises_in_every_sweep_of_a_drain_keeps_nobody_from_its_end(monkeypatch):
    clocked = Clocked(monkeypatch)

    def raises(*given):
        raise ZeroDivisionError

    clocked.module.controller.on_tick = raises
    clocked.module.notice(clocked.now, 1000.0, 100.0)
    clocked.now += 200.0
    with pytest.raises(ZeroDivisionError):
        clocked.module.sweep()
    assert [act for act in clocked.doors.acts if act[0] == "close"] and not clocked.stops
    clocked.all_out = True
    with pytest.raises(ZeroDivisionError):
        clocked.module.sweep()
    assert clocked.stops


def test_the_end_comes_before_the_kill_wherever_the_sweeps_fall(monkeypatch):
    """A peer reads nothing, and the sweeps fall 45 ms before the kill and 5 ms behind it."""
    clocked = Clocked(monkeypatch)
    kill = clocked.now + 1000.0
    clocked.module.notice(clocked.now, 1000.0, 100.0)
    heap = clocked.module.timers.heap
    heap[:] = sorted(entry for entry in heap if entry[0] > kill - 100.0)  # all sweeps before are over
    clocked.now = kill - 45.0
    clocked.module.sweep()
    assert not clocked.stops
    while not clocked.stops and clocked.now < kill + 10.0:
        clocked.at(clocked.now + 1.0)
    assert clocked.stops and clocked.stops[0] <= kill - 39.0


def test_a_notice_before_the_pool_is_there_waits_for_what_is_open_and_reports_no_fitness(monkeypatch):
    clocked = Clocked(monkeypatch, bound=False)
    clocked.module.notice(clocked.now, 1000.0, 100.0)
    assert not clocked.stops and ("close",) in clocked.doors.acts
    clocked.module.bound(1, False, 5.0)  # it comes up all the same
    assert clocked.module.controller is None
    reports = [act[2] for act in clocked.peer.acts if act[0] == "tell" and len(act) == 3]
    assert reports == [False]
    clocked.all_out = True
    clocked.at(clocked.now + 60.0)
    assert clocked.stops


def test_grace_and_kill_count_from_the_signal_however_late_the_module_reads_it(monkeypatch):
    """The signal is told behind a full mailbox: 300 ms pass, and a task comes to the machine within them."""
    clocked = Clocked(monkeypatch)
    signalled = clocked.now
    clocked.now += 300.0
    clocked.module.notice(signalled, 1000.0, 100.0)
    assert clocked.module.drain.kill == signalled + 1000.0
    door = signalled + 150.0  # past the grace: the page forbids to run it
    clocked.module.request(clocked.peer, 1, "ab", 0, "read", -1, 0, door, 500.0, 20.0, 1.0, None, "")
    assert clocked.module.metrics.by_name["rejected_draining"] == 1
    assert not [act for act in clocked.peer.acts if act[0] == "do" and b"spawn" in str(act).encode()]
