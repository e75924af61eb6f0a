"""Capacity shared by all requests: one queue, one limit on calls, no bulkheads."""

import math
from collections.abc import Sequence

from vetchford.admission.capacity import Capacity
from vetchford.admission.request import Request
from vetchford.admission.workload import Workload

REMAINING_RUN_FRACTION = 0.5
"""Part of their time that executing requests still need, on average."""


class SharedCapacity(Capacity):
    """Answers from the counts in the workload, so that it records no events."""

    workload: Workload

    def attach(self, workload: Workload) -> None:
        """Take the workload whose counts the answers are computed from."""
        self.workload = workload

    def queue_delay_ms(self, now_ms: float, request: Request) -> float:
        """Return the wait behind what is queued at the same or higher priority, and the rest of the runs."""
        load = self.workload
        if not load.slots_full(load.slots()):
            return 0.0
        priority = load.priority
        own = priority(request)
        ahead_ms = sum(
            load.expected_run_time_ms(other) for other in load.queued.values() if priority(other) >= own
        )
        running_ms = REMAINING_RUN_FRACTION * load.mean_run_time_ms * load.running
        return (ahead_ms + running_ms) / max(1.0, load.limit.limit)

    def backlog_ms(self, request: Request) -> float:
        """Return the time to run all that is queued."""
        load = self.workload
        queued_ms = sum(load.expected_run_time_ms(other) for other in load.queued.values())
        return queued_ms / max(1.0, load.limit.limit)

    def has_room(self, request: Request) -> bool:
        """Return whether the node's counter of unanswered bytes is within its threshold."""
        return not self.workload.in_flight.over_node_limit()

    def eviction_candidates(self, request: Request, queued: list[Request]) -> list[Request]:
        """Return all that are queued and the arriving request."""
        return [*queued, request]

    def memory_fits(self, request: Request, more_bytes: float) -> bool:
        """Return whether `more_bytes` keep within the memory of the server."""
        in_flight = self.workload.in_flight
        return in_flight.used_bytes + more_bytes <= in_flight.usable_bytes

    def startable(self, now_ms: float, slots: float, blocked: set[int]) -> Sequence[Request]:
        """Return what may start: all while there are slots.

        What must call is not started into a full queue of calls: it would only wait there and age.
        """
        load = self.workload
        if blocked or load.slots_full(slots):
            return ()
        if self._call_queue_is_full():
            return [each for each in load.queued.values() if each.request_class.skip_fraction]
        return list(load.queued.values())

    def callable(self, now_ms: float) -> Sequence[Request]:
        """Return all that wait for a call."""
        return list(self.workload.waiting.values())

    def call_cutoff_ms(self, now_ms: float, request: Request) -> float:
        """Return no limit beside those for all calls."""
        return math.inf

    def should_skip(self, request: Request) -> bool:
        """Return whether more requests wait for calls than may go out at once."""
        dependency = self.workload.dependency
        return dependency is not None and len(self.workload.waiting) > dependency.limit()

    def dependency_wait_ms(self, now_ms: float, request: Request) -> float:
        """Return what was measured of the request's class."""
        return request.request_class.dependency_wait_ms

    def _call_queue_is_full(self) -> bool:
        dependency = self.workload.dependency
        if dependency is None:
            return False
        must_call = sum(not each.request_class.skip_fraction for each in self.workload.waiting.values())
        return must_call > 0 and must_call >= dependency.limit()
