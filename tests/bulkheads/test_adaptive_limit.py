"""Simulates the adaptive limit on calls against dependencies that become slow in different ways."""

import heapq

import pytest

from vetchford.bulkheads.adaptive_limit import AdaptiveLimit, LimitChange


class RecordedChanges(list):
    def __call__(self, reason, limit):
        self.append(reason)


def simulate_calls(limit, seconds, duration_ms_at, dependency_slots, start_s=0.0):
    """Make as many concurrent calls as the limit allows to a dependency with `dependency_slots`.

    `duration_ms_at(now_s)` is the duration of a call, or None for a call that is abandoned after 1,800 ms
    without an answer. Returns the number of answers in each second, and the limit after each call.
    """
    now_ms, in_flight, busy_until_ms, answers, call_number = (
        start_s * 1000.0,
        [],
        [],
        [0] * (int(seconds) + 1),
        0,
    )
    limits = []
    while now_ms < (start_s + seconds) * 1000.0:
        while len(in_flight) + 1 <= limit.limit + 0.2:
            call_number += 1
            duration_ms = duration_ms_at(now_ms / 1000.0)
            starts_at_ms = now_ms if len(busy_until_ms) < dependency_slots else heapq.heappop(busy_until_ms)
            ends_at_ms = max(now_ms, starts_at_ms) + (duration_ms if duration_ms is not None else 0.0)
            if duration_ms is None:
                heapq.heappush(in_flight, (now_ms + 1800.0, call_number, now_ms, False))
            else:
                heapq.heappush(busy_until_ms, ends_at_ms)
                heapq.heappush(in_flight, (ends_at_ms, call_number, now_ms, True))
        limit.limit_reached()
        now_ms, _, called_at_ms, is_answered = heapq.heappop(in_flight)
        busy_until_ms = [end_ms for end_ms in busy_until_ms if end_ms > now_ms]
        heapq.heapify(busy_until_ms)
        limit.call_ended(now_ms, now_ms - called_at_ms if is_answered else None, False)
        limits.append(limit.limit)
        second = int(now_ms / 1000.0 - start_s)
        if is_answered and second < len(answers):
            answers[second] += 1
    return answers[: int(seconds)], limits


def test_a_dependency_that_slowed_by_itself_gets_as_many_calls_as_it_can_serve():
    limit = AdaptiveLimit(8.0, RecordedChanges())
    simulate_calls(limit, 5, lambda now_s: 30.0, 8)
    answers, limits = simulate_calls(limit, 20, lambda now_s: 300.0, 8, start_s=5)
    assert sum(answers) >= 0.9 * 20 * 8 / 0.3
    assert min(limits) >= 1.0


def test_calls_that_compete_with_each_other_are_limited_to_what_is_answered_as_fast():
    changes = RecordedChanges()
    limit = AdaptiveLimit(32.0, changes)
    answers, limits = simulate_calls(limit, 30, lambda now_s: 30.0, 4)
    assert sum(answers[10:]) >= 0.9 * 20 * 4 / 0.03  # the lower limit loses no answers
    assert sum(limits[-200:]) / 200 < 16.0 and LimitChange.KEPT in changes


def test_an_unavailable_dependency_gets_one_call_at_a_time_and_all_soon_after_its_recovery():
    changes = RecordedChanges()
    limit = AdaptiveLimit(8.0, changes)
    simulate_calls(limit, 5, lambda now_s: 30.0, 8)
    _, limits = simulate_calls(limit, 5, lambda now_s: None, 8, start_s=5)
    assert limits[-1] == 1.0 and LimitChange.UNANSWERED in changes
    answers, _ = simulate_calls(limit, 5, lambda now_s: 30.0, 8, start_s=10)
    assert answers[-1] >= 0.95 * 8 / 0.03 and limit.limit == 8.0


def test_rejected_calls_lower_the_limit_without_a_trial_and_never_below_one():
    limit = AdaptiveLimit(16.0, RecordedChanges())
    for call in range(400):
        limit.call_ended(call * 50.0, None, True)
    assert limit.limit == 1.0
    for call in range(400, 800):
        limit.limit_reached()
        limit.call_ended(call * 50.0, 30.0, False)
    assert limit.limit == 16.0


@pytest.mark.parametrize("seed", range(5))
def test_the_limit_stays_steady_for_a_dependency_with_varying_call_times(seed):
    import random

    rng = random.Random(seed)
    limit = AdaptiveLimit(8.0, RecordedChanges())
    answers, limits = simulate_calls(limit, 30, lambda now_s: rng.uniform(15.0, 45.0), 8)
    assert sum(answers[5:]) >= 0.9 * 25 * 8 / 0.03
    assert sum(value < 5.0 for value in limits[400:]) < 0.02 * len(limits)


def test_a_limit_that_is_not_reached_does_not_grow():
    limit = AdaptiveLimit(64.0, RecordedChanges())
    for call in range(200):
        limit.call_ended(call * 50.0, 30.0, False)
    assert limit.limit == 4.0
