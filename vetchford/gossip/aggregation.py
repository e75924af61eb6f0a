"""The mean of a metric over many servers, which few liars can't move far.

A trimmed mean: the highest and the lowest sixth of the values are left out. One value for each server, so
liars fewer than a sixth can move the mean within what honest servers report and no further.
"""

import math
from dataclasses import dataclass

MIN_REPORTS = 3  # below which there is no aggregate
TRIM_FRACTION = 1.0 / 6.0  # of the values, at each end
MIN_TRIMMED_REPORTS = 3  # below which nothing is trimmed


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
