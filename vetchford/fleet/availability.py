"""How many instances are proven to serve, and whether one more may go out. No I/O; times in ms."""

from dataclasses import dataclass

from vetchford.fleet.fleet_record import FleetRecord, FleetRollout, StepState
from vetchford.fleet.fleet_view import FleetView, InstanceReport
from vetchford.fleet.instance import InstanceState


@dataclass(frozen=True, slots=True)
class Availability:
    """A record against the reports, at one moment."""

    now: float
    view: FleetView
    record: FleetRecord

    def is_fresh(self, agent: str) -> bool:
        """Whether the newest report of an agent proves something now."""
        return self.view.is_fresh(self.now, agent)

    def instances(self) -> dict[str, InstanceReport]:
        """The instances that are seen now, by key."""
        return self.view.fresh_instances(self.now)

    def count(self, rollout: FleetRollout) -> int:
        """Instances of a rollout's groups that are proven to serve, without all that may be out."""
        in_progress = {
            key
            for other in self.record.unfinished()
            for key, step in other.steps.items()
            if step == StepState.IN_PROGRESS
        }
        return sum(
            instance["state"] == InstanceState.SERVING
            and not instance["unseen"]
            and instance["group"] in rollout.groups
            and key not in in_progress
            for key, instance in self.instances().items()
        )

    def shortfall(self, rollout: FleetRollout, key: str, taken: int = 0) -> str:
        """Which rollout's minimum forbids that an instance goes out; empty where none does.

        `taken`: 1 where the instance is not counted as out yet.
        """
        instance = self.view.instance(key)
        if (
            instance is None
            or instance["state"] != InstanceState.SERVING
            or rollout.step_kind(key) == "start"
        ):
            return ""
        for other in self.record.unfinished():
            available = self.count(other)
            if instance["group"] in other.groups and available - taken < other.minimum_available:
                return f"{available} proven to serve, the floor of {other.id} is {other.minimum_available}"
        return ""
