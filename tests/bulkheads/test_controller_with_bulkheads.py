"""The controller with bulkheads: whose request starts, has room, calls, and its retry delay."""

import math

import pytest
from helpers import Recorder, new_controller, request_class, send

from vetchford.admission.request import RequestState
from vetchford.admission.settings import Effect
from vetchford.bulkheads import builder
from vetchford.bulkheads.bulkheads import BulkheadSet
from vetchford.bulkheads.settings import BulkheadSettings

CHECK, QUOTE, CHARGE = range(3)


class RecordingObserver:
    def __init__(self):
        self.events = []

    def __getattr__(self, name):
        return lambda *given: self.events.append((name, *given))

    def count(self, *wanted):
        return sum(entry[: len(wanted)] == wanted for entry in self.events)


def divided_controller(
    actions, settings=None, observer=None, bulkhead_of_class=(0, 1, 2), classes=None, **given
):
    settings = settings or [
        BulkheadSettings("gate", 0.2, 0.2, 0.2, reserve=1),
        BulkheadSettings("quotes", 0.3, 0.3, 0.3),
        BulkheadSettings("charges", 0.5, 0.5, 0.5),
    ]
    classes = classes or [
        request_class(),
        request_class(priority_weight=2.0, skip_fraction=0.5),
        request_class(priority_weight=3.0, effect=Effect.IDEMPOTENT_BY_KEY),
    ]
    return new_controller(
        actions,
        classes=classes,
        bulkheads=BulkheadSet(observer or RecordingObserver(), settings, bulkhead_of_class),
        **given,
    )


def started(actions):
    return [act[1] for act in actions.acts if act[0] == "start"]


def test_a_request_starts_on_its_reserve_at_once_and_no_other_bulkhead_uses_it():
    actions, observer = Recorder(), RecordingObserver()
    server = divided_controller(actions, observer=observer)
    server.workload.ceiling = 8.0
    for q in range(6):
        send(server, 0.0, q, kind=CHARGE)
    assert started(actions) == [0, 1]
    send(server, 1.0, 10, kind=CHECK)
    assert started(actions) == [0, 1, 10] and observer.count("reserve_used", 0) == 1
    send(server, 2.0, 11, kind=CHECK)
    assert started(actions) == [0, 1, 10]  # one is its reserve
    server.run_ended(30.0, 10, "completed", 28.0)
    assert started(actions) == [0, 1, 10, 11]


def test_a_bulkhead_alone_has_all_slots_and_their_owner_is_next_when_it_returns():
    actions, observer = Recorder(), RecordingObserver()
    server = divided_controller(actions, observer=observer, cores=4)
    for q in range(12):
        send(server, 0.0, q, kind=CHARGE)
    assert started(actions) == [0, 1, 2, 3] and observer.count("borrowed", 2, "slots") == 2
    send(server, 100.0, 20, kind=QUOTE)
    server.run_ended(100.0, 0, "completed", 100.0)
    assert started(actions)[-1] == 20 and observer.count("returned", 2, "slots") == 1


def test_a_bulkhead_that_returns_as_a_borrowed_slot_is_freed_gets_it_in_either_order():
    for first in ("arrival", "end"):
        actions = Recorder()
        server = divided_controller(actions)
        for q in range(4):
            send(server, 0.0, q, kind=CHARGE)
        if first == "arrival":
            send(server, 50.0, 20, kind=QUOTE)
            server.run_ended(50.0, 0, "completed", 50.0)
            assert started(actions)[-1] == 20
        else:  # the slot was lent again before it came: the next one is its
            server.run_ended(50.0, 0, "completed", 50.0)
            send(server, 50.0, 20, kind=QUOTE)
            server.run_ended(50.0, 1, "completed", 50.0)
            assert started(actions)[-1] == 20


def test_two_busy_bulkheads_share_the_slots_by_their_shares_over_time():
    actions = Recorder()
    settings = [
        BulkheadSettings("gate", 0.2, 0.5, 0.5),
        BulkheadSettings("quotes", 0.3, 0.5, 0.5),
        BulkheadSettings("charges", 0.5, 0.5, 0.5),
    ]
    server = divided_controller(actions, settings=settings, memory=1e9)
    now, q, runs, used = 0.0, 0, [], [0, 0, 0]
    for _ in range(3000):
        for kind in (QUOTE, CHARGE):
            held = sum(request.bulkhead == kind for request in server.workload.queued.values())
            if held < 2:
                q += 1
                send(server, now, q, kind=kind, deadline=now + 4000.0)
        runs += [(now + 40.0, one) for one in started(actions)]
        actions.acts.clear()
        runs.sort()
        now, one = runs.pop(0)
        used[server.workload.requests[one].bulkhead] += 1
        server.run_ended(now, one, "completed", 40.0)
    assert used[QUOTE] / used[CHARGE] == pytest.approx(0.3 / 0.5, rel=0.05)


