"""Load reports and their codec: MessagePack arrays.

During a rolling upgrade servers of two versions exchange them, so the form may not change.
"""

from collections.abc import Iterator
from typing import Annotated, Any

import msgspec

from vetchford.errors import MalformedInputError
from vetchford.gossip.metrics import RESOLUTION, UNKNOWN

MAX_REPORTS_PER_MESSAGE = 12
MAX_REPORT_AGE_MS = 1e9  # exclusive; a report with a higher age is malformed

QuantizedValue = Annotated[int, msgspec.Meta(ge=UNKNOWN, le=RESOLUTION)]
AgeMs = Annotated[float, msgspec.Meta(ge=0, lt=MAX_REPORT_AGE_MS)]


class LoadReport(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The metrics of one server at one time, measured `age_ms` before the message was sent."""

    origin: str
    incarnation: int  # of the origin
    sequence: int  # increases with each report of the incarnation
    age_ms: AgeMs  # each server that passes the report on adds the time since it received it
    values: list[QuantizedValue]  # see `MetricDefinition.quantize`; UNKNOWN: not reported


class MetricCountMismatchError(MalformedInputError, ValueError):
    """A report whose number of values differs from the number of metrics, as another version may send it.

    Attributes: `value_count` of the report, `metric_count` of this process.
    """

    def __init__(self, value_count: int, metric_count: int) -> None:
        """Build the error text from the two counts."""
        super().__init__(
            f"load report has {value_count} values, expected {metric_count}: the sender runs another version"
        )
        self.value_count = value_count
        self.metric_count = metric_count


def decode_reports(body: Any, metric_count: int) -> Iterator[LoadReport]:
    """Yield the reports of a decoded message; reports before a malformed one are valid.

    Raises TypeError or ValueError at a malformed report: MetricCountMismatchError if it has another number of
    values, otherwise usually msgspec.ValidationError.
    """
    for encoded in body[:MAX_REPORTS_PER_MESSAGE]:
        report = msgspec.convert(encoded, LoadReport)
        if len(report.values) != metric_count:
            raise MetricCountMismatchError(len(report.values), metric_count)
        yield report
