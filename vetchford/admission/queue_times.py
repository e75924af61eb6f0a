"""How long clients wait for an answer to a first attempt."""

BUCKETS = 100
"""Of equal width, over the timeout of the class; one more holds what waits for all of it."""
FADE_ABOVE = 400.0
"""Waits counted after which all counts are halved, so that old ones fade."""
FADE_FACTOR = 0.5
COMMON_FRACTION = 0.05
"""Part of all waits that makes one a wait of first attempts."""


class QueueTimeHistogram:
    """Waits as fractions of the class's timeout, as clients give them or as they leave."""

    def __init__(self) -> None:
        """Start with one wait of the whole timeout."""
        self.counts = [0.0] * BUCKETS
        self.counts.append(1.0)

    def add(self, fraction: float) -> int:
        """Count a wait, and return its bucket."""
        bucket = min(BUCKETS, max(0, round(float(BUCKETS) * fraction)))
        self.counts[bucket] += 1.0
        if sum(self.counts) > FADE_ABOVE:
            self.counts = [FADE_FACTOR * count for count in self.counts]
        return bucket

    def most_common(self) -> float:
        """Return the wait that was counted most, as a fraction of the timeout."""
        return max(range(BUCKETS + 1), key=self.counts.__getitem__) / float(BUCKETS)

    def age(self, fraction: float) -> float:
        """Count a wait, and return the age of the attempt that gives it, as a fraction of the timeout.

        The last attempt of a request is given what is left of the timeout. So an attempt's age is what its
        wait lacks to the next longer one that first attempts commonly give.
        """
        bucket = self.add(fraction)
        common = COMMON_FRACTION * sum(self.counts)
        longer = (at for at in range(bucket, BUCKETS) if self.counts[at] > common)
        return (next(longer, BUCKETS) - bucket) / float(BUCKETS)
