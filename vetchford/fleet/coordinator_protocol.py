"""What the requests of tools need of an agent's `coordinator`, which is their owner."""

from typing import Protocol

from vetchford.fleet.consensus import ReplicatedRecord
from vetchford.fleet.coordinator_messages import CoordinatorMessage
from vetchford.fleet.fleet_rollout import FleetRolloutController
from vetchford.fleet.fleet_view import AgentReport
from vetchford.fleet.rollout_controls import RolloutControls


class ReportSource(Protocol):
    """What reports on this agent's instances."""

    def report(self, rollouts: set[str]) -> AgentReport:
        """This agent's instances, and the local rollouts made for `rollouts`."""


class Coordinator(Protocol):
    """The agent's part in its fleet, as far as requests of tools need it."""

    name: str  # of this agent
    incarnation: int
    record: ReplicatedRecord
    controls: RolloutControls
    controller: FleetRolloutController | None  # while this agent leads
    wait_reasons: dict[str, str]  # by rollout, as the leader told last
    unfinished: set[str]  # rollouts of the record that have not ended

    @property
    def actions(self) -> ReportSource:
        """What the coordinator acts through."""

    def send(self, to: str, message: CoordinatorMessage) -> None:
        """Send a message to another agent; it may be lost."""

    def share_controls(self, rollout_id: str) -> None:
        """Store the controls of one rollout, and send them to all members."""
