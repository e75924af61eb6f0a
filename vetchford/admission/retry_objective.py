"""The latency objective of an arriving request, reduced by the age of its attempt."""

from vetchford.admission.client_waits import ClientWaitHistogram
from vetchford.admission.request import AttemptTimes, Request, RequestArrival, RequestClass
from vetchford.admission.retry_after import RetryAfter

RETRY_AGE_FRACTION = 0.05
"""Age, as a fraction of the timeout, above which an attempt counts as a retry.

A younger one counts as a first attempt: its client has only waited for a connection or tried another server.
"""
BACKOFF_FRACTION = 0.5
"""Fraction of the mean retry-after that a retry is assumed to have waited; retries wait all or none of it."""
CLIENT_WAIT_FRACTION = 0.95
"""Fraction of the clients' most frequent wait within which an answer still reaches them."""


class RetryObjective:
    """Estimates the age of attempts, as the latency objective counts from a request's first attempt."""

    def __init__(self, retry_after: RetryAfter) -> None:
        """Use the mean time that clients were asked to wait from `retry_after`."""
        self.retry_after = retry_after
        self.client_waits = ClientWaitHistogram()

    def forget_measurements(self) -> None:
        """Forget how long clients wait."""
        self.client_waits = ClientWaitHistogram()

    def client_gave_up(self, now_ms: float, request: Request) -> None:
        """Count the wait of a client that gave up a first attempt, unless no run could have ended by then.

        Such a wait is not counted, as an objective that no run can meet would reject all requests. Neither is
        that of a retry: when its client gives up may depend on the first attempt.
        """
        wait_ms = now_ms - request.arrived_at_ms
        run_time_ms = request.request_class.mean_run_time_ms
        if not request.is_retry and run_time_ms and wait_ms >= run_time_ms:
            self.client_waits.add(request.client, wait_ms / request.request_class.timeout_ms)

    def times(
        self, now_ms: float, arrival: RequestArrival, request_class: RequestClass, latest_deadline_ms: float
    ) -> AttemptTimes:
        """Return the times of an arriving attempt, with no deadline after `latest_deadline_ms`."""
        arrived_at_ms = now_ms - arrival.queued_for_ms
        if arrival.deadline_ms is not None:
            return self._with_deadline(
                arrival, request_class, arrived_at_ms, arrival.deadline_ms, latest_deadline_ms
            )
        return self._without_deadline(arrival, request_class, arrived_at_ms, latest_deadline_ms)

    def _with_deadline(
        self,
        arrival: RequestArrival,
        request_class: RequestClass,
        arrived_at_ms: float,
        client_deadline_ms: float,
        latest_deadline_ms: float,
    ) -> AttemptTimes:
        """Estimate the age from the time until the client's deadline, which is longer for first attempts."""
        client_wait_ms = (
            request_class.timeout_ms if client_deadline_ms else self._usual_client_wait_ms(request_class)
        )
        objective_at_ms = arrived_at_ms + min(request_class.latency_objective_ms, client_wait_ms)
        wait = (client_deadline_ms - arrived_at_ms) / request_class.timeout_ms
        age = self.client_waits.age(arrival.client, wait)
        objective_at_ms -= age * request_class.timeout_ms
        deadline_ms = min(client_deadline_ms, latest_deadline_ms)
        is_retry = arrival.is_retry or age > RETRY_AGE_FRACTION
        return AttemptTimes(arrived_at_ms, min(objective_at_ms, deadline_ms), deadline_ms, is_retry)

    def _without_deadline(
        self,
        arrival: RequestArrival,
        request_class: RequestClass,
        arrived_at_ms: float,
        latest_deadline_ms: float,
    ) -> AttemptTimes:
        """Assume that the client waits as long as most, and that a retry waited for part of a retry-after."""
        objective_ms = min(request_class.latency_objective_ms, self._usual_client_wait_ms(request_class))
        objective_at_ms = arrived_at_ms + objective_ms
        if arrival.is_retry:
            objective_at_ms -= BACKOFF_FRACTION * self.retry_after.mean_ms
        deadline_ms = min(arrived_at_ms + request_class.timeout_ms, latest_deadline_ms)
        return AttemptTimes(arrived_at_ms, min(objective_at_ms, deadline_ms), deadline_ms, arrival.is_retry)

    def _usual_client_wait_ms(self, request_class: RequestClass) -> float:
        return CLIENT_WAIT_FRACTION * self.client_waits.most_common() * request_class.timeout_ms
