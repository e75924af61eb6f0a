"""Counts of recent arrivals, retries and rejections, which fade with each tick."""

FADE_PER_TICK = 0.95
"""Factor on the counts: they look back about a second."""
RATE_TICKS = 100
"""Ticks over which the arrivals are averaged: some five seconds."""
RETRIES_ABOUND_ABOVE = 0.25
"""Part of the arrivals that are retries, above which most servers reject."""


class RecentTraffic:
    """What came in lately. Counts are of about a second."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.arrivals = 0.0
        self.retries = 0.0
        self.rejections = 0.0
        self.arrival_rate = 0.0
        """Arrivals of about a second, averaged over `RATE_TICKS`."""
        self.ticks = 0
        """Ticks so far, up to `RATE_TICKS`."""

    def arrived(self, is_retry: bool) -> None:
        """Count an arrival."""
        self.arrivals += 1.0
        self.retries += is_retry

    def rejected_fraction(self) -> float:
        """Return rejections over arrivals."""
        return self.rejections / max(1.0, self.arrivals)

    def retries_abound(self) -> bool:
        """Return whether so many arrivals are retries that other servers must be rejecting too."""
        return self.retries > RETRIES_ABOUND_ABOVE * self.arrivals

    def on_tick(self) -> None:
        """Average the arrivals and let the counts fade."""
        self.ticks = min(RATE_TICKS, self.ticks + 1)
        self.arrival_rate += (self.arrivals - self.arrival_rate) / self.ticks
        self.arrivals *= FADE_PER_TICK
        self.retries *= FADE_PER_TICK
        self.rejections *= FADE_PER_TICK
