"""Checks of a requested fleet rollout before it may begin. No I/O; times in ms."""

from __future__ import annotations

from collections.abc import Iterable

from vetchford.fleet.agent_messages import RolloutRequest
from vetchford.fleet.availability import Availability
from vetchford.fleet.fleet_record import FleetRollout, StepState, agent_of
from vetchford.fleet.fleet_view import InstanceReport
from vetchford.fleet.instance import InstanceState
from vetchford.fleet.rollout import RefusedError, RolloutKind
from vetchford.fleet.rollout_rules import check_kind_and_policy, check_limits, check_minimum_available

MAX_TARGETS = 1000  # instances in one rollout: its record stays under a tenth of the longest message


def is_same_request(request: RolloutRequest, rollout: FleetRollout) -> bool:
    """Whether this is the request that `rollout` was made for, sent once more."""
    asked = (request.kind, sorted(request.targets), request.version)
    return asked == (rollout.kind, sorted(rollout.steps), rollout.version)


class RequestValidator:
    """Makes the rollout of a request, or says why it must not begin."""

    def __init__(self, availability: Availability, queued: Iterable[FleetRollout]) -> None:
        """`availability`: by the committed record; `queued`: rollouts that are about to be put into it."""
        self.availability = availability
        self.instances = availability.instances()
        self.begun = [*availability.record.unfinished(), *queued]

    def make_rollout(self, request: RolloutRequest) -> FleetRollout:
        """The rollout of a request; RefusedError where it must not begin."""
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
        """There must be some, each once, and not too many for the record."""
        if not targets or len(set(targets)) < len(targets) or len(targets) > MAX_TARGETS:
            raise RefusedError(f"it must name 1 to {MAX_TARGETS} instances, each once")

    def check_targets_seen(self, targets: list[str]) -> None:
        """Each target must be of a member that was seen a short while ago."""
        strange = [key for key in targets if agent_of(key) not in self.availability.record.members]
        if strange:
            raise RefusedError(f"not an agent of this fleet: {', '.join(strange)}")
        unseen = {agent for key in targets if not self.availability.is_fresh(agent := agent_of(key))}
        if unseen:
            raise RefusedError(f"not seen: {', '.join(sorted(unseen))}")

    def check_target(self, request: RolloutRequest, key: str) -> None:
        """An instance must exist, be in no other change, and its agent must know the version."""
        instance = self.instances.get(key)
        agent = agent_of(key)
        if instance is None:
            raise RefusedError(f"no such instance: {key}")
        owner = next((rollout.id for rollout in self.begun if key in rollout.steps), instance["change"])
        if owner:
            raise RefusedError(f"{key} is in change {owner}")
        versions = (instance["declared"], *self.availability.view.agents[agent].report["versions"])
        if request.kind == RolloutKind.ROLL and request.version not in versions:
            raise RefusedError(f"{agent} has no command for version '{request.version}'")

    def new_rollout(self, request: RolloutRequest) -> FleetRollout:
        """The record of a request that passed the checks of its targets."""
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
            before={key: [instance["version"], instance["wanted"]] for key, instance in targets.items()},
        )

    def check_minimum(self, rollout: FleetRollout) -> None:
        """The minimum must be kept where it can be told beforehand."""
        available = self.availability.count(rollout)
        affected = sum(self.instances[key]["state"] == InstanceState.SERVING for key in rollout.steps)
        check_minimum_available(rollout.kind, available, affected, rollout.minimum_available)
