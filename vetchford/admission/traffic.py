"""Counts of recent arrivals, retries and rejections, which decay with each tick."""

DECAY_PER_TICK = 0.95
"""Factor on the counts per tick, so that they cover about the last second."""
RATE_TICKS = 100
"""Ticks over which the arrivals are averaged, about five seconds."""
MANY_RETRIES_ABOVE = 0.25
"""Fraction of retries among the arrivals above which most servers must be rejecting requests."""


class RecentTraffic:
    """Counts of about the last second."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.arrivals = 0.0
        self.retries = 0.0
        self.rejections = 0.0
        self.arrival_rate = 0.0
        """Arrivals in about a second, averaged over `RATE_TICKS`."""
        self.ticks = 0
        """Number of ticks so far, up to `RATE_TICKS`."""

    def arrived(self, is_retry: bool) -> None:
        """Count an arrival."""
        self.arrivals += 1.0
        self.retries += is_retry

    def rejected_fraction(self) -> float:
        """Return rejections over arrivals."""
        return self.rejections / max(1.0, self.arrivals)

    def has_many_retries(self) -> bool:
        """Return whether so many arrivals are retries that other servers must be rejecting requests too."""
        return self.retries > MANY_RETRIES_ABOVE * self.arrivals

    def on_tick(self) -> None:
        """Update the average of arrivals and decay the counts."""
        self.ticks = min(RATE_TICKS, self.ticks + 1)
        self.arrival_rate += (self.arrivals - self.arrival_rate) / self.ticks
        self.arrivals *= DECAY_PER_TICK
        self.retries *= DECAY_PER_TICK
        self.rejections *= DECAY_PER_TICK
