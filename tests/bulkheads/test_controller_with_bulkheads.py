"""The controller with bulkheads: which requests start, are evicted or call, and their retry-after."""

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
        return lambda *arguments: self.events.append((name, *arguments))

    def count(self, *event_start):
        return sum(entry[: len(event_start)] == event_start for entry in self.events)


def divided_controller(
    actions, settings=None, observer=None, bulkhead_of_class=(0, 1, 2), classes=None, **arguments
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
        **arguments,
    )


def started_requests(actions):
    return [act[1] for act in actions.acts if act[0] == "start"]


def test_a_request_starts_on_a_reserved_slot_at_once_and_no_other_bulkhead_uses_that_slot():
    actions, observer = Recorder(), RecordingObserver()
    controller = divided_controller(actions, observer=observer)
    controller.workload.ceiling = 8.0
    for index in range(6):
        send(controller, 0.0, index, class_index=CHARGE)
    assert started_requests(actions) == [0, 1]
    send(controller, 1.0, 10, class_index=CHECK)
    assert started_requests(actions) == [0, 1, 10] and observer.count("reserve_used", 0) == 1
    send(controller, 2.0, 11, class_index=CHECK)
    assert started_requests(actions) == [0, 1, 10]  # the bulkhead has one reserved slot
    controller.run_ended(30.0, 10, "completed", 28.0)
    assert started_requests(actions) == [0, 1, 10, 11]


def test_a_sole_active_bulkhead_gets_all_slots_until_another_has_requests_again():
    actions, observer = Recorder(), RecordingObserver()
    controller = divided_controller(actions, observer=observer, cores=4)
    for index in range(12):
        send(controller, 0.0, index, class_index=CHARGE)
    assert started_requests(actions) == [0, 1, 2, 3] and observer.count("borrowed", 2, "slots") == 2
    send(controller, 100.0, 20, class_index=QUOTE)
    controller.run_ended(100.0, 0, "completed", 100.0)
    assert started_requests(actions)[-1] == 20 and observer.count("returned", 2, "slots") == 1


def test_a_bulkhead_gets_a_borrowed_slot_that_is_freed_as_its_request_arrives_in_either_order():
    for first in ("arrival", "end"):
        actions = Recorder()
        controller = divided_controller(actions)
        for index in range(4):
            send(controller, 0.0, index, class_index=CHARGE)
        if first == "arrival":
            send(controller, 50.0, 20, class_index=QUOTE)
            controller.run_ended(50.0, 0, "completed", 50.0)
            assert started_requests(actions)[-1] == 20
        else:  # the slot was lent again before the request arrived, so the next free slot is used
            controller.run_ended(50.0, 0, "completed", 50.0)
            send(controller, 50.0, 20, class_index=QUOTE)
            controller.run_ended(50.0, 1, "completed", 50.0)
            assert started_requests(actions)[-1] == 20


def test_two_busy_bulkheads_share_the_slots_by_their_shares_over_time():
    actions = Recorder()
    settings = [
        BulkheadSettings("gate", 0.2, 0.5, 0.5),
        BulkheadSettings("quotes", 0.3, 0.5, 0.5),
        BulkheadSettings("charges", 0.5, 0.5, 0.5),
    ]
    controller = divided_controller(actions, settings=settings, memory=1e9)
    now_ms, index, ends_and_indices, runs_by_bulkhead = 0.0, 0, [], [0, 0, 0]
    for _ in range(3000):
        for class_index in (QUOTE, CHARGE):
            queued_count = sum(
                request.bulkhead == class_index for request in controller.workload.queued.values()
            )
            if queued_count < 2:
                index += 1
                send(controller, now_ms, index, class_index=class_index, deadline=now_ms + 4000.0)
        ends_and_indices += [(now_ms + 40.0, started_index) for started_index in started_requests(actions)]
        actions.acts.clear()
        ends_and_indices.sort()
        now_ms, started_index = ends_and_indices.pop(0)
        runs_by_bulkhead[controller.workload.requests[started_index].bulkhead] += 1
        controller.run_ended(now_ms, started_index, "completed", 40.0)
    assert runs_by_bulkhead[QUOTE] / runs_by_bulkhead[CHARGE] == pytest.approx(0.3 / 0.5, rel=0.05)


