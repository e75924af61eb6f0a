"""The signals that a server's admission gets from the load reports of the fleet. No I/O; times in ms.

`RecordsHealth` determines the state of the records service; this module derives `FleetSignals` from that
state and from the share of requests that the fleet rejects.
"""

from dataclasses import dataclass
from typing import Protocol

from vetchford.gossip.aggregation import Aggregate
from vetchford.gossip.load_gossip import LoadGossip
from vetchford.gossip.metrics import Metric
from vetchford.gossip.records_health import RecordsHealth, RecordsHealthActions, RecordsState

FULL_SHARE = 0.5  # rejected share of requests from which the fleet is full
NO_LONGER_FULL_SHARE = 0.3  # below this share a full fleet is no longer full
MAX_RETRY_AFTER_FACTOR = 4.0
MIN_ACCEPTED_SHARE = 1e-6  # keeps the factor finite if all requests are rejected
PROBE_CAPACITY = 1e-6  # above 0, so one call at a time is permitted
PROBE_LEASE_NAME = "probe"


class FleetSignalActions(RecordsHealthActions, Protocol):
    """The actions of the policy."""

    def holds_probe_lease(self) -> bool:
        """Return whether this server holds the probe lease now."""


@dataclass(frozen=True, slots=True)
class FleetSignals:
    """The state of the fleet that admission acts on; see `AdmissionController.apply_fleet_signals`.

    The defaults are the signals of a server without a fleet.
    """

    call_slowdown: float = 1.0  # recent duration of calls as a multiple of the usual one
    call_capacity: float = 1.0  # usable part of this server's concurrency limit of calls; 0: no calls
    is_full: bool = False  # most requests are rejected: a retry on another server is pointless
    retry_after_factor: float = 1.0


class FleetSignalPolicy:
    """Derives signals from the load reports of the fleet.

    Not thread-safe: only for the thread that owns the load reports.
    """

    def __init__(self, actions: FleetSignalActions, name: str, seed: int, reports: LoadGossip) -> None:
        """Start with the signals of a server without a fleet.

        Args:
            actions: Requests the probe lease and logs events.
            name: Name of this server; with `seed` it determines when calls to a recovering service resume.
            seed: Seed, the same on all servers.
            reports: Load reports of `METRICS`.
        """
        self.actions = actions
        self.reports = reports
        self.records_health = RecordsHealth(actions, name, seed, reports)
        self.is_full = False

    def update(self, now_ms: float) -> FleetSignals:
        """Return the signals that apply from now on; call this several times a second."""
        slowdown = self.reports.aggregate(now_ms, Metric.CALL_SLOWDOWN)
        self.records_health.update(now_ms, slowdown)
        rejected = self.reports.aggregate(now_ms, Metric.REJECTED_REQUESTS)
        self.is_full = is_fleet_full(rejected, was_full=self.is_full)
        return FleetSignals(
            call_slowdown=call_slowdown(self.records_health.state, slowdown),
            call_capacity=self._call_capacity(now_ms),
            is_full=self.is_full,
            retry_after_factor=retry_after_factor(rejected) if self.is_full else 1.0,
        )

    def _call_capacity(self, now_ms: float) -> float:
        """Return the usable part of this server's concurrency limit of calls, from 0 to 1.

        For a slow service it is 1 as well: fewer calls would leave slots of the service idle.
        """
        if self.records_health.state is RecordsState.UNAVAILABLE:
            return PROBE_CAPACITY if self.actions.holds_probe_lease() else 0.0
        if self.records_health.state is RecordsState.RECOVERING:
            return self.records_health.recovered_fraction(now_ms)
        return 1.0


def call_slowdown(state: RecordsState, slowdown: Aggregate | None) -> float:
    """Return the expected duration of calls as a multiple of the usual one; 1 unless the service is slow."""
    if state is not RecordsState.SLOW or slowdown is None:
        return 1.0
    return max(1.0, slowdown.value)


def is_fleet_full(rejected: Aggregate | None, was_full: bool) -> bool:
    """Return whether the fleet rejects so many requests that a retry on another server is pointless.

    Args:
        rejected: Rejected share of requests; None if too few servers report it.
        was_full: Whether the fleet was full before; the threshold is then lower, to prevent flapping.
    """
    threshold = NO_LONGER_FULL_SHARE if was_full else FULL_SHARE
    return rejected is not None and rejected.value >= threshold


def retry_after_factor(rejected: Aggregate | None) -> float:
    """Return the factor on the retry-after of a full fleet: one over the share of accepted requests.

    A client needs about this many attempts until one is accepted.
    """
    if rejected is None:
        return 1.0
    return min(MAX_RETRY_AFTER_FACTOR, 1.0 / max(MIN_ACCEPTED_SHARE, 1.0 - rejected.value))
