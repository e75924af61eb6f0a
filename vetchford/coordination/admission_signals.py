"""Between the load reports of the fleet and the admission of this server: what goes out, and what may act.

No I/O; times in ms. For the thread of `FleetMember`.
"""

from typing import Any

from vetchford.coordination.settings import FleetMemberSettings
from vetchford.gossip.fleet_signals import FleetSignalPolicy, FleetSignals
from vetchford.gossip.load_gossip import LoadGossip
from vetchford.gossip.metrics import METRICS, Metric

BROADCAST_CHANGE = 0.5  # of the share of lost calls
LOGGED_DIGITS = 3


class AdmissionSignals:
    """Reports the metrics of this server, and finds the signals for its admission."""

    def __init__(self, load_gossip: LoadGossip, policy: FleetSignalPolicy) -> None:
        """Begins with the signals of a server that has no fleet."""
        self.load_gossip = load_gossip
        self.policy = policy
        self.signals = FleetSignals()
        self.lost_calls = 0.0

    def report(self, now_ms: float, metrics: dict[str, float]) -> None:
        """Reports metrics to the fleet, at once where calls began to be lost or to be answered."""
        before = self.lost_calls
        self.lost_calls = metrics.get(Metric.LOST_CALLS, before)
        self.load_gossip.report_own(now_ms, metrics)
        if is_broadcast_due(before, self.lost_calls):
            self.load_gossip.broadcast_own(now_ms)

    def update(self, now_ms: float, settings: FleetMemberSettings) -> FleetSignals | None:
        """The signals that hold from now on, where they have changed; None otherwise."""
        signals = permitted_signals(self.policy.update(now_ms), settings)
        if signals == self.signals:
            return None
        self.signals = signals
        return signals

    def summary(self, now_ms: float) -> dict[str, Any]:
        """The aggregates of the fleet's metrics, as fields of a log line."""
        fields: dict[str, Any] = {}
        for metric in METRICS:
            aggregate = self.load_gossip.aggregate(now_ms, metric.name)
            if aggregate is not None:
                fields[metric.name] = round(aggregate.value, LOGGED_DIGITS)
                fields[f"{metric.name}_rows"] = aggregate.report_count
        return fields


def is_broadcast_due(lost_calls_before: float, lost_calls: float) -> bool:
    """Whether the share of lost calls changed so much that the service failed or recovered.

    Its recovery is then known to the fleet within a message, and not within several gossip intervals.
    """
    return abs(lost_calls - lost_calls_before) >= BROADCAST_CHANGE


def permitted_signals(signals: FleetSignals, settings: FleetMemberSettings) -> FleetSignals:
    """The signals that the settings let act; in place of the others, those of a server without a fleet."""
    without_fleet = FleetSignals()
    records = signals if settings.acts_on_records else without_fleet
    full = signals if settings.acts_on_full else without_fleet
    return FleetSignals(
        call_slowdown=records.call_slowdown,
        call_capacity=records.call_capacity,
        is_full=full.is_full,
        retry_after_factor=full.retry_after_factor,
    )
