"""The implementation of the controller's `Capacity` that divides it into bulkheads.

Translates requests into bulkhead indices and counts; `BulkheadSet` makes the decisions. Called only on the
thread that owns the controller; times are milliseconds.
"""

from collections.abc import Sequence

from vetchford.admission.request import Request, RequestState
from vetchford.admission.workload import Workload
from vetchford.bulkheads.bulkheads import BulkheadSet


class BulkheadCapacity:
    """Implements `vetchford.admission.capacity.Capacity`, which documents the methods."""

    workload: Workload

    def __init__(self, bulkheads: BulkheadSet) -> None:
        """Use these bulkheads, which no other controller uses."""
        self.bulkheads = bulkheads

    def attach(self, workload: Workload) -> None:
        """Assign each request class its bulkhead, and limit calls by bulkhead."""
        self.workload = workload
        self.bulkheads.attach(workload.classes, workload.dependency)

    def arrived(self, request: Request) -> None:
        """Count the request's bytes."""
        self.bulkheads.bytes.arrived(request.bulkhead, request.size_bytes)

    def answered(self, request: Request) -> None:
        """Count the request's bytes as answered."""
        self.bulkheads.bytes.answered(request.bulkhead, request.size_bytes)

    def released(self, request: Request) -> None:
        """Count the request's memory as free."""
        self.bulkheads.bytes.released(request.bulkhead, request.size_bytes)

    def run_started(self, now_ms: float, request: Request, slots: float) -> None:
        """Take a shared slot, or a reserved slot of the request's bulkhead."""
        self.bulkheads.run_started(now_ms, request.bulkhead, slots, self._extra_bytes(request))

    def run_resumed(self, now_ms: float, request: Request) -> None:
        """Take a shared slot, whether or not one is free."""
        self.bulkheads.slots.run_resumed(now_ms, request.bulkhead, self.workload.slots())

    def run_blocked(self, now_ms: float, request: Request) -> None:
        """Return the run's slot."""
        self.bulkheads.slots.run_left_cores(now_ms, request.bulkhead)

    def run_ended(self, now_ms: float, request: Request) -> None:
        """Return the run's slot or end its call, and free the memory that the run added."""
        if request.state == RequestState.EXECUTING:
            self.bulkheads.slots.run_left_cores(now_ms, request.bulkhead)
        elif request.state == RequestState.CALLING:
            self.bulkheads.calls.call_ended(now_ms, request.bulkhead, request.index, None, False)
        self.bulkheads.run_ended(request.bulkhead, request.has_waited(), self._extra_bytes(request))

    def call_started(self, now_ms: float, request: Request) -> None:
        """Count the call."""
        self.bulkheads.calls.call_started(now_ms, request.bulkhead, request.index, self._call_limit())

    def call_ended(self, now_ms: float, request: Request, took_ms: float | None, rejected: bool) -> None:
        """Count the call as ended and update the bulkhead's limit."""
        self.bulkheads.calls.call_ended(now_ms, request.bulkhead, request.index, took_ms, rejected)

    def on_tick(self, now_ms: float) -> None:
        """Regroup derived bulkheads if it is time."""
        self.bulkheads.on_tick(now_ms)

    def queue_delay_ms(self, now_ms: float, request: Request) -> float:
        """Return the wait behind requests of the same bulkhead with the same or a higher priority."""
        priority = self.workload.priority
        own_priority = priority(request)
        ahead = [other for other in self._queued(request) if priority(other) >= own_priority]
        return self._delay_behind(now_ms, request, ahead)

    def backlog_ms(self, request: Request) -> float:
        """Return the wait behind all queued requests of the same bulkhead."""
        # No time is given to this method. The time of the last slot accounting replaces it, and is used only
        # to compute how long the oldest call has been in flight.
        accounted_at_ms = self.bulkheads.slots.fair_share.updated_at_ms
        return self._delay_behind(accounted_at_ms, request, self._queued(request))

    def has_room(self, request: Request) -> bool:
        """Compare the unanswered bytes with the bulkhead's share, and with what other bulkheads lend."""
        in_flight = self.workload.in_flight
        limit_bytes = in_flight.node_limit_bytes(request.size_bytes)
        return self.bulkheads.bytes.has_room(
            request.bulkhead, in_flight.unanswered_bytes, limit_bytes, request.size_bytes
        )

    def eviction_candidates(self, request: Request, queued: list[Request]) -> list[Request]:
        """Return requests of bulkheads over their share; the arriving one only if its own is over."""
        byte_sharing = self.bulkheads.bytes
        limit_bytes = self.workload.in_flight.node_limit_bytes(request.size_bytes)
        size_bytes = request.size_bytes
        is_within_share = byte_sharing.is_within_share(request.bulkhead, limit_bytes, size_bytes)
        candidates = queued if is_within_share else [*queued, request]
        return byte_sharing.eviction_candidates(request.bulkhead, candidates, limit_bytes, size_bytes)

    def memory_fits(self, request: Request, more_bytes: float) -> bool:
        """Compare the memory with the bulkhead's share, and with what other bulkheads lend."""
        in_flight = self.workload.in_flight
        return self.bulkheads.bytes.memory_fits(
            request.bulkhead, more_bytes, in_flight.used_bytes, in_flight.usable_bytes
        )

    def startable(self, now_ms: float, slots: float, blocked: set[int]) -> Sequence[Request]:
        """Return the queued requests of the bulkhead that starts a run next."""
        workload = self.workload
        return self.bulkheads.startable(
            now_ms,
            workload.queued.values(),
            workload.waiting.values(),
            workload.running,
            slots,
            workload.ceiling,
            blocked,
        )

    def callable_requests(self, now_ms: float) -> Sequence[Request]:
        """Return the waiting requests of the bulkhead that makes a call next."""
        return self.bulkheads.calls.callable_requests(
            now_ms, self.workload.waiting.values(), self._call_limit()
        )

    def call_cutoff_ms(self, now_ms: float, request: Request) -> float:
        """Return the end of the bulkhead's call budget, or the time when an answer would be too late."""
        return self.bulkheads.calls.call_cutoff_ms(now_ms, request)

    def should_skip(self, request: Request) -> bool:
        """Skip if the bulkhead's queue for calls is long, or if a request waits that must call."""
        return self.bulkheads.calls.decide_skip(request.bulkhead, self.workload.waiting.values())

    def dependency_wait_ms(self, now_ms: float, request: Request) -> float:
        """Estimate the wait from the calls of the request's bulkhead."""
        return self.bulkheads.calls.dependency_wait_ms(now_ms, request.bulkhead, self._queued_calls(request))

    def _extra_bytes(self, request: Request) -> float:
        return request.size_bytes * self.workload.in_flight.running_extra_factor

    def _call_limit(self) -> float:
        return self.workload.dependency.limit() if self.workload.dependency is not None else 0.0

    def _queued(self, request: Request) -> list[Request]:
        return [other for other in self.workload.queued.values() if other.bulkhead == request.bulkhead]

    def _queued_calls(self, request: Request) -> int:
        return sum(other.bulkhead == request.bulkhead for other in self.workload.waiting.values())

    def _delay_behind(self, now_ms: float, request: Request, ahead: list[Request]) -> float:
        workload = self.workload
        return self.bulkheads.queue_delay_ms(
            now_ms,
            request.bulkhead,
            sum(map(workload.expected_run_time_ms, ahead)),
            len(ahead),
            workload.slots(),
            {other.bulkhead for other in workload.queued.values()},
            self._queued_calls(request),
        )
