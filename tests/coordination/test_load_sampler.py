"""The metrics that a server reports of itself."""

import ast

from helpers import ROOT

from vetchford.admission.request import Outcome
from vetchford.coordination.load_sampler import (
    COMPLETED,
    OVERDUE,
    REJECTED_COUNTERS,
    WINDOW_MS,
    LoadSampler,
)


def sample(sampler, now_ms, started_at_ms=(), usual_ms=40.0, counts=None):
    return sampler.metrics(now_ms, started_at_ms, usual_ms, counts or {}, 10.0, 100.0)


def test_a_server_without_calls_reports_no_metrics_of_the_records_service():
    assert sample(LoadSampler(), 0.0) == {"memory": 0.1}


def test_slowdown_and_lost_calls_cover_the_window_and_overdue_calls_count_with_their_duration():
    sampler = LoadSampler()
    for at in range(10):
        sampler.call_ended(float(at), "completed", 40.0)
    metrics = sample(sampler, 10.0)
    assert metrics["pace"] == 1.0 and metrics["lost"] == 0.0 and metrics["well"] == 1.0
    for at in range(5):
        sampler.call_ended(WINDOW_MS + 100.0 + at, "overdue", 1800.0)
    metrics = sample(sampler, WINDOW_MS + 200.0)
    assert metrics["lost"] == 1.0 and metrics["pace"] == 45.0 and metrics["well"] == WINDOW_MS + 191.0
    assert "pace" not in sample(sampler, 9 * WINDOW_MS) and "lost" not in sample(sampler, 9 * WINDOW_MS)


def test_all_calls_count_as_lost_if_one_is_in_flight_for_long_and_none_is_answered():
    sampler = LoadSampler()
    for at in range(10):
        sampler.call_ended(float(at), "completed", 40.0)
    assert (
        sample(sampler, 3000.0, started_at_ms=[2100.0]).get("lost") is None
    )  # in flight for less than MIN_STUCK_MS
    assert sample(sampler, 3000.0, started_at_ms=[1900.0])["lost"] == 1.0
    sampler.call_ended(2990.0, "completed", 900.0)  # another call was answered
    assert sample(sampler, 3000.0, started_at_ms=[1900.0])["lost"] == 0.0


def test_the_share_of_rejected_requests_covers_the_window():
    sampler = LoadSampler()
    assert "full" not in sample(sampler, 0.0, counts={"read": 100, "rejected_at_door": 90})
    metrics = sample(sampler, 1000.0, counts={"read": 200, "rejected_at_door": 110, "rejected_held": 5})
    assert metrics["full"] == 0.25 and metrics["rate"] == 100.0


def test_outcomes_and_counters_have_the_names_that_the_server_uses():
    assert (COMPLETED, OVERDUE) == (Outcome.COMPLETED, Outcome.OVERDUE)
    server_counters = {
        node.value
        for path in (ROOT / "vetchford/server").glob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant) and str(node.value).startswith("rejected_")
    }
    assert sorted(REJECTED_COUNTERS) == sorted(server_counters)


def test_every_counter_of_rejections_is_included():
    for name in REJECTED_COUNTERS:
        sampler = LoadSampler()
        sample(sampler, 0.0, counts={"read": 0})
        assert sample(sampler, 1000.0, counts={"read": 100, name: 25})["full"] == 0.25
