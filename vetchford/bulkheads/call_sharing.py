"""Whose dependency call goes out, and which is skipped: the calls, divided into bulkheads. No I/O.

Each bulkhead has its share of the calls, and a limit of its own that follows what is answered
(`AdaptiveLimit`).
"""

from collections.abc import Callable, Iterable, Sequence

from vetchford.admission.request import Request
from vetchford.bulkheads.adaptive_limit import AdaptiveLimit, LimitChange
from vetchford.bulkheads.fair_share import ROUNDING, FairShare
from vetchford.bulkheads.settings import BulkheadObserver, BulkheadSettings, Resource

MIN_RUN_WEIGHT = 0.05  # of the newest run, in the mean of calls a run
MIN_CALLS = 1.0  # that may be out, whatever the dependency's limit
MIN_CALL_MS = 1.0  # for which a call that is late already is waited for


class CallSharing:
    """Calls out by bulkhead. Not thread-safe: for the thread that owns the controller."""

    def __init__(self, observer: BulkheadObserver, settings: Sequence[BulkheadSettings]) -> None:
        """Begin with no call out."""
        self.observer = observer
        self.settings = settings
        self.fair_share = FairShare([each.call_share for each in settings])
        self.limits = [
            AdaptiveLimit(float(each.max_calls), self._limit_observer(bulkhead))
            for bulkhead, each in enumerate(settings)
        ]
        # Start times in ms of calls that are out, by request; emptied as they end.
        self.call_starts_ms: list[dict[int, float]] = [{} for _ in settings]
        self.calls_per_run = [0.0] * len(settings)  # recent mean
        self.runs_ended = [0] * len(settings)

    def cap_limits(self, maximum: float) -> None:
        """Let no bulkhead have more calls out than the server may have."""
        for limit in self.limits:
            limit.cap(max(MIN_CALLS, maximum))

    # -- events

    def call_started(self, now_ms: float, bulkhead: int, index: int, calls: float) -> None:
        """The call of the request `index` goes out, where so many may be out for all bulkheads."""
        self.call_starts_ms[bulkhead][index] = now_ms
        if self.fair_share.acquire(now_ms, bulkhead, calls):
            self.observer.borrowed(bulkhead, Resource.CALLS)

    def call_ended(
        self, now_ms: float, bulkhead: int, index: int, took_ms: float | None, rejected: bool
    ) -> None:
        """A call ended, or is unanswered (`took_ms` None); `rejected`: the dependency did not run it."""
        self.call_starts_ms[bulkhead].pop(index, None)
        if self.fair_share.release(now_ms, bulkhead):
            self.observer.returned(bulkhead, Resource.CALLS)
        self.limits[bulkhead].call_ended(now_ms, took_ms, rejected)

    def run_ended(self, bulkhead: int, called: bool) -> None:
        """A run is over; `called`: it had asked for a call."""
        self.runs_ended[bulkhead] += 1
        weight = max(MIN_RUN_WEIGHT, 1.0 / self.runs_ended[bulkhead])
        self.calls_per_run[bulkhead] += weight * (called - self.calls_per_run[bulkhead])

    # -- rules

    def choose_startable(
        self, queued: Iterable[Request], waiting: Iterable[Request], blocked: set[int]
    ) -> dict[int, list[Request]]:
        """Choose the queued requests that may start, by bulkhead; `blocked` bulkheads are passed over.

        What must call is not started into a queue as long as its bulkhead's limit: it would only wait. The
        limit is told that it was reached.
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

    def callable(self, now_ms: float, waiting: Iterable[Request], calls: float) -> list[Request]:
        """The waiting requests of the bulkhead whose call goes out next; none where all are at their limits.

        What may skip calls only while nothing waits that must, to which the dependency's time is worth more.
        A limit that holds a call back is told so.
        """
        waiting = list(waiting)
        first = [request for request in waiting if must_call(request)] or waiting
        candidates: dict[int, list[Request]] = {}
        for request in first:
            candidates.setdefault(request.bulkhead, []).append(request)
        self.fair_share.advance(now_ms)
        allowed = []
        for bulkhead in candidates:
            if self._is_at_limit(bulkhead):
                self._note_limit_reached(bulkhead)
            elif self.fair_share.may_acquire(bulkhead, max(MIN_CALLS, calls), self.settings):
                allowed.append(bulkhead)
        return candidates[self.fair_share.next(allowed)] if allowed else []

    def _is_at_limit(self, bulkhead: int) -> bool:
        """Whether one more call would be beyond the bulkhead's own limit."""
        return self.fair_share.in_use[bulkhead] + 1.0 > self.limits[bulkhead].limit + ROUNDING

    def _note_limit_reached(self, bulkhead: int) -> None:
        self.limits[bulkhead].limit_reached()
        self.observer.limit_reached(bulkhead, Resource.CALLS)

    def call_cutoff_ms(self, now_ms: float, request: Request) -> float:
        """Clock time at which its call is abandoned: by the call budget, or when its answer would be late.

        A class that earns something for a late answer waits up to the deadline in place of the objective.
        """
        useful_until_ms = max(request.objective_at_ms, now_ms + MIN_CALL_MS)
        if request.request_class.late_fraction:
            useful_until_ms = request.deadline_ms
        return min(now_ms + self.settings[request.bulkhead].call_budget_ms, useful_until_ms)

    def decide_skip(self, bulkhead: int, waiting: Iterable[Request]) -> bool:
        """Decide whether a request that may skip its call does: more wait than may call, or one that must.

        The observer is told where one that must call is the reason.
        """
        waiting = list(waiting)
        if any(must_call(request) for request in waiting):
            self.observer.limit_reached(bulkhead, Resource.SKIPPED_CALLS)
            return True
        return sum(request.bulkhead == bulkhead for request in waiting) > self.limits[bulkhead].limit

    # -- estimates

    def dependency_wait_ms(self, now_ms: float, bulkhead: int, queued_calls: int) -> float:
        """How long a run of it will wait on calls: for its own, and for those queued before it.

        Nothing where none of its calls is out: whatever was seen before, the next one tries anew.
        """
        if not self.call_starts_ms[bulkhead] and not queued_calls:
            return 0.0
        turns = 1.0 + queued_calls / self.limits[bulkhead].limit
        return self.calls_per_run[bulkhead] * self._expected_call_ms(now_ms, bulkhead) * turns

    def queue_delay_ms(self, now_ms: float, bulkhead: int, queued_runs: int, queued_calls: int) -> float:
        """How long until the calls of so many queued runs, and those queued already, are made.

        Nothing where none of its calls is out, as above.
        """
        call_ms = self._expected_call_ms(now_ms, bulkhead)
        if not self.call_starts_ms[bulkhead]:
            return 0.0
        limit = self.limits[bulkhead].limit
        return self.calls_per_run[bulkhead] * (queued_runs + queued_calls) * call_ms / limit

    def _expected_call_ms(self, now_ms: float, bulkhead: int) -> float:
        """What a call takes just now; one that is out for longer tells more than those before it."""
        oldest_start_ms = min(self.call_starts_ms[bulkhead].values(), default=now_ms)
        return max(self.limits[bulkhead].recent_time_ms, now_ms - oldest_start_ms)

    def _limit_observer(self, bulkhead: int) -> Callable[[LimitChange, float], None]:
        return lambda reason, limit: self.observer.call_limit_changed(bulkhead, reason, limit)


def must_call(request: Request) -> bool:
    """Whether a run of the request needs its dependency call; the call of any other may be skipped."""
    return not request.request_class.skip_fraction
