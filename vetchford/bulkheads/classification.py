"""Assigns request classes to derived bulkheads: light, with an effect, or the rest. No I/O."""

import math
from collections.abc import Sequence

from vetchford.admission.request import RequestClass

LIGHT = 0
"""Index of the derived bulkhead of light classes."""
WITH_EFFECT = 1
"""Index of the derived bulkhead of classes with an effect."""
REST = 2
"""Index of the derived bulkhead of all other classes."""

BECOMES_LIGHT_RATIO = 1 / 3
"""Ratio of run time to the mean of the other classes up to which a class becomes light."""
STAYS_LIGHT_RATIO = 1 / 2
"""The same ratio, up to which a light class stays light."""
MIN_RUNS = 8
"""Runs that must have been measured before a class may be light."""
LIGHT_SHARE = 0.2
"""Share of slots, bytes and calls of the light bulkhead."""
LIGHT_RESERVE = 1
"""Reserved slots of the light bulkhead."""
MIN_EFFECT_SHARE = 0.1
"""Lowest share of classes with an effect, of what the light bulkhead leaves."""
MAX_EFFECT_SHARE = 0.9


def regroup(classes: Sequence[RequestClass], current_bulkheads: Sequence[int]) -> list[int]:
    """Return the derived bulkhead of each class, by its effect and measured run times.

    Args:
        classes: All request classes.
        current_bulkheads: The current bulkhead of each class.
    """
    return [
        derived_bulkhead(request_class, classes, was_light=bulkhead == LIGHT)
        for request_class, bulkhead in zip(classes, current_bulkheads, strict=True)
    ]


def derived_bulkhead(request_class: RequestClass, classes: Sequence[RequestClass], was_light: bool) -> int:
    """Return the bulkhead of one class, by its effect or otherwise by its run time."""
    if request_class.effect:
        return WITH_EFFECT
    return LIGHT if is_light(request_class, classes, was_light) else REST


def is_light(request_class: RequestClass, classes: Sequence[RequestClass], was_light: bool) -> bool:
    """Return whether runs of a class are much shorter than those of the others, with hysteresis."""
    measured = [each for each in classes if each.mean_run_time_ms > 0.0]
    others_ms = [each.mean_run_time_ms for each in measured if each is not request_class]
    others_mean_ms = sum(others_ms) / len(others_ms) if others_ms else math.inf
    max_ratio = STAYS_LIGHT_RATIO if was_light else BECOMES_LIGHT_RATIO
    has_runs = request_class.service_time_per_unit.samples >= MIN_RUNS
    return has_runs and len(measured) > 1 and request_class.mean_run_time_ms <= max_ratio * others_mean_ms


def effect_share(effects: Sequence[int], weights: Sequence[float]) -> float:
    """Return the share of classes with an effect, of what light work leaves, by their priority weight."""
    total = sum(weights) or 1.0
    with_effect = sum(weight for weight, effect in zip(weights, effects, strict=True) if effect) / total
    return min(MAX_EFFECT_SHARE, max(MIN_EFFECT_SHARE, with_effect))
