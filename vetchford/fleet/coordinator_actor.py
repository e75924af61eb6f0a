"""The transport adapter of an agent's fleet: connects `coordinator` and `failure_detector` to sockets.

Lives on the agent's thread, which alone calls it. In the agent's store it keeps this agent's incarnation and
the identity of the store ("self"), the incarnations of others that it has heard of ("peer"), the fleet's
record ("book") and the controls of rollouts ("orders").
"""

import uuid
import zlib
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec
import structlog

from vetchford.fleet import detector_datagrams
from vetchford.fleet.agent_messages import EncodedReply
from vetchford.fleet.agent_report import make_report
from vetchford.fleet.agent_settings import AgentSettings, PeerSettings
from vetchford.fleet.coordinator import CONTROLS_KIND, FleetCoordinator
from vetchford.fleet.coordinator_messages import RECORD_KIND, Step
from vetchford.fleet.detector_datagrams import DetectorDatagram
from vetchford.fleet.failure_detector import FailureDetector
from vetchford.fleet.fleet_record import founding_record
from vetchford.fleet.fleet_view import AgentReport
from vetchford.fleet.history_store import Store, StoredRecord
from vetchford.fleet.local_steps import begin_step
from vetchford.fleet.membership import MemberState
from vetchford.fleet.membership_updates import MembershipUpdate
from vetchford.fleet.own_incarnation import OwnIncarnation
from vetchford.fleet.peer_records import STORED_PEER, StoredPeer
from vetchford.fleet.peer_status import SHOWN_MEMBER_STATES, FullPeersReply, FullPeerStatus, encode_status
from vetchford.fleet.rollout_controller import RolloutController
from vetchford.runtime.actor import Actor
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics
from vetchford.transport.connections import Transport
from vetchford.transport.framing import MALFORMED
from vetchford.transport.peers import Identity, LinkState

log = structlog.get_logger()

REFUTATIONS_PER_INCARNATION = 1 << 20  # numbers for suspicions that are denied: one a second lasts 12 days
# What other agents can provoke is logged ever more rarely.
SAMPLED_EVENTS = frozenset(
    ("order_refused", "record_message_unknown", "peer_message_unknown", "record_not_stored")
)


class Owner(Protocol):
    """The agent."""

    store: Store
    controller: RolloutController
    settings: AgentSettings


