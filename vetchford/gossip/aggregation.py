"""The mean of a metric over many servers, which a few false reports can't move far. No I/O.

A trimmed mean: the highest and the lowest sixth of the values are left out. With one value for each server,
false reports from fewer than a sixth of the servers can't move it past what honest servers report.
"""

import math
from dataclasses import dataclass

MIN_REPORTS = 3  # for an aggregate
TRIM_FRACTION = 1.0 / 6.0  # of the values, at each end
MIN_TRIMMED_REPORTS = 3  # from which values are left out


@dataclass(frozen=True, slots=True)
class Sample:
    """What one server reported."""

    age_ms: float
    value: float


@dataclass(frozen=True, slots=True)
class Aggregate:
    """What many servers reported."""

    value: float
    report_count: int
    mean_age_ms: float


def trimmed_mean(samples: list[Sample], min_reports: int = MIN_REPORTS) -> Aggregate | None:
    """The aggregate of the samples; None where there are fewer than `min_reports`."""
    count = len(samples)
    if count < min_reports:
        return None
    trimmed = math.ceil(TRIM_FRACTION * count) if count >= MIN_TRIMMED_REPORTS else 0
    kept = sorted(sample.value for sample in samples)[trimmed : count - trimmed]
    mean_age_ms = sum(sample.age_ms for sample in samples) / count
    return Aggregate(sum(kept) / len(kept), count, mean_age_ms)
