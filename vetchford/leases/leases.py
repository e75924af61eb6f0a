"""At most k of many programs do a thing at once: permits by lease from one keeper that leads. No I/O; times
in ms.

Three to seven keepers choose one among them by lease (Gray and Cheriton, 1989). The one that leads holds
the permits in memory, nothing is on disk, and what it forgets by its end has run out before another may
grant:

1. A keeper that promised its vote to one leader gives it to no other for LEASE * SLOPE by its own clock;
   the leader counts LEASE from when it asked. A keeper that just started gives none for as long, as it may
   have promised one before.
2. A new leader grants nothing for PERMIT * SLOPE: by then each permit of the one before has run out, or its
   holder has shown it to the new one and was taken over.
3. A holder counts PERMIT from when it asked, and looks at its own clock before each act: one that was
   stopped knows that its turn is over.
4. A renewal names the term under which it is asked for, so it was sent after that leader was chosen, by one
   that held its permit then. One that was under way since before is refused, and says who leads now.

What is trusted of clocks: of two of them none runs faster than the other by more than SLOPE. Their offsets
don't matter. A resource that can compare numbers needs not even that: each permit names a slot below k, and
the fences of one slot only grow. After an end of all keepers at once fences grow on from the time of day.
"""

import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

LEASE = 3000.0  # ms of leading, renewed each BEAT: a new leader is found in about twice that
PERMIT = 3000.0  # ms of a permit, renewed each BEAT: a dead holder blocks its slot for as long
SLOPE = 1.25  # of two clocks' rates: two that are a tenth wrong, one each way, make 1.22
BEAT = 600.0  # ms: five renewals fit into a lease, so three may be lost
ASKS = 400.0  # ms until a question that was not answered is asked anew
PATIENCE, SPREAD = 300.0, 1500.0  # ms past the last vote until a keeper stands, and what parts them
FORGOTTEN = 2500.0  # ms that one who waits is kept unheard: four of its askings
BY_TERM = 64  # term = round * BY_TERM + place of the keeper: no two ever have one
MOST_WAITING = 1000  # in one line; the platform's fleets are a fifth of it
MOST_TURNS = 32  # names; they are settings'

Body = dict[str, Any]


class Host(Protocol):
    """What the decisions act through."""

    def turn_word(self, to: str, body: Body) -> None:
        """A datagram to another's turns; it may be lost, late or doubled. To oneself as well."""

    def note(self, event: str, **fields: Any) -> None: ...


@dataclass(slots=True)
class Lease:
    holder: str
    mark: tuple[int, int]  # life and wish of the holder: a later one is not held by what an earlier was given
    slot: int
    fence: int
    until: float  # by the keeper's clock
    zone: str


@dataclass(slots=True)
class Waiter:
    name: str
    mark: tuple[int, int]
    zone: str
    number: int  # of its last asking, to be told back with the permit
    since: float
    heard: float


@dataclass(slots=True)
class Line:
    """One thing to be done in turns, as the leader sees it."""

    most: int
    permits: dict[int, Lease] = field(default_factory=dict)  # by slot; emptied by ends and leases
    waiting: list[Waiter] = field(default_factory=list)  # emptied by permits, and of those not heard
    last: dict[str, int] = field(default_factory=dict)  # by zone, the fence of its last permit
    counted: int = 0


