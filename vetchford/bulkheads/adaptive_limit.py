"""How many calls below a pool may have out: found by trial, as a slow answer does not tell why it is slow.

Where calls crowd each other, fewer of them are answered sooner; where what answers them has slowed by itself,
fewer calls only mean less work done. So a rise is met by one cut, on trial: if calls got faster by it the cut
stands, and if not the new pace is taken for the base and the cut is undone. No clock is read here.
"""

import math
from collections.abc import Callable

RISE = 1.4  # of the base: the mean of four calls strays by a third where their times do as widely as they may
HELPED = 0.85  # of the time before the cut: a queue of ours would have shrunk to 0.7
CUT = 0.7  # of the limit on trial: small enough to see a difference, and little is lost for a period
TURNED_AWAY = 0.75  # of the limit after a period with calls turned away, which needs no trial
REST = 8  # periods from a base learnt anew to the next trial: at 0.7 for one in eight, 4 % is lost
LEAST = 100.0  # ms of a period: several sweeps
ENOUGH = 4  # calls that a period needs, fewer where the limit is lower


class AdaptiveLimit:
    """The calls one pool may have out. Never under 1, so that one call shows when it is well again."""

    def __init__(self, most: float, told: Callable[[str, float], None]) -> None:
        """`told` hears of each turn: "trial", "kept", "undone", "turned_away", "silent", "restored"."""
        self.most, self.told = most, told
        self.limit = min(most, 4.0)  # a start: a few calls at once, and doubling from there
        self.base = 0.0  # ms of a call that does not wait for others of ours; 0: not known
        self.recent = 0.0  # ms of calls of late, for whoever waits in line
        self.aim = most  # up to which the limit doubles; beyond it grows by one
        self.trial: tuple[float, float] | None = None  # limit and time before the cut that is on trial
        self.cut_at = -math.inf  # ms: calls from before it tell nothing of it
        self.rest = 0  # periods to the next trial
        self.since = -math.inf  # ms: when the period began
        self.clear()

    def clear(self) -> None:
        self.answered, self.took, self.away, self.lost, self.used = 0, 0.0, 0, 0, False

    def busy(self) -> None:
        """The limit was what kept a call waiting: only then does it grow."""
        self.used = True

    def ended(self, now: float, took: float | None, turned_away: bool) -> None:
        """A call's end: after `took` ms, or None where no answer came before it was cut."""
        if self.since == -math.inf:
            self.since = now - LEAST
        if turned_away:
            self.away += 1
        elif took is None:
            self.lost += 1
        else:
            self.recent += (0.2 if self.recent else 1.0) * (took - self.recent)
            if self.trial is not None and now - took < self.cut_at:
                return
            self.answered, self.took = self.answered + 1, self.took + took
        seen = self.answered + self.away + self.lost
        if seen >= min(ENOUGH, self.limit) and now - self.since >= LEAST:
            self.step(now)
            self.since = now
            self.clear()

    def step(self, now: float) -> None:
        if not self.answered:
            if self.lost:  # nothing is answered: one call at a time finds out when that changes
                self.aim, self.limit, self.trial = max(self.aim * 0.5, self.limit), 1.0, None
                self.told("silent", 1.0)
            else:
                self.cut(TURNED_AWAY * self.limit, "turned_away")
            return
        mean = self.took / self.answered
        if self.away:
            self.cut(TURNED_AWAY * self.limit, "turned_away")
            self.base = min(self.base or mean, mean)
        elif self.trial is not None:
            self.judge(mean)
        elif self.base and mean > RISE * self.base and self.rest <= 0 and self.limit > 1.0:
            self.trial, self.cut_at, self.aim = (self.limit, mean), now, self.limit
            self.limit = max(1.0, CUT * self.limit)
            self.told("trial", self.limit)
        else:
            self.rest -= 1
            self.base = min(self.base or mean, mean) if self.limit > 1.0 else mean  # alone it is the base
            self.grow()

    def judge(self, mean: float) -> None:
        before, slow = self.trial or (self.limit, mean)
        self.trial = None
        if mean <= HELPED * slow:  # they crowded each other
            self.aim = self.limit  # from here by one
            self.told("kept", self.limit)
            return
        self.base, self.rest = mean, REST
        self.limit = before
        self.told("undone", before)

    def cut(self, to: float, why: str) -> None:
        self.trial = None
        self.limit = self.aim = max(1.0, to)
        self.told(why, self.limit)

    def grow(self) -> None:
        if not self.used or self.limit >= self.most:
            return  # into room that nobody used
        step = self.limit if self.limit < self.aim else 1.0  # slow start, then one by one
        was, self.limit = self.limit, min(self.most, self.limit + step)
        if was < self.aim <= self.limit:
            self.limit = max(was + 1.0, min(self.limit, self.aim))
            self.told("restored", self.limit)
