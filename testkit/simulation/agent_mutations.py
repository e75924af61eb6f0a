"""Mutations of the agent's decisions, each of which the simulated schedules must detect."""

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from testkit.simulation import agents
from testkit.simulation.agent_machine import Machine
from vetchford.fleet import fleet_view
from vetchford.fleet.availability import Availability
from vetchford.fleet.consensus import ReplicatedRecord
from vetchford.fleet.coordinator import FleetCoordinator

UNLIMITED_AGE_MS = 1e12


@contextlib.contextmanager
def replaced(*replacements: tuple[Any, str, Any]) -> Iterator[None]:
    """Set each (owner, attribute, value) within the context and restore the old values after it."""
    originals = [(owner, name, getattr(owner, name)) for owner, name, _ in replacements]
    for owner, name, value in replacements:
        setattr(owner, name, value)
    try:
        yield
    finally:
        for owner, name, value in originals:
            setattr(owner, name, value)


def no_fencing() -> contextlib.AbstractContextManager[None]:
    """Accept every sender as the leader, whatever term the agent has voted in."""

    def without_fencing(handler: Callable[..., None], term_offset: int) -> Callable[..., None]:
        def on_message(self: Any, now: float, sender: str, message: Any) -> None:
            self.copy.promised_term = min(self.copy.promised_term, message.term - term_offset)
            handler(self, now, sender, message)

        return on_message

    return replaced(
        (ReplicatedRecord, "on_append", without_fencing(ReplicatedRecord.on_append, 0)),
        (ReplicatedRecord, "on_vote_request", without_fencing(ReplicatedRecord.on_vote_request, 1)),
        (FleetCoordinator, "is_current_leader", lambda self, sender, term: True),
    )


def minimum_by_stale_reports() -> contextlib.AbstractContextManager[None]:
    """Count available instances by reports of any age."""
    return replaced((fleet_view, "MAX_REPORT_AGE_MS", UNLIMITED_AGE_MS))


def minimum_without_steps_in_progress() -> contextlib.AbstractContextManager[None]:
    """Count as available the instances that were ordered to drain and still serve."""

    def count_serving(self: Any, rollout: Any) -> int:
        return sum(instance["state"] == "serving" for instance in self.instances().values())

    return replaced((Availability, "count_serving", count_serving))


def incarnation_forgotten() -> contextlib.AbstractContextManager[None]:
    """Keep the old identity of a store that has lost its votes."""
    start: Callable[[Any], None] = Machine.start

    def start_with_old_identity(self: Any) -> None:
        self.disk["store"] = f"{self.name}.1"
        start(self)

    return replaced(
        (Machine, "replace_store", lambda self: None), (Machine, "start", start_with_old_identity)
    )


@dataclass(frozen=True, slots=True)
class Mutation:
    """A mutation, its options of `agents.run_schedule` and the seeds of schedules that must detect it."""

    apply: Callable[[], contextlib.AbstractContextManager[None]]
    options: dict[str, Any]
    seeds: range


MUTATIONS = {
    "no fencing": Mutation(no_fencing, {"faults": ("freeze", "slow", "cut", "one_way", "lossy")}, range(24)),
    "floor by the old view": Mutation(
        minimum_by_stale_reports, {"faults": ("machine", "cut"), "minimum_available": 16}, range(12)
    ),
    "floor without what is out": Mutation(
        minimum_without_steps_in_progress, {"minimum_available": 17}, range(12)
    ),
    "incarnation forgotten": Mutation(
        incarnation_forgotten, {"faults": ("old_disk", "no_disk", "cut", "cut")}, range(30)
    ),
}


def schedules_until_caught(name: str, applied: bool = True, seeds: range | None = None) -> int:
    """Return the number of schedules run until one violated an invariant or assertion; 0 if none did.

    Args:
        name: a key of `MUTATIONS`.
        applied: false runs the same schedules without the mutation.
        seeds: of the schedules; by default those of the mutation.
    """
    mutation = MUTATIONS[name]
    for count, seed in enumerate(seeds or mutation.seeds, 1):
        with mutation.apply() if applied else contextlib.nullcontext():
            try:
                world = agents.run_schedule(seed, **mutation.options)
            except AssertionError:
                return count
        if world.violations():
            return count
    return 0
