"""The state of the records service, derived by a state machine from the load reports of the fleet. No I/O.

    HEALTHY     -> SLOW         `is_slow`
    SLOW        -> HEALTHY      `is_no_longer_slow`, or too few servers report
    any         -> UNAVAILABLE  `is_unavailable`; then only holders of the probe lease make calls
    UNAVAILABLE -> RECOVERING   `has_answered_since`, or no server reports a call for PROBE_TIMEOUT_MS
    RECOVERING  -> HEALTHY      after `start_delay_ms` and `ramp_duration_ms`

A server that has not called the service yet goes through the same states as the others. With too few reports
the state stays HEALTHY, so each server decides on its own.
"""

import math
import zlib
from enum import StrEnum
from typing import Any, Protocol

from vetchford.gossip.aggregation import Aggregate, Sample
from vetchford.gossip.load_gossip import LoadGossip
from vetchford.gossip.metrics import MAX_SINCE_LAST_ANSWER_MS, Metric

SLOW_FACTOR = 2.5  # multiple of the usual duration of a call
NO_LONGER_SLOW_FACTOR = 1.7
UNAVAILABLE_LOST_SHARE = 0.85  # share of lost calls in the fleet
NO_ANSWER_MS = 1000.0  # time without an answer to any server
MIN_UNAVAILABLE_MS = 400.0  # about the time until a probe lease is granted
PROBE_TIMEOUT_MS = 6000.0  # without a reported call while UNAVAILABLE
START_SPREAD_MS_PER_SERVER = 2.0
RAMP_MS_PER_SERVER = 4.0
START_FRACTION_STEPS = 1000


class RecordsState(StrEnum):
    """The state of the records service; the values appear in the log."""

    HEALTHY = "healthy"
    SLOW = "slow"
    UNAVAILABLE = "unavailable"
    RECOVERING = "recovering"


class RecordsHealthActions(Protocol):
    """The actions of the state machine."""

    def request_probe_lease(self) -> None:
        """Request a lease to probe the unavailable service, until `release_probe_lease`."""

    def release_probe_lease(self) -> None:
        """Release the probe lease, or stop requesting it."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Count and log an event."""


class RecordsHealth:
    """The state of the records service, as one server derives it from all load reports.

    Not thread-safe: only for the thread that owns the load reports.
    """

    def __init__(self, actions: RecordsHealthActions, name: str, seed: int, reports: LoadGossip) -> None:
        """Start in the state HEALTHY.

        Args:
            actions: Requests the probe lease and logs events.
            name: Name of this server; with `seed` it determines `start_delay_ms`.
            seed: Seed, the same on all servers.
            reports: Load reports of `METRICS`.
        """
        self.actions = actions
        self.reports = reports
        checksum = zlib.crc32(b"%d:%s" % (seed, name.encode()))
        self.start_fraction = checksum % START_FRACTION_STEPS / START_FRACTION_STEPS
        self.state = RecordsState.HEALTHY
        self.state_since_ms = 0.0
        self.last_probe_at_ms = 0.0

    def update(self, now_ms: float, slowdown: Aggregate | None) -> None:
        """Update the state from the current reports.

        Args:
            now_ms: Monotonic time of this server.
            slowdown: Slowdown of the fleet's calls; None if too few servers report it.
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
        """Enter a state; the probe lease is requested or held only in UNAVAILABLE."""
        if state is self.state:
            return
        self.actions.log_event("records_state_changed", state=state, was=self.state, why=reason)
        if self.state is RecordsState.UNAVAILABLE:
            self.actions.release_probe_lease()
        self.state = state
        self.state_since_ms = now_ms
        if state is RecordsState.UNAVAILABLE:
            self.actions.request_probe_lease()

    def start_delay_ms(self) -> float:
        """Return the time from the start of RECOVERING until this server makes calls again.

        It differs between servers, so that they don't all call the service at once.
        """
        return self.start_fraction * START_SPREAD_MS_PER_SERVER * self._fleet_size()

    def ramp_duration_ms(self) -> float:
        """Return the time from this server's first call in RECOVERING until all its calls are made."""
        return RAMP_MS_PER_SERVER * self._fleet_size()

    def recovered_fraction(self, now_ms: float) -> float:
        """Return the part of this server's calls permitted in RECOVERING: a linear ramp from 0 to 1."""
        started_for_ms = now_ms - self.state_since_ms - self.start_delay_ms()
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
        if now_ms - self.state_since_ms >= self.start_delay_ms() + self.ramp_duration_ms():
            self.set_state(now_ms, RecordsState.HEALTHY, "ramp completed")

    def _leave_unavailable(self, now_ms: float) -> None:
        """Enter RECOVERING once a call was answered, or if no server reports any call.

        In the latter case this server may be cut off from the others, so it has to test the service itself.
        """
        unavailable_for_ms = now_ms - self.state_since_ms
        if unavailable_for_ms < MIN_UNAVAILABLE_MS:
            return
        if has_answered_since(self._since_last_answer_ms(now_ms), unavailable_for_ms):
            self.set_state(now_ms, RecordsState.RECOVERING, "a call was answered")
        elif is_probed(self.reports.samples(now_ms, Metric.LOST_CALLS), unavailable_for_ms):
            self.last_probe_at_ms = now_ms
        elif now_ms - max(self.state_since_ms, self.last_probe_at_ms) >= PROBE_TIMEOUT_MS:
            self.set_state(now_ms, RecordsState.RECOVERING, "no server reports a probe")

    def _since_last_answer_ms(self, now_ms: float) -> float:
        """Return the time since the last answer to any server that this server knows of.

        Infinite if no report says when: the longest time that a report can hold stands for any longer one.
        """
        samples = self.reports.samples(now_ms, Metric.SINCE_LAST_ANSWER)
        known = [sample for sample in samples if sample.value < MAX_SINCE_LAST_ANSWER_MS]
        return min((sample.value + sample.age_ms for sample in known), default=math.inf)


def is_slow(slowdown: Aggregate) -> bool:
    """Return whether calls are slower than random variation or a peak in load can explain."""
    return slowdown.value >= SLOW_FACTOR


def is_no_longer_slow(slowdown: Aggregate) -> bool:
    """Return whether calls are normal again; the threshold is below `SLOW_FACTOR` to prevent flapping."""
    return slowdown.value < NO_LONGER_SLOW_FACTOR


def is_unavailable(lost_calls: Aggregate, since_last_answer_ms: float) -> bool:
    """Return whether the service is down: nearly all calls are lost, and none was answered for a while.

    A service that is only slow may lose as many calls, but answers some.
    """
    return lost_calls.value >= UNAVAILABLE_LOST_SHARE and since_last_answer_ms >= NO_ANSWER_MS


def has_answered_since(since_last_answer_ms: float, unavailable_for_ms: float) -> bool:
    """Return whether a call was answered after the service was found unavailable.

    One answer to any server is sufficient, because it is known earlier than a share of calls.
    """
    return since_last_answer_ms < unavailable_for_ms - MIN_UNAVAILABLE_MS


def is_probed(lost_calls: list[Sample], unavailable_for_ms: float) -> bool:
    """Return whether any server reports calls made after the service was found unavailable."""
    return any(sample.age_ms < unavailable_for_ms - MIN_UNAVAILABLE_MS for sample in lost_calls)
