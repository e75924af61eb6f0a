"""The clock that all decisions of one server are made by."""

from vetchford.runtime import timers


class ServerClock:
    """Milliseconds since the worker pool started; the controller is given no other time.

    Only the thread of the admission actor may use it.
    """

    def __init__(self) -> None:
        """Count from the Unix epoch until `start` is called."""
        self.origin = 0.0  # Unix ms

    def start(self, elapsed: float) -> None:
        """Let the clock stand at `elapsed` ms now."""
        self.origin = timers.unix_time_ms() - elapsed

    def now(self) -> float:
        """Return ms since the start."""
        return timers.unix_time_ms() - self.origin
