"""Load gossip in virtual time: what all know of a metric that changes, by fleet size, loss and liars."""

import random
from typing import Any

import msgspec

from testkit.simulation.world import Port, World
from vetchford.gossip.load_gossip import GOSSIP_INTERVAL_MS, REPORT_LIFETIME_MS, LoadGossip
from vetchford.gossip.messages import LoadReport
from vetchford.gossip.metrics import MetricDefinition
from vetchford.subsetting.subsets import MembershipView

METRICS = (
    MetricDefinition("pace", 64.0),
    MetricDefinition("lost", 1.0),
    MetricDefinition("full", 1.0),
    MetricDefinition("memory", 1.0),
    MetricDefinition("rate", 1e5),
)
LIARS = 0.1  # share of the servers, which report the maximum
ENVELOPE_BYTES = 60  # measured on sockets
REST_SHARE = 0.1
HIGH_SHARE = 0.8
JUMP_AT_MS = 10_000.0
JUMP_TIMEOUT_MS = 15_000.0
HALF_OF_JUMP = 0.45  # the share seen half of the way up
MOST_OF_JUMP = 0.73  # and nine tenths of it
encoder = msgspec.msgpack.Encoder()


class Program:
    """One server, which measures a share that is spread around the true one."""

    def __init__(
        self, port: Port, names: list[str], rings: dict[str, list[str]], truth: Any, lies: bool
    ) -> None:
        """Start the server; `truth` gives the true share by the world's time."""
        self.port = port
        self.truth = truth
        self.lies = lies
        self.bytes = 0
        self.chance = random.Random(f"{port.name}")
        self.gossip = LoadGossip(self, port.name, port.incarnation, METRICS, 7)
        self.gossip.set_members(names, rings[port.name])
        self.ticks = 0

    def send_load_reports(self, to: str, reports: list[LoadReport]) -> None:
        """Sends over the simulated network."""
        self.bytes += len(encoder.encode(reports)) + ENVELOPE_BYTES
        self.port.send(to, reports)

    def receive(self, now: float, sender: str, reports: list[LoadReport]) -> None:
        """Hands reports to the gossip."""
        self.gossip.receive(now, sender, reports)

    def tick(self, now: float) -> None:
        """Measures, each second tick, and runs the timers of the gossip."""
        self.ticks += 1
        if self.ticks % 2:  # each 200 ms
            own = (
                1.0
                if self.lies
                else min(1.0, max(0.0, self.truth(self.port.world.now) + self.chance.gauss(0.0, 0.02)))
            )
            self.gossip.report_own(
                now, {"full": own, "pace": 64.0 if self.lies else 1.0, "memory": 0.3, "rate": 40.0}
            )
        self.gossip.tick(now)


def make_world(count: int, loss: float, liars: bool, truth: Any, seed: int = 1) -> World:
    """Return a world of `count` servers; `loss` is also the part of messages that are doubled."""
    names = [f"server-{n:04}" for n in range(count)]
    rings = MembershipView(names, "fleet").ring_successors(3)
    lying = set(names[: int(LIARS * count)]) if liars else set()
    return World(
        names,
        seed,
        lambda port: Program(port, names, rings, truth, port.name in lying),
        loss,
        loss,
        slope=0.01,
    )


def errors_and_age(world: World, truth: float) -> tuple[float, float, float]:
    """Mean and worst error over all honest servers, and mean age of what they rest on."""
    errors, ages = [], []
    for name, program in world.programs.items():
        if program.lies:
            continue
        aggregate = program.gossip.aggregate(world.clock(name), "full")
        errors.append(abs(aggregate.value - truth) if aggregate else 1.0)
        ages.append(aggregate.mean_age_ms if aggregate else REPORT_LIFETIME_MS)
    return sum(errors) / len(errors), max(errors), sum(ages) / len(ages)


def measure_fleet(count: int, loss: float) -> dict[str, Any]:
    """Figures of one size: at rest, after a jump from 0.1 to 0.8, and with a tenth of liars."""
    world = make_world(count, loss, False, lambda now: REST_SHARE if now < JUMP_AT_MS else HIGH_SHARE)
    world.run(JUMP_AT_MS)
    rest, worst, age = errors_and_age(world, REST_SHARE)
    sent = sum(program.bytes for program in world.programs.values())
    half = whole = 0.0
    while world.now < JUMP_AT_MS + JUMP_TIMEOUT_MS and not whole:
        world.run(world.now + 100.0)
        seen = [
            program.gossip.aggregate(world.clock(name), "full") for name, program in world.programs.items()
        ]
        if not half and all(one is not None and one.value >= HALF_OF_JUMP for one in seen):
            half = world.now - JUMP_AT_MS
        if all(one is not None and one.value >= MOST_OF_JUMP for one in seen):
            whole = world.now - JUMP_AT_MS
    lied = make_world(count, loss, True, lambda now: REST_SHARE)
    lied.run(8_000.0)
    return {
        "servers": count,
        "loss": loss,
        "error": round(rest, 4),
        "worst": round(worst, 4),
        "age_ms": round(age),
        "jump_half_ms": half,
        "jump_ms": whole,
        "with_liars": round(errors_and_age(lied, REST_SHARE)[0], 4),
        "bytes_per_s": round(sent / count / 10.0),
        "messages_per_s": round(2000.0 / GOSSIP_INTERVAL_MS, 1),
    }
