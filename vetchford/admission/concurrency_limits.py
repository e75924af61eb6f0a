"""Concurrency limits by measured latency: of executing requests and of calls to the dependency."""

import math

RUNS_BY_COUNT, CALLS_BY_COUNT = 64, 16  # calls differ little, and a slow spell may come early
PERIOD = 500.0  # ms: some runs on every core, and many decisions in ten seconds


class TimeWeightedAverage:
    """Mean over a minute by time, lest a slow spell pass for the normal; first, `by_count` samples alike."""

    def __init__(self, by_count: int) -> None:
        self.by_count, self.value, self.samples, self.updated_at = by_count, 0.0, 0, 0.0

    def add(self, now_ms: float, sample: float) -> None:
        self.samples += 1
        by_time = min(1.0, (now_ms - self.updated_at) / 60_000.0)
        weight = 1.0 / self.samples if self.samples <= self.by_count else by_time
        self.value, self.updated_at = self.value + weight * (sample - self.value), now_ms


class GradientConcurrencyLimit:
    """limit * (base / measured) + sqrt(limit), stepped once a period between a floor and a ceiling."""

    def __init__(self, floor: float, start: float) -> None:
        self.floor, self.limit, self.next_step = floor, start, 0.0
        self.base, self.measured, self.samples, self.in_use = 0.0, 0.0, 0, False  # of the period

    def observe(self, base: float, measured: float) -> None:
        self.base, self.measured, self.samples = self.base + base, self.measured + measured, self.samples + 1

    def step(self, now_ms: float, ceiling: float, may_cut: bool, may_grow: bool) -> None:
        if now_ms >= self.next_step and self.samples >= 4:  # fewer say nothing, and are carried on
            # Averaged by time: by count the shortest runs rule it where no work is given, and it never cuts.
            ratio = min(1.0, self.base / max(self.measured, 1e-9)) if may_cut else 1.0
            target = self.limit * ratio + math.sqrt(self.limit)
            if target < self.limit or self.in_use and may_grow:  # no growth into room that nobody used;
                self.limit += 0.5 * (target - self.limit)  # one odd period moves it by half only
            self.base, self.measured, self.samples, self.in_use = 0.0, 0.0, 0, False
            self.next_step = now_ms + PERIOD
        self.limit = min(max(self.floor, self.limit), ceiling)


class DependencyConcurrencyLimit:
    """Calls out and abandoned ones stay under this server's share of what the dependency survives."""

    def __init__(self, share: float | None, share_period_ms: float, linger_ms: float, cores: int) -> None:
        """`share`: mean concurrent calls over `share_period_ms`; `linger_ms`: an abandoned call may go on."""
        self.share = 2.0 * cores if share is None else share  # none given: two sets of runs may wait on calls
        self.share_period_ms, self.linger_ms, self.rest_until_ms = share_period_ms, linger_ms, 0.0
        self.usable_fraction, self.min_call_time_ms = 1.0, 0.0  # of the share; ms; both as the fleet measures
        self.max_call_time_ms = (
            0.5 * self.share * share_period_ms if self.share < 1.0 else math.inf
        )  # hung: half of it
        self.gradient = GradientConcurrencyLimit(1.0, max(1.0, self.share))
        self.base_time_ms, self.in_flight = TimeWeightedAverage(CALLS_BY_COUNT), 0
        self.lingering: list[float] = []  # ends of abandoned calls; emptied as they pass

    def may_call(self, now_ms: float) -> bool:
        self.lingering = [end for end in self.lingering if end > now_ms]
        usable = self.usable_fraction > 0.0 and now_ms >= self.rest_until_ms
        return usable and self.in_flight + len(self.lingering) + 1 <= self.limit()

    def limit(self) -> float:
        return max(1.0, min(self.share * self.usable_fraction, self.gradient.limit))

    def ended(self, now_ms: float, took_ms: float | None) -> None:
        """Count a call back that was answered after `took` ms, or abandoned (None)."""
        self.in_flight -= 1
        if self.share < 1.0:  # one at a time, with rests that keep the mean under the share
            self.rest_until_ms = now_ms + (self.share_period_ms if took_ms is None else took_ms / self.share)
        if took_ms is None:
            self.lingering.append(now_ms + self.linger_ms)
            return
        self.base_time_ms.add(now_ms, took_ms)
        self.gradient.observe(self.base_time_ms.value, took_ms)
        self.gradient.in_use |= self.in_flight + 2 > self.gradient.limit
        self.gradient.step(now_ms, max(1.0, self.share), True, True)
