"""Status of a fleet for tools, as known to one agent: its copy of the rollouts, and its own instances.

No I/O; times in ms, monotonic. Used by the agent's thread only.
"""

from vetchford.fleet.agent_messages import EncodedReply, encode
from vetchford.fleet.consensus import Role
from vetchford.fleet.coordinator_protocol import Coordinator
from vetchford.fleet.fleet_messages import AgentStatusReply, RolloutProgress, RolloutSummary
from vetchford.fleet.fleet_record import RolloutState
from vetchford.fleet.rollout import RefusedError
from vetchford.fleet.rollout_controls import PAUSE


class UnknownRolloutError(RefusedError):
    """A request names a rollout, `id`, that this agent does not know."""

    def __init__(self, id: str) -> None:
        """Initialize the error; `id`: as sent by the tool."""
        super().__init__(f"change {id} is unknown to this agent")
        self.id = id


class FleetStatusSource:
    """Read-only descriptions of one agent's state."""

    def __init__(self, coordinator: Coordinator) -> None:
        """Describe the state of `coordinator`, which belongs to the same agent."""
        self.coordinator = coordinator

    def known_leader(self) -> str:
        """Return the name of the leader that this agent knows; empty if there is none."""
        record = self.coordinator.record
        return self.coordinator.name if record.role == Role.LEADER else record.leader

    def describe_rollout(self, now_ms: float, id: str) -> EncodedReply:
        """Return a rollout as known to this agent, with all fields of the replicated record.

        Raises RefusedError if the rollout is unknown.
        """
        coordinator = self.coordinator
        record = coordinator.record
        rollout = record.body["spans"].get(id)
        if rollout is None:
            raise UnknownRolloutError(id)
        leader_silence_ms = now_ms - record.leader_heard_at_ms if record.role != Role.LEADER else 0.0
        active = coordinator.controls.active_control(id)
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
        """Return summaries of all rollouts in the record."""
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
        """Return the status of this agent's instances only."""
        coordinator = self.coordinator
        instances = coordinator.actions.report(coordinator.unfinished_ids)["instances"]
        return AgentStatusReply(
            instances={f"{name}@{coordinator.name}": instance for name, instance in instances.items()},
            leader="",
            unseen_agents=[agent for agent in coordinator.record.members() if agent != coordinator.name],
            rollouts=self.list_rollouts(),
        )
