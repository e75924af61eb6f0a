"""What a server reports of itself: the same list of metrics on all servers."""

from dataclasses import dataclass
from enum import StrEnum

RESOLUTION = 1000  # a value is sent in thousandths of its maximum
UNKNOWN = -1  # in place of a value that a server does not report


@dataclass(frozen=True, slots=True)
class MetricDefinition:
    """One metric, from 0 to `maximum`."""

    name: str
    maximum: float

    def quantize(self, value: float) -> int:
        """The value as it is sent; values out of range are clamped."""
        return round(RESOLUTION * min(max(0.0, value), self.maximum) / self.maximum)

    def value_of(self, quantized: int) -> float:
        """The value of what was sent."""
        return quantized * self.maximum / RESOLUTION


class Metric(StrEnum):
    """The metrics of a server; the values are the names of the log's fields."""

    CALL_SLOWDOWN = "pace"  # recent time of a call over the usual one
    LOST_CALLS = "lost"  # share of calls that were cut off, refused or broken off
    SINCE_LAST_ANSWER = "well"  # ms since a call was last answered
    REJECTED_REQUESTS = "full"  # share of requests that were rejected
    MEMORY = "memory"  # share of the limit
    REQUEST_RATE = "rate"  # requests read a second


METRICS = (  # their order is the one on the wire
    MetricDefinition(Metric.CALL_SLOWDOWN, 64.0),
    MetricDefinition(Metric.LOST_CALLS, 1.0),
    MetricDefinition(Metric.SINCE_LAST_ANSWER, 10_000.0),
    MetricDefinition(Metric.REJECTED_REQUESTS, 1.0),
    MetricDefinition(Metric.MEMORY, 1.0),
    MetricDefinition(Metric.REQUEST_RATE, 100_000.0),
)
