"""The interface of an agent's coordinator that the modules for tools' requests use."""

from typing import Protocol

from vetchford.fleet.consensus import ReplicatedRecord
from vetchford.fleet.coordinator_messages import CoordinatorMessage
from vetchford.fleet.fleet_rollout import FleetRolloutController
from vetchford.fleet.fleet_view import AgentReport
from vetchford.fleet.rollout_controls import RolloutControls


class ReportSource(Protocol):
    """Source of reports on this agent's instances."""

    def report(self, rollouts: set[str]) -> AgentReport:
        """Return this agent's instances, and the local rollouts made for `rollouts`."""


class Coordinator(Protocol):
    """The part of `coordinator.FleetCoordinator` that tools' requests need."""

    name: str  # of this agent
    incarnation: int
    record: ReplicatedRecord
    controls: RolloutControls
    controller: FleetRolloutController | None  # None unless this agent leads
    wait_reasons: dict[str, str]  # by rollout id, from the leader's last report request
    unfinished_ids: set[str]  # ids of the record's rollouts that have not ended

    @property
    def actions(self) -> ReportSource:
        """The operations that the coordinator calls."""

    def send(self, to: str, message: CoordinatorMessage) -> None:
        """Send a message to another agent; the message may be lost."""

    def share_controls(self, rollout_id: str) -> None:
        """Store the controls of one rollout, and send them to all members."""
