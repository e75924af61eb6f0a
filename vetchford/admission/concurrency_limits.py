"""Concurrency limits by measured latency: of executing requests and of calls to the dependency."""

import math

RUNS_BY_COUNT = 64
"""First runs of a class that weigh alike in its base time."""
CALLS_BY_COUNT = 16
"""First calls that weigh alike in their base time."""
BASE_WINDOW_MS = 60_000.0
GRADIENT_PERIOD_MS = 500.0
MIN_SAMPLES = 4
"""Samples that a period needs; fewer are carried on into the next."""
STEP_FRACTION = 0.5
"""Part of the way to its target that a limit moves in one step: one odd period moves it by half only."""
MIN_MEASURED_MS = 1e-9
CALLS_PER_CORE = 2.0
"""Share of concurrent calls for each core where the settings state none."""
SOLE_CALL_SHARE = 1.0
"""A share below this allows one call at a time, with rests between calls."""
HUNG_CALL_FRACTION = 0.5
"""Part of the share, over its period, that a call which hangs may take."""
MIN_CALL_LIMIT = 1.0
IN_USE_MARGIN = 2
"""Calls below its limit from which a limit counts as in use: the one that has just ended and the next."""


class TimeWeightedAverage:
    """Mean over `BASE_WINDOW_MS` by time; of the first samples, each counts alike.

    The long window keeps the base latency what it is without contention (design: "the mean of its runs over a
    long window").
    """

    def __init__(self, by_count: int) -> None:
        """Weigh the first `by_count` samples alike."""
        self.by_count = by_count
        self.value = 0.0
        self.samples = 0
        self.updated_at_ms = 0.0

    def add(self, now_ms: float, sample: float) -> None:
        """Take in a sample."""
        self.samples += 1
        if self.samples <= self.by_count:
            weight = 1.0 / self.samples
        else:
            weight = min(1.0, (now_ms - self.updated_at_ms) / BASE_WINDOW_MS)
        self.value += weight * (sample - self.value)
        self.updated_at_ms = now_ms


class GradientConcurrencyLimit:
    """A limit that follows the gradient of latency between a floor and a ceiling.

    Each `GRADIENT_PERIOD_MS` it moves towards limit * (base / measured) + sqrt(limit) (design: "a
    latency-gradient limit"). The ratio is that of the sums, so that long runs count by their time: by count
    the shortest runs rule it where no expected work is given.
    """

    def __init__(self, floor: float, start: float) -> None:
        """Start at `start`; the limit never falls below `floor`."""
        self.floor = floor
        self.limit = start
        self.next_step_ms = 0.0
        self.in_use = False
        """Whether the limit was reached in the period: it does not grow into room that nobody used."""
        self.base_ms = 0.0
        self.measured_ms = 0.0
        self.samples = 0

    def observe(self, base_ms: float, measured_ms: float) -> None:
        """Count one run or call: its time without contention, and its measured time."""
        self.base_ms += base_ms
        self.measured_ms += measured_ms
        self.samples += 1

    def step(self, now_ms: float, ceiling: float, may_cut: bool, may_grow: bool) -> None:
        """Move the limit where a period is over, and keep it between floor and ceiling.

        Args:
            now_ms: The controller's clock.
            ceiling: Highest limit.
            may_cut: Whether measured latency may lower it.
            may_grow: Whether it may rise.
        """
        if now_ms >= self.next_step_ms and self.samples >= MIN_SAMPLES:
            self._follow_gradient(may_cut, may_grow)
            self._start_period(now_ms)
        self.limit = min(max(self.floor, self.limit), ceiling)

    def _follow_gradient(self, may_cut: bool, may_grow: bool) -> None:
        ratio = min(1.0, self.base_ms / max(self.measured_ms, MIN_MEASURED_MS)) if may_cut else 1.0
        target = self.limit * ratio + math.sqrt(self.limit)
        if target < self.limit or (self.in_use and may_grow):
            self.limit += STEP_FRACTION * (target - self.limit)

    def _start_period(self, now_ms: float) -> None:
        self.base_ms = 0.0
        self.measured_ms = 0.0
        self.samples = 0
        self.in_use = False
        self.next_step_ms = now_ms + GRADIENT_PERIOD_MS


