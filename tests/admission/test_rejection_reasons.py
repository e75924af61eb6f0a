"""Checks that each rejection names its rule, and that the on-call page maps counters to rules."""

import importlib
import re

import pytest
from helpers import ROOT, Recorder, new_controller, request_class, send

from vetchford.admission.rejection import RejectionReason
from vetchford.admission.settings import Effect
from vetchford.server.server_actions import REASON_COUNTERS

TABLE_ROW = re.compile(
    r"^\| `(rejection_\w+)` \| `(\w+)` \| `([\w.]+)` \| ([^|]+) \| ([^|]+) \|$", re.MULTILINE
)
STATE_COUNTERS = {"rejected_at_door", "rejected_held", "rejected_stalled", "rejected_draining"}


def resolve(path):
    """Return the function that a dotted path below `vetchford` names."""
    parts = path.split(".")
    found = importlib.import_module("vetchford." + ".".join(parts[:2]))
    for name in parts[2:]:
        found = getattr(found, name)
    return found


@pytest.mark.parametrize("reason", RejectionReason)
def test_each_reason_names_a_function_that_exists_and_that_no_other_reason_names(reason):
    assert callable(resolve(reason.value))
    assert [each for each in RejectionReason if each.value == reason.value] == [reason]


def test_the_on_call_table_has_each_reason_with_its_counter_and_its_function():
    rows = TABLE_ROW.findall((ROOT / "docs/on-call.md").read_text())
    documented = {RejectionReason[name]: (counter, function) for counter, name, function, _, _ in rows}
    assert len(rows) == len(RejectionReason)
    assert documented == {reason: (REASON_COUNTERS[reason], reason.value) for reason in RejectionReason}
    for row in rows:
        named = set(re.findall(r"`(\w+)`", row[3]))
        assert named and named <= STATE_COUNTERS


def test_counters_of_reasons_are_not_among_those_that_load_reports_add_up():
    # The load reports of a fleet add up all counters whose names begin with `rejected_`.
    assert not [name for name in REASON_COUNTERS.values() if name.startswith("rejected_")]
    assert len(set(REASON_COUNTERS.values())) == len(RejectionReason)


def rejected_after_grace(controller):
    controller.start_draining(0.0, 9000.0)
    send(controller, 2500.0, 0)


def rejected_by_deadline(controller):
    send(controller, 0.0, 0, deadline=50.0)


def rejected_by_deadline_in_the_queue(controller):
    controller.workload.running = 100
    send(controller, 0.0, 0)
    controller.workload.requests[0].deadline_ms = 60.0
    controller.on_tick(50.0, None, None)


def rejected_by_latency_objective(controller):
    send(controller, 0.0, 1)
    controller.run_ended(9000.0, 1, "completed", 9000.0)
    send(controller, 9100.0, 0)


def rejected_by_latency_objective_in_the_queue(controller):
    controller.workload.running = 100
    send(controller, 0.0, 0)
    controller.health.last_progress_at_ms = 1900.0
    controller.on_tick(1900.0, None, None)


def rejected_by_memory(controller):
    send(controller, 0.0, 0, size=90_000)


def rejected_by_stall(controller):
    controller.health.stalled = True
    send(controller, 0.0, 0)


def rejected_by_node_bytes(controller):
    controller.workload.running = 100
    controller.workload.in_flight.clearable_bytes = 25.0  # two requests always have room
    send(controller, 0.0, 1, client=0)
    send(controller, 0.0, 2, client=0)
    send(controller, 0.0, 0, client=0)


def rejected_by_client_bytes(controller):
    controller.workload.running = 100
    controller.workload.in_flight.clearable_bytes = 40.0
    send(controller, 0.0, 1, client=1, size=2)
    send(controller, 0.0, 2, client=0, size=25)
    send(controller, 0.0, 0, client=0, size=10)


def rejected_in_favour_of_a_repeat(controller):
    controller.workload.running = 100
    send(controller, 0.0, 0, class_index=1)
    send(controller, 10.0, 1, class_index=1, original=0)


CASES = [
    (rejected_after_grace, RejectionReason.DRAINING),
    (rejected_by_stall, RejectionReason.STALLED),
    (rejected_by_deadline, RejectionReason.DEADLINE),
    (rejected_by_deadline_in_the_queue, RejectionReason.DEADLINE),
    (rejected_by_latency_objective, RejectionReason.LATENCY_OBJECTIVE),
    (rejected_by_latency_objective_in_the_queue, RejectionReason.LATENCY_OBJECTIVE),
    (rejected_by_memory, RejectionReason.MEMORY),
    (rejected_by_node_bytes, RejectionReason.NODE_BYTES),
    (rejected_by_client_bytes, RejectionReason.CLIENT_BYTES),
    (rejected_in_favour_of_a_repeat, RejectionReason.SUPERSEDED),
]


def test_every_reason_has_a_case():
    assert {reason for _, reason in CASES} == set(RejectionReason)


@pytest.mark.parametrize(("cause_rejection", "reason"), CASES)
def test_a_rejection_names_the_rule_that_gave_it(cause_rejection, reason):
    actions = Recorder()
    classes = [request_class(), request_class(effect=Effect.IDEMPOTENT_BY_KEY)]
    cause_rejection(new_controller(actions, classes=classes))
    assert set(actions.reasons.values()) == {reason}
