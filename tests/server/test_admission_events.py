"""Single events of the admission actor, with peers that only record."""

import queue

import pytest
from helpers import TOLD, Recorder

from vetchford.protocol.messages import IncomingRequest
from vetchford.runtime.metrics import Metrics
from vetchford.server.admission_actor import AdmissionActor


@pytest.mark.parametrize("cold", [False, True])
def test_the_ramp_of_a_cold_pool_counts_from_the_pool_s_start(cold):
    told = {**TOLD, "rules": {"fallMultiple": 8.0, "coldFrom": 0.24, "rampTime": 18_000_000_000}}
    module = AdmissionActor(7, told, Metrics())
    peer = Recorder()
    module.attach(peer, peer, peer, peer, lambda: None)
    peer.mailbox = queue.SimpleQueue()
    module.worker_pool_bound(1, cold, 5000.0)
    assert module.clock.now() >= 5000.0  # what is left of the ramp is told to the node by its clock
    assert module.controller.ramp == (18_000.0 if cold else 0.0)


def test_a_run_that_ended_since_the_poll_does_not_pass_for_reading():
    # It would be taken off the slots, and a core would stand idle for what nobody reads.
    module, peer = AdmissionActor(7, TOLD, Metrics()), Recorder()
    module.attach(peer, peer, peer, peer, lambda: None)
    peer.mailbox = queue.SimpleQueue()
    module.worker_pool_bound(1, False, 5000.0)
    module.controller.running = 2
    module.poll_answered("1-1", [0.9, 3.0])
    module.controller.running = 1
    told = []
    module.controller.on_tick = lambda now, busy, on_cores: told.append((busy, on_cores))
    module.tick()
    assert told == [(0.9, 2.0)]  # one reads, as at the poll


def test_figures_that_no_caller_can_mean_neither_hold_a_task_for_hours_nor_outweigh_the_others():
    module, peer = AdmissionActor(7, TOLD, Metrics()), Recorder()
    module.attach(peer, peer, peer, peer, lambda: None)
    peer.mailbox = queue.SimpleQueue()
    module.worker_pool_bound(1, False, 5000.0)
    module.request_arrived(
        peer,
        IncomingRequest(
            1, "ab", 0, "read", -1, 0, module.clock.origin + module.clock.now(), 1e9, 1e9, 1.0, None, ""
        ),
    )
    task = module.controller.tasks[0]
    assert task.work == 60_000.0 and task.limit - task.arrived <= 60_000.1


def test_a_task_that_the_decisions_lose_is_answered_all_the_same():
    module, peer = AdmissionActor(7, TOLD, Metrics()), Recorder()
    module.attach(peer, peer, peer, peer, lambda: None)
    peer.mailbox = queue.SimpleQueue()
    module.worker_pool_bound(1, False, 5000.0)
    module.request_arrived(
        peer,
        IncomingRequest(
            1, "ab", 0, "read", -1, 0, module.clock.origin + module.clock.now(), 1000.0, 20.0, 1.0, None, ""
        ),
    )
    module.controller.on_tick = lambda *given: None
    module.tick()
    assert "answer" not in [act[0] for act in peer.acts]
    module.clock.origin -= 2000.0  # its limit has passed
    module.tick()
    module.tick()
    assert [act[0] for act in peer.acts].count("answer") == 1
    assert module.metrics.by_name["must_hold_broken"] == 1