class CoordinatorActor:
    """An agent's membership in its fleet; `start` opens it, the agent's turns call `tick`."""

    def __init__(self, actor: Actor, owner: Owner, settings: PeerSettings, metrics: Metrics) -> None:
        """OSError where its address can't be had or the store fails."""
        self.owner = owner
        self.settings = settings
        self.metrics = metrics
        self.name = self.settings.name
        stored = owner.store.records()
        self.own = OwnIncarnation(owner.store, stored)
        self.own.save()
        agents = self.settings.agents
        seed = zlib.crc32(self.settings.fleet.encode())
        now_ms = self.now()
        self.transport = Transport(
            actor,
            self,
            metrics,
            Identity(self.settings.fleet, self.name, self.own.number, self.own.nonce),
            self.settings.listen,
            agents,
            seed,
        )
        self.failure_detector = FailureDetector(
            self,
            self.name,
            agents,
            seed + self.own.number,
            self.detector_incarnation(),
            fixed_members=True,
            now_ms=now_ms,
        )
        self.coordinator = FleetCoordinator(
            self,
            self.name,
            seed,
            self.own.store_identity,
            founding_record(list(agents)),
            now_ms,
            self.own.number,
        )
        self.restore(stored)

    @property
    def incarnation(self) -> int:
        """Counts the starts of this agent, and the times that others knew a later one."""
        return self.own.number

    def restore(self, stored: Iterable[StoredRecord]) -> None:
        """Takes in what the store has of earlier incarnations."""
        peers = self.transport.sessions.peers
        for kind, name, body in stored:
            if kind == STORED_PEER and name in peers:
                known = msgspec.convert(body, StoredPeer)
                peers[name].incarnation = known.incarnation
                peers[name].nonce = known.nonce
            elif kind in (RECORD_KIND, CONTROLS_KIND):
                self.coordinator.restore(kind, name, body)

    def start(self) -> None:
        """Begins to accept and to read; the transport starts its threads."""
        self.transport.start()

    def now(self) -> float:
        """Monotonic, in ms."""
        return clock.now()

    def tick(self) -> None:
        """Called about ten times a second."""
        now_ms = self.now()
        self.transport.tick()
        self.failure_detector.tick(now_ms)
        self.coordinator.tick(now_ms)

    def detector_incarnation(self) -> int:
        """The failure detector's first incarnation in this one of the agent: above all earlier ones."""
        return self.own.number * REFUTATIONS_PER_INCARNATION

    # -- what the transport brings

    def on_message(self, peer: str, kind: str, body: Any) -> None:
        """A message of another agent."""
        try:
            self.coordinator.receive(self.now(), peer, kind, body)
        except MALFORMED as problem:
            text = f"{type(problem).__name__}: {problem}"
            self.metrics.log_sampled("peer_malformed", peer=peer, kind=kind, problem=text)

    def on_datagram(self, peer: str, body: Any) -> None:
        """A message of another agent's failure detector."""
        try:
            message = detector_datagrams.decode(body)
            self.failure_detector.receive(
                self.now(), peer, message.kind, message.number, message.about, message.updates
            )
        except MALFORMED as problem:
            self.metrics.log_sampled("peer_malformed", peer=peer, kind="news", problem=str(problem))

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """A stream has changed its state."""
        if state is LinkState.UP:
            log.info("peer_up", peer=peer)

    def on_peer_incarnation(self, peer: str, life: int, nonce: int) -> None:
        """Another agent has a new incarnation."""
        try:
            self.owner.store.put(STORED_PEER, peer, msgspec.to_builtins(StoredPeer(life, nonce)))
        except OSError as problem:  # it is known until our own end
            self.metrics.log_sampled("peer_not_stored", problem=str(problem))

    def on_later_incarnation(self, life: int, nonce: int) -> None:
        """Another agent knows a later incarnation of our name.

        Our store is an old copy or empty, or two machines use the name.
        """
        now_ms = self.now()
        if self.own.is_disputed(now_ms):
            self.metrics.log_sampled("name_disputed", name=self.name)
            return
        self.raise_incarnation(now_ms, life)

    def raise_incarnation(self, now_ms: float, known: int) -> None:
        """Begins an incarnation above `known`, with a new identity of the store."""
        record = self.coordinator.record
        # The store's votes may be lost: votes of this agent count once the record lists its new identity.
        record.replace_store(now_ms, uuid.uuid4().hex)
        try:
            self.own.raise_above(now_ms, known, record.store)
        except OSError as problem:  # others go on refusing this one, and say so on each new connection
            self.metrics.log_sampled("incarnation_not_stored", problem=str(problem))
            return
        log.warning("life_raised", life=self.own.number, known=known)
        self.failure_detector.membership.restart(self.detector_incarnation())
        self.transport.begin_incarnation(self.own.number, self.own.nonce)

    # -- actions of the failure detector

    def send(self, to: str, kind: str, number: int, about: str, updates: list[MembershipUpdate]) -> None:
        """One datagram; it may be lost."""
        datagram = DetectorDatagram(kind, number, about, updates)
        self.transport.send_datagram(to, detector_datagrams.encode(datagram))

    def on_state_changed(self, name: str, state: MemberState) -> None:
        """Another agent is seen otherwise than before."""
        log.info("peer_state_changed", peer=name, state=state.name.lower())

    # -- actions of the coordinator

    def post(self, to: str, kind: str, body: dict[str, Any]) -> bool:
        """Sends a message; False where it is known not to go."""
        return self.transport.send(to, kind, body)

    def keep(self, kind: str, name: str, body: Any) -> None:
        """Stores a record; OSError where the store fails."""
        self.owner.store.put(kind, name, body, history=kind != RECORD_KIND)

    def report(self, rollouts: set[str]) -> AgentReport:
        """What the leader is told of this agent."""
        return make_report(self.owner.controller, self.owner.settings, rollouts)

    def begin_step(self, step: Step) -> str:
        """Starts a step on this agent; empty, or why it was refused."""
        return begin_step(self.owner.controller, self.now(), step)

    def note(self, event: str, **fields: Any) -> None:
        """A log event of the coordinator."""
        if event in SAMPLED_EVENTS:
            self.metrics.log_sampled(event, **fields)
        else:
            log.info(event, **fields)

    # -- tools

    def request(self, request: dict[str, Any], reply: Callable[[EncodedReply], None]) -> None:
        """A tool's request; `reply` is called once. RefusedError for what is refused at once."""
        if request.get("ask") == "peers":
            reply(self.describe_peers())
            return
        self.coordinator.request(self.now(), request, reply)

    def describe_peers(self) -> EncodedReply:
        """Connections, states of the members and the record, as this agent sees them."""
        record = self.coordinator.record
        status = FullPeersReply(
            name=self.name,
            fleet=self.settings.fleet,
            incarnation=self.own.number,
            peers=[self.describe_peer(row) for row in self.transport.sessions.status()],
            record=record.status(),
            log=record.body["log"],
            bytes_sent=self.transport.bytes_sent,
            datagrams_sent=self.transport.datagrams_sent,
        )
        return encode_status(status)

    def describe_peer(self, session: dict[str, Any]) -> FullPeerStatus:
        """One other agent; `session` is the transport's row of it."""
        record = self.coordinator.record
        name = session["name"]
        member = self.failure_detector.membership.members.get(name)
        member_state = member.state if member else MemberState.UNREACHABLE
        return FullPeerStatus(
            name=name,
            link_state=str(session["link"]),
            incarnation=session["life"],
            last_failure=session["why"],
            member_state=SHOWN_MEMBER_STATES[member_state],
            is_member=record.is_member(name),
            is_voter=name in record.voters(),
        )
