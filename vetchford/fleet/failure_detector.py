"""Who of the agents is there: probes and gossip, no leader, suspicion before burial. No I/O; times in ms.

As SWIM describes it (Das, Gupta, Motivala, 2002): each period an agent probes one other, through a few more
where it does not answer, and what it learns rides on its messages. Who does not answer is suspected first
and can say that it is alive; an agent whose own probes fail often waits longer before it suspects (Lifeguard,
2017).
"""

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Protocol

ALIVE, SUSPECT, DEAD = "alive", "suspect", "dead"
PERIOD = 1000.0  # ms between two probes of one agent: each is probed about once a period by somebody
ANSWERS = 300.0  # ms for an answer: on one site's network a few ms are usual, a busy agent takes some tens
HELPERS = 3  # agents asked to probe in its place: at 5 % loss all of four ways fail in 1 of 10,000
SUSPECTED = 3.0  # periods for each doubling of the agents, until a suspect is taken for dead
SPREAD = 3.0  # times that a piece of news is sent on for each doubling: all have it but one in some thousands
MOST_NEWS = 8  # pieces on one message: under a datagram's 1,400 bytes with names of 64
MOST_AWARE = 4  # an agent that hears nobody is itself the likely trouble: waits up to five times as long
FORGOTTEN = 120_000.0  # ms that the dead are kept, and asked now and then whether a split has healed
ASLEEP = 1500.0  # ms between two calls of `woke`: fifteen of them were missed
ASK_DEAD = 5  # periods between two such questions

News = tuple[str, str, int]  # name, state, incarnation


class Host(Protocol):
    """What the decisions act through."""

    def send(self, to: str, kind: str, number: int, about: str, news: list[News]) -> None:
        """One datagram; it may be lost, late or doubled."""

    def seen(self, name: str, state: str) -> None:
        """The view of one has changed."""


@dataclass(slots=True)
class Member:
    state: str
    incarnation: int
    since: float


@dataclass(slots=True)
class Probe:
    target: str
    until: float  # then others are asked
    ends: float  # then it is suspected
    asked: bool = False
    for_whom: str = ""  # another agent's probe, passed on; and its number there
    their_number: int = 0


