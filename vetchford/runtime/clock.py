"""Clock for decisions that involve several processes; tests can make it inaccurate.

No such decision may depend on the clocks of several processes being equal. To test this,
VETCHFORD_CLOCK="OFFSET RATE" (seconds, seconds per second) shifts the clocks of this process by the offset
from its start on and makes them run at the given rate. Timeouts of sockets and mailboxes are not affected.
"""

import os
import sys
import time

from vetchford.runtime.units import MS_PER_S

ENVIRONMENT_VARIABLE = "VETCHFORD_CLOCK"
NO_ERROR = "0 1"


class Clock:
    """Monotonic and Unix time with the configured error; may be read from any thread."""

    def __init__(self, error: str = "") -> None:
        """Create a clock; `error` is an offset and a rate as in VETCHFORD_CLOCK, empty for an accurate clock.

        Raises:
            ValueError: `error` is not two numbers of which the second is above 0.
        """
        offset, rate = (float(number) for number in (error or NO_ERROR).split())
        if rate <= 0.0:
            raise ValueError("the rate of a clock must be above 0")
        self.rate = rate
        self.started_at_s = time.monotonic()
        self.started_at_unix_s = time.time() + offset
        # With an error, as on a machine started that many seconds ago: the monotonic clock of each machine
        # begins at 0 when the machine starts.
        self.uptime_at_start_s = abs(offset) if error else self.started_at_s

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return (self.uptime_at_start_s + self._elapsed()) * MS_PER_S

    def unix_time_s(self) -> float:
        """Return the Unix time in seconds."""
        return self.started_at_unix_s + self._elapsed()

    def _elapsed(self) -> float:
        return (time.monotonic() - self.started_at_s) * self.rate


try:
    clock = Clock(os.environ.get(ENVIRONMENT_VARIABLE, ""))
except ValueError as problem:
    print(
        f"vetchford: {ENVIRONMENT_VARIABLE} must be an offset in seconds and a rate: {problem}",
        file=sys.stderr,
    )
    sys.exit(2)
