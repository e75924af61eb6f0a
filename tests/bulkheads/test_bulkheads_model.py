"""Compares the bulkheads with a slow, plain model in random simulations.

The model keeps every change and computes each result anew, millisecond by millisecond: which bulkhead is
next, which requests have room and which are evicted. Times are whole milliseconds and shares are halves,
quarters and eighths, so that both compute exactly the same numbers.
"""

import random
from types import SimpleNamespace

import pytest

from vetchford.bulkheads.bulkheads import BulkheadSet
from vetchford.bulkheads.fair_share import MAX_CREDIT_MS, ROUNDING_TOLERANCE
from vetchford.bulkheads.settings import BulkheadSettings

SHARES = ((0.25, 0.25, 0.5), (0.125, 0.375, 0.5), (0.5, 0.5), (0.25, 0.75), (0.125, 0.125, 0.25, 0.5))


class RecordingObserver:
    """Records all notifications."""

    def __init__(self):
        self.events = []

    def __getattr__(self, name):
        return lambda *arguments: self.events.append((name, *arguments))


class PlainFairShare:
    """One resource: the time of each unit taken (+1) or returned (-1) by a bulkhead, and the total units."""

    def __init__(self, shares):
        self.shares, self.changes = shares, []

    def in_use(self, bulkhead):
        return sum(step for _, changed_bulkhead, step, _ in self.changes if changed_bulkhead == bulkhead)

    def virtual_times(self, now):
        virtual_times, in_use, pending = [0.0] * len(self.shares), [0] * len(self.shares), list(self.changes)
        for ms in range(now + 1):
            if ms:
                virtual_times = [
                    virtual_time + units / share
                    for virtual_time, units, share in zip(virtual_times, in_use, self.shares, strict=True)
                ]
                virtual_times = [
                    max(virtual_time, max(virtual_times) - MAX_CREDIT_MS) for virtual_time in virtual_times
                ]
            while pending and pending[0][0] == ms:
                in_use[pending[0][1]] += pending.pop(0)[2]
        return virtual_times

    def borrowed_count(self, bulkhead):
        borrowed = in_use = 0
        for _, changed_bulkhead, step, total_units in self.changes:
            if changed_bulkhead == bulkhead:
                in_use += step
                if step > 0 and in_use > max(1.0, self.shares[bulkhead] * total_units) + ROUNDING_TOLERANCE:
                    borrowed += 1
                elif step < 0 and borrowed:
                    borrowed -= 1
        return borrowed

    def may_acquire(self, bulkhead, total_units, settings):
        own_use = self.in_use(bulkhead)
        if own_use + 1 <= max(1.0, self.shares[bulkhead] * total_units) + ROUNDING_TOLERANCE:
            return True
        if not settings[bulkhead].borrows:
            return False
        total = sum(self.in_use(other) for other in range(len(settings)))
        kept_by_others = sum(
            max(0.0, self.shares[other] * total_units - self.in_use(other))
            for other in range(len(settings))
            if other != bulkhead and not settings[other].lends
        )
        return total + kept_by_others <= total_units - ROUNDING_TOLERANCE

    def next_bulkhead(self, now, candidates):
        virtual_times = self.virtual_times(now)
        return min(candidates, key=lambda bulkhead: (virtual_times[bulkhead], bulkhead), default=None)


