"""A server's place among the servers of its fleet, on sockets: a view, signals, turns, and what follows for
it.

One thread; datagrams alone. The module is asked for figures and told plain numbers, and never waits.
Without a neighbour in sight the numbers are those of a server alone.
"""

import time
from collections.abc import Callable
from typing import Any

import structlog

from vetchford.coordination.load_sampler import LoadSampler
from vetchford.fleet.failure_detector import ALIVE, DEAD, SUSPECT, FailureDetector, News
from vetchford.gossip.fleet_signals import DEAD_NOW, FIGURES, PROBE, FleetSignalPolicy, FleetSignals
from vetchford.gossip.load_gossip import LoadGossip, Row
from vetchford.leases import messages as lease_messages
from vetchford.leases.lease_client import LeaseClient
from vetchford.leases.lease_server import LeaseServer
from vetchford.leases.messages import ClientMessage, LeaseMessage
from vetchford.runtime.actor import Actor
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics
from vetchford.subsetting.subsets import View
from vetchford.transport.connections import Transport
from vetchford.transport.framing import MALFORMED
from vetchford.transport.peers import Identity, LinkState

log = structlog.get_logger()

TURN = 0.05  # s between two looks at what is due
CHANGED = 0.5  # of the share of calls lost: a service that went or came, told at once
CONCLUDES = 200.0  # ms between two surveys of the module: a tenth of the window that it measures over
RINGS = 3  # whom we tell in turn: the next in so many rings of all names
DENIALS = 1 << 20  # incarnations within one life, as in fleet/coordinator_actor.py
DISPUTED = 5  # lives begun in a minute because others knew a later one: then two servers have this name
PROVOKED = frozenset(("turns_full", "turn_ran_out"))  # by what others do: logged ever more rarely
SUMMARY = 10_000.0  # ms between two lines on what is seen


