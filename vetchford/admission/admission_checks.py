"""Whether an arriving request is admitted, and which request is evicted when the server is full."""

from vetchford.admission.capacity import Capacity
from vetchford.admission.completion_estimate import CompletionEstimate, due_before_next_tick
from vetchford.admission.health import Health
from vetchford.admission.lifecycle import RequestLifecycle
from vetchford.admission.rejection import RejectionReason
from vetchford.admission.request import Request
from vetchford.admission.workload import Workload


class AdmissionChecks:
    """The checks that an arriving request must pass, in order."""

    def __init__(
        self,
        workload: Workload,
        capacity: Capacity,
        health: Health,
        estimate: CompletionEstimate,
        lifecycle: RequestLifecycle,
    ) -> None:
        """Use `lifecycle` to reject requests."""
        self.workload = workload
        self.capacity = capacity
        self.health = health
        self.estimate = estimate
        self.lifecycle = lifecycle

    def reason_not_to_serve(self, now_ms: float, request: Request) -> RejectionReason | None:
        """Return why the request can't be served whatever its size and run time; None if it may be served."""
        if self.health.is_past_drain_grace(request.arrived_at_ms):
            return RejectionReason.DRAINING
        if self.health.stalled:
            return RejectionReason.STALLED
        if due_before_next_tick(now_ms, request):
            return RejectionReason.DEADLINE
        return None

    def admit(self, now_ms: float, request: Request) -> RejectionReason | None:
        """Return None if the request may be queued, or else why it was rejected.

        A queued request may have been evicted to make room.
        """
        queue_delay_ms = self.capacity.queue_delay_ms(now_ms, request)
        if not self.memory_fits(request):
            self.lifecycle.reject(request, RejectionReason.MEMORY)
            return RejectionReason.MEMORY
        if not self.estimate.is_in_time(now_ms, request, queue_delay_ms):
            self.lifecycle.reject(request, RejectionReason.LATENCY_OBJECTIVE)
            return RejectionReason.LATENCY_OBJECTIVE
        return self._within_byte_limits(request)

    def memory_fits(self, request: Request) -> bool:
        """Return whether the request's run and its idempotency key, if it has one, would fit into memory.

        Executing requests count at a multiple of their size, and kept keys count too (docs/design.md).
        """
        in_flight = self.workload.in_flight
        key_bytes = in_flight.key_size_bytes if request.has_key else 0.0
        return self.capacity.memory_fits(
            request, key_bytes + request.size_bytes * in_flight.running_extra_factor
        )

    def _within_byte_limits(self, request: Request) -> RejectionReason | None:
        """Check both counters of unanswered bytes; if one is over its limit, evict the lowest priority.

        Return None if the arriving request stays, or else why it was rejected. A request over a limit is
        rejected at once rather than left waiting (docs/design.md; named THROW_ON_OVERLOAD in Apache
        Cassandra).
        """
        over_client = self.workload.in_flight.over_client_limit(request.client, request.size_bytes)
        if self.capacity.has_room(request) and not over_client:
            return None
        queued = self._queued_of(request.client) if over_client else list(self.workload.queued.values())
        candidates = self.capacity.eviction_candidates(request, queued)
        if not candidates:
            return None
        evicted = self.lowest_priority(candidates)
        reason = RejectionReason.CLIENT_BYTES if over_client else RejectionReason.NODE_BYTES
        self.lifecycle.reject(evicted, reason)
        return reason if evicted is request else None

    def lowest_priority(self, candidates: list[Request]) -> Request:
        """Return the request to evict: of lowest priority, then of the client with most bytes, the newest."""
        priority = self.workload.priority
        bytes_by_client = self.workload.in_flight.bytes_by_client

        def eviction_order(request: Request) -> tuple[float, int, float, int]:
            """Return the sort key; the smallest is evicted."""
            return (
                priority(request),
                -bytes_by_client[request.client],
                -request.arrived_at_ms,
                request.index,
            )

        return min(candidates, key=eviction_order)

    def _queued_of(self, client: int) -> list[Request]:
        return [request for request in self.workload.queued.values() if request.client == client]
