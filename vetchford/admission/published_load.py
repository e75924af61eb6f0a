"""The load value that is published with each answer, by which balancers choose among servers."""

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.settings import LoadSignal

TOLERATED_REJECTED_FRACTION = 0.15
"""A rejected part that keeps the queue fed, and is left alone."""
CLOSING_STEP = 0.015
"""Part of the open fraction that a tick takes away where all is rejected."""
OPENING_FACTOR = 1.0075
"""Growth of the open fraction with a tick: clients react late, a swing takes seconds."""
MIN_OPEN_FRACTION = 0.02
MIN_CHANGE = 0.02
"""Change of the value from which it is published anew."""
CREDIT_PER_CORE = 4.0
"""Requests at once: a core runs one and queues three."""
NEVER_PUBLISHED = -1.0


class PublishedLoad:
    """Follows the rejected part of the traffic with the part of the usual traffic that is wanted."""

    def __init__(self, actions: AdmissionActions, signal: LoadSignal, cores: int, clients: int) -> None:
        """`signal`: what the value means; `clients`: that hold connections to this server."""
        self.actions = actions
        self.signal = signal
        self.credit = CREDIT_PER_CORE * cores / max(1, clients)
        """Requests that each client may have here at once."""
        self.open_fraction = 1.0
        """Fraction of the usual traffic that is wanted."""
        self.published = NEVER_PUBLISHED

    def update_open_fraction(self, read_delay_ratio: float, rejected_fraction: float) -> None:
        """Move the open fraction by one tick.

        Args:
            read_delay_ratio: Wait to be read over the latency objective, which is as bad as rejections.
            rejected_fraction: Rejections over arrivals.
        """
        excess = max(read_delay_ratio, rejected_fraction)
        if excess > TOLERATED_REJECTED_FRACTION:
            factor = 1.0 - CLOSING_STEP * min(1.0, excess)
        else:
            factor = OPENING_FACTOR
        self.open_fraction = min(1.0, max(MIN_OPEN_FRACTION, self.open_fraction * factor))

    def value(self, speed: float) -> float:
        """Return the load value, for a server of this recent `speed` (1 at most)."""
        if self.signal is LoadSignal.UTILIZATION:
            return 1.0 - self.open_fraction
        if self.signal is LoadSignal.CREDIT:
            return self.credit * self.open_fraction
        return self.open_fraction * speed

    def publish(self, speed: float) -> None:
        """Publish the value where it has changed enough."""
        if self.signal is LoadSignal.NONE:
            return
        value = self.value(speed)
        if abs(value - self.published) > MIN_CHANGE:
            self.published = value
            self.actions.publish_load(value)
