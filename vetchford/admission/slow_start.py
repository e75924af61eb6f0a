"""Slow start: a server that is still warming up runs fewer requests at once."""

from vetchford.admission.request import AdmissionSettings

SURVIVED_FRACTION = 0.5
"""Part of the concurrency survived that is started: resumed calls and reading come on top."""
MIN_CEILING = 1.0
MIN_WARM_UP_MS = 1.0


class SlowStart:
    """The ceiling of the concurrency limit from a cold start to the end of the warm-up."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """Compute the ceilings of a cold and of a warm server."""
        survived = settings.survivable_concurrency
        cold = 1.0 + (survived - 1.0) * settings.cold_fraction
        self.warm_up_ms = settings.warm_up_ms
        self.warm_ceiling = max(MIN_CEILING, SURVIVED_FRACTION * settings.cores * survived)
        self.cold_ceiling = max(MIN_CEILING, SURVIVED_FRACTION * settings.cores * cold)

    def ceiling(self, now_ms: float) -> float:
        """Return the highest number of runs at once, which rises evenly until the server is warm.

        The concurrency that a server survives is a ceiling and not a target (design), and is lower while it
        is cold.
        """
        warm = min(1.0, now_ms / max(MIN_WARM_UP_MS, self.warm_up_ms))
        return self.cold_ceiling + (self.warm_ceiling - self.cold_ceiling) * warm
