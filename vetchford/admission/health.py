"""Whether this server is ready, overloaded, stalled or draining."""

import math

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.workload import Workload

OVERLOADED_ABOVE = 0.8
"""Ratio of the read delay to the latency objective above which a ready server is overloaded."""
RECOVERED_BELOW = 0.2
"""The same ratio, at or below which an overloaded server is ready again."""
STALL_AFTER_MS = 1500.0
STALL_AFTER_RUNS = 4.0
"""Minimum time without progress before a stall is declared, in mean run times."""
DRAIN_MARGIN_MS = 20.0
"""Time between the last deadline and the time when all answers are due, for several rounds of events."""
READ_DELAY_DECAY = 0.9
"""Factor on the read delay ratio with each tick without a reading backlog."""
READING_BACKLOG_CORES = 1.0
"""Number of cores busy with reading requests above which requests may wait unread."""
READ_DELAY_WEIGHT = 0.05
"""Weight of one arrival in the recent read delay ratio."""


class Health:
    """Readiness as health checks see it, and the times of a graceful shutdown.

    Readiness is published whenever it changes, and only then.
    """

    def __init__(self, actions: AdmissionActions, workload: Workload) -> None:
        """Start as ready; `workload` has the number of runs."""
        self.actions = actions
        self.workload = workload
        self.stalled = False
        """Whether all slots are taken and no run makes progress."""
        self.ready = True
        """The readiness published last."""
        self.last_progress_at_ms = 0.0
        self.termination_notice_at_ms = math.inf
        """Time of the termination notice; infinite before it."""
        self.latest_deadline_ms = math.inf
        """Latest deadline of any request; infinite before the termination notice."""
        self.read_delay_ratio = 0.0
        """Recent read delay, the time that requests waited unread, over the latency objective."""

    def request_read(self, queued_for_ms: float, latency_objective_ms: float) -> None:
        """Count how long an arriving request had waited unread."""
        ratio = queued_for_ms / max(1.0, latency_objective_ms)
        self.read_delay_ratio += READ_DELAY_WEIGHT * (ratio - self.read_delay_ratio)

    def run_entered_cores(self, now_ms: float) -> None:
        """Note that a run is on the cores; the time without progress starts with the first run."""
        if self.workload.running == 1:
            self.last_progress_at_ms = now_ms

    def run_left_cores(self, now_ms: float) -> None:
        """Note that a run has left the cores, which is progress and ends a stall."""
        self.last_progress_at_ms = now_ms
        self.stalled = False
        self.update_readiness()

    def start_draining(self, now_ms: float, answers_due_at_ms: float) -> None:
        """Note the termination notice; all answers are due by `answers_due_at_ms`."""
        self.termination_notice_at_ms = now_ms
        self.latest_deadline_ms = answers_due_at_ms - DRAIN_MARGIN_MS
        self.update_readiness()

    def on_tick(self, now_ms: float) -> None:
        """Detect a stall, decay the read delay ratio and update readiness."""
        if self.makes_no_progress(now_ms):
            self.stalled = True
        if self.workload.cores_reading <= READING_BACKLOG_CORES:
            self.read_delay_ratio *= READ_DELAY_DECAY
        self.update_readiness()

    def is_past_drain_grace(self, arrived_at_ms: float) -> bool:
        """Return whether a request arrived after the grace period of a drain."""
        return arrived_at_ms > self.termination_notice_at_ms + self.workload.settings.drain_grace_ms

    def makes_no_progress(self, now_ms: float) -> bool:
        """Return whether the server is stalled: all slots are taken and no run left the cores for too long.

        Queued requests can't start then, and are better sent to another server at once. The number of runs is
        compared with the concurrency limit, or with the cores if those are fewer, rather than with
        `Workload.slots`, which subtracts the cores that read requests.
        """
        workload = self.workload
        if now_ms - self.last_progress_at_ms <= self.stall_after_ms():
            return False
        return workload.running >= min(workload.limit.limit, workload.cores)

    def stall_after_ms(self) -> float:
        """Return the time within which a run is expected to make progress, even on a busy server."""
        return max(STALL_AFTER_MS, STALL_AFTER_RUNS * self.workload.mean_run_time_ms)

    def is_overloaded(self) -> bool:
        """Return whether requests are read too late to be answered in time.

        The threshold for recovery is lower than that for overload, so that readiness does not flap.
        """
        bound = OVERLOADED_ABOVE if self.ready else RECOVERED_BELOW
        return self.read_delay_ratio > bound

    def update_readiness(self) -> None:
        """Publish readiness if it has changed; a ready server is not stalled, overloaded or draining."""
        ready = not self.stalled and not self.is_overloaded() and self.termination_notice_at_ms == math.inf
        if ready != self.ready:
            self.ready = ready
            self.actions.set_readiness(ready)
