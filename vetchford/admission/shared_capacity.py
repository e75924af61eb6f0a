"""Capacity shared by all requests: one queue, one limit on calls, no bulkheads."""

from collections.abc import Sequence

from vetchford.admission.request import Request
from vetchford.admission.undivided_capacity import UndividedCapacity


class SharedCapacity(UndividedCapacity):
    """Implements `capacity.Capacity`, which says what each method answers."""

    def queue_delay_ms(self, now_ms: float, request: Request) -> float:
        load, priority = self.workload, self.workload.priority
        if not load.slots_full(load.slots()):
            return 0.0
        own = priority(request)
        ahead = sum(load.expected_run_time_ms(o) for o in load.queued.values() if priority(o) >= own)
        return (ahead + 0.5 * load.mean_run_time_ms * load.running) / max(1.0, load.limit.limit)

    def retry_after_ms(self, request: Request) -> float:
        backlog = sum(self.workload.expected_run_time_ms(other) for other in self.workload.queued.values())
        return backlog / max(1.0, self.workload.limit.limit)

    def has_room(self, request: Request) -> bool:
        return self.workload.in_flight.unanswered_bytes <= self.workload.in_flight.clearable_bytes

    def eviction_candidates(self, request: Request, queued: list[Request]) -> list[Request]:
        return [*queued, request]

    def memory_fits(self, request: Request, more_bytes: float) -> bool:
        return self.workload.in_flight.used_bytes + more_bytes <= self.workload.in_flight.usable_bytes

    def startable(self, now_ms: float, slots: float, blocked: set[int]) -> Sequence[Request]:
        load = self.workload
        if blocked or load.slots_full(slots):
            return ()
        # What must call is not started into a queue of its like: it would only wait there and age.
        queued_calls = sum(not o.request_class.skip_fraction for o in load.waiting.values())
        full = load.dependency and queued_calls and queued_calls >= load.dependency.limit()
        return [o for o in load.queued.values() if o.request_class.skip_fraction or not full]

    def should_skip(self, request: Request) -> bool:
        dependency = self.workload.dependency
        return dependency is not None and len(self.workload.waiting) > dependency.limit()
