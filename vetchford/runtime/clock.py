"""The clock of programs that decide together, which a test may set wrong.

Nothing that several programs decide together may rest on their clocks agreeing. So that this can be tested,
VETCHFORD_CLOCK="OFFSET RATE" (seconds, and seconds a second) makes the clocks of this program wrong: by the
offset from its start on, and faster or slower by the rate. Timeouts of sockets and mailboxes stay right.
"""

import os
import sys
import time

from vetchford.runtime.units import MS_PER_S

VARIABLE = "VETCHFORD_CLOCK"
TRUE_CLOCK = "0 1"


class Clock:
    """Monotonic and Unix time as this program believes them; may be read from any thread."""

    def __init__(self, error: str = "") -> None:
        """Be wrong by `error`: an offset and a rate as in VETCHFORD_CLOCK; empty for right.

        ValueError where it is not two numbers, the second above 0.
        """
        offset, rate = (float(figure) for figure in (error or TRUE_CLOCK).split())
        if rate <= 0.0:
            raise ValueError("the rate of a clock must be above 0")
        self.rate = rate
        self.started_at_s = time.monotonic()
        self.started_at_unix_s = time.time() + offset
        # As on a machine that was started so long ago: monotonic clocks differ between machines, and begin
        # at 0.
        self.uptime_at_start_s = abs(offset) if error else self.started_at_s

    def now(self) -> float:
        """Return monotonic milliseconds."""
        return (self.uptime_at_start_s + self._elapsed()) * MS_PER_S

    def day(self) -> float:
        """Return the Unix time in seconds."""
        return self.started_at_unix_s + self._elapsed()

    def _elapsed(self) -> float:
        return (time.monotonic() - self.started_at_s) * self.rate


try:
    clock = Clock(os.environ.get(VARIABLE, ""))
except ValueError as problem:
    print(f"vetchford: {VARIABLE} is to be an offset and a rate: {problem}", file=sys.stderr)
    sys.exit(2)
