"""Graceful shutdown between two lines, with a clock that the test sets. Rows: docs/crossings.md."""

import queue
import types

import pytest
from helpers import SETTINGS, Recorder

from vetchford.protocol import platform_settings
from vetchford.protocol.messages import IncomingRequest
from vetchford.runtime import timers
from vetchford.runtime.metrics import Metrics
from vetchford.server.admission_actor import AdmissionActor


class Clocked:
    """An admission actor whose time the test sets; its peers only record."""

    def __init__(self, monkeypatch, bound=True):
        self.now = 1_764_576_000_000.0
        monkeypatch.setattr(timers, "time", types.SimpleNamespace(time=lambda: self.now / 1000.0))
        self.stops, self.peer, self.listener = [], Recorder(), Recorder()
        self.actor = AdmissionActor(7, platform_settings.decode(SETTINGS), Metrics())
        self.peer.mailbox = queue.SimpleQueue()
        self.listener.connections, self.all_out = (), False
        self.listener.is_drained = lambda: self.all_out
        self.actor.attach(self.peer, self.peer, self.peer, self.listener, lambda: self.stops.append(self.now))
        if bound:
            self.actor.worker_pool_bound(1, False, 5000.0)

    def at(self, now):
        self.now = now
        self.actor.on_idle()


def test_a_controller_that_raises_at_every_tick_does_not_prevent_the_end_of_a_shutdown(monkeypatch):
    clocked = Clocked(monkeypatch)

    def raises(*arguments):
        raise ZeroDivisionError

    clocked.actor.controller.on_tick = raises
    clocked.actor.shutdown_requested(clocked.now, 1000.0, 100.0)
    clocked.now += 200.0
    with pytest.raises(ZeroDivisionError):
        clocked.actor.tick()
    assert [act for act in clocked.listener.acts if act[0] == "close"] and not clocked.stops
    clocked.all_out = True
    with pytest.raises(ZeroDivisionError):
        clocked.actor.tick()
    assert clocked.stops


def test_a_shutdown_ends_before_the_kill_between_two_ticks(monkeypatch):
    """A peer reads nothing, and the ticks fall 45 ms before the kill and 5 ms behind it."""
    clocked = Clocked(monkeypatch)
    kill = clocked.now + 1000.0
    clocked.actor.shutdown_requested(clocked.now, 1000.0, 100.0)
    heap = clocked.actor.timers.heap
    heap[:] = sorted(entry for entry in heap if entry[0] > kill - 100.0)  # all ticks before are over
    clocked.now = kill - 45.0
    clocked.actor.tick()
    assert not clocked.stops
    while not clocked.stops and clocked.now < kill + 10.0:
        clocked.at(clocked.now + 1.0)
    assert clocked.stops and clocked.stops[0] <= kill - 39.0


def test_a_shutdown_before_the_worker_pool_is_bound_waits_for_open_connections_and_is_not_ready(
    monkeypatch,
):
    clocked = Clocked(monkeypatch, bound=False)
    clocked.actor.shutdown_requested(clocked.now, 1000.0, 100.0)
    assert not clocked.stops and ("close",) in clocked.listener.acts
    clocked.actor.worker_pool_bound(1, False, 5.0)  # it comes up all the same
    assert clocked.actor.controller is None
    reports = [act[2] for act in clocked.peer.acts if act[0] == "post" and len(act) == 3]
    assert reports == [False]
    clocked.all_out = True
    clocked.at(clocked.now + 60.0)
    assert clocked.stops


def test_grace_and_kill_are_counted_from_the_time_of_the_signal(monkeypatch):
    """The signal is read behind a full mailbox: 300 ms pass, and a request arrives within them."""
    clocked = Clocked(monkeypatch)
    signalled = clocked.now
    clocked.now += 300.0
    clocked.actor.shutdown_requested(signalled, 1000.0, 100.0)
    assert clocked.actor.shutdown.schedule.kill_at_unix_ms == signalled + 1000.0
    arrived_at = signalled + 150.0  # past the grace: the page forbids to run it
    clocked.actor.request_arrived(
        clocked.peer, IncomingRequest(1, "ab", 0, "read", -1, 0, arrived_at, 500.0, 20.0, 1.0, None, "")
    )
    assert clocked.actor.metrics.by_name["rejected_draining"] == 1
    assert not [act for act in clocked.peer.acts if act[0] == "run_or_post" and b"spawn" in str(act).encode()]
