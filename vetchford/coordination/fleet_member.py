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
from vetchford.fleet.failure_detector import FailureDetector
from vetchford.fleet.membership import MemberState
from vetchford.fleet.membership_updates import MembershipUpdate
from vetchford.gossip.fleet_signals import DEAD_NOW, FIGURES, PROBE, FleetSignalPolicy, FleetSignals
from vetchford.gossip.load_gossip import LoadGossip, Row
from vetchford.leases.leases import LeaseClient, LeaseServer
from vetchford.runtime.actor import Actor
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics
from vetchford.subsetting.subsets import View
from vetchford.transport.connections import Transport
from vetchford.transport.framing import MALFORMED

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
            told["fleet"],
            self.name,
            told["listen"],
            servers,
            seed,
            self.life,
            self.nonce,
            streams=False,
        )
        now = self.now()
        self.views = FailureDetector(
            self, self.name, servers, seed, self.life * DENIALS, fixed_members=True, now=now
        )
        self.signals = LoadGossip(self, self.name, self.life, FIGURES, seed)
        self.conclusions = FleetSignalPolicy(self, self.name, seed, self.signals)
        keepers, turns = told["keepers"], {**told["turns"], PROBE: told["probes"]}
        epoch = int(clock.day() * 10.0)
        self.keeper = (
            LeaseServer(self, self.name, keepers, turns, seed, epoch, now) if self.name in keepers else None
        )
        self.taker = LeaseClient(self, self.name, keepers, told["zone"], self.life)
        self.seed, self.raised = told["fleet"], []
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
        self.views.tick(now)
        if self.keeper is not None:
            self.keeper.woke(now)
        self.taker.woke(now)
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
        for turn in list(self.taker.wishes):
            self.taker.done(self.now(), turn)

    def summarise(self, now: float) -> None:
        seen: dict[str, Any] = {}
        for figure in FIGURES:
            aggregate = self.signals.aggregate(now, figure.name)
            if aggregate is not None:
                seen[figure.name] = round(aggregate.value, 3)
                seen[figure.name + "_rows"] = aggregate.rows
        there = sum(member.state == MemberState.ALIVE for member in self.views.membership.members.values())
        log.info(
            "together",
            there=there,
            records=self.conclusions.state,
            **seen,
            room=round(self.numbers.room, 3),
            bytes_sent=self.talk.bytes_out,
            datagrams_sent=self.talk.datagrams_out,
        )

    # -- hosts of the view, the signals, the turns and the conclusions

    def send(self, to: str, kind: str, number: int, about: str, news: list[MembershipUpdate]) -> None:
        self.talk.throw(to, ["view", kind, number, about, news])

    def on_state_changed(self, name: str, state: MemberState) -> None:
        if state != MemberState.SUSPECT:
            log.info("neighbour_seen", neighbour=name, there=state == MemberState.ALIVE)
        self.seen_changed()

    def seen_changed(self) -> None:
        there = [
            name
            for name, member in self.views.membership.members.items()
            if member.state != MemberState.UNREACHABLE
        ]
        ring = View([*there, self.name], self.seed).listens(RINGS)[self.name]
        self.signals.there(there, ring)

    def send_rows(self, to: str, rows: list[Row]) -> None:
        self.talk.throw(to, ["rows", rows])

    def turn_word(self, to: str, body: dict[str, Any]) -> None:
        if to == self.name:
            self.post(self.turn_heard, to, body)
        else:
            self.talk.throw(to, ["turn", body])

    def turn_heard(self, sender: str, body: dict[str, Any]) -> None:
        if body["do"] in ("yours", "wait", "led_by", "over"):
            self.taker.heard(self.now(), sender, body)
        elif self.keeper is not None:
            self.keeper.heard(self.now(), sender, body)

    def want_probe(self) -> None:
        if self.leaving:  # its end would keep the turn from all others for a lease
            return
        self.taker.want(self.now(), PROBE)

    def done_probe(self) -> None:
        self.taker.done(self.now(), PROBE)

    def may_probe(self) -> bool:
        return self.taker.holds(self.now(), PROBE) != 0

    def note(self, event: str, **fields: Any) -> None:
        if event in PROVOKED:
            self.metrics.log_sampled(event, **fields)
            return
        self.metrics.increment(event)
        log.info(event, **fields)

    # -- what `talk` brings

    def datagram(self, peer: str, body: Any) -> None:
        try:
            kind, *rest = body
            if kind == "view":
                word, number, about, news = rest
                pieces = [(str(name), str(state), int(at)) for name, state, at in news]
                self.views.receive(self.now(), peer, str(word), int(number), str(about), pieces)
            elif kind == "rows":
                self.signals.heard(self.now(), peer, rest[0])
            elif kind == "turn":
                self.turn_heard(peer, rest[0])
        except MALFORMED as problem:
            self.metrics.log_sampled("peer_malformed", peer=peer, kind="datagram", problem=str(problem))

    def word(self, peer: str, kind: str, body: Any) -> None:
        """Nobody has a stream to us."""

    def linked(self, peer: str, state: str) -> None: ...

    def met(self, peer: str, life: int, nonce: int) -> None: ...

    def outlived(self, life: int, nonce: int) -> None:
        """Somebody knows a later life of our name: the day's clock went back, or the name is used twice."""
        now = self.now()
        self.raised = [at for at in self.raised if now - at < 60_000.0]
        if len(self.raised) >= DISPUTED:
            self.metrics.log_sampled("name_disputed", name=self.name)
            return
        self.raised.append(now)
        self.life, self.nonce = max(life, self.life) + 1, time.time_ns() & (1 << 62) - 1
        log.warning("life_raised", life=self.life, known=life)
        self.views.membership.restart(self.life * DENIALS)
        self.signals.life = self.taker.life = self.life
        for turn in list(self.taker.wishes):
            self.taker.wishes.pop(turn)  # asked for under another life
            self.taker.want(now, turn)
        self.talk.renew(self.life, self.nonce)


def measure() -> LoadSampler:
    return LoadSampler()
