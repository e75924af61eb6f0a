"""How long a rejected client is asked to stay away, and whether it is to try another server."""

import zlib

from vetchford.admission.request import Request
from vetchford.admission.traffic import RecentTraffic

FIXED_FRACTION = 0.5
JITTER_FRACTION = 0.5
"""Part of the retry-after that is spread by chance, so that clients do not come back in step."""
CHANCE_RANGE = 2**32
MEAN_WEIGHT = 0.05
"""Weight of a draw in the mean retry-after."""


class RetryAfter:
    """Retry-after with jitter."""

    def __init__(self, seed: int, max_retry_after_ms: float) -> None:
        """`seed`: of the jitter; `max_retry_after_ms`: longest that may be asked, 0 for none."""
        self.seed = seed
        self.max_retry_after_ms = max_retry_after_ms
        self.factor = 1.0
        """As the fleet measures: how much longer clients are to stay away."""
        self.mean_ms = 0.0
        """Recent mean of what clients were asked to wait; moved by each draw."""
        self.draws = 0
        """Random numbers drawn."""

    def draw_ms(self, wanted_ms: float) -> float:
        """Draw the retry-after to ask of a client, for a wanted one, and count it into the mean.

        It is between half of the wanted one and all of it, within the longest that may be asked.
        """
        jitter = FIXED_FRACTION + JITTER_FRACTION * self._chance()
        retry_after_ms = min(self.max_retry_after_ms, wanted_ms * self.factor) * jitter
        self.mean_ms += MEAN_WEIGHT * (retry_after_ms - self.mean_ms)
        return retry_after_ms

    def _chance(self) -> float:
        """Return a number from 0 to 1, the same for the same seed and draw in all processes."""
        self.draws += 1
        return zlib.crc32(b"%d:%d" % (self.seed, self.draws)) / CHANCE_RANGE


class TerminalRejection:
    """Whether a rejection also asks that no other server be tried."""

    def __init__(self, traffic: RecentTraffic) -> None:
        """Judge by this traffic."""
        self.traffic = traffic
        self.fleet_full = False
        """As the fleet measures: all servers reject."""

    def is_terminal(self, request: Request) -> bool:
        """Return whether other servers are likely to reject the request too.

        A retry that is rejected has found two servers full, and another attempt only spreads the overload.
        Where retries abound or the fleet is full, every request would.
        """
        return request.is_retry or self.fleet_full or self.traffic.retries_abound()
