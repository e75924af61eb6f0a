"""The limit on calls against dependencies that slow in different ways, in virtual time."""

import heapq

import pytest

from vetchford.bulkheads.adaptive_limit import AdaptiveLimit, LimitChange


class RecordedChanges(list):
    def __call__(self, reason, limit):
        self.append(reason)


def played(limit, seconds, takes, slots, start=0.0):
    """Calls back to back, as many as the limit allows, at a dependency of so many slots; answered, by second.

    `takes(at)` is a call's time in ms; None: it is cut after 1,800 ms with no answer.
    """
    now, out, busy, counted, order = start * 1000.0, [], [], [0] * (int(seconds) + 1), 0
    limits = []
    while now < (start + seconds) * 1000.0:
        while len(out) + 1 <= limit.limit + 0.2:
            order += 1
            took = takes(now / 1000.0)
            begins = now if len(busy) < slots else heapq.heappop(busy)
            ends = max(now, begins) + (took if took is not None else 0.0)
            if took is None:
                heapq.heappush(out, (now + 1800.0, order, now, False))
            else:
                heapq.heappush(busy, ends)
                heapq.heappush(out, (ends, order, now, True))
        limit.limit_reached()
        now, _, began, good = heapq.heappop(out)
        busy = [end for end in busy if end > now]
        heapq.heapify(busy)
        limit.call_ended(now, now - began if good else None, False)
        limits.append(limit.limit)
        second = int(now / 1000.0 - start)
        if good and second < len(counted):
            counted[second] += 1
    return counted[: int(seconds)], limits


def test_a_dependency_that_slowed_by_itself_gets_as_many_calls_as_it_can_serve():
    limit = AdaptiveLimit(8.0, RecordedChanges())
    played(limit, 5, lambda at: 30.0, 8)
    slow, limits = played(limit, 20, lambda at: 300.0, 8, start=5)
    assert sum(slow) >= 0.9 * 20 * 8 / 0.3
    assert min(limits) >= 1.0


def test_calls_that_compete_with_each_other_are_cut_to_what_is_answered_as_fast():
    changes = RecordedChanges()
    limit = AdaptiveLimit(32.0, changes)
    counted, limits = played(limit, 30, lambda at: 30.0, 4)
    assert sum(counted[10:]) >= 0.9 * 20 * 4 / 0.03  # nothing is lost by it
    assert sum(limits[-200:]) / 200 < 16.0 and LimitChange.KEPT in changes


def test_an_unavailable_dependency_gets_one_call_at_a_time_and_all_soon_after_its_recovery():
    changes = RecordedChanges()
    limit = AdaptiveLimit(8.0, changes)
    played(limit, 5, lambda at: 30.0, 8)
    _, dead = played(limit, 5, lambda at: None, 8, start=5)
    assert dead[-1] == 1.0 and LimitChange.UNANSWERED in changes
    back, _ = played(limit, 5, lambda at: 30.0, 8, start=10)
    assert back[-1] >= 0.95 * 8 / 0.03 and limit.limit == 8.0


def test_rejected_calls_cut_the_limit_without_a_trial_and_never_below_one():
    limit = AdaptiveLimit(16.0, RecordedChanges())
    for n in range(400):
        limit.call_ended(n * 50.0, None, True)
    assert limit.limit == 1.0
    for n in range(400, 800):
        limit.limit_reached()
        limit.call_ended(n * 50.0, 30.0, False)
    assert limit.limit == 16.0


@pytest.mark.parametrize("seed", range(5))
def test_a_steady_dependency_causes_no_swings(seed):
    import random

    chance = random.Random(seed)
    limit = AdaptiveLimit(8.0, RecordedChanges())
    counted, limits = played(limit, 30, lambda at: chance.uniform(15.0, 45.0), 8)
    assert sum(counted[5:]) >= 0.9 * 25 * 8 / 0.03
    assert sum(value < 5.0 for value in limits[400:]) < 0.02 * len(limits)


def test_a_limit_that_is_not_reached_does_not_grow():
    limit = AdaptiveLimit(64.0, RecordedChanges())
    for n in range(200):
        limit.call_ended(n * 50.0, 30.0, False)
    assert limit.limit == 4.0
