"""The requests of one server, what they cost as measured, and their priority in the queue."""

from vetchford.admission.concurrency_limits import DependencyConcurrencyLimit, GradientConcurrencyLimit
from vetchford.admission.in_flight_bytes import InFlightBytes
from vetchford.admission.request import AdmissionSettings, Request, RequestClass
from vetchford.admission.slow_start import SlowStart
from vetchford.admission.tenant_quotas import TenantQuotas
from vetchford.admission.worst_class import fade, worst_class_bonus

RECENT_WEIGHT = 0.05
"""Of a run in the recent means."""
RETRY_WEIGHT = 0.4
"""Of a retry over a first attempt, which starts retries when it is rejected."""
MIN_SLOTS = 1.0
MIN_SLOTS_PER_CORE = 3.0
"""Divisor of the cores for the slots that reading leaves to runs."""
SLOT_ROUNDING = 0.2
"""Part of a slot that may lack: a little reading must idle no core."""
READING_WEIGHT = 0.3
"""Of the latest gauge in what is on the cores beside the runs."""
UNCONTENDED_RUNS_PER_CORE = 1.2
"""Runs and reads on each core at its start up to which a run counts for the base time."""
MIN_BASE_RUNS = 8
"""First runs of a class that count for its base time in any case."""
MAX_SLOWDOWN = 8.0
MIN_TIME_MS = 1.0
FLOOR_PER_CORE = 1.0
FLOOR_PER_CORE_UNKNOWN_WORK = 1.5
"""Where no expected work is given: a long run would hold a core against many short ones."""
KNOWN_WORK_ABOVE_MS = 1.0
"""Mean expected work above which clients are known to give it; a request without it counts as one unit."""
SPEED_FACTOR = 0.5
"""Given work is time on a standard core, whose server asks for half."""


