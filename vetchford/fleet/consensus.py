"""The record that the agents of a fleet hold together, and which one of them may write it. No I/O; times in
ms.

One register, replaced whole: (term, revision, body). An agent drives under a term that a majority of the
voters has promised, and what it writes is in force once a majority holds it; a term is a fencing number, and
whoever has promised a higher one takes nothing of a lower. So whoever drives next finds in some promise
whatever was in force before (Lamport, The part-time parliament, 1998; the driver's steady state and the
question before a candidacy as in Ongaro's thesis on Raft, 2014, 9.6). No step rests on a clock: they only
say when to ask.

The body names its voters with the identity of each one's store. A store that was emptied or put back from an
old copy has lost its promises: it takes a new identity and is counted in no majority until the driver has
seen it hold the newest record and has listed it anew. Voters change one at a time, and such a record needs
the majority of the old ones and of the new ones.
"""

import zlib
from collections.abc import Iterable
from typing import Any, Protocol

BEAT = 500.0  # ms between two words of the driver to each member
AWAY = 3000.0  # ms without one until somebody asks to drive: six, so that one stall deposes nobody
SPREAD = 2000.0  # ms by which chance parts those who ask
ASKS = 1500.0  # ms for an answer to a question or a candidacy
BY_TERM = 64  # term = round * BY_TERM + place of the agent: no two agents ever have one term
MOST_VOTERS = 7  # three may be away; more would only make each write dearer
MOST_PLACES = BY_TERM
SECOND = "~"  # begins the identity of a store that took another's place: it founds nothing

FOLLOWS, ASKING, STANDING, TAKING, DRIVES = "follows", "asking", "standing", "taking over", "drives"
Body = dict[str, Any]


class Host(Protocol):
    """What the decisions act through."""

    def tell(self, to: str, body: Body) -> None:
        """A message to the book of another agent; it may be lost."""

    def keep_book(self, state: Body) -> None:
        """Durable before it returns; OSError where the store can't: nothing was promised."""

    def drives(self, now: float) -> None:
        """We drive from now on, and the record is in force under our term."""

    def in_force(self, now: float) -> None:
        """What was proposed is in force."""

    def deposed(self, now: float, why: str) -> None: ...

    def held(self, now: float) -> None:
        """A newer record is held; perhaps not in force yet."""

    def note(self, event: str, **fields: Any) -> None: ...


def majority(votes: Iterable[str], voters: Iterable[str]) -> bool:
    among = set(voters)
    return 2 * len(among & set(votes)) > len(among)


