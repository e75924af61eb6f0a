"""Derived bulkheads: which request classes are light, have an effect, or neither. No I/O."""

import math
from collections.abc import Sequence

from vetchford.admission.request import RequestClass

LIGHT = 0  # indices of the derived bulkheads
WITH_EFFECT = 1
REST = 2

LIGHT_BELOW = 1 / 3  # of the mean run time of the other classes, for a class that was not light
LIGHT_UP_TO = 1 / 2  # of the same, for a class that was
MIN_RUNS = 8  # of a class that may be light
LIGHT_SHARE = 0.2  # of the slots, bytes and calls
LIGHT_RESERVE = 1  # slots
MIN_EFFECT_SHARE = 0.1  # of what light work leaves
MAX_EFFECT_SHARE = 0.9


def regrouped(classes: Sequence[RequestClass], before: Sequence[int]) -> list[int]:
    """The derived bulkhead of each class, by what was measured of it.

    Args:
        classes: All request classes.
        before: The bulkhead that each is in now.
    """
    return [
        derived_bulkhead(request_class, classes, was_light=bulkhead == LIGHT)
        for request_class, bulkhead in zip(classes, before, strict=True)
    ]


def derived_bulkhead(request_class: RequestClass, classes: Sequence[RequestClass], was_light: bool) -> int:
    """The bulkhead of one class: by its effect, else by its run time."""
    if request_class.effect:
        return WITH_EFFECT
    return LIGHT if is_light(request_class, classes, was_light) else REST


def is_light(request_class: RequestClass, classes: Sequence[RequestClass], was_light: bool) -> bool:
    """Whether runs of a class are much shorter than those of the others, with hysteresis."""
    measured = [each for each in classes if each.mean_run_time_ms > 0.0]
    others_ms = [each.mean_run_time_ms for each in measured if each is not request_class]
    usual_ms = sum(others_ms) / len(others_ms) if others_ms else math.inf
    border = LIGHT_UP_TO if was_light else LIGHT_BELOW
    has_runs = request_class.service_time_per_unit.samples >= MIN_RUNS
    return has_runs and len(measured) > 1 and request_class.mean_run_time_ms <= border * usual_ms


def effect_share(effects: Sequence[int], weights: Sequence[float]) -> float:
    """The part of what light work leaves that goes to classes with an effect: by their priority weight."""
    total = sum(weights) or 1.0
    with_effect = sum(weight for weight, effect in zip(weights, effects, strict=True) if effect) / total
    return min(MAX_EFFECT_SHARE, max(MIN_EFFECT_SHARE, with_effect))
