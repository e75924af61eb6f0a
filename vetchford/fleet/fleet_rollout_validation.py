"""Checks of a requested fleet rollout before it begins. No I/O; times in ms."""

from __future__ import annotations

from collections.abc import Iterable

from vetchford.fleet.agent_messages import RolloutRequest
from vetchford.fleet.availability import Availability
from vetchford.fleet.fleet_record import FleetRollout, StepState, agent_of
from vetchford.fleet.fleet_view import InstanceReport
from vetchford.fleet.instance import InstanceState
from vetchford.fleet.rollout import RefusedError, RolloutKind
from vetchford.fleet.rollout_rules import check_kind_and_policy, check_limits, check_minimum_available

MAX_TARGETS = 1000  # instances in one rollout, whose record is then below a tenth of the longest message


def is_same_request(request: RolloutRequest, rollout: FleetRollout) -> bool:
    """Return whether `request` is a repetition of the request that `rollout` was made for."""
    requested = (request.kind, sorted(request.targets), request.version)
    return requested == (rollout.kind, sorted(rollout.steps), rollout.version)


class RequestValidator:
    """Makes the rollout of a request, or refuses the request."""

    def __init__(self, availability: Availability, queued: Iterable[FleetRollout]) -> None:
        """Start with the availability by the committed record; `queued`: rollouts not yet in that record."""
        self.availability = availability
        self.instances = availability.instances()
        self.unfinished_rollouts = [*availability.record.unfinished(), *queued]

    def make_rollout(self, request: RolloutRequest) -> FleetRollout:
        """Return the rollout of a request; RefusedError if it must not begin."""
        check_kind_and_policy(request.kind, request.on_failure)
        self.check_targets_named(request.targets)
        self.check_targets_seen(request.targets)
        for key in request.targets:
            self.check_target(request, key)
        check_limits(request.batch, request.minimum_available)
        rollout = self.new_rollout(request)
        self.check_minimum(rollout)
        return rollout

    def check_targets_named(self, targets: list[str]) -> None:
        """Refuse no targets, a target named twice, and more targets than the record can hold."""
        if not targets or len(set(targets)) < len(targets) or len(targets) > MAX_TARGETS:
            raise RefusedError(
                f"the change names {len(targets)} instances: it must name 1 to {MAX_TARGETS}, each once"
            )

    def check_targets_seen(self, targets: list[str]) -> None:
        """Refuse targets of agents that are not members or have no fresh report."""
        foreign_targets = [key for key in targets if agent_of(key) not in self.availability.record.members]
        if foreign_targets:
            raise RefusedError(f"not on an agent of this fleet: {', '.join(foreign_targets)}")
        unseen = {agent for key in targets if not self.availability.is_fresh(agent := agent_of(key))}
        if unseen:
            raise RefusedError(f"agents not seen: {', '.join(sorted(unseen))}")

    def check_target(self, request: RolloutRequest, key: str) -> None:
        """Refuse an instance that is unknown, in another rollout, or whose agent lacks the version."""
        instance = self.instances.get(key)
        agent = agent_of(key)
        if instance is None:
            raise RefusedError(f"no such instance: {key}")
        owner_id = next(
            (rollout.id for rollout in self.unfinished_rollouts if key in rollout.steps), instance["change"]
        )
        if owner_id:
            raise RefusedError(f"{key} is in change {owner_id}")
        versions = (instance["declared"], *self.availability.view.agents[agent].report["versions"])
        if request.kind == RolloutKind.ROLL and request.version not in versions:
            raise RefusedError(f"{agent} has no command for version '{request.version}'")

    def new_rollout(self, request: RolloutRequest) -> FleetRollout:
        """Return the rollout of a request whose targets were checked."""
        targets: dict[str, InstanceReport] = {key: self.instances[key] for key in request.targets}
        return FleetRollout(
            id=request.id,
            kind=request.kind,
            version=request.version,
            batch=request.batch,
            minimum_available=request.minimum_available,
            start_interval_ms=request.start_interval_ms,
            minimum_ready_ms=request.minimum_ready_ms,
            on_failure=request.on_failure,
            groups=sorted({instance["group"] for instance in targets.values()}),
            steps=dict.fromkeys(targets, StepState.PENDING),
            attempts=dict.fromkeys(targets, 0),
            previous_states={
                key: [instance["version"], instance["wanted"]] for key, instance in targets.items()
            },
        )

    def check_minimum(self, rollout: FleetRollout) -> None:
        """Refuse a rollout that cannot keep its minimum by the current reports."""
        available = self.availability.count_serving(rollout)
        affected = sum(self.instances[key]["state"] == InstanceState.SERVING for key in rollout.steps)
        check_minimum_available(rollout.kind, available, affected, rollout.minimum_available)
