"""Checks of a requested rollout that apply to one agent's instances and to a fleet's instances. No state.

Each check raises RefusedError, whose text is shown to the operator unchanged.
"""

from vetchford.fleet.rollout import FAILURE_POLICIES, KINDS, RefusedError, RolloutKind


def check_kind_and_policy(kind: str, on_failure: str) -> None:
    """Refuse an unknown kind or failure policy: a tool sends both unchecked."""
    if kind not in KINDS or on_failure not in FAILURE_POLICIES:
        raise RefusedError(
            f"kind is '{kind}', which must be one of {', '.join(KINDS)}; "
            f"on_failure is '{on_failure}', which must be one of {', '.join(FAILURE_POLICIES)}"
        )


def check_limits(batch: int, minimum_available: int) -> None:
    """Refuse a batch below 1, with which the rollout would never end, and a negative minimum."""
    if batch < 1 or minimum_available < 0:
        raise RefusedError(
            f"batch is {batch}, which must be 1 or more; "
            f"floor is {minimum_available}, which must be 0 or more"
        )


def check_minimum_available(kind: str, available: int, affected: int, minimum: int) -> None:
    """Refuse a stop that breaks the minimum, and a restart or roll if not even one instance can be spared.

    `available`: instances of the targets' groups that serve; `affected`: targets among them.
    """
    if kind == RolloutKind.STOP:
        remaining = available - affected
        if remaining < minimum:
            raise RefusedError(
                f"{remaining} of {available} instances would be left serving, under the floor of {minimum}"
            )
    elif kind != RolloutKind.START and minimum and affected and available <= minimum:
        raise RefusedError(
            f"{available} instances serve and the floor is {minimum}: no instance can be taken out of service"
        )
