"""Which bulkhead's request starts, calls, gets room or gives way. No I/O; times in ms, given by the caller.

Three resources are divided, each by the bulkheads' shares of it:

  slots  The bulkhead that has used the least time for its share starts next (`FairShare`); what one leaves
         idle others use, and it is next when it returns. On top, each may have a reserve: slots beyond the
         server's own limit that no other bulkhead ever uses.
  bytes  A bulkhead is always admitted up to its share; beyond it only into what others leave, and whoever is
         beyond gives way first. Bulkheads with a reserve, or that do not lend, keep their share free.
  calls  As the slots, and each has a limit of its own that follows what is answered (`AdaptiveLimit`).
"""

import math
from collections.abc import Callable, Iterable, Sequence

from vetchford.admission.concurrency_limits import DependencyConcurrencyLimit, GradientConcurrencyLimit
from vetchford.admission.request import Request, RequestClass
from vetchford.bulkheads.adaptive_limit import AdaptiveLimit, LimitChange
from vetchford.bulkheads.classification import regrouped
from vetchford.bulkheads.fair_share import ROUNDING, FairShare
from vetchford.bulkheads.settings import BulkheadObserver, BulkheadSettings

REGROUP_PERIOD = 5000.0  # ms between looks at what the request classes turned out to be
RECENT = 0.05  # weight of a run in the recent means, as the server's own
MIN_SLOTS = 0.05  # lowest estimate of a bulkhead's slots, so that delays stay finite


