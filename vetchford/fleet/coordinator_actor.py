"""The transport adapter of an agent's fleet: connects `coordinator` and `failure_detector` to sockets.

Lives on the agent's thread, which alone calls it. In the agent's store it keeps this agent's incarnation and
the identity of the store ("self"), the incarnations of others that it has heard of ("peer"), the fleet's
record ("book") and the controls of rollouts ("orders").
"""

import random
import uuid
import zlib
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import structlog

from vetchford.fleet.agent_settings import AgentSettings
from vetchford.fleet.coordinator import CONTROLS_KIND, FleetCoordinator
from vetchford.fleet.coordinator_messages import RECORD_KIND, Step
from vetchford.fleet.failure_detector import FailureDetector
from vetchford.fleet.fleet_record import founding_record
from vetchford.fleet.fleet_view import AgentReport
from vetchford.fleet.history_store import Store, StoredRecord
from vetchford.fleet.local_steps import begin_step, step_results
from vetchford.fleet.membership import MemberState
from vetchford.fleet.membership_updates import MembershipUpdate
from vetchford.fleet.rollout_controller import RolloutController
from vetchford.fleet.tool_requests import Answer
from vetchford.runtime.actor import Actor
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics
from vetchford.transport.connections import Transport
from vetchford.transport.framing import MALFORMED
from vetchford.transport.peers import Identity, LinkState

log = structlog.get_logger()

REFUTATIONS_PER_INCARNATION = 1 << 20  # numbers for suspicions that are denied: one a second lasts 12 days
DISPUTE_WINDOW_MS = 60_000.0  # ms
MAX_INCARNATIONS_RAISED = 5  # in that window, as others knew a later one: then two machines have this name

# What other agents can provoke is logged ever more rarely.
SAMPLED_EVENTS = frozenset(
    ("order_refused", "record_message_unknown", "peer_message_unknown", "record_not_stored")
)
STATE_SHOWN = {
    MemberState.ALIVE: "there",
    MemberState.SUSPECT: "may be there",
    MemberState.UNREACHABLE: "not seen",
}
STORED_SELF, STORED_PEER = "self", "peer"


class Owner(Protocol):
    """The agent."""

    store: Store
    controller: RolloutController
    settings: AgentSettings


