"""Exit statuses of `vetchford fleet`; operators' scripts depend on the numbers."""

from enum import IntEnum

from vetchford.fleet.rollout import RolloutState


class ExitStatus(IntEnum):
    """The exit status; of several agents' results the greatest is reported."""

    DONE = 0
    FAILED = 1  # failure at run time, or a rollout was paused
    REFUSED = 2  # by an agent, or wrong usage
    PARTLY_DONE = 3
    UNKNOWN = 4  # an agent could not be reached


# For a command that waits for a rollout, by the rollout states that end the wait.
ROLLOUT_EXIT_STATUS = {
    RolloutState.FINISHED: ExitStatus.DONE,
    RolloutState.FAILED: ExitStatus.PARTLY_DONE,
    RolloutState.ABORTED: ExitStatus.PARTLY_DONE,
    RolloutState.PAUSED: ExitStatus.FAILED,
}
