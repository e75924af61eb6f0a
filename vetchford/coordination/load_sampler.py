"""What one server reports of itself: metrics of the last seconds.

Lives on the thread of the admission actor; times in ms.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from vetchford.gossip.metrics import Metric
from vetchford.runtime.units import MS_PER_S

WINDOW_MS = 2000.0  # that metrics are taken over
MIN_WINDOW_FRACTION = 0.25  # that must have passed before rates are reported
MAX_CALLS = 512  # ended calls that are kept; the oldest go first
MAX_COUNTER_SAMPLES = 64
MIN_CALLS = 8  # from which the usual duration of a call is known
STUCK_FACTOR = 12.0  # times the usual duration that the oldest call is out
MIN_STUCK_MS = 1000.0

# Values of `vetchford.admission.request.Outcome`, which coordination does not import.
COMPLETED = "completed"
CUT_OFF = "overdue"

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
    """One call to the records service that ended."""

    at_ms: float
    duration_ms: float
    outcome: str  # an `Outcome`; `COMPLETED` and `CUT_OFF` are told apart here

    def is_lost(self) -> bool:
        """Whether it was not answered."""
        return self.outcome != COMPLETED


@dataclass(frozen=True, slots=True)
class CounterSample:
    """Counters of admission at one time, since the start."""

    at_ms: float
    read: int
    rejected: int


class LoadSampler:
    """Told of each call by `call_ended`; asked for the metrics by `figures` a few times a second.

    Not thread-safe: for the admission actor's thread.
    """

    def __init__(self) -> None:
        """Begins with no calls known."""
        self.calls: deque[EndedCall] = deque(maxlen=MAX_CALLS)
        self.cut_off: deque[EndedCall] = deque(maxlen=MAX_CALLS)  # those cut off took at least so long
        self.counters: deque[CounterSample] = deque(maxlen=MAX_COUNTER_SAMPLES)
        self.answered = 0
        self.last_answer_at_ms = -math.inf

    def call_ended(self, now_ms: float, outcome: str, duration_ms: float) -> None:
        """A call to the records service ended, `duration_ms` after it started."""
        call = EndedCall(now_ms, duration_ms, outcome)
        if not call.is_lost():
            self.answered += 1
            self.last_answer_at_ms = now_ms
        self.calls.append(call)
        if outcome == CUT_OFF:
            self.cut_off.append(call)

    def figures(
        self,
        now_ms: float,
        started_at_ms: Iterable[float],
        usual_ms: float,
        counts: Mapping[str, int],
        used_bytes: float,
        memory_bytes: float,
    ) -> dict[str, float]:
        """The metrics by name; without recent calls there are none of the service.

        Args:
            now_ms: Monotonic time.
            started_at_ms: When the calls started that are out now.
            usual_ms: Duration of a call by the long window; 0: not known.
            counts: Counters of admission.
            used_bytes: Memory in use.
            memory_bytes: Its limit.
        """
        _drop_old(self.calls, now_ms)
        _drop_old(self.cut_off, now_ms)
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
        """What is seen of the records service; `oldest_ms`: for how long the oldest call is out."""
        is_usual_known = self.answered >= MIN_CALLS and usual_ms > 0.0
        if is_usual_known and self._is_stuck(oldest_ms, usual_ms):
            return {Metric.CALL_SLOWDOWN: oldest_ms / usual_ms, Metric.LOST_CALLS: 1.0}
        if not self.calls:
            return {}
        lost = sum(call.is_lost() for call in self.calls)
        metrics: dict[str, float] = {Metric.LOST_CALLS: lost / len(self.calls)}
        # Without those that were cut off only the quick calls would be counted.
        durations = [call.duration_ms for call in self.calls if not call.is_lost()]
        durations += [call.duration_ms for call in self.cut_off]
        if is_usual_known and durations:
            metrics[Metric.CALL_SLOWDOWN] = sum(durations) / len(durations) / usual_ms
        return metrics

    def _is_stuck(self, oldest_ms: float, usual_ms: float) -> bool:
        """Whether all calls count as lost: one is out far longer than usual, and none was answered lately."""
        is_overlong = oldest_ms > max(MIN_STUCK_MS, STUCK_FACTOR * usual_ms)
        return is_overlong and all(call.is_lost() for call in self.calls)

    def _request_metrics(self, now_ms: float, counts: Mapping[str, int]) -> dict[str, float]:
        """The rate of requests, and the share of them that was rejected."""
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
