"""The clock that a server's admission decisions are based on."""

from vetchford.runtime import timers


class ServerClock:
    """Milliseconds since the worker pool started; all times given to the controller are of this clock.

    Used only on the admission actor's thread.
    """

    def __init__(self) -> None:
        """Count from the Unix epoch until `start` is called."""
        self.origin_unix_ms = 0.0

    def start(self, elapsed_ms: float) -> None:
        """Set the clock to `elapsed_ms`."""
        self.origin_unix_ms = timers.unix_time_ms() - elapsed_ms

    def now_ms(self) -> float:
        """Return the time since the worker pool started; before `start`, the Unix time."""
        return timers.unix_time_ms() - self.origin_unix_ms
