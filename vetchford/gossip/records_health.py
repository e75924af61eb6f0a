"""The state of the records service as the fleet sees it: a state machine over load reports. No I/O.

    HEALTHY     -> SLOW         `is_slow`
    SLOW        -> HEALTHY      `is_no_longer_slow`, or too few servers report
    any         -> UNAVAILABLE  `is_unavailable`; then only holders of the probe lease call
    UNAVAILABLE -> RECOVERING   `has_answered_since`, or no server reports a probe for PROBE_TIMEOUT_MS
    RECOVERING  -> HEALTHY      after `start_delay_ms` and `ramp_duration_ms`

A server that has not called the service yet goes through the same states as the others. Where too few servers
report, nothing leads out of HEALTHY, so each server decides alone.
"""

import math
import zlib
from enum import StrEnum
from typing import Any, Protocol

from vetchford.gossip.aggregation import Aggregate, Sample
from vetchford.gossip.load_gossip import LoadGossip
from vetchford.gossip.metrics import Metric

SLOW_FACTOR = 2.5  # times the usual duration of a call
NO_LONGER_SLOW_FACTOR = 1.7
UNAVAILABLE_LOST_SHARE = 0.85  # of the fleet's calls
NO_ANSWER_MS = 1000.0  # for which no server was answered
MIN_UNAVAILABLE_MS = 400.0  # until a probe lease is granted
PROBE_TIMEOUT_MS = 6000.0
START_SPREAD_MS_PER_SERVER = 2.0
RAMP_MS_PER_SERVER = 4.0
START_FRACTION_STEPS = 1000


class RecordsState(StrEnum):
    """The state of the records service; the values are those of the log."""

    HEALTHY = "healthy"
    SLOW = "slow"
    UNAVAILABLE = "unavailable"
    RECOVERING = "recovering"


class RecordsHealthActions(Protocol):
    """What the state machine acts through."""

    def request_probe_lease(self) -> None:
        """Asks for a lease to probe the unavailable service, until `release_probe_lease`."""

    def release_probe_lease(self) -> None:
        """Gives the lease back, or asks for it no more."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Counts and logs an event."""


