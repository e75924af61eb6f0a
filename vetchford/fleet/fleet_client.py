"""Client of a fleet of agents over the sockets of some of them."""

from collections.abc import Callable
from typing import TypeVar

from vetchford.fleet.agent_client import ReceivedReply, UnreachableError, decode_reply, send_request
from vetchford.fleet.agent_messages import (
    ControlRequest,
    EncodedReply,
    FindRequest,
    FleetRequest,
    PlanReply,
    RolloutRequest,
    decode_plan,
    encode,
)
from vetchford.fleet.fleet_messages import (
    ControlReply,
    FleetPlanRequest,
    FleetRolloutStatus,
    FleetStatus,
    FleetStatusRequest,
    FleetSubmitRequest,
    LeaderRequest,
    LocalRequest,
    MembershipRequest,
    MembersReply,
    decode_control,
    decode_fleet_rollout,
    decode_fleet_status,
    decode_members,
)

ReplyT = TypeVar("ReplyT")


class FleetUnreachableError(UnreachableError):
    """None of the agents replied; `problems` holds the error of each."""

    def __init__(self, problems: list[UnreachableError]) -> None:
        """Initialize the error; `problems`: one for each agent, at least one."""
        super().__init__(problems[0].path, problems[0].problem)
        self.problems = problems

    def __str__(self) -> str:
        """Return the errors of all agents."""
        return "; ".join(str(problem) for problem in self.problems)


def fleet_request(request: LocalRequest | LeaderRequest) -> FleetRequest:
    """Wrap a request to a fleet in a request to one of its agents."""
    return FleetRequest(encode(request))


class FleetClient:
    """Requests to a fleet, sent to one agent and, if it does not reply, to the next one.

    Only one thread at a time may call it, as it moves agents that do not reply to the end of its list.
    Each method raises FleetUnreachableError if no agent replies, RefusedError for a refusal, or
    MalformedReplyError.
    """

    def __init__(self, paths: list[str]) -> None:
        """Initialize the client; `paths`: the agents' sockets, in the order in which they are tried."""
        self.paths = paths

    def status(self) -> ReceivedReply[FleetStatus]:
        """Return all instances and rollouts of the fleet."""
        return self._request(FleetStatusRequest(), decode_fleet_status)

    def submit(self, rollout: RolloutRequest) -> ReceivedReply[FleetRolloutStatus]:
        """Start a fleet rollout; the reply arrives once the rollout is committed."""
        return self._request(FleetSubmitRequest(encode(rollout)), decode_fleet_rollout)

    def plan(self, rollout: RolloutRequest) -> ReceivedReply[PlanReply]:
        """Return the plan of a rollout that `submit` would start."""
        return self._request(FleetPlanRequest(encode(rollout)), decode_plan)

    def control(self, request: ControlRequest) -> ReceivedReply[ControlReply]:
        """Pause, resume or abort a fleet rollout."""
        return self._request(request, decode_control)

    def find(self, rollout_id: str) -> ReceivedReply[FleetRolloutStatus]:
        """Return the status of one fleet rollout."""
        return self._request(FindRequest(rollout_id), decode_fleet_rollout)

    def change_members(self, request: MembershipRequest) -> ReceivedReply[MembersReply]:
        """Admit an agent to the fleet or dismiss one; the reply arrives once the change is committed."""
        return self._request(request, decode_members)

    def _request(
        self, request: LocalRequest | LeaderRequest, decode: Callable[[EncodedReply], ReplyT]
    ) -> ReceivedReply[ReplyT]:
        encoded_request = encode(fleet_request(request))
        problems = []
        for path in list(self.paths):
            try:
                return decode_reply(send_request(path, encoded_request), decode)
            except UnreachableError as problem:
                problems.append(problem)
                self.paths = [other for other in self.paths if other != path] + [path]  # now tried last
        raise FleetUnreachableError(problems)
