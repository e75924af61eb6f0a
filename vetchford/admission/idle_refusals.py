"""Detects that free cores refuse all requests, or all of one class, as what was learned can't be true."""

import math

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.health import Health
from vetchford.admission.rejection import RejectionReason
from vetchford.admission.retry_objective import RetryObjective
from vetchford.admission.workload import Workload

MAX_REFUSAL_MS = 2000.0
"""How long a server with free cores may refuse all requests, or all of one class."""
ESTIMATE_REASONS = (
    RejectionReason.LATENCY_OBJECTIVE,
    RejectionReason.NODE_BYTES,
    RejectionReason.CLIENT_BYTES,
)
"""Reasons that rest on estimates. Memory, deadlines, stalls and drains are facts."""


class RefusalPeriod:
    """The refusals since a request was last admitted."""

    def __init__(self) -> None:
        """Start without refusals."""
        self.since_ms = math.inf
        """Time of the first refusal; infinite without one."""
        self.count = 0

    def refused(self, now_ms: float) -> None:
        """Count a refusal."""
        self.since_ms = min(self.since_ms, now_ms)
        self.count += 1

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether the period is longer than `MAX_REFUSAL_MS`."""
        return now_ms - self.since_ms > MAX_REFUSAL_MS


class IdleRefusals:
    """Measures for how long a server with free cores has refused all requests, and all of each class.

    Each estimate is corrected by requests that are admitted. If the estimates admit none, nothing corrects
    them, whatever had moved them so far; then they are to be forgotten.
    """

    def __init__(
        self,
        actions: AdmissionActions,
        workload: Workload,
        health: Health,
        retry_objective: RetryObjective,
    ) -> None:
        """Start without refusals; `workload` and `retry_objective` hold what can be forgotten."""
        self.actions = actions
        self.workload = workload
        self.health = health
        self.retry_objective = retry_objective
        self.of_all = RefusalPeriod()
        self.of_class = [RefusalPeriod() for _ in workload.classes]

    def admitted(self, class_index: int) -> None:
        """Note that a request was admitted."""
        self.of_all = RefusalPeriod()
        self.of_class[class_index] = RefusalPeriod()

    def refused(self, now_ms: float, class_index: int, reason: RejectionReason) -> None:
        """Note that an arriving request was refused."""
        if reason in ESTIMATE_REASONS:
            self.of_all.refused(now_ms)
            self.of_class[class_index].refused(now_ms)

    def forget_if_overdue(self, now_ms: float, class_index: int, cores_busy: bool) -> None:
        """Forget what was learned if it refuses all requests, or all of this class, while cores are free.

        Called as a request of the class arrives, before the request is checked.
        """
        if self._are_overdue(now_ms, cores_busy):
            self.workload.forget_measurements()
        elif self._are_overdue_of_class(now_ms, class_index, cores_busy):
            self.workload.classes[class_index].forget_run_times()
        else:
            return
        self.retry_objective.forget_measurements()
        period = self.of_class[class_index]
        self.actions.report_idle_refusals(period.count, now_ms - period.since_ms)
        self.admitted(class_index)

    def _are_overdue(self, now_ms: float, cores_busy: bool) -> bool:
        """Return whether all requests were refused for too long, and the server is idle."""
        if not self.of_all.is_overdue(now_ms) or cores_busy:
            return False
        workload = self.workload
        if workload.running or workload.waiting or workload.calls_stopped:
            return False
        return self._has_free_slots()

    def _are_overdue_of_class(self, now_ms: float, class_index: int, cores_busy: bool) -> bool:
        """Return whether all requests of a class were refused for too long, with cores free for them."""
        return self.of_class[class_index].is_overdue(now_ms) and not cores_busy and self._has_free_slots()

    def _has_free_slots(self) -> bool:
        """Return whether a request could start now: without a queue, a stall or a drain."""
        workload = self.workload
        if workload.queued or workload.slots_full(workload.slots()):
            return False
        return not self.health.stalled and self.health.termination_notice_at_ms == math.inf
