"""How long a rejected client is asked to wait, and whether to try another server."""

import zlib

from vetchford.admission.request import Request
from vetchford.admission.traffic import RecentTraffic

FIXED_FRACTION = 0.5
JITTER_FRACTION = 0.5
"""Random fraction of the retry-after, so that clients do not retry at the same time."""
RANDOM_RANGE = 2**32
MEAN_WEIGHT = 0.05
"""Weight of the latest retry-after in the mean."""


class RetryAfter:
    """Computes retry-afters with jitter."""

    def __init__(self, seed: int, max_retry_after_ms: float) -> None:
        """Draw the jitter from `seed`; `max_retry_after_ms` is the longest retry-after, 0 for none."""
        self.seed = seed
        self.max_retry_after_ms = max_retry_after_ms
        self.factor = 1.0
        """Factor on the retry-after, as the fleet measures."""
        self.mean_ms = 0.0
        """Recent mean retry-after; each draw updates it."""
        self.draws = 0
        """Number of random numbers drawn."""

    def draw_ms(self, wanted_ms: float) -> float:
        """Return a retry-after with jitter for the wanted duration, and count it in the mean.

        The result is between half and all of `wanted_ms` times `factor`, limited to the longest retry-after.
        """
        jitter = FIXED_FRACTION + JITTER_FRACTION * self._random_fraction()
        retry_after_ms = min(self.max_retry_after_ms, wanted_ms * self.factor) * jitter
        self.mean_ms += MEAN_WEIGHT * (retry_after_ms - self.mean_ms)
        return retry_after_ms

    def _random_fraction(self) -> float:
        """Return a pseudo-random number from 0 to 1 that depends only on the seed and the number of draws."""
        self.draws += 1
        return zlib.crc32(b"%d:%d" % (self.seed, self.draws)) / RANDOM_RANGE


class TerminalRejection:
    """Decides whether a rejection also asks the client not to try another server."""

    def __init__(self, traffic: RecentTraffic) -> None:
        """Decide by the retries in `traffic`."""
        self.traffic = traffic
        self.fleet_full = False
        """Whether all servers reject requests, as the fleet measures."""

    def is_terminal(self, request: Request) -> bool:
        """Return whether other servers are likely to reject the request too.

        A rejected retry has found two servers full, and another attempt would only spread the overload. While
        many arrivals are retries or the fleet is full, the same holds for every request.
        """
        return request.is_retry or self.fleet_full or self.traffic.has_many_retries()
