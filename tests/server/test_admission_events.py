"""Single events of the admission actor, which acts on recorders in place of clients and services."""

import queue

import pytest
from helpers import SETTINGS, Recorder

from vetchford.protocol import platform_settings
from vetchford.protocol.messages import IncomingRequest
from vetchford.runtime.metrics import Metrics
from vetchford.server.admission_actor import AdmissionActor


@pytest.mark.parametrize("cold", [False, True])
def test_the_slow_start_of_a_cold_worker_pool_counts_from_its_start(cold):
    settings = {
        **SETTINGS,
        "rules": {"fallMultiple": 8.0, "coldFrom": 0.24, "rampTime": 18_000_000_000},
    }
    actor = AdmissionActor(7, platform_settings.decode(settings), Metrics())
    recorder = Recorder()
    actor.attach(recorder, recorder, recorder, recorder, lambda: None)
    recorder.mailbox = queue.SimpleQueue()
    actor.worker_pool_bound(1, cold, 5000.0)
    assert actor.clock.now_ms() >= 5000.0  # the controller derives the rest of the warm-up from its clock
    assert actor.controller.workload.settings.warm_up_ms == (18_000.0 if cold else 0.0)


def test_a_run_that_ended_since_the_poll_is_subtracted_from_the_gauge():
    # Otherwise the run would be taken for the work of reading requests, and a core would be left idle for it.
    actor, recorder = AdmissionActor(7, platform_settings.decode(SETTINGS), Metrics()), Recorder()
    actor.attach(recorder, recorder, recorder, recorder, lambda: None)
    recorder.mailbox = queue.SimpleQueue()
    actor.worker_pool_bound(1, False, 5000.0)
    actor.controller.workload.running = 2
    actor.poll_answered("1-1", [0.9, 3.0])
    actor.controller.workload.running = 1
    ticks = []
    actor.controller.on_tick = lambda now_ms, core_use, on_cores: ticks.append((core_use, on_cores))
    actor.tick()
    assert ticks == [(0.9, 2.0)]  # one run and, as at the poll, one core in use for reading


def test_the_timeout_and_work_of_a_request_are_capped_by_its_class():
    actor, recorder = AdmissionActor(7, platform_settings.decode(SETTINGS), Metrics()), Recorder()
    actor.attach(recorder, recorder, recorder, recorder, lambda: None)
    recorder.mailbox = queue.SimpleQueue()
    actor.worker_pool_bound(1, False, 5000.0)
    actor.request_arrived(
        recorder,
        IncomingRequest(
            1,
            "ab",
            0,
            "read",
            -1,
            0,
            actor.clock.origin_unix_ms + actor.clock.now_ms(),
            0.0,
            1e9,
            1e9,
            1.0,
            None,
            "",
        ),
    )
    request = actor.controller.workload.requests[0]
    assert request.work_ms == 60_000.0 and request.deadline_ms - request.arrived_at_ms <= 60_000.1


def test_a_request_that_the_controller_never_answers_is_failed_when_overdue():
    actor, recorder = AdmissionActor(7, platform_settings.decode(SETTINGS), Metrics()), Recorder()
    actor.attach(recorder, recorder, recorder, recorder, lambda: None)
    recorder.mailbox = queue.SimpleQueue()
    actor.worker_pool_bound(1, False, 5000.0)
    actor.request_arrived(
        recorder,
        IncomingRequest(
            1,
            "ab",
            0,
            "read",
            -1,
            0,
            actor.clock.origin_unix_ms + actor.clock.now_ms(),
            0.0,
            1000.0,
            20.0,
            1.0,
            None,
            "",
        ),
    )
    actor.controller.on_tick = lambda *arguments: None
    actor.tick()
    assert "answer" not in [act[0] for act in recorder.acts]
    actor.clock.origin_unix_ms -= 2000.0  # past the client timeout of 1000 ms
    actor.tick()
    actor.tick()
    assert [act[0] for act in recorder.acts].count("answer") == 1
    assert actor.metrics.by_name["must_hold_broken"] == 1
