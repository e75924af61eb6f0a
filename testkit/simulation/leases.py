"""Lease servers and clients in virtual time under faults, and a checker independent of their implementation.

The checker must detect each of the protocol mutations at the end of the module.
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
"""Probability that a restart fault restarts all lease servers, not only the dead processes."""
MS_PER_S = 1000.0
EPOCH_MS = 100.0
"""Unit of the epoch of a lease server; a server restarted within it has the same epoch again."""
MIN_WORK_MS = 500.0
MAX_WORK_MS = 8000.0
"""Bounds of the time for which a program uses a lease."""
MAX_PAUSE_MS = 2000.0
"""Maximum time between the release of a lease and the next request."""
CLOCK_RATE_ERROR = 0.1
MIN_FAULT_GAP_MS = 300.0
MAX_FAULT_GAP_MS = 3000.0
MIN_SLOW_DELAY_MS = 100.0
MAX_SLOW_DELAY_MS = 2500.0
ELECTION_TIMEOUT_MS = 30_000.0
POLL_INTERVAL_MS = 50.0
PARTITION_MS = 10_000.0
"""Time for which a replaced leader remains cut off."""
LOSS_FRACTION = 0.05
DUPLICATE_FRACTION = 0.1
FIRST_LEASES_MS = 12_000.0
"""Time for the first leases before a mutated leader is replaced."""
MUTATION_FAULTS_S = 60.0
SCHEDULE_FAULTS_S = 120.0
HEALED_RUN_MS = 30_000.0


class Program:
    """A process with a lease client, and with a lease server if its name is in `SERVERS`.

    The client holds the lease for random times.
    """

    server_class, client_class = LeaseServer, LeaseClient

    def __init__(self, port: Port, capacity: int, zones: int) -> None:
        """Start the process in one of `zones` zones."""
        self.port = port
        self.busy_until = 0.0
        self.next_request_at = 0.0
        self.events: list[tuple[str, dict[str, Any]]] = []
        now = port.now()
        number = int(port.name[1:])
        self.server: LeaseServer | None = None
        if port.name in SERVERS:
            epoch = int(port.world.now / EPOCH_MS)
            self.server = self.server_class(
                self, port.name, SERVERS, {LEASE_NAME: capacity}, number, epoch, now
            )
        self.client = self.client_class(self, port.name, SERVERS, f"z{number % zones}", port.incarnation)

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        """Send a message over the simulated network."""
        self.port.send(to, message)

    def log_event(self, event: str, **fields: Any) -> None:
        """Record the event."""
        self.events.append((event, fields))

    def receive(self, now: float, sender: str, message: LeaseMessage) -> None:
        """Deliver a message to the server or the client."""
        if isinstance(message, ClientMessage):
            self.client.receive(now, sender, message)
        elif self.server is not None:
            self.server.receive(now, sender, message)

    def tick(self, now: float) -> None:
        """Run the timers, and begin or end the work that needs the lease."""
        if self.server is not None:
            self.server.tick(now)
        self.client.tick(now)
        rng = self.port.world.rng
        fencing_token = self.client.fencing_token(now, LEASE_NAME)
        if LEASE_NAME not in self.client.requests:
            if now >= self.next_request_at:
                self.client.acquire(now, LEASE_NAME)
                self.busy_until = 0.0
        elif fencing_token and not self.busy_until:
            self.busy_until = now + rng.uniform(MIN_WORK_MS, MAX_WORK_MS)
        elif self.busy_until and (now >= self.busy_until or not fencing_token):
            self.client.release(LEASE_NAME)
            self.next_request_at = now + rng.uniform(0.0, MAX_PAUSE_MS)


class LeaseSimulation:
    """A simulation: `violations` has the violated guarantees, `acquired` the number of leases by process."""

    def __init__(
        self,
        seed: int,
        count: int = 7,
        capacity: int = 2,
        zones: int = 2,
        program: type[Program] = Program,
        **network: Any,
    ) -> None:
        """Start the simulation.

        Args:
            seed: determines the whole run.
            count: number of processes.
            capacity: number of leases that may be held at once.
            zones: number of zones.
            program: class of the processes.
            network: options of `World`.
        """
        self.capacity = capacity
        self.violations: list[str] = []
        self.acquired: dict[str, int] = {}
        self.faults: dict[str, int] = {}
        self.newest_token: dict[int, int] = {}  # highest fencing token by slot
        self.slot_of: dict[str, int] = {}  # by holder, as of the last check
        self.world = World(
            [f"s{n}" for n in range(count)],
            seed,
            lambda port: program(port, capacity, zones),
            clock_rate_error=CLOCK_RATE_ERROR,
            **network,
        )
        self.world.after_step = self.check

    def check(self) -> None:
        """Check the guarantees; called after each event of the simulation."""
        now = self.world.now
        slot_of: dict[str, int] = {}
        for name in self.world.running():
            program = self.world.programs[name]
            token = program.client.fencing_token(program.port.now(), LEASE_NAME)
            if token:
                slot_of[name] = program.client.slot(LEASE_NAME)
                self._check_token(name, slot_of[name], token)
        if len(slot_of) > self.capacity:
            self.violations.append(
                f"at {now:.0f} ms {len(slot_of)} leases were held, capacity {self.capacity}: {slot_of}"
            )
        if len(set(slot_of.values())) < len(slot_of):
            self.violations.append(f"at {now:.0f} ms two processes held the same slot: {slot_of}")
        self.slot_of = slot_of

    def _check_token(self, name: str, slot: int, token: int) -> None:
        newest = self.newest_token.get(slot, 0)
        if self.slot_of.get(name) != slot:
            self.acquired[name] = self.acquired.get(name, 0) + 1
        if token < newest:
            self.violations.append(
                f"at {self.world.now:.0f} ms {name} held slot {slot} with token {token} after {newest}"
            )
        self.newest_token[slot] = max(token, newest)

    def run_with_faults(self, seconds: float) -> None:
        """Run for this time with a random fault every few seconds; stop at the first violation."""
        world, rng = self.world, self.world.rng
        end_ms = world.now + seconds * MS_PER_S
        while world.now < end_ms and not self.violations:
            world.run(world.now + rng.uniform(MIN_FAULT_GAP_MS, MAX_FAULT_GAP_MS))
            kind = rng.choice(FAULT_KINDS)
            name = rng.choice(sorted(world.incarnations))
            self.faults[kind] = self.faults.get(kind, 0) + 1
            FAULTS[kind](world, name)

    def replace_leader(self) -> None:
        """Cut the leader off from another server until that server leads, then partition the network.

        The old leader and the holders of its leases are on one side of the partition.
        """
        world, end_ms = self.world, self.world.now + ELECTION_TIMEOUT_MS
        servers = {name: world.programs[name].server for name in SERVERS}
        leader = next((name for name in SERVERS if servers[name].leads(world.clock(name))), None)
        if leader is None:
            return
        new_leader = next(name for name in SERVERS if name != leader)
        world.cut |= {(leader, new_leader)}
        while world.now < end_ms and not world.programs[new_leader].server.leads(world.clock(new_leader)):
            world.run(world.now + POLL_INTERVAL_MS)
        holders = {name for name in world.incarnations if name not in SERVERS and name in self.slot_of}
        world.split({leader} | holders)
        world.run(world.now + PARTITION_MS)

    def heal(self) -> None:
        """End all faults: heal the network, thaw frozen processes and restart dead ones."""
        self.world.heal()
        for name in sorted(self.world.incarnations):
            if name in self.world.frozen:
                self.world.thaw(name)
            elif name not in self.world.programs:
                self.world.start(name)


# -- faults


def _split(world: World, name: str) -> None:
    world.split({name, world.rng.choice(sorted(world.incarnations))})


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
    for other in sorted(world.incarnations):
        if other not in world.programs:
            world.start(other)


def _slow(world: World, name: str) -> None:
    world.slow[name] = world.rng.uniform(MIN_SLOW_DELAY_MS, MAX_SLOW_DELAY_MS)


def _restart_all_servers(world: World, name: str) -> None:
    for server in SERVERS if world.rng.random() < ALL_SERVERS_FRACTION else ():
        world.kill(server)
    _restart_all(world, name)


def _cut_pair(world: World, name: str) -> None:
    one, other = world.rng.sample(SERVERS, 2)
    world.cut |= {(one, other), (other, one)}


def _cut_one_way(world: World, name: str) -> None:
    one, other = world.rng.sample(SERVERS, 2)
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
FAULT_KINDS = (  # `heal` is listed twice, so that it is twice as likely as each fault
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
    """A mutation: a new leader does not wait until the leases of its predecessor have expired."""

    def on_elected(self, now: float, term: int) -> None:
        """Grant leases from the election on."""
        super().on_elected(now, term)
        self.grants_from_ms = 0.0


class CountsFromAnswer(LeaseClient):
    """A mutation: a client counts the duration of a lease from the receipt of the reply."""

    def receive(self, now: float, sender: str, message: ClientMessage) -> None:
        """Extend the lease beyond the granted time."""
        super().receive(now, sender, message)
        request = self.requests.get(message.lease_name)
        if not isinstance(message, LeaseGranted) or request is None:
            return
        if request.fencing_token == message.fencing_token:
            request.expires_at_ms = now + LEASE_MS * MAX_CLOCK_RATE_RATIO


class IgnoresClock(LeaseClient):
    """A mutation: a client holds a granted lease without checking its expiry."""

    def fencing_token(self, now: float, lease_name: str) -> int:
        """Return the fencing token, even if the lease has expired."""
        request = self.requests.get(lease_name)
        return request.fencing_token if request is not None else 0


class VotesTwice(LeaseServer):
    """A mutation: a server votes for a higher term while its previous vote still binds."""

    def receive(self, now: float, sender: str, message: ServerMessage) -> None:
        """Forget the previous vote and handle the message."""
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
    """Return the number of schedules until the checker detected a mutation; 0 if it did not."""
    program = type("MutatedProgram", (Program,), MUTATIONS[mutation])
    for seed in range(1, maximum + 1):
        simulation = LeaseSimulation(
            seed, program=program, loss=LOSS_FRACTION, duplicate_rate=DUPLICATE_FRACTION
        )
        simulation.world.run(FIRST_LEASES_MS)
        simulation.replace_leader()
        simulation.heal()
        simulation.run_with_faults(MUTATION_FAULTS_S)
        if simulation.violations:
            return seed
    return 0


def run_schedule(seed: int) -> dict[str, Any]:
    """Run one schedule of faults, heal the network and replace the leader; return what was observed."""
    simulation = LeaseSimulation(seed, loss=LOSS_FRACTION, duplicate_rate=DUPLICATE_FRACTION)
    simulation.run_with_faults(SCHEDULE_FAULTS_S)
    acquired_under_faults = sum(simulation.acquired.values())
    simulation.heal()
    simulation.world.run(simulation.world.now + HEALED_RUN_MS)
    acquired_after_healing = sum(simulation.acquired.values()) - acquired_under_faults
    simulation.replace_leader()
    return {
        "violations": simulation.violations[:3],
        "acquired": acquired_under_faults + acquired_after_healing,
        "acquired_after_healing": acquired_after_healing,
        "faults": simulation.faults,
    }
