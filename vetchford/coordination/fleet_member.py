"""A server's membership in its fleet: an actor for failure detection, load reports and leases over datagrams.

It has one thread. It requests metrics from the admission actor and sends it signals, neither of which blocks
that actor. If no other server is reachable, the signals are those of a server without a fleet.

`FleetMember` implements the actions of the failure detector, gossip, leases and signals, with one section for
each; it makes no decisions itself.
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
from vetchford.transport.framing import MALFORMED_BODY_ERRORS
from vetchford.transport.peers import Identity, LinkState

log = structlog.get_logger()

TICK_INTERVAL_S = 0.05
METRICS_INTERVAL_MS = 200.0  # between two requests for metrics
METRICS_INTERVAL_WHILE_UNAVAILABLE_MS = 100.0  # shorter, to detect the first answer of the service sooner
SUMMARY_INTERVAL_MS = 10_000.0
RINGS = 3  # rings of all servers; load reports are sent to the successor in each
REFUTATIONS_PER_INCARNATION = 1 << 20  # as in fleet/coordinator_adapter.py
SAMPLED_EVENTS = frozenset(
    ("lease_queue_full", "lease_expired")
)  # caused by other servers: log lines are sampled


class FleetMember(Actor):
    """The actor; start it after the admission actor. Other threads post to it or call `on_metrics`."""

    def __init__(
        self,
        record: dict[str, Any],
        seed: int,
        metrics: Metrics,
        request_metrics: Callable[[Any], None],
        apply_signals: Callable[[FleetSignals], None],
    ) -> None:
        """Bind the address; raise OSError if that fails.

        Args:
            record: Record `together` of the settings, which the settings reader has validated.
            seed: Seed, the same on all servers of the fleet.
            metrics: Counters of events.
            request_metrics: Called with a callback, which is to be called with this server's metrics.
            apply_signals: Called with the signals that apply from now on.
        """
        super().__init__("fleet-member", metrics)
        self.settings = settings = FleetMemberSettings.from_record(record)
        self.name = settings.name
        self.request_metrics = request_metrics
        self.apply_signals = apply_signals
        self.incarnation_counter = IncarnationCounter()
        incarnation = self.incarnation_counter.incarnation
        identity = Identity(settings.fleet, self.name, incarnation, self.incarnation_counter.nonce)
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
        self.next_metrics_request_at_ms = 0.0
        self.next_summary_at_ms = now_ms + SUMMARY_INTERVAL_MS
        self.is_leaving = False
        self._update_members()

    def _make_failure_detector(self, seed: int, now_ms: float) -> FailureDetector:
        return FailureDetector(
            self,
            self.name,
            self.settings.servers,
            seed,
            self.incarnation_counter.incarnation * REFUTATIONS_PER_INCARNATION,
            fixed_members=True,
            now_ms=now_ms,
        )

    def _make_lease_server(self, seed: int, now_ms: float) -> LeaseServer | None:
        settings = self.settings
        if self.name not in settings.lease_servers:
            return None
        epoch = int(clock.unix_time_s() * EPOCHS_PER_S)
        return LeaseServer(
            self, self.name, settings.lease_servers, settings.lease_capacities, seed, epoch, now_ms
        )

    # -- actor

    def start(self) -> None:
        """Start this actor and the threads of the transport."""
        super().start()
        self.transport.start()

    def now(self) -> float:
        """Return the monotonic time of all components, in ms."""
        return clock.now_ms()

    def next_timeout(self) -> float | None:
        """Return the seconds until the next tick."""
        return max(0.0, self.next_tick_s - time.monotonic())

    def on_idle(self) -> None:
        """Run the timers of all components if a tick is due."""
        if time.monotonic() < self.next_tick_s:
            return
        self.next_tick_s = time.monotonic() + TICK_INTERVAL_S
        now_ms = self.now()
        self.failure_detector.tick(now_ms)
        if self.lease_server is not None:
            self.lease_server.tick(now_ms)
        self.lease_client.tick(now_ms)
        self.load_gossip.tick(now_ms)
        if now_ms >= self.next_metrics_request_at_ms:
            self.next_metrics_request_at_ms = now_ms + self._metrics_interval_ms()
            self.request_metrics(self.on_metrics)
        if now_ms >= self.next_summary_at_ms:
            self.next_summary_at_ms = now_ms + SUMMARY_INTERVAL_MS
            self._log_summary(now_ms)

    def _metrics_interval_ms(self) -> float:
        if self.signal_policy.records_health.state is RecordsState.UNAVAILABLE:
            return METRICS_INTERVAL_WHILE_UNAVAILABLE_MS
        return METRICS_INTERVAL_MS

    # -- admission actor and server process

    def on_metrics(self, metrics: dict[str, float]) -> None:
        """Post the metrics of this server; called on the thread of the admission actor."""
        self.post(self.report, metrics)

    def report(self, metrics: dict[str, float]) -> None:
        """Report metrics to the fleet, and pass changed signals to admission."""
        now_ms = self.now()
        self.admission_signals.report(now_ms, metrics)
        signals = self.admission_signals.update(now_ms, self.settings)
        if signals is not None:
            self.apply_signals(signals)

    def apply_reloaded_settings(self, record: dict[str, Any]) -> None:
        """Apply reloaded settings on which signals are permitted."""
        self.settings = self.settings.reloaded(record)
        log.info(
            "fleet_settings_reloaded", records=self.settings.acts_on_records, full=self.settings.acts_on_full
        )

    def release_leases_for_shutdown(self) -> None:
        """Release all leases at the shutdown, so that other servers need not wait, and request no more."""
        self.is_leaving = True
        for lease_name in list(self.lease_client.requests):
            self.lease_client.release(lease_name)

    def _log_summary(self, now_ms: float) -> None:
        members = self.failure_detector.membership.members.values()
        log.info(
            "together",  # the fleet as this server sees it
            there=sum(member.state == MemberState.ALIVE for member in members),
            records=self.signal_policy.records_health.state,
            **self.admission_signals.summary(now_ms),
            room=round(self.admission_signals.signals.call_capacity, LOGGED_DIGITS),  # usable share of calls
            bytes_sent=self.transport.bytes_sent,
            datagrams_sent=self.transport.datagrams_sent,
        )

    # -- actions of the failure detector

    def send(self, to: str, kind: str, number: int, target: str, updates: list[MembershipUpdate]) -> None:
        """Send a message of the failure detector."""
        self.transport.send_datagram(to, datagrams.encode_membership(kind, number, target, updates))

    def on_state_changed(self, name: str, state: MemberState) -> None:
        """Handle a change of the state of another server."""
        if state != MemberState.SUSPECT:
            # Logged for both changes: `there` is false for a server that has become unreachable.
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

    # -- actions of gossip, leases and the signal policy

    def send_load_reports(self, to: str, reports: list[LoadReport]) -> None:
        """Send load reports."""
        self.transport.send_datagram(to, datagrams.encode_load_reports(reports))

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        """Send a message of the lease protocol; a message to this process goes through the mailbox."""
        if to == self.name:
            self.post(self.receive_lease_message, to, message)
        else:
            self.transport.send_datagram(to, datagrams.encode_lease(message))

    def receive_lease_message(self, sender: str, message: LeaseMessage) -> None:
        """Pass a message to the lease client, or to the lease server if this server has one."""
        if isinstance(message, ClientMessage):
            self.lease_client.receive(self.now(), sender, message)
        elif self.lease_server is not None:
            self.lease_server.receive(self.now(), sender, message)

    def request_probe_lease(self) -> None:
        """Request the probe lease; not in a shutdown, after which it would block others until it expires."""
        if not self.is_leaving:
            self.lease_client.acquire(self.now(), PROBE_LEASE_NAME)

    def release_probe_lease(self) -> None:
        """Release the probe lease, or stop requesting it."""
        self.lease_client.release(PROBE_LEASE_NAME)

    def holds_probe_lease(self) -> bool:
        """Return whether this server holds the probe lease now."""
        return self.lease_client.fencing_token(self.now(), PROBE_LEASE_NAME) != 0

    def log_event(self, event: str, **fields: Any) -> None:
        """Count and log an event."""
        if event in SAMPLED_EVENTS:
            self.metrics.log_sampled(event, **fields)
            return
        self.metrics.increment(event)
        log.info(event, **fields)

    # -- callbacks of the transport

    def on_datagram(self, peer: str, body: Any) -> None:
        """Pass a datagram to the component that handles its kind."""
        try:
            self._receive(peer, body)
        except MALFORMED_BODY_ERRORS as problem:
            self.metrics.log_sampled("peer_malformed", peer=peer, kind="datagram", problem=str(problem))

    def _receive(self, peer: str, body: Any) -> None:
        match datagrams.decode(body):
            case MembershipDatagram(kind, number, target, updates):
                self.failure_detector.receive(self.now(), peer, kind, number, target, updates)
            case LoadReportsDatagram(reports):
                self.load_gossip.receive(self.now(), peer, reports)
            case LeaseDatagram(message):
                self.receive_lease_message(peer, message)

    def on_message(self, peer: str, kind: str, body: Any) -> None:
        """Do nothing: there are no streams between servers."""

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """Do nothing: there are no streams between servers."""

    def on_peer_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Do nothing: a server stores nothing on disk."""

    def on_later_incarnation(self, incarnation: int, nonce: int) -> None:
        """Begin an incarnation above the one that another server knows."""
        now_ms = self.now()
        known = incarnation
        if not self.incarnation_counter.raise_above(now_ms, known):
            self.metrics.log_sampled("name_disputed", name=self.name)
            return
        incarnation = self.incarnation_counter.incarnation
        log.warning("life_raised", life=incarnation, known=known)  # "life" is the incarnation
        self.failure_detector.membership.start_incarnation(incarnation * REFUTATIONS_PER_INCARNATION)
        self.load_gossip.incarnation = incarnation
        self.lease_client.begin_incarnation(now_ms, incarnation)
        self.transport.begin_incarnation(incarnation, self.incarnation_counter.nonce)


def make_load_sampler() -> LoadSampler:
    """Create the sampler to which the admission actor reports its calls."""
    return LoadSampler()