def simulate(seed, length=260):
    rng = random.Random(seed)
    shares = SHARES[seed % len(SHARES)]
    settings = [
        BulkheadSettings(
            f"bulkhead{n}",
            share,
            share,
            share,
            reserve=rng.choice((0, 0, 1)),
            lends=rng.random() < 0.8,
            borrows=rng.random() < 0.8,
            max_calls=4,
        )
        for n, share in enumerate(shares)
    ]
    observer = RecordingObserver()
    bulkheads = BulkheadSet(observer, settings, list(range(len(shares))))
    bulkheads.attach([SimpleNamespace(bulkhead=0) for _ in shares], None)
    slots, calls, reserve = PlainFairShare(shares), PlainFairShare(shares), [0] * len(shares)
    queued, running, waiting, calling, now, admitted, request_count = [], [], [], [], 0, 0, 0
    unanswered, used = [0] * len(shares), [0.0] * len(shares)
    clearable_bytes, memory_bytes = 400.0, 3000.0
    for _ in range(length):
        now += rng.choice((0, 0, 1, 3, 17, 60))
        total_units = rng.choice((1.0, 2.0, 3.0, 4.0))
        draw = rng.random()
        if draw < 0.45:  # a request arrives
            request_count += 1
            request = SimpleNamespace(
                index=request_count,
                bulkhead=rng.randrange(len(shares)),
                size=rng.choice((10, 40, 80)),
                request_class=SimpleNamespace(skip_fraction=rng.choice((0.0, 0.5))),
            )
            bulkhead = request.bulkhead
            bulkheads.bytes.arrived(bulkhead, request.size)
            unanswered[bulkhead], used[bulkhead] = (
                unanswered[bulkhead] + request.size,
                used[bulkhead] + request.size,
            )
            total = sum(unanswered)
            is_within_share = unanswered[bulkhead] <= shares[bulkhead] * clearable_bytes
            kept_by_others = sum(
                max(0.0, shares[other] * clearable_bytes - unanswered[other])
                for other in range(len(shares))
                if other != bulkhead and (settings[other].reserve or not settings[other].lends)
            )
            has_room = (
                total <= clearable_bytes
                if is_within_share
                else settings[bulkhead].borrows and total <= clearable_bytes - kept_by_others
            )
            assert bulkheads.bytes.has_room(bulkhead, total, clearable_bytes) == has_room
            if has_room:
                queued.append(request)
                admitted += 1
                continue
            over_share = [
                other for other in range(len(shares)) if unanswered[other] > shares[other] * clearable_bytes
            ]
            expected_candidates = [
                other
                for other in queued
                if (other.bulkhead in over_share if is_within_share else other.bulkhead == bulkhead)
            ]
            candidates = bulkheads.bytes.eviction_candidates(
                bulkhead, queued if is_within_share else [*queued, request], clearable_bytes
            )
            assert candidates == (expected_candidates if is_within_share else [*expected_candidates, request])
            evicted = rng.choice(candidates) if candidates else None
            if evicted is not request:
                queued.append(request)
            if evicted is not None:
                if evicted is not request:
                    queued.remove(evicted)
                bulkheads.bytes.answered(evicted.bulkhead, evicted.size)
                bulkheads.bytes.released(evicted.bulkhead, evicted.size)
                unanswered[evicted.bulkhead] -= evicted.size
                used[evicted.bulkhead] -= evicted.size
        elif draw < 0.7:  # a run may start
            queued_calls = [
                sum(other.bulkhead == bulkhead and not other.request_class.skip_fraction for other in waiting)
                for bulkhead in range(len(shares))
            ]
            eligible = [
                other
                for other in queued
                if other.request_class.skip_fraction
                or not queued_calls[other.bulkhead]
                or queued_calls[other.bulkhead] < bulkheads.calls.limits[other.bulkhead].limit
            ]
            candidates = sorted({other.bulkhead for other in eligible})
            taken = sum(slots.in_use(bulkhead) for bulkhead in range(len(shares)))
            shared_candidates = (
                [bulkhead for bulkhead in candidates if slots.may_acquire(bulkhead, total_units, settings)]
                if taken + ROUNDING_TOLERANCE <= total_units
                else []
            )
            reserve_candidates = (
                [bulkhead for bulkhead in candidates if reserve[bulkhead] < settings[bulkhead].reserve]
                if len(running) + 1 <= 8
                else []
            )
            chosen = slots.next_bulkhead(now, shared_candidates or reserve_candidates)
            startable = bulkheads.startable(
                float(now), queued, waiting, len(running), total_units, 8.0, set()
            )
            assert startable == [other for other in eligible if other.bulkhead == chosen]
            if not startable:
                continue
            request, extra_bytes = startable[0], 3.0 * startable[0].size
            bulkhead = request.bulkhead
            kept_by_others = sum(
                max(0.0, shares[other] * memory_bytes - used[other])
                for other in range(len(shares))
                if other != bulkhead and (settings[other].reserve or not settings[other].lends)
            )
            used_after = sum(used) + extra_bytes
            fits = used_after <= memory_bytes and (
                used[bulkhead] + extra_bytes <= shares[bulkhead] * memory_bytes
                or used_after + kept_by_others <= memory_bytes
            )
            assert bulkheads.bytes.memory_fits(bulkhead, extra_bytes, sum(used), memory_bytes) == fits
            if not fits:
                continue
            queued.remove(request)
            running.append(request)
            used[bulkhead] += extra_bytes
            bulkheads.run_started(float(now), bulkhead, total_units, extra_bytes)
            if shared_candidates:
                slots.changes.append((now, bulkhead, 1, total_units))
            else:
                reserve[bulkhead] += 1
        elif draw < 0.85 and running:  # a run leaves the cores: for a call, or at its end
            request = running.pop(rng.randrange(len(running)))
            bulkhead = request.bulkhead
            bulkheads.slots.run_left_cores(float(now), bulkhead)
            if reserve[bulkhead]:
                reserve[bulkhead] -= 1
            else:
                slots.changes.append((now, bulkhead, -1, 0.0))
            if rng.random() < 0.5:
                waiting.append(request)
            else:
                bulkheads.run_ended(bulkhead, False, 3.0 * request.size)
                bulkheads.bytes.answered(bulkhead, request.size)
                bulkheads.bytes.released(bulkhead, request.size)
                unanswered[bulkhead] -= request.size
                used[bulkhead] -= 4.0 * request.size
        elif draw < 0.95 and waiting:  # a call may start
            preferred = [other for other in waiting if not other.request_class.skip_fraction] or waiting
            eligible = [
                bulkhead
                for bulkhead in sorted({other.bulkhead for other in preferred})
                if calls.in_use(bulkhead) + 1 <= bulkheads.calls.limits[bulkhead].limit + ROUNDING_TOLERANCE
                and calls.may_acquire(bulkhead, 4.0, settings)
            ]
            chosen = calls.next_bulkhead(now, eligible)
            callable_requests = bulkheads.calls.callable_requests(float(now), waiting, 4.0)
            assert callable_requests == [other for other in preferred if other.bulkhead == chosen]
            if callable_requests and len(calling) < 4:
                waiting.remove(callable_requests[0])
                calling.append(callable_requests[0])
                bulkheads.calls.call_started(
                    float(now), callable_requests[0].bulkhead, callable_requests[0].index, 4.0
                )
                calls.changes.append((now, callable_requests[0].bulkhead, 1, 4.0))
        elif calling:  # a call ends
            request = calling.pop(rng.randrange(len(calling)))
            bulkhead = request.bulkhead
            bulkheads.calls.call_ended(
                float(now), bulkhead, request.index, rng.choice((None, 20.0, 200.0)), rng.random() < 0.1
            )
            calls.changes.append((now, bulkhead, -1, 0.0))
            bulkheads.slots.run_resumed(float(now), bulkhead, total_units)
            slots.changes.append((now, bulkhead, 1, total_units))
            running.append(request)
        for bulkhead in range(len(shares)):
            assert bulkheads.slots.fair_share.borrowed[bulkhead] == slots.borrowed_count(
                bulkhead
            ) and bulkheads.calls.fair_share.borrowed[bulkhead] == calls.borrowed_count(bulkhead)
            assert (
                bulkheads.slots.fair_share.in_use[bulkhead] == slots.in_use(bulkhead)
                and bulkheads.slots.on_reserve[bulkhead] == reserve[bulkhead]
            )
            assert (
                bulkheads.bytes.unanswered_bytes[bulkhead] == unanswered[bulkhead]
                and abs(bulkheads.bytes.used_bytes[bulkhead] - used[bulkhead]) < 1e-6
            )
    return observer.events, admitted


@pytest.mark.parametrize("block", range(5))
def test_admissions_starts_calls_and_borrowing_match_the_plain_model(block):
    events, admitted = [], 0
    for seed in range(8 * block, 8 * block + 8):
        new_events, new_admitted = simulate(seed)
        events, admitted = events + new_events, admitted + new_admitted
    event_names = {event[0] for event in events}
    assert admitted > 100 and {"borrowed", "returned", "reserve_used", "limit_reached"} <= event_names
