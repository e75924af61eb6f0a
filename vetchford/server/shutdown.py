"""When a server that was told to leave takes nothing new, and when it may end."""

import math

EXIT_TAKES = 120.0  # ms: from the last answers to the sweep that sees them written, and the exit itself
LEAVE_BEFORE = 40.0  # ms before the kill: what is not written by then will not be


class ShutdownSchedule:
    """Times in Unix ms; infinite until the notice."""

    def __init__(self) -> None:
        self.kill = self.leave_at = math.inf

    def begin(self, now: float, stop_ms: float, grace: float) -> float:
        """Returns by when all must be answered."""
        # Nothing that comes past the grace is run; a short stop must still leave time for what is open.
        self.kill, self.leave_at = now + stop_ms, now + min(grace, 0.6 * stop_ms)
        return self.kill - EXIT_TAKES

    def begun(self) -> bool:
        return self.kill < math.inf

    def last_moment(self) -> float:
        """When the program leaves, whatever is open: a moment later it would be killed."""
        return self.kill - LEAVE_BEFORE

    def closes(self, now: float) -> bool:
        return now >= self.leave_at

    def ends(self, now: float, all_out: bool) -> bool:
        return all_out or now >= self.last_moment()
