"""Spreads the load reports of all servers by gossip, in messages of one size. No I/O; times in ms.

Each interval a server sends its own report and some that it received to two others. A report that is late,
duplicated or outlives its origin does no harm: the newest of an origin stands, and every report expires.
Clocks are not compared: a report carries its age, and each holder adds the time that it held it.

The table is bounded, so in a large fleet a server knows a sample of it; a message has the same size in any
fleet. Where too few reports are recent there is no aggregate, and the caller decides alone.

Alternatives considered (docs/design/together.md): push-sum (Kempe, Dobra and Gehrke, 2003), whose sums a lost
message spoils; sketches of all origins, whose size grows with the fleet; extrema, which one liar owns.
"""

import math
import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from vetchford.gossip.aggregation import MIN_REPORTS, Aggregate, Sample, trimmed_mean
from vetchford.gossip.messages import MAX_REPORTS_PER_MESSAGE, LoadReport
from vetchford.gossip.metrics import UNKNOWN, MetricDefinition

GOSSIP_INTERVAL_MS = 500.0  # a report reaches 200 servers in some four of them
MIN_INTERVALS = 0.5  # of them between two messages, after a pause
FANOUT = 2  # servers an interval: the next of the ring, so that nobody is left out, others by chance
MAX_BROADCAST_TARGETS = 24  # 3 KB in all; the rest of a large fleet hears within two intervals
MAX_REPORTS = 256  # kept: a share of 0.5 is then known to 0.03
REPORT_LIFETIME_MS = (
    4000.0  # eight intervals; an older one says nothing of a service that changes in a second
)
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
    measured_at: float  # by our clock
    values: list[int]
    times_sent: int = 0

    def is_newer_than(self, other: "PeerReport") -> bool:
        """Whether it was made later by the same origin."""
        return (self.incarnation, self.sequence) > (other.incarnation, other.sequence)


