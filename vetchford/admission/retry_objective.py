"""The latency objective of an arriving request, by the age of its attempt."""

from vetchford.admission.queue_times import QueueTimeHistogram
from vetchford.admission.request import AttemptTimes, RequestArrival, RequestClass
from vetchford.admission.retry_after import RetryAfter

RETRY_AGE_FRACTION = 0.05
"""Part of the timeout up to which an attempt is young enough for a first one that tried another server."""
BACKOFF_FRACTION = 0.5
"""Part of the mean retry-after that a marked retry is taken to have waited: all of it, or nothing."""
PATIENCE_FRACTION = 0.95
"""Part of the most common wait of clients within which an answer still finds them."""


class RetryObjective:
    """Estimates the age of attempts: the latency objective runs from the first attempt of a request."""

    def __init__(self, retry_after: RetryAfter) -> None:
        """`retry_after`: what rejected clients were asked to wait."""
        self.retry_after = retry_after
        self.queue_times = QueueTimeHistogram()

    def client_left(self, now_ms: float, arrived_at_ms: float, timeout_ms: float) -> None:
        """Take in that the client of a first attempt left unanswered."""
        self.queue_times.add((now_ms - arrived_at_ms) / timeout_ms)

    def times(
        self, now_ms: float, arrival: RequestArrival, kind: RequestClass, latest_deadline_ms: float
    ) -> AttemptTimes:
        """Return the times of an arriving attempt; no deadline is after `latest_deadline_ms`."""
        arrived_at_ms = now_ms - arrival.queued_for_ms
        if arrival.deadline_ms is not None:
            return self._with_deadline(arrival, kind, arrived_at_ms, arrival.deadline_ms, latest_deadline_ms)
        return self._without_deadline(arrival, kind, arrived_at_ms, latest_deadline_ms)

    def _with_deadline(
        self,
        arrival: RequestArrival,
        kind: RequestClass,
        arrived_at_ms: float,
        given_ms: float,
        latest_deadline_ms: float,
    ) -> AttemptTimes:
        """Judge the age by what is left until the client's deadline, shorter than first attempts have."""
        patience_ms = kind.timeout_ms if given_ms else self._usual_patience_ms(kind)
        objective_at_ms = arrived_at_ms + min(kind.latency_objective_ms, patience_ms)
        age = self.queue_times.age((given_ms - arrived_at_ms) / kind.timeout_ms)
        objective_at_ms -= age * kind.timeout_ms
        deadline_ms = min(given_ms, latest_deadline_ms)
        is_retry = arrival.is_retry or age > RETRY_AGE_FRACTION
        return AttemptTimes(arrived_at_ms, min(objective_at_ms, deadline_ms), deadline_ms, is_retry)

    def _without_deadline(
        self, arrival: RequestArrival, kind: RequestClass, arrived_at_ms: float, latest_deadline_ms: float
    ) -> AttemptTimes:
        """Take the most common wait for the client's patience, and a marked retry for one that backed off."""
        objective_ms = min(kind.latency_objective_ms, self._usual_patience_ms(kind))
        objective_at_ms = arrived_at_ms + objective_ms
        if arrival.is_retry:
            objective_at_ms -= BACKOFF_FRACTION * self.retry_after.mean_ms
        deadline_ms = min(arrived_at_ms + kind.timeout_ms, latest_deadline_ms)
        return AttemptTimes(arrived_at_ms, min(objective_at_ms, deadline_ms), deadline_ms, arrival.is_retry)

    def _usual_patience_ms(self, kind: RequestClass) -> float:
        return PATIENCE_FRACTION * self.queue_times.most_common() * kind.timeout_ms
