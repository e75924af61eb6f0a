"""A slow plain model of who is next, has room and gives way, beside the pools on generated histories.

The model keeps all that ever happened and looks through the whole of it for each question, ms by ms. Times
are whole ms and parts are halves, quarters and eighths, so that both come to the same figures exactly.
"""

import random
from types import SimpleNamespace

import pytest

from vetchford.bulkheads.bulkheads import BulkheadSet
from vetchford.bulkheads.fair_share import MAX_CREDIT, ROUNDING
from vetchford.bulkheads.settings import BulkheadSettings

PARTS = ((0.25, 0.25, 0.5), (0.125, 0.375, 0.5), (0.5, 0.5), (0.25, 0.75), (0.125, 0.125, 0.25, 0.5))


class Seen:
    """A host that keeps what it was told."""

    def __init__(self):
        self.told = []

    def __getattr__(self, name):
        return lambda *given: self.told.append((name, *given))


class PlainTurns:
    """One resource: every moment at which a pool took (+1) or gave (-1) one, and how much there was of it."""

    def __init__(self, shares):
        self.shares, self.moments = shares, []

    def in_use(self, p):
        return sum(step for _, pool, step, _ in self.moments if pool == p)

    def clocks(self, now):
        clocks, counts, left = [0.0] * len(self.shares), [0] * len(self.shares), list(self.moments)
        for ms in range(now + 1):
            if ms:
                clocks = [c + n / s for c, n, s in zip(clocks, counts, self.shares, strict=True)]
                clocks = [max(clock, max(clocks) - MAX_CREDIT) for clock in clocks]
            while left and left[0][0] == ms:
                counts[left[0][1]] += left.pop(0)[2]
        return clocks

    def loans(self, p):
        out = count = 0
        for _, pool, step, whole in self.moments:
            if pool == p:
                count += step
                if step > 0 and count > max(1.0, self.shares[p] * whole) + ROUNDING:
                    out += 1
                elif step < 0 and out:
                    out -= 1
        return out

    def free_for(self, p, whole, terms):
        mine = self.in_use(p)
        if mine + 1 <= max(1.0, self.shares[p] * whole) + ROUNDING:
            return True
        if not terms[p].borrows:
            return False
        total = sum(self.in_use(o) for o in range(len(terms)))
        kept = sum(
            max(0.0, self.shares[o] * whole - self.in_use(o))
            for o in range(len(terms))
            if o != p and not terms[o].lends
        )
        return total + kept <= whole - ROUNDING

    def next(self, now, candidates):
        clocks = self.clocks(now)
        return min(candidates, key=lambda p: (clocks[p], p), default=None)