class BulkheadSet:
    """All bulkheads of one server. The controller reports events to it and asks before it acts."""

    def __init__(
        self,
        observer: BulkheadObserver,
        settings: Sequence[BulkheadSettings],
        bulkhead_of_class: Sequence[int],
        derive: bool = False,
    ) -> None:
        """`bulkhead_of_class`: by class index; `derive`: classes move by what their runs turn out to be."""
        self.observer, self.settings, self.derive = observer, list(settings), derive
        self.bulkhead_of_class = list(bulkhead_of_class)
        count, total = len(self.settings), sum(each.byte_share for each in self.settings)
        self.slots = FairShare([each.slot_share for each in self.settings])
        self.calls = FairShare([each.call_share for each in self.settings])
        self.byte_shares = [each.byte_share / total for each in self.settings]
        self.keeps_bytes = [not each.lends or each.reserve > 0 for each in self.settings]
        self.on_reserve = [0] * count
        self.unanswered = [0] * count  # bytes
        self.used = [0.0] * count  # bytes, running ones at the multiple
        self.calls_per_run = [0.0] * count  # recent mean
        self.runs_ended = [0] * count
        # Start times of calls that are out, by request; emptied as they end.
        self.call_starts: list[dict[int, float]] = [{} for _ in self.settings]
        self.limits = [
            AdaptiveLimit(float(each.max_calls), self._limit_observer(bulkhead))
            for bulkhead, each in enumerate(self.settings)
        ]
        self.regrouped_at = 0.0
        self.classes: Sequence[RequestClass] = ()

    def _limit_observer(self, bulkhead: int) -> Callable[[LimitChange, float], None]:
        return lambda reason, limit: self.observer.call_limit_changed(bulkhead, reason, limit)

    def attach(self, classes: Sequence[RequestClass], dependency: DependencyConcurrencyLimit | None) -> None:
        """Assign the classes; the server's own gradient on calls is replaced by the bulkheads' limits."""
        self.classes = classes
        for kind, bulkhead in zip(classes, self.bulkhead_of_class, strict=True):
            kind.bulkhead = bulkhead
        if dependency is not None:
            dependency.gradient = UnlimitedConcurrency()
            for limit in self.limits:
                limit.maximum = min(limit.maximum, max(1.0, dependency.share))
                limit.limit, limit.slow_start_threshold = min(limit.limit, limit.maximum), limit.maximum

    # -- events

    def arrived(self, bulkhead: int, size: int) -> None:
        """A request of so many bytes was read."""
        self.unanswered[bulkhead] += size
        self.used[bulkhead] += size

    def answered(self, bulkhead: int, size: int) -> None:
        """It needs no answer any more."""
        self.unanswered[bulkhead] -= size

    def released(self, bulkhead: int, size: float) -> None:
        """Its memory is free."""
        self.used[bulkhead] -= size

    def run_started(self, now: float, bulkhead: int, slots: float, extra: float) -> None:
        """On a slot where one was free, else on its reserve; `extra` bytes are used on top."""
        self.used[bulkhead] += extra
        is_free = sum(self.slots.in_use) + ROUNDING <= slots
        shared = is_free and self.slots.may_acquire(bulkhead, slots, self.settings)
        if not shared and self.on_reserve[bulkhead] < self.settings[bulkhead].reserve:
            self.on_reserve[bulkhead] += 1
            self.observer.reserve_used(bulkhead)
        elif self.slots.acquire(now, bulkhead, slots):
            self.observer.borrowed(bulkhead, "slots")

    def run_resumed(self, now: float, bulkhead: int, slots: float) -> None:
        """A run that had waited for a call is on the cores again, whoever else is."""
        if self.slots.acquire(now, bulkhead, slots):
            self.observer.borrowed(bulkhead, "slots")

    def run_left_cores(self, now: float, bulkhead: int) -> None:
        """Runs of a bulkhead are alike: the reserve is free again first."""
        if self.on_reserve[bulkhead]:
            self.on_reserve[bulkhead] -= 1
        elif self.slots.release(now, bulkhead):
            self.observer.returned(bulkhead, "slots")

    def run_ended(self, bulkhead: int, called: bool, extra: float) -> None:
        """A run is over: its memory, and whether it had asked for a call."""
        self.used[bulkhead] -= extra
        self.runs_ended[bulkhead] += 1
        weight = max(RECENT, 1.0 / self.runs_ended[bulkhead])
        self.calls_per_run[bulkhead] += weight * (called - self.calls_per_run[bulkhead])

    def call_started(self, now: float, bulkhead: int, index: int, calls: float) -> None:
        """A call goes out, where so many may be out for all bulkheads."""
        self.call_starts[bulkhead][index] = now
        if self.calls.acquire(now, bulkhead, calls):
            self.observer.borrowed(bulkhead, "calls")

    def call_ended(self, now: float, bulkhead: int, index: int, took: float | None, rejected: bool) -> None:
        """A call ended after `took` ms, or unanswered (None); `rejected`: it never ran."""
        self.call_starts[bulkhead].pop(index, None)
        if self.calls.release(now, bulkhead):
            self.observer.returned(bulkhead, "calls")
        self.limits[bulkhead].call_ended(now, took, rejected)

    def on_tick(self, now: float) -> None:
        """Regroup the classes where that is wanted and due."""
        if not self.derive or now - self.regrouped_at < REGROUP_PERIOD:
            return
        self.regrouped_at = now
        bulkheads = regrouped(self.classes, self.bulkhead_of_class)
        if bulkheads != self.bulkhead_of_class:
            self.bulkhead_of_class = bulkheads
            for kind, bulkhead in zip(self.classes, bulkheads, strict=True):
                kind.bulkhead = bulkhead  # requests that are here stay in the bulkhead they came into
            self.observer.regrouped(bulkheads)

    # -- slots

    def startable(
        self,
        now: float,
        queued: Iterable[Request],
        waiting: Iterable[Request],
        running: int,
        slots: float,
        ceiling: float,
        blocked: set[int],
    ) -> list[Request]:
        """The queued requests of the bulkhead that is to start one now; none where no bulkhead may.

        `running` of at most `ceiling` runs are on the cores, reserves included; `blocked` bulkheads are
        passed over.
        """
        candidates = self._startable_by_bulkhead(queued, waiting, blocked)
        self.slots.advance(now)
        if sum(self.slots.in_use) + ROUNDING <= slots:
            allowed = [each for each in candidates if self.slots.may_acquire(each, slots, self.settings)]
            if allowed:
                return candidates[self.slots.next(allowed)]
        if running + 1.0 <= ceiling:
            reserved = [each for each in candidates if self.on_reserve[each] < self.settings[each].reserve]
            if reserved:
                return candidates[self.slots.next(reserved)]
        for bulkhead in candidates:
            self.observer.limit_reached(bulkhead, "slots")
        return []

    def _startable_by_bulkhead(
        self, queued: Iterable[Request], waiting: Iterable[Request], blocked: set[int]
    ) -> dict[int, list[Request]]:
        """What must call is not started into a queue as long as its bulkhead's limit: it would only wait."""
        queued_calls = [0] * len(self.settings)
        for request in waiting:
            queued_calls[request.bulkhead] += not request.request_class.skip_fraction
        candidates: dict[int, list[Request]] = {}
        for request in queued:
            bulkhead, must_call = request.bulkhead, not request.request_class.skip_fraction
            if bulkhead in blocked:
                continue
            if must_call and queued_calls[bulkhead] and queued_calls[bulkhead] >= self.limits[bulkhead].limit:
                self.limits[bulkhead].limit_reached()
                continue
            candidates.setdefault(bulkhead, []).append(request)
        return candidates

    def _available_slots(self, bulkhead: int, slots: float, active: Iterable[int]) -> float:
        """Slots that it can count on while the `active` bulkheads want theirs."""
        shares = self.slots.shares
        among = sum(shares[other] for other in {bulkhead, *active})
        return max(slots * shares[bulkhead] / among, float(self.settings[bulkhead].reserve), MIN_SLOTS)

    # -- bytes

    def is_within_share(self, bulkhead: int, clearable: float) -> bool:
        """Whether its unanswered bytes are within its share of the clearable ones."""
        return self.unanswered[bulkhead] <= self.byte_shares[bulkhead] * clearable

    def _kept_by_others(self, bulkhead: int, total: float, taken: Sequence[float]) -> float:
        """What others have of so many bytes, do not use and do not lend."""
        return sum(
            max(0.0, self.byte_shares[other] * total - taken[other])
            for other in range(len(self.settings))
            if other != bulkhead and self.keeps_bytes[other]
        )

    def has_room(self, bulkhead: int, unanswered: float, clearable: float) -> bool:
        """Whether its newest request, counted already, has room; if not, an eviction candidate must go."""
        if self.is_within_share(bulkhead, clearable):
            return unanswered <= clearable
        kept = self._kept_by_others(bulkhead, clearable, self.unanswered)
        if self.settings[bulkhead].borrows and unanswered <= clearable - kept:
            self.observer.borrowed(bulkhead, "bytes")
            return True
        return False

    def eviction_candidates(
        self, bulkhead: int, queued: Iterable[Request], clearable: float
    ) -> list[Request]:
        """The queued requests of which one makes room: of bulkheads beyond their share, its own first.

        Empty where it is within its share and nobody else is beyond: it is admitted.
        """
        if not self.is_within_share(bulkhead, clearable):
            self.observer.limit_reached(bulkhead, "bytes")
            return [request for request in queued if request.bulkhead == bulkhead]
        over = {each for each in range(len(self.settings)) if not self.is_within_share(each, clearable)}
        return [request for request in queued if request.bulkhead in over]

    def memory_fits(self, bulkhead: int, more: float, used: float, memory: float) -> bool:
        """As the server's own guard, less what other bulkheads keep of the memory."""
        if used + more > memory:
            return False
        own = self.used[bulkhead] + more <= self.byte_shares[bulkhead] * memory
        return own or used + more + self._kept_by_others(bulkhead, memory, self.used) <= memory

    # -- calls

    def callable(self, now: float, waiting: Iterable[Request], calls: float) -> list[Request]:
        """The waiting requests of the bulkhead whose call goes out next; none where all are at their limits.

        What may skip calls only while nothing waits that must, to which the dependency's time is worth more.
        """
        candidates: dict[int, list[Request]] = {}
        waiting = list(waiting)
        must = [request for request in waiting if not request.request_class.skip_fraction]
        for request in must or waiting:
            candidates.setdefault(request.bulkhead, []).append(request)
        self.calls.advance(now)
        allowed = []
        for bulkhead in candidates:
            if self.calls.in_use[bulkhead] + 1.0 > self.limits[bulkhead].limit + ROUNDING:
                self.limits[bulkhead].limit_reached()
                self.observer.limit_reached(bulkhead, "calls")
            elif self.calls.may_acquire(bulkhead, max(1.0, calls), self.settings):
                allowed.append(bulkhead)
        return candidates[self.calls.next(allowed)] if allowed else []

    def call_deadline(self, now: float, request: Request) -> float:
        """When its call is to be abandoned: by the call budget, or when its answer would come too late."""
        objective = max(request.objective_at_ms, now + 1.0)
        useful_until = request.deadline_ms if request.request_class.late_fraction else objective
        return min(now + self.settings[request.bulkhead].call_budget, useful_until)

    def should_skip(self, bulkhead: int, waiting: Iterable[Request]) -> bool:
        """Whether one that may skip does: more wait than may call, or one that must call waits."""
        waiting = list(waiting)
        if any(not request.request_class.skip_fraction for request in waiting):
            self.observer.limit_reached(bulkhead, "skip")
            return True
        return sum(request.bulkhead == bulkhead for request in waiting) > self.limits[bulkhead].limit

    def _expected_call_time(self, now: float, bulkhead: int) -> float:
        """What a call takes just now; one that is out for longer tells more than those before it."""
        oldest = min(self.call_starts[bulkhead].values(), default=now)
        return max(self.limits[bulkhead].recent_time, now - oldest)

    def dependency_wait(self, now: float, bulkhead: int, queued_calls: int) -> float:
        """How long a run of it will wait on calls: for its own, and for those queued before it.

        Nothing where none of its calls is out: whatever was seen before, the next one tries anew.
        """
        if not self.call_starts[bulkhead] and not queued_calls:
            return 0.0
        turns = 1.0 + queued_calls / self.limits[bulkhead].limit
        return self.calls_per_run[bulkhead] * self._expected_call_time(now, bulkhead) * turns

    def queue_delay(
        self,
        now: float,
        bulkhead: int,
        work: float,
        count: int,
        slots: float,
        active: Iterable[int],
        queued_calls: int,
    ) -> float:
        """How long until one behind `count` queued ones of its bulkhead (`work` ms in all) may run, call."""
        call_time = self._expected_call_time(now, bulkhead)
        calls = (
            self.calls_per_run[bulkhead] * (count + queued_calls) * call_time / self.limits[bulkhead].limit
        )
        running = work / self._available_slots(bulkhead, slots, active)
        return max(running, calls if self.call_starts[bulkhead] else 0.0)


class UnlimitedConcurrency(GradientConcurrencyLimit):
    """Replaces the server's own gradient on calls: the limits of the bulkheads apply instead."""

    def __init__(self) -> None:
        """Create a limit that never binds."""
        super().__init__(math.inf, math.inf)

    def observe(self, base: float, measured: float) -> None:
        """Observed by the limits of the bulkheads."""

    def step(self, now: float, ceiling: float, may_cut: bool, may_grow: bool) -> None:
        """Never moves."""
