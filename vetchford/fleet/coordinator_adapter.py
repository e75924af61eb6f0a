"""The transport adapter of an agent in a fleet: connects `coordinator` and `failure_detector` to sockets.

Used by the agent's thread only. It writes to the agent's store: this agent's incarnation and the identity of
the store ("self"), the known incarnations of other agents ("peer"), the replicated record ("book") and the
controls of rollouts ("orders").
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
from vetchford.fleet.peer_status import ENCODED_MEMBER_STATES, FullPeersReply, FullPeerStatus, encode_status
from vetchford.fleet.rollout_controller import RolloutController
from vetchford.runtime.actor import Actor
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics
from vetchford.transport.connections import Transport
from vetchford.transport.framing import MALFORMED_BODY_ERRORS
from vetchford.transport.peers import Identity, LinkState

log = structlog.get_logger()

REFUTATIONS_PER_INCARNATION = 1 << 20  # refutations of suspicions: at one per second, 12 days
# Events that other agents can cause repeatedly; they are sampled to limit the log volume.
SAMPLED_EVENTS = frozenset(
    ("order_refused", "record_message_unknown", "peer_message_unknown", "record_not_stored")
)


class CoordinatedAgent(Protocol):
    """The agent, as far as its coordinator needs it."""

    store: Store
    controller: RolloutController
    settings: AgentSettings


class CoordinatorAdapter:
    """An agent's membership in its fleet; the agent calls `start` once and `tick` periodically."""

    def __init__(
        self, actor: Actor, agent: CoordinatedAgent, settings: PeerSettings, metrics: Metrics
    ) -> None:
        """Bind the address and store a new incarnation. Raises OSError if the address or the store fails."""
        self.agent = agent
        self.settings = settings
        self.metrics = metrics
        self.name = self.settings.name
        stored = agent.store.records()
        self.own_incarnation = OwnIncarnation(agent.store, stored)
        self.own_incarnation.save()
        agents = self.settings.agents
        seed = zlib.crc32(self.settings.fleet.encode())
        now_ms = self.now()
        self.transport = Transport(
            actor,
            self,
            metrics,
            Identity(self.settings.fleet, self.name, self.own_incarnation.number, self.own_incarnation.nonce),
            self.settings.listen,
            agents,
            seed,
        )
        self.failure_detector = FailureDetector(
            self,
            self.name,
            agents,
            seed + self.own_incarnation.number,
            self.detector_incarnation(),
            fixed_members=True,
            now_ms=now_ms,
        )
        self.coordinator = FleetCoordinator(
            self,
            self.name,
            seed,
            self.own_incarnation.store_identity,
            founding_record(list(agents)),
            now_ms,
            self.own_incarnation.number,
        )
        self.restore(stored)

    @property
    def incarnation(self) -> int:
        """The incarnation of this agent: the number of its starts and of raises above a later known one."""
        return self.own_incarnation.number

    def restore(self, stored: Iterable[StoredRecord]) -> None:
        """Restore the state that earlier incarnations have stored."""
        peers = self.transport.sessions.peers
        for kind, name, body in stored:
            if kind == STORED_PEER and name in peers:
                stored_peer = msgspec.convert(body, StoredPeer)
                peers[name].incarnation = stored_peer.incarnation
                peers[name].nonce = stored_peer.nonce
            elif kind in (RECORD_KIND, CONTROLS_KIND):
                self.coordinator.restore(kind, name, body)

    def start(self) -> None:
        """Start the threads of the transport, which accept connections and receive messages."""
        self.transport.start()

    def now(self) -> float:
        """Return the monotonic time in ms."""
        return clock.now_ms()

    def tick(self) -> None:
        """Run the periodic work; called about 20 times a second."""
        now_ms = self.now()
        self.transport.tick()
        self.failure_detector.tick(now_ms)
        self.coordinator.tick(now_ms)

    def detector_incarnation(self) -> int:
        """Return the failure detector's first incarnation within the agent's, above all earlier ones."""
        return self.own_incarnation.number * REFUTATIONS_PER_INCARNATION

    # -- events of the transport

    def on_message(self, peer: str, kind: str, body: Any) -> None:
        """Pass a message of another agent to the coordinator."""
        try:
            self.coordinator.receive(self.now(), peer, kind, body)
        except MALFORMED_BODY_ERRORS as problem:
            problem_text = f"{type(problem).__name__}: {problem}"
            self.metrics.log_sampled("peer_malformed", peer=peer, kind=kind, problem=problem_text)

    def on_datagram(self, peer: str, body: Any) -> None:
        """Pass a datagram of another agent to the failure detector."""
        try:
            datagram = detector_datagrams.decode(body)
            self.failure_detector.receive(
                self.now(), peer, datagram.kind, datagram.probe_number, datagram.target, datagram.updates
            )
        except MALFORMED_BODY_ERRORS as problem:
            self.metrics.log_sampled("peer_malformed", peer=peer, kind="news", problem=str(problem))

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """Log that the link to another agent is up."""
        if state is LinkState.UP:
            log.info("peer_up", peer=peer)

    def on_peer_incarnation(self, peer: str, incarnation: int, nonce: int) -> None:
        """Store a new incarnation of another agent."""
        try:
            self.agent.store.put(STORED_PEER, peer, msgspec.to_builtins(StoredPeer(incarnation, nonce)))
        except OSError as problem:  # the incarnation is known until this agent ends
            self.metrics.log_sampled("peer_not_stored", problem=str(problem))

    def on_later_incarnation(self, incarnation: int, nonce: int) -> None:
        """Raise this agent's incarnation above a later one that another agent knows.

        Either this agent's store is empty or an old copy, or two machines use its name.
        """
        now_ms = self.now()
        if self.own_incarnation.is_disputed(now_ms):
            self.metrics.log_sampled("name_disputed", name=self.name)
            return
        self.raise_incarnation(now_ms, incarnation)

    def raise_incarnation(self, now_ms: float, known: int) -> None:
        """Begin an incarnation above `known`, with a new identity of the store."""
        record = self.coordinator.record
        # The store may have lost votes; this agent's votes count once the record lists the new identity.
        record.replace_store(now_ms, uuid.uuid4().hex)
        try:
            self.own_incarnation.raise_above(now_ms, known, record.store)
        except OSError as problem:  # others keep refusing this agent and report it on each connection
            self.metrics.log_sampled("incarnation_not_stored", problem=str(problem))
            return
        log.warning("life_raised", life=self.own_incarnation.number, known=known)  # "life": incarnation
        self.failure_detector.membership.start_incarnation(self.detector_incarnation())
        self.transport.begin_incarnation(self.own_incarnation.number, self.own_incarnation.nonce)

    # -- actions of the failure detector

    def send(
        self, to: str, kind: str, probe_number: int, target: str, updates: list[MembershipUpdate]
    ) -> None:
        """Send a datagram of the failure detector; it may be lost."""
        datagram = DetectorDatagram(kind, probe_number, target, updates)
        self.transport.send_datagram(to, detector_datagrams.encode(datagram))

    def on_state_changed(self, name: str, state: MemberState) -> None:
        """Log that the state of another agent has changed."""
        log.info("peer_state_changed", peer=name, state=state.name.lower())

    # -- actions of the coordinator

    def post(self, to: str, kind: str, body: dict[str, Any]) -> bool:
        """Send a message; return False if it certainly was not sent."""
        return self.transport.send(to, kind, body)

    def save_record(self, kind: str, name: str, body: Any) -> None:
        """Write a record to the store; None deletes it. Raises OSError if the store fails."""
        self.agent.store.put(kind, name, body, history=kind != RECORD_KIND)

    def report(self, rollouts: set[str]) -> AgentReport:
        """Return this agent's report to the leader."""
        return make_report(self.agent.controller, self.agent.settings, rollouts)

    def begin_step(self, step: Step) -> str:
        """Start a step on this agent; return an empty string, or why the step was refused."""
        return begin_step(self.agent.controller, self.now(), step)

    def log_event(self, event: str, **fields: Any) -> None:
        """Write a log event of the coordinator."""
        if event in SAMPLED_EVENTS:
            self.metrics.log_sampled(event, **fields)
        else:
            log.info(event, **fields)

    # -- tools

    def request(self, request: dict[str, Any], reply: Callable[[EncodedReply], None]) -> None:
        """Answer a tool's request by calling `reply` once. Raises RefusedError for an immediate refusal."""
        if request.get("ask") == "peers":
            reply(self.describe_peers())
            return
        self.coordinator.request(self.now(), request, reply)

    def describe_peers(self) -> EncodedReply:
        """Return the links, member states and the record as seen by this agent."""
        record = self.coordinator.record
        status = FullPeersReply(
            name=self.name,
            fleet=self.settings.fleet,
            incarnation=self.own_incarnation.number,
            peers=[self.describe_peer(session) for session in self.transport.sessions.status()],
            record=record.status(),
            log=record.body["log"],
            bytes_sent=self.transport.bytes_sent,
            datagrams_sent=self.transport.datagrams_sent,
        )
        return encode_status(status)

    def describe_peer(self, session: dict[str, Any]) -> FullPeerStatus:
        """Describe another agent; `session` is its row in the status of the transport."""
        record = self.coordinator.record
        name = session["name"]
        member = self.failure_detector.membership.members.get(name)
        member_state = member.state if member else MemberState.UNREACHABLE
        return FullPeerStatus(
            name=name,
            link_state=str(session["link"]),
            incarnation=session["life"],
            last_failure=session["why"],
            member_state=ENCODED_MEMBER_STATES[member_state],
            is_member=record.is_member(name),
            is_voter=name in record.voters(),
        )
