"""Whether this server is ready, overloaded, stalled or draining."""

import math

from vetchford.admission.health_state import HealthState


class Health(HealthState):
    """Readiness as health checks see it, and the times of a graceful shutdown."""

    def judge(self) -> None:
        overloaded = self.read_delay_ratio > (0.8 if self.ready else 0.2)  # what is read then comes too late
        ready = not self.stalled and not overloaded and self.notice_at_ms == math.inf
        if ready != self.ready:
            self.ready = ready
            self.actions.set_readiness(ready)

    def run_joined(self, now_ms: float) -> None:
        self.last_progress_at_ms = now_ms if self.workload.running == 1 else self.last_progress_at_ms

    def run_left(self, now_ms: float) -> None:
        self.last_progress_at_ms, self.stalled = now_ms, False
        self.judge()

    def start_draining(self, now_ms: float, kill_at_ms: float) -> None:
        self.notice_at_ms, self.kill_at_ms = (
            now_ms,
            kill_at_ms - 20.0,
        )  # ms: several rounds of events to spare
        self.judge()

    def on_tick(self, now_ms: float) -> None:
        load = self.workload
        if now_ms - self.last_progress_at_ms > max(
            1500.0, 4.0 * load.mean_run_time_ms
        ):  # with all slots: no chance
            self.stalled |= load.running >= min(load.limit.limit, load.cores)
        self.read_delay_ratio *= 1.0 if load.reading > 1.0 else 0.9  # nothing is left unread
        self.judge()