class FailureDetector:
    """One agent's view of all others."""

    def __init__(
        self,
        host: Host,
        name: str,
        others: Iterable[str],
        seed: int,
        incarnation: int = 0,
        listed: bool = False,
        now: float = 0.0,
    ) -> None:
        """`incarnation`: higher at each start of this agent, or what was said of it before would hold.

        `listed`: only `others` are ever taken in, none is forgotten, and none is taken for there before a
        word of it.
        """
        self.host, self.name, self.seed, self.draws = host, name, seed, 0
        self.incarnation, self.aware = incarnation, 0
        self.listed, self.woken = listed, now
        first = Member(SUSPECT, -1, now) if listed else Member(ALIVE, 0, 0.0)
        self.members = {other: replace(first) for other in sorted(others) if other != name}
        self.news: dict[str, int] = {
            name: 0
        }  # who there is news of, and how often it was sent; emptied by `ride`
        self.probes: dict[int, Probe] = {}  # emptied as they are answered or end
        self.order: list[str] = []  # who is probed next; filled anew when it is empty
        self.number, self.next_probe, self.periods = 0, 0.0, 0

    def draw(self, count: int) -> int:
        self.draws += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % count

    def doublings(self) -> float:
        return max(1.0, math.log2(len(self.members) + 1))

    def there(self) -> list[str]:
        return [name for name, member in self.members.items() if member.state != DEAD]

    def state(self, name: str) -> str:
        return self.members[name].state if name in self.members else DEAD

    # -- what happens

    def woke(self, now: float) -> None:
        """Ten times a second or more often."""
        gap, self.woken = now - self.woken, now
        if gap > ASLEEP:  # we were stopped: nobody else is late because of it
            for member in self.members.values():
                member.since += gap
            for probe in self.probes.values():
                probe.until, probe.ends = probe.until + gap, probe.ends + gap
        for number, probe in list(self.probes.items()):
            if now >= probe.ends:
                del self.probes[number]
                if not probe.for_whom:
                    self.aware = min(MOST_AWARE, self.aware + 1)
                    member = self.members.get(probe.target)
                    if member is not None and member.state == ALIVE:
                        self.take(now, (probe.target, SUSPECT, member.incarnation))
            elif now >= probe.until and not probe.asked and not probe.for_whom:
                probe.asked = True
                others = [name for name in self.there() if name != probe.target]
                for _ in range(min(HELPERS, len(others))):
                    helper = others.pop(self.draw(len(others)))
                    self.say(helper, "ask", number, probe.target)
        for name, member in list(self.members.items()):
            waits = SUSPECTED * PERIOD * self.doublings() * (1 + 0.5 * self.aware)
            if member.state == SUSPECT and now - member.since >= waits:
                self.take(now, (name, DEAD, member.incarnation))
            elif member.state == DEAD and now - member.since >= FORGOTTEN and not self.listed:
                del self.members[name]
                self.news.pop(name, None)
        if now >= self.next_probe:
            self.next_probe = max(self.next_probe + PERIOD, now + 0.5 * PERIOD)
            self.probe(now)

    def probe(self, now: float) -> None:
        self.periods += 1
        if self.periods % ASK_DEAD == 0:
            dead = [name for name, member in self.members.items() if member.state == DEAD]
            if dead:  # tells it what is said of it, so that it can deny it
                self.number += 1
                self.say(dead[self.draw(len(dead))], "ping", self.number, "")
        while self.order and self.state(self.order[-1]) == DEAD:
            self.order.pop()
        if not self.order:  # each once, in an order of its own, so that nobody waits for long
            left = self.there()
            while left:
                self.order.append(left.pop(self.draw(len(left))))
        if self.order:
            self.number += 1
            wait = ANSWERS * (1 + self.aware)
            target = self.order.pop()
            self.probes[self.number] = Probe(target, now + wait, now + max(PERIOD, 2.5 * wait))
            self.say(target, "ping", self.number, "")

    def heard(self, now: float, sender: str, kind: str, number: int, about: str, news: list[News]) -> None:
        """A datagram; `about` names whom an "ask" is to be passed on to."""
        for piece in news:
            self.take(now, piece)
        if sender not in self.members and not self.listed:
            self.take(now, (sender, ALIVE, 0))
        if kind == "ping":
            self.say(sender, "ack", number, "")
        elif kind == "ask" and about in self.members:
            self.number += 1
            self.probes[self.number] = Probe(about, math.inf, now + PERIOD, False, sender, number)
            self.say(about, "ping", self.number, "")
        elif kind == "ack":
            probe = self.probes.pop(number, None)
            if probe is None:
                return
            if probe.for_whom:
                self.say(probe.for_whom, "ack", probe.their_number, "")
                return
            self.aware = max(0, self.aware - 1)

    def take(self, now: float, piece: News) -> None:
        """One piece of news: a higher incarnation goes before, then the worse state."""
        name, state, incarnation = piece
        if name == self.name:
            if state != ALIVE and incarnation >= self.incarnation:
                self.incarnation = incarnation + 1  # denied
                self.news[name] = 0
            return
        member = self.members.get(name)
        rank = (ALIVE, SUSPECT, DEAD).index
        if member is None:
            if state == DEAD or self.listed:
                return
            member = self.members[name] = Member("", -1, now)
        newer = incarnation > member.incarnation
        if not newer and (incarnation < member.incarnation or rank(state) <= rank(member.state or ALIVE)):
            return
        changed = state != member.state
        member.state, member.incarnation = state, incarnation
        self.news[name] = 0
        if changed:
            member.since = now
            self.host.seen(name, state)

    # -- what is said

    def say(self, to: str, kind: str, number: int, about: str) -> None:
        self.host.send(to, kind, number, about, self.ride(to))

    def ride(self, to: str) -> list[News]:
        """The news that was sent least often; first what concerns whom it goes to."""
        out: list[News] = []
        member = self.members.get(to)
        if member is not None and member.state != ALIVE:
            out.append((to, member.state, member.incarnation))
        most = math.ceil(SPREAD * self.doublings())
        for name in sorted(self.news, key=lambda one: (self.news[one], one))[:MOST_NEWS]:
            self.news[name] += 1
            if name == self.name:
                out.append((name, ALIVE, self.incarnation))
            elif name in self.members and name != to:
                out.append((name, self.members[name].state, self.members[name].incarnation))
            if self.news[name] >= most:
                del self.news[name]
        return out


def may_go_on(views: dict[str, str], needed: Iterable[str]) -> str:
    """Whether a change over several agents may take its next step: empty, or why it stops.

    `views`: what this agent sees of each. A change stops when part of those that it spans is not seen, since
    a floor that can't be counted can't be held.
    """
    away = sorted(name for name in needed if views.get(name, DEAD) != ALIVE)
    return f"not seen: {', '.join(away)}" if away else ""
