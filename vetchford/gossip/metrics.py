"""The metrics that a server reports of itself; the same list on all servers."""

from dataclasses import dataclass
from enum import StrEnum

RESOLUTION = 1000  # steps: a value is sent in thousandths of its maximum
UNKNOWN = -1  # sent in place of a value that a server does not report
MAX_SINCE_LAST_ANSWER_MS = 10_000.0  # in a report; it stands for any longer time


@dataclass(frozen=True, slots=True)
class MetricDefinition:
    """A metric with values from 0 to `maximum`."""

    name: str
    maximum: float

    def quantize(self, value: float) -> int:
        """Return the encoded form of a value, which is clamped to the range of the metric."""
        return round(RESOLUTION * min(max(0.0, value), self.maximum) / self.maximum)

    def dequantize(self, quantized: int) -> float:
        """Return the value of its encoded form."""
        return quantized * self.maximum / RESOLUTION


class Metric(StrEnum):
    """The metrics of a server; the values are names of log fields."""

    CALL_SLOWDOWN = "pace"  # recent duration of a call, as a multiple of the usual one
    LOST_CALLS = "lost"  # share of calls that timed out, were refused or failed
    SINCE_LAST_ANSWER = "well"  # ms since the last answer to a call: a high value is bad
    REJECTED_REQUESTS = "full"  # share of requests that were rejected
    MEMORY = "memory"  # used share of the memory limit
    REQUEST_RATE = "rate"  # requests read per second


METRICS = (  # in wire order
    MetricDefinition(Metric.CALL_SLOWDOWN, 64.0),
    MetricDefinition(Metric.LOST_CALLS, 1.0),
    MetricDefinition(Metric.SINCE_LAST_ANSWER, MAX_SINCE_LAST_ANSWER_MS),
    MetricDefinition(Metric.REJECTED_REQUESTS, 1.0),
    MetricDefinition(Metric.MEMORY, 1.0),
    MetricDefinition(Metric.REQUEST_RATE, 100_000.0),
)
