"""A tool's request for a fleet rollout: its form, and whether it may begin. No I/O; times in ms."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from vetchford.fleet.availability import Availability
from vetchford.fleet.fleet_record import FleetRollout, StepState, agent_of
from vetchford.fleet.fleet_view import InstanceReport
from vetchford.fleet.instance import InstanceState
from vetchford.fleet.rollout import FAILURE_POLICIES, KINDS, RefusedError

MAX_TARGETS = 1000  # instances in one rollout: its record stays under a tenth of the longest message


@dataclass(frozen=True, slots=True)
class RolloutRequest:
    """What a tool asks for; durations in ms. `targets` are instance keys ("n1@east")."""

    id: str
    kind: str
    targets: list[str]
    version: str
    batch: int
    minimum_available: int
    start_interval: float
    soak: float
    on_failure: str

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> RolloutRequest:
        """Reads the tools' form; KeyError where it lacks a key."""
        return cls(
            id=encoded["id"],
            kind=encoded["kind"],
            targets=encoded["targets"],
            version=encoded["version"],
            batch=encoded["batch"],
            minimum_available=encoded["floor"],
            start_interval=encoded["spacing"],
            soak=encoded["soak"],
            on_failure=encoded["on_failure"],
        )

    def is_for(self, rollout: FleetRollout) -> bool:
        """Whether this is the request that `rollout` was made for, sent once more."""
        asked = self.kind, sorted(self.targets), self.version
        return asked == (rollout.kind, sorted(rollout.steps), rollout.version)


class RequestValidator:
    """Makes the rollout of a request, or says why it must not begin."""

    def __init__(self, availability: Availability, queued: Iterable[FleetRollout]) -> None:
        """`availability`: by the committed record; `queued`: rollouts that are about to be put into it."""
        self.availability, self.instances = availability, availability.instances()
        self.begun = [*availability.record.unfinished(), *queued]

    def make_rollout(self, request: RolloutRequest) -> FleetRollout:
        """The rollout of a request; RefusedError where it must not begin."""
        self.check_words(request)
        self.check_targets_seen(request.targets)
        for key in request.targets:
            self.check_target(request, key)
        if request.batch < 1 or request.minimum_available < 0:
            raise RefusedError("batch must be 1 or more, floor 0 or more")
        rollout = self.new_rollout(request)
        self.check_minimum(rollout)
        return rollout

    def check_words(self, request: RolloutRequest) -> None:
        """Words that are none, and targets that are none, too many or doubled."""
        if request.kind not in KINDS or request.on_failure not in FAILURE_POLICIES:
            raise RefusedError(f"'{request.kind}' or '{request.on_failure}' is none that is known")
        targets = request.targets
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
        instance, agent = self.instances.get(key), agent_of(key)
        if instance is None:
            raise RefusedError(f"no such instance: {key}")
        owner = next((rollout.id for rollout in self.begun if key in rollout.steps), instance["change"])
        if owner:
            raise RefusedError(f"{key} is in change {owner}")
        versions = (instance["declared"], *self.availability.view.agents[agent].report["versions"])
        if request.kind == "roll" and request.version not in versions:
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
            start_spacing_ms=request.start_interval,
            minimum_ready_ms=request.soak,
            on_failure=request.on_failure,
            groups=sorted({instance["group"] for instance in targets.values()}),
            steps=dict.fromkeys(targets, StepState.PENDING),
            attempts=dict.fromkeys(targets, 0),
            before={key: [instance["version"], instance["wanted"]] for key, instance in targets.items()},
        )

    def check_minimum(self, rollout: FleetRollout) -> None:
        """The minimum must be kept where it can be told beforehand."""
        minimum = rollout.minimum_available
        available = self.availability.count(rollout)
        serving = sum(self.instances[key]["state"] == InstanceState.SERVING for key in rollout.steps)
        if rollout.kind == "stop" and available - serving < minimum:
            raise RefusedError(f"{available - serving} would be left serving, under the floor of {minimum}")
        if rollout.kind in ("restart", "roll") and minimum and serving and available <= minimum:
            raise RefusedError(f"{available} serve and the floor is {minimum}: none may go out")
