"""An agent's place among other agents, on sockets: carries `coordinator` and `failure_detector` over links.

Lives on the agent's thread. What it keeps in the agent's store: its own life and the identity of the store
("self"), the lives of others that it has heard of ("peer"), the fleet's record ("book") and orders
("orders").
"""

import random
import uuid
import zlib
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from vetchford.fleet import failure_detector
from vetchford.fleet.coordinator import FleetCoordinator
from vetchford.fleet.fleet_record import founding_record
from vetchford.fleet.history_store import Store
from vetchford.fleet.rollout import RefusedError, Rollout, RolloutController
from vetchford.runtime.actor import Actor
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics
from vetchford.transport.connections import Transport
from vetchford.transport.framing import MALFORMED
from vetchford.transport.session import UP

log = structlog.get_logger()

DENIALS = 1 << 20  # incarnations within one life, for suspicions denied: one a second lasts twelve days
DISPUTED = 5  # lives begun in a minute because others knew a later one: then two machines have this name
PROVOKED = frozenset(("order_refused", "book_unknown_word", "peer_unknown_word", "book_not_kept"))
WORDS = {
    failure_detector.ALIVE: "there",
    failure_detector.SUSPECT: "may be there",
    failure_detector.DEAD: "not seen",
}

Body = dict[str, Any]


class Owner(Protocol):
    """The agent."""

    store: Store
    fleet: RolloutController
    specs: dict[str, dict[str, Any]]
    told: dict[str, Any]