def test_a_bulkhead_that_does_not_lend_keeps_its_slot_free():
    actions = Recorder()
    settings = [BulkheadSettings("gate", 0.5, 0.2, 0.2, lends=False), BulkheadSettings("rest", 0.5, 0.8, 0.8)]
    server = divided_controller(actions, settings=settings, bulkhead_of_class=(0, 1, 1))
    for q in range(4):
        send(server, 0.0, q, kind=CHARGE)
    assert started(actions) == [0]  # the other slot is the gate's
    send(server, 1.0, 10, kind=CHECK)
    assert started(actions) == [0, 10]


def test_requests_of_a_bulkhead_over_its_byte_share_are_evicted_for_one_within_its_share():
    actions = Recorder()
    server = divided_controller(actions)
    server.workload.in_flight.clearable_bytes, server.workload.ceiling = 100.0, 8.0
    for q in range(12):
        send(server, 0.0, q, kind=CHARGE, client=q, size=10)
    held = len(server.workload.queued)
    send(server, 1.0, 30, kind=CHECK, client=30, size=10)
    send(server, 1.0, 31, kind=CHECK, client=31, size=10)
    assert not {30, 31} & set(
        actions.answers
    )  # let in, one by its reserve, and a charge went for what was too much
    assert len(server.workload.queued) == held + 1 and server.workload.in_flight.unanswered_bytes == 100
    before = set(actions.answers)
    send(server, 2.0, 40, kind=QUOTE, client=40, size=10)  # within its part: a charge goes for it
    assert 40 in server.workload.queued and len(set(actions.answers) - before) == 1
    assert server.workload.in_flight.unanswered_bytes == 100 and all(
        answer == "reject" for answer in actions.answers.values()
    )


def test_requests_that_wait_for_an_unavailable_dependency_leave_the_memory_of_other_bulkheads_free():
    actions = Recorder()
    server = divided_controller(actions, memory=2000.0, share=50.0)
    now, q = 0.0, 0
    for q in range(100):
        send(server, now, q, kind=CHARGE, client=q, size=10)
        for one in started(actions):
            if server.workload.requests[one].state == RequestState.EXECUTING:
                server.run_blocked(now, one)
        now += 1.0
    assert any(answer == "reject" for answer in actions.answers.values())  # full
    send(server, now, 500, kind=CHECK, size=10)
    assert 500 in started(actions)


def test_a_request_that_must_call_is_not_started_while_its_queue_for_calls_is_full_and_others_are():
    actions = Recorder()
    server = divided_controller(actions, share=1.0)
    for q in range(8):
        send(server, 0.0, q, kind=CHARGE)
    for q in (0, 1, 2, 3):
        if server.workload.requests[q].state == RequestState.EXECUTING:
            server.run_blocked(10.0, q)
    assert len(server.workload.waiting) <= 3 and server.workload.running < 2
    before = server.workload.running
    send(server, 20.0, 20, kind=CHECK)
    assert server.workload.running == before + 1


def test_a_call_past_the_call_budget_of_its_bulkhead_is_abandoned_and_its_run_skips_it():
    actions = Recorder()
    settings = [
        BulkheadSettings("gate", 0.2, 0.2, 0.2),
        BulkheadSettings("quotes", 0.3, 0.3, 0.3, call_budget_ms=600.0),
        BulkheadSettings("charges", 0.5, 0.5, 0.5),
    ]
    server = divided_controller(actions, settings=settings, share=4.0)
    send(server, 0.0, 1, kind=QUOTE)
    server.run_blocked(10.0, 1)
    assert ("call", 1, 610.0) in actions.acts
    server.call_ended(610.0, 1, "overdue", 600.0)
    assert ("skip", 1) in actions.acts


def test_retry_after_is_the_backlog_of_the_request_s_own_bulkhead():
    actions = Recorder()
    server = divided_controller(actions)
    for q in range(200, 208):
        send(server, 0.0, q, kind=CHARGE, work=300.0)
        server.run_ended(0.0, q, "completed", 300.0)
    for q in range(40):
        send(server, 0.0, q, kind=CHARGE, work=300.0, client=q % 5)
    events = {act[1]: act[3] for act in actions.acts if act[0] == "reject"}
    assert events and min(events.values()) > 400.0
    send(server, 1.0, 100, kind=QUOTE, size=200_000)  # more than the memory: nobody of its pool is in line
    assert ("reject", 100, False, 0.0) in actions.acts


