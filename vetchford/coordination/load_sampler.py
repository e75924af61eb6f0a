"""What one server reports of itself: metrics of the last seconds.

Lives on the thread of the admission actor; times in ms.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from vetchford.gossip.metrics import Metric

WINDOW_MS = 2000.0  # looked back: a few calls of each server also where the service is slow
MIN_WINDOW_SHARE = 0.25  # of the window that must have passed before rates are reported
MAX_CALLS = 512  # ended calls that are kept; the oldest go first
MAX_COUNTER_SAMPLES = 64
MIN_CALLS = 8  # from which the usual time of a call is known
STUCK_FACTOR = (
    12.0  # times the usual that the oldest call is out, with none answered, until all count as lost
)
MIN_STUCK_MS = 1000.0  # of it at least: a pause of a machine is shorter

COMPLETED, CUT_OFF = "completed", "overdue"  # outcomes of a call that are told apart here
REQUESTS_READ, REJECTED_PREFIX = "read", "rejected_"  # counters of admission


@dataclass(frozen=True, slots=True)
class EndedCall:
    """One call to the records service that ended."""

    at: float
    duration: float
    outcome: str

    def is_lost(self) -> bool:
        """Whether it was not answered."""
        return self.outcome != COMPLETED


@dataclass(frozen=True, slots=True)
class CounterSample:
    """Counters of admission at one time, since the start."""

    at: float
    read: int
    rejected: int


class LoadSampler:
    """Told of each call by `call_ended`; asked for the metrics by `figures` a few times a second."""

    def __init__(self) -> None:
        """Begins with no calls known."""
        self.calls: deque[EndedCall] = deque(maxlen=MAX_CALLS)
        self.cut_off: deque[EndedCall] = deque(maxlen=MAX_CALLS)  # those cut off took at least so long
        self.counters: deque[CounterSample] = deque(maxlen=MAX_COUNTER_SAMPLES)
        self.answered, self.last_answer_at = 0, -math.inf

    def call_ended(self, now: float, outcome: str, duration: float) -> None:
        """A call to the records service ended, `duration` ms after it began."""
        call = EndedCall(now, duration, outcome)
        if not call.is_lost():
            self.answered += 1
            self.last_answer_at = now
        self.calls.append(call)
        if outcome == CUT_OFF:
            self.cut_off.append(call)

    def figures(
        self,
        now: float,
        begun: Iterable[float],
        usual: float,
        counts: Mapping[str, int],
        used: float,
        memory: float,
    ) -> dict[str, float]:
        """The metrics by name; without recent calls there are none of the service.

        `begun`: when the calls began that are out now; `usual`: ms of a call by the long window; `counts`:
        counters of admission; `used`, `memory`: bytes used and their limit.
        """
        _drop_old(self.calls, now)
        _drop_old(self.cut_off, now)
        metrics: dict[str, float] = {}
        if self.answered:
            metrics[Metric.SINCE_LAST_ANSWER] = now - self.last_answer_at
        oldest = max((now - at for at in begun), default=0.0)
        metrics |= self._service_metrics(oldest, usual)
        metrics |= self._request_metrics(now, counts)
        if math.isfinite(memory) and memory > 0.0:
            metrics[Metric.MEMORY] = used / memory
        return metrics

    def _service_metrics(self, oldest: float, usual: float) -> dict[str, float]:
        """What is seen of the records service; `oldest`: ms that the oldest call is out."""
        is_usual_known = self.answered >= MIN_CALLS and usual > 0.0
        is_stuck = is_usual_known and oldest > max(MIN_STUCK_MS, STUCK_FACTOR * usual)
        if is_stuck and all(call.is_lost() for call in self.calls):
            return {Metric.CALL_SLOWDOWN: oldest / usual, Metric.LOST_CALLS: 1.0}
        if not self.calls:
            return {}
        lost = sum(call.is_lost() for call in self.calls)
        metrics: dict[str, float] = {Metric.LOST_CALLS: lost / len(self.calls)}
        # Without those that were cut off only the quick calls would be counted.
        durations = [call.duration for call in self.calls if not call.is_lost()]
        durations += [call.duration for call in self.cut_off]
        if is_usual_known and durations:
            metrics[Metric.CALL_SLOWDOWN] = sum(durations) / len(durations) / usual
        return metrics

    def _request_metrics(self, now: float, counts: Mapping[str, int]) -> dict[str, float]:
        """The rate of requests, and the share of them that was rejected."""
        rejected = sum(count for name, count in counts.items() if name.startswith(REJECTED_PREFIX))
        self.counters.append(CounterSample(now, counts.get(REQUESTS_READ, 0), rejected))
        while len(self.counters) > 1 and now - self.counters[0].at > WINDOW_MS:
            self.counters.popleft()
        first, last = self.counters[0], self.counters[-1]
        passed = now - first.at
        if passed <= MIN_WINDOW_SHARE * WINDOW_MS:
            return {}
        read = last.read - first.read
        metrics: dict[str, float] = {Metric.REQUEST_RATE: read * 1000.0 / passed}
        if read:
            metrics[Metric.REJECTED_REQUESTS] = min(1.0, (last.rejected - first.rejected) / read)
        return metrics


def _drop_old(calls: deque[EndedCall], now: float) -> None:
    while calls and now - calls[0].at > WINDOW_MS:
        calls.popleft()
