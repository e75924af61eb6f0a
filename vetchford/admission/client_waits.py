"""How long clients wait for an answer to a first attempt."""

BUCKETS = 100
"""Buckets of equal width up to the timeout of the class; one more counts waits of the whole timeout."""
DECAY_ABOVE_COUNT = 400.0
"""Sum of the counts above which all counts are halved, so that old waits count less."""
DECAY_FACTOR = 0.5
COMMON_FRACTION = 0.05
"""Fraction of all waits above which a bucket counts as a usual wait of first attempts."""
MAX_CLIENT_FRACTION = 0.5
"""Fraction of all waits above which a client's waits are not counted, if other clients have waits too."""
MIN_COMMON_COUNT = 8.0
"""Waits of one length from which on it can be the most common one; before, the whole timeout is."""


class ClientWaitHistogram:
    """Histogram of waits, as fractions of the class's timeout.

    A wait is the time until the deadline that a client gives, or until a client gives up. One client alone
    can't decide what is usual: it never has more than about `MAX_CLIENT_FRACTION` of the waits of several.
    """

    def __init__(self) -> None:
        """Start with one wait of the whole timeout."""
        self.counts = [0.0] * BUCKETS
        self.counts.append(1.0)
        self.counts_by_client: dict[int, float] = {}
        """Counted waits of each client; a client is removed once its count has decayed below one wait."""

    def add(self, client: int, fraction: float) -> int:
        """Count a wait of a client unless the client has too many of all waits; return the wait's bucket."""
        bucket = min(BUCKETS, max(0, round(float(BUCKETS) * fraction)))
        if self._may_count(client):
            self.counts[bucket] += 1.0
            self.counts_by_client[client] = self.counts_by_client.get(client, 0.0) + 1.0
            if sum(self.counts) > DECAY_ABOVE_COUNT:
                self._decay()
        return bucket

    def most_common(self) -> float:
        """Return the most frequent wait, as a fraction of the timeout; the whole timeout if none is."""
        bucket = max(range(BUCKETS + 1), key=self.counts.__getitem__)
        return bucket / float(BUCKETS) if self.counts[bucket] >= MIN_COMMON_COUNT else 1.0

    def _may_count(self, client: int) -> bool:
        if self.counts_by_client.keys() <= {client}:
            return True
        return self.counts_by_client.get(client, 0.0) <= MAX_CLIENT_FRACTION * sum(self.counts)

    def _decay(self) -> None:
        self.counts = [DECAY_FACTOR * count for count in self.counts]
        decayed = {client: DECAY_FACTOR * count for client, count in self.counts_by_client.items()}
        self.counts_by_client = {client: count for client, count in decayed.items() if count >= 1.0}

    def age(self, client: int, fraction: float) -> float:
        """Count the wait of a client's attempt, and return its age; both are fractions of the timeout.

        The last attempt of a request waits for the rest of the timeout. So the age is the difference between
        the wait and the next longer wait that is usual for first attempts. Example: if first attempts usually
        wait for 0.5 or 1.0 of the timeout, an attempt that waits for 0.7 has the age 0.3.
        """
        bucket = self.add(client, fraction)
        usual_count = COMMON_FRACTION * sum(self.counts)
        usual_buckets = (other for other in range(bucket, BUCKETS) if self.counts[other] > usual_count)
        return (next(usual_buckets, BUCKETS) - bucket) / float(BUCKETS)