class CoordinatorActor:
    """An agent's membership in its fleet; `start` opens it, the agent's turns call `tick`."""

    def __init__(self, actor: Actor, owner: Owner, settings: dict[str, Any], metrics: Metrics) -> None:
        """`settings`: the record `peers`. OSError where its address can't be had or the store fails."""
        self.owner, self.settings, self.metrics = owner, settings, metrics
        self.name: str = settings["name"]
        stored = owner.store.records()
        self.incarnation, self.store_identity = next_incarnation(stored)
        self.nonce = draw_nonce()
        self.save_self()
        self.incarnation_raised_at_ms: list[float] = []  # within DISPUTE_WINDOW
        agents: dict[str, str] = settings["agents"]
        seed, now_ms = zlib.crc32(settings["fleet"].encode()), self.now()
        self.transport = Transport(
            actor,
            self,
            metrics,
            Identity(settings["fleet"], self.name, self.incarnation, self.nonce),
            settings["listen"],
            agents,
            seed,
        )
        self.failure_detector = FailureDetector(
            self,
            self.name,
            agents,
            seed + self.incarnation,
            self.detector_incarnation(),
            fixed_members=True,
            now_ms=now_ms,
        )
        self.coordinator = FleetCoordinator(
            self,
            self.name,
            seed,
            self.store_identity,
            founding_record(list(agents)),
            now_ms,
            self.incarnation,
        )
        self.restore(stored)

    def restore(self, stored: Iterable[StoredRecord]) -> None:
        """Takes in what the store has of earlier incarnations."""
        peers = self.transport.sessions.peers
        for kind, name, body in stored:
            if kind == STORED_PEER and name in peers:
                peers[name].incarnation, peers[name].nonce = body["life"], body["nonce"]
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

    def save_self(self) -> None:
        """Stores this agent's incarnation; OSError where the store fails."""
        body = {"life": self.incarnation, "store": self.store_identity}
        self.owner.store.put(STORED_SELF, "life", body)

    def detector_incarnation(self) -> int:
        """The failure detector's first incarnation in this one of the agent: above all earlier ones."""
        return self.incarnation * REFUTATIONS_PER_INCARNATION

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
            kind, number, about, encoded = body
            updates = [(str(name), str(state), int(at)) for name, state, at in encoded]
            self.failure_detector.receive(self.now(), peer, str(kind), int(number), str(about), updates)
        except MALFORMED as problem:
            self.metrics.log_sampled("peer_malformed", peer=peer, kind="news", problem=str(problem))

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """A stream has changed its state."""
        if state is LinkState.UP:
            log.info("peer_up", peer=peer)

    def on_peer_incarnation(self, peer: str, life: int, nonce: int) -> None:
        """Another agent has a new incarnation."""
        try:
            self.owner.store.put(STORED_PEER, peer, {"life": life, "nonce": nonce})
        except OSError as problem:  # it is known until our own end
            self.metrics.log_sampled("peer_not_stored", problem=str(problem))

    def on_later_incarnation(self, life: int, nonce: int) -> None:
        """Another agent knows a later incarnation of our name.

        Our store is an old copy or empty, or two machines use the name.
        """
        now_ms = self.now()
        recent = [at for at in self.incarnation_raised_at_ms if now_ms - at < DISPUTE_WINDOW_MS]
        self.incarnation_raised_at_ms = recent
        if len(recent) >= MAX_INCARNATIONS_RAISED:
            self.metrics.log_sampled("name_disputed", name=self.name)
            return
        recent.append(now_ms)
        self.raise_incarnation(now_ms, life)

    def raise_incarnation(self, now_ms: float, known: int) -> None:
        """Begins an incarnation above `known`, with a new identity of the store."""
        before = self.incarnation, self.store_identity
        self.incarnation, self.nonce = max(known, self.incarnation) + 1, draw_nonce()
        # The store's votes may be lost: votes of this agent count once the record lists its new identity.
        self.coordinator.record.replace_store(now_ms, uuid.uuid4().hex)
        self.store_identity = self.coordinator.record.store
        try:
            self.save_self()
        except OSError as problem:  # others go on refusing this one, and say so on each new connection
            self.incarnation, self.store_identity = before
            self.metrics.log_sampled("incarnation_not_stored", problem=str(problem))
            return
        log.warning("life_raised", life=self.incarnation, known=known)
        self.failure_detector.membership.restart(self.detector_incarnation())
        self.transport.begin_incarnation(self.incarnation, self.nonce)

    # -- actions of the failure detector

    def send(self, to: str, kind: str, number: int, about: str, updates: list[MembershipUpdate]) -> None:
        """One datagram; it may be lost."""
        self.transport.send_datagram(to, [kind, number, about, updates])

    def on_state_changed(self, name: str, state: MemberState) -> None:
        """Another agent is seen otherwise than before."""
        log.info("peer_state_changed", peer=name, state=STATE_SHOWN[state])

    # -- actions of the coordinator

    def post(self, to: str, kind: str, body: dict[str, Any]) -> bool:
        """Sends a message; False where it is known not to go."""
        return self.transport.send(to, kind, body)

    def keep(self, kind: str, name: str, body: Any) -> None:
        """Stores a record; OSError where the store fails."""
        self.owner.store.put(kind, name, body, history=kind != RECORD_KIND)

    def report(self, rollouts: set[str]) -> AgentReport:
        """What the leader is told of this agent."""
        local, definitions = self.owner.controller, self.owner.settings.instances
        instances: Any = {
            one.name: {
                "state": one.state,
                "unseen": one.awaiting_first_check,
                "group": one.settings.group,
                "why": one.reason,
                "version": one.running_version or one.version,
                "declared": definitions[one.name].version,
                "wanted": one.wanted,
                "labels": definitions[one.name].labels,
                "killed": one.kill_count,
                "change": owner.id if (owner := local.rollout_of(one.name)) else "",
            }
            for one in local.instances.values()
        }
        return {
            "instances": instances,
            "locals": step_results(local, rollouts),
            "versions": sorted(self.owner.settings.versions),
        }

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

    def request(self, request: dict[str, Any], reply: Callable[[Answer], None]) -> None:
        """A tool's request; `reply` is called once. RefusedError for what is refused at once."""
        if request.get("ask") == "peers":
            reply(self.describe_peers())
            return
        self.coordinator.request(self.now(), request, reply)

    def describe_peers(self) -> Answer:
        """Connections, states of the members and the record, as this agent sees them."""
        record = self.coordinator.record
        rows = self.transport.sessions.status()
        for row in rows:
            member = self.failure_detector.membership.members.get(row["name"])
            row["view"] = STATE_SHOWN[member.state if member else MemberState.UNREACHABLE]
            row["member"] = record.is_member(row["name"])
            row["voter"] = row["name"] in record.voters()
        return {
            "name": self.name,
            "fleet": self.settings["fleet"],
            "life": self.incarnation,
            "peers": rows,
            "book": record.status(),
            "log": record.body["log"],
            "bytes_sent": self.transport.bytes_sent,
            "datagrams_sent": self.transport.datagrams_sent,
        }


def next_incarnation(stored: Iterable[StoredRecord]) -> tuple[int, str]:
    """The incarnation after the one that is stored, and the identity of the store, which may be new."""
    for kind, _, body in stored:
        if kind == STORED_SELF:
            return body["life"] + 1, body["store"]
    return 1, uuid.uuid4().hex


def draw_nonce() -> int:
    """Tells apart two programs that claim one incarnation of one name."""
    return random.SystemRandom().getrandbits(62)