def history(seed, length=260):
    chance = random.Random(seed)
    parts = PARTS[seed % len(PARTS)]
    terms = [
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
        for n, part in enumerate(parts)
    ]
    host, pools = Seen(), BulkheadSet(Seen(), terms, list(range(len(parts))))
    pools.observer = host
    pools.attach([SimpleNamespace(bulkhead=0) for _ in parts], None)
    slots, calls, reserve = PlainTurns(parts), PlainTurns(parts), [0] * len(parts)
    held, running, waiting, calling, now, admitted, count = [], [], [], [], 0, 0, 0
    unanswered, used = [0] * len(parts), [0.0] * len(parts)
    clears, memory = 400.0, 3000.0
    for _ in range(length):
        now += chance.choice((0, 0, 1, 3, 17, 60))
        whole = chance.choice((1.0, 2.0, 3.0, 4.0))
        act = chance.random()
        if act < 0.45:  # one comes
            count += 1
            request = SimpleNamespace(
                index=count,
                bulkhead=chance.randrange(len(parts)),
                size=chance.choice((10, 40, 80)),
                request_class=SimpleNamespace(skip_fraction=chance.choice((0.0, 0.5))),
            )
            p = request.bulkhead
            pools.arrived(p, request.size)
            unanswered[p], used[p] = unanswered[p] + request.size, used[p] + request.size
            total = sum(unanswered)
            within = unanswered[p] <= parts[p] * clears
            kept = sum(
                max(0.0, parts[o] * clears - unanswered[o])
                for o in range(len(parts))
                if o != p and (terms[o].reserve or not terms[o].lends)
            )
            room = total <= clears if within else terms[p].borrows and total <= clears - kept
            assert pools.has_room(p, total, clears) == room
            if room:
                held.append(request)
                admitted += 1
                continue
            over = [o for o in range(len(parts)) if unanswered[o] > parts[o] * clears]
            rivals = [o for o in held if (o.bulkhead in over if within else o.bulkhead == p)]
            told = pools.eviction_candidates(p, held if within else [*held, request], clears)
            assert told == (rivals if within else [*rivals, request])
            gone = chance.choice(told) if told else None
            if gone is not request:
                held.append(request)
            if gone is not None:
                if gone is not request:
                    held.remove(gone)
                pools.answered(gone.bulkhead, gone.size)
                pools.released(gone.bulkhead, gone.size)
                unanswered[gone.bulkhead] -= gone.size
                used[gone.bulkhead] -= gone.size
        elif act < 0.7:  # one may start
            lined = [
                sum(o.bulkhead == p and not o.request_class.skip_fraction for o in waiting)
                for p in range(len(parts))
            ]
            able = [
                o
                for o in held
                if o.request_class.skip_fraction
                or not lined[o.bulkhead]
                or lined[o.bulkhead] < pools.limits[o.bulkhead].limit
            ]
            wanting = sorted({o.bulkhead for o in able})
            taken = sum(slots.in_use(p) for p in range(len(parts)))
            main = (
                [p for p in wanting if slots.free_for(p, whole, terms)] if taken + ROUNDING <= whole else []
            )
            spare = [p for p in wanting if reserve[p] < terms[p].reserve] if len(running) + 1 <= 8 else []
            chosen = slots.next(now, main or spare)
            ready = pools.startable(float(now), held, waiting, len(running), whole, 8.0, set())
            assert ready == [o for o in able if o.bulkhead == chosen]
            if not ready:
                continue
            request, extra = ready[0], 3.0 * ready[0].size
            p = request.bulkhead
            kept = sum(
                max(0.0, parts[o] * memory - used[o])
                for o in range(len(parts))
                if o != p and (terms[o].reserve or not terms[o].lends)
            )
            more = sum(used) + extra
            fits = more <= memory and (used[p] + extra <= parts[p] * memory or more + kept <= memory)
            assert pools.memory_fits(p, extra, sum(used), memory) == fits
            if not fits:
                continue
            held.remove(request)
            running.append(request)
            used[p] += extra
            pools.run_started(float(now), p, whole, extra)
            if main:
                slots.moments.append((now, p, 1, whole))
            else:
                reserve[p] += 1
        elif act < 0.85 and running:  # one leaves the cores: for a call, or for good
            request = running.pop(chance.randrange(len(running)))
            p = request.bulkhead
            pools.run_left_cores(float(now), p)
            if reserve[p]:
                reserve[p] -= 1
            else:
                slots.moments.append((now, p, -1, 0.0))
            if chance.random() < 0.5:
                waiting.append(request)
            else:
                pools.run_ended(p, False, 3.0 * request.size)
                pools.answered(p, request.size)
                pools.released(p, request.size)
                unanswered[p] -= request.size
                used[p] -= 4.0 * request.size
        elif act < 0.95 and waiting:  # a call may go out
            must = [o for o in waiting if not o.request_class.skip_fraction] or waiting
            able = [
                p
                for p in sorted({o.bulkhead for o in must})
                if calls.in_use(p) + 1 <= pools.limits[p].limit + ROUNDING and calls.free_for(p, 4.0, terms)
            ]
            chosen = calls.next(now, able)
            told = pools.callable(float(now), waiting, 4.0)
            assert told == [o for o in must if o.bulkhead == chosen]
            if told and len(calling) < 4:
                waiting.remove(told[0])
                calling.append(told[0])
                pools.call_started(float(now), told[0].bulkhead, told[0].index, 4.0)
                calls.moments.append((now, told[0].bulkhead, 1, 4.0))
        elif calling:  # one is answered
            request = calling.pop(chance.randrange(len(calling)))
            p = request.bulkhead
            pools.call_ended(
                float(now), p, request.index, chance.choice((None, 20.0, 200.0)), chance.random() < 0.1
            )
            calls.moments.append((now, p, -1, 0.0))
            pools.run_resumed(float(now), p, whole)
            slots.moments.append((now, p, 1, whole))
            running.append(request)
        for p in range(len(parts)):
            assert pools.slots.borrowed[p] == slots.loans(p) and pools.calls.borrowed[p] == calls.loans(p)
            assert pools.slots.in_use[p] == slots.in_use(p) and pools.on_reserve[p] == reserve[p]
            assert pools.unanswered[p] == unanswered[p] and abs(pools.used[p] - used[p]) < 1e-6
    return host.told, admitted


@pytest.mark.parametrize("block", range(5))
def test_every_admission_and_every_loan_is_as_the_plain_model_has_it(block):
    told, admitted = [], 0
    for seed in range(8 * block, 8 * block + 8):
        more, count = history(seed)
        told, admitted = told + more, admitted + count
    acted = {entry[0] for entry in told}
    assert admitted > 100 and {"borrowed", "returned", "reserve_used", "limit_reached"} <= acted
