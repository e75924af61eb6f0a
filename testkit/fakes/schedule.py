"""Values that change over time by a schedule."""

import bisect
from collections.abc import Sequence

MAX_WAIT_S = 1.0


class StepSchedule:
    """A value that changes in steps over time."""

    def __init__(self, steps: Sequence[tuple[float, float]]) -> None:
        """Create a schedule of steps (seconds from the start, value) in order of time, the first at 0."""
        self.times_s = [at_s for at_s, _ in steps]
        self.values = [value for _, value in steps]

    def value_at(self, elapsed_s: float) -> float:
        """Return the value `elapsed_s` after the start."""
        return self.values[max(0, bisect.bisect_right(self.times_s, elapsed_s) - 1)]

    def seconds_to_next_step(self, elapsed_s: float) -> float:
        """Return the time to the next step, at most `MAX_WAIT_S`."""
        following = bisect.bisect_right(self.times_s, elapsed_s)
        if following == len(self.times_s):
            return MAX_WAIT_S
        return min(MAX_WAIT_S, self.times_s[following] - elapsed_s)


CONSTANT_ZERO = StepSchedule([(0.0, 0.0)])
