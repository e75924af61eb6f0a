"""Divides dependency calls into bulkheads: which is made next, and which is skipped. No I/O.

Each bulkhead has a share of the concurrent calls, and its own limit that follows the answers to its calls
(`AdaptiveLimit`).
"""

from collections.abc import Callable, Iterable, Sequence

from vetchford.admission.request import Request
from vetchford.bulkheads.adaptive_limit import AdaptiveLimit, LimitChange
from vetchford.bulkheads.fair_share import ROUNDING_TOLERANCE, FairShare
from vetchford.bulkheads.settings import BulkheadObserver, BulkheadSettings, Resource

MIN_RUN_WEIGHT = 0.05
"""Lowest weight of the latest run in the mean of calls per run."""
MIN_CALLS = 1.0
"""Concurrent calls that are allowed whatever the dependency's limit."""
MIN_CALL_MS = 1.0
"""Shortest wait for a call whose answer is already late."""


class CallSharing:
    """Calls in flight by bulkhead. Used only on the thread that owns the controller."""

    def __init__(self, observer: BulkheadObserver, settings: Sequence[BulkheadSettings]) -> None:
        """Start without calls in flight."""
        self.observer = observer
        self.settings = settings
        self.fair_share = FairShare([each.call_share for each in settings])
        self.limits = [
            AdaptiveLimit(float(each.max_calls), self._limit_observer(bulkhead))
            for bulkhead, each in enumerate(settings)
        ]
        # Start times of calls in flight, by request index; each is removed when its call ends.
        self.call_starts_ms: list[dict[int, float]] = [{} for _ in settings]
        self.calls_per_run = [0.0] * len(settings)  # recent mean
        self.runs_ended = [0] * len(settings)

    def cap_limits(self, maximum: float) -> None:
        """Cap each bulkhead's limit at the `maximum` number of concurrent calls of the server."""
        for limit in self.limits:
            limit.cap(max(MIN_CALLS, maximum))

    # -- events

    def call_started(self, now_ms: float, bulkhead: int, index: int, calls: float) -> None:
        """Count a call that starts; `calls` is the limit on concurrent calls of all bulkheads."""
        self.call_starts_ms[bulkhead][index] = now_ms
        if self.fair_share.acquire(now_ms, bulkhead, calls):
            self.observer.borrowed(bulkhead, Resource.CALLS)

    def call_ended(
        self, now_ms: float, bulkhead: int, index: int, took_ms: float | None, rejected: bool
    ) -> None:
        """Count a call that ended, or is unanswered (`took_ms` None); `rejected`: it never ran."""
        self.call_starts_ms[bulkhead].pop(index, None)
        if self.fair_share.release(now_ms, bulkhead):
            self.observer.returned(bulkhead, Resource.CALLS)
        self.limits[bulkhead].call_ended(now_ms, took_ms, rejected)

    def run_ended(self, bulkhead: int, called: bool) -> None:
        """Count a run that ended; `called`: whether it waited for a call."""
        self.runs_ended[bulkhead] += 1
        weight = max(MIN_RUN_WEIGHT, 1.0 / self.runs_ended[bulkhead])
        self.calls_per_run[bulkhead] += weight * (called - self.calls_per_run[bulkhead])

    # -- rules

    def choose_startable(
        self, queued: Iterable[Request], waiting: Iterable[Request], blocked: set[int]
    ) -> dict[int, list[Request]]:
        """Return the queued requests that may start, by bulkhead, without `blocked` bulkheads.

        A request that must call is left out if its bulkhead's queue for calls is as long as the limit, as its
        run would only wait. The limit is notified that it was reached.
        """
        queued_calls = [0] * len(self.settings)
        for request in waiting:
            queued_calls[request.bulkhead] += must_call(request)
        startable: dict[int, list[Request]] = {}
        for request in queued:
            bulkhead = request.bulkhead
            if bulkhead in blocked:
                continue
            is_queue_full = queued_calls[bulkhead] and queued_calls[bulkhead] >= self.limits[bulkhead].limit
            if must_call(request) and is_queue_full:
                self.limits[bulkhead].limit_reached()
                continue
            startable.setdefault(bulkhead, []).append(request)
        return startable

    def callable_requests(self, now_ms: float, waiting: Iterable[Request], calls: float) -> list[Request]:
        """Return the waiting requests of the bulkhead that calls next; empty if all are at their limits.

        Requests that may skip their call are included only while no request waits that must call, because
        the latter need the dependency more. A limit that makes a call wait is notified.
        """
        waiting = list(waiting)
        eligible = [request for request in waiting if must_call(request)] or waiting
        candidates: dict[int, list[Request]] = {}
        for request in eligible:
            candidates.setdefault(request.bulkhead, []).append(request)
        self.fair_share.advance(now_ms)
        allowed = []
        for bulkhead in candidates:
            if self._is_at_limit(bulkhead):
                self._note_limit_reached(bulkhead)
            elif self.fair_share.may_acquire(bulkhead, max(MIN_CALLS, calls), self.settings):
                allowed.append(bulkhead)
        return candidates[self.fair_share.next_bulkhead(allowed)] if allowed else []

    def _is_at_limit(self, bulkhead: int) -> bool:
        """Return whether one more call would exceed the bulkhead's own limit."""
        return self.fair_share.in_use[bulkhead] + 1.0 > self.limits[bulkhead].limit + ROUNDING_TOLERANCE

    def _note_limit_reached(self, bulkhead: int) -> None:
        self.limits[bulkhead].limit_reached()
        self.observer.limit_reached(bulkhead, Resource.CALLS)

    def call_cutoff_ms(self, now_ms: float, request: Request) -> float:
        """Return when the request's call is abandoned: at the end of the call budget, or when too late.

        A call is too late after the latency objective, or after the deadline if late answers count.
        """
        useful_until_ms = max(request.objective_at_ms, now_ms + MIN_CALL_MS)
        if request.request_class.late_fraction:
            useful_until_ms = request.deadline_ms
        return min(now_ms + self.settings[request.bulkhead].call_budget_ms, useful_until_ms)

    def decide_skip(self, bulkhead: int, waiting: Iterable[Request]) -> bool:
        """Return whether a request that may skip its call skips it.

        It does if more requests of its bulkhead wait than may call, or if any request waits that must call.
        The observer is notified in the latter case.
        """
        waiting = list(waiting)
        if any(must_call(request) for request in waiting):
            self.observer.limit_reached(bulkhead, Resource.SKIPPED_CALLS)
            return True
        return sum(request.bulkhead == bulkhead for request in waiting) > self.limits[bulkhead].limit

    # -- estimates

    def dependency_wait_ms(self, now_ms: float, bulkhead: int, queued_calls: int) -> float:
        """Return how long a run of the bulkhead will wait for calls: for its own, and for those before it.

        The wait is 0 if no call of the bulkhead is in flight or queued, so that a next call is tried whatever
        was measured before.
        """
        if not self.call_starts_ms[bulkhead] and not queued_calls:
            return 0.0
        turns = 1.0 + queued_calls / self.limits[bulkhead].limit
        return self.calls_per_run[bulkhead] * self._expected_call_ms(now_ms, bulkhead) * turns

    def queue_delay_ms(self, now_ms: float, bulkhead: int, queued_runs: int, queued_calls: int) -> float:
        """Return how long the calls of queued runs, and calls that are queued already, will take.

        The delay is 0 if no call of the bulkhead is in flight, for the reason given in `dependency_wait_ms`.
        """
        call_ms = self._expected_call_ms(now_ms, bulkhead)
        if not self.call_starts_ms[bulkhead]:
            return 0.0
        limit = self.limits[bulkhead].limit
        return self.calls_per_run[bulkhead] * (queued_runs + queued_calls) * call_ms / limit

    def _expected_call_ms(self, now_ms: float, bulkhead: int) -> float:
        """Return the recent call time, or the age of the oldest call in flight if that is longer."""
        oldest_start_ms = min(self.call_starts_ms[bulkhead].values(), default=now_ms)
        return max(self.limits[bulkhead].recent_time_ms, now_ms - oldest_start_ms)

    def _limit_observer(self, bulkhead: int) -> Callable[[LimitChange, float], None]:
        return lambda reason, limit: self.observer.call_limit_changed(bulkhead, reason, limit)


def must_call(request: Request) -> bool:
    """Return whether a run of the request needs its dependency call and so may not skip it."""
    return not request.request_class.skip_fraction
