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
        """Start through `actions`, reject through `lifecycle`."""
        self.actions = actions
        self.workload = workload
        self.capacity = capacity
        self.health = health
        self.estimate = estimate
        self.lifecycle = lifecycle

    def dispatch(self, now_ms: float) -> None:
        """Start what may start; what can't be answered in time any more is rejected for good."""
        load = self.workload
        blocked: set[int] = set()  # bulkheads whose next request does not fit into memory
        while load.queued and not self.health.stalled:
            slots = load.slots()
            if load.slots_full(slots):
                load.limit.in_use = True
            startable = self.capacity.startable(now_ms, slots, blocked)
            request = max(startable, default=None, key=self.dispatch_order)
            if request is None:
                return
            if not self.capacity.memory_fits(request, request.size_bytes * load.in_flight.running_extra):
                blocked.add(request.bulkhead)
            elif self.estimate.is_in_time(now_ms, request, 0.0):
                self._start(now_ms, request, slots)
            else:
                self.lifecycle.reject(request, RejectionReason.LATENCY_OBJECTIVE, terminal=True)

    def dispatch_order(self, request: Request) -> tuple[float, float, int]:
        """Return the order of starting: highest priority first, then the oldest."""
        return self.workload.priority(request), -request.arrived_at_ms, -request.index

    def _start(self, now_ms: float, request: Request, slots: float) -> None:
        load = self.workload
        del load.queued[request.index]
        load.in_flight.used_bytes += request.size_bytes * load.in_flight.running_extra
        load.running += 1
        request.started = True
        request.state = RequestState.EXECUTING
        request.concurrency_at_start = load.running + load.reading
        self.capacity.run_started(now_ms, request, slots)
        self.health.run_joined(now_ms)
        self.actions.start(request.index)
