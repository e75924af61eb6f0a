"""The rule of the minimum: whether an instance may be taken out of service. No I/O; times in ms.

Only what a fresh report proves is counted. An instance that is not seen, that was not checked since its agent
started, or that a committed step may have taken out, counts as not serving: where the proof is missing, a
rollout waits, and the minimum holds however late or lost a message is.
"""

from dataclasses import dataclass

from vetchford.fleet.fleet_record import FleetRecord, FleetRollout, StepState
from vetchford.fleet.fleet_view import FleetView, InstanceReport
from vetchford.fleet.instance import InstanceState


@dataclass(frozen=True, slots=True)
class Availability:
    """A record against the reports, at one moment of the leader's monotonic clock."""

    now_ms: float
    view: FleetView
    record: FleetRecord

    def is_fresh(self, agent: str) -> bool:
        """Whether the newest report of an agent proves something now (`fleet_view.MAX_REPORT_AGE_MS`)."""
        return self.view.is_fresh(self.now_ms, agent)

    def instances(self) -> dict[str, InstanceReport]:
        """The instances that are seen now, by key."""
        return self.view.fresh_instances(self.now_ms)

    def instances_in_progress(self) -> set[str]:
        """The keys of all instances that a step of any unfinished rollout may have taken out of service.

        Invariant: a step is committed as in progress before its order is sent, so this holds every instance
        that an order of any leader has reached or may still reach.
        """
        return {
            key
            for rollout in self.record.unfinished()
            for key, step in rollout.steps.items()
            if step == StepState.IN_PROGRESS
        }

    def count(self, rollout: FleetRollout) -> int:
        """How many instances of a rollout's groups are proven to serve, without those in progress."""
        in_progress = self.instances_in_progress()
        return sum(
            is_proven_to_serve(instance) and instance["group"] in rollout.groups and key not in in_progress
            for key, instance in self.instances().items()
        )

    def shortfall(self, rollout: FleetRollout, key: str, taken: int = 0) -> str:
        """Whether taking one instance out of service would break a minimum.

        `rollout` is the one that would take out the instance `key`; `taken` is 1 where `count` has the
        instance still among those that serve, 0 where its step is in progress already.

        Returns which rollout's minimum forbids it, as text for operators, or empty where none does. The
        minimum of every unfinished rollout over the same group counts, not only the own one. An instance
        that does not serve, and a start, take nothing away and are always allowed.
        """
        instance = self.view.instance(key)
        if instance is None or instance["state"] != InstanceState.SERVING:
            return ""
        if rollout.step_kind(key) == "start":
            return ""
        for other in self.record.unfinished():
            if instance["group"] not in other.groups:
                continue
            available = self.count(other)
            if available - taken < other.minimum_available:
                return f"{available} proven to serve, the floor of {other.id} is {other.minimum_available}"
        return ""


def is_proven_to_serve(instance: InstanceReport) -> bool:
    """Whether a report says that an instance serves, by a check since its agent started."""
    return instance["state"] == InstanceState.SERVING and not instance["unseen"]
