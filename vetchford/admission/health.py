"""Whether this server is ready, overloaded, stalled or draining."""

import math

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.workload import Workload

OVERLOADED_ABOVE = 0.8
"""Wait to be read over the latency objective from which a ready server is overloaded."""
RECOVERED_BELOW = 0.2
"""The same ratio, down to which an overloaded server stays so."""
STALL_AFTER_MS = 1500.0
STALL_AFTER_RUNS = 4.0
"""Mean run times without progress that a stall takes at least."""
DRAIN_MARGIN_MS = 20.0
"""In a drain the last deadline is so long before all answers are due: several rounds of events."""
READ_DELAY_FADE = 0.9
"""Factor on the read delay for each tick without a backlog of reading."""
READING_BACKLOG = 1.0
"""Cores' worth of reading above which requests may wait unread."""
READ_DELAY_WEIGHT = 0.05
"""Weight of an arrival in the recent read delay."""


class Health:
    """Readiness as health checks see it, and the times of a graceful shutdown.

    Readiness is published whenever it changes, and only then.
    """

    def __init__(self, actions: AdmissionActions, workload: Workload) -> None:
        """Start ready; `workload` says how many requests run."""
        self.actions = actions
        self.workload = workload
        self.stalled = False
        """All slots are taken and no run makes progress."""
        self.ready = True
        """As published last."""
        self.last_progress_at_ms = 0.0
        self.notice_at_ms = math.inf
        """When the termination notice came."""
        self.latest_deadline_ms = math.inf
        """Deadlines are cut to this time; infinite before the termination notice."""
        self.read_delay_ratio = 0.0
        """Recent wait to be read over the latency objective."""

    def request_read(self, queued_for_ms: float, latency_objective_ms: float) -> None:
        """Take in how long an arriving request had waited unread."""
        ratio = queued_for_ms / max(1.0, latency_objective_ms)
        self.read_delay_ratio += READ_DELAY_WEIGHT * (ratio - self.read_delay_ratio)

    def run_joined(self, now_ms: float) -> None:
        """Note that a run has come onto the cores; the first one starts the clock of a stall."""
        if self.workload.running == 1:
            self.last_progress_at_ms = now_ms

    def run_left(self, now_ms: float) -> None:
        """Note that a run has left the cores, which ends a stall."""
        self.last_progress_at_ms = now_ms
        self.stalled = False
        self.update_readiness()

    def start_draining(self, now_ms: float, answers_due_at_ms: float) -> None:
        """Note the termination notice; all answers are due by `answers_due_at_ms`."""
        self.notice_at_ms = now_ms
        self.latest_deadline_ms = answers_due_at_ms - DRAIN_MARGIN_MS
        self.update_readiness()

    def on_tick(self, now_ms: float) -> None:
        """Look for a stall, let the read delay fade and judge readiness."""
        if self.makes_no_progress(now_ms):
            self.stalled = True
        if self.workload.reading <= READING_BACKLOG:
            self.read_delay_ratio *= READ_DELAY_FADE
        self.update_readiness()

    def is_past_drain_grace(self, arrived_at_ms: float) -> bool:
        """Return whether a request arrived too late in a drain to be admitted."""
        return arrived_at_ms > self.notice_at_ms + self.workload.settings.drain_grace_ms

    def makes_no_progress(self, now_ms: float) -> bool:
        """Return whether all slots are taken and no run has left the cores for too long: a stall.

        Queued requests then have no chance, and are better sent to another server at once. The runs are
        compared with the concurrency limit, or with the cores where those are fewer, and not with
        `Workload.slots`: what reading takes from the slots does not count here.
        """
        load = self.workload
        patience_ms = max(STALL_AFTER_MS, STALL_AFTER_RUNS * load.mean_run_time_ms)
        if now_ms - self.last_progress_at_ms <= patience_ms:
            return False
        return load.running >= min(load.limit.limit, load.cores)

    def is_overloaded(self) -> bool:
        """Return whether requests are read too late for an answer in time.

        The two bounds lie apart, so that readiness does not flap.
        """
        bound = OVERLOADED_ABOVE if self.ready else RECOVERED_BELOW
        return self.read_delay_ratio > bound

    def update_readiness(self) -> None:
        """Publish readiness where it has changed: not stalled, not overloaded and not draining."""
        ready = not self.stalled and not self.is_overloaded() and self.notice_at_ms == math.inf
        if ready != self.ready:
            self.ready = ready
            self.actions.set_readiness(ready)