class FleetMember(Actor):
    """Begun by `begin`, after `module` has been; `figures` and `say` are told on its thread."""

    def __init__(
        self,
        told: dict[str, Any],
        seed: int,
        metrics: Metrics,
        survey: Callable[[Any], None],
        say: Callable[[FleetSignals], None],
    ) -> None:
        """`told`: the record `together` of the settings; `survey` is given what to call with the figures,
        `say` what holds from now on. OSError where the address can't be had.
        """
        super().__init__("neighbours", metrics)
        self.told, self.name, self.survey, self.say = told, told["name"], survey, say
        self.life, self.nonce = int(clock.day() * 1000.0), time.time_ns() & (1 << 62) - 1
        servers: dict[str, str] = told["servers"]
        self.talk = Transport(
            self,
            self,
            metrics,
            Identity(told["fleet"], self.name, self.life, self.nonce),
            told["listen"],
            servers,
            seed,
            streams=False,
        )
        now = self.now()
        self.views = FailureDetector(
            self, self.name, servers, seed, self.life * DENIALS, listed=True, now=now
        )
        self.signals = LoadGossip(self, self.name, self.life, FIGURES, seed)
        self.conclusions = FleetSignalPolicy(self, self.name, seed, self.signals)
        keepers, turns = told["keepers"], {**told["turns"], PROBE: told["probes"]}
        epoch = int(clock.day() * 10.0)
        self.lease_server = (
            LeaseServer(self, self.name, keepers, turns, seed, epoch, now) if self.name in keepers else None
        )
        self.lease_client = LeaseClient(self, self.name, keepers, told["zone"], self.life)
        self.seed = told["fleet"]
        self.raised: list[float] = []
        self.next_turn, self.next_survey, self.next_summary = 0.0, 0.0, now + SUMMARY
        self.numbers, self.lost = FleetSignals(), 0.0
        self.leaving = False
        self.seen_changed()

    def start(self) -> None:
        super().start()
        self.talk.start()

    def now(self) -> float:
        return clock.now()

    def next_timeout(self) -> float | None:
        return max(0.0, self.next_turn - time.monotonic())

    def on_idle(self) -> None:
        if time.monotonic() < self.next_turn:
            return
        self.next_turn = time.monotonic() + TURN
        now = self.now()
        self.views.woke(now)
        if self.lease_server is not None:
            self.lease_server.tick(now)
        self.lease_client.tick(now)
        self.signals.woke(now)
        if now >= self.next_survey:
            self.next_survey = now + (CONCLUDES if self.conclusions.state != DEAD_NOW else 0.5 * CONCLUDES)
            self.survey(self.measured)
        if now >= self.next_summary:
            self.next_summary = now + SUMMARY
            self.summarise(now)

    # -- what the module tells, on its thread; and what it is told

    def measured(self, figures: dict[str, float]) -> None:
        self.post(self.conclude, figures)

    def conclude(self, figures: dict[str, float]) -> None:
        now = self.now()
        lost, self.lost = self.lost, figures.get("lost", self.lost)
        self.signals.measured(now, figures)
        if abs(self.lost - lost) >= CHANGED:
            self.signals.news(now)
        numbers = self.conclusions.turn(now)
        pace, room = (numbers.pace, numbers.room) if self.told["records"] else (1.0, 1.0)
        full, stretch = (numbers.full, numbers.stretch) if self.told["full"] else (False, 1.0)
        numbers = FleetSignals(pace, room, full, stretch)
        if numbers != self.numbers:
            self.numbers = numbers
            self.say(numbers)

    def allow(self, told: dict[str, Any]) -> None:
        """What may be acted on, by settings that were read anew."""
        self.told = {**self.told, "records": told["records"], "full": told["full"]}
        log.info("together_renewed", records=told["records"], full=told["full"])

    def leave(self) -> None:
        """In a drain: turns go back at once, not as their leases end, and none is asked for any more."""
        self.leaving = True
        for lease_name in list(self.lease_client.requests):
            self.lease_client.release(lease_name)

    def summarise(self, now: float) -> None:
        seen: dict[str, Any] = {}
        for figure in FIGURES:
            aggregate = self.signals.aggregate(now, figure.name)
            if aggregate is not None:
                seen[figure.name] = round(aggregate.value, 3)
                seen[figure.name + "_rows"] = aggregate.rows
        there = sum(member.state == ALIVE for member in self.views.members.values())
        log.info(
            "together",
            there=there,
            records=self.conclusions.state,
            **seen,
            room=round(self.numbers.room, 3),
            bytes_sent=self.talk.bytes_sent,
            datagrams_sent=self.talk.datagrams_sent,
        )

    # -- hosts of the view, the signals, the turns and the conclusions

    def send(self, to: str, kind: str, number: int, about: str, news: list[News]) -> None:
        self.talk.send_datagram(to, ["view", kind, number, about, news])

    def seen(self, name: str, state: str) -> None:
        if state != SUSPECT:
            log.info("neighbour_seen", neighbour=name, there=state == ALIVE)
        self.seen_changed()

    def seen_changed(self) -> None:
        there = [name for name, member in self.views.members.items() if member.state != DEAD]
        ring = View([*there, self.name], self.seed).listens(RINGS)[self.name]
        self.signals.there(there, ring)

    def send_rows(self, to: str, rows: list[Row]) -> None:
        self.talk.send_datagram(to, ["rows", rows])

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        if to == self.name:
            self.post(self.receive_lease_message, to, message)
        else:
            self.talk.send_datagram(to, ["turn", lease_messages.encode(message)])

    def receive_lease_message(self, sender: str, message: LeaseMessage) -> None:
        if isinstance(message, ClientMessage):
            self.lease_client.receive(self.now(), sender, message)
        elif self.lease_server is not None:
            self.lease_server.receive(self.now(), sender, message)

    def want_probe(self) -> None:
        if self.leaving:  # its end would keep the turn from all others for a lease
            return
        self.lease_client.acquire(self.now(), PROBE)

    def done_probe(self) -> None:
        self.lease_client.release(PROBE)

    def may_probe(self) -> bool:
        return self.lease_client.fencing_token(self.now(), PROBE) != 0

    def log_event(self, event: str, **fields: Any) -> None:
        if event in PROVOKED:
            self.metrics.log_sampled(event, **fields)
            return
        self.metrics.increment(event)
        log.info(event, **fields)

    # -- what `talk` brings

    def on_datagram(self, peer: str, body: Any) -> None:
        try:
            kind, *rest = body
            if kind == "view":
                word, number, about, news = rest
                pieces = [(str(name), str(state), int(at)) for name, state, at in news]
                self.views.heard(self.now(), peer, str(word), int(number), str(about), pieces)
            elif kind == "rows":
                self.signals.heard(self.now(), peer, rest[0])
            elif kind == "turn":
                message = lease_messages.decode(rest[0])
                if message is not None:
                    self.receive_lease_message(peer, message)
        except MALFORMED as problem:
            self.metrics.log_sampled("peer_malformed", peer=peer, kind="datagram", problem=str(problem))

    def on_message(self, peer: str, kind: str, body: Any) -> None:
        """Nobody has a stream to us."""

    def on_link_state(self, peer: str, state: LinkState) -> None: ...

    def on_peer_incarnation(self, peer: str, life: int, nonce: int) -> None: ...

    def on_later_incarnation(self, life: int, nonce: int) -> None:
        """Somebody knows a later life of our name: the day's clock went back, or the name is used twice."""
        now = self.now()
        self.raised = [at for at in self.raised if now - at < 60_000.0]
        if len(self.raised) >= DISPUTED:
            self.metrics.log_sampled("name_disputed", name=self.name)
            return
        self.raised.append(now)
        self.life, self.nonce = max(life, self.life) + 1, time.time_ns() & (1 << 62) - 1
        log.warning("life_raised", life=self.life, known=life)
        self.views.incarnation = self.life * DENIALS
        self.views.news[self.name] = 0
        self.signals.life = self.life
        self.lease_client.begin_incarnation(now, self.life)
        self.talk.begin_incarnation(self.life, self.nonce)


def measure() -> LoadSampler:
    return LoadSampler()
