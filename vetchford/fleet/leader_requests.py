"""The leader's answers to tools' requests.

No I/O; times in ms, monotonic. Only the agent's thread calls it. A request may be repeated, also to a new
leader, so each kind of request has the same effect if carried out twice.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from vetchford.fleet.agent_messages import (
    MALFORMED,
    EncodedReply,
    EncodedRequest,
    MalformedRequestError,
    PlanReply,
    RefusedReply,
    encode,
)
from vetchford.fleet.coordinator_protocol import Coordinator
from vetchford.fleet.fleet_messages import (
    AdmitRequest,
    DismissRequest,
    FleetPlanRequest,
    FleetStatusRequest,
    FleetSubmitRequest,
    LeaderStatusReply,
    MembershipRequest,
    MembersReply,
    ReportsRequest,
    decode_leader_request,
    decode_rollout_request,
)
from vetchford.fleet.fleet_record import agent_of
from vetchford.fleet.fleet_rollout import FleetRolloutController
from vetchford.fleet.fleet_status import FleetStatusSource
from vetchford.fleet.rollout import RefusedError

FIRST_REPORTS_TIMEOUT_MS = 3000.0  # for which a new leader waits for the first report of each agent
TARGETS_TIMEOUT_MS = 3000.0  # for which a request waits for reports of the agents it names; three idle polls


class LeaderRequests:
    """Answers requests while the agent leads; must not be called while the agent has no controller."""

    def __init__(self, coordinator: Coordinator, status: FleetStatusSource) -> None:
        """Start with the coordinator and the status source of the same agent."""
        self.coordinator = coordinator
        self.status = status

    def answer_or_refuse(
        self, now_ms: float, request: EncodedRequest, waited_ms: float
    ) -> EncodedReply | None:
        """Answer as `answer` does, with a refusal for a refused or malformed request."""
        try:
            return self.answer(now_ms, request, waited_ms)
        except RefusedError as problem:
            return encode(RefusedReply(str(problem)))
        except MALFORMED as problem:
            return encode(RefusedReply(str(MalformedRequestError(problem))))

    def answer(self, now_ms: float, request: EncodedRequest, waited_ms: float) -> EncodedReply | None:
        """Return the answer; None while a change is not committed or reports of agents are missing.

        `waited_ms`: time since the tool's request.
        """
        controller = self.coordinator.controller
        assert controller is not None
        decoded = decode_leader_request(request)
        if isinstance(decoded, MembershipRequest):
            return self.change_membership(now_ms, controller, decoded)
        return self.answer_from_reports(now_ms, controller, decoded, waited_ms)

    def answer_from_reports(
        self, now_ms: float, controller: FleetRolloutController, request: ReportsRequest, waited_ms: float
    ) -> EncodedReply | None:
        """Answer a request that needs the agents' reports."""
        members = self.coordinator.record.members()
        unseen = [agent for agent in members if not controller.view.is_fresh(now_ms, agent)]
        if unseen and now_ms - controller.started_at_ms < FIRST_REPORTS_TIMEOUT_MS:
            return None
        if isinstance(request, FleetStatusRequest):
            status = LeaderStatusReply(
                instances=dict[str, Any](controller.view.fresh_instances(now_ms)),
                unseen_agents=unseen,
                leader=self.coordinator.name,
                rollouts=self.status.list_rollouts(),
            )
            return encode(status)
        if waited_ms < TARGETS_TIMEOUT_MS and targets_any_agent(request.rollout, unseen):
            return None  # an agent that has just returned is seen with its next report
        return self.answer_rollout(now_ms, controller, request)

    def answer_rollout(
        self,
        now_ms: float,
        controller: FleetRolloutController,
        request: FleetSubmitRequest | FleetPlanRequest,
    ) -> EncodedReply | None:
        """Begin a rollout, answered once it is committed, or return the plan of the rollout."""
        rollout = decode_rollout_request(request.rollout)
        if isinstance(request, FleetPlanRequest):
            planned = controller.make_rollout(now_ms, rollout)
            return encode(PlanReply(list(planned.steps), planned.batch, planned.minimum_available))
        if controller.request_rollout(now_ms, rollout):
            return self.status.describe_rollout(now_ms, rollout.id)
        return None

    def change_membership(
        self, now_ms: float, controller: FleetRolloutController, request: MembershipRequest
    ) -> EncodedReply | None:
        """Admit or dismiss an agent; answered once the change is committed.

        A change that is already in effect is answered as done, so that a command may be repeated. So the
        dismissal of a name that is no member succeeds.
        """
        name = request.agent
        record = self.coordinator.record
        if record.is_member(name) == isinstance(request, AdmitRequest):
            return encode(MembersReply(record.members(), record.body["log"]))
        if not controller.is_member_change_queued(name):
            match request:
                case AdmitRequest():
                    controller.admit(name, request.operator)
                case DismissRequest():
                    controller.dismiss(now_ms, name, request.operator)
        return None


def targets_any_agent(rollout: EncodedRequest, agents: Iterable[str]) -> bool:
    """Return whether an encoded rollout has a target on one of these agents."""
    target_agents = {agent_of(key) for key in rollout["targets"]}
    return any(agent in target_agents for agent in agents)
