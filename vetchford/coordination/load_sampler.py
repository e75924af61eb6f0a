"""Sampling of the metrics that a server reports: calls and requests of the last seconds.

For the thread of the admission actor; times in ms.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from vetchford.gossip.metrics import Metric
from vetchford.runtime.units import MS_PER_S

WINDOW_MS = 2000.0  # time that the metrics cover
MIN_WINDOW_FRACTION = 0.25  # of WINDOW_MS must have passed before rates are reported
MAX_CALLS = 512  # ended calls kept; the oldest are dropped first
MAX_COUNTER_SAMPLES = 64
MIN_CALLS = 8  # answered calls from which the usual duration is reliable
STUCK_FACTOR = 12.0  # multiple of the usual duration after which a call in flight counts as stuck
MIN_STUCK_MS = 1000.0  # minimum time in flight of a stuck call

# Values of `vetchford.admission.request.Outcome`, which this package does not import.
COMPLETED = "completed"
OVERDUE = "overdue"

# Counters of the server.
REQUESTS_READ = "read"
REJECTED_COUNTERS = (
    "rejected_at_door",
    "rejected_held",
    "rejected_stalled",
    "rejected_draining",
    "rejected_no_pool",
    "rejected_over_open",
    "rejected_distrusted",
)


@dataclass(frozen=True, slots=True)
class EndedCall:
    """A call to the records service that has ended."""

    at_ms: float
    duration_ms: float
    outcome: str  # value of `Outcome`; only `COMPLETED` and `OVERDUE` are distinguished

    def is_lost(self) -> bool:
        """Return whether the call was not answered."""
        return self.outcome != COMPLETED


@dataclass(frozen=True, slots=True)
class CounterSample:
    """Counters of requests since the start of the server, at one time."""

    at_ms: float
    read: int
    rejected: int


class LoadSampler:
    """Collects ended calls by `call_ended`, and returns the metrics by `metrics` a few times a second.

    Not thread-safe: only for the thread of the admission actor.
    """

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: deque[EndedCall] = deque(maxlen=MAX_CALLS)
        self.overdue_calls: deque[EndedCall] = deque(maxlen=MAX_CALLS)  # their durations are lower bounds
        self.counters: deque[CounterSample] = deque(maxlen=MAX_COUNTER_SAMPLES)
        self.answered = 0
        self.last_answer_at_ms = -math.inf

    def call_ended(self, now_ms: float, outcome: str, duration_ms: float) -> None:
        """Add a call to the records service that ended `duration_ms` after its start."""
        call = EndedCall(now_ms, duration_ms, outcome)
        if not call.is_lost():
            self.answered += 1
            self.last_answer_at_ms = now_ms
        self.calls.append(call)
        if outcome == OVERDUE:
            self.overdue_calls.append(call)

    def metrics(
        self,
        now_ms: float,
        started_at_ms: Iterable[float],
        usual_ms: float,
        counts: Mapping[str, int],
        used_bytes: float,
        memory_bytes: float,
    ) -> dict[str, float]:
        """Return the metrics by name; without recent calls there are no metrics of the records service.

        Args:
            now_ms: Monotonic time.
            started_at_ms: Start times of the calls in flight.
            usual_ms: Usual duration of a call, by the long window; 0: unknown.
            counts: Counters of the server.
            used_bytes: Memory in use.
            memory_bytes: Memory limit.
        """
        _drop_old(self.calls, now_ms)
        _drop_old(self.overdue_calls, now_ms)
        metrics: dict[str, float] = {}
        if self.answered:
            metrics[Metric.SINCE_LAST_ANSWER] = now_ms - self.last_answer_at_ms
        oldest_ms = max((now_ms - at_ms for at_ms in started_at_ms), default=0.0)
        metrics |= self._service_metrics(oldest_ms, usual_ms)
        metrics |= self._request_metrics(now_ms, counts)
        if math.isfinite(memory_bytes) and memory_bytes > 0.0:
            metrics[Metric.MEMORY] = used_bytes / memory_bytes
        return metrics

    def _service_metrics(self, oldest_ms: float, usual_ms: float) -> dict[str, float]:
        """Return the metrics of the records service; the oldest call is in flight for `oldest_ms`."""
        is_usual_known = self.answered >= MIN_CALLS and usual_ms > 0.0
        if is_usual_known and self._is_stuck(oldest_ms, usual_ms):
            return {Metric.CALL_SLOWDOWN: oldest_ms / usual_ms, Metric.LOST_CALLS: 1.0}
        if not self.calls:
            return {}
        lost = sum(call.is_lost() for call in self.calls)
        metrics: dict[str, float] = {Metric.LOST_CALLS: lost / len(self.calls)}
        # Without the calls that timed out, only the fast calls would be counted.
        durations = [call.duration_ms for call in self.calls if not call.is_lost()]
        durations += [call.duration_ms for call in self.overdue_calls]
        if is_usual_known and durations:
            metrics[Metric.CALL_SLOWDOWN] = sum(durations) / len(durations) / usual_ms
        return metrics

    def _is_stuck(self, oldest_ms: float, usual_ms: float) -> bool:
        """Return whether all calls count as lost: the oldest is overlong, and none was answered recently."""
        is_overlong = oldest_ms > max(MIN_STUCK_MS, STUCK_FACTOR * usual_ms)
        return is_overlong and all(call.is_lost() for call in self.calls)

    def _request_metrics(self, now_ms: float, counts: Mapping[str, int]) -> dict[str, float]:
        """Return the rate of requests and their rejected share."""
        rejected = sum(counts.get(name, 0) for name in REJECTED_COUNTERS)
        self.counters.append(CounterSample(now_ms, counts.get(REQUESTS_READ, 0), rejected))
        while len(self.counters) > 1 and now_ms - self.counters[0].at_ms > WINDOW_MS:
            self.counters.popleft()
        first = self.counters[0]
        last = self.counters[-1]
        passed_ms = now_ms - first.at_ms
        if passed_ms <= MIN_WINDOW_FRACTION * WINDOW_MS:
            return {}
        read = last.read - first.read
        metrics: dict[str, float] = {Metric.REQUEST_RATE: read * MS_PER_S / passed_ms}
        if read:
            metrics[Metric.REJECTED_REQUESTS] = min(1.0, (last.rejected - first.rejected) / read)
        return metrics


def _drop_old(calls: deque[EndedCall], now_ms: float) -> None:
    while calls and now_ms - calls[0].at_ms > WINDOW_MS:
        calls.popleft()
