"""Spreads the load reports of all servers by gossip, in messages of one size. No I/O.

Each interval a server sends its own report and some that it received to two others. Late, duplicate and
outlived reports do no harm: the newest of each origin counts, and every report expires. Clocks of two servers
are not compared: a report carries its age, to which each holder adds the time that it held the report.

The table is bounded, so in a large fleet a server knows a sample of it, and a message has the same size in
any fleet. Where too few reports are recent there is no aggregate, and the caller decides alone.

docs/design/together.md compares it with push-sum (Kempe, Dobra and Gehrke, 2003), sketches and extrema.
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
MIN_GOSSIP_INTERVAL_MS = 250.0  # between two messages that are sent late
FANOUT = 2  # servers that are sent to in each interval
MAX_BROADCAST_TARGETS = 24
MAX_REPORTS = 256  # that are kept
REPORT_LIFETIME_MS = 4000.0
FRESH_MS = 1500.0  # younger reports are passed on first
MAX_METRICS = 32


class GossipActions(Protocol):
    """What the gossip acts through."""

    def send_load_reports(self, to: str, reports: list[LoadReport]) -> None:
        """Sends one datagram; it may be lost, late or duplicated."""


@dataclass(slots=True)
class PeerReport:
    """The newest report of one origin."""

    incarnation: int
    sequence: int
    measured_at_ms: float  # by our clock
    values: list[int]
    times_sent: int = 0

    def is_newer_than(self, other: "PeerReport") -> bool:
        """Whether it was made later by the same origin."""
        return (self.incarnation, self.sequence) > (other.incarnation, other.sequence)

    def is_live(self, now_ms: float) -> bool:
        """Whether it still counts."""
        return now_ms - self.measured_at_ms < REPORT_LIFETIME_MS


class LoadGossip:
    """The reports that one server knows, its own among them. Not thread-safe: for one actor's thread."""

    def __init__(
        self,
        actions: GossipActions,
        name: str,
        incarnation: int,
        metrics: Sequence[MetricDefinition],
        seed: int,
    ) -> None:
        """Begins with no reports and no other members.

        Args:
            actions: What it acts through.
            name: Of this server.
            incarnation: Of this server; goes out with its reports.
            metrics: The same list on all servers, `MAX_METRICS` at most.
            seed: With `name` it chooses whom to send to.
        """
        assert 0 < len(metrics) <= MAX_METRICS
        self.actions = actions
        self.name = name
        self.incarnation = incarnation
        self.metrics = list(metrics)
        self.index_of = {metric.name: index for index, metric in enumerate(metrics)}
        self.seed = seed
        self.draws = 0
        self.reports: dict[str, PeerReport] = {}  # by origin; at most MAX_REPORTS
        self.members: list[str] = []  # the other servers, as far as they can be reached
        self.ring: list[str] = []  # those of them that we send to in turn
        self.ring_position = 0
        self.sequence = 0
        self.next_send_at_ms = 0.0

    # -- events

    def set_members(self, members: Iterable[str], ring: Iterable[str]) -> None:
        """Sets the reachable servers; reports of all others are dropped."""
        self.members = sorted(set(members) - {self.name})
        self.ring = [name for name in ring if name in self.members]
        kept = {*self.members, self.name}
        self.reports = {origin: report for origin, report in self.reports.items() if origin in kept}

    def report_own(self, now_ms: float, values: Mapping[str, float]) -> None:
        """Makes our own report; a metric that is not in `values`, or not finite, is not reported."""
        quantized = [UNKNOWN] * len(self.metrics)
        for name, value in values.items():
            if math.isfinite(value):
                index = self.index_of[name]
                quantized[index] = self.metrics[index].quantize(value)
        self.sequence += 1
        self.reports[self.name] = PeerReport(self.incarnation, self.sequence, now_ms, quantized)

    def broadcast_own(self, now_ms: float) -> None:
        """Sends our own report at once to many servers, but not to all of a large fleet."""
        start = self._draw(len(self.members)) if self.members else 0
        for offset in range(min(MAX_BROADCAST_TARGETS, len(self.members))):
            target = self.members[(start + offset) % len(self.members)]
            self.actions.send_load_reports(target, self._select_reports(now_ms, target)[:1])

    def tick(self, now_ms: float) -> None:
        """Sends reports where that is due; to be called ten times a second."""
        if now_ms < self.next_send_at_ms:
            return
        self.next_send_at_ms = max(self.next_send_at_ms + GOSSIP_INTERVAL_MS, now_ms + MIN_GOSSIP_INTERVAL_MS)
        self._drop_expired(now_ms)
        for target in self._choose_targets():
            reports = self._select_reports(now_ms, target)
            if reports:
                self.actions.send_load_reports(target, reports)

    def receive(self, now_ms: float, sender: str, reports: Iterable[LoadReport]) -> None:
        """Takes in reports of another server.

        Raises what iterating `reports` raises; those before a malformed one count.
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
        """What each live report says of a metric, the youngest first."""
        index = self.index_of[metric]
        definition = self.metrics[index]
        found = [
            Sample(max(0.0, now_ms - report.measured_at_ms), definition.value_of(report.values[index]))
            for report in self.reports.values()
            if report.values[index] != UNKNOWN and report.is_live(now_ms)
        ]
        return sorted(found, key=lambda sample: (sample.age_ms, sample.value))

    def aggregate(self, now_ms: float, metric: str, min_reports: int = MIN_REPORTS) -> Aggregate | None:
        """The trimmed mean of the live reports; None where fewer than `min_reports` say anything."""
        return trimmed_mean(self.samples(now_ms, metric), min_reports)

    # -- rules

    def _is_accepted(self, sender: str, report: LoadReport) -> bool:
        """Whether it is live, of another server, and its origin is a member or the sender itself."""
        if report.origin == self.name or report.age_ms >= REPORT_LIFETIME_MS:
            return False
        return report.origin == sender or report.origin in self.members

    def _store(self, origin: str, received: PeerReport) -> None:
        """Keeps a report that is newer than the known one of its origin.

        A full table drops its oldest report for it, unless that is our own or younger than the new one.
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
        """The next of the ring, so that nobody is left out, and others by chance."""
        targets = []
        if self.ring:
            self.ring_position += 1
            targets.append(self.ring[self.ring_position % len(self.ring)])
        while len(targets) < min(FANOUT, len(self.members)):
            member = self.members[self._draw(len(self.members))]
            if member not in targets:
                targets.append(member)
        return targets

    def _select_reports(self, now_ms: float, target: str) -> list[LoadReport]:
        """Our own report, then those of others in `_send_order`, as many as one message takes."""
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
        """Fresh reports first, of these the ones sent least often, of these the youngest."""
        report = self.reports[origin]
        is_stale = now_ms - report.measured_at_ms > FRESH_MS
        return is_stale, report.times_sent, -report.measured_at_ms, origin

    def _draw(self, count: int) -> int:
        """A reproducible pseudo-random number below `count`."""
        self.draws += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % count
