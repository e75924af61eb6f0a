"""Which request starts and which calls next, and whether one can still finish in time."""

import math

from vetchford.admission.lifecycle import RequestLifecycle
from vetchford.admission.part import AdmissionPart
from vetchford.admission.request import Request, RequestState

RELEARN_AFTER = 5000.0  # ms: a class that was rejected for longer is let in to learn


class Scheduler(AdmissionPart):
    """Starts queued requests and the calls of executing ones, by priority."""

    def __post_init__(self) -> None:
        self.lifecycle, self.cores_busy = RequestLifecycle(*self.shared), False

    def dispatch(self, now_ms: float) -> None:
        load = self.workload
        blocked: set[int] = set()  # bulkheads whose next request does not fit into memory
        while load.queued and not self.health.stalled:
            slots = load.slots()
            load.limit.in_use |= load.slots_full(slots)
            ready = self.capacity.startable(now_ms, slots, blocked)
            request = max(ready, default=None, key=lambda o: (load.priority(o), -o.arrived_at_ms, -o.index))
            if request is None:
                return
            if not self.capacity.memory_fits(request, request.size_bytes * load.in_flight.running_extra):
                blocked.add(request.bulkhead)
            elif self.in_time(now_ms, request, 0.0):
                self._start(now_ms, request, slots)
            else:
                self.lifecycle.reject(request, True)

    def _start(self, now_ms: float, request: Request, slots: float) -> None:
        load = self.workload
        del load.queued[request.index]
        load.in_flight.used_bytes += request.size_bytes * load.in_flight.running_extra
        load.running, request.started = load.running + 1, True
        request.state, request.concurrency_at_start = RequestState.EXECUTING, load.running + load.reading
        self.capacity.run_started(now_ms, request, slots)
        self.health.run_joined(now_ms)
        self.actions.start(request.index)

    def start_calls(self, now_ms: float) -> None:
        load, dependency = self.workload, self.workload.dependency
        while load.waiting and dependency is not None and dependency.may_call(now_ms):
            ready = self.capacity.callable(now_ms)
            request = max(ready, default=None, key=lambda o: (self._skip_cost(o), -o.arrived_at_ms, -o.index))
            if request is None:
                return
            self.capacity.call_started(now_ms, request)
            cut_at_ms = self.capacity.call_cutoff_ms(now_ms, request)
            del load.waiting[request.index]
            request.state = RequestState.CALLING
            dependency.in_flight += 1
            self.actions.call(
                request.index, min(request.deadline_ms, now_ms + dependency.max_call_time_ms, cut_at_ms)
            )

    def _skip_cost(self, request: Request) -> float:
        # First the call whose loss costs most: what may skip it loses only a part of its weight.
        return self.workload.priority(request) * (1.0 - request.request_class.skip_fraction)

    def skip_call(self, now_ms: float, request: Request) -> None:
        self.workload.waiting.pop(request.index, None)
        self.resume(now_ms, request)
        self.actions.skip(request.index)

    def resume(self, now_ms: float, request: Request) -> None:
        request.state = RequestState.EXECUTING
        self.workload.running += 1
        self.capacity.run_resumed(now_ms, request)
        self.health.run_joined(now_ms)
        request.dependency_wait_ms += now_ms

    def in_time(self, now_ms: float, request: Request, queue_delay_ms: float) -> bool:
        """Whether a request that starts after `queue_delay` ms is expected to be answered in time."""
        kind, dependency = request.request_class, self.workload.dependency
        wait = self.capacity.dependency_wait_ms(now_ms, request)
        if dependency and dependency.min_call_time_ms and kind.dependency_wait_ms and not kind.skip_fraction:
            if dependency.min_call_time_ms == math.inf:
                return False
            wait = max(wait, dependency.min_call_time_ms)
        if now_ms - kind.learnt_at_ms > RELEARN_AFTER:
            return now_ms < request.objective_at_ms
        # Many runs take longer than expected, so 1.3 of it is kept; with room a try or late answer is cheap.
        margin, late_counts = (1.3, False) if self.cores_busy else (0.8, bool(kind.late_fraction))
        finish = now_ms + queue_delay_ms + margin * self.workload.expected_run_time_ms(request) + wait
        return finish <= (request.deadline_ms if late_counts else request.objective_at_ms)
