"""A server's part in its fleet: an actor that carries membership, load reports and leases over datagrams.

One thread. The admission actor is asked for metrics and told signals, and never waits. Without another server
in sight the signals are those of a server without a fleet.

`FleetMember` is what all parts act through, with one section for each; it decides nothing itself.
"""

import time
from collections.abc import Callable
from typing import Any

import structlog

from vetchford.coordination import datagrams
from vetchford.coordination.admission_signals import LOGGED_DIGITS, AdmissionSignals
from vetchford.coordination.datagrams import LeaseDatagram, LoadReportsDatagram, MembershipDatagram
from vetchford.coordination.incarnation import IncarnationCounter
from vetchford.coordination.load_sampler import LoadSampler
from vetchford.coordination.settings import FleetMemberSettings
from vetchford.fleet.failure_detector import FailureDetector
from vetchford.fleet.membership import MemberState
from vetchford.fleet.membership_updates import MembershipUpdate
from vetchford.gossip.fleet_signals import PROBE_LEASE_NAME, FleetSignalPolicy, FleetSignals
from vetchford.gossip.load_gossip import LoadGossip
from vetchford.gossip.messages import LoadReport
from vetchford.gossip.metrics import METRICS
from vetchford.gossip.records_health import RecordsState
from vetchford.leases.lease_client import LeaseClient
from vetchford.leases.lease_server import LeaseServer
from vetchford.leases.messages import ClientMessage, LeaseMessage
from vetchford.leases.timing import EPOCHS_PER_S
from vetchford.runtime.actor import Actor
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics
from vetchford.subsetting.subsets import MembershipView
from vetchford.transport.connections import Transport
from vetchford.transport.framing import MALFORMED
from vetchford.transport.peers import Identity, LinkState

log = structlog.get_logger()

TICK_INTERVAL_S = 0.05
SURVEY_INTERVAL_MS = 200.0  # between two questions for metrics
SURVEY_INTERVAL_WHILE_UNAVAILABLE_MS = 100.0  # so that the first answer of the service is known sooner
SUMMARY_INTERVAL_MS = 10_000.0
RINGS = 3  # of all names; load reports go to the next in each
REFUTATIONS_PER_INCARNATION = 1 << 20  # as in fleet/coordinator_actor.py
SAMPLED_EVENTS = frozenset(("lease_queue_full", "lease_expired"))  # caused by others: logged ever more rarely


