"""What one server does about what all servers report: a few numbers for its admission. No I/O; times in ms.

The records service has four states here, each with the evidence that leads out of it:

    HEALTHY    -> SLOW        the fleet's calls take SLOW_FACTOR times their usual time
    any        -> DEAD        the fleet loses nearly all calls, and nobody was answered for NO_ANSWER_MS;
                              then only the holders of a probe lease call
    DEAD       -> RECOVERING  somebody's call was answered since the service was found dead
    RECOVERING -> HEALTHY     after a ramp that begins at another time on each server, so that the service is
                              not met by all at once

A server that has not called yet acts with the others. Where too few servers report it decides alone: the
signals are as if there were no fleet.
"""

import math
import zlib
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from vetchford.gossip.aggregation import Aggregate
from vetchford.gossip.load_gossip import LoadGossip
from vetchford.gossip.metrics import Metric

SLOW_FACTOR = 2.5  # times the usual: chance and a busy hour stay under 2, a fault is 5 and more
SLOW_OVER_FACTOR = 1.7
DEAD_SHARE = 0.85  # of the calls lost: a service at a tenth of its speed still answers a tenth or more
NO_ANSWER_MS = 1000.0  # without one answer to anybody: a pause of the service is shorter
MIN_DEAD_MS = 400.0  # a probe lease is granted within that where its servers are healthy
PROBE_TIMEOUT_MS = 6000.0  # without a report of anybody's probe; then this server calls: its links may be cut
START_SPREAD_MS = 2.0  # for each server: how far apart they begin to recover
RAMP_MS = 4.0  # for each server: until all its calls go. 200 servers take a second and a half
FULL_SHARE = 0.5  # of requests rejected by the fleet: at over half of them a retry elsewhere is in vain
FULL_OVER_SHARE = 0.3
MAX_RETRY_AFTER_FACTOR = 4.0
PROBE_CAPACITY = 1e-6  # the least capacity there is: one call at a time
PROBE = "probe"  # the name of the lease


class RecordsState(StrEnum):
    """The state of the records service; the values are the words that operators see."""

    HEALTHY = "well"
    SLOW = "slow"
    DEAD = "dead"
    RECOVERING = "opening"


class FleetSignalActions(Protocol):
    """What the policy acts through."""

    def request_probe_lease(self) -> None:
        """Asks for a lease to probe the dead service, until `release_probe_lease`."""

    def release_probe_lease(self) -> None:
        """Gives the lease back, or asks for it no more."""

    def holds_probe_lease(self) -> bool:
        """Whether a lease is held now."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Counts and logs an event."""


@dataclass(frozen=True, slots=True)
class FleetSignals:
    """What admission is to act on; see `AdmissionController.apply_fleet_signals`."""

    call_slowdown: float = 1.0  # times that a call takes longer than usual
    call_capacity: float = 1.0  # part of this server's concurrency of calls; 0: no call goes out
    is_full: bool = False  # the fleet rejects so much that a retry on another server is in vain
    retry_after_factor: float = 1.0


