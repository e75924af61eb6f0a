"""Which queued request starts next."""

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.capacity import Capacity
from vetchford.admission.completion_estimate import CompletionEstimate
from vetchford.admission.health import Health
from vetchford.admission.lifecycle import RequestLifecycle
from vetchford.admission.rejection import RejectionReason
from vetchford.admission.request import Request, RequestState
from vetchford.admission.workload import Workload


class Scheduler:
    """Starts queued requests in dispatch order while there are slots and memory."""

    def __init__(
        self,
        actions: AdmissionActions,
        workload: Workload,
        capacity: Capacity,
        health: Health,
        estimate: CompletionEstimate,
        lifecycle: RequestLifecycle,
    ) -> None:
        """Use `actions` to start runs, and `lifecycle` to reject requests."""
        self.actions = actions
        self.workload = workload
        self.capacity = capacity
        self.health = health
        self.estimate = estimate
        self.lifecycle = lifecycle

    def dispatch(self, now_ms: float) -> None:
        """Start the requests that may start, and reject, as terminal, those that would be answered late."""
        workload = self.workload
        blocked: set[int] = set()  # bulkheads whose next request does not fit into memory
        while workload.queued and not self.health.stalled:
            slots = workload.slots()
            if workload.slots_full(slots):
                workload.limit.in_use = True
            startable = self.capacity.startable(now_ms, slots, blocked)
            request = max(startable, default=None, key=self.dispatch_order)
            if request is None:
                return
            if not self.capacity.memory_fits(
                request, request.size_bytes * workload.in_flight.running_extra_factor
            ):
                blocked.add(request.bulkhead)
            elif self.estimate.is_in_time(now_ms, request, 0.0):
                self._start(now_ms, request, slots)
            else:
                self.lifecycle.reject(request, RejectionReason.LATENCY_OBJECTIVE, terminal=True)

    def dispatch_order(self, request: Request) -> tuple[float, float, int]:
        """Return the sort key of starts; the greatest starts first: the highest priority, then the oldest."""
        return self.workload.priority(request), -request.arrived_at_ms, -request.index

    def _start(self, now_ms: float, request: Request, slots: float) -> None:
        workload = self.workload
        del workload.queued[request.index]
        workload.in_flight.used_bytes += request.size_bytes * workload.in_flight.running_extra_factor
        workload.running += 1
        request.started = True
        request.state = RequestState.EXECUTING
        request.concurrency_at_start = workload.running + workload.cores_reading
        self.capacity.run_started(now_ms, request, slots)
        self.health.run_entered_cores(now_ms)
        self.actions.start(request.index)
