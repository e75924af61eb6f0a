"""Derived bulkheads: which request classes are light, have an effect, or neither. No I/O."""

import math
from collections.abc import Sequence

from vetchford.admission.request import RequestClass

LIGHT, WITH_EFFECT, REST = range(3)
"""Indices of the derived bulkheads."""
LIGHT_BELOW = 1 / 3
"""Of the mean run time of the other classes: a class becomes light below it."""
LIGHT_UNTIL = 1 / 2
"""A class stays light up to this, so that chance does not move it to and fro."""
MIN_RUNS = 8
"""Runs of a class before it may become light."""
LIGHT_SHARE = 0.2
"""Light work needs few slots, but at once."""
LIGHT_RESERVE = 1


def regrouped(classes: Sequence[RequestClass], before: Sequence[int]) -> list[int]:
    """The derived bulkhead of each class, by what was measured of it."""
    return [_bulkhead(kind, classes, before[at]) for at, kind in enumerate(classes)]


def _bulkhead(kind: RequestClass, classes: Sequence[RequestClass], before: int) -> int:
    if not kind.effect and _is_light(kind, classes, before == LIGHT):
        return LIGHT
    return WITH_EFFECT if kind.effect else REST


def _is_light(kind: RequestClass, classes: Sequence[RequestClass], was_light: bool) -> bool:
    measured = [each for each in classes if each.mean_run_time_ms > 0.0]
    others = [each.mean_run_time_ms for each in measured if each is not kind]
    usual = sum(others) / len(others) if others else math.inf
    border = LIGHT_UNTIL if was_light else LIGHT_BELOW
    has_runs = kind.service_time_per_unit.samples >= MIN_RUNS
    return has_runs and len(measured) > 1 and kind.mean_run_time_ms <= border * usual
