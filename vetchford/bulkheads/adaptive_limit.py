"""The limit on a bulkhead's concurrent calls, found by trial, as a slow answer does not tell why it is slow.

Where calls compete with each other, fewer of them are answered sooner; where the dependency has slowed by
itself, fewer calls only mean less work done. So a rise is met by one cut, on trial: if calls got faster by it
the cut is kept, and if not the new time is taken for the base and the cut is undone. No clock is read here.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

RISE = 1.4  # of the base: the mean of four calls strays by a third where their times do as widely as they may
HELPED = 0.85  # of the time before the cut: a queue of ours would have shrunk to 0.7
CUT = 0.7  # of the limit on trial: small enough to see a difference, and little is lost for a period
REJECTED_CUT = 0.75  # of the limit after a period with rejected calls, which needs no trial
PERIODS_BETWEEN_TRIALS = 8  # from a base learnt anew: at 0.7 for one in eight, 4 % is lost
MIN_PERIOD = 100.0  # ms: several ticks
MIN_CALLS = 4  # calls that a period needs, fewer where the limit is lower
INITIAL_LIMIT = 4.0  # a few calls at once, and doubling from there
RECENT = 0.2  # weight of a call in the recent mean


class LimitChange(StrEnum):
    """Why a limit moved; the values are parts of the metrics' names."""

    TRIAL = "trial"
    KEPT = "kept"
    UNDONE = "undone"
    REJECTED = "turned_away"
    UNANSWERED = "silent"
    RESTORED = "restored"


@dataclass(slots=True)
class Period:
    """Calls that ended in one period."""

    answered: int = 0
    total_time: float = 0.0
    """Milliseconds, of the answered ones."""
    rejected: int = 0
    unanswered: int = 0
    limit_reached: bool = False
    """Whether the limit kept a call waiting."""


class Trial(NamedTuple):
    """What a cut that is on trial is compared with."""

    limit: float
    mean_time: float


class AdaptiveLimit:
    """The calls one bulkhead may have out; 1 at least, which shows when the dependency recovers."""

    def __init__(self, maximum: float, on_change: Callable[[LimitChange, float], None]) -> None:
        """`on_change` is called with the reason and the new limit, on the thread that reports the call."""
        self.maximum, self.on_change = maximum, on_change
        self.limit = min(maximum, INITIAL_LIMIT)
        self.base_time = 0.0  # ms of a call that does not wait for others of ours; 0: not known
        self.recent_time = 0.0  # recent mean in ms, for estimates of queue delays
        self.slow_start_threshold = maximum  # up to which the limit doubles; beyond it grows by one
        self.trial: Trial | None = None
        self.cut_at = -math.inf  # ms: calls from before it say nothing of it
        self.periods_to_trial = 0
        self.period_start = -math.inf  # ms
        self.period = Period()

    def limit_reached(self) -> None:
        """The limit was what kept a call waiting: only then does it grow."""
        self.period.limit_reached = True

    def call_ended(self, now: float, took: float | None, rejected: bool) -> None:
        """Count a call that ended after `took` ms, or unanswered (None)."""
        if self.period_start == -math.inf:
            self.period_start = now - MIN_PERIOD
        period = self.period
        if rejected:
            period.rejected += 1
        elif took is None:
            period.unanswered += 1
        else:
            self.recent_time += (RECENT if self.recent_time else 1.0) * (took - self.recent_time)
            if self.trial is not None and now - took < self.cut_at:
                return
            period.answered, period.total_time = period.answered + 1, period.total_time + took
        seen = period.answered + period.rejected + period.unanswered
        if seen >= min(MIN_CALLS, self.limit) and now - self.period_start >= MIN_PERIOD:
            self._end_period(now)
            self.period_start, self.period = now, Period()

    def _end_period(self, now: float) -> None:
        if not self.period.answered:
            self._end_period_without_answers()
            return
        mean = self.period.total_time / self.period.answered
        if self.period.rejected:
            self._cut(REJECTED_CUT * self.limit, LimitChange.REJECTED)
            self.base_time = min(self.base_time or mean, mean)
        elif self.trial is not None:
            self._judge_trial(self.trial, mean)
        elif self._rise_needs_trial(mean):
            self._start_trial(now, mean)
        else:
            self.periods_to_trial -= 1
            # A call that is alone shows the base.
            self.base_time = min(self.base_time or mean, mean) if self.limit > 1.0 else mean
            self._grow()

    def _end_period_without_answers(self) -> None:
        if not self.period.unanswered:
            self._cut(REJECTED_CUT * self.limit, LimitChange.REJECTED)
            return
        # One call at a time finds out when the dependency recovers.
        self.slow_start_threshold = max(self.slow_start_threshold * 0.5, self.limit)
        self.limit, self.trial = 1.0, None
        self.on_change(LimitChange.UNANSWERED, 1.0)

    def _rise_needs_trial(self, mean: float) -> bool:
        risen = self.base_time > 0.0 and mean > RISE * self.base_time
        return risen and self.periods_to_trial <= 0 and self.limit > 1.0

    def _start_trial(self, now: float, mean: float) -> None:
        self.trial, self.cut_at, self.slow_start_threshold = Trial(self.limit, mean), now, self.limit
        self.limit = max(1.0, CUT * self.limit)
        self.on_change(LimitChange.TRIAL, self.limit)

    def _judge_trial(self, trial: Trial, mean: float) -> None:
        self.trial = None
        if mean <= HELPED * trial.mean_time:  # they competed with each other
            self.slow_start_threshold = self.limit  # from here by one
            self.on_change(LimitChange.KEPT, self.limit)
            return
        self.base_time, self.periods_to_trial = mean, PERIODS_BETWEEN_TRIALS
        self.limit = trial.limit
        self.on_change(LimitChange.UNDONE, trial.limit)

    def _cut(self, limit: float, reason: LimitChange) -> None:
        self.trial = None
        self.limit = self.slow_start_threshold = max(1.0, limit)
        self.on_change(reason, self.limit)

    def _grow(self) -> None:
        if not self.period.limit_reached or self.limit >= self.maximum:
            return  # into room that nobody used
        step = self.limit if self.limit < self.slow_start_threshold else 1.0
        before, self.limit = self.limit, min(self.maximum, self.limit + step)
        if before < self.slow_start_threshold <= self.limit:
            self.limit = max(before + 1.0, min(self.limit, self.slow_start_threshold))
            self.on_change(LimitChange.RESTORED, self.limit)
