"""The incarnation of a server in its fleet: begun at its start, and raised where others know a later one.

Others know a later one where the time of day went back, or where two servers have one name. In the latter
case both would raise theirs for ever, so this is done a few times a minute only.
"""

import time

from vetchford.runtime.clock import clock
from vetchford.runtime.units import MS_PER_S

MAX_RAISES = 5  # in RAISE_WINDOW_MS
RAISE_WINDOW_MS = 60_000.0
NONCE_BITS = 62


class IncarnationCounter:
    """The incarnation and nonce of this process; from start to start the former grows with the time of day.

    Not thread-safe: for one actor's thread.
    """

    def __init__(self) -> None:
        """Begins a new incarnation."""
        self.incarnation = int(clock.day() * MS_PER_S)
        self.nonce = _draw_nonce()
        self.raised_at_ms: list[float] = []

    def raise_above(self, now_ms: float, known: int) -> bool:
        """Begins an incarnation above `known`; False where this happens too often: the name is disputed."""
        self.raised_at_ms = [at_ms for at_ms in self.raised_at_ms if now_ms - at_ms < RAISE_WINDOW_MS]
        if len(self.raised_at_ms) >= MAX_RAISES:
            return False
        self.raised_at_ms.append(now_ms)
        self.incarnation = max(known, self.incarnation) + 1
        self.nonce = _draw_nonce()
        return True


def _draw_nonce() -> int:
    return time.time_ns() & (1 << NONCE_BITS) - 1
