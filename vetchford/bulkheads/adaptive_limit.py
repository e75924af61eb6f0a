"""The limit on a bulkhead's concurrent calls, found by trial, as a slow answer does not tell why it is slow.

Where calls compete with each other, fewer of them are answered sooner; where the dependency has slowed by
itself, fewer calls only mean less work done. So a rise is met by one cut, on trial: if calls got faster by it
the cut is kept, and if not the new duration is taken for the base and the cut is undone. No I/O, no clock.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

RISE_FACTOR = 1.4  # of the base
HELPED_FACTOR = 0.85  # of the duration before the cut
TRIAL_FACTOR = 0.7  # of the limit
REJECTED_FACTOR = 0.75  # of the limit, after a period with rejected calls
RESTORE_FACTOR = 0.5  # of the limit before answers stopped, up to which it doubles again
PERIODS_BETWEEN_TRIALS = 8
MIN_PERIOD_MS = 100.0
MIN_CALLS_PER_PERIOD = 4  # or as many as the limit, where that is lower
MIN_LIMIT = 1.0  # shows when the dependency recovers
INITIAL_LIMIT = 4.0
RECENT_WEIGHT = 0.2  # of the newest call, in the recent mean


class LimitChange(StrEnum):
    """Why a limit moved; the values are parts of the metrics' names."""

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
    """Duration of the answered ones."""
    rejected: int = 0
    unanswered: int = 0
    limit_reached: bool = False
    """Whether the limit kept a call waiting."""

    def ended(self) -> int:
        """The number of calls."""
        return self.answered + self.rejected + self.unanswered

    def mean_ms(self) -> float:
        """The mean duration of the answered calls, of which there must be some."""
        return self.total_ms / self.answered


class Trial(NamedTuple):
    """What a cut that is on trial is compared with."""

    limit: float
    mean_ms: float


class AdaptiveLimit:
    """The calls one bulkhead may have out. Not thread-safe: for the thread that owns the controller."""

    def __init__(self, maximum: float, on_change: Callable[[LimitChange, float], None]) -> None:
        """`on_change` is called with the reason and the new limit, on the thread that reports the call."""
        self.maximum = maximum
        self.on_change = on_change
        self.limit = min(maximum, INITIAL_LIMIT)
        self.base_ms = 0.0  # of a call that does not wait for others of ours; 0: not known
        self.recent_time_ms = 0.0  # recent mean, for estimates of queue delays
        self.slow_start_threshold = maximum  # up to which the limit doubles; beyond it grows by one
        self.trial: Trial | None = None
        self.cut_at_ms = -math.inf  # calls from before it say nothing of the trial
        self.periods_to_trial = 0
        self.period_start_ms = -math.inf
        self.period = Period()

    def cap(self, maximum: float) -> None:
        """Lower the maximum, before the first call."""
        self.maximum = min(self.maximum, maximum)
        self.limit = min(self.limit, self.maximum)
        self.slow_start_threshold = self.maximum

    def limit_reached(self) -> None:
        """The limit was what kept a call waiting: only then does it grow."""
        self.period.limit_reached = True

    def call_ended(self, now_ms: float, took_ms: float | None, rejected: bool) -> None:
        """Count a call that ended after `took_ms`, or unanswered (None); `rejected`: it never ran."""
        if self.period_start_ms == -math.inf:
            self.period_start_ms = now_ms - MIN_PERIOD_MS
        if rejected:
            self.period.rejected += 1
        elif took_ms is None:
            self.period.unanswered += 1
        else:
            self._update_recent_time(took_ms)
            if self.trial is not None and now_ms - took_ms < self.cut_at_ms:
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
        """Whether it has lasted long enough, and calls enough have ended to say something."""
        has_calls = self.period.ended() >= min(MIN_CALLS_PER_PERIOD, self.limit)
        return has_calls and now_ms - self.period_start_ms >= MIN_PERIOD_MS

    def _end_period(self, now_ms: float) -> None:
        """Moves the limit by what the calls of the period show; each branch is one rule."""
        if not self.period.answered:
            self._end_period_without_answers()
            return
        mean_ms = self.period.mean_ms()
        if self.period.rejected:
            self._cut(REJECTED_FACTOR * self.limit, LimitChange.REJECTED)
            self._lower_base(mean_ms)
        elif self.trial is not None:
            self._judge_trial(self.trial, mean_ms)
        elif self._needs_trial(mean_ms):
            self._start_trial(now_ms, mean_ms)
        else:
            self.periods_to_trial -= 1
            if self.limit > MIN_LIMIT:
                self._lower_base(mean_ms)
            else:
                self.base_ms = mean_ms  # a call that is alone shows the base
            self._grow()

    def _end_period_without_answers(self) -> None:
        """Cuts a little where all calls were rejected, and to one at a time where some had no answer."""
        if not self.period.unanswered:
            self._cut(REJECTED_FACTOR * self.limit, LimitChange.REJECTED)
            return
        self.slow_start_threshold = max(self.slow_start_threshold * RESTORE_FACTOR, self.limit)
        self.limit = MIN_LIMIT
        self.trial = None
        self.on_change(LimitChange.UNANSWERED, MIN_LIMIT)

    def _lower_base(self, mean_ms: float) -> None:
        known_ms = self.base_ms or mean_ms
        self.base_ms = min(known_ms, mean_ms)

    def _needs_trial(self, mean_ms: float) -> bool:
        """Whether calls take so much longer than the base that it is not chance, and a cut is possible."""
        has_risen = self.base_ms > 0.0 and mean_ms > RISE_FACTOR * self.base_ms
        return has_risen and self.periods_to_trial <= 0 and self.limit > MIN_LIMIT

    def _start_trial(self, now_ms: float, mean_ms: float) -> None:
        """Cuts the limit for one period, to see whether the calls compete with each other."""
        self.trial = Trial(self.limit, mean_ms)
        self.cut_at_ms = now_ms
        self.slow_start_threshold = self.limit
        self.limit = max(MIN_LIMIT, TRIAL_FACTOR * self.limit)
        self.on_change(LimitChange.TRIAL, self.limit)

    def _judge_trial(self, trial: Trial, mean_ms: float) -> None:
        """Keeps the cut where calls got faster by it; else undoes it, and the new duration is the base."""
        self.trial = None
        if mean_ms <= HELPED_FACTOR * trial.mean_ms:
            self.slow_start_threshold = self.limit  # from here it grows by one
            self.on_change(LimitChange.KEPT, self.limit)
            return
        self.base_ms = mean_ms
        self.periods_to_trial = PERIODS_BETWEEN_TRIALS
        self.limit = trial.limit
        self.on_change(LimitChange.UNDONE, trial.limit)

    def _cut(self, limit: float, reason: LimitChange) -> None:
        self.trial = None
        self.limit = max(MIN_LIMIT, limit)
        self.slow_start_threshold = self.limit
        self.on_change(reason, self.limit)

    def _grow(self) -> None:
        """Doubles the limit up to the slow-start threshold, then adds one; not into room that nobody used."""
        if not self.period.limit_reached or self.limit >= self.maximum:
            return
        before = self.limit
        step = before if before < self.slow_start_threshold else 1.0
        self.limit = min(self.maximum, before + step)
        if before < self.slow_start_threshold <= self.limit:
            self.limit = max(before + 1.0, min(self.limit, self.slow_start_threshold))
            self.on_change(LimitChange.RESTORED, self.limit)
