"""What the requests of one server cost, as measured, and the order of the queue."""

from vetchford.admission.concurrency_limits import GradientConcurrencyLimit
from vetchford.admission.request import Request
from vetchford.admission.workload_state import WorkloadState

RECENT = 0.05  # weight of a run in the recent means: about the last twenty
RETRY_WEIGHT = 0.4  # of a first attempt, which starts retries when it is rejected


class Workload(WorkloadState):
    """The state of all requests, with what the other parts ask of it."""

    def __post_init__(self) -> None:
        # At most half the concurrency survived is started: resumed calls and reading come on top.
        self.cores, survived = self.settings.cores, self.settings.survivable_concurrency
        self.warm_ceiling = max(1.0, 0.5 * self.cores * survived)
        cold = 1.0 + (survived - 1.0) * self.settings.cold_fraction
        self.cold_ceiling = max(1.0, 0.5 * self.cores * cold)
        self.ceiling = min(self.cores, self.cold_ceiling)  # runs at once, reserves included
        self.limit = GradientConcurrencyLimit(self.cores, self.ceiling)
        self.longest_objective_ms = max(kind.latency_objective_ms for kind in self.classes)

    def slots(self) -> float:
        # Reading starved by runs comes too late for any use; a third of the cores, one run at least, goes on.
        return max(1.0, self.cores / 3.0, self.limit.limit - self.reading)

    def slots_full(self, slots: float) -> bool:
        return self.running + 0.2 > slots  # rounded up: a little reading must idle no core

    def priority(self, request: Request) -> float:
        """Priority weight over expected work, which orders the queue."""
        kind, tenant = request.request_class, self.tenants.weight(request.tenant)
        weight = kind.queue_weight * tenant * (RETRY_WEIGHT if request.is_retry else 1.0)
        work_ms = request.work_ms * kind.service_time_per_unit.value
        return weight if self.settings.weight_by_work else weight / max(1.0, work_ms)

    def expected_run_time_ms(self, request: Request) -> float:
        return request.work_ms * request.request_class.service_time_per_unit.value * self.slowdown

    def value(self, request: Request) -> float:
        work_ms = request.work_ms if self.settings.weight_by_work else 1.0
        return request.request_class.priority_weight * work_ms

    def learn(self, now_ms: float, request: Request, duration: float) -> None:
        """Take in a run that completed `duration` ms after its start."""
        kind, base_time_ms = request.request_class, request.request_class.service_time_per_unit
        took_ms = max(1.0, duration - request.dependency_wait_ms)
        if now_ms <= request.objective_at_ms and not request.answered:
            kind.achieved += self.value(request)
        if request.concurrency_at_start <= 1.2 * self.cores or base_time_ms.samples < 8:
            base_time_ms.add(now_ms, took_ms / request.work_ms)  # one learnt under contention drifts upward
        kind.learnt_at_ms = now_ms
        kind.dependency_wait_ms += RECENT * (request.dependency_wait_ms - kind.dependency_wait_ms)
        kind.mean_run_time_ms += (RECENT if kind.mean_run_time_ms else 1.0) * (
            took_ms - kind.mean_run_time_ms
        )
        base = max(1.0, request.work_ms * base_time_ms.value)
        self.limit.observe(base, took_ms)
        self.slowdown += RECENT * (min(8.0, took_ms / base) - self.slowdown)
        part = RECENT if self.mean_run_time_ms else 1.0
        self.mean_run_time_ms += part * (took_ms - self.mean_run_time_ms)
        self.mean_size_bytes += part * (request.size_bytes - self.mean_size_bytes)
        self.mean_work_ms += part * (request.work_ms - self.mean_work_ms)
        # Where no work is given a long run would hold a core against many short ones: 1.5 runs share it.
        self.limit.floor = self.cores * (1.0 if self.mean_work_ms > 1.0 else 1.5)
        objectives = 1.0 + self.longest_objective_ms / max(1.0, self.mean_run_time_ms)
        self.in_flight.clearable_bytes = self.limit.limit * self.mean_size_bytes * objectives

    def reweigh_classes(self) -> None:
        """Raise the worst-served class, which the goal counts on its own, the more the less it asks."""
        worst = min(self.classes, key=lambda kind: kind.achieved / kind.offered)
        offered = sum(kind.offered for kind in self.classes)
        bonus = min(4.0, 1.0 + self.settings.worst_class_weight * offered / worst.offered)
        for kind in self.classes:
            kind.queue_weight = kind.priority_weight * (bonus if kind is worst else 1.0)
            kind.offered, kind.achieved = kind.offered * 0.999, kind.achieved * 0.999  # about a minute

    def update_ceiling(self, now_ms: float) -> None:
        warm = min(1.0, now_ms / max(1.0, self.settings.warm_up_ms))
        self.ceiling = self.cold_ceiling + (self.warm_ceiling - self.cold_ceiling) * warm

    def speed(self) -> float:
        # Given work is time on a standard core, whose server asks for half: odds choose between servers.
        speed = (
            0.5 * self.mean_work_ms / self.mean_run_time_ms
            if self.mean_work_ms > 1.0
            else 1.0 / self.slowdown
        )
        return min(1.0, speed)
