"""Mutations of the decisions, to see that the simulated schedules find each of them."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

from testkit.simulation import agents
from vetchford.fleet import fleet_view
from vetchford.fleet.availability import Availability
from vetchford.fleet.consensus import ReplicatedRecord
from vetchford.fleet.coordinator import FleetCoordinator


@contextlib.contextmanager
def put(*places: tuple[Any, str, Any]) -> Iterator[None]:
    """Each (owner, name, value) while it lasts."""
    before = [(owner, name, getattr(owner, name)) for owner, name, _ in places]
    for owner, name, value in places:
        setattr(owner, name, value)
    try:
        yield
    finally:
        for owner, name, value in before:
            setattr(owner, name, value)


def no_fencing() -> contextlib.AbstractContextManager[None]:
    """Whoever sends is taken for the leader, whatever term was voted in."""

    def unfenced(act: Callable, less: int) -> Callable:
        def on_message(self, now, sender, message):
            self.copy.promised_term = min(self.copy.promised_term, message.term - less)
            act(self, now, sender, message)

        return on_message

    return put(
        (ReplicatedRecord, "on_append", unfenced(ReplicatedRecord.on_append, 0)),
        (ReplicatedRecord, "on_vote_request", unfenced(ReplicatedRecord.on_vote_request, 1)),
        (FleetCoordinator, "is_current_leader", lambda self, sender, term: True),
    )


def minimum_by_stale_reports() -> contextlib.AbstractContextManager[None]:
    """A report proves something for ever."""
    return put((fleet_view, "MAX_REPORT_AGE_MS", 1e12))


def minimum_without_steps_in_progress() -> contextlib.AbstractContextManager[None]:
    """An instance that was ordered out and still serves is counted."""

    def count(self, rollout):
        return sum(instance["state"] == "serving" for instance in self.instances().values())

    return put((Availability, "count", count))


def incarnation_forgotten() -> contextlib.AbstractContextManager[None]:
    """A store that lost its votes goes on under its old identity."""
    begin = agents.Machine.begin

    def begin_as_before(self):
        self.disk["store"] = f"{self.name}.1"
        begin(self)

    return put((agents.Machine, "outlived", lambda self: None), (agents.Machine, "begin", begin_as_before))


# How each is applied, and the schedules in which it must show.
MISTAKES: dict[str, tuple[Callable, dict[str, Any], range]] = {
    "no fencing": (no_fencing, {"faults": ("freeze", "slow", "cut", "one_way", "lossy")}, range(24)),
    "floor by the old view": (
        minimum_by_stale_reports,
        {"faults": ("machine", "cut"), "floor": 16},
        range(12),
    ),
    "floor without what is out": (minimum_without_steps_in_progress, {"floor": 17}, range(12)),
    "incarnation forgotten": (
        incarnation_forgotten,
        {"faults": ("old_disk", "no_disk", "cut", "cut")},
        range(30),
    ),
}


def caught(mistake: str, planted: bool = True, seeds: range | None = None) -> int:
    """The number of schedules until it was found: a rule or an assertion of the world broken; 0: never."""
    plant, given, usual = MISTAKES[mistake]
    for count, seed in enumerate(seeds or usual, 1):
        with plant() if planted else contextlib.nullcontext():
            try:
                world = agents.play(seed, **given)
            except AssertionError:
                return count
        if world.violations():
            return count
    return 0
