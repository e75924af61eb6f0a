"""The requests of one server, their measured costs and their priority in the queue."""

import math

from vetchford.admission.concurrency_limits import DependencyConcurrencyLimit, GradientConcurrencyLimit
from vetchford.admission.in_flight_bytes import InFlightBytes
from vetchford.admission.request import AdmissionSettings, Request, RequestClass
from vetchford.admission.slow_start import SlowStart
from vetchford.admission.tenant_quotas import TenantQuotas
from vetchford.admission.worst_class import decay, worst_class_bonus

RECENT_WEIGHT = 0.05
"""Weight of the latest run in the recent means."""
RETRY_WEIGHT = 0.4
"""Weight of a retry over that of a first attempt, whose rejection would cause retries."""
MIN_SLOTS = 1.0
CORES_PER_MIN_SLOT = 3.0
"""Cores per slot that reading leaves to runs in any case."""
SLOT_ROUNDING = 0.2
"""Fraction of a slot that may be missing when a run starts, so that a little reading idles no core."""
READING_WEIGHT = 0.3
"""Weight of the latest gauge in the mean number of cores that read."""
UNCONTENDED_RUNS_PER_CORE = 1.2
"""Runs and reads per core, at the start of a run, up to which the run counts for the base time."""
MIN_BASE_RUNS = 8
"""Number of first runs of a class that count for its base time even under contention."""
MAX_SLOWDOWN = 8.0
MIN_TIME_MS = 1.0
LIMIT_FLOOR_PER_CORE = 1.0
LIMIT_FLOOR_PER_CORE_UNKNOWN_WORK = 1.5
"""Floor if clients give no expected work: a long run could otherwise keep many short ones from a core."""
KNOWN_WORK_ABOVE_MS = 1.0
"""Mean expected work above which clients give it; a request without it counts as `UNKNOWN_WORK_MS`."""
SPEED_OF_STANDARD_CORE = 0.5
"""Speed of a server whose runs take as long as their expected work, the time on a standard core.

The speed is this times expected work over run time, at most 1: a speed of 1 is twice that of a standard core.
"""


