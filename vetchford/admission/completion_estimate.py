"""Whether a request can still be answered in time."""

import math

from vetchford.admission.capacity import Capacity
from vetchford.admission.request import Request
from vetchford.admission.workload import Workload

TICK_MS = 50.0
"""Period of the tick. An answer due before the next tick is sent in this one, so up to one period early."""
RELEARN_AFTER_MS = 5000.0
"""A class without a completed run for this long is admitted, so that its run time is measured again."""
BUSY_CORES_MARGIN = 1.3
"""Factor on the expected run time while the cores are busy: many runs take longer than expected."""
SPARE_CORES_MARGIN = 0.8
"""Factor on the expected run time while cores are free, when a run that fails costs others little."""
RUN_FRACTION_AFTER_CALL = 0.5
"""Fraction of a run's time that follows its dependency call."""


def due_before_next_tick(now_ms: float, request: Request) -> bool:
    """Return whether the deadline passes before the next tick, so that the request must be answered now."""
    return request.deadline_ms <= now_ms + TICK_MS


class CompletionEstimate:
    """Compares the expected time of a request's answer with its deadline or latency objective."""

    def __init__(self, workload: Workload, capacity: Capacity) -> None:
        """Estimate from the recent runs in `workload` and the expected waits that `capacity` returns."""
        self.workload = workload
        self.capacity = capacity
        self.cores_busy = False
        """Whether the cores were busy at the last tick."""

    def is_in_time(self, now_ms: float, request: Request, queue_delay_ms: float) -> bool:
        """Return whether a request that starts after `queue_delay_ms` is expected to be answered in time.

        A request that can't be answered in time is not run: it would take capacity from other requests for
        nothing. An answer after the latency objective counts as in time only while cores are free.
        """
        request_class = request.request_class
        wait_ms = self.capacity.dependency_wait_ms(now_ms, request)
        min_call_time_ms = self._min_call_time_ms(request)
        if min_call_time_ms == math.inf:
            return False
        if min_call_time_ms:
            wait_ms = max(wait_ms, min_call_time_ms)
        if now_ms - request_class.last_completed_at_ms > RELEARN_AFTER_MS:
            return now_ms < request.objective_at_ms
        margin = BUSY_CORES_MARGIN if self.cores_busy else SPARE_CORES_MARGIN
        run_ms = margin * self.workload.expected_run_time_ms(request)
        finish_at_ms = now_ms + queue_delay_ms + run_ms + wait_ms
        if request_class.late_fraction and not self.cores_busy:
            return finish_at_ms <= request.deadline_ms
        return finish_at_ms <= request.objective_at_ms

    def is_call_too_late(self, now_ms: float, request: Request) -> bool:
        """Return whether a call made now would leave too little time for a useful answer."""
        run_ms = RUN_FRACTION_AFTER_CALL * self.workload.expected_run_time_ms(request)
        late_counts = request.request_class.late_fraction
        useful_until_ms = request.deadline_ms if late_counts else request.objective_at_ms
        return now_ms + run_ms > useful_until_ms

    def _min_call_time_ms(self, request: Request) -> float:
        """Return the call time that the fleet measures, or 0 if the request need not call.

        The time is infinite if the dependency answers no calls.
        """
        dependency = self.workload.dependency
        if dependency is None or not dependency.min_call_time_ms:
            return 0.0
        request_class = request.request_class
        must_call = request_class.dependency_wait_ms and not request_class.skip_fraction
        return dependency.min_call_time_ms if must_call else 0.0
