"""The clock of programs that speak with others, which a test may set wrong.

Nothing that several programs decide together may rest on their clocks agreeing. So that it can be shown,
VETCHFORD_CLOCK="OFFSET RATE" (seconds, and seconds a second) makes this program's clocks lie: by the offset
from its start on, and faster or slower by the rate. Waits on sockets and mailboxes stay as they are.
"""

import os
import sys
import time


class Clock:
    """Monotonic time in ms, and the time of day in s, as this program believes them."""

    def __init__(self, told: str = "") -> None:
        """ValueError where `told` is neither empty nor two numbers, the second above 0."""
        offset, rate = (float(word) for word in (told or "0 1").split())
        if rate <= 0.0:
            raise ValueError("the rate of a clock must be above 0")
        self.rate = rate
        self.began, self.began_day = time.monotonic(), time.time() + offset
        # As on a machine that was started so long ago: monotonic clocks differ between machines, and begin
        # at 0.
        self.passed = abs(offset) if told else self.began

    def now(self) -> float:
        return (self.passed + (time.monotonic() - self.began) * self.rate) * 1000.0

    def day(self) -> float:
        return self.began_day + (time.monotonic() - self.began) * self.rate


try:
    clock = Clock(os.environ.get("VETCHFORD_CLOCK", ""))
except ValueError as problem:
    print(f"vetchford: VETCHFORD_CLOCK is to be an offset and a rate: {problem}", file=sys.stderr)
    sys.exit(2)
