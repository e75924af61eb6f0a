"""Lease servers and clients in virtual time under faults, and a checker that knows nothing of how they work.

Seeded mutations of the protocol at the end of the module must be found by the checker.
"""

from collections.abc import Callable
from typing import Any

from testkit.simulation.world import Port, World
from vetchford.leases.lease_client import LeaseClient
from vetchford.leases.lease_server import LeaseServer
from vetchford.leases.messages import (
    ClientMessage,
    LeaseGranted,
    LeaseMessage,
    ServerMessage,
    VoteRequest,
)
from vetchford.leases.timing import LEASE_MS, MAX_CLOCK_RATE_RATIO

SERVERS = ("s0", "s1", "s2")
LEASE_NAME = "deep"
ALL_SERVERS_FRACTION = 0.2
"""Chance that all lease servers restart, instead of what is down."""


class Program:
    """One process: a lease server where it is listed, and a client that holds leases for random times."""

    server_class, client_class = LeaseServer, LeaseClient

    def __init__(self, port: Port, capacity: int, zones: int) -> None:
        """Start the process; its zone is one of `zones`."""
        self.port = port
        self.busy_until = 0.0
        self.rest_until = 0.0
        self.events: list[tuple[str, dict[str, Any]]] = []
        now = port.now()
        number = int(port.name[1:])
        self.server: LeaseServer | None = None
        if port.name in SERVERS:
            epoch = int(port.world.now / 100.0)
            self.server = self.server_class(
                self, port.name, SERVERS, {LEASE_NAME: capacity}, number, epoch, now
            )
        self.client = self.client_class(self, port.name, SERVERS, f"z{number % zones}", port.incarnation)

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        """Sends over the simulated network."""
        self.port.send(to, message)

    def log_event(self, event: str, **fields: Any) -> None:
        """Keeps the event."""
        self.events.append((event, fields))

    def receive(self, now: float, sender: str, message: LeaseMessage) -> None:
        """Delivers a message to the server or the client."""
        if isinstance(message, ClientMessage):
            self.client.receive(now, sender, message)
        elif self.server is not None:
            self.server.receive(now, sender, message)

    def tick(self, now: float) -> None:
        """Runs timers, and begins or ends the work that needs the lease."""
        if self.server is not None:
            self.server.tick(now)
        self.client.tick(now)
        chance = self.port.world.chance
        fencing_token = self.client.fencing_token(now, LEASE_NAME)
        if LEASE_NAME not in self.client.requests:
            if now >= self.rest_until:
                self.client.acquire(now, LEASE_NAME)
                self.busy_until = 0.0
        elif fencing_token and not self.busy_until:
            self.busy_until = now + chance.uniform(500.0, 8000.0)
        elif self.busy_until and (now >= self.busy_until or not fencing_token):
            self.client.release(LEASE_NAME)
            self.rest_until = now + chance.uniform(0.0, 2000.0)


class LeaseSimulation:
    """One run: `violations` has what breaks a promise, `acquired` how many leases each process had."""

    def __init__(
        self,
        seed: int,
        count: int = 7,
        capacity: int = 2,
        zones: int = 2,
        program: type[Program] = Program,
        **network: Any,
    ) -> None:
        """`network`: settings of `World`."""
        self.capacity = capacity
        self.violations: list[str] = []
        self.acquired: dict[str, int] = {}
        self.faults: dict[str, int] = {}
        self.newest_token: dict[int, int] = {}  # by slot
        self.slot_of: dict[str, int] = {}  # by holder, as of the last step
        self.world = World(
            [f"s{n}" for n in range(count)],
            seed,
            lambda port: program(port, capacity, zones),
            slope=0.1,
            **network,
        )
        self.world.after = self.check

    def check(self) -> None:
        """Looks for violations; called after each step of the simulation."""
        now = self.world.now
        slot_of: dict[str, int] = {}
        for name in self.world.running():
            program = self.world.programs[name]
            token = program.client.fencing_token(program.port.now(), LEASE_NAME)
            if token:
                slot_of[name] = program.client.slot(LEASE_NAME)
                self._check_token(name, slot_of[name], token)
        if len(slot_of) > self.capacity:
            self.violations.append(f"{now:.0f}: {len(slot_of)} at once: {slot_of}")
        if len(set(slot_of.values())) < len(slot_of):
            self.violations.append(f"{now:.0f}: two in one slot: {slot_of}")
        self.slot_of = slot_of

    def _check_token(self, name: str, slot: int, token: int) -> None:
        newest = self.newest_token.get(slot, 0)
        if self.slot_of.get(name) != slot:
            self.acquired[name] = self.acquired.get(name, 0) + 1
        if token < newest:
            self.violations.append(
                f"{self.world.now:.0f}: {name} holds slot {slot} under {token} after {newest}"
            )
        self.newest_token[slot] = max(token, newest)

    def run_with_faults(self, seconds: float) -> None:
        """Runs on, with a random fault each few seconds, until a violation is found."""
        world, chance = self.world, self.world.chance
        end = world.now + seconds * 1000.0
        while world.now < end and not self.violations:
            world.run(world.now + chance.uniform(300.0, 3000.0))
            kind = chance.choice(FAULT_KINDS)
            name = chance.choice(sorted(world.incarnations))
            self.faults[kind] = self.faults.get(kind, 0) + 1
            FAULTS[kind](world, name)

    def replace_leader(self) -> None:
        """Cuts a server off from the leader until another leads, and just then cuts off the old leader.

        The holders of its leases are on its side of the partition.
        """
        world, end = self.world, self.world.now + 30_000.0
        servers = {name: world.programs[name].server for name in SERVERS}
        leader = next((name for name in SERVERS if servers[name].leads(world.clock(name))), None)
        if leader is None:
            return
        rival = next(name for name in SERVERS if name != leader)
        world.cut |= {(leader, rival)}
        while world.now < end and not world.programs[rival].server.leads(world.clock(rival)):
            world.run(world.now + 50.0)
        holders = {name for name in world.incarnations if name not in SERVERS and name in self.slot_of}
        world.split({leader} | holders)
        world.run(world.now + 10_000.0)

    def heal(self) -> None:
        """Ends all faults: heals the network, thaws and restarts processes."""
        self.world.heal()
        for name in sorted(self.world.incarnations):
            if name in self.world.frozen:
                self.world.thaw(name)
            elif name not in self.world.programs:
                self.world.start(name)