class DependencyConcurrencyLimit:
    """Calls out and abandoned ones stay under this server's share of what the dependency survives.

    Invariant: `in_flight` plus the abandoned calls that may still run never exceeds `limit()` when a call
    goes out. Requests that wait on a call are not counted among the runs (design: "a bound of their own caps
    them").
    """

    def __init__(self, share: float | None, share_period_ms: float, linger_ms: float, cores: int) -> None:
        """Start with no call out.

        Args:
            share: Mean concurrent calls over `share_period_ms`; None where the settings state none.
            share_period_ms: Period over which the share is averaged.
            linger_ms: How long an abandoned call may go on to load the dependency.
            cores: Of this server.
        """
        self.share = CALLS_PER_CORE * cores if share is None else share
        self.share_period_ms = share_period_ms
        self.linger_ms = linger_ms
        self.rest_until_ms = 0.0
        self.usable_fraction = 1.0
        """Of the share, as the fleet measures; 0: no call may go out."""
        self.min_call_time_ms = 0.0
        """As the fleet measures; 0: nothing is known, infinite: calls are not answered."""
        self.max_call_time_ms = self._max_call_time_ms()
        self.gradient = GradientConcurrencyLimit(MIN_CALL_LIMIT, max(1.0, self.share))
        self.base_time_ms = TimeWeightedAverage(CALLS_BY_COUNT)
        self.in_flight = 0
        self.lingering: list[float] = []
        """Ends of abandoned calls (ms); emptied as they pass."""

    def may_call(self, now_ms: float) -> bool:
        """Return whether one more call may go out."""
        self.lingering = [end_ms for end_ms in self.lingering if end_ms > now_ms]
        if self.usable_fraction <= 0.0 or now_ms < self.rest_until_ms:
            return False
        return self.in_flight + len(self.lingering) + 1 <= self.limit()

    def limit(self) -> float:
        """Return the highest number of concurrent calls, abandoned ones that linger included."""
        return max(MIN_CALL_LIMIT, min(self.share * self.usable_fraction, self.gradient.limit))

    def ended(self, now_ms: float, took_ms: float | None) -> None:
        """Count a call back that was answered after `took_ms`, or abandoned (None)."""
        self.in_flight -= 1
        if self.share < SOLE_CALL_SHARE:
            self._rest(now_ms, took_ms)
        if took_ms is None:
            self.lingering.append(now_ms + self.linger_ms)
        else:
            self._adapt(now_ms, took_ms)

    def apply_fleet_signals(self, call_slowdown: float, call_capacity: float) -> None:
        """Take what the fleet measures: time of a call over the usual one, usable part of the share."""
        self.usable_fraction = call_capacity
        slow_ms = self.base_time_ms.value * call_slowdown if call_slowdown > 1.0 else 0.0
        self.min_call_time_ms = math.inf if call_capacity == 0.0 else slow_ms

    def _max_call_time_ms(self) -> float:
        """Return how long a call may last: under a share of one call, one that hangs takes half the share."""
        if self.share < SOLE_CALL_SHARE:
            return HUNG_CALL_FRACTION * self.share * self.share_period_ms
        return math.inf

    def _rest(self, now_ms: float, took_ms: float | None) -> None:
        """Make no call for so long that the mean of concurrent calls keeps to the share."""
        rest_ms = self.share_period_ms if took_ms is None else took_ms / self.share
        self.rest_until_ms = now_ms + rest_ms

    def _adapt(self, now_ms: float, took_ms: float) -> None:
        self.base_time_ms.add(now_ms, took_ms)
        self.gradient.observe(self.base_time_ms.value, took_ms)
        if self.in_flight + IN_USE_MARGIN > self.gradient.limit:
            self.gradient.in_use = True
        self.gradient.step(now_ms, max(1.0, self.share), True, True)
