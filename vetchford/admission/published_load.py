"""The load value sent with each answer, by which balancers choose among servers."""

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.settings import LoadSignal

TOLERATED_REJECTED_FRACTION = 0.15
"""Rejected fraction of the traffic that is tolerated, because it keeps the queue filled."""
WANTED_FRACTION_DECREASE = 0.015
"""Fraction by which a tick lowers the wanted fraction while all requests are rejected."""
WANTED_FRACTION_GROWTH = 1.0075
"""Factor on the wanted fraction per tick: slow, as clients react late and a swing takes seconds."""
MIN_WANTED_FRACTION = 0.02
MIN_CHANGE = 0.02
"""Change of the load value above which it is published again."""
CREDIT_PER_CORE = 4.0
"""Concurrent requests per core: one that runs and three that are queued."""
NEVER_PUBLISHED = -1.0


class PublishedLoad:
    """Lowers the wanted fraction of the usual traffic while too many requests are rejected."""

    def __init__(self, actions: AdmissionActions, signal: LoadSignal, cores: int, clients: int) -> None:
        """Start with all traffic wanted.

        Args:
            actions: Actions that publish the load value.
            signal: Meaning of the load value.
            cores: Cores of this server.
            clients: Number of clients that hold connections to this server.
        """
        self.actions = actions
        self.signal = signal
        self.credit = CREDIT_PER_CORE * cores / max(1, clients)
        """Concurrent requests that each client may have at this server."""
        self.wanted_fraction = 1.0
        """Fraction of the usual traffic that is wanted."""
        self.published = NEVER_PUBLISHED

    def update_wanted_fraction(self, read_delay_ratio: float, rejected_fraction: float) -> None:
        """Move the wanted fraction by one tick.

        Args:
            read_delay_ratio: Time that requests wait unread over the latency objective; weighs as much as
                rejections.
            rejected_fraction: Rejections over arrivals.
        """
        excess = max(read_delay_ratio, rejected_fraction)
        if excess > TOLERATED_REJECTED_FRACTION:
            factor = 1.0 - WANTED_FRACTION_DECREASE * min(1.0, excess)
        else:
            factor = WANTED_FRACTION_GROWTH
        self.wanted_fraction = min(1.0, max(MIN_WANTED_FRACTION, self.wanted_fraction * factor))

    def value(self, speed: float) -> float:
        """Return the load value for the server's recent `speed`, which is at most 1."""
        if self.signal is LoadSignal.UTILIZATION:
            return 1.0 - self.wanted_fraction
        if self.signal is LoadSignal.CREDIT:
            return self.credit * self.wanted_fraction
        return self.wanted_fraction * speed

    def publish(self, speed: float) -> None:
        """Publish the load value if it has changed enough."""
        if self.signal is LoadSignal.NONE:
            return
        value = self.value(speed)
        if abs(value - self.published) > MIN_CHANGE:
            self.published = value
            self.actions.publish_load(value)
