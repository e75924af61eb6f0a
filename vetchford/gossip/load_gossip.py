"""Exchange of the load reports of all servers by gossip, in messages of bounded size. No I/O.

In each interval a server sends its own report and some of the received ones to two other servers. Late,
duplicate and expired reports do no harm: only the newest report of each origin is kept, and every report
expires. Clocks of two servers are never compared: a report carries its age, and each server that passes the
report on adds the time since it received it.

The table of reports is bounded, so in a large fleet a server has the reports of a sample of the servers, and
messages do not grow with the fleet. With too few recent reports there is no aggregate, and the server decides
on its own.

docs/design/together.md compares this with push-sum (Kempe, Dobra and Gehrke, 2003), sketches and extrema.
"""

import math
import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from vetchford.gossip.aggregation import MIN_REPORTS, Aggregate, Sample, trimmed_mean
from vetchford.gossip.messages import MAX_REPORTS_PER_MESSAGE, LoadReport
from vetchford.gossip.metrics import UNKNOWN, MetricDefinition

GOSSIP_INTERVAL_MS = 500.0
MIN_GOSSIP_INTERVAL_MS = 250.0  # minimum between two rounds, also if a round was late
FANOUT = 2  # servers that receive a message in each interval
MAX_BROADCAST_TARGETS = 24
MAX_REPORTS = 256  # in the table
REPORT_LIFETIME_MS = 4000.0
MAX_FRESH_AGE_MS = 1500.0  # reports up to this age are passed on first
MAX_METRICS = 32


class GossipActions(Protocol):
    """The actions of the gossip."""

    def send_load_reports(self, to: str, reports: list[LoadReport]) -> None:
        """Send one datagram; it may be lost, delayed or duplicated."""


@dataclass(slots=True)
class PeerReport:
    """The newest report of one server, its origin."""

    incarnation: int
    sequence: int
    measured_at_ms: float  # by the clock of this server
    values: list[int]
    times_sent: int = 0

    def is_newer_than(self, other: "PeerReport") -> bool:
        """Return whether the origin made this report later than `other`."""
        return (self.incarnation, self.sequence) > (other.incarnation, other.sequence)

    def is_live(self, now_ms: float) -> bool:
        """Return whether the report has not expired."""
        return now_ms - self.measured_at_ms < REPORT_LIFETIME_MS


