"""A slow plain model of who is next, has room and gives way, beside the bulkheads on generated histories.

The model keeps all that ever happened and looks through the whole of it for each question, ms by ms. Times
are whole ms and shares are halves, quarters and eighths, so that both come to the same figures exactly.
"""

import random
from types import SimpleNamespace

import pytest

from vetchford.bulkheads.bulkheads import BulkheadSet
from vetchford.bulkheads.fair_share import MAX_CREDIT_MS, ROUNDING_TOLERANCE
from vetchford.bulkheads.settings import BulkheadSettings

SHARES = ((0.25, 0.25, 0.5), (0.125, 0.375, 0.5), (0.5, 0.5), (0.25, 0.75), (0.125, 0.125, 0.25, 0.5))


class RecordingObserver:
    """Keeps what it is notified of."""

    def __init__(self):
        self.events = []

    def __getattr__(self, name):
        return lambda *given: self.events.append((name, *given))


class PlainShares:
    """One resource: every moment at which a bulkhead took (+1) or gave (-1) one, and the total."""

    def __init__(self, shares):
        self.shares, self.moments = shares, []

    def in_use(self, p):
        return sum(step for _, pool, step, _ in self.moments if pool == p)

    def clocks(self, now):
        clocks, counts, left = [0.0] * len(self.shares), [0] * len(self.shares), list(self.moments)
        for ms in range(now + 1):
            if ms:
                clocks = [c + n / s for c, n, s in zip(clocks, counts, self.shares, strict=True)]
                clocks = [max(clock, max(clocks) - MAX_CREDIT_MS) for clock in clocks]
            while left and left[0][0] == ms:
                counts[left[0][1]] += left.pop(0)[2]
        return clocks

    def loans(self, p):
        out = count = 0
        for _, pool, step, whole in self.moments:
            if pool == p:
                count += step
                if step > 0 and count > max(1.0, self.shares[p] * whole) + ROUNDING_TOLERANCE:
                    out += 1
                elif step < 0 and out:
                    out -= 1
        return out

    def free_for(self, p, whole, settings):
        mine = self.in_use(p)
        if mine + 1 <= max(1.0, self.shares[p] * whole) + ROUNDING_TOLERANCE:
            return True
        if not settings[p].borrows:
            return False
        total = sum(self.in_use(o) for o in range(len(settings)))
        kept = sum(
            max(0.0, self.shares[o] * whole - self.in_use(o))
            for o in range(len(settings))
            if o != p and not settings[o].lends
        )
        return total + kept <= whole - ROUNDING_TOLERANCE

    def next(self, now, candidates):
        clocks = self.clocks(now)
        return min(candidates, key=lambda p: (clocks[p], p), default=None)