class Workload:
    """The requests of a server by state, and the recent means of completed ones.

    Invariant: a request is in at most one of `queued` and `waiting`, and in `requests` until its index is
    released. `running` counts the runs that are on the cores.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        classes: list[RequestClass],
        in_flight: InFlightBytes,
        dependency: DependencyConcurrencyLimit | None,
        tenants: TenantQuotas,
    ) -> None:
        """Start with no requests; `dependency` is None where there is nothing to call."""
        self.settings = settings
        self.classes = classes
        self.in_flight = in_flight
        self.dependency = dependency
        self.tenants = tenants
        self.cores = settings.cores
        self.requests: dict[int, Request] = {}
        """All by index; emptied as indices are released."""
        self.queued: dict[int, Request] = {}
        """Emptied as requests start, are answered or are cancelled."""
        self.waiting: dict[int, Request] = {}
        """Those that wait for a call that is not out; emptied as calls go out or answers do."""
        self.running = 0
        """Runs on the cores."""
        self.reading = 0.0
        """What is on the cores beside the runs."""
        self.slowdown = 1.0
        """Recent run time over that without contention."""
        self.mean_run_time_ms = 0.0
        self.mean_size_bytes = 0.0
        self.mean_work_ms = 0.0
        self.slow_start = SlowStart(settings)
        self.ceiling = min(self.cores, self.slow_start.cold_ceiling)
        """Runs at once, reserves of bulkheads included."""
        self.limit = GradientConcurrencyLimit(self.cores, self.ceiling)
        self.longest_objective_ms = max(kind.latency_objective_ms for kind in classes)

    @property
    def calls_stopped(self) -> bool:
        """Whether the fleet has stopped all calls to the dependency."""
        return self.dependency is not None and self.dependency.usable_fraction == 0.0

    def slots(self) -> float:
        """Return how many requests may run at once: the concurrency limit less what reading takes.

        A third of the cores, and one run at least, goes on: reading that starves the runs comes too late for
        any use.
        """
        return max(MIN_SLOTS, self.cores / MIN_SLOTS_PER_CORE, self.limit.limit - self.reading)

    def slots_full(self, slots: float) -> bool:
        """Return whether no further request may start; the slots are rounded up a little."""
        return self.running + SLOT_ROUNDING > slots

    def priority(self, request: Request) -> float:
        """Return the order of the queue: priority weight over expected work, by tenant quota and attempt."""
        kind = request.request_class
        weight = kind.queue_weight * self.tenants.weight(request.tenant)
        if request.is_retry:
            weight *= RETRY_WEIGHT
        if self.settings.weight_by_work:
            return weight
        return weight / max(MIN_TIME_MS, request.work_ms * kind.service_time_per_unit.value)

    def expected_run_time_ms(self, request: Request) -> float:
        """Return how long a run is expected to take, at the recent contention for the cores."""
        return request.work_ms * request.request_class.service_time_per_unit.value * self.slowdown

    def value(self, request: Request) -> float:
        """Return what an answer within the latency objective earns."""
        work_ms = request.work_ms if self.settings.weight_by_work else 1.0
        return request.request_class.priority_weight * work_ms

    def learn(self, now_ms: float, request: Request, duration_ms: float) -> None:
        """Take in a run that completed `duration_ms` after its start."""
        took_ms = max(MIN_TIME_MS, duration_ms - request.dependency_wait_ms)
        self._learn_class(now_ms, request, took_ms)
        self._learn_contention(request, took_ms)
        self._learn_means(request, took_ms)
        self._update_floor()
        self._update_node_threshold()

    def observe_on_cores(self, on_cores: float | None) -> None:
        """Take in the gauge of all that wants a core: what is beyond the runs is reading."""
        beside_runs = max(0.0, (on_cores or 0.0) - self.running)
        self.reading += READING_WEIGHT * (min(beside_runs, self.cores) - self.reading)

    def forget_contention_if_idle(self) -> None:
        """Let the slowdown fade while nothing runs: no run would show that it has passed."""
        if not self.running:
            self.slowdown += RECENT_WEIGHT * (1.0 - self.slowdown)

    def reweigh_classes(self) -> None:
        """Set the weights by which the queue is ordered: the worst-served class gets a bonus."""
        worst, bonus = worst_class_bonus(self.classes, self.settings.worst_class_weight)
        for kind in self.classes:
            kind.queue_weight = kind.priority_weight * (bonus if kind is worst else 1.0)
            fade(kind)

    def update_ceiling(self, now_ms: float) -> None:
        """Raise the ceiling of the concurrency limit as the server warms up."""
        self.ceiling = self.slow_start.ceiling(now_ms)

    def speed(self) -> float:
        """Return the recent speed of the server, 1 at most: standard work done in the time of a run.

        Where clients give no expected work, the slowdown stands for it.
        """
        if self.mean_work_ms > KNOWN_WORK_ABOVE_MS:
            return min(1.0, SPEED_FACTOR * self.mean_work_ms / self.mean_run_time_ms)
        return min(1.0, 1.0 / self.slowdown)

    def _learn_class(self, now_ms: float, request: Request, took_ms: float) -> None:
        kind = request.request_class
        if now_ms <= request.objective_at_ms and not request.answered:
            kind.achieved += self.value(request)
        base_time = kind.service_time_per_unit
        uncontended = request.concurrency_at_start <= UNCONTENDED_RUNS_PER_CORE * self.cores
        if uncontended or base_time.samples < MIN_BASE_RUNS:  # a base learnt under contention drifts upward
            base_time.add(now_ms, took_ms / request.work_ms)
        kind.learnt_at_ms = now_ms
        kind.dependency_wait_ms += RECENT_WEIGHT * (request.dependency_wait_ms - kind.dependency_wait_ms)
        weight = RECENT_WEIGHT if kind.mean_run_time_ms else 1.0
        kind.mean_run_time_ms += weight * (took_ms - kind.mean_run_time_ms)

    def _learn_contention(self, request: Request, took_ms: float) -> None:
        base_ms = max(MIN_TIME_MS, request.work_ms * request.request_class.service_time_per_unit.value)
        self.limit.observe(base_ms, took_ms)
        self.slowdown += RECENT_WEIGHT * (min(MAX_SLOWDOWN, took_ms / base_ms) - self.slowdown)

    def _learn_means(self, request: Request, took_ms: float) -> None:
        weight = RECENT_WEIGHT if self.mean_run_time_ms else 1.0
        self.mean_run_time_ms += weight * (took_ms - self.mean_run_time_ms)
        self.mean_size_bytes += weight * (request.size_bytes - self.mean_size_bytes)
        self.mean_work_ms += weight * (request.work_ms - self.mean_work_ms)

    def _update_floor(self) -> None:
        """Set the floor of the concurrency limit by whether clients give their expected work."""
        known = self.mean_work_ms > KNOWN_WORK_ABOVE_MS
        self.limit.floor = self.cores * (FLOOR_PER_CORE if known else FLOOR_PER_CORE_UNKNOWN_WORK)

    def _update_node_threshold(self) -> None:
        """Set the bytes that the answer rate clears within the longest latency objective.

        The design's node threshold is a share of memory, but the cores are overloaded long before memory is.
        """
        objectives = 1.0 + self.longest_objective_ms / max(MIN_TIME_MS, self.mean_run_time_ms)
        self.in_flight.clearable_bytes = self.limit.limit * self.mean_size_bytes * objectives