def test_a_bulkhead_that_does_not_lend_keeps_its_slot_free():
    actions = Recorder()
    settings = [BulkheadSettings("gate", 0.5, 0.2, 0.2, lends=False), BulkheadSettings("rest", 0.5, 0.8, 0.8)]
    controller = divided_controller(actions, settings=settings, bulkhead_of_class=(0, 1, 1))
    for index in range(4):
        send(controller, 0.0, index, class_index=CHARGE)
    assert started_requests(actions) == [0]  # the other slot is kept free for the bulkhead "gate"
    send(controller, 1.0, 10, class_index=CHECK)
    assert started_requests(actions) == [0, 10]


def test_requests_of_a_bulkhead_over_its_byte_share_are_evicted_for_those_of_one_within_its_share():
    actions = Recorder()
    controller = divided_controller(actions)
    controller.workload.in_flight.clearable_bytes, controller.workload.ceiling = 100.0, 8.0
    for index in range(12):
        send(controller, 0.0, index, class_index=CHARGE, client=index, size=10)
    queued_before = len(controller.workload.queued)
    send(controller, 1.0, 30, class_index=CHECK, client=30, size=10)
    send(controller, 1.0, 31, class_index=CHECK, client=31, size=10)
    # Both checks are admitted, one on the reserved slot; a charge is evicted for the excess bytes.
    assert not {30, 31} & set(actions.answers)
    assert (
        len(controller.workload.queued) == queued_before + 1
        and controller.workload.in_flight.unanswered_bytes == 100
    )
    rejected_before = set(actions.answers)
    send(controller, 2.0, 40, class_index=QUOTE, client=40, size=10)  # within its share: a charge is evicted
    assert 40 in controller.workload.queued and len(set(actions.answers) - rejected_before) == 1
    assert controller.workload.in_flight.unanswered_bytes == 100 and all(
        answer == "reject" for answer in actions.answers.values()
    )


def test_requests_that_wait_for_an_unavailable_dependency_leave_the_memory_of_other_bulkheads_free():
    actions = Recorder()
    controller = divided_controller(actions, memory=2000.0, share=50.0)
    now_ms, index = 0.0, 0
    for index in range(100):
        send(controller, now_ms, index, class_index=CHARGE, client=index, size=10)
        for started_index in started_requests(actions):
            if controller.workload.requests[started_index].state == RequestState.EXECUTING:
                controller.run_blocked(now_ms, started_index)
        now_ms += 1.0
    assert any(answer == "reject" for answer in actions.answers.values())  # the memory is full
    send(controller, now_ms, 500, class_index=CHECK, size=10)
    assert 500 in started_requests(actions)


def test_a_request_that_must_call_waits_while_its_queue_for_calls_is_full_and_others_start():
    actions = Recorder()
    controller = divided_controller(actions, share=1.0)
    for index in range(8):
        send(controller, 0.0, index, class_index=CHARGE)
    for index in (0, 1, 2, 3):
        if controller.workload.requests[index].state == RequestState.EXECUTING:
            controller.run_blocked(10.0, index)
    assert len(controller.workload.waiting) <= 3 and controller.workload.running < 2
    running_before = controller.workload.running
    send(controller, 20.0, 20, class_index=CHECK)
    assert controller.workload.running == running_before + 1


def test_a_call_past_the_call_budget_of_its_bulkhead_is_abandoned_and_its_run_skips_it():
    actions = Recorder()
    settings = [
        BulkheadSettings("gate", 0.2, 0.2, 0.2),
        BulkheadSettings("quotes", 0.3, 0.3, 0.3, call_budget_ms=600.0),
        BulkheadSettings("charges", 0.5, 0.5, 0.5),
    ]
    controller = divided_controller(actions, settings=settings, share=4.0)
    send(controller, 0.0, 1, class_index=QUOTE)
    controller.run_blocked(10.0, 1)
    assert ("call", 1, 610.0) in actions.acts
    controller.call_ended(610.0, 1, "overdue", 600.0)
    assert ("skip", 1) in actions.acts


def test_retry_after_is_the_backlog_of_the_request_s_own_bulkhead():
    actions = Recorder()
    controller = divided_controller(actions)
    for index in range(200, 208):
        send(controller, 0.0, index, class_index=CHARGE, work=300.0)
        controller.run_ended(0.0, index, "completed", 300.0)
    for index in range(40):
        send(controller, 0.0, index, class_index=CHARGE, work=300.0, client=index % 5)
    retry_afters_ms = {act[1]: act[3] for act in actions.acts if act[0] == "reject"}
    assert retry_afters_ms and min(retry_afters_ms.values()) > 400.0
    # It exceeds the memory, and its bulkhead has no queue.
    send(controller, 1.0, 100, class_index=QUOTE, size=200_000)
    assert ("reject", 100, False, 0.0) in actions.acts


