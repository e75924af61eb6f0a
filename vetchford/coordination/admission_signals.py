"""The link between load reports and admission: metrics to report, and signals that settings permit.

No I/O; times in ms. For the thread of `FleetMember`.
"""

from typing import Any

from vetchford.coordination.settings import FleetMemberSettings
from vetchford.gossip.fleet_signals import FleetSignalPolicy, FleetSignals
from vetchford.gossip.load_gossip import LoadGossip
from vetchford.gossip.metrics import METRICS, Metric

BROADCAST_THRESHOLD = 0.5  # change in the share of lost calls
LOGGED_DIGITS = 3


class AdmissionSignals:
    """Reports the metrics of this server, and determines the signals for its admission."""

    def __init__(self, load_gossip: LoadGossip, policy: FleetSignalPolicy) -> None:
        """Start with the signals of a server without a fleet."""
        self.load_gossip = load_gossip
        self.policy = policy
        self.signals = FleetSignals()
        self.lost_calls = 0.0

    def report(self, now_ms: float, metrics: dict[str, float]) -> None:
        """Report metrics to the fleet, immediately if calls begin to be lost or to be answered."""
        lost_calls_before = self.lost_calls
        self.lost_calls = metrics.get(Metric.LOST_CALLS, lost_calls_before)
        self.load_gossip.report_own(now_ms, metrics)
        if is_broadcast_due(lost_calls_before, self.lost_calls):
            self.load_gossip.broadcast_own(now_ms)

    def update(self, now_ms: float, settings: FleetMemberSettings) -> FleetSignals | None:
        """Return the signals that apply from now on; None if they have not changed."""
        signals = permitted_signals(self.policy.update(now_ms), settings)
        if signals == self.signals:
            return None
        self.signals = signals
        return signals

    def summary(self, now_ms: float) -> dict[str, Any]:
        """Return the aggregates of the fleet's metrics, as fields of a log line."""
        fields: dict[str, Any] = {}
        for metric in METRICS:
            aggregate = self.load_gossip.aggregate(now_ms, metric.name)
            if aggregate is not None:
                fields[metric.name] = round(aggregate.value, LOGGED_DIGITS)
                fields[f"{metric.name}_rows"] = aggregate.report_count
        return fields


def is_broadcast_due(lost_calls_before: float, lost_calls: float) -> bool:
    """Return whether the share of lost calls has changed so much that the service failed or recovered.

    A broadcast informs the fleet with one message, instead of after several gossip intervals.
    """
    return abs(lost_calls - lost_calls_before) >= BROADCAST_THRESHOLD


def permitted_signals(signals: FleetSignals, settings: FleetMemberSettings) -> FleetSignals:
    """Return the signals that the settings permit; the others are those of a server without a fleet."""
    without_fleet = FleetSignals()
    service = signals if settings.acts_on_records else without_fleet
    fullness = signals if settings.acts_on_full else without_fleet
    return FleetSignals(
        call_slowdown=service.call_slowdown,
        call_capacity=service.call_capacity,
        is_full=fullness.is_full,
        retry_after_factor=fullness.retry_after_factor,
    )
