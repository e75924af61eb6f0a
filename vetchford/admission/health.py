"""Whether this server is ready, overloaded, stalled or draining."""

import math

from vetchford.admission.health_state import HealthState


class Health(HealthState):
    """Readiness as health checks see it, and the times of a graceful shutdown."""

    def judge(self) -> None:
        overloaded = self.read_delay > (0.8 if self.ready else 0.2)  # what is read then comes too late
        ready = not self.stalled and not overloaded and self.notice_at == math.inf
        if ready != self.ready:
            self.ready = ready
            self.actions.set_readiness(ready)

    def run_joined(self, now: float) -> None:
        self.last_progress_at = now if self.workload.running == 1 else self.last_progress_at

    def run_left(self, now: float) -> None:
        self.last_progress_at, self.stalled = now, False
        self.judge()

    def start_draining(self, now: float, kill_at: float) -> None:
        self.notice_at, self.kill_at = now, kill_at - 20.0  # ms: several rounds of events to spare
        self.judge()

    def on_tick(self, now: float) -> None:
        load = self.workload
        if now - self.last_progress_at > max(1500.0, 4.0 * load.mean_run_time):  # with all slots: no chance
            self.stalled |= load.running >= min(load.limit.limit, load.cores)
        self.read_delay *= 1.0 if load.reading > 1.0 else 0.9  # nothing is left unread
        self.judge()
