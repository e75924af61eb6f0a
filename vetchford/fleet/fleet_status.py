"""What an agent tells tools about its fleet: rollouts as it knows them, and its own instances.

No I/O; times in ms, monotonic. The agent's thread alone calls it.
"""

from vetchford.fleet.agent_messages import EncodedReply, encode
from vetchford.fleet.consensus import Role
from vetchford.fleet.coordinator_protocol import Coordinator
from vetchford.fleet.fleet_messages import AgentStatusReply, RolloutProgress, RolloutSummary
from vetchford.fleet.fleet_record import RolloutState
from vetchford.fleet.rollout import RefusedError
from vetchford.fleet.rollout_controls import PAUSE


class UnknownRolloutError(RefusedError):
    """A request for a rollout that this agent does not know; `id` is what was asked for."""

    def __init__(self, id: str) -> None:
        """`id`: as the tool sent it."""
        super().__init__(f"no change {id} is known here")
        self.id = id


class FleetStatusSource:
    """Descriptions of the state that one agent has; changes nothing."""

    def __init__(self, coordinator: Coordinator) -> None:
        """`coordinator`: of the same agent."""
        self.coordinator = coordinator

    def known_leader(self) -> str:
        """The leader that this agent sees, or empty."""
        record = self.coordinator.record
        return self.coordinator.name if record.role == Role.LEADER else record.leader

    def describe_rollout(self, now_ms: float, id: str) -> EncodedReply:
        """A rollout as this agent knows it, with all that its record says.

        RefusedError where it knows none.
        """
        coordinator = self.coordinator
        record = coordinator.record
        rollout = record.body["spans"].get(id)
        if rollout is None:
            raise UnknownRolloutError(id)
        leader_silence_ms = now_ms - record.leader_heard_at_ms if record.role != Role.LEADER else 0.0
        active = coordinator.controls.active(id)
        is_paused = active.kind == PAUSE and rollout["state"] == RolloutState.RUNNING
        progress = RolloutProgress(
            state=RolloutState.PAUSED if is_paused else rollout["state"],
            reason=rollout["why"] or active.reason,
            waits_for=coordinator.wait_reasons.get(id, ""),
            leader=self.known_leader(),
            leader_silence_ms=round(leader_silence_ms),
            term=record.version[0],
            revision=record.version[1],
            replied_by=coordinator.name,
        )
        return {**rollout, **encode(progress)}

    def list_rollouts(self) -> list[RolloutSummary]:
        """All rollouts of the record, in short."""
        return [
            RolloutSummary(
                id=rollout["id"],
                kind=rollout["kind"],
                state=rollout["state"],
                reason=rollout["why"],
                waits_for=self.coordinator.wait_reasons.get(rollout["id"], ""),
            )
            for rollout in self.coordinator.record.body["spans"].values()
        ]

    def describe_own_instances(self) -> AgentStatusReply:
        """The instances of this agent alone."""
        coordinator = self.coordinator
        instances = coordinator.actions.report(coordinator.unfinished)["instances"]
        return AgentStatusReply(
            instances={f"{name}@{coordinator.name}": one for name, one in instances.items()},
            leader="",
            unseen_agents=[agent for agent in coordinator.record.members() if agent != coordinator.name],
            rollouts=self.list_rollouts(),
        )
