"""Turns in virtual time: keepers and takers under faults, a checker that knows nothing of them, planted
mistakes.
"""

from typing import Any

from testkit.simulation.world import Port, World
from vetchford.leases import leases
from vetchford.leases.leases import LeaseClient, LeaseServer

KEEPERS = ("s0", "s1", "s2")


class Program:
    """One server: its part in keeping, and one that takes turns for half a second to three, by the world's
    chance.
    """

    keeper, taker = LeaseServer, LeaseClient

    def __init__(self, port: Port, most: int, zones: int) -> None:
        self.port, self.busy_until, self.rest_until, self.notes = port, 0.0, 0.0, []
        now, number = port.now(), int(port.name[1:])
        zone = f"z{number % zones}"
        self.keeps = None
        if port.name in KEEPERS:
            self.keeps = self.keeper(
                self, port.name, KEEPERS, {"deep": most}, number, int(port.world.now / 100.0), now
            )
        self.takes = self.taker(self, port.name, KEEPERS, zone, port.life)

    def turn_word(self, to: str, body: Any) -> None:
        self.port.send(to, dict(body))

    def note(self, event: str, **fields: Any) -> None:
        self.notes.append((event, fields))

    def heard(self, now: float, sender: str, word: Any) -> None:
        if word["do"] in ("yours", "wait", "led_by", "over"):
            self.takes.heard(now, sender, word)
        elif self.keeps is not None:
            self.keeps.heard(now, sender, word)

    def woke(self, now: float) -> None:
        if self.keeps is not None:
            self.keeps.woke(now)
        self.takes.woke(now)
        chance = self.port.world.chance
        fence = self.takes.holds(now, "deep")
        if "deep" not in self.takes.wishes:
            if now >= self.rest_until:
                self.takes.want(now, "deep")
                self.busy_until = 0.0
        elif fence and not self.busy_until:
            self.busy_until = now + chance.uniform(500.0, 8000.0)
        elif self.busy_until and (now >= self.busy_until or not fence):
            self.takes.done(now, "deep")
            self.rest_until = now + chance.uniform(0.0, 2000.0)


class Turning:
    """One run: `wrong` has what breaks a promise, `had` who had how many turns."""

    def __init__(
        self,
        seed: int,
        count: int = 7,
        most: int = 2,
        zones: int = 2,
        program: type[Program] = Program,
        **told: Any,
    ) -> None:
        self.most, self.wrong, self.had, self.faults = most, [], {}, {}
        self.newest: dict[int, int] = {}  # fence by slot
        self.inside: dict[str, int] = {}
        self.world = World(
            [f"s{n}" for n in range(count)], seed, lambda port: program(port, most, zones), slope=0.1, **told
        )
        self.world.after = self.check

    def check(self) -> None:
        now, inside = self.world.now, {}
        for name in self.world.there():
            program = self.world.programs[name]
            fence = program.takes.holds(program.port.now(), "deep")
            if not fence:
                continue
            slot = program.takes.slot("deep")
            inside[name] = slot
            if self.inside.get(name) != slot:
                self.had[name] = self.had.get(name, 0) + 1
            if fence < self.newest.get(slot, 0):
                self.wrong.append(
                    f"{now:.0f}: {name} holds slot {slot} under {fence} after {self.newest[slot]}"
                )
            self.newest[slot] = max(fence, self.newest.get(slot, 0))
        if len(inside) > self.most:
            self.wrong.append(f"{now:.0f}: {len(inside)} at once: {inside}")
        if len(set(inside.values())) < len(inside):
            self.wrong.append(f"{now:.0f}: two in one slot: {inside}")
        self.inside = inside

    def faulty(self, seconds: float) -> None:
        world, chance = self.world, self.world.chance
        end = world.now + seconds * 1000.0
        while world.now < end and not self.wrong:
            world.run(world.now + chance.uniform(300.0, 3000.0))
            kind = chance.choice(
                (
                    "split",
                    "heal",
                    "freeze",
                    "thaw",
                    "kill",
                    "begin",
                    "slow",
                    "all keepers",
                    "heal",
                    "pair",
                    "one way",
                )
            )
            name = chance.choice(sorted(world.lives))
            self.faults[kind] = self.faults.get(kind, 0) + 1
            if kind == "split":
                world.split({name, chance.choice(sorted(world.lives))})
            elif kind == "heal":
                world.heal()
            elif kind == "freeze":
                world.freeze(name)
            elif kind == "thaw":
                for frozen in list(world.frozen):
                    world.thaw(frozen)
            elif kind == "kill":
                world.kill(name)
            elif kind in ("pair", "one way"):  # one keeper and another that see each other no more, or half
                one, other = chance.sample(KEEPERS, 2)
                world.cut |= {(one, other), (other, one)} if kind == "pair" else {(one, other)}
            elif kind == "slow":
                world.slow[name] = chance.uniform(100.0, 2500.0)
            elif kind == "all keepers":
                for keeper in KEEPERS if chance.random() < 0.2 else ():
                    world.kill(keeper)
            if kind in ("begin", "all keepers"):
                for gone in sorted(world.lives):
                    if gone not in world.programs:
                        world.begin(gone)

    def usurped(self) -> None:
        """One keeper hears the leader no more and stands; where another is chosen, the old one is cut off
        just then, with those whom it gave permits to.
        """
        world, end = self.world, self.world.now + 30_000.0
        keeps = {name: world.programs[name].keeps for name in KEEPERS}
        leader = next((name for name in KEEPERS if keeps[name].leads(world.clock(name))), None)
        if leader is None:
            return
        rival = next(name for name in KEEPERS if name != leader)
        world.cut |= {(leader, rival)}
        while world.now < end and not world.programs[rival].keeps.leads(world.clock(rival)):
            world.run(world.now + 50.0)
        world.split({leader} | {name for name in world.lives if name not in KEEPERS and name in self.inside})
        world.run(world.now + 10_000.0)

    def healed(self) -> None:
        self.world.heal()
        for name in sorted(self.world.lives):
            if name in self.world.frozen:
                self.world.thaw(name)
            elif name not in self.world.programs:
                self.world.begin(name)


