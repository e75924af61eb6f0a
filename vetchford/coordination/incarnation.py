"""The incarnation of a server in its fleet: set at its start, and raised if another server knows a later one.

Another server knows a later incarnation if the time of day went back, or if two servers have the same name.
In the latter case both would raise their incarnations forever, so the number of raises per minute is limited.
"""

import time

from vetchford.runtime.clock import clock
from vetchford.runtime.units import MS_PER_S

MAX_RAISES = 5  # in RAISE_WINDOW_MS
RAISE_WINDOW_MS = 60_000.0
NONCE_BITS = 62


class IncarnationCounter:
    """The incarnation and nonce of this process; incarnations increase with the time of day.

    Not thread-safe: only for the thread of the actor that owns it.
    """

    def __init__(self) -> None:
        """Begin a new incarnation."""
        self.incarnation = int(clock.unix_time_s() * MS_PER_S)
        self.nonce = _draw_nonce()
        self.raised_at_ms: list[float] = []

    def raise_above(self, now_ms: float, known: int) -> bool:
        """Begin an incarnation above `known`; return False after too many raises: the name is disputed."""
        self.raised_at_ms = [at_ms for at_ms in self.raised_at_ms if now_ms - at_ms < RAISE_WINDOW_MS]
        if len(self.raised_at_ms) >= MAX_RAISES:
            return False
        self.raised_at_ms.append(now_ms)
        self.incarnation = max(known, self.incarnation) + 1
        self.nonce = _draw_nonce()
        return True


def _draw_nonce() -> int:
    return time.time_ns() & (1 << NONCE_BITS) - 1
