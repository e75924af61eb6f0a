"""How long clients wait for an answer to a first attempt."""

BUCKETS = 100
"""Buckets of equal width up to the timeout of the class; one more counts waits of the whole timeout."""
DECAY_ABOVE_COUNT = 400.0
"""Sum of the counts above which all counts are halved, so that old waits count less."""
DECAY_FACTOR = 0.5
COMMON_FRACTION = 0.05
"""Fraction of all waits above which a bucket counts as a usual wait of first attempts."""


class ClientWaitHistogram:
    """Histogram of waits, as fractions of the class's timeout.

    A wait is the time until the deadline that a client gives, or until a client leaves.
    """

    def __init__(self) -> None:
        """Start with one wait of the whole timeout."""
        self.counts = [0.0] * BUCKETS
        self.counts.append(1.0)

    def add(self, fraction: float) -> int:
        """Count a wait, and return its bucket."""
        bucket = min(BUCKETS, max(0, round(float(BUCKETS) * fraction)))
        self.counts[bucket] += 1.0
        if sum(self.counts) > DECAY_ABOVE_COUNT:
            self.counts = [DECAY_FACTOR * count for count in self.counts]
        return bucket

    def most_common(self) -> float:
        """Return the most frequent wait, as a fraction of the timeout."""
        return max(range(BUCKETS + 1), key=self.counts.__getitem__) / float(BUCKETS)

    def age(self, fraction: float) -> float:
        """Count the wait of an attempt, and return the attempt's age; both are fractions of the timeout.

        The last attempt of a request waits for the rest of the timeout. So the age is the difference between
        the wait and the next longer wait that is usual for first attempts. Example: if first attempts usually
        wait for 0.5 or 1.0 of the timeout, an attempt that waits for 0.7 has the age 0.3.
        """
        bucket = self.add(fraction)
        usual_count = COMMON_FRACTION * sum(self.counts)
        usual_buckets = (other for other in range(bucket, BUCKETS) if self.counts[other] > usual_count)
        return (next(usual_buckets, BUCKETS) - bucket) / float(BUCKETS)
