"""Which pool's task starts, calls, gets room or gives way. No I/O; times in ms, from whoever tells.

Three resources are divided, each by the pools' parts of it:

  slots  who has had the least of them for its part, by time used, starts next (`Turns`); what one leaves
         idle others use, and it is the next in line when it comes back. On top, each pool may have a reserve:
         slots beyond the node's own limit that no other pool ever uses.
  bytes  a pool is always let in up to its part; beyond it only into what others leave, and whoever is beyond
         gives way first. Pools with a reserve, or that do not lend, keep their part free.
  calls  as the slots, and each pool has a limit of its own that follows what is answered (`adapt`).
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from vetchford.admission.concurrency_limits import GradientConcurrencyLimit
from vetchford.bulkheads.adaptive_limit import AdaptiveLimit

CREDIT = (
    500.0  # ms of a whole resource: what a pool that was idle may be behind, so that it catches up within
)
# a second but a pool idle for an hour does not take everything for an hour
SPARE = 0.2  # of a slot may be missing when one is taken, as the node rounds its own
MOST_PAUSE_SERVICE = 60_000.0  # ms: no estimate of a backlog is told beyond
LIGHT = 1 / 3  # of the mean run of the other stages: a stage is light below it,
LIGHT_NO_MORE = 1 / 2  # and stays so up to this, so that chance does not move it to and fro
SEEN_ENOUGH = 8  # runs of a stage before it is called light
REGROUP = 5000.0  # ms between looks at what the stages turned out to be
LIGHT_SHARE, LIGHT_RESERVE = 0.2, 1  # of the derived light pool: light work needs few slots, but at once


class PoolHost(Protocol):
    """Told of each time that a limit of a pool acted."""

    def borrowed(self, pool: int, what: str) -> None: ...

    def returned(self, pool: int, what: str) -> None: ...

    def reserve_used(self, pool: int) -> None: ...

    def bound(self, pool: int, what: str) -> None: ...

    def limit_moved(self, pool: int, why: str, limit: float) -> None: ...

    def regrouped(self, pools: Sequence[int]) -> None: ...


@dataclass(frozen=True, slots=True)
class Terms:
    """What the operators say of one pool. Parts count against the sum of all pools' parts."""

    name: str
    share: float
    bytes: float
    calls: float
    reserve: int = 0
    lends: bool = True
    borrows: bool = True
    most_calls: int = 64
    call_budget: float = math.inf  # ms


class Turns:
    """One resource by turns: each pool's clock runs by its use over its part; the furthest back is next."""

    def __init__(self, shares: Sequence[float]) -> None:
        total = sum(shares)
        self.shares = [share / total for share in shares]
        self.clocks = [0.0] * len(shares)
        self.in_use = [0] * len(shares)
        self.borrowed = [0] * len(shares)
        self.at = 0.0

    def advance(self, now: float) -> None:
        if now > self.at:
            passed, self.at = now - self.at, now
            for p, count in enumerate(self.in_use):
                if count:
                    self.clocks[p] += passed * count / self.shares[p]
            back = max(self.clocks) - CREDIT
            for p, clock in enumerate(self.clocks):
                if clock < back:
                    self.clocks[p] = back

    def own(self, p: int, whole: float) -> float:
        """Its part of so many; one at least, or a small pool would never have any."""
        return max(1.0, self.shares[p] * whole)

    def next(self, candidates: Iterable[int]) -> int:
        return min(candidates, key=lambda p: (self.clocks[p], p))

    def take(self, now: float, p: int, whole: float) -> bool:
        """Whether it was borrowed."""
        self.advance(now)
        self.in_use[p] += 1
        loan = self.in_use[p] > self.own(p, whole) + SPARE
        self.borrowed[p] += loan
        return loan

    def give(self, now: float, p: int) -> bool:
        """Whether it gave back what was borrowed."""
        self.advance(now)
        self.in_use[p] -= 1
        loan = self.borrowed[p] > 0
        self.borrowed[p] -= loan
        return loan

    def open_to(self, p: int, whole: float, terms: Sequence[Terms]) -> bool:
        """Whether its terms and those of the others leave it one more, where one is free."""
        if self.in_use[p] + 1.0 <= self.own(p, whole) + SPARE:
            return True
        kept = sum(
            max(0.0, self.shares[o] * whole - self.in_use[o])
            for o, other in enumerate(terms)
            if o != p and not other.lends
        )
        return terms[p].borrows and sum(self.in_use) + 1.0 + kept <= whole + 1.0 - SPARE