class FleetMember(Actor):
    """Started by `start` after the admission actor; other threads post to it, but for `on_surveyed`."""

    def __init__(
        self,
        record: dict[str, Any],
        seed: int,
        metrics: Metrics,
        survey: Callable[[Any], None],
        apply_signals: Callable[[FleetSignals], None],
    ) -> None:
        """Binds its address. Raises OSError where it can't.

        Args:
            record: `together` of the settings, which the settings reader has checked.
            seed: The same on all servers of the fleet.
            metrics: Where events are counted.
            survey: Given a function, which is to be called with this server's metrics.
            apply_signals: Given the signals that hold from now on.
        """
        super().__init__("fleet-member", metrics)
        self.settings = settings = FleetMemberSettings.from_record(record)
        self.name = settings.name
        self.survey = survey
        self.apply_signals = apply_signals
        self.counter = IncarnationCounter()
        incarnation = self.counter.incarnation
        identity = Identity(settings.fleet, self.name, incarnation, self.counter.nonce)
        self.transport = Transport(
            self, self, metrics, identity, settings.listen, settings.servers, seed, streams=False
        )
        now_ms = self.now()
        self.failure_detector = self._make_failure_detector(seed, now_ms)
        self.load_gossip = LoadGossip(self, self.name, incarnation, METRICS, seed)
        self.signal_policy = FleetSignalPolicy(self, self.name, seed, self.load_gossip)
        self.admission_signals = AdmissionSignals(self.load_gossip, self.signal_policy)
        self.lease_server = self._make_lease_server(seed, now_ms)
        self.lease_client = LeaseClient(self, self.name, settings.lease_servers, settings.zone, incarnation)
        self.next_tick_s = 0.0  # monotonic
        self.next_survey_at_ms = 0.0
        self.next_summary_at_ms = now_ms + SUMMARY_INTERVAL_MS
        self.is_leaving = False
        self._update_members()

    def _make_failure_detector(self, seed: int, now_ms: float) -> FailureDetector:
        return FailureDetector(
            self,
            self.name,
            self.settings.servers,
            seed,
            self.counter.incarnation * REFUTATIONS_PER_INCARNATION,
            fixed_members=True,
            now_ms=now_ms,
        )

    def _make_lease_server(self, seed: int, now_ms: float) -> LeaseServer | None:
        settings = self.settings
        if self.name not in settings.lease_servers:
            return None
        epoch = int(clock.day() * EPOCHS_PER_S)
        return LeaseServer(
            self, self.name, settings.lease_servers, settings.lease_capacities, seed, epoch, now_ms
        )

    # -- the actor

    def start(self) -> None:
        """Starts this actor and the threads of the transport."""
        super().start()
        self.transport.start()

    def now(self) -> float:
        """Monotonic time of all parts, in ms."""
        return clock.now()

    def next_timeout(self) -> float | None:
        """Seconds until the next tick."""
        return max(0.0, self.next_tick_s - time.monotonic())

    def on_idle(self) -> None:
        """Runs the timers of all parts, where a tick is due."""
        if time.monotonic() < self.next_tick_s:
            return
        self.next_tick_s = time.monotonic() + TICK_INTERVAL_S
        now_ms = self.now()
        self.failure_detector.tick(now_ms)
        if self.lease_server is not None:
            self.lease_server.tick(now_ms)
        self.lease_client.tick(now_ms)
        self.load_gossip.tick(now_ms)
        if now_ms >= self.next_survey_at_ms:
            self.next_survey_at_ms = now_ms + self._survey_interval_ms()
            self.survey(self.on_surveyed)
        if now_ms >= self.next_summary_at_ms:
            self.next_summary_at_ms = now_ms + SUMMARY_INTERVAL_MS
            self._log_summary(now_ms)

    def _survey_interval_ms(self) -> float:
        if self.signal_policy.records_health.state is RecordsState.UNAVAILABLE:
            return SURVEY_INTERVAL_WHILE_UNAVAILABLE_MS
        return SURVEY_INTERVAL_MS

    # -- the admission actor, and the server process

    def on_surveyed(self, metrics: dict[str, float]) -> None:
        """Takes the metrics of this server; called on the admission actor's thread."""
        self.post(self.report, metrics)

    def report(self, metrics: dict[str, float]) -> None:
        """Reports metrics to the fleet, and tells admission of signals that changed."""
        now_ms = self.now()
        self.admission_signals.report(now_ms, metrics)
        signals = self.admission_signals.update(now_ms, self.settings)
        if signals is not None:
            self.apply_signals(signals)

    def allow(self, record: dict[str, Any]) -> None:
        """Takes over from settings that were read anew which signals may be acted on."""
        self.settings = self.settings.reloaded(record)
        log.info(
            "fleet_settings_reloaded", records=self.settings.acts_on_records, full=self.settings.acts_on_full
        )

    def leave(self) -> None:
        """At the shutdown: releases all leases, so that others need not wait, and asks for none any more."""
        self.is_leaving = True
        for lease_name in list(self.lease_client.requests):
            self.lease_client.release(lease_name)

    def _log_summary(self, now_ms: float) -> None:
        members = self.failure_detector.membership.members.values()
        log.info(
            "together",
            there=sum(member.state == MemberState.ALIVE for member in members),
            records=self.signal_policy.records_health.state,
            **self.admission_signals.summary(now_ms),
            room=round(self.admission_signals.signals.call_capacity, LOGGED_DIGITS),
            bytes_sent=self.transport.bytes_sent,
            datagrams_sent=self.transport.datagrams_sent,
        )

    # -- what the failure detector acts through

    def send(self, to: str, kind: str, number: int, about: str, news: list[MembershipUpdate]) -> None:
        """Sends a message of the failure detector."""
        self.transport.send_datagram(to, datagrams.encode_membership(kind, number, about, news))

    def on_state_changed(self, name: str, state: MemberState) -> None:
        """Another server is seen in another state."""
        if state != MemberState.SUSPECT:
            log.info("fleet_member_seen", neighbour=name, there=state == MemberState.ALIVE)
        self._update_members()

    def _update_members(self) -> None:
        reachable = [
            name
            for name, member in self.failure_detector.membership.members.items()
            if member.state != MemberState.UNREACHABLE
        ]
        ring = MembershipView([*reachable, self.name], self.settings.fleet).ring_successors(RINGS)[self.name]
        self.load_gossip.set_members(reachable, ring)

    # -- what gossip, leases and the signal policy act through

    def send_load_reports(self, to: str, reports: list[LoadReport]) -> None:
        """Sends load reports."""
        self.transport.send_datagram(to, datagrams.encode_load_reports(reports))

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        """Sends a message of the lease protocol; one to this process goes through the mailbox."""
        if to == self.name:
            self.post(self.receive_lease_message, to, message)
        else:
            self.transport.send_datagram(to, datagrams.encode_lease(message))

    def receive_lease_message(self, sender: str, message: LeaseMessage) -> None:
        """Hands a message to the lease client, or to the lease server if there is one."""
        if isinstance(message, ClientMessage):
            self.lease_client.receive(self.now(), sender, message)
        elif self.lease_server is not None:
            self.lease_server.receive(self.now(), sender, message)

    def request_probe_lease(self) -> None:
        """Asks for the probe lease; not at the shutdown, which would keep it from all others for a while."""
        if not self.is_leaving:
            self.lease_client.acquire(self.now(), PROBE_LEASE_NAME)

    def release_probe_lease(self) -> None:
        """Gives the probe lease back."""
        self.lease_client.release(PROBE_LEASE_NAME)

    def holds_probe_lease(self) -> bool:
        """Whether the probe lease is held now."""
        return self.lease_client.fencing_token(self.now(), PROBE_LEASE_NAME) != 0

    def log_event(self, event: str, **fields: Any) -> None:
        """Counts and logs an event."""
        if event in SAMPLED_EVENTS:
            self.metrics.log_sampled(event, **fields)
            return
        self.metrics.increment(event)
        log.info(event, **fields)

    # -- what the transport tells

    def on_datagram(self, peer: str, body: Any) -> None:
        """Hands a datagram to the part that it is for."""
        try:
            self._receive(peer, body)
        except MALFORMED as problem:
            self.metrics.log_sampled("peer_malformed", peer=peer, kind="datagram", problem=str(problem))

    def _receive(self, peer: str, body: Any) -> None:
        match datagrams.decode(body):
            case MembershipDatagram(kind, number, about, news):
                self.failure_detector.receive(self.now(), peer, kind, number, about, news)
            case LoadReportsDatagram(reports):
                self.load_gossip.receive(self.now(), peer, reports)
            case LeaseDatagram(message):
                self.receive_lease_message(peer, message)

    def on_message(self, peer: str, kind: str, body: Any) -> None:
        """Does nothing: there are no streams between servers."""

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """Does nothing: there are no streams between servers."""

    def on_peer_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Does nothing: a server keeps nothing on disk."""

    def on_later_incarnation(self, incarnation: int, nonce: int) -> None:
        """Goes on under an incarnation later than the one that another server knows."""
        now_ms = self.now()
        known = incarnation
        if not self.counter.raise_above(now_ms, known):
            self.metrics.log_sampled("name_disputed", name=self.name)
            return
        incarnation = self.counter.incarnation
        log.warning("life_raised", life=incarnation, known=known)
        self.failure_detector.membership.restart(incarnation * REFUTATIONS_PER_INCARNATION)
        self.load_gossip.incarnation = incarnation
        self.lease_client.begin_incarnation(now_ms, incarnation)
        self.transport.begin_incarnation(incarnation, self.counter.nonce)


def measure() -> LoadSampler:
    """The sampler that the admission actor tells of its calls."""
    return LoadSampler()