def test_a_repeat_of_a_charge_that_is_queued_in_a_full_bulkhead_takes_its_place_and_runs_once():
    actions = Recorder()
    server = divided_controller(actions)
    for q in range(6):
        send(server, 0.0, q, kind=CHARGE)
    waits = next(iter(server.workload.queued))
    send(server, 50.0, 50, kind=CHARGE, original=waits)
    assert actions.answers[waits] == "reject" and 50 in server.workload.queued
    send(server, 60.0, 51, kind=CHARGE, original=0)
    assert "share" in actions.names(51) and started(actions).count(0) == 1


def test_after_unanswered_calls_a_bulkhead_admits_one_request_to_try_as_soon_as_no_call_is_out():
    actions = Recorder()
    server = divided_controller(actions, share=8.0)
    now = 0.0
    for q in range(30):
        send(server, now, q, kind=CHARGE, deadline=now + 1800.0)
        if q in started(actions):
            server.run_blocked(now + 5.0, q)
            server.call_ended(now + 1700.0, q, "overdue", 1695.0)
        now += 2000.0
    send(server, now, 99, kind=CHARGE)
    assert 99 in started(actions)


def test_draining_with_full_bulkheads_answers_everything_and_empties_every_table():
    actions = Recorder()
    server = divided_controller(actions, share=2.0)
    for q in range(30):
        send(server, 0.0, q, kind=q % 3, client=q % 4)
    for q in started(actions)[:2]:
        server.run_blocked(20.0, q)
    server.start_draining(100.0, 2100.0)
    for at in range(150, 2100, 50):
        server.on_tick(float(at), 1.0, 2.0)
    for q in list(server.workload.requests):
        request = server.workload.requests[q]
        if request.state in (RequestState.EXECUTING, RequestState.WAITING_FOR_CALL, RequestState.CALLING):
            server.run_ended(2100.0, q, "recalled", 2000.0)
    server.on_tick(40_000.0, 0.0, 0.0)
    bulkheads = server.capacity.bulkheads
    assert set(actions.answers) == set(range(30)) and not server.workload.requests
    assert bulkheads.bytes.unanswered_bytes == [0, 0, 0] and bulkheads.bytes.used_bytes == [0.0, 0.0, 0.0]
    in_use = [
        bulkheads.slots.fair_share.in_use,
        bulkheads.calls.fair_share.in_use,
        bulkheads.slots.on_reserve,
    ]
    assert in_use == [[0, 0, 0]] * 3
    assert not any(bulkheads.calls.call_starts_ms)


def test_classes_that_no_bulkhead_names_share_the_rest_and_always_have_a_share():
    bulkheads = builder.build(
        RecordingObserver(),
        {
            "gate": {
                "stages": ["check"],
                "share": 1.0,
                "bytes": 1.0,
                "calls": 1.0,
                "reserve": 0,
                "call_budget": None,
            }
        },
        ["check", "new", "newer"],
        [0, 0, 1],
        [1.0, 2.0, 3.0],
    )
    assert [bulkheads.settings[p].name for p in bulkheads.bulkhead_of_class] == ["gate", "rest", "rest"]
    assert bulkheads.slots.fair_share.shares[1] > 0.05 and bulkheads.settings[0].call_budget_ms == math.inf
    assert builder.build(RecordingObserver(), "none", ["check"], [0], [1.0]) is None


def test_derived_bulkheads_find_the_light_class_by_its_runs_and_keep_to_it():
    actions, observer = Recorder(), RecordingObserver()
    classes = [
        request_class(),
        request_class(priority_weight=2.0),
        request_class(priority_weight=3.0, effect=Effect.IDEMPOTENT_BY_KEY),
    ]
    bulkheads = builder.derived(observer, [0, 0, 1], [1.0, 2.0, 3.0])
    server = new_controller(actions, classes=classes, bulkheads=bulkheads)
    assert [kind.bulkhead for kind in classes] == [2, 2, 1]  # nothing measured yet
    now = 0.0
    for q in range(90):
        send(server, now, q, kind=q % 3)
        server.run_ended(now + 5.0, q, "completed", (6.0, 40.0, 60.0)[q % 3])
        now += 10.0
    server.on_tick(6000.0, 1.0, 0.0)
    assert [kind.bulkhead for kind in classes] == [0, 2, 1] and observer.count("regrouped") == 1
    for q in range(100, 190):  # now all are dear: none is light
        send(server, 7000.0 + q, q, kind=q % 3)
        server.run_ended(7005.0 + q, q, "completed", 60.0)
    server.on_tick(12_000.0, 1.0, 0.0)
    assert [kind.bulkhead for kind in classes] == [2, 2, 1]