class RecordsHealth:
    """The state of the records service, as one server concludes it from the reports of all.

    Not thread-safe: for the thread that owns the load reports.
    """

    def __init__(self, actions: RecordsHealthActions, name: str, seed: int, reports: LoadGossip) -> None:
        """Starts as HEALTHY.

        Args:
            actions: What it acts through.
            name: Of this server; with `seed` it chooses when the server begins to recover.
            seed: The same on all servers.
            reports: Load reports of `METRICS`.
        """
        self.actions = actions
        self.reports = reports
        drawn = zlib.crc32(b"%d:%s" % (seed, name.encode()))
        self.start_fraction = drawn % START_FRACTION_STEPS / START_FRACTION_STEPS
        self.state = RecordsState.HEALTHY
        self.since_ms = 0.0
        self.last_probe_at_ms = 0.0

    def update(self, now_ms: float, slowdown: Aggregate | None) -> None:
        """Goes over to the state that the reports of now call for.

        Args:
            now_ms: Monotonic time of this server.
            slowdown: Of the fleet's calls; None where too few servers report it.
        """
        lost_calls = self.reports.aggregate(now_ms, Metric.LOST_CALLS)
        if self.state is RecordsState.UNAVAILABLE:
            self._leave_unavailable(now_ms)
        elif lost_calls is not None and is_unavailable(lost_calls, self._since_last_answer_ms(now_ms)):
            reason = f"{lost_calls.value:.2f} of the calls of {lost_calls.report_count} servers are lost"
            self.set_state(now_ms, RecordsState.UNAVAILABLE, reason)
        elif self.state is RecordsState.RECOVERING:
            self._leave_recovering(now_ms)
        elif self.state is RecordsState.HEALTHY:
            self._leave_healthy(now_ms, slowdown)
        else:
            self._leave_slow(now_ms, slowdown)

    def set_state(self, now_ms: float, state: RecordsState, reason: str) -> None:
        """Goes over to a state; a probe lease is held or asked for in UNAVAILABLE alone."""
        if state is self.state:
            return
        self.actions.log_event("records_state_changed", state=state, was=self.state, why=reason)
        if self.state is RecordsState.UNAVAILABLE:
            self.actions.release_probe_lease()
        self.state = state
        self.since_ms = now_ms
        if state is RecordsState.UNAVAILABLE:
            self.actions.request_probe_lease()

    def start_delay_ms(self) -> float:
        """Time from the start of RECOVERING until this server calls again.

        Differs from server to server, so that the service is not called by all at once.
        """
        return self.start_fraction * START_SPREAD_MS_PER_SERVER * self._fleet_size()

    def ramp_duration_ms(self) -> float:
        """Time from the first call of this server until all its calls go out."""
        return RAMP_MS_PER_SERVER * self._fleet_size()

    def recovered_fraction(self, now_ms: float) -> float:
        """The part of this server's calls that may go out in RECOVERING, from 0 to 1: a linear ramp."""
        started_for_ms = now_ms - self.since_ms - self.start_delay_ms()
        return min(1.0, max(0.0, started_for_ms / self.ramp_duration_ms()))

    def _fleet_size(self) -> int:
        return 1 + len(self.reports.members)

    def _leave_healthy(self, now_ms: float, slowdown: Aggregate | None) -> None:
        if slowdown is not None and is_slow(slowdown):
            reason = f"calls of {slowdown.report_count} servers take {slowdown.value:.1f} times the usual"
            self.set_state(now_ms, RecordsState.SLOW, reason)

    def _leave_slow(self, now_ms: float, slowdown: Aggregate | None) -> None:
        if slowdown is None:
            self.set_state(now_ms, RecordsState.HEALTHY, "too few servers report")
        elif is_no_longer_slow(slowdown):
            self.set_state(now_ms, RecordsState.HEALTHY, "calls take the usual time")

    def _leave_recovering(self, now_ms: float) -> None:
        if now_ms - self.since_ms >= self.start_delay_ms() + self.ramp_duration_ms():
            self.set_state(now_ms, RecordsState.HEALTHY, "ramp completed")

    def _leave_unavailable(self, now_ms: float) -> None:
        """Recovers once a call was answered, or where no server reports a probe.

        In the latter case this server's links may be cut, so it has to call by itself to find out.
        """
        unavailable_for_ms = now_ms - self.since_ms
        if unavailable_for_ms < MIN_UNAVAILABLE_MS:
            return
        if has_answered_since(self._since_last_answer_ms(now_ms), unavailable_for_ms):
            self.set_state(now_ms, RecordsState.RECOVERING, "a call was answered")
        elif is_probed(self.reports.samples(now_ms, Metric.LOST_CALLS), unavailable_for_ms):
            self.last_probe_at_ms = now_ms
        elif now_ms - max(self.since_ms, self.last_probe_at_ms) >= PROBE_TIMEOUT_MS:
            self.set_state(now_ms, RecordsState.RECOVERING, "no server reports a probe")

    def _since_last_answer_ms(self, now_ms: float) -> float:
        """Time since a call of any server was answered, as far as it is known here."""
        samples = self.reports.samples(now_ms, Metric.SINCE_LAST_ANSWER)
        return min((sample.value + sample.age_ms for sample in samples), default=math.inf)


def is_slow(slowdown: Aggregate) -> bool:
    """Whether calls take so many times their usual duration that it is neither chance nor a busy hour."""
    return slowdown.value >= SLOW_FACTOR


def is_no_longer_slow(slowdown: Aggregate) -> bool:
    """Whether calls take about their usual duration again; below `SLOW_FACTOR`, so the state doesn't flap."""
    return slowdown.value < NO_LONGER_SLOW_FACTOR


def is_unavailable(lost_calls: Aggregate, since_last_answer_ms: float) -> bool:
    """Whether the service is down: nearly all calls are lost, and no server was answered for a while.

    A service that is only slow loses as many calls, but answers some.
    """
    return lost_calls.value >= UNAVAILABLE_LOST_SHARE and since_last_answer_ms >= NO_ANSWER_MS


def has_answered_since(since_last_answer_ms: float, unavailable_for_ms: float) -> bool:
    """Whether a call was answered after the service was found unavailable.

    One answer to any server is enough: it is known sooner than a share of the calls.
    """
    return since_last_answer_ms < unavailable_for_ms - MIN_UNAVAILABLE_MS


def is_probed(lost_calls: list[Sample], unavailable_for_ms: float) -> bool:
    """Whether any server reports on calls that were made after the service was found unavailable."""
    return any(sample.age_ms < unavailable_for_ms - MIN_UNAVAILABLE_MS for sample in lost_calls)
