"""Without bulkheads the controller acts as it did before there were any: digests of its acts, recorded then.

The histories are generated, with fixed seeds. A change of decisions on purpose records them anew and says so.
"""

import hashlib
import random

import pytest
from helpers import Recorder, new_controller, request_class, send

from vetchford.admission.request import RequestState
from vetchford.admission.settings import Effect, LoadSignal

# The digests were recorded when these acts had other names.
RECORDED_NAMES = {
    "fail": "abandon",
    "publish_load": "stamp",
    "set_readiness": "fitness",
    "schedule_tick": "wake",
    "set_idle_timeout": "keep_idle",
}
RECORDED = {
    (0, False): "dbfe273e2d47e6ed2f978cda",
    (0, True): "ec339ea3faa5a81ef2036f84",
    (1, False): "8b127e4f6d2d4d5534175aa1",
    (1, True): "f49c57385d068af383e97ae6",
    (2, False): "fd5b61504fc6e3e9876a72b0",
    (2, True): "a8652326f8928caa657401de",
    (3, False): "362bda4692c1ed5b3bed2a09",
    (3, True): "61abb010b33cd52bc23b3c2d",
    (4, False): "3395f32a1372378eace342b0",
    (4, True): "13b5ecb8dc00c0a7c19d3f6d",
    (5, False): "26599ebb7e117d7dc6ebb817",
    (5, True): "4c487c50fc6c9372f07ae891",
}


def kept(value):
    return round(value, 6) if isinstance(value, float) else value


def digest_of_a_history(seed, crowded, bulkheads=None):
    """One digest over each act, its arguments and its moment."""
    chance, host, acts = random.Random(seed), Recorder(), hashlib.blake2b(digest_size=12)
    stages = [
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
    server = new_controller(
        host,
        classes=stages,
        share=2.0 if crowded else None,
        memory=20_000.0 if crowded else 1e6,
        quotas=(0.01, 0.02),
        signal=LoadSignal.CREDIT,
        cold=seed % 2 == 0,
        clients=4,
        bulkheads=bulkheads,
    )
    count, told = 0, 0
    for step in range(3000):
        host.now = now = step * 5.0
        if step == 2600:
            server.start_draining(now, now + 2000.0)
        arrivals = chance.choice((0, 0, 1, 2, 5) if crowded else (0, 0, 0, 0, 1))
        for _ in range(arrivals if step < 2800 else 0):
            kind, first = chance.randrange(3), None
            if kind == 1 and chance.random() < 0.2:
                first = next(
                    (q for q, request in server.workload.requests.items() if request.key_expires_at_ms > now),
                    None,
                )
            count += 1
            limit_at = now + 0.5 * stages[kind].timeout_ms if chance.random() < 0.5 else None
            send(
                server,
                now,
                count,
                kind,
                client=chance.randrange(4),
                tenant=chance.randrange(-1, 2),
                deadline=limit_at,
                work=chance.choice((None, 5.0, 40.0, 200.0)),
                size=chance.randint(5, 60),
                is_retry=chance.random() < 0.2,
                queued_for=chance.choice((0.0, 3.0, 400.0)),
                original=first,
            )
        for q, request in list(server.workload.requests.items()):
            luck = chance.random()
            if server.workload.requests.get(q) is not request:
                continue
            if request.state == RequestState.EXECUTING and luck < 0.05:
                server.run_ended(now, q, chance.choice(("completed", "errored")), chance.uniform(5.0, 400.0))
            elif request.state == RequestState.EXECUTING and luck < 0.08:
                server.run_blocked(now, q)
            elif request.state == RequestState.CALLING and luck < 0.05:
                server.call_ended(
                    now,
                    q,
                    chance.choice(("completed", "saturated", "overdue", "errored")),
                    chance.uniform(5.0, 300.0),
                )
            elif request.state == RequestState.SHARING and luck < 0.05:
                server.run_ended(now, q, "completed", 0.0)
            elif not request.answered and luck > 0.9995:
                server.client_gone(now, q)
        for at in sorted(at for at in host.timers if at <= now):
            host.timers.remove(at)
            server.on_tick(now, chance.random(), server.workload.running + chance.random())
        for act in host.acts:
            name, *arguments = act
            name = RECORDED_NAMES.get(name, name)
            acts.update(repr((now, name, *map(kept, arguments))).encode())
            told += 1
        host.acts.clear()
    assert told > 1000
    return acts.hexdigest()


@pytest.mark.parametrize(("seed", "crowded"), RECORDED)
def test_without_bulkheads_every_act_is_as_recorded(seed, crowded):
    assert digest_of_a_history(seed, crowded) == RECORDED[seed, crowded]
