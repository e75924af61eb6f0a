"""Concurrency limits that follow measured latency, for executing requests and for dependency calls.

The base time of a run or a call is its time without contention.
"""

import math

EQUAL_WEIGHT_RUNS = 64
"""Number of first runs of a class that weigh equally in the mean that is its base time."""
EQUAL_WEIGHT_CALLS = 16
"""Number of first calls that weigh equally in the mean that is the base time of calls."""
BASE_TIME_WINDOW_MS = 60_000.0
MAX_SAMPLE_RATIO = 8.0
"""A run counts as at most this times the mean, so that no expected work that a client gives decides it."""
GRADIENT_PERIOD_MS = 500.0
MIN_SAMPLES = 4
"""Samples that a limit needs to move; with fewer, the period goes on."""
STEP_FRACTION = 0.5
"""Fraction of the distance to its target that a limit moves in one step, to damp outlier periods."""
MIN_MEASURED_MS = 1e-9
CALLS_PER_CORE = 2.0
"""Share of concurrent calls for each core if the settings state no share."""
SINGLE_CALL_SHARE = 1.0
"""A share below this allows one call at a time, with pauses between calls."""
HUNG_CALL_FRACTION = 0.5
"""Fraction of the share, over its period, that a call without an answer may use up."""
MIN_CALL_LIMIT = 1.0
IN_USE_MARGIN = 2
"""A limit counts as in use when fewer calls than this are free: the call that just ended and the next."""


class TimeWeightedAverage:
    """Mean over `BASE_TIME_WINDOW_MS`, weighted by the time between samples; the first samples weigh equally.

    The window is long so that a period of contention hardly changes the base time (docs/design.md).
    """

    def __init__(self, equal_weight_samples: int, max_sample_ratio: float = math.inf) -> None:
        """Weigh the first `equal_weight_samples` samples equally.

        Samples above `max_sample_ratio` times the mean count as that; the first one is not limited.
        """
        self.equal_weight_samples = equal_weight_samples
        self.max_sample_ratio = max_sample_ratio
        self.value = 0.0
        self.samples = 0
        self.updated_at_ms = 0.0

    def add(self, now_ms: float, sample: float) -> None:
        """Add a sample to the mean."""
        if self.samples:
            sample = min(sample, self.max_sample_ratio * self.value)
        self.samples += 1
        if self.samples <= self.equal_weight_samples:
            weight = 1.0 / self.samples
        else:
            weight = min(1.0, (now_ms - self.updated_at_ms) / BASE_TIME_WINDOW_MS)
        self.value += weight * (sample - self.value)
        self.updated_at_ms = now_ms


