"""Load reports as they are sent: MessagePack arrays, whose form may not change in a rolling upgrade."""

from collections.abc import Iterator
from typing import Annotated, Any

import msgspec

from vetchford.errors import MalformedInputError
from vetchford.gossip.metrics import RESOLUTION, UNKNOWN

MAX_REPORTS_PER_MESSAGE = 12
MAX_AGE_MS = 1e9  # of a report that is read at all

Quantized = Annotated[int, msgspec.Meta(ge=UNKNOWN, le=RESOLUTION)]
AgeMs = Annotated[float, msgspec.Meta(ge=0, lt=MAX_AGE_MS)]


class LoadReport(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The metrics of one server at one time."""

    origin: str
    incarnation: int  # of the origin
    sequence: int  # grows with each report of the incarnation
    age_ms: AgeMs  # since it was measured; each holder adds the time that it held the report
    values: list[Quantized]  # see `MetricDefinition.quantize`; UNKNOWN: not reported


class OtherMetricsError(MalformedInputError, ValueError):
    """A report with more or fewer values than there are metrics: of another version.

    Attributes: `value_count` of the report, `metric_count` of this process.
    """

    def __init__(self, value_count: int, metric_count: int) -> None:
        """Makes the message of the counts."""
        super().__init__(f"a report of {value_count} values for {metric_count} metrics")
        self.value_count = value_count
        self.metric_count = metric_count


def decode_reports(body: Any, metric_count: int) -> Iterator[LoadReport]:
    """The reports of a decoded message, one by one: those before a malformed one count.

    Raises TypeError or ValueError (msgspec.ValidationError, OtherMetricsError) at a malformed one.
    """
    for encoded in body[:MAX_REPORTS_PER_MESSAGE]:
        report = msgspec.convert(encoded, LoadReport)
        if len(report.values) != metric_count:
            raise OtherMetricsError(len(report.values), metric_count)
        yield report