def history(seed, length=260):
    chance = random.Random(seed)
    shares = SHARES[seed % len(SHARES)]
    settings = [
        BulkheadSettings(
            f"p{n}",
            part,
            part,
            part,
            reserve=chance.choice((0, 0, 1)),
            lends=chance.random() < 0.8,
            borrows=chance.random() < 0.8,
            max_calls=4,
        )
        for n, part in enumerate(shares)
    ]
    observer = RecordingObserver()
    bulkheads = BulkheadSet(observer, settings, list(range(len(shares))))
    bulkheads.attach([SimpleNamespace(bulkhead=0) for _ in shares], None)
    slots, calls, reserve = PlainShares(shares), PlainShares(shares), [0] * len(shares)
    queued, running, waiting, calling, now, admitted, count = [], [], [], [], 0, 0, 0
    unanswered, used = [0] * len(shares), [0.0] * len(shares)
    clears, memory = 400.0, 3000.0
    for _ in range(length):
        now += chance.choice((0, 0, 1, 3, 17, 60))
        whole = chance.choice((1.0, 2.0, 3.0, 4.0))
        act = chance.random()
        if act < 0.45:  # one comes
            count += 1
            request = SimpleNamespace(
                index=count,
                bulkhead=chance.randrange(len(shares)),
                size=chance.choice((10, 40, 80)),
                request_class=SimpleNamespace(skip_fraction=chance.choice((0.0, 0.5))),
            )
            p = request.bulkhead
            bulkheads.bytes.arrived(p, request.size)
            unanswered[p], used[p] = unanswered[p] + request.size, used[p] + request.size
            total = sum(unanswered)
            within = unanswered[p] <= shares[p] * clears
            kept = sum(
                max(0.0, shares[o] * clears - unanswered[o])
                for o in range(len(shares))
                if o != p and (settings[o].reserve or not settings[o].lends)
            )
            room = total <= clears if within else settings[p].borrows and total <= clears - kept
            assert bulkheads.bytes.has_room(p, total, clears) == room
            if room:
                queued.append(request)
                admitted += 1
                continue
            over = [o for o in range(len(shares)) if unanswered[o] > shares[o] * clears]
            rivals = [o for o in queued if (o.bulkhead in over if within else o.bulkhead == p)]
            found = bulkheads.bytes.eviction_candidates(p, queued if within else [*queued, request], clears)
            assert found == (rivals if within else [*rivals, request])
            gone = chance.choice(found) if found else None
            if gone is not request:
                queued.append(request)
            if gone is not None:
                if gone is not request:
                    queued.remove(gone)
                bulkheads.bytes.answered(gone.bulkhead, gone.size)
                bulkheads.bytes.released(gone.bulkhead, gone.size)
                unanswered[gone.bulkhead] -= gone.size
                used[gone.bulkhead] -= gone.size
        elif act < 0.7:  # one may start
            queued_calls = [
                sum(o.bulkhead == p and not o.request_class.skip_fraction for o in waiting)
                for p in range(len(shares))
            ]
            able = [
                o
                for o in queued
                if o.request_class.skip_fraction
                or not queued_calls[o.bulkhead]
                or queued_calls[o.bulkhead] < bulkheads.calls.limits[o.bulkhead].limit
            ]
            candidates = sorted({o.bulkhead for o in able})
            taken = sum(slots.in_use(p) for p in range(len(shares)))
            main = (
                [p for p in candidates if slots.free_for(p, whole, settings)]
                if taken + ROUNDING_TOLERANCE <= whole
                else []
            )
            spare = (
                [p for p in candidates if reserve[p] < settings[p].reserve] if len(running) + 1 <= 8 else []
            )
            chosen = slots.next(now, main or spare)
            ready = bulkheads.startable(float(now), queued, waiting, len(running), whole, 8.0, set())
            assert ready == [o for o in able if o.bulkhead == chosen]
            if not ready:
                continue
            request, extra = ready[0], 3.0 * ready[0].size
            p = request.bulkhead
            kept = sum(
                max(0.0, shares[o] * memory - used[o])
                for o in range(len(shares))
                if o != p and (settings[o].reserve or not settings[o].lends)
            )
            more = sum(used) + extra
            fits = more <= memory and (used[p] + extra <= shares[p] * memory or more + kept <= memory)
            assert bulkheads.bytes.memory_fits(p, extra, sum(used), memory) == fits
            if not fits:
                continue
            queued.remove(request)
            running.append(request)
            used[p] += extra
            bulkheads.run_started(float(now), p, whole, extra)
            if main:
                slots.moments.append((now, p, 1, whole))
            else:
                reserve[p] += 1
        elif act < 0.85 and running:  # one leaves the cores: for a call, or for good
            request = running.pop(chance.randrange(len(running)))
            p = request.bulkhead
            bulkheads.slots.run_left_cores(float(now), p)
            if reserve[p]:
                reserve[p] -= 1
            else:
                slots.moments.append((now, p, -1, 0.0))
            if chance.random() < 0.5:
                waiting.append(request)
            else:
                bulkheads.run_ended(p, False, 3.0 * request.size)
                bulkheads.bytes.answered(p, request.size)
                bulkheads.bytes.released(p, request.size)
                unanswered[p] -= request.size
                used[p] -= 4.0 * request.size
        elif act < 0.95 and waiting:  # a call may go out
            must = [o for o in waiting if not o.request_class.skip_fraction] or waiting
            able = [
                p
                for p in sorted({o.bulkhead for o in must})
                if calls.in_use(p) + 1 <= bulkheads.calls.limits[p].limit + ROUNDING_TOLERANCE
                and calls.free_for(p, 4.0, settings)
            ]
            chosen = calls.next(now, able)
            found = bulkheads.calls.callable(float(now), waiting, 4.0)
            assert found == [o for o in must if o.bulkhead == chosen]
            if found and len(calling) < 4:
                waiting.remove(found[0])
                calling.append(found[0])
                bulkheads.calls.call_started(float(now), found[0].bulkhead, found[0].index, 4.0)
                calls.moments.append((now, found[0].bulkhead, 1, 4.0))
        elif calling:  # one is answered
            request = calling.pop(chance.randrange(len(calling)))
            p = request.bulkhead
            bulkheads.calls.call_ended(
                float(now), p, request.index, chance.choice((None, 20.0, 200.0)), chance.random() < 0.1
            )
            calls.moments.append((now, p, -1, 0.0))
            bulkheads.slots.run_resumed(float(now), p, whole)
            slots.moments.append((now, p, 1, whole))
            running.append(request)
        for p in range(len(shares)):
            assert bulkheads.slots.fair_share.borrowed[p] == slots.loans(
                p
            ) and bulkheads.calls.fair_share.borrowed[p] == calls.loans(p)
            assert (
                bulkheads.slots.fair_share.in_use[p] == slots.in_use(p)
                and bulkheads.slots.on_reserve[p] == reserve[p]
            )
            assert (
                bulkheads.bytes.unanswered_bytes[p] == unanswered[p]
                and abs(bulkheads.bytes.used_bytes[p] - used[p]) < 1e-6
            )
    return observer.events, admitted


@pytest.mark.parametrize("block", range(5))
def test_admissions_starts_calls_and_borrowing_match_the_plain_model(block):
    found, admitted = [], 0
    for seed in range(8 * block, 8 * block + 8):
        more, count = history(seed)
        found, admitted = found + more, admitted + count
    acted = {entry[0] for entry in found}
    assert admitted > 100 and {"borrowed", "returned", "reserve_used", "limit_reached"} <= acted
