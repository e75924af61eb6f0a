"""The mean of a metric over many servers, robust against a few false reports. No I/O.

This is a trimmed mean: the highest and the lowest sixth of the values are left out. With one value for each
server, false reports from fewer than a sixth of the servers can't move the mean out of the range of the
correct reports.
"""

import math
from dataclasses import dataclass

MIN_REPORTS = 3  # with fewer there is no aggregate
TRIM_FRACTION = 1.0 / 6.0  # of the values, left out at each end
MIN_REPORTS_TO_TRIM = 3  # with fewer no value is left out


@dataclass(frozen=True, slots=True)
class Sample:
    """One server's value of a metric."""

    age_ms: float
    value: float


@dataclass(frozen=True, slots=True)
class Aggregate:
    """The mean of a metric over servers."""

    value: float
    report_count: int
    mean_age_ms: float


def trimmed_mean(samples: list[Sample], min_reports: int = MIN_REPORTS) -> Aggregate | None:
    """Return the trimmed mean of the samples; None if there are fewer than `min_reports`."""
    count = len(samples)
    if count < min_reports:
        return None
    trim_count = math.ceil(TRIM_FRACTION * count) if count >= MIN_REPORTS_TO_TRIM else 0
    remaining_values = sorted(sample.value for sample in samples)[trim_count : count - trim_count]
    mean_age_ms = sum(sample.age_ms for sample in samples) / count
    return Aggregate(sum(remaining_values) / len(remaining_values), count, mean_age_ms)
