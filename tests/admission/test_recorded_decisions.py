"""Checks that the controller without bulkheads acts as it did before bulkheads were introduced.

Digests of its actions in simulations with fixed seeds were recorded then. A commit that changes decisions on
purpose records new digests and says so.
"""

import hashlib
import random

import pytest
from helpers import Recorder, new_controller, request_class, send

from vetchford.admission.request import RequestState
from vetchford.admission.settings import Effect, LoadSignal

# The names that these actions had when the digests were recorded.
RECORDED_NAMES = {
    "fail": "abandon",
    "publish_load": "stamp",
    "set_readiness": "fitness",
    "schedule_tick": "wake",
    "set_idle_timeout": "keep_idle",
}
RECORDED = {
    (0, False): "dbfe273e2d47e6ed2f978cda",
    (0, True): "5a634ed0340fdaaa211e24bf",
    (1, False): "8dea10e0ed05ff44c3a5c118",
    (1, True): "53f765c57014cb9e926e10be",
    (2, False): "fd260f9b2cfd1f26c819c11d",
    (2, True): "18b02941670e2984675d2203",
    (3, False): "2b90572145214f20f384ffec",
    (3, True): "1bdabc4d3db7942357bfef5b",
    (4, False): "0d9fe541b3eb1b46f39c4c1b",
    (4, True): "ac3a1b78c1f093ec97b54bb4",
    (5, False): "6e5387a209a218581a7f9b6c",
    (5, True): "b728f477d8fb5b20e2847860",
}


def rounded(value):
    return round(value, 6) if isinstance(value, float) else value


def digest_of_a_history(seed, crowded, bulkheads=None):
    """Return a digest of the time, name and arguments of each action in a simulation."""
    rng, actions, digest = random.Random(seed), Recorder(), hashlib.blake2b(digest_size=12)
    classes = [
        request_class(skip_fraction=0.3),
        request_class(priority_weight=3.0, effect=Effect.IDEMPOTENT_BY_KEY),
        request_class(
            priority_weight=2.0,
            effect=Effect.NON_IDEMPOTENT,
            latency_objective_ms=900.0,
            timeout_ms=2200.0,
            late_fraction=0.2,
        ),
    ]
    controller = new_controller(
        actions,
        classes=classes,
        share=2.0 if crowded else None,
        memory=20_000.0 if crowded else 1e6,
        quotas=(0.01, 0.02),
        signal=LoadSignal.CREDIT,
        cold=seed % 2 == 0,
        clients=4,
        bulkheads=bulkheads,
    )
    arrival_count, action_count = 0, 0
    for step in range(3000):
        actions.now = now = step * 5.0
        if step == 2600:
            controller.start_draining(now, now + 2000.0)
        arrivals = rng.choice((0, 0, 1, 2, 5) if crowded else (0, 0, 0, 0, 1))
        for _ in range(arrivals if step < 2800 else 0):
            class_index, original = rng.randrange(3), None
            if class_index == 1 and rng.random() < 0.2:
                original = next(
                    (
                        index
                        for index, request in controller.workload.requests.items()
                        if request.key_expires_at_ms > now
                    ),
                    None,
                )
            arrival_count += 1
            client_deadline = now + 0.5 * classes[class_index].timeout_ms if rng.random() < 0.5 else None
            send(
                controller,
                now,
                arrival_count,
                class_index,
                client=rng.randrange(4),
                tenant=rng.randrange(-1, 2),
                deadline=client_deadline,
                work=rng.choice((None, 5.0, 40.0, 200.0)),
                size=rng.randint(5, 60),
                is_retry=rng.random() < 0.2,
                queued_for=rng.choice((0.0, 3.0, 400.0)),
                original=original,
            )
        for index, request in list(controller.workload.requests.items()):
            draw = rng.random()
            if controller.workload.requests.get(index) is not request:
                continue
            if request.state == RequestState.EXECUTING and draw < 0.05:
                controller.run_ended(
                    now, index, rng.choice(("completed", "errored")), rng.uniform(5.0, 400.0)
                )
            elif request.state == RequestState.EXECUTING and draw < 0.08:
                controller.run_blocked(now, index)
            elif request.state == RequestState.CALLING and draw < 0.05:
                controller.call_ended(
                    now,
                    index,
                    rng.choice(("completed", "saturated", "overdue", "errored")),
                    rng.uniform(5.0, 300.0),
                )
            elif request.state == RequestState.SHARING and draw < 0.05:
                controller.run_ended(now, index, "completed", 0.0)
            elif not request.answered and draw > 0.9995:
                controller.client_gave_up(now, index)
        for tick_at in sorted(each for each in actions.timers if each <= now):
            actions.timers.remove(tick_at)
            controller.on_tick(now, rng.random(), controller.workload.running + rng.random())
        for act in actions.acts:
            name, *arguments = act
            name = RECORDED_NAMES.get(name, name)
            digest.update(repr((now, name, *map(rounded, arguments))).encode())
            action_count += 1
        actions.acts.clear()
    assert action_count > 1000
    return digest.hexdigest()


@pytest.mark.parametrize(("seed", "crowded"), RECORDED)
def test_without_bulkheads_every_action_is_as_recorded(seed, crowded):
    assert digest_of_a_history(seed, crowded) == RECORDED[seed, crowded]