class BulkheadSet:
    """All pools of one server. The node tells it what happens and asks before it acts."""

    def __init__(
        self, host: PoolHost, terms: Sequence[Terms], pool_of: Sequence[int], derive: bool = False
    ) -> None:
        """`pool_of`: the pool of each stage by its index; `derive` moves stages by what they turn out."""
        self.host, self.terms, self.pool_of, self.derive = host, list(terms), list(pool_of), derive
        count, total = len(self.terms), sum(each.bytes for each in self.terms)
        self.slots = Turns([each.share for each in self.terms])
        self.calls = Turns([each.calls for each in self.terms])
        self.parts = [each.bytes / total for each in self.terms]
        self.keeps = [not each.lends or each.reserve > 0 for each in self.terms]
        self.on_reserve = [0] * count
        self.unanswered = [0] * count  # bytes
        self.used = [0.0] * count  # bytes, running ones at the multiple
        self.asks, self.runs = [0.0] * count, [0] * count  # calls a run, of late; runs ended
        self.out: list[dict[int, float]] = [
            {} for _ in self.terms
        ]  # when calls went out; emptied as they end
        self.limits = [
            AdaptiveLimit(float(each.most_calls), self.telling(p)) for p, each in enumerate(self.terms)
        ]
        self.looked = 0.0
        self.stages: list[Any] = []

    def telling(self, p: int) -> Any:
        return lambda why, limit: self.host.limit_moved(p, why, limit)

    def attach(self, stages: list[Any], calls: Any) -> None:
        """The stages get their pools; the node's own gradient on calls makes way for the pools' limits."""
        self.stages = stages
        for stage, pool in zip(stages, self.pool_of, strict=True):
            stage.bulkhead = pool
        if calls is not None:
            calls.gradient = UnlimitedConcurrency()
            for limit in self.limits:
                limit.most = min(limit.most, max(1.0, calls.share))
                limit.limit, limit.aim = min(limit.limit, limit.most), limit.most

    # -- what happens

    def entered(self, p: int, size: int) -> None:
        self.unanswered[p] += size
        self.used[p] += size

    def answered(self, p: int, size: int) -> None:
        self.unanswered[p] -= size

    def left(self, p: int, size: float) -> None:
        """Its memory is free."""
        self.used[p] -= size

    def started(self, now: float, p: int, whole: float, extra: float) -> None:
        """On a slot where one was free, else on its reserve."""
        self.used[p] += extra
        main = sum(self.slots.in_use) + SPARE <= whole and self.slots.open_to(p, whole, self.terms)
        if not main and self.on_reserve[p] < self.terms[p].reserve:
            self.on_reserve[p] += 1
            self.host.reserve_used(p)
        elif self.slots.take(now, p, whole):
            self.host.borrowed(p, "slots")

    def resumed(self, now: float, p: int, whole: float) -> None:
        """A run that had waited for a call is on the cores again, whoever else is."""
        if self.slots.take(now, p, whole):
            self.host.borrowed(p, "slots")

    def off_cores(self, now: float, p: int) -> None:
        """Runs of a pool are alike: the reserve is free again first."""
        if self.on_reserve[p]:
            self.on_reserve[p] -= 1
        elif self.slots.give(now, p):
            self.host.returned(p, "slots")

    def ended(self, p: int, called: bool, extra: float) -> None:
        """A run is over: its memory, and whether it had asked for a call."""
        self.used[p] -= extra
        self.runs[p] += 1
        self.asks[p] += max(0.05, 1.0 / self.runs[p]) * (
            called - self.asks[p]
        )  # the last twenty, as the node's means

    def call_began(self, now: float, p: int, q: int, whole: float) -> None:
        self.out[p][q] = now
        if self.calls.take(now, p, whole):
            self.host.borrowed(p, "calls")

    def call_ended(self, now: float, p: int, q: int, took: float | None, turned_away: bool) -> None:
        self.out[p].pop(q, None)
        if self.calls.give(now, p):
            self.host.returned(p, "calls")
        self.limits[p].ended(now, took, turned_away)

    def woke(self, now: float) -> None:
        if self.derive and now - self.looked >= REGROUP:
            self.looked = now
            self.regroup(self.stages)

    # -- slots

    def ready(
        self,
        now: float,
        held: Iterable[Any],
        waiting: Iterable[Any],
        running: int,
        whole: float,
        ceiling: float,
        shut: set[int],
    ) -> list[Any]:
        """The held tasks of the pool that is to start one now; none where no pool may, or only `shut` ones.

        What must call is not started into a line as long as its pool's calls: it would only wait there.
        """
        lined = [0] * len(self.terms)
        for task in waiting:
            lined[task.bulkhead] += not task.request_class.skip_fraction
        by_pool: dict[int, list[Any]] = {}
        for task in held:
            p = task.bulkhead
            if p in shut:
                continue
            if lined[p] and lined[p] >= self.limits[p].limit and not task.request_class.skip_fraction:
                self.limits[p].busy()
                continue
            by_pool.setdefault(p, []).append(task)
        self.slots.advance(now)
        if sum(self.slots.in_use) + SPARE <= whole:
            open_to = [p for p in by_pool if self.slots.open_to(p, whole, self.terms)]
            if open_to:
                return by_pool[self.slots.next(open_to)]
        if running + 1.0 <= ceiling:
            reserved = [p for p in by_pool if self.on_reserve[p] < self.terms[p].reserve]
            if reserved:
                return by_pool[self.slots.next(reserved)]
        for p in by_pool:
            self.host.bound(p, "slots")
        return []

    def rate(self, p: int, whole: float, active: Iterable[int]) -> float:
        """Slots that it can count on while the `active` pools want theirs."""
        shares = self.slots.shares
        among = sum(shares[o] for o in {p, *active})
        return max(whole * shares[p] / among, float(self.terms[p].reserve), 0.05)

    # -- bytes

    def within(self, p: int, clears: float) -> bool:
        return self.unanswered[p] <= self.parts[p] * clears

    def kept(self, p: int, whole: float, taken: Sequence[float]) -> float:
        """What others have of so many bytes, do not use and do not lend."""
        return sum(
            max(0.0, self.parts[o] * whole - taken[o])
            for o in range(len(self.terms))
            if o != p and self.keeps[o]
        )

    def admits(self, p: int, total: float, clears: float) -> bool:
        """Whether its newest task, counted already, has room; if not, one of `gives_way` must go."""
        if self.within(p, clears):
            return total <= clears
        if self.terms[p].borrows and total <= clears - self.kept(p, clears, self.unanswered):
            self.host.borrowed(p, "bytes")
            return True
        return False

    def gives_way(self, p: int, held: Iterable[Any], clears: float) -> list[Any]:
        """The held tasks of which one makes room: of pools beyond their part, or of its own where it is one.

        Empty where it is within its part and nobody else is beyond: it is let in.
        """
        if not self.within(p, clears):
            self.host.bound(p, "bytes")
            return [task for task in held if task.bulkhead == p]
        over = {o for o in range(len(self.terms)) if not self.within(o, clears)}
        return [task for task in held if task.bulkhead in over]

    def fits(self, p: int, more: float, used: float, memory: float) -> bool:
        """Memory, as the node's own guard, less what other pools keep of it."""
        own = self.used[p] + more <= self.parts[p] * memory
        return used + more <= memory and (own or used + more + self.kept(p, memory, self.used) <= memory)

    # -- calls

    def callable(self, now: float, waiting: Iterable[Any], whole: float) -> list[Any]:
        """The waiting tasks of the pool whose call goes out next; none where each pool has its number out.

        What may skip calls only while nothing waits that must: the ledger's time is worth more to the latter.
        """
        by_pool: dict[int, list[Any]] = {}
        waiting = list(waiting)
        must = [task for task in waiting if not task.request_class.skip_fraction]
        for task in must or waiting:
            by_pool.setdefault(task.bulkhead, []).append(task)
        self.calls.advance(now)
        free = []
        for p in by_pool:
            if self.calls.in_use[p] + 1.0 > self.limits[p].limit + SPARE:
                self.limits[p].busy()
                self.host.bound(p, "calls")
            elif self.calls.open_to(p, max(1.0, whole), self.terms):
                free.append(p)
        return by_pool[self.calls.next(free)] if free else []

    def call_until(self, now: float, task: Any) -> float:
        """When its call is to be cut: by the pool's budget, or when its answer would come too late."""
        useful = task.deadline if task.request_class.late_fraction else max(task.objective_at, now + 1.0)
        return min(now + self.terms[task.bulkhead].call_budget, useful)

    def skips(self, p: int, waiting: Iterable[Any]) -> bool:
        """Whether one that may skip does: its line is longer than its calls, or one that must call waits."""
        waiting = list(waiting)
        if any(not task.request_class.skip_fraction for task in waiting):
            self.host.bound(p, "skip")
            return True
        return sum(task.bulkhead == p for task in waiting) > self.limits[p].limit

    def call_time(self, now: float, p: int) -> float:
        """What a call takes just now; one that is out for longer tells more than those before it."""
        oldest = min(self.out[p].values(), default=now)
        return max(self.limits[p].recent, now - oldest)

    def away(self, now: float, p: int, lined: int) -> float:
        """How long a run of it will wait on calls: for its own, and for those in line before it.

        Nothing where none of its calls is out: whatever was seen before, the next one tries anew.
        """
        if not self.out[p] and not lined:
            return 0.0
        return self.asks[p] * self.call_time(now, p) * (1.0 + lined / self.limits[p].limit)

    def ahead(
        self, now: float, p: int, work: float, count: int, whole: float, active: Iterable[int], lined: int
    ) -> float:
        """How long until one behind `count` held ones of its pool, `work` ms together, has what it needs."""
        calls = self.asks[p] * (count + lined) * self.call_time(now, p) / self.limits[p].limit
        return max(work / self.rate(p, whole, active), calls if self.out[p] else 0.0)

    # -- pools that nobody named

    def regroup(self, stages: Sequence[Any]) -> None:
        """Light stages into the first pool, what has an effect into the second, the others into the third."""
        means = [stage.mean_run_time for stage in stages if stage.mean_run_time > 0.0]
        before = list(self.pool_of)
        for at, stage in enumerate(stages):
            others = [
                other.mean_run_time for other in stages if other is not stage and other.mean_run_time > 0.0
            ]
            usual = sum(others) / len(others) if others else math.inf
            border = LIGHT_NO_MORE if self.pool_of[at] == 0 else LIGHT
            light = (
                stage.service_time_per_unit.samples >= SEEN_ENOUGH
                and len(means) > 1
                and stage.mean_run_time <= border * usual
            )
            if stage.effect == 0 and light:
                self.pool_of[at] = 0
            else:
                self.pool_of[at] = 1 if stage.effect else 2
        if before != self.pool_of:
            for stage, pool in zip(stages, self.pool_of, strict=True):
                stage.bulkhead = pool  # tasks that are here stay where they came in
            self.host.regrouped(self.pool_of)


class UnlimitedConcurrency(GradientConcurrencyLimit):
    """Replaces the server's own gradient on calls: the limits of the bulkheads apply instead."""

    def __init__(self) -> None:
        super().__init__(math.inf, math.inf)

    def observe(self, base: float, measured: float) -> None:
        """Observed by the limits of the bulkheads."""

    def step(self, now: float, ceiling: float, may_cut: bool, may_grow: bool) -> None:
        """Never moves."""
