"""What one server tells of itself."""

from vetchford.coordination.load_sampler import WINDOW_MS, LoadSampler


def figures(measure, now, begun=(), usual=40.0, counts=None):
    return measure.figures(now, begun, usual, counts or {}, 10.0, 100.0)


def test_a_server_without_calls_reports_nothing_of_the_service():
    assert figures(LoadSampler(), 0.0) == {"memory": 0.1}


def test_slowdown_and_lost_calls_are_those_of_the_window_and_calls_cut_off_count_as_slow():
    measure = LoadSampler()
    for at in range(10):
        measure.call_ended(float(at), "completed", 40.0)
    told = figures(measure, 10.0)
    assert told["pace"] == 1.0 and told["lost"] == 0.0 and told["well"] == 1.0
    for at in range(5):
        measure.call_ended(WINDOW_MS + 100.0 + at, "overdue", 1800.0)
    told = figures(measure, WINDOW_MS + 200.0)
    assert told["lost"] == 1.0 and told["pace"] == 45.0 and told["well"] == WINDOW_MS + 191.0
    assert "pace" not in figures(measure, 9 * WINDOW_MS) and "lost" not in figures(measure, 9 * WINDOW_MS)


def test_a_call_in_flight_for_long_with_none_answered_counts_as_lost():
    measure = LoadSampler()
    for at in range(10):
        measure.call_ended(float(at), "completed", 40.0)
    assert figures(measure, 3000.0, begun=[2100.0]).get("lost") is None  # under a second
    assert figures(measure, 3000.0, begun=[1900.0])["lost"] == 1.0
    measure.call_ended(2990.0, "completed", 900.0)  # it answers others
    assert figures(measure, 3000.0, begun=[1900.0])["lost"] == 0.0


def test_the_share_of_rejected_requests_is_that_of_the_window():
    measure = LoadSampler()
    assert "full" not in figures(measure, 0.0, counts={"read": 100, "rejected_at_door": 90})
    told = figures(measure, 1000.0, counts={"read": 200, "rejected_at_door": 110, "rejected_held": 5})
    assert told["full"] == 0.25 and told["rate"] == 100.0
