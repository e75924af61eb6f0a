"""Capacity shared by all requests: one queue, one limit on calls, no bulkheads."""

import math
from collections.abc import Sequence

from vetchford.admission.capacity import Capacity
from vetchford.admission.request import Request
from vetchford.admission.workload import Workload

REMAINING_RUN_FRACTION = 0.5
"""Fraction of the mean run time that executing requests still need on average."""


class SharedCapacity(Capacity):
    """Computes all results from the counts in the workload, and so ignores events."""

    workload: Workload

    def attach(self, workload: Workload) -> None:
        """Set the workload whose counts the results are computed from."""
        self.workload = workload

    def queue_delay_ms(self, now_ms: float, request: Request) -> float:
        """Return the wait for running requests and for queued requests of the same or higher priority."""
        workload = self.workload
        if not workload.slots_full(workload.slots()):
            return 0.0
        priority = workload.priority
        own_priority = priority(request)
        ahead_ms = sum(
            workload.expected_run_time_ms(other)
            for other in workload.queued.values()
            if priority(other) >= own_priority
        )
        running_ms = REMAINING_RUN_FRACTION * workload.mean_run_time_ms * workload.running
        return (ahead_ms + running_ms) / max(1.0, workload.limit.limit)

    def backlog_ms(self, request: Request) -> float:
        """Return the time to run all queued requests."""
        workload = self.workload
        queued_ms = sum(workload.expected_run_time_ms(other) for other in workload.queued.values())
        return queued_ms / max(1.0, workload.limit.limit)

    def has_room(self, request: Request) -> bool:
        """Return whether the unanswered bytes are within the node threshold."""
        return not self.workload.in_flight.over_node_limit(request.size_bytes)

    def eviction_candidates(self, request: Request, queued: list[Request]) -> list[Request]:
        """Return all candidates in `queued`, and the arriving request."""
        return [*queued, request]

    def memory_fits(self, request: Request, more_bytes: float) -> bool:
        """Return whether `more_bytes` fit into the usable memory of the server."""
        in_flight = self.workload.in_flight
        return in_flight.used_bytes + more_bytes <= in_flight.usable_bytes

    def startable(self, now_ms: float, slots: float, blocked: set[int]) -> Sequence[Request]:
        """Return all queued requests while slots are free.

        A request that must make a dependency call is left out while the queue for calls is full: its run
        would only wait there and age.
        """
        workload = self.workload
        if blocked or workload.slots_full(slots):
            return ()
        if self._call_queue_is_full():
            return [each for each in workload.queued.values() if each.request_class.skip_fraction]
        return list(workload.queued.values())

    def callable_requests(self, now_ms: float) -> Sequence[Request]:
        """Return all requests that wait for a call."""
        return list(self.workload.waiting.values())

    def call_cutoff_ms(self, now_ms: float, request: Request) -> float:
        """Return infinity: there is no limit besides those for all calls."""
        return math.inf

    def should_skip(self, request: Request) -> bool:
        """Return whether more requests wait for calls than the limit on concurrent calls."""
        dependency = self.workload.dependency
        return dependency is not None and len(self.workload.waiting) > dependency.limit()

    def dependency_wait_ms(self, now_ms: float, request: Request) -> float:
        """Return the recent mean wait of the request's class."""
        return request.request_class.dependency_wait_ms

    def _call_queue_is_full(self) -> bool:
        dependency = self.workload.dependency
        if dependency is None:
            return False
        must_call = sum(not each.request_class.skip_fraction for each in self.workload.waiting.values())
        return must_call > 0 and must_call >= dependency.limit()