class LeaseServer:
    """One keeper: its vote, and all the permits while it leads."""

    def __init__(
        self,
        host: Host,
        name: str,
        keepers: Sequence[str],
        turns: Mapping[str, int],
        seed: int,
        epoch: int,
        now: float,
    ) -> None:
        """`turns`: how many may at once, by name; `epoch`: tenths of a second of the day's clock, for terms
        to begin at: keepers stand less often than that.
        """
        self.host, self.name, self.seed, self.draws = host, name, seed, 0
        self.keepers, self.turns = sorted(keepers), dict(turns)
        self.highest = epoch * BY_TERM  # term that was heard of
        self.quiet_until = now + LEASE * SLOPE  # a vote given before our start may still be good
        self.voted, self.voted_until = "", 0.0
        self.leader, self.leader_term, self.leader_heard = "", 0, now  # as last told
        self.patience = LEASE * SLOPE + PATIENCE + self.draw(SPREAD)
        self.term = 0  # under which we stand or lead; 0: neither
        self.asked: dict[int, float] = {}  # our questions for votes by number, and when; emptied by age
        self.votes: dict[int, set[str]] = {}  # alike
        self.number, self.next_beat = 0, now
        self.leads_until, self.opens = 0.0, 0.0  # of our own lease; from when on we grant
        self.lines: dict[str, Line] = {}  # while we lead
        self.fences = 0

    def draw(self, most: float) -> float:
        self.draws += 1
        return (
            zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % 10_000 / 10_000.0 * most
        )

    # -- who leads

    def leads(self, now: float) -> bool:
        return self.term != 0 and now < self.leads_until

    def woke(self, now: float) -> None:
        """Several times a second."""
        for number in [number for number, at in self.asked.items() if now - at > LEASE]:
            del self.asked[number], self.votes[number]
        if self.term and self.leads_until and now >= self.leads_until:
            self.step_down(now, "its lease ran out")
        if self.term and not self.leads_until and now - self.leader_heard > ASKS * 3:
            self.step_down(now, "")  # not chosen
        if self.term:
            if now >= self.next_beat:
                self.ask_votes(now)
        elif now - self.leader_heard >= self.patience and now >= self.quiet_until:
            self.highest = (self.highest // BY_TERM + 1) * BY_TERM + self.keepers.index(self.name)
            self.term, self.leader_heard = self.highest, now
            self.ask_votes(now)
        if self.leads(now):
            self.run_out(now)

    def ask_votes(self, now: float) -> None:
        self.next_beat = now + BEAT
        self.number += 1
        self.asked[self.number], self.votes[self.number] = now, set()
        for keeper in self.keepers:
            self.host.turn_word(keeper, {"do": "vote", "term": self.term, "number": self.number})

    def step_down(self, now: float, why: str) -> None:
        if self.leads_until:
            self.host.note("turns_left", term=self.term, why=why)
        self.term, self.leads_until, self.lines = 0, 0.0, {}
        self.asked, self.votes = {}, {}
        # Past the votes that it had, its own among them: keepers that stand anew within them only block
        # each other.
        self.leader_heard, self.patience = now, LEASE * SLOPE + PATIENCE + self.draw(2.0 * SPREAD)

    def on_vote(self, now: float, sender: str, word: Body) -> None:
        """Somebody asks to lead, or to go on leading."""
        term = word["term"]
        free = not self.voted or now >= self.voted_until or self.voted == sender
        if sender not in self.keepers or term < self.highest or now < self.quiet_until or not free:
            self.host.turn_word(sender, {"do": "no_vote", "term": self.highest, "asked": term})
            return
        if self.term and term > self.term:
            self.step_down(now, f"{sender} stands for a higher term")
        self.highest = term
        self.voted, self.voted_until = sender, now + LEASE * SLOPE
        if sender != self.name:
            self.leader_heard, self.patience = now, LEASE * SLOPE + PATIENCE + self.draw(SPREAD)
        self.host.turn_word(sender, {"do": "voted", "term": term, "number": word["number"]})

    def on_no_vote(self, now: float, sender: str, word: Body) -> None:
        self.highest = max(self.highest, int(word["term"]))
        if self.term and word["asked"] == self.term and word["term"] > self.term:
            self.step_down(now, f"{sender} knows a higher term")

    def on_voted(self, now: float, sender: str, word: Body) -> None:
        votes = self.votes.get(word["number"])
        if votes is None or word["term"] != self.term or sender not in self.keepers:
            return
        votes.add(sender)
        if 2 * len(votes) <= len(self.keepers):
            return
        until = self.asked[word["number"]] + LEASE  # from when we asked: no vote was given earlier
        if not self.leads_until:
            if now >= until:
                return
            self.opens = now + PERMIT * SLOPE
            self.lines, self.fences = {turn: Line(most) for turn, most in self.turns.items()}, 0
            self.host.note("turns_lead", term=self.term)
        self.leads_until = max(self.leads_until, until)
        self.leader_heard = now
        for keeper in self.keepers:
            if keeper != self.name and len(votes) == len(self.keepers) // 2 + 1:
                self.host.turn_word(keeper, {"do": "leads", "term": self.term})

    def on_leads(self, now: float, sender: str, word: Body) -> None:
        if word["term"] >= self.leader_term and sender in self.keepers:
            self.leader, self.leader_term = sender, word["term"]
            self.leader_heard, self.patience = now, LEASE * SLOPE + PATIENCE + self.draw(SPREAD)

    # -- permits

    def refer(self, sender: str, word: Body) -> None:
        """To whom we take to lead."""
        self.host.turn_word(
            sender,
            {
                "do": "led_by",
                "turn": word["turn"],
                "leader": self.leader,
                "term": self.leader_term,
                "number": word["number"],
            },
        )

    def on_want(self, now: float, sender: str, word: Body) -> None:
        line = self.lines.get(word["turn"]) if self.leads(now) else None
        if line is None:
            self.refer(sender, word)
            return
        held = next((one for one in line.permits.values() if one.holder == sender), None)
        mark = (word["life"], word["wish"])
        if held is not None and held.mark > mark:
            return  # late: of an earlier wish of it
        if held is not None and held.mark == mark:  # the answer was lost
            self.tell(now, word["turn"], held, word["number"])
            return
        if held is not None:
            del line.permits[held.slot]  # it is done with that, and `done` is under way or lost
        waiter = next((one for one in line.waiting if one.name == sender), None)
        if waiter is None:
            if len(line.waiting) >= MOST_WAITING:
                self.host.note("turns_full", turn=word["turn"])
                return
            waiter = Waiter(sender, mark, word["zone"], 0, now, now)
            line.waiting.append(waiter)
        if waiter.mark > mark or waiter.mark == mark and waiter.number > word["number"]:
            return
        waiter.mark, waiter.number, waiter.heard = mark, word["number"], now
        self.serve(now, word["turn"], line)
        if waiter in line.waiting:
            ahead = line.waiting.index(waiter)
            self.host.turn_word(
                sender,
                {
                    "do": "wait",
                    "turn": word["turn"],
                    "term": self.term,
                    "ahead": ahead,
                    "number": word["number"],
                },
            )

    def on_renew(self, now: float, sender: str, word: Body) -> None:
        line = self.lines.get(word["turn"]) if self.leads(now) else None
        if line is None or word["term"] != self.term:
            if self.leads(now):
                self.host.turn_word(
                    sender,
                    {
                        "do": "led_by",
                        "turn": word["turn"],
                        "leader": self.name,
                        "term": self.term,
                        "number": word["number"],
                    },
                )
            else:
                self.refer(sender, word)
            return
        held = line.permits.get(word["slot"])
        if held is None and now < self.opens and 0 <= word["slot"] < line.most:
            held = Lease(
                sender, (word["life"], word["wish"]), word["slot"], word["fence"], now, word["zone"]
            )  # taken over
            line.permits[held.slot] = held
        if held is None or (held.holder, held.mark[0], held.fence) != (sender, word["life"], word["fence"]):
            self.host.turn_word(sender, {"do": "over", "turn": word["turn"], "fence": word["fence"]})
            return
        self.tell(now, word["turn"], held, word["number"])

    def on_done(self, now: float, sender: str, word: Body) -> None:
        line = self.lines.get(word["turn"]) if self.leads(now) else None
        if line is None:
            return  # it runs out
        for slot, held in list(line.permits.items()):
            if (held.holder, held.fence) == (sender, word["fence"]):
                del line.permits[slot]
        line.waiting = [
            one for one in line.waiting if one.name != sender or one.mark > (word["life"], word["wish"])
        ]
        self.serve(now, word["turn"], line)

    def run_out(self, now: float) -> None:
        for turn, line in self.lines.items():
            for slot in [slot for slot, held in line.permits.items() if now >= held.until]:
                held = line.permits.pop(slot)
                self.host.note("turn_ran_out", turn=turn, holder=held.holder, fence=held.fence)
            line.waiting = [one for one in line.waiting if now - one.heard < FORGOTTEN]
            self.serve(now, turn, line)

    def serve(self, now: float, turn: str, line: Line) -> None:
        if now < self.opens:
            return
        while line.waiting and len(line.permits) < line.most:
            inside = [held.zone for held in line.permits.values()]
            # The zone with the fewest inside, then the one served longest ago; within a zone in order.
            waiter = min(
                line.waiting, key=lambda one: (inside.count(one.zone), line.last.get(one.zone, 0), one.since)
            )
            line.waiting.remove(waiter)
            self.fences += 1
            slot = next(slot for slot in range(line.most) if slot not in line.permits)
            fence = self.term * 1_000_000 + self.fences
            line.last[waiter.zone] = fence
            line.counted += 1
            held = line.permits[slot] = Lease(waiter.name, waiter.mark, slot, fence, 0.0, waiter.zone)
            self.tell(now, turn, held, waiter.number)

    def tell(self, now: float, turn: str, held: Lease, number: int) -> None:
        held.until = now + PERMIT * SLOPE
        self.host.turn_word(
            held.holder,
            {
                "do": "yours",
                "turn": turn,
                "slot": held.slot,
                "fence": held.fence,
                "term": self.term,
                "number": number,
                "mark": list(held.mark),
            },
        )

    def heard(self, now: float, sender: str, word: Body) -> None:
        act = getattr(self, "on_" + str(word["do"]), None)
        if act is not None:
            act(now, sender, word)

    def table(self, now: float) -> Body:
        return {
            "leads": self.leads(now),
            "leader": self.name if self.leads(now) else self.leader,
            "term": self.highest,
            "lines": {
                turn: {
                    "most": line.most,
                    "inside": sorted(held.holder for held in line.permits.values()),
                    "waiting": [one.name for one in line.waiting],
                    "granted": line.counted,
                }
                for turn, line in self.lines.items()
            },
        }


@dataclass(slots=True)
class LeaseRequest:
    """A turn that is wanted or held here."""

    number: int  # grows from wish to wish of one life
    slot: int = -1
    fence: int = 0  # 0: none is held
    until: float = 0.0  # by our own clock, from when we asked
    at: str = ""  # the keeper that we ask
    term: int = 0
    next: float = 0.0
    asked: dict[int, float] = field(default_factory=dict)  # when each was asked; emptied by age


class LeaseClient:
    """The turns that one program wants or holds."""

    def __init__(self, host: Host, name: str, keepers: Sequence[str], zone: str, life: int) -> None:
        self.host, self.name, self.keepers, self.zone, self.life = host, name, sorted(keepers), zone, life
        self.wishes: dict[str, LeaseRequest] = {}  # by turn; emptied by `done`
        self.number = self.tries = 0

    def want(self, now: float, turn: str) -> None:
        """Asks for it from now on, until `done`; once it is known already."""
        if turn not in self.wishes:
            self.number += 1
            self.wishes[turn] = LeaseRequest(self.number)
            self.ask(now, turn, self.wishes[turn])

    def holds(self, now: float, turn: str) -> int:
        """The fence under which an act may begin now; 0: none. To be asked before each act."""
        wish = self.wishes.get(turn)
        return wish.fence if wish is not None and wish.fence and now < wish.until else 0

    def slot(self, turn: str) -> int:
        return self.wishes[turn].slot if turn in self.wishes else -1

    def done(self, now: float, turn: str) -> None:
        wish = self.wishes.pop(turn, None)
        if wish is not None and wish.fence:
            self.host.note("turn_given", turn=turn, fence=wish.fence)
        if wish is not None and wish.at:
            self.host.turn_word(wish.at, self.ended(turn, wish.fence, wish.number))

    def ended(self, turn: str, fence: int, wish: int) -> Body:
        return {"do": "done", "turn": turn, "fence": fence, "life": self.life, "wish": wish}

    def woke(self, now: float) -> None:
        for turn, wish in self.wishes.items():
            if wish.fence and now >= wish.until:
                self.host.note("turn_lost", turn=turn, fence=wish.fence)
                wish.fence, wish.slot = 0, -1
            for number in [number for number, at in wish.asked.items() if now - at > PERMIT]:
                del wish.asked[number]
            if now >= wish.next:
                self.ask(now, turn, wish)

    def ask(self, now: float, turn: str, wish: LeaseRequest) -> None:
        if not wish.at:  # whoever of them leads says so, the others name it
            self.tries += 1
            start = zlib.crc32(self.name.encode()) % len(self.keepers)
            wish.at = self.keepers[(start + self.tries) % len(self.keepers)]
        unanswered = sum(now - at < BEAT * 3 for at in wish.asked.values())
        self.number += 1
        wish.asked[self.number], wish.next = now, now + BEAT
        word = {
            "turn": turn,
            "life": self.life,
            "wish": wish.number,
            "zone": self.zone,
            "number": self.number,
        }
        if wish.fence:
            word |= {"do": "renew", "slot": wish.slot, "fence": wish.fence, "term": wish.term}
        else:
            word |= {"do": "want"}
        self.host.turn_word(wish.at, word)
        if unanswered >= 2:
            wish.at, wish.asked = "", {self.number: now}  # the next one is asked from now on

    def heard(self, now: float, sender: str, word: Body) -> None:
        act = getattr(self, "on_" + str(word["do"]), None)
        wish = self.wishes.get(word.get("turn", ""))
        if act is not None:
            act(now, sender, word, wish)

    def on_yours(self, now: float, sender: str, word: Body, wish: LeaseRequest | None) -> None:
        if wish is None:  # we are done with it: an answer that was late, or `done` was lost
            self.host.turn_word(sender, self.ended(word["turn"], word["fence"], word["mark"][1]))
            return
        asked = wish.asked.get(word["number"])
        if asked is None or word["mark"] != [self.life, wish.number] or word["fence"] < wish.fence:
            return
        if not wish.fence:
            self.host.note("turn_taken", turn=word["turn"], slot=word["slot"], fence=word["fence"])
        wish.slot, wish.fence, wish.term, wish.at = word["slot"], word["fence"], word["term"], sender
        wish.until = max(wish.until, asked + PERMIT)
        wish.asked = {number: at for number, at in wish.asked.items() if at > asked}

    def on_wait(self, now: float, sender: str, word: Body, wish: LeaseRequest | None) -> None:
        if wish is None:
            self.host.turn_word(sender, self.ended(word["turn"], 0, self.number))
        elif word["number"] in wish.asked and not wish.fence:
            wish.at, wish.term = sender, word["term"]
            # The asking that is in line is the one whose number comes back with the permit: it stays known.
            wish.next = max(wish.next, now + ASKS)

    def on_led_by(self, now: float, sender: str, word: Body, wish: LeaseRequest | None) -> None:
        if wish is None or word["number"] not in wish.asked:
            return
        del wish.asked[word["number"]]
        if word["leader"] and word["term"] >= wish.term:
            wish.at, wish.term = word["leader"], word["term"]
            wish.next = now if sender != word["leader"] or wish.fence else wish.next
        else:
            wish.at = ""

    def on_over(self, now: float, sender: str, word: Body, wish: LeaseRequest | None) -> None:
        if wish is not None and wish.fence == word["fence"] and wish.fence:
            self.host.note("turn_lost", turn=word["turn"], fence=wish.fence)
            wish.fence, wish.slot, wish.until, wish.next = 0, -1, 0.0, now
