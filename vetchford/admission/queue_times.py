"""How long clients wait for an answer to a first attempt."""


class QueueTimeHistogram:
    """Waits in hundredths of the class's timeout, as clients give them or as they leave."""

    def __init__(self) -> None:
        self.counts = [0.0] * 100 + [1.0]

    def add(self, fraction: float) -> int:
        at = min(100, max(0, round(100.0 * fraction)))
        self.counts[at] += 1.0
        if sum(self.counts) > 400.0:  # halved: what clients did some hundreds of requests ago fades
            self.counts = [0.5 * count for count in self.counts]
        return at

    def most_common(self) -> float:
        return max(range(101), key=self.counts.__getitem__) / 100.0

    def age(self, fraction: float) -> float:
        """Count a wait; returns what it lacks to the next one that first attempts give: one in 20 or more."""
        at, often = self.add(fraction), 0.05 * sum(self.counts)
        return (next((n for n in range(at, 100) if self.counts[n] > often), 100) - at) / 100.0