# -- mistakes that must be found


class NoWait(LeaseServer):
    """A new leader grants at once."""

    def on_voted(self, now: float, sender: str, word: Any) -> None:
        super().on_voted(now, sender, word)
        self.opens = 0.0


class FromTheAnswer(LeaseClient):
    """The permit counts from when its answer came."""

    def on_yours(self, now: float, sender: str, word: Any, wish: Any) -> None:
        super().on_yours(now, sender, word, wish)
        if wish is not None and wish.fence == word["fence"]:
            wish.until = now + leases.PERMIT * leases.SLOPE


class NeverLooks(LeaseClient):
    """What it was given it takes for its own until it is told otherwise."""

    def holds(self, now: float, turn: str) -> int:
        wish = self.wishes.get(turn)
        return wish.fence if wish is not None else 0


class TwoAtOnce(LeaseServer):
    """Gives its vote to whoever asks under a higher term, also while another's lease runs."""

    def on_vote(self, now: float, sender: str, word: Any) -> None:
        if word["term"] > self.highest:
            self.voted = ""
        super().on_vote(now, sender, word)


MISTAKES: dict[str, dict[str, Any]] = {
    "a new leader does not wait": {"keeper": NoWait},
    "the lease from the answer": {"taker": FromTheAnswer},
    "no look at the clock": {"taker": NeverLooks},
    "a vote while another's lease runs": {"keeper": TwoAtOnce},
}


def caught(mistake: str, most: int = 60) -> int:
    """The number of schedules until it is found; 0: it was not."""
    program = type("Wrong", (Program,), MISTAKES[mistake])
    for seed in range(1, most + 1):
        run = Turning(seed, program=program, loss=0.05, doubled=0.1)
        run.world.run(12_000.0)
        run.usurped()
        run.healed()
        run.faulty(60.0)
        if run.wrong:
            return seed
    return 0


def played(seed: int) -> dict[str, Any]:
    """One schedule, healed after it, and a leader that another takes the place of."""
    run = Turning(seed, loss=0.05, doubled=0.1)
    run.faulty(120.0)
    had = sum(run.had.values())
    run.healed()
    run.world.run(run.world.now + 30_000.0)
    after = sum(run.had.values()) - had
    run.usurped()
    return {"wrong": run.wrong[:3], "turns": had + after, "after": after, "faults": run.faults}
