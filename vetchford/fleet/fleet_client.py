"""Asks a fleet of agents over the sockets of some of them."""

from collections.abc import Callable
from typing import TypeVar

from vetchford.fleet.agent_client import Answer, UnreachableError, ask, decode_answer
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
    """None of the agents that were asked replied; `problems` has why for each."""

    def __init__(self, problems: list[UnreachableError]) -> None:
        """`problems`: one for each agent, of which there is at least one."""
        super().__init__(problems[0].path, problems[0].problem)
        self.problems = problems

    def __str__(self) -> str:
        """Return why for each agent."""
        return "; ".join(str(problem) for problem in self.problems)


def fleet_request(request: LocalRequest | LeaderRequest) -> FleetRequest:
    """Return the request to one agent that carries a request to its fleet."""
    return FleetRequest(encode(request))


class FleetClient:
    """The requests to a fleet: any agent takes them; the next one is asked where one does not reply.

    One thread at a time may call it: it remembers which agent replied.
    Each method raises FleetUnreachableError if no agent replies, RefusedError for a refusal, or
    MalformedReplyError.
    """

    def __init__(self, paths: list[str]) -> None:
        """`paths`: the agents' sockets, in the order they are tried."""
        self.paths = paths

    def status(self) -> Answer[FleetStatus]:
        """Ask for all instances and rollouts of the fleet."""
        return self._ask(FleetStatusRequest(), decode_fleet_status)

    def submit(self, rollout: RolloutRequest) -> Answer[FleetRolloutStatus]:
        """Begin a fleet rollout; the reply comes once that is committed."""
        return self._ask(FleetSubmitRequest(encode(rollout)), decode_fleet_rollout)

    def plan(self, rollout: RolloutRequest) -> Answer[PlanReply]:
        """Ask what `submit` would begin."""
        return self._ask(FleetPlanRequest(encode(rollout)), decode_plan)

    def control(self, request: ControlRequest) -> Answer[ControlReply]:
        """Pause, resume or abort a fleet rollout."""
        return self._ask(request, decode_control)

    def find(self, rollout_id: str) -> Answer[FleetRolloutStatus]:
        """Ask for one fleet rollout."""
        return self._ask(FindRequest(rollout_id), decode_fleet_rollout)

    def change_members(self, request: MembershipRequest) -> Answer[MembersReply]:
        """Admit an agent to the fleet or dismiss one; the reply comes once that is committed."""
        return self._ask(request, decode_members)

    def _ask(
        self, request: LocalRequest | LeaderRequest, decode: Callable[[EncodedReply], ReplyT]
    ) -> Answer[ReplyT]:
        encoded_request = encode(fleet_request(request))
        problems = []
        for path in list(self.paths):
            try:
                return decode_answer(ask(path, encoded_request), decode)
            except UnreachableError as problem:
                problems.append(problem)
                self.paths = [other for other in self.paths if other != path] + [path]  # tried last from now
        raise FleetUnreachableError(problems)
