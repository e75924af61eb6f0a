"""The clock that all decisions of one server are made by."""

from vetchford.runtime import timers


class ServerClock:
    """Milliseconds since the worker pool started; the controller is given no other time.

    Only the thread of the admission actor may use it.
    """

    def __init__(self) -> None:
        """Count from the Unix epoch until `start` is called."""
        self.origin_unix_ms = 0.0

    def start(self, elapsed_ms: float) -> None:
        """Let the clock stand at `elapsed_ms` now."""
        self.origin_unix_ms = timers.unix_time_ms() - elapsed_ms

    def now_ms(self) -> float:
        """Return the time since the start."""
        return timers.unix_time_ms() - self.origin_unix_ms