class LoadGossip:
    """The reports that one server knows, its own among them."""

    def __init__(
        self,
        actions: GossipActions,
        name: str,
        incarnation: int,
        metrics: Sequence[MetricDefinition],
        seed: int,
    ) -> None:
        """`metrics`: the same list on all servers; `seed` and `name` choose targets."""
        assert 0 < len(metrics) <= MAX_METRICS
        self.actions, self.name, self.incarnation = actions, name, incarnation
        self.seed, self.draws = seed, 0
        self.metrics = list(metrics)
        self.index_of = {metric.name: index for index, metric in enumerate(metrics)}
        self.reports: dict[str, PeerReport] = {}  # by origin; at most MAX_REPORTS
        self.members: list[str] = []  # the other servers that are there
        self.ring: list[str] = []  # those of them that we send to in turn
        self.sequence = self.ring_position = 0
        self.next_send_at = 0.0

    # -- events

    def set_members(self, members: Iterable[str], ring: Iterable[str]) -> None:
        """Who is there has changed; reports of those who left are dropped."""
        self.members = sorted(set(members) - {self.name})
        self.ring = [name for name in ring if name in self.members]
        stay = {*self.members, self.name}
        self.reports = {origin: report for origin, report in self.reports.items() if origin in stay}

    def report_own(self, now: float, values: Mapping[str, float]) -> None:
        """Makes our own report; a metric that is not in `values`, or not finite, is not reported."""
        quantized = [UNKNOWN] * len(self.metrics)
        for name, value in values.items():
            if math.isfinite(value):
                index = self.index_of[name]
                quantized[index] = self.metrics[index].quantize(value)
        self.sequence += 1
        self.reports[self.name] = PeerReport(self.incarnation, self.sequence, now, quantized)

    def broadcast_own(self, now: float) -> None:
        """Sends our own report, where it can't wait, to many at once but not to all of a large fleet."""
        start = self._draw(len(self.members)) if self.members else 0
        for offset in range(min(MAX_BROADCAST_TARGETS, len(self.members))):
            target = self.members[(start + offset) % len(self.members)]
            self.actions.send_load_reports(target, self._select_reports(now, target)[:1])

    def tick(self, now: float) -> None:
        """Handles timers; to be called ten times a second."""
        if now < self.next_send_at:
            return
        interval = GOSSIP_INTERVAL_MS
        self.next_send_at = max(self.next_send_at + interval, now + MIN_INTERVALS * interval)
        self._drop_expired(now)
        for target in self._choose_targets():
            reports = self._select_reports(now, target)
            if reports:
                self.actions.send_load_reports(target, reports)

    def receive(self, now: float, sender: str, reports: Iterable[LoadReport]) -> None:
        """Takes in reports of another server; passes on what decoding them raises."""
        for report in reports:
            if self._is_relevant(sender, report):
                received = PeerReport(
                    report.incarnation, report.sequence, now - report.age_ms, list(report.values)
                )
                self._store(report.origin, received)

    # -- queries

    def samples(self, now: float, metric: str) -> list[Sample]:
        """What each recent report says of a metric, the youngest first."""
        index = self.index_of[metric]
        definition = self.metrics[index]
        found = [
            Sample(max(0.0, now - report.measured_at), definition.value_of(report.values[index]))
            for report in self.reports.values()
            if report.values[index] != UNKNOWN and now - report.measured_at < REPORT_LIFETIME_MS
        ]
        return sorted(found, key=lambda sample: (sample.age_ms, sample.value))

    def aggregate(self, now: float, metric: str, min_reports: int = MIN_REPORTS) -> Aggregate | None:
        """The trimmed mean of the recent reports; None where fewer than `min_reports` say anything."""
        return trimmed_mean(self.samples(now, metric), min_reports)

    # -- details

    def _is_relevant(self, sender: str, report: LoadReport) -> bool:
        """Whether it is recent, of another server, and of one that is there or speaks for itself."""
        if report.origin == self.name or report.age_ms >= REPORT_LIFETIME_MS:
            return False
        return report.origin == sender or report.origin in self.members

    def _store(self, origin: str, received: PeerReport) -> None:
        """Keeps a report that is newer than what is known; the oldest one makes room in a full table."""
        known = self.reports.get(origin)
        if known is not None and not received.is_newer_than(known):
            return
        if known is None and len(self.reports) >= MAX_REPORTS:
            oldest = min(self.reports, key=lambda name: (self.reports[name].measured_at, name))
            if oldest == self.name or self.reports[oldest].measured_at >= received.measured_at:
                return
            del self.reports[oldest]
        self.reports[origin] = received

    def _drop_expired(self, now: float) -> None:
        self.reports = {
            origin: report
            for origin, report in self.reports.items()
            if now - report.measured_at < REPORT_LIFETIME_MS
        }

    def _choose_targets(self) -> list[str]:
        """The next of the ring, and others by chance."""
        targets = []
        if self.ring:
            self.ring_position += 1
            targets.append(self.ring[self.ring_position % len(self.ring)])
        while len(targets) < min(FANOUT, len(self.members)):
            member = self.members[self._draw(len(self.members))]
            if member not in targets:
                targets.append(member)
        return targets

    def _select_reports(self, now: float, target: str) -> list[LoadReport]:
        """Our own report, then the fresh ones that we passed on least often."""
        own = [self.name] if self.name in self.reports else []
        others = [origin for origin in self.reports if origin not in (self.name, target)]
        others.sort(key=lambda origin: self._send_order(now, origin))
        selected = []
        for origin in own + others[: MAX_REPORTS_PER_MESSAGE - len(own)]:
            report = self.reports[origin]
            report.times_sent += 1
            age_ms = max(0, round(now - report.measured_at))
            selected.append(LoadReport(origin, report.incarnation, report.sequence, age_ms, report.values))
        return selected

    def _send_order(self, now: float, origin: str) -> tuple[bool, int, float, str]:
        report = self.reports[origin]
        is_stale = now - report.measured_at > FRESH_MS
        return is_stale, report.times_sent, -report.measured_at, origin

    def _draw(self, count: int) -> int:
        """A reproducible pseudo-random number below `count`."""
        self.draws += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % count