def test_a_repeat_of_a_charge_that_is_queued_in_a_full_bulkhead_takes_its_place_and_runs_once():
    actions = Recorder()
    controller = divided_controller(actions)
    for index in range(6):
        send(controller, 0.0, index, class_index=CHARGE)
    queued_index = next(iter(controller.workload.queued))
    send(controller, 50.0, 50, class_index=CHARGE, original=queued_index)
    assert actions.answers[queued_index] == "reject" and 50 in controller.workload.queued
    send(controller, 60.0, 51, class_index=CHARGE, original=0)
    assert "share" in actions.names(51) and started_requests(actions).count(0) == 1


def test_after_unanswered_calls_a_bulkhead_admits_a_request_once_no_call_is_in_flight():
    actions = Recorder()
    controller = divided_controller(actions, share=8.0)
    now_ms = 0.0
    for index in range(30):
        send(controller, now_ms, index, class_index=CHARGE, deadline=now_ms + 1800.0)
        if index in started_requests(actions):
            controller.run_blocked(now_ms + 5.0, index)
            controller.call_ended(now_ms + 1700.0, index, "overdue", 1695.0)
        now_ms += 2000.0
    send(controller, now_ms, 99, class_index=CHARGE)
    assert 99 in started_requests(actions)


def test_draining_with_full_bulkheads_answers_every_request_and_leaves_nothing_counted():
    actions = Recorder()
    controller = divided_controller(actions, share=2.0)
    for index in range(30):
        send(controller, 0.0, index, class_index=index % 3, client=index % 4)
    for index in started_requests(actions)[:2]:
        controller.run_blocked(20.0, index)
    controller.start_draining(100.0, 2100.0)
    for now_ms in range(150, 2100, 50):
        controller.on_tick(float(now_ms), 1.0, 2.0)
    for index in list(controller.workload.requests):
        request = controller.workload.requests[index]
        if request.state in (RequestState.EXECUTING, RequestState.WAITING_FOR_CALL, RequestState.CALLING):
            controller.run_ended(2100.0, index, "recalled", 2000.0)
    controller.on_tick(40_000.0, 0.0, 0.0)
    bulkheads = controller.capacity.bulkheads
    assert set(actions.answers) == set(range(30)) and not controller.workload.requests
    assert bulkheads.bytes.unanswered_bytes == [0, 0, 0] and bulkheads.bytes.used_bytes == [0.0, 0.0, 0.0]
    in_use = [
        bulkheads.slots.fair_share.in_use,
        bulkheads.calls.fair_share.in_use,
        bulkheads.slots.on_reserve,
    ]
    assert in_use == [[0, 0, 0]] * 3
    assert not any(bulkheads.calls.call_starts_ms)


def test_classes_that_no_bulkhead_names_share_the_rest_bulkhead_which_always_has_a_share():
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
    assert [bulkheads.settings[bulkhead].name for bulkhead in bulkheads.bulkhead_of_class] == [
        "gate",
        "rest",
        "rest",
    ]
    assert bulkheads.slots.fair_share.shares[1] > 0.05 and bulkheads.settings[0].call_budget_ms == math.inf
    assert builder.build(RecordingObserver(), "none", ["check"], [0], [1.0]) is None


def test_derived_bulkheads_find_the_light_class_by_its_run_times_and_follow_their_change():
    actions, observer = Recorder(), RecordingObserver()
    classes = [
        request_class(),
        request_class(priority_weight=2.0),
        request_class(priority_weight=3.0, effect=Effect.IDEMPOTENT_BY_KEY),
    ]
    bulkheads = builder.build_derived(observer, [0, 0, 1], [1.0, 2.0, 3.0])
    controller = new_controller(actions, classes=classes, bulkheads=bulkheads)
    assert [each.bulkhead for each in classes] == [2, 2, 1]  # no runs are measured yet
    now_ms = 0.0
    for index in range(90):
        send(controller, now_ms, index, class_index=index % 3)
        controller.run_ended(now_ms + 5.0, index, "completed", (6.0, 40.0, 60.0)[index % 3])
        now_ms += 10.0
    controller.on_tick(6000.0, 1.0, 0.0)
    assert [each.bulkhead for each in classes] == [0, 2, 1] and observer.count("regrouped") == 1
    for index in range(100, 190):  # all classes have long runs now, so none is light
        send(controller, 7000.0 + index, index, class_index=index % 3)
        controller.run_ended(7005.0 + index, index, "completed", 60.0)
    controller.on_tick(12_000.0, 1.0, 0.0)
    assert [each.bulkhead for each in classes] == [2, 2, 1]
