"""Which dependency call is made next, when it is abandoned, and which is skipped."""

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.capacity import Capacity
from vetchford.admission.health import Health
from vetchford.admission.request import Request, RequestState
from vetchford.admission.workload import Workload


class DependencyCalls:
    """Makes or skips the calls that runs wait for, within `DependencyConcurrencyLimit`."""

    def __init__(
        self, actions: AdmissionActions, workload: Workload, capacity: Capacity, health: Health
    ) -> None:
        """Use `actions` to make and skip calls."""
        self.actions = actions
        self.workload = workload
        self.capacity = capacity
        self.health = health

    def start_calls(self, now_ms: float) -> None:
        """Make the waiting calls that the limits allow, in call order."""
        workload = self.workload
        dependency = workload.dependency
        while workload.waiting and dependency is not None and dependency.may_call(now_ms):
            request = max(self.capacity.callable_requests(now_ms), default=None, key=self.call_order)
            if request is None:
                return
            self.capacity.call_started(now_ms, request)
            abandon_at_ms = self.abandon_at_ms(now_ms, request, dependency.max_call_time_ms)
            del workload.waiting[request.index]
            request.state = RequestState.CALLING
            dependency.in_flight += 1
            self.actions.call(request.index, abandon_at_ms)

    def call_order(self, request: Request) -> tuple[float, float, int]:
        """Return the sort key of calls; the greatest is made first: the most costly to lose, then the oldest.

        Skipping a call costs only a part of its request's weight.
        """
        loss = self.workload.priority(request) * (1.0 - request.request_class.skip_fraction)
        return loss, -request.arrived_at_ms, -request.index

    def abandon_at_ms(self, now_ms: float, request: Request, max_call_time_ms: float) -> float:
        """Return the clock time at which a call that is made now is abandoned.

        That is the earliest of the request's deadline, the end of the longest call time and the cutoff of the
        request's bulkhead.
        """
        cutoff_ms = self.capacity.call_cutoff_ms(now_ms, request)
        return min(request.deadline_ms, now_ms + max_call_time_ms, cutoff_ms)

    def should_skip(self, request: Request) -> bool:
        """Return whether a run that has just been blocked resumes without its call.

        That requires a class that may skip calls, and a long queue for calls or a fleet that has stopped all
        calls.
        """
        if request.state != RequestState.WAITING_FOR_CALL or not request.request_class.skip_fraction:
            return False
        return self.workload.calls_stopped or self.capacity.should_skip(request)

    def skip(self, now_ms: float, request: Request) -> None:
        """Resume a run without its call."""
        self.workload.waiting.pop(request.index, None)
        self.resume(now_ms, request)
        self.actions.skip(request.index)

    def resume(self, now_ms: float, request: Request) -> None:
        """Count a run as on the cores again."""
        request.state = RequestState.EXECUTING
        self.workload.running += 1
        self.capacity.run_resumed(now_ms, request)
        self.health.run_entered_cores(now_ms)
        request.wait_ended(now_ms)