class CoordinatorActor:
    """Begun by `begin`; `woke` comes from the agent's turns."""

    def __init__(self, actor: Actor, owner: Owner, told: dict[str, Any], metrics: Metrics) -> None:
        """`told`: the record `peers` of the settings. OSError where its address can't be had."""
        self.owner, self.told, self.metrics, self.name = owner, told, metrics, told["name"]
        kept = owner.store.all()
        mine = next(
            (body for kind, _, body in kept if kind == "self"), {"life": 0, "store": uuid.uuid4().hex}
        )
        self.life, self.store = mine["life"] + 1, mine["store"]
        self.nonce = random.SystemRandom().getrandbits(62)
        self.keep_self()
        self.raised: list[float] = []  # when a later life of ours was told of; a minute's
        agents: dict[str, str] = told["agents"]
        seed = zlib.crc32(told["fleet"].encode())
        now = self.now()
        self.talk = Transport(
            actor,
            self,
            metrics,
            told["fleet"],
            self.name,
            told["listen"],
            agents,
            seed,
            self.life,
            self.nonce,
        )
        for kind, name, body in kept:
            if kind == "peer" and name in self.talk.decide.peers:
                peer = self.talk.decide.peers[name]
                peer.life, peer.nonce = body["life"], body["nonce"]
        self.views = failure_detector.FailureDetector(
            self, self.name, agents, seed + self.life, self.life * DENIALS, listed=True, now=now
        )
        self.across = FleetCoordinator(
            self, self.name, seed, self.store, founding_record(sorted(agents)), now, self.life
        )
        for kind, name, body in kept:
            if kind in ("book", "orders"):
                self.across.restore(kind, name, body)

    def start(self) -> None:
        self.talk.start()

    def now(self) -> float:
        return clock.now()

    def woke(self) -> None:
        now = self.now()
        self.talk.woke()
        self.views.woke(now)
        self.across.woke(now)

    def keep_self(self) -> None:
        self.owner.store.put("self", "life", {"life": self.life, "store": self.store})

    # -- what `talk` brings

    def word(self, peer: str, kind: str, body: Any) -> None:
        try:
            self.across.heard(self.now(), peer, kind, body)
        except MALFORMED as problem:
            self.metrics.log_sampled(
                "peer_malformed", peer=peer, kind=kind, problem=f"{type(problem).__name__}: {problem}"
            )

    def datagram(self, peer: str, body: Any) -> None:
        try:
            kind, number, about, news = body
            pieces = [(str(name), str(state), int(at)) for name, state, at in news]
            self.views.heard(self.now(), peer, str(kind), int(number), str(about), pieces)
        except MALFORMED as problem:
            self.metrics.log_sampled("peer_malformed", peer=peer, kind="news", problem=str(problem))

    def linked(self, peer: str, state: str) -> None:
        if state == UP:
            log.info("peer_up", peer=peer)

    def met(self, peer: str, life: int, nonce: int) -> None:
        try:
            self.owner.store.put("peer", peer, {"life": life, "nonce": nonce})
        except OSError as problem:  # it is known until our own end
            self.metrics.log_sampled("peer_not_kept", problem=str(problem))

    def outlived(self, life: int, nonce: int) -> None:
        """Somebody knows a later life of our name: our store is an old copy or empty, or the name is used
        twice.
        """
        now = self.now()
        self.raised = [at for at in self.raised if now - at < 60_000.0]
        if len(self.raised) >= DISPUTED:
            self.metrics.log_sampled("name_disputed", name=self.name)
            return
        self.raised.append(now)
        before = self.life, self.store
        self.life, self.nonce = max(life, self.life) + 1, random.SystemRandom().getrandbits(62)
        # What the store promised may be lost: its word counts once it is listed anew.
        self.across.record.replace_store(self.now(), uuid.uuid4().hex)
        self.store = self.across.record.store
        try:
            self.keep_self()
        except OSError as problem:  # others go on refusing this life, and tell so with each new connection
            self.life, self.store = before
            self.metrics.log_sampled("life_not_kept", problem=str(problem))
            return
        log.warning("life_raised", life=self.life, known=life)
        self.views.incarnation = self.life * DENIALS
        self.views.news[self.name] = 0
        self.talk.renew(self.life, self.nonce)

    # -- the host of the membership view

    def send(self, to: str, kind: str, number: int, about: str, news: list[failure_detector.News]) -> None:
        self.talk.throw(to, [kind, number, about, news])

    def seen(self, name: str, state: str) -> None:
        log.info("peer_seen", peer=name, state=WORDS[state])

    # -- the host of `across`

    def post(self, to: str, kind: str, body: Body) -> bool:
        return self.talk.post(to, kind, body)

    def keep(self, kind: str, name: str, body: Body | None) -> None:
        self.owner.store.put(kind, name, body, history=kind != "book")

    def report(self, known: set[str]) -> Body:
        fleet, specs = self.owner.fleet, self.owner.specs
        return {
            "instances": {
                one.name: {
                    "state": one.state,
                    "unseen": one.unseen,
                    "group": one.terms.group,
                    "why": one.why,
                    "version": one.runs or one.version,
                    "declared": specs[one.name]["version"],
                    "wanted": one.wanted,
                    "labels": specs[one.name]["labels"],
                    "killed": one.killed,
                    "change": owner.id if (owner := fleet.owner(one.name)) else "",
                }
                for one in fleet.instances.values()
            },
            "locals": {
                id: [change.state, change.why, list(change.killed)]
                for id, change in fleet.changes.items()
                if id.partition("/")[0] in known
            },
            "versions": sorted(self.owner.told["versions"]),
        }

    def begin_step(self, act: Body) -> str:
        change = Rollout(
            str(act["id"]),
            str(act["kind"]),
            [str(act["name"])],
            version=str(act["version"]),
            soak=float(act["soak"]),
            on_failure="go_on",
        )
        try:
            if self.owner.fleet.ask(self.now(), change).state == "paused":
                self.owner.fleet.resume(self.now(), change.id)
        except (RefusedError, OSError) as problem:
            return str(problem)
        return ""

    def note(self, event: str, **fields: Any) -> None:
        if event in PROVOKED:
            self.metrics.log_sampled(event, **fields)
        else:
            log.info(event, **fields)

    # -- tools

    def request(self, request: Body, reply: Callable[[Body], None]) -> None:
        if request.get("ask") == "peers":
            reply(self.table())
            return
        self.across.request(self.now(), request, reply)

    def table(self) -> Body:
        """Links, views and the record, as this agent sees them."""
        record = self.across.record
        rows = self.talk.decide.table()
        for row in rows:
            member = self.views.members.get(row["name"])
            row["view"] = WORDS[member.state] if member else "not seen"
            row["member"] = record.is_member(row["name"])
            row["voter"] = row["name"] in record.voters()
        return {
            "name": self.name,
            "fleet": self.told["fleet"],
            "life": self.life,
            "peers": rows,
            "book": record.status(),
            "log": record.body["log"],
            "bytes_sent": self.talk.bytes_out,
            "datagrams_sent": self.talk.datagrams_out,
        }
