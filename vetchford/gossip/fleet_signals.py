"""What the load reports of all servers mean for the admission of one of them. No I/O; times in ms.

`RecordsHealth` finds the state of the records service; the rules here turn it, and the share of requests that
the fleet rejects, into `FleetSignals`.
"""

from dataclasses import dataclass
from typing import Protocol

from vetchford.gossip.aggregation import Aggregate
from vetchford.gossip.load_gossip import LoadGossip
from vetchford.gossip.metrics import Metric
from vetchford.gossip.records_health import RecordsHealth, RecordsHealthActions, RecordsState

FULL_SHARE = 0.5  # of the fleet's requests, rejected
NO_LONGER_FULL_SHARE = 0.3
MAX_RETRY_AFTER_FACTOR = 4.0
MIN_ACCEPTED_SHARE = 1e-6  # keeps the factor finite where all requests are rejected
PROBE_CAPACITY = 1e-6  # the least above 0: one call at a time
PROBE_LEASE_NAME = "probe"


class FleetSignalActions(RecordsHealthActions, Protocol):
    """What the policy acts through."""

    def holds_probe_lease(self) -> bool:
        """Whether the probe lease is held now."""


@dataclass(frozen=True, slots=True)
class FleetSignals:
    """What admission is to act on; see `AdmissionController.apply_fleet_signals`.

    The defaults are the signals of a server that has no fleet.
    """

    call_slowdown: float = 1.0  # times that a call takes longer than usual
    call_capacity: float = 1.0  # part of this server's concurrency of calls; 0: no call goes out
    is_full: bool = False  # the fleet rejects so much that a retry on another server is in vain
    retry_after_factor: float = 1.0


class FleetSignalPolicy:
    """Turns the load reports of the fleet into signals.

    Not thread-safe: for the thread that owns the load reports.
    """

    def __init__(self, actions: FleetSignalActions, name: str, seed: int, reports: LoadGossip) -> None:
        """Starts with the signals of a server that has no fleet.

        Args:
            actions: What it acts through.
            name: Of this server; with `seed` it chooses when the server calls a recovering service again.
            seed: The same on all servers.
            reports: Load reports of `METRICS`.
        """
        self.actions = actions
        self.reports = reports
        self.records = RecordsHealth(actions, name, seed, reports)
        self.is_full = False

    def update(self, now_ms: float) -> FleetSignals:
        """Returns the signals that hold from now on; to be called several times a second."""
        slowdown = self.reports.aggregate(now_ms, Metric.CALL_SLOWDOWN)
        self.records.update(now_ms, slowdown)
        rejected = self.reports.aggregate(now_ms, Metric.REJECTED_REQUESTS)
        self.is_full = is_fleet_full(rejected, was_full=self.is_full)
        return FleetSignals(
            call_slowdown=call_slowdown(self.records.state, slowdown),
            call_capacity=self._call_capacity(now_ms),
            is_full=self.is_full,
            retry_after_factor=retry_after_factor(rejected) if self.is_full else 1.0,
        )

    def _call_capacity(self, now_ms: float) -> float:
        """The part of this server's concurrency of calls that may be used, from 0 to 1.

        Also 1 for a slow service: fewer calls would leave its slots idle.
        """
        if self.records.state is RecordsState.UNAVAILABLE:
            return PROBE_CAPACITY if self.actions.holds_probe_lease() else 0.0
        if self.records.state is RecordsState.RECOVERING:
            return self.records.recovered_fraction(now_ms)
        return 1.0


def call_slowdown(state: RecordsState, slowdown: Aggregate | None) -> float:
    """How many times longer than usual a call is expected to take; 1 unless the service is slow."""
    if state is not RecordsState.SLOW or slowdown is None:
        return 1.0
    return max(1.0, slowdown.value)


def is_fleet_full(rejected: Aggregate | None, was_full: bool) -> bool:
    """Whether a retry on another server is in vain, as the fleet rejects most requests.

    Args:
        rejected: The share of requests that is rejected; None where too few servers report it.
        was_full: Whether it was full before; then a lower share is enough, so that the answer doesn't flap.
    """
    threshold = NO_LONGER_FULL_SHARE if was_full else FULL_SHARE
    return rejected is not None and rejected.value >= threshold


def retry_after_factor(rejected: Aggregate | None) -> float:
    """By how much a full fleet lengthens its retry-after: one over the share of accepted requests.

    A client that is rejected so often needs about as many attempts until it is accepted.
    """
    if rejected is None:
        return 1.0
    return min(MAX_RETRY_AFTER_FACTOR, 1.0 / max(MIN_ACCEPTED_SHARE, 1.0 - rejected.value))