# -- faults


def _split(world: World, name: str) -> None:
    world.split({name, world.chance.choice(sorted(world.incarnations))})


def _heal(world: World, name: str) -> None:
    world.heal()


def _freeze(world: World, name: str) -> None:
    world.freeze(name)


def _thaw_all(world: World, name: str) -> None:
    for frozen in list(world.frozen):
        world.thaw(frozen)


def _kill(world: World, name: str) -> None:
    world.kill(name)


def _restart_all(world: World, name: str) -> None:
    for gone in sorted(world.incarnations):
        if gone not in world.programs:
            world.start(gone)


def _slow(world: World, name: str) -> None:
    world.slow[name] = world.chance.uniform(100.0, 2500.0)


def _restart_all_servers(world: World, name: str) -> None:
    for server in SERVERS if world.chance.random() < ALL_SERVERS_FRACTION else ():
        world.kill(server)
    _restart_all(world, name)


def _cut_pair(world: World, name: str) -> None:
    one, other = world.chance.sample(SERVERS, 2)
    world.cut |= {(one, other), (other, one)}


def _cut_one_way(world: World, name: str) -> None:
    one, other = world.chance.sample(SERVERS, 2)
    world.cut |= {(one, other)}


FAULTS: dict[str, Callable[[World, str], None]] = {
    "split": _split,
    "heal": _heal,
    "freeze": _freeze,
    "thaw": _thaw_all,
    "kill": _kill,
    "begin": _restart_all,
    "slow": _slow,
    "all servers": _restart_all_servers,
    "pair": _cut_pair,
    "one way": _cut_one_way,
}
FAULT_KINDS = (  # healing is twice as likely as any fault
    "split",
    "heal",
    "freeze",
    "thaw",
    "kill",
    "begin",
    "slow",
    "all servers",
    "heal",
    "pair",
    "one way",
)


# -- mutations


class GrantsAtOnce(LeaseServer):
    """A new leader does not wait until the leases of its predecessor have expired."""

    def on_elected(self, now: float, term: int) -> None:
        """Grants from now on."""
        super().on_elected(now, term)
        self.grants_from_ms = 0.0


class CountsFromAnswer(LeaseClient):
    """Counts the lease from when its answer came."""

    def receive(self, now: float, sender: str, message: ClientMessage) -> None:
        """Extends the lease past what was granted."""
        super().receive(now, sender, message)
        request = self.requests.get(message.lease_name)
        if not isinstance(message, LeaseGranted) or request is None:
            return
        if request.fencing_token == message.fencing_token:
            request.expires_at_ms = now + LEASE_MS * MAX_CLOCK_RATE_RATIO


class IgnoresClock(LeaseClient):
    """Holds what it was granted until it is told otherwise."""

    def fencing_token(self, now: float, lease_name: str) -> int:
        """The token, also of a lease that has expired."""
        request = self.requests.get(lease_name)
        return request.fencing_token if request is not None else 0


class VotesTwice(LeaseServer):
    """Votes for a higher term also while its vote for another still binds."""

    def receive(self, now: float, sender: str, message: ServerMessage) -> None:
        """Forgets its vote first."""
        if isinstance(message, VoteRequest) and message.term > self.election.highest_seen_term:
            self.election.voted_for = ""
        super().receive(now, sender, message)


MUTATIONS: dict[str, dict[str, Any]] = {
    "a new leader does not wait": {"server_class": GrantsAtOnce},
    "the lease counts from the answer": {"client_class": CountsFromAnswer},
    "a holder does not look at the clock": {"client_class": IgnoresClock},
    "a vote while another's lease runs": {"server_class": VotesTwice},
}


def schedules_until_caught(mutation: str, maximum: int = 60) -> int:
    """How many schedules it takes until a mutation is found; 0: it was not."""
    program = type("MutatedProgram", (Program,), MUTATIONS[mutation])
    for seed in range(1, maximum + 1):
        simulation = LeaseSimulation(seed, program=program, loss=0.05, doubled=0.1)
        simulation.world.run(12_000.0)
        simulation.replace_leader()
        simulation.heal()
        simulation.run_with_faults(60.0)
        if simulation.violations:
            return seed
    return 0


def run_schedule(seed: int) -> dict[str, Any]:
    """One schedule of faults, healed after it; then the leader is replaced."""
    simulation = LeaseSimulation(seed, loss=0.05, doubled=0.1)
    simulation.run_with_faults(120.0)
    before = sum(simulation.acquired.values())
    simulation.heal()
    simulation.world.run(simulation.world.now + 30_000.0)
    after = sum(simulation.acquired.values()) - before
    simulation.replace_leader()
    return {
        "wrong": simulation.violations[:3],
        "turns": before + after,
        "after": after,
        "faults": simulation.faults,
    }