class FleetSignalPolicy:
    """Turns the reports of the fleet into signals; `update` is to be called several times a second."""

    def __init__(self, actions: FleetSignalActions, name: str, seed: int, reports: LoadGossip) -> None:
        """`reports`: of `METRICS`; `seed` and `name` choose when this server begins to recover."""
        self.actions, self.reports = actions, reports
        self.start_fraction = zlib.crc32(b"%d:%s" % (seed, name.encode())) % 1000 / 1000.0
        self.state, self.since = RecordsState.HEALTHY, 0.0
        self.is_full = False
        self.last_probe_at = 0.0

    def update(self, now: float) -> FleetSignals:
        """The signals that hold from now on."""
        slowdown = self.reports.aggregate(now, Metric.CALL_SLOWDOWN)
        self._update_state(now, slowdown)
        retry_after_factor = self._update_full(now)
        is_slow = slowdown is not None and self.state is RecordsState.SLOW
        call_slowdown = max(1.0, slowdown.value) if is_slow and slowdown is not None else 1.0
        return FleetSignals(call_slowdown, self._call_capacity(now), self.is_full, retry_after_factor)

    def set_state(self, now: float, state: RecordsState, reason: str) -> None:
        """Goes over to a state; a probe lease is wanted in DEAD alone."""
        if state is self.state:
            return
        self.actions.log_event("records_state_changed", state=state, was=self.state, why=reason)
        if self.state is RecordsState.DEAD:
            self.actions.release_probe_lease()
        self.state, self.since = state, now
        if state is RecordsState.DEAD:
            self.actions.request_probe_lease()

    def start_delay(self) -> float:
        """Time from the start of the recovery until this server begins its ramp."""
        return self.start_fraction * START_SPREAD_MS * self._fleet_size()

    def ramp_duration(self) -> float:
        """Time from the first call of this server until all its calls go."""
        return RAMP_MS * self._fleet_size()

    def _fleet_size(self) -> int:
        return 1 + len(self.reports.members)

    def _update_state(self, now: float, slowdown: Aggregate | None) -> None:
        lost = self.reports.aggregate(now, Metric.LOST_CALLS)
        if self.state is RecordsState.DEAD:
            self._check_recovery(now)
        elif lost is not None and lost.value >= DEAD_SHARE and self._since_last_answer(now) >= NO_ANSWER_MS:
            reason = f"{lost.value:.2f} of the calls of {lost.report_count} servers are lost"
            self.set_state(now, RecordsState.DEAD, reason)
        elif self.state is RecordsState.RECOVERING:
            if now - self.since >= self.start_delay() + self.ramp_duration():
                self.set_state(now, RecordsState.HEALTHY, "opened")
        elif self.state is RecordsState.HEALTHY:
            self._check_slow(now, slowdown)
        else:
            self._check_slow_over(now, slowdown)

    def _check_slow(self, now: float, slowdown: Aggregate | None) -> None:
        if slowdown is not None and slowdown.value >= SLOW_FACTOR:
            servers, factor = slowdown.report_count, slowdown.value
            reason = f"calls of {servers} servers take {factor:.1f} times the usual"
            self.set_state(now, RecordsState.SLOW, reason)

    def _check_slow_over(self, now: float, slowdown: Aggregate | None) -> None:
        if slowdown is None:
            self.set_state(now, RecordsState.HEALTHY, "nothing is heard")
        elif slowdown.value < SLOW_OVER_FACTOR:
            self.set_state(now, RecordsState.HEALTHY, "calls take the usual time")

    def _check_recovery(self, now: float) -> None:
        """Leaves DEAD where a call was answered since then, or nobody reports a probe."""
        dead_for = now - self.since
        if dead_for < MIN_DEAD_MS:
            return
        if self._since_last_answer(now) < dead_for - MIN_DEAD_MS:
            self.set_state(now, RecordsState.RECOVERING, "it answers")
        elif self._is_probed(now, dead_for):
            self.last_probe_at = now
        elif now - max(self.since, self.last_probe_at) >= PROBE_TIMEOUT_MS:
            self.set_state(now, RecordsState.RECOVERING, "nobody tells of a probe")

    def _is_probed(self, now: float, dead_for: float) -> bool:
        """Whether somebody reports on calls made since the service was found dead."""
        samples = self.reports.samples(now, Metric.LOST_CALLS)
        return any(sample.age_ms < dead_for - MIN_DEAD_MS for sample in samples)

    def _since_last_answer(self, now: float) -> float:
        """Time since anybody's call was answered, as far as it is known here."""
        samples = self.reports.samples(now, Metric.SINCE_LAST_ANSWER)
        return min((sample.value + sample.age_ms for sample in samples), default=math.inf)

    def _update_full(self, now: float) -> float:
        """Finds whether the fleet is full, with hysteresis; returns the factor of return times."""
        rejected = self.reports.aggregate(now, Metric.REJECTED_REQUESTS)
        threshold = FULL_OVER_SHARE if self.is_full else FULL_SHARE
        self.is_full = rejected is not None and rejected.value >= threshold
        if rejected is None or not self.is_full:
            return 1.0
        return min(MAX_RETRY_AFTER_FACTOR, 1.0 / max(1e-6, 1.0 - rejected.value))

    def _call_capacity(self, now: float) -> float:
        if self.state is RecordsState.DEAD:
            return PROBE_CAPACITY if self.actions.holds_probe_lease() else 0.0
        if self.state is RecordsState.RECOVERING:
            started_for = now - self.since - self.start_delay()
            return min(1.0, max(0.0, started_for / self.ramp_duration()))
        return 1.0  # also where it is slow: fewer calls would leave the service's slots idle
