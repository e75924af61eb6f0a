"""Rules that a requested rollout must keep, over one agent's instances and over a fleet's alike. No state.

Each is a function that raises RefusedError, whose text is shown to the operator as it is.
"""

from vetchford.fleet.rollout import FAILURE_POLICIES, KINDS, RefusedError, RolloutKind


def check_kind_and_policy(kind: str, on_failure: str) -> None:
    """Both must be known words: they come unchecked from a tool."""
    if kind not in KINDS or on_failure not in FAILURE_POLICIES:
        raise RefusedError(f"'{kind}' or '{on_failure}' is none that is known")


def check_limits(batch: int, minimum_available: int) -> None:
    """At least one instance must be allowed in progress, or the rollout would never end."""
    if batch < 1 or minimum_available < 0:
        raise RefusedError("batch must be 1 or more, floor 0 or more")


def check_minimum_available(kind: str, available: int, affected: int, minimum: int) -> None:
    """Refuse a stop that would leave too few, and the other kinds if not even one may be taken out.

    `available`: instances of the groups touched that serve; `affected`: those of them that are targets.
    """
    if kind == RolloutKind.STOP:
        left = available - affected
        if left < minimum:
            raise RefusedError(f"{left} would be left serving, under the floor of {minimum}")
    elif kind != RolloutKind.START and minimum and affected and available <= minimum:
        raise RefusedError(f"{available} serve and the floor is {minimum}: none may go out")