class LoadGossip:
    """The load reports that one server has, including its own.

    Not thread-safe: only for the thread of the actor that owns it.
    """

    def __init__(
        self,
        actions: GossipActions,
        name: str,
        incarnation: int,
        metrics: Sequence[MetricDefinition],
        seed: int,
    ) -> None:
        """Start without reports and without other members.

        Args:
            actions: Sends messages.
            name: Name of this server.
            incarnation: Incarnation of this server, sent with its reports.
            metrics: Reported metrics, the same list on all servers; at most `MAX_METRICS`.
            seed: Seed of the choice of receivers, together with `name`.
        """
        assert 0 < len(metrics) <= MAX_METRICS
        self.actions = actions
        self.name = name
        self.incarnation = incarnation
        self.metrics = list(metrics)
        self.metric_index = {metric.name: index for index, metric in enumerate(metrics)}
        self.seed = seed
        self.draw_count = 0
        self.reports: dict[str, PeerReport] = {}  # by origin; at most MAX_REPORTS
        self.members: list[str] = []  # the other servers that can be reached
        self.ring: list[str] = []  # the members that receive messages in rotation
        self.ring_position = 0
        self.sequence = 0
        self.next_send_at_ms = 0.0

    # -- events

    def set_members(self, members: Iterable[str], ring: Iterable[str]) -> None:
        """Set the reachable servers; drop the reports of all others."""
        self.members = sorted(set(members) - {self.name})
        self.ring = [name for name in ring if name in self.members]
        origins_to_keep = {*self.members, self.name}
        self.reports = {
            origin: report for origin, report in self.reports.items() if origin in origins_to_keep
        }

    def report_own(self, now_ms: float, values: Mapping[str, float]) -> None:
        """Update the report of this server; leave out metrics that are missing in `values` or not finite."""
        quantized = [UNKNOWN] * len(self.metrics)
        for name, value in values.items():
            if math.isfinite(value):
                index = self.metric_index[name]
                quantized[index] = self.metrics[index].quantize(value)
        self.sequence += 1
        self.reports[self.name] = PeerReport(self.incarnation, self.sequence, now_ms, quantized)

    def broadcast_own(self, now_ms: float) -> None:
        """Send the report of this server at once, to at most `MAX_BROADCAST_TARGETS` servers."""
        start = self._random_below(len(self.members)) if self.members else 0
        for offset in range(min(MAX_BROADCAST_TARGETS, len(self.members))):
            target = self.members[(start + offset) % len(self.members)]
            self.actions.send_load_reports(target, self._select_reports(now_ms, target)[:1])

    def tick(self, now_ms: float) -> None:
        """Send reports if the interval has passed; call this ten times a second."""
        if now_ms < self.next_send_at_ms:
            return
        self.next_send_at_ms = max(self.next_send_at_ms + GOSSIP_INTERVAL_MS, now_ms + MIN_GOSSIP_INTERVAL_MS)
        self._drop_expired(now_ms)
        for target in self._choose_targets():
            reports = self._select_reports(now_ms, target)
            if reports:
                self.actions.send_load_reports(target, reports)

    def receive(self, now_ms: float, sender: str, reports: Iterable[LoadReport]) -> None:
        """Store the reports in a message of another server.

        Raises what iterating `reports` raises; reports before a malformed one are kept.
        """
        for report in reports:
            if self._is_accepted(sender, report):
                measured_at_ms = now_ms - report.age_ms
                received = PeerReport(
                    report.incarnation, report.sequence, measured_at_ms, list(report.values)
                )
                self._store(report.origin, received)

    # -- queries

    def samples(self, now_ms: float, metric: str) -> list[Sample]:
        """Return the values of a metric in the live reports, the most recent first."""
        index = self.metric_index[metric]
        definition = self.metrics[index]
        found = [
            Sample(max(0.0, now_ms - report.measured_at_ms), definition.dequantize(report.values[index]))
            for report in self.reports.values()
            if report.values[index] != UNKNOWN and report.is_live(now_ms)
        ]
        return sorted(found, key=lambda sample: (sample.age_ms, sample.value))

    def aggregate(self, now_ms: float, metric: str, min_reports: int = MIN_REPORTS) -> Aggregate | None:
        """Return the trimmed mean over the live reports; None if fewer than `min_reports` have the metric."""
        return trimmed_mean(self.samples(now_ms, metric), min_reports)

    # -- rules

    def _is_accepted(self, sender: str, report: LoadReport) -> bool:
        """Return whether a report is live and its origin is another member, or the sender itself."""
        if report.origin == self.name or report.age_ms >= REPORT_LIFETIME_MS:
            return False
        return report.origin == sender or report.origin in self.members

    def _store(self, origin: str, received: PeerReport) -> None:
        """Store a report that is newer than the stored one of its origin.

        If the table is full, the oldest report is dropped, unless that is this server's own or the received
        report is not more recent.
        """
        known = self.reports.get(origin)
        if known is not None and not received.is_newer_than(known):
            return
        if known is None and len(self.reports) >= MAX_REPORTS:
            oldest = min(self.reports, key=lambda name: (self.reports[name].measured_at_ms, name))
            if oldest == self.name or self.reports[oldest].measured_at_ms >= received.measured_at_ms:
                return
            del self.reports[oldest]
        self.reports[origin] = received

    def _drop_expired(self, now_ms: float) -> None:
        self.reports = {origin: report for origin, report in self.reports.items() if report.is_live(now_ms)}

    def _choose_targets(self) -> list[str]:
        """Return the next server of the ring, so that none is left out, and others at random."""
        targets = []
        if self.ring:
            self.ring_position += 1
            targets.append(self.ring[self.ring_position % len(self.ring)])
        while len(targets) < min(FANOUT, len(self.members)):
            member = self.members[self._random_below(len(self.members))]
            if member not in targets:
                targets.append(member)
        return targets

    def _select_reports(self, now_ms: float, target: str) -> list[LoadReport]:
        """Return this server's report and those of others in `_send_order`, up to the size of a message."""
        own = [self.name] if self.name in self.reports else []
        others = [origin for origin in self.reports if origin not in (self.name, target)]
        others.sort(key=lambda origin: self._send_order(now_ms, origin))
        selected = []
        for origin in own + others[: MAX_REPORTS_PER_MESSAGE - len(own)]:
            report = self.reports[origin]
            report.times_sent += 1
            age_ms = max(0, round(now_ms - report.measured_at_ms))
            selected.append(LoadReport(origin, report.incarnation, report.sequence, age_ms, report.values))
        return selected

    def _send_order(self, now_ms: float, origin: str) -> tuple[bool, int, float, str]:
        """Return a sort key: fresh reports first, then those sent least often, then the most recent."""
        report = self.reports[origin]
        is_stale = now_ms - report.measured_at_ms > MAX_FRESH_AGE_MS
        return is_stale, report.times_sent, -report.measured_at_ms, origin

    def _random_below(self, count: int) -> int:
        """Return a reproducible pseudo-random number below `count`."""
        self.draw_count += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draw_count)) % count