class GradientConcurrencyLimit:
    """A concurrency limit between a floor and a ceiling that follows the latency gradient.

    Each `GRADIENT_PERIOD_MS` the limit moves towards limit * (base / measured) + sqrt(limit): the more
    latency exceeds the base time, the lower the target (docs/design.md). The ratio is that of the summed
    times, so that runs count by their duration: if each run counted alike, the shortest would determine the
    limit where no expected work is given.
    """

    def __init__(self, floor: float, start: float) -> None:
        """Start at `start`; the limit never falls below `floor`."""
        self.floor = floor
        self.limit = start
        self.next_step_ms = 0.0
        self.in_use = False
        """Whether the limit was reached in this period; a limit that was not reached does not grow."""
        self.base_ms = 0.0
        self.measured_ms = 0.0
        self.samples = 0

    def observe(self, base_ms: float, measured_ms: float) -> None:
        """Count one run or call by its base time and its measured time."""
        self.base_ms += base_ms
        self.measured_ms += measured_ms
        self.samples += 1

    def step(self, now_ms: float, ceiling: float, may_cut: bool, may_grow: bool) -> None:
        """Move the limit if a period is over, and keep it between floor and ceiling.

        Args:
            now_ms: Time of the controller's clock.
            ceiling: Highest limit.
            may_cut: Whether measured latency may lower the limit.
            may_grow: Whether the limit may rise.
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
    """Limits dependency calls, abandoned ones included, to this server's share of the dependency's capacity.

    Invariant: when a call starts, `in_flight` plus the abandoned calls that may still run never exceeds
    `limit()`. Requests that wait for a call take none of the slots for runs; only this limit restricts them
    (docs/design.md).
    """

    def __init__(self, share: float | None, share_period_ms: float, linger_ms: float, cores: int) -> None:
        """Start without calls in flight.

        Args:
            share: Mean concurrent calls over `share_period_ms`; None if the settings state no share.
            share_period_ms: Period over which the share is averaged.
            linger_ms: How long an abandoned call may continue to load the dependency.
            cores: Cores of this server.
        """
        self.share = CALLS_PER_CORE * cores if share is None else share
        self.share_period_ms = share_period_ms
        self.linger_ms = linger_ms
        self.no_calls_until_ms = 0.0
        self.usable_fraction = 1.0
        """Fraction of the share that may be used, as the fleet measures; 0: no call may start."""
        self.min_call_time_ms = 0.0
        """Time of a call as the fleet measures; 0: no slowdown is known, infinite: calls are not answered."""
        self.max_call_time_ms = self._max_call_time_ms()
        self.gradient = GradientConcurrencyLimit(MIN_CALL_LIMIT, max(1.0, self.share))
        self.base_time_ms = TimeWeightedAverage(EQUAL_WEIGHT_CALLS)
        self.in_flight = 0
        self.abandoned_call_ends_ms: list[float] = []
        """Times until which abandoned calls may still load the dependency; past times are removed."""

    def may_call(self, now_ms: float) -> bool:
        """Return whether one more call may start."""
        self.abandoned_call_ends_ms = [end_ms for end_ms in self.abandoned_call_ends_ms if end_ms > now_ms]
        if self.usable_fraction <= 0.0 or now_ms < self.no_calls_until_ms:
            return False
        return self.in_flight + len(self.abandoned_call_ends_ms) + 1 <= self.limit()

    def limit(self) -> float:
        """Return the highest number of concurrent calls, including abandoned calls that may still run."""
        return max(MIN_CALL_LIMIT, min(self.share * self.usable_fraction, self.gradient.limit))

    def call_ended(self, now_ms: float, took_ms: float | None) -> None:
        """Count a call as ended: answered after `took_ms`, or abandoned (None)."""
        self.in_flight -= 1
        if self.share < SINGLE_CALL_SHARE:
            self._delay_next_call(now_ms, took_ms)
        if took_ms is None:
            self.abandoned_call_ends_ms.append(now_ms + self.linger_ms)
        else:
            self._adapt(now_ms, took_ms)

    def apply_fleet_signals(self, call_slowdown: float, call_capacity: float) -> None:
        """Apply what the fleet measures: time of a call over its usual time, usable fraction of the share."""
        self.usable_fraction = call_capacity
        slow_ms = self.base_time_ms.value * call_slowdown if call_slowdown > 1.0 else 0.0
        self.min_call_time_ms = math.inf if call_capacity == 0.0 else slow_ms

    def _max_call_time_ms(self) -> float:
        """Return the longest duration of a call.

        Duration is limited only if the share is below one call, so that one call without an answer does not
        use up the share.
        """
        if self.share < SINGLE_CALL_SHARE:
            return HUNG_CALL_FRACTION * self.share * self.share_period_ms
        return math.inf

    def _delay_next_call(self, now_ms: float, took_ms: float | None) -> None:
        """Allow no call for as long as keeps the mean of concurrent calls within the share."""
        delay_ms = self.share_period_ms if took_ms is None else took_ms / self.share
        self.no_calls_until_ms = now_ms + delay_ms

    def _adapt(self, now_ms: float, took_ms: float) -> None:
        self.base_time_ms.add(now_ms, took_ms)
        self.gradient.observe(self.base_time_ms.value, took_ms)
        if self.in_flight + IN_USE_MARGIN > self.gradient.limit:
            self.gradient.in_use = True
        self.gradient.step(now_ms, max(1.0, self.share), True, True)
