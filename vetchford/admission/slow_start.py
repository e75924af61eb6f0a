"""Slow start: a server that is warming up runs fewer requests concurrently."""

from vetchford.admission.request import AdmissionSettings

SURVIVABLE_FRACTION = 0.5
"""Runs are started up to this fraction of the survivable concurrency.

The rest is for runs that resume after a call and for reading.
"""
MIN_CEILING = 1.0
MIN_WARM_UP_MS = 1.0


class SlowStart:
    """The ceiling of the concurrency limit from a cold start to the end of the warm-up."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """Compute the ceilings of a cold and of a warm server."""
        survivable = settings.survivable_concurrency
        cold_survivable = 1.0 + (survivable - 1.0) * settings.cold_fraction
        self.warm_up_ms = settings.warm_up_ms
        self.warm_ceiling = max(MIN_CEILING, SURVIVABLE_FRACTION * settings.cores * survivable)
        self.cold_ceiling = max(MIN_CEILING, SURVIVABLE_FRACTION * settings.cores * cold_survivable)

    def ceiling(self, now_ms: float) -> float:
        """Return the highest number of concurrent runs, which rises linearly until the server is warm.

        The concurrency that a server survives is a ceiling and not a target (docs/design.md), and is lower
        while the server is cold.
        """
        warm_fraction = min(1.0, now_ms / max(MIN_WARM_UP_MS, self.warm_up_ms))
        return self.cold_ceiling + (self.warm_ceiling - self.cold_ceiling) * warm_fraction
