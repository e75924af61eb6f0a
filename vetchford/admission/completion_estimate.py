"""Whether a request can still be answered in time."""

import math

from vetchford.admission.capacity import Capacity
from vetchford.admission.request import Request
from vetchford.admission.workload import Workload

TICK_MS = 50.0
"""Answers due before the next tick leave in this one, so that they are early by this at most."""
RELEARN_AFTER_MS = 5000.0
"""A class of which no run has completed for longer is admitted to learn its run time anew."""
BUSY_MARGIN = 1.3
"""Factor on the expected run time while the cores are busy: many runs take longer than expected."""
ROOM_MARGIN = 0.8
"""The same while the cores have room, where an attempt costs little."""
AFTER_CALL_FRACTION = 0.5
"""Part of a run that follows its dependency call."""


def due_before_next_tick(now_ms: float, request: Request) -> bool:
    """Return whether the deadline passes before the next tick: it has to be answered now."""
    return request.deadline_ms <= now_ms + TICK_MS


class CompletionEstimate:
    """Compares when a request is expected to be answered with when an answer is still wanted."""

    def __init__(self, workload: Workload, capacity: Capacity) -> None:
        """Estimate from the recent runs in `workload` and the waits of `capacity`."""
        self.workload = workload
        self.capacity = capacity
        self.cores_busy = False
        """As of the last tick."""

    def is_in_time(self, now_ms: float, request: Request, queue_delay_ms: float) -> bool:
        """Return whether a request that starts after `queue_delay_ms` is expected to be answered in time.

        What can't be is answered at once: its run would take capacity from others for nothing. An answer
        after the latency objective counts only while the cores have room.
        """
        kind = request.request_class
        wait_ms = self.capacity.dependency_wait_ms(now_ms, request)
        min_call_time_ms = self._min_call_time_ms(request)
        if min_call_time_ms == math.inf:
            return False
        if min_call_time_ms:
            wait_ms = max(wait_ms, min_call_time_ms)
        if now_ms - kind.learnt_at_ms > RELEARN_AFTER_MS:
            return now_ms < request.objective_at_ms
        margin = BUSY_MARGIN if self.cores_busy else ROOM_MARGIN
        run_ms = margin * self.workload.expected_run_time_ms(request)
        finish_at_ms = now_ms + queue_delay_ms + run_ms + wait_ms
        if kind.late_fraction and not self.cores_busy:
            return finish_at_ms <= request.deadline_ms
        return finish_at_ms <= request.objective_at_ms

    def is_call_too_late(self, now_ms: float, request: Request) -> bool:
        """Return whether a call that went out now would be followed by an answer that is not wanted."""
        run_ms = AFTER_CALL_FRACTION * self.workload.expected_run_time_ms(request)
        late_counts = request.request_class.late_fraction
        useful_until_ms = request.deadline_ms if late_counts else request.objective_at_ms
        return now_ms + run_ms > useful_until_ms

    def _min_call_time_ms(self, request: Request) -> float:
        """Return the time of a call as the fleet measures it, where the request must call; else 0.

        Infinite where no call is answered.
        """
        dependency = self.workload.dependency
        if dependency is None or not dependency.min_call_time_ms:
            return 0.0
        kind = request.request_class
        must_call = kind.dependency_wait_ms and not kind.skip_fraction
        return dependency.min_call_time_ms if must_call else 0.0