class ReplicatedRecord:
    """One agent's copy, and its part in who drives."""

    def __init__(
        self, host: Host, name: str, seed: int, store: str, founding: Body, now: float = 0.0
    ) -> None:
        """`store`: the identity of what `keep_book` writes to; `founding`: the same on all at their first
        start.
        """
        self.host, self.name, self.seed, self.store, self.draws = host, name, seed, store, 0
        self.promised, self.at, self.body = 0, (0, 0), founding
        self.highest = 0  # term that was heard of; promised or not
        self.role, self.driver, self.role_since = FOLLOWS, "", now
        self.heard_at = now  # of the driver
        self.patience = AWAY + self.draw(SPREAD)
        self.votes: set[str] = set()  # of the question or the candidacy; emptied as the next begins
        self.newest: tuple[tuple[int, int], Body] = (self.at, self.body)
        self.standing_for = 0
        self.holds: dict[str, tuple[int, int]] = {}  # members by what they hold, while we drive
        self.stores: dict[str, str] = {}  # what each told of its store's identity, by listed name
        self.answered: dict[str, float] = {}  # members by their last answer, while we drive
        self.needs: list[dict[str, str]] = []  # voters of whom each list must hold a majority
        self.force = (0, 0)  # what is in force, as far as we know
        self.next_beat = 0.0

    def draw(self, most: float) -> float:
        self.draws += 1
        return (
            zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % 10_000 / 10_000.0 * most
        )

    def restore(self, state: Body) -> None:
        self.promised, self.at, self.body = state["promised"], tuple(state["at"]), state["body"]

    def keep(self, promised: int, at: tuple[int, int], body: Body) -> bool:
        """On the disk first; False where that failed, and nothing was taken."""
        try:
            self.host.keep_book({"promised": promised, "at": list(at), "body": body})
        except OSError as problem:
            self.host.note("book_not_kept", problem=str(problem))
            return False
        self.promised, self.at, self.body = promised, at, body
        return True

    # -- who counts

    def voters(self) -> dict[str, str]:
        return self.body["voters"]

    def members(self) -> list[str]:
        return sorted(self.body["members"])

    def counts(self, name: str, voters: dict[str, str]) -> bool:
        """Whether its word counts: one not listed yet is taken once, unless it is a second one."""
        listed = voters.get(name)
        mine = self.store if name == self.name else self.stores.get(name, "")
        return listed is not None and (listed == mine or (listed == "" and not mine.startswith(SECOND)))

    def agreed(self, names: Iterable[str], voters: dict[str, str]) -> bool:
        return majority((name for name in names if self.counts(name, voters)), voters)

    def place(self) -> int:
        return sorted(self.body["members"]).index(self.name) % MOST_PLACES

    # -- time

    def woke(self, now: float) -> None:
        """Some ten times a second."""
        if self.role == DRIVES or self.role == TAKING:
            if now >= self.next_beat:
                self.beat(now)
            there = {name for name, at in self.answered.items() if now - at < AWAY} | {self.name}
            if now - self.role_since > AWAY and not self.agreed(there, self.voters()):
                self.depose(now, "no majority of the voters answers")
        elif self.role in (ASKING, STANDING):
            if now - self.role_since >= ASKS:
                self.follow(now, "")
        elif now - self.heard_at >= self.patience:
            self.ask(now)

    def slept(self, now: float, gap: float) -> None:
        """We were stopped for `gap`: nobody was late, and what we were about to write is old."""
        self.heard_at += gap
        if self.role != FOLLOWS:
            self.depose(now, "was stopped meanwhile")

    def follow(self, now: float, driver: str) -> None:
        self.role, self.driver, self.role_since = FOLLOWS, driver, now
        self.heard_at, self.patience = now, AWAY + self.draw(SPREAD)

    def depose(self, now: float, why: str) -> None:
        drove = self.role in (DRIVES, TAKING)
        self.follow(now, "")
        if drove:
            self.host.note("driver_left", term=self.standing_for, why=why)
            self.host.deposed(now, why)

    def renamed(self, now: float, store: str) -> None:
        """Our store has a new identity: what we promised may be lost, so our word counts for nothing."""
        self.depose(now, "the store is not what it was")
        self.store = SECOND + store

    # -- becoming the one that drives

    def ask(self, now: float) -> None:
        """First a question, which moves nobody: one that hears nobody must not raise the terms."""
        self.heard_at, self.patience = now, AWAY + self.draw(SPREAD)
        if not self.counts(self.name, self.voters()):
            return
        self.role, self.role_since, self.votes, self.driver = ASKING, now, {self.name}, ""
        for name in self.voters():
            if name != self.name:
                self.host.tell(name, {"do": "would", "at": list(self.at)})
        self.count_yes(now)

    def count_yes(self, now: float) -> None:
        if majority(self.votes, self.voters()):
            self.stand(now)

    def stand(self, now: float) -> None:
        term = (max(self.promised, self.highest) // BY_TERM + 1) * BY_TERM + self.place()
        if not self.keep(term, self.at, self.body):
            self.follow(now, "")
            return
        self.role, self.role_since, self.votes, self.standing_for = STANDING, now, {self.name}, term
        self.newest = (self.at, self.body)
        for name in self.voters():
            if name != self.name:
                self.host.tell(name, {"do": "promise", "term": term})
        self.count_promises(now)

    def count_promises(self, now: float) -> None:
        """The newest of what a majority holds is taken over, under our term."""
        at, body = self.newest
        self.needs = [self.voters(), body["voters"]]
        if not all(self.agreed(self.votes, voters) for voters in self.needs):
            return
        self.holds, self.answered = {}, {}
        if not self.keep(self.standing_for, (self.standing_for, 1), body):
            self.follow(now, "")
            return
        self.role, self.role_since, self.driver = TAKING, now, self.name
        self.host.held(now)
        self.beat(now)
        self.look(now)

    # -- driving

    def propose(self, now: float, body: Body) -> bool:
        """The next record; `in_force` tells when a majority holds it. One at a time."""
        if self.role != DRIVES or self.force != self.at:
            return False
        before, after = self.voters(), body["voters"]
        if sum(before.get(name) != after.get(name) for name in before.keys() | after.keys()) > 1:
            raise ValueError("voters change one at a time")
        if not self.keep(self.standing_for, (self.standing_for, self.at[1] + 1), body):
            self.depose(now, "the store failed")  # another's may be well
            return False
        self.needs = [before, after]
        self.beat(now)
        self.look(now)
        return True

    def beat(self, now: float) -> None:
        self.next_beat = now + BEAT
        for name in self.body["members"]:
            if name != self.name:
                word: Body = {
                    "do": "beat",
                    "term": self.standing_for,
                    "at": list(self.at),
                    "force": list(self.force),
                }
                if self.holds.get(name) != self.at:
                    word |= {"do": "hold", "body": self.body}
                self.host.tell(name, word)

    def look(self, now: float) -> None:
        """Whether what we wrote last is in force."""
        if self.force == self.at:
            return
        holding = [name for name, at in self.holds.items() if at == self.at] + [self.name]
        if not all(self.agreed(holding, voters) for voters in self.needs):
            return
        self.force = self.at
        self.host.note("record_in_force", term=self.at[0], revision=self.at[1])
        if self.role == TAKING:
            self.role, self.role_since = DRIVES, now
            self.host.note(
                "drives", term=self.standing_for, took_over=list(self.newest[0]), voters=len(self.voters())
            )
            self.host.drives(now)
        else:
            self.host.in_force(now)

    def relist(self, body: Body) -> str:
        """Puts one voter's store as it is now into a record to be proposed: one that holds the newest."""
        for name in sorted(body["voters"]):
            known = self.store if name == self.name else self.stores.get(name, "")
            if (
                known
                and known != body["voters"][name]
                and (name == self.name or self.holds.get(name) == self.at)
            ):
                body["voters"] = {**body["voters"], name: known}
                return name
        if len(body["voters"]) < MOST_VOTERS:
            for name in sorted(body["members"]):
                if name not in body["voters"] and self.holds.get(name) == self.at:
                    body["voters"] = {**body["voters"], name: self.stores.get(name, "")}
                    return name
        return ""

    # -- messages

    def heard(self, now: float, sender: str, word: Body) -> None:
        """`word` of another agent's book; `store` in it is the identity of the sender's store."""
        self.stores[sender] = str(word.get("store", ""))
        getattr(self, "on_" + word["do"], self.on_unknown)(now, sender, word)

    def on_unknown(self, now: float, sender: str, word: Body) -> None:
        self.host.note("book_unknown_word", sender=sender)

    def on_would(self, now: float, sender: str, word: Body) -> None:
        if sender not in self.body["members"]:  # it learns what it missed, also that it was dismissed
            self.host.tell(sender, {"do": "teach", "at": list(self.at), "body": self.body})
            return
        quiet = self.role != DRIVES and now - self.heard_at >= AWAY * 0.8
        self.host.tell(sender, {"do": "answer", "yes": quiet, "promised": self.promised})

    def on_answer(self, now: float, sender: str, word: Body) -> None:
        if self.role != ASKING:
            return
        if word["yes"] and self.counts(sender, self.voters()):
            self.votes.add(sender)
            self.highest = max(self.highest, int(word["promised"]))  # so that ours will be higher
            self.count_yes(now)

    def on_promise(self, now: float, sender: str, word: Body) -> None:
        term = word["term"]
        if term > self.promised:
            if not self.keep(term, self.at, self.body):
                return
            if self.role != FOLLOWS:
                self.depose(now, f"{sender} stands for a higher term")
            self.follow(now, "")
        elif term < self.promised:
            self.host.tell(sender, {"do": "passed", "term": term, "promised": self.promised})
            return
        self.host.tell(sender, {"do": "promised", "term": term, "at": list(self.at), "body": self.body})

    def on_promised(self, now: float, sender: str, word: Body) -> None:
        if self.role != STANDING or word["term"] != self.standing_for:
            return
        at = tuple(word["at"])
        if at > self.newest[0]:
            self.newest = (at, word["body"])
        self.votes.add(sender)
        self.count_promises(now)

    def on_passed(self, now: float, sender: str, word: Body) -> None:
        self.highest = max(self.highest, int(word["promised"]))
        if self.role != FOLLOWS and word["term"] == self.standing_for:
            self.depose(now, f"{sender} has promised a higher term")

    def on_hold(self, now: float, sender: str, word: Body) -> None:
        self.take(now, sender, word, word["body"])

    def on_beat(self, now: float, sender: str, word: Body) -> None:
        self.take(now, sender, word, None)

    def take(self, now: float, sender: str, word: Body, body: Body | None) -> None:
        term, at = word["term"], tuple(word["at"])
        if term < self.promised:
            self.host.tell(sender, {"do": "passed", "term": term, "promised": self.promised})
            return
        if term > self.promised or (body is not None and at > self.at):
            newer = body is not None and at > self.at
            if not self.keep(term, at if newer else self.at, body if newer and body else self.body):
                return
        if self.role != FOLLOWS:
            self.depose(now, f"{sender} drives under a higher term")
        if self.driver != sender:
            self.host.note("follows", driver=sender, term=term)
        self.follow(now, sender)
        self.force = tuple(word["force"])
        self.host.held(now)
        self.host.tell(sender, {"do": "held", "term": term, "at": list(self.at)})

    def on_held(self, now: float, sender: str, word: Body) -> None:
        if self.role in (DRIVES, TAKING) and word["term"] == self.standing_for:
            self.answered[sender] = now
            self.holds[sender] = tuple(word["at"])
            self.look(now)

    def on_teach(self, now: float, sender: str, word: Body) -> None:
        """We are no member where we asked: what they hold is newer, or we would be one."""
        at = tuple(word["at"])
        if at > self.at and self.keep(self.promised, at, word["body"]):
            self.host.note("book_taught", by=sender, member=self.name in self.body["members"])
            self.host.held(now)

    # -- what is told

    def table(self, now: float) -> Body:
        return {
            "role": self.role,
            "driver": self.driver,
            "promised": self.promised,
            "at": list(self.at),
            "voters": sorted(self.voters()),
            "members": self.members(),
            "member": self.name in self.body["members"],
            "counted": self.counts(self.name, self.voters()),
        }
