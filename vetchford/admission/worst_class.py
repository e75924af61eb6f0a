"""The bonus of the worst-served request class in the queue."""

from collections.abc import Sequence

from vetchford.admission.request import RequestClass

MAX_BONUS = 4.0
FADE_PER_TICK = 0.999
"""Factor on what was offered and achieved: looks back about a minute."""


def worst_class_bonus(classes: Sequence[RequestClass], goal_weight: float) -> tuple[RequestClass, float]:
    """Return the worst-served class, and the factor on its priority weight.

    The service goal counts the worst class on its own. A class that asks for less of the whole gets a larger
    bonus, as less capacity raises it.

    Args:
        classes: Of the server, with the priority weight of recent first attempts and of those achieved.
        goal_weight: Weight of the worst class in the goal over that of the rest.
    """
    worst = min(classes, key=lambda kind: kind.achieved / kind.offered)
    offered = sum(kind.offered for kind in classes)
    return worst, min(MAX_BONUS, 1.0 + goal_weight * offered / worst.offered)


def fade(kind: RequestClass) -> None:
    """Let what a class was offered and achieved fade, once a tick."""
    kind.offered *= FADE_PER_TICK
    kind.achieved *= FADE_PER_TICK
