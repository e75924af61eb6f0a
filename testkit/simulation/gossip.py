"""Load gossip in virtual time: accuracy of a metric by fleet size, loss and faulty servers."""

import random
from typing import Any

import msgspec

from testkit.simulation.world import Port, World
from vetchford.gossip.load_gossip import GOSSIP_INTERVAL_MS, REPORT_LIFETIME_MS, LoadGossip
from vetchford.gossip.messages import LoadReport
from vetchford.gossip.metrics import MetricDefinition
from vetchford.subsetting.subsets import MembershipView

MAX_PACE = 64.0
METRICS = (
    MetricDefinition("pace", MAX_PACE),
    MetricDefinition("lost", 1.0),
    MetricDefinition("full", 1.0),
    MetricDefinition("memory", 1.0),
    MetricDefinition("rate", 1e5),
)
FAULTY_FRACTION = 0.1  # of the servers; faulty servers report the maximum
ENVELOPE_BYTES = 60  # of a message on a socket, in addition to the encoded reports
LOAD_AT_REST = 0.1
LOAD_AFTER_JUMP = 0.8
LOAD_DEVIATION = 0.02  # standard deviation between the servers and the true load
JUMP_AT_MS = 10_000.0
JUMP_TIMEOUT_MS = 15_000.0
HALF_OF_JUMP = 0.45  # load at half of the jump
MOST_OF_JUMP = 0.73  # load at nine tenths of the jump
POLL_INTERVAL_MS = 100.0  # at which the jump is observed
FAULTY_RUN_MS = 8_000.0
MESSAGES_PER_INTERVAL = 2
MS_PER_S = 1000.0
CLOCK_RATE_ERROR = 0.01
RING_NEIGHBOURS = 3
GOSSIP_SEED = 7
encoder = msgspec.msgpack.Encoder()


class Program:
    """A server whose measured load is distributed around the true load."""

    def __init__(
        self, port: Port, names: list[str], rings: dict[str, list[str]], true_load: Any, is_faulty: bool
    ) -> None:
        """Start the server.

        Args:
            port: of the server.
            names: of all servers.
            rings: successors on the ring by name.
            true_load: returns the true load at a time of the world.
            is_faulty: whether the server reports the maximum instead of its load.
        """
        self.port = port
        self.true_load = true_load
        self.is_faulty = is_faulty
        self.bytes_sent = 0
        self.rng = random.Random(f"{port.name}")
        self.gossip = LoadGossip(self, port.name, port.incarnation, METRICS, GOSSIP_SEED)
        self.gossip.set_members(names, rings[port.name])
        self.ticks = 0

    def send_load_reports(self, to: str, reports: list[LoadReport]) -> None:
        """Send reports over the simulated network."""
        self.bytes_sent += len(encoder.encode(reports)) + ENVELOPE_BYTES
        self.port.send(to, reports)

    def receive(self, now: float, sender: str, reports: list[LoadReport]) -> None:
        """Pass received reports to the gossip."""
        self.gossip.receive(now, sender, reports)

    def tick(self, now: float) -> None:
        """Report the load on every second tick, and run the timers of the gossip."""
        self.ticks += 1
        if self.ticks % 2:  # every 200 ms
            measured_load = (
                1.0
                if self.is_faulty
                else min(
                    1.0,
                    max(0.0, self.true_load(self.port.world.now) + self.rng.gauss(0.0, LOAD_DEVIATION)),
                )
            )
            self.gossip.report_own(
                now,
                {
                    "full": measured_load,
                    "pace": MAX_PACE if self.is_faulty else 1.0,
                    "memory": 0.3,
                    "rate": 40.0,
                },
            )
        self.gossip.tick(now)


def make_world(count: int, loss: float, has_faulty: bool, true_load: Any, seed: int = 1) -> World:
    """Return a world of `count` servers; `loss` is also the fraction of messages sent twice."""
    names = [f"server-{n:04}" for n in range(count)]
    rings = MembershipView(names, "fleet").ring_successors(RING_NEIGHBOURS)
    faulty = set(names[: int(FAULTY_FRACTION * count)]) if has_faulty else set()
    return World(
        names,
        seed,
        lambda port: Program(port, names, rings, true_load, port.name in faulty),
        loss,
        loss,
        clock_rate_error=CLOCK_RATE_ERROR,
    )


def errors_and_age(world: World, true_load: float) -> tuple[float, float, float]:
    """Return mean and maximum error of the aggregate on correct servers, and the mean age of its reports."""
    errors, ages = [], []
    for name, program in world.programs.items():
        if program.is_faulty:
            continue
        aggregate = program.gossip.aggregate(world.clock(name), "full")
        errors.append(abs(aggregate.value - true_load) if aggregate else 1.0)
        ages.append(aggregate.mean_age_ms if aggregate else REPORT_LIFETIME_MS)
    return sum(errors) / len(errors), max(errors), sum(ages) / len(ages)


def measure_fleet(count: int, loss: float) -> dict[str, Any]:
    """Return the figures of a fleet at rest, after a jump of the load, and with a tenth of faulty servers."""
    world = make_world(count, loss, False, lambda now: LOAD_AT_REST if now < JUMP_AT_MS else LOAD_AFTER_JUMP)
    world.run(JUMP_AT_MS)
    mean_error, max_error, mean_age_ms = errors_and_age(world, LOAD_AT_REST)
    bytes_sent = sum(program.bytes_sent for program in world.programs.values())
    half_ms = most_ms = 0.0
    while world.now < JUMP_AT_MS + JUMP_TIMEOUT_MS and not most_ms:
        world.run(world.now + POLL_INTERVAL_MS)
        aggregates = [
            program.gossip.aggregate(world.clock(name), "full") for name, program in world.programs.items()
        ]
        if not half_ms and all(
            aggregate is not None and aggregate.value >= HALF_OF_JUMP for aggregate in aggregates
        ):
            half_ms = world.now - JUMP_AT_MS
        if all(aggregate is not None and aggregate.value >= MOST_OF_JUMP for aggregate in aggregates):
            most_ms = world.now - JUMP_AT_MS
    with_faulty = make_world(count, loss, True, lambda now: LOAD_AT_REST)
    with_faulty.run(FAULTY_RUN_MS)
    return {
        "servers": count,
        "loss": loss,
        "error": round(mean_error, 4),
        "worst": round(max_error, 4),
        "age_ms": round(mean_age_ms),
        "jump_half_ms": half_ms,
        "jump_ms": most_ms,
        "with_liars": round(errors_and_age(with_faulty, LOAD_AT_REST)[0], 4),
        "bytes_per_s": round(bytes_sent / count / (JUMP_AT_MS / MS_PER_S)),
        "messages_per_s": round(MESSAGES_PER_INTERVAL * MS_PER_S / GOSSIP_INTERVAL_MS, 1),
    }
