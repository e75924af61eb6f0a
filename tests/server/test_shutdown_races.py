"""Race tests of the graceful shutdown, with a clock that the test sets. Cases: docs/crossings.md."""

import queue
import types

import pytest
from helpers import SETTINGS, Recorder

from vetchford.protocol import platform_settings
from vetchford.protocol.messages import IncomingRequest
from vetchford.runtime import timers
from vetchford.runtime.metrics import Metrics
from vetchford.server.admission_actor import AdmissionActor


class ActorUnderTest:
    """An admission actor whose clock the test sets, and which acts on recorders."""

    def __init__(self, monkeypatch, bound=True):
        self.now_ms = 1_764_576_000_000.0
        monkeypatch.setattr(timers, "time", types.SimpleNamespace(time=lambda: self.now_ms / 1000.0))
        self.stop_times, self.recorder, self.listener = [], Recorder(), Recorder()
        self.actor = AdmissionActor(7, platform_settings.decode(SETTINGS), Metrics())
        self.recorder.mailbox = queue.SimpleQueue()
        self.listener.connections, self.listener_drained = (), False
        self.listener.is_drained = lambda: self.listener_drained
        self.actor.attach(
            self.recorder,
            self.recorder,
            self.recorder,
            self.listener,
            lambda: self.stop_times.append(self.now_ms),
        )
        if bound:
            self.actor.worker_pool_bound(1, False, 5000.0)

    def advance_to(self, now_ms):
        self.now_ms = now_ms
        self.actor.on_idle()


def test_a_controller_that_raises_at_every_tick_does_not_prevent_the_end_of_a_shutdown(monkeypatch):
    under_test = ActorUnderTest(monkeypatch)

    def failing_tick(*arguments):
        raise ZeroDivisionError

    under_test.actor.controller.on_tick = failing_tick
    under_test.actor.shutdown_requested(under_test.now_ms, 1000.0, 100.0)
    under_test.now_ms += 200.0
    with pytest.raises(ZeroDivisionError):
        under_test.actor.tick()
    assert [act for act in under_test.listener.acts if act[0] == "close"] and not under_test.stop_times
    under_test.listener_drained = True
    with pytest.raises(ZeroDivisionError):
        under_test.actor.tick()
    assert under_test.stop_times


def test_a_shutdown_ends_before_the_kill_between_two_ticks(monkeypatch):
    """The listener never drains, and the ticks fall 45 ms before the kill and 5 ms after it."""
    under_test = ActorUnderTest(monkeypatch)
    kill_at_ms = under_test.now_ms + 1000.0
    under_test.actor.shutdown_requested(under_test.now_ms, 1000.0, 100.0)
    heap = under_test.actor.timers.heap
    heap[:] = sorted(entry for entry in heap if entry[0] > kill_at_ms - 100.0)  # drop all earlier ticks
    under_test.now_ms = kill_at_ms - 45.0
    under_test.actor.tick()
    assert not under_test.stop_times
    while not under_test.stop_times and under_test.now_ms < kill_at_ms + 10.0:
        under_test.advance_to(under_test.now_ms + 1.0)
    assert under_test.stop_times and under_test.stop_times[0] <= kill_at_ms - 39.0


def test_a_shutdown_before_the_worker_pool_is_bound_waits_for_open_connections_and_is_not_ready(
    monkeypatch,
):
    under_test = ActorUnderTest(monkeypatch, bound=False)
    under_test.actor.shutdown_requested(under_test.now_ms, 1000.0, 100.0)
    assert not under_test.stop_times and ("close",) in under_test.listener.acts
    under_test.actor.worker_pool_bound(1, False, 5.0)  # the worker pool comes up during the shutdown
    assert under_test.actor.controller is None
    reports = [act[2] for act in under_test.recorder.acts if act[0] == "post" and len(act) == 3]
    assert reports == [False]
    under_test.listener_drained = True
    under_test.advance_to(under_test.now_ms + 60.0)
    assert under_test.stop_times


def test_grace_and_kill_are_counted_from_the_time_of_the_signal(monkeypatch):
    """The actor handles the signal 300 ms late, and a request arrives in the meantime."""
    under_test = ActorUnderTest(monkeypatch)
    signalled_at_ms = under_test.now_ms
    under_test.now_ms += 300.0
    under_test.actor.shutdown_requested(signalled_at_ms, 1000.0, 100.0)
    assert under_test.actor.shutdown.schedule.kill_at_unix_ms == signalled_at_ms + 1000.0
    arrived_at_ms = signalled_at_ms + 150.0  # after the grace time, so the request must not run
    under_test.actor.request_arrived(
        under_test.recorder,
        IncomingRequest(1, "ab", 0, "read", -1, 0, arrived_at_ms, 0.0, 500.0, 20.0, 1.0, None, ""),
    )
    assert under_test.actor.metrics.by_name["rejected_draining"] == 1
    assert not [
        act for act in under_test.recorder.acts if act[0] == "run_or_post" and b"spawn" in str(act).encode()
    ]
