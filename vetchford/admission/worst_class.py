"""The bonus of the worst-served request class in the queue."""

from collections.abc import Sequence

from vetchford.admission.request import RequestClass

MAX_BONUS = 4.0
DECAY_PER_TICK = 0.999
"""Factor on the offered and achieved weights per tick, so that they cover about the last minute."""


def worst_class_bonus(classes: Sequence[RequestClass], goal_weight: float) -> tuple[RequestClass, float]:
    """Return the worst-served class, and the factor on its priority weight.

    The service goal counts the worst-served class separately. A class with a smaller part of the offered
    weight gets a larger bonus, because less capacity is needed to serve it better.

    Args:
        classes: Request classes of the server, with their recent offered and achieved weights.
        goal_weight: Weight of the worst-served class in the service goal over that of the rest.
    """
    worst = min(classes, key=lambda each: each.achieved_weight / each.offered_weight)
    total_offered = sum(each.offered_weight for each in classes)
    return worst, min(MAX_BONUS, 1.0 + goal_weight * total_offered / worst.offered_weight)


def decay(request_class: RequestClass) -> None:
    """Decay the offered and achieved weights of a class; called once per tick."""
    request_class.offered_weight *= DECAY_PER_TICK
    request_class.achieved_weight *= DECAY_PER_TICK
