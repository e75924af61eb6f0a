"""A limit on a bulkhead's concurrent calls that finds by trial why calls have become slow.

If calls compete with each other, fewer concurrent calls are answered faster. If the dependency itself is
slower, fewer calls only mean less work done. So when calls become slower, the limit is lowered once on trial:
if calls then get faster, the lower limit is kept; if not, the new duration becomes the base and the limit is
restored. No I/O, no clock.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

TRIAL_DURATION_RATIO = 1.4
"""Ratio of call duration to the base above which a trial begins."""
KEPT_DURATION_RATIO = 0.85
"""Ratio of call duration to that before the trial up to which the lower limit is kept."""
TRIAL_LIMIT_FACTOR = 0.7
"""Factor on the limit for a trial."""
REJECTED_LIMIT_FACTOR = 0.75
"""Factor on the limit after a period with rejected calls."""
RESTORED_LIMIT_FACTOR = 0.5
"""Factor on the slow-start threshold after a period without answers; below it the limit doubles."""
PERIODS_BETWEEN_TRIALS = 8
MIN_PERIOD_MS = 100.0
MIN_CALLS_PER_PERIOD = 4
"""Calls that a period needs, or as many as the limit if that is lower."""
MIN_LIMIT = 1.0
"""One call at a time is always allowed, to detect when the dependency recovers."""
INITIAL_LIMIT = 4.0
RECENT_WEIGHT = 0.2
"""Weight of the latest call in the recent mean."""


class LimitChange(StrEnum):
    """Why a limit changed; the values are parts of metric names."""

    TRIAL = "trial"
    KEPT = "kept"
    UNDONE = "undone"
    REJECTED = "rejected"
    UNANSWERED = "unanswered"
    RESTORED = "restored"


@dataclass(slots=True)
class Period:
    """Calls that ended in one period."""

    answered: int = 0
    total_ms: float = 0.0
    """Total duration of the answered calls."""
    rejected: int = 0
    unanswered: int = 0
    limit_reached: bool = False
    """Whether a call had to wait because of the limit."""

    def calls_ended(self) -> int:
        """Return the number of calls."""
        return self.answered + self.rejected + self.unanswered

    def mean_ms(self) -> float:
        """Return the mean duration of the answered calls, of which there must be at least one."""
        return self.total_ms / self.answered


class Trial(NamedTuple):
    """The limit and the mean call duration before a trial."""

    limit: float
    mean_ms: float


class AdaptiveLimit:
    """The limit on the concurrent calls of one bulkhead. Used only on the thread that owns the controller."""

    def __init__(self, maximum: float, on_change: Callable[[LimitChange, float], None]) -> None:
        """Call `on_change` with the reason and the limit at each `LimitChange`, on the thread of the call."""
        self.maximum = maximum
        self.on_change = on_change
        self.limit = min(maximum, INITIAL_LIMIT)
        self.base_ms = 0.0  # duration of a call that does not compete with others of this server; 0: unknown
        self.recent_time_ms = 0.0  # recent mean call duration, for estimates of queue delays
        self.slow_start_threshold = maximum  # below it the limit doubles, above it the limit grows by one
        self.trial: Trial | None = None
        self.trial_started_at_ms = -math.inf  # start of the trial; calls that began earlier are ignored
        self.periods_until_trial = 0
        self.period_start_ms = -math.inf
        self.period = Period()

    def cap(self, maximum: float) -> None:
        """Lower the maximum, before the first call."""
        self.maximum = min(self.maximum, maximum)
        self.limit = min(self.limit, self.maximum)
        self.slow_start_threshold = self.maximum

    def limit_reached(self) -> None:
        """Note that the limit made a call wait; a limit that is never reached does not grow."""
        self.period.limit_reached = True

    def call_ended(self, now_ms: float, took_ms: float | None, rejected: bool) -> None:
        """Count a call that ended after `took_ms` or without an answer (None); `rejected`: it never ran."""
        if self.period_start_ms == -math.inf:
            self.period_start_ms = now_ms - MIN_PERIOD_MS
        if rejected:
            self.period.rejected += 1
        elif took_ms is None:
            self.period.unanswered += 1
        else:
            self._update_recent_time(took_ms)
            if self.trial is not None and now_ms - took_ms < self.trial_started_at_ms:
                return
            self.period.answered += 1
            self.period.total_ms += took_ms
        if self._is_period_over(now_ms):
            self._end_period(now_ms)
            self.period_start_ms = now_ms
            self.period = Period()

    def _update_recent_time(self, took_ms: float) -> None:
        weight = RECENT_WEIGHT if self.recent_time_ms else 1.0
        self.recent_time_ms += weight * (took_ms - self.recent_time_ms)

    def _is_period_over(self, now_ms: float) -> bool:
        """Return whether the period has lasted long enough and enough of its calls have ended."""
        has_calls = self.period.calls_ended() >= min(MIN_CALLS_PER_PERIOD, self.limit)
        return has_calls and now_ms - self.period_start_ms >= MIN_PERIOD_MS

    def _end_period(self, now_ms: float) -> None:
        """Update the limit from the calls of the period; each branch is one rule."""
        if not self.period.answered:
            self._end_period_without_answers()
            return
        mean_ms = self.period.mean_ms()
        if self.period.rejected:
            self._lower_limit(REJECTED_LIMIT_FACTOR * self.limit, LimitChange.REJECTED)
            self._lower_base(mean_ms)
        elif self.trial is not None:
            self._evaluate_trial(self.trial, mean_ms)
        elif self._needs_trial(mean_ms):
            self._start_trial(now_ms, mean_ms)
        else:
            self.periods_until_trial -= 1
            if self.limit > MIN_LIMIT:
                self._lower_base(mean_ms)
            else:
                self.base_ms = mean_ms  # a single call shows the base duration
            self._grow()

    def _end_period_without_answers(self) -> None:
        """Lower the limit a little if all calls were rejected, and to one call if some were unanswered."""
        if not self.period.unanswered:
            self._lower_limit(REJECTED_LIMIT_FACTOR * self.limit, LimitChange.REJECTED)
            return
        self.slow_start_threshold = max(self.slow_start_threshold * RESTORED_LIMIT_FACTOR, self.limit)
        self.limit = MIN_LIMIT
        self.trial = None
        self.on_change(LimitChange.UNANSWERED, MIN_LIMIT)

    def _lower_base(self, mean_ms: float) -> None:
        lowest_ms = self.base_ms or mean_ms
        self.base_ms = min(lowest_ms, mean_ms)

    def _needs_trial(self, mean_ms: float) -> bool:
        """Return whether calls take significantly longer than the base, and the limit can be lowered."""
        is_slower = self.base_ms > 0.0 and mean_ms > TRIAL_DURATION_RATIO * self.base_ms
        return is_slower and self.periods_until_trial <= 0 and self.limit > MIN_LIMIT

    def _start_trial(self, now_ms: float, mean_ms: float) -> None:
        """Lower the limit for one period to find out whether calls compete with each other."""
        self.trial = Trial(self.limit, mean_ms)
        self.trial_started_at_ms = now_ms
        self.slow_start_threshold = self.limit
        self.limit = max(MIN_LIMIT, TRIAL_LIMIT_FACTOR * self.limit)
        self.on_change(LimitChange.TRIAL, self.limit)

    def _evaluate_trial(self, trial: Trial, mean_ms: float) -> None:
        """Keep the lower limit if calls got faster; otherwise restore the limit and update the base."""
        self.trial = None
        if mean_ms <= KEPT_DURATION_RATIO * trial.mean_ms:
            self.slow_start_threshold = self.limit  # from here the limit grows by one
            self.on_change(LimitChange.KEPT, self.limit)
            return
        self.base_ms = mean_ms
        self.periods_until_trial = PERIODS_BETWEEN_TRIALS
        self.limit = trial.limit
        self.on_change(LimitChange.UNDONE, trial.limit)

    def _lower_limit(self, limit: float, reason: LimitChange) -> None:
        self.trial = None
        self.limit = max(MIN_LIMIT, limit)
        self.slow_start_threshold = self.limit
        self.on_change(reason, self.limit)

    def _grow(self) -> None:
        """Double the limit up to the slow-start threshold, then add one; only if the limit was reached."""
        if not self.period.limit_reached or self.limit >= self.maximum:
            return
        before = self.limit
        step = before if before < self.slow_start_threshold else 1.0
        self.limit = min(self.maximum, before + step)
        if before < self.slow_start_threshold <= self.limit:
            self.limit = max(before + 1.0, min(self.limit, self.slow_start_threshold))
            self.on_change(LimitChange.RESTORED, self.limit)
