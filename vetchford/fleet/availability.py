"""The minimum of available instances: whether one may be taken out of service. No I/O; times in ms.

Only instances that a fresh report shows as serving are counted. An instance without a fresh report, without a
health check since its agent started, or that a committed step may have taken out of service counts as not
serving: without proof a rollout waits, so the minimum holds even if messages are late or lost.
"""

from dataclasses import dataclass

from vetchford.fleet.fleet_record import FleetRecord, FleetRollout, StepState
from vetchford.fleet.fleet_view import FleetView, InstanceReport
from vetchford.fleet.instance import InstanceState


@dataclass(frozen=True, slots=True)
class Availability:
    """A record and the agents' reports, at one time of the leader's monotonic clock."""

    now_ms: float
    view: FleetView
    record: FleetRecord

    def is_fresh(self, agent: str) -> bool:
        """Return whether the newest report of an agent is recent (`fleet_view.MAX_REPORT_AGE_MS`)."""
        return self.view.is_fresh(self.now_ms, agent)

    def instances(self) -> dict[str, InstanceReport]:
        """Return the instances in fresh reports, by key."""
        return self.view.fresh_instances(self.now_ms)

    def instances_in_progress(self) -> set[str]:
        """Return the keys of all instances that an unfinished rollout may have taken out of service.

        Invariant: a step is committed as in progress before its order is sent, so the result contains every
        instance that an order of any leader has reached or may still reach.
        """
        return {
            key
            for rollout in self.record.unfinished()
            for key, step in rollout.steps.items()
            if step == StepState.IN_PROGRESS
        }

    def count_serving(self, rollout: FleetRollout) -> int:
        """Return how many instances of a rollout's groups are proven to serve, except those in progress."""
        in_progress = self.instances_in_progress()
        return sum(
            is_proven_to_serve(instance) and instance["group"] in rollout.groups and key not in in_progress
            for key, instance in self.instances().items()
        )

    def describe_shortfall(self, rollout: FleetRollout, key: str, still_counted: int = 0) -> str:
        """Return which rollout's minimum forbids taking an instance out of service; empty if none does.

        `rollout` would take the instance `key` out of service; `still_counted` is 1 if `count_serving`
        includes this instance, 0 if its step is in progress already.

        The result is a text for operators. The minimum of every unfinished rollout over the same group
        applies, not only that of `rollout`. An instance that does not serve may always be taken, and a start
        is always allowed, as they do not reduce the number that serve.
        """
        instance = self.view.instance(key)
        if instance is None or instance["state"] != InstanceState.SERVING:
            return ""
        if rollout.step_kind(key) == "start":
            return ""
        for other in self.record.unfinished():
            if instance["group"] not in other.groups:
                continue
            available = self.count_serving(other)
            if available - still_counted < other.minimum_available:
                return f"{available} proven to serve, the floor of {other.id} is {other.minimum_available}"
        return ""


def is_proven_to_serve(instance: InstanceReport) -> bool:
    """Return whether a report shows an instance as serving, by a health check since its agent started."""
    return instance["state"] == InstanceState.SERVING and not instance["unseen"]
