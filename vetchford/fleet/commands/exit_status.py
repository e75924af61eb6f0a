"""What the exit status of `vetchford fleet` says; operators' scripts depend on the numbers."""

from enum import IntEnum

from vetchford.fleet.rollout import RolloutState


class ExitStatus(IntEnum):
    """The greater of two is reported where several agents were asked."""

    DONE = 0
    FAILED = 1  # at run time, or paused
    REFUSED = 2  # or wrong usage
    PARTLY_DONE = 3
    UNKNOWN = 4  # an agent cannot be reached


# Of a rollout that a command waited for: the states that end the waiting.
ROLLOUT_EXIT_STATUS = {
    RolloutState.FINISHED: ExitStatus.DONE,
    RolloutState.FAILED: ExitStatus.PARTLY_DONE,
    RolloutState.ABORTED: ExitStatus.PARTLY_DONE,
    RolloutState.PAUSED: ExitStatus.FAILED,
}