class Workload:
    """The requests of a server by state, and recent means over completed runs.

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
        """Start without requests; `dependency` is None if the server has none."""
        self.settings = settings
        self.classes = classes
        self.in_flight = in_flight
        self.dependency = dependency
        self.tenants = tenants
        self.cores = settings.cores
        self.requests: dict[int, Request] = {}
        """All requests by index; each is removed when its index is released."""
        self.queued: dict[int, Request] = {}
        """Requests that wait for a slot; each is removed when it starts, is answered or is cancelled."""
        self.waiting: dict[int, Request] = {}
        """Requests that wait to make a call; each is removed when its call starts or it is answered."""
        self.running = 0
        """Number of runs on the cores."""
        self.cores_reading = 0.0
        """Recent mean number of cores that read requests: tasks on the cores besides the runs."""
        self.slowdown = 1.0
        """Recent mean of run time over base time."""
        self.mean_run_time_ms = 0.0
        self.mean_size_bytes = 0.0
        self.mean_work_ms = 0.0
        self.slow_start = SlowStart(settings)
        self.ceiling = min(self.cores, self.slow_start.cold_ceiling)
        """Highest number of concurrent runs, including those on reserved slots of bulkheads."""
        self.limit = GradientConcurrencyLimit(self.cores, self.ceiling)
        self.longest_objective_ms = max(each.latency_objective_ms for each in classes)

    @property
    def calls_stopped(self) -> bool:
        """Whether the fleet has stopped all calls to the dependency."""
        return self.dependency is not None and self.dependency.usable_fraction == 0.0

    def slots(self) -> float:
        """Return how many requests may run concurrently: the concurrency limit less the cores that read.

        Runs keep at least one slot per `CORES_PER_MIN_SLOT` cores and one in all: if reading took all cores,
        requests would be read but answered too late to be useful.
        """
        return max(MIN_SLOTS, self.cores / CORES_PER_MIN_SLOT, self.limit.limit - self.cores_reading)

    def slots_full(self, slots: float) -> bool:
        """Return whether no further request may start; the slots are rounded up by `SLOT_ROUNDING`."""
        return self.running + SLOT_ROUNDING > slots

    def priority(self, request: Request) -> float:
        """Return the priority in the queue: priority weight over run time, by tenant quota and attempt."""
        request_class = request.request_class
        weight = request_class.queue_weight * self.tenants.weight(request.tenant)
        if request.is_retry:
            weight *= RETRY_WEIGHT
        if self.settings.weight_by_work:
            return weight
        return weight / max(MIN_TIME_MS, request.work_ms * request_class.service_time_per_unit.value)

    def expected_run_time_ms(self, request: Request) -> float:
        """Return how long a run is expected to take under the recent contention for the cores."""
        return request.work_ms * request.request_class.service_time_per_unit.value * self.slowdown

    def value(self, request: Request) -> float:
        """Return the weight in the service goal of an answer within the latency objective."""
        work_ms = request.work_ms if self.settings.weight_by_work else 1.0
        return request.request_class.priority_weight * work_ms

    def add_completed_run(self, now_ms: float, request: Request, duration_ms: float) -> None:
        """Update all means with a run that completed `duration_ms` after its start."""
        took_ms = max(MIN_TIME_MS, duration_ms - request.dependency_wait_ms)
        self._update_class_means(now_ms, request, took_ms)
        self._update_slowdown(request, took_ms)
        self._update_means(request, took_ms)
        self._update_floor()
        self._update_node_threshold()

    def forget_measurements(self) -> None:
        """Forget the measured means, as on a server that has just started."""
        for request_class in self.classes:
            request_class.forget_measurements()
        self.slowdown = 1.0
        self.mean_run_time_ms = 0.0
        self.mean_size_bytes = 0.0
        self.mean_work_ms = 0.0
        self.in_flight.clearable_bytes = math.inf

    def update_cores_reading(self, on_cores: float | None) -> None:
        """Update the cores that read from the gauge of tasks on or waiting for cores, less the runs."""
        tasks_besides_runs = max(0.0, (on_cores or 0.0) - self.running)
        self.cores_reading += READING_WEIGHT * (min(tasks_besides_runs, self.cores) - self.cores_reading)

    def decay_slowdown_if_idle(self) -> None:
        """Decay the slowdown while nothing runs, because no run would show that contention has passed."""
        if not self.running:
            self.slowdown += RECENT_WEIGHT * (1.0 - self.slowdown)

    def update_queue_weights(self) -> None:
        """Update the priority weights that order the queue; the worst-served class gets a bonus."""
        worst, bonus = worst_class_bonus(self.classes, self.settings.worst_class_weight)
        for request_class in self.classes:
            request_class.queue_weight = request_class.priority_weight * (
                bonus if request_class is worst else 1.0
            )
            decay(request_class)

    def update_ceiling(self, now_ms: float) -> None:
        """Raise the ceiling of the concurrency limit as the server warms up."""
        self.ceiling = self.slow_start.ceiling(now_ms)

    def speed(self) -> float:
        """Return the recent speed of the server, at most 1, from expected work over run time.

        If clients give no expected work, the speed is the inverse of the slowdown.
        """
        if self.mean_work_ms > KNOWN_WORK_ABOVE_MS:
            return min(1.0, SPEED_OF_STANDARD_CORE * self.mean_work_ms / self.mean_run_time_ms)
        return min(1.0, 1.0 / self.slowdown)

    def _update_class_means(self, now_ms: float, request: Request, took_ms: float) -> None:
        request_class = request.request_class
        if now_ms <= request.objective_at_ms and not request.answered:
            request_class.achieved_weight += self.value(request)
        base_time = request_class.service_time_per_unit
        uncontended = request.concurrency_at_start <= UNCONTENDED_RUNS_PER_CORE * self.cores
        # Runs under contention would make the base time drift upward.
        if uncontended or base_time.samples < MIN_BASE_RUNS:
            base_time.add(now_ms, took_ms / request.work_ms)
        request_class.last_completed_at_ms = now_ms
        request_class.dependency_wait_ms += RECENT_WEIGHT * (
            request.dependency_wait_ms - request_class.dependency_wait_ms
        )
        weight = RECENT_WEIGHT if request_class.mean_run_time_ms else 1.0
        request_class.mean_run_time_ms += weight * (took_ms - request_class.mean_run_time_ms)

    def _update_slowdown(self, request: Request, took_ms: float) -> None:
        base_ms = max(MIN_TIME_MS, request.work_ms * request.request_class.service_time_per_unit.value)
        self.limit.observe(base_ms, took_ms)
        self.slowdown += RECENT_WEIGHT * (min(MAX_SLOWDOWN, took_ms / base_ms) - self.slowdown)

    def _update_means(self, request: Request, took_ms: float) -> None:
        weight = RECENT_WEIGHT if self.mean_run_time_ms else 1.0
        self.mean_run_time_ms += weight * (took_ms - self.mean_run_time_ms)
        self.mean_size_bytes += weight * (request.size_bytes - self.mean_size_bytes)
        self.mean_work_ms += weight * (request.work_ms - self.mean_work_ms)

    def _update_floor(self) -> None:
        """Set the floor of the concurrency limit by whether clients give expected work."""
        known = self.mean_work_ms > KNOWN_WORK_ABOVE_MS
        self.limit.floor = self.cores * (LIMIT_FLOOR_PER_CORE if known else LIMIT_FLOOR_PER_CORE_UNKNOWN_WORK)

    def _update_node_threshold(self) -> None:
        """Set the node threshold to the bytes that can be answered within the longest latency objective.

        The node threshold in docs/design.md is a share of memory, but the cores are overloaded long before
        memory is.
        """
        objectives = 1.0 + self.longest_objective_ms / max(MIN_TIME_MS, self.mean_run_time_ms)
        self.in_flight.clearable_bytes = self.limit.limit * self.mean_size_bytes * objectives
