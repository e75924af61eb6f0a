"""What tools ask of a fleet, answered by the agent that they reached or by the leader. No I/O; times in ms.

The agent's thread alone calls it. A request that only the leader can answer waits here; it is forwarded to
the leader again and again until it is answered or its time is over, so it may reach several leaders: each
kind of request may be carried out twice without harm.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from vetchford.fleet.agent_messages import (
    ENCODED_KIND,
    MALFORMED,
    AbortRequest,
    ControlRequest,
    EncodedReply,
    EncodedRequest,
    FindRequest,
    MalformedRequestError,
    PauseRequest,
    PlanReply,
    RefusedReply,
    ResumeRequest,
    encode,
)
from vetchford.fleet.consensus import ReplicatedRecord, Role
from vetchford.fleet.coordinator_messages import CoordinatorMessage, ForwardedAnswer, ForwardedRequest
from vetchford.fleet.fleet_messages import (
    STATUS_KIND,
    AdmitRequest,
    AgentStatusReply,
    ControlReply,
    DismissRequest,
    FleetPlanRequest,
    FleetStatusRequest,
    FleetSubmitRequest,
    LeaderStatusReply,
    MembershipRequest,
    MembersReply,
    PeersRequest,
    ReportsRequest,
    RolloutProgress,
    RolloutSummary,
    decode_leader_request,
    decode_local_request,
    decode_rollout_request,
)
from vetchford.fleet.fleet_record import RolloutState, agent_of
from vetchford.fleet.fleet_rollout import FleetRolloutController
from vetchford.fleet.fleet_view import AgentReport
from vetchford.fleet.rollout import RefusedError
from vetchford.fleet.rollout_controls import ABORT, PAUSE, RolloutControls

REQUEST_TIMEOUT_MS = 6000.0  # a new leader is elected in less
FIRST_REPORTS_TIMEOUT_MS = 3000.0  # that a new leader waits for agents that have not reported to it
TARGETS_TIMEOUT_MS = 3000.0  # of a request's time, for agents that it names to be seen: three idle polls
FORWARD_INTERVAL_MS = 1000.0  # until a request is forwarded once more
MAX_PENDING_REQUESTS = 256  # more are refused
NEVER_MS = -1e12  # before any time of the clock

STATE_BY_CONTROL = {"": RolloutState.RUNNING, PAUSE: RolloutState.PAUSED, ABORT: RolloutState.ABORTED}


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


@dataclass(slots=True)
class PendingRequest:
    """A tool's request that only the leader can answer."""

    request: EncodedRequest  # as it came: the leader may be of a later version
    reply: Callable[[EncodedReply], None]
    received_at_ms: float
    forwarded_at_ms: float = NEVER_MS

    def waited_ms(self, now_ms: float) -> float:
        """How long ago the tool asked."""
        return now_ms - self.received_at_ms

    def is_overdue(self, now_ms: float) -> bool:
        """Whether its time is over."""
        return now_ms >= self.received_at_ms + REQUEST_TIMEOUT_MS


class ToolRequests:
    """The requests of tools at one agent, and the leader's answers to those of other agents."""

    def __init__(self, coordinator: Coordinator) -> None:
        """`coordinator`: of the same agent."""
        self.coordinator = coordinator
        self.pending: dict[int, PendingRequest] = {}  # by reference; removed as they are answered
        self.last_number = 0  # of references and controls

    def tick(self, now_ms: float) -> None:
        """Tries the pending requests; called about ten times a second."""
        for reference in list(self.pending):
            self.try_pending(now_ms, reference)

    def request(self, now_ms: float, request: EncodedRequest, reply: Callable[[EncodedReply], None]) -> None:
        """Answers a tool: `reply` is called once, now or within REQUEST_TIMEOUT_MS.

        RefusedError for what is refused at once, one of `MALFORMED` for what cannot be read.
        """
        match decode_local_request(request):
            case FindRequest(id=id):
                reply(self.describe_rollout(now_ms, id))
            case PeersRequest():
                record = self.coordinator.record
                reply({"book": record.status(), "log": record.body["log"]})
            case None:
                self.add_pending(now_ms, request, reply)
            case control:
                reply(encode(self.control_rollout(control)))

    def add_pending(
        self, now_ms: float, request: EncodedRequest, reply: Callable[[EncodedReply], None]
    ) -> None:
        """Takes in a request that only the leader can answer, and tries it at once."""
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            raise RefusedError(f"{MAX_PENDING_REQUESTS} requests wait already")
        reference = self.next_number()
        self.pending[reference] = PendingRequest(request, reply, now_ms)
        self.try_pending(now_ms, reference)

    def next_number(self) -> int:
        """One that this incarnation of the agent has not used."""
        self.last_number += 1
        return self.last_number

    # -- answered by any agent

    def control_rollout(self, request: ControlRequest) -> ControlReply:
        """Pauses, resumes or aborts a rollout here at once; the other agents are told."""
        coordinator = self.coordinator
        self.check_unfinished(request.id)
        match request:
            case ResumeRequest():
                if not coordinator.controls.resume(request.id):
                    raise RefusedError(f"change {request.id} has no pause that is known here")
            case PauseRequest():
                self.add_control(request.id, PAUSE)
            case AbortRequest():
                self.add_control(request.id, ABORT)
        coordinator.share_controls(request.id)
        active = coordinator.controls.active(request.id)
        return ControlReply(
            id=request.id,
            state=STATE_BY_CONTROL[active.kind],
            reason=active.reason,
            obeyed_by=coordinator.name,
            leader=self.known_leader(),
        )

    def check_unfinished(self, id: str) -> None:
        """RefusedError for a rollout that is not known or has ended."""
        coordinator = self.coordinator
        if id in coordinator.unfinished:
            return
        known = coordinator.record.body["spans"].get(id)
        if known:
            raise RefusedError(f"change {id} is {known['state']}")
        raise UnknownRolloutError(id)

    def add_control(self, id: str, kind: str) -> None:
        """Adds a pause or an abort; RefusedError where there are too many."""
        mark = f"{self.coordinator.incarnation}.{self.next_number()}"
        if not self.coordinator.controls.add(id, kind, "asked to", mark):
            raise RefusedError(f"change {id} has too many pauses; abort it")

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
        leader_silence_ms = now_ms - record.leader_heard_at if record.role != Role.LEADER else 0.0
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

    # -- answered by the leader

    def try_pending(self, now_ms: float, reference: int) -> None:
        """Answers a request as the leader, or forwards it; gives up once its time is over."""
        pending = self.pending[reference]
        leader = self.coordinator.record.leader
        if self.coordinator.controller is not None:
            answer = self.answer_or_refuse(now_ms, pending.request, pending.waited_ms(now_ms))
            if answer is not None:
                self.complete(reference, answer)
                return
        elif leader and now_ms - pending.forwarded_at_ms >= FORWARD_INTERVAL_MS:
            pending.forwarded_at_ms = now_ms
            forwarded = ForwardedRequest(reference, pending.request, pending.waited_ms(now_ms))
            self.coordinator.send(leader, forwarded)
        if pending.is_overdue(now_ms):
            self.complete(reference, self.answer_overdue(pending.request))

    def complete(self, reference: int, answer: EncodedReply) -> None:
        """Answers a pending request."""
        self.pending.pop(reference).reply(answer)

    def answer_overdue(self, request: EncodedRequest) -> EncodedReply:
        """What can be told without an answer of the leader."""
        if request[ENCODED_KIND] == STATUS_KIND:
            return encode(self.describe_own_instances())
        leader = self.known_leader()
        if leader:
            text = f"{leader} drives, and it is not in force yet; the same command with --id asks again"
        else:
            voters = ", ".join(sorted(self.coordinator.record.voters()))
            text = (
                f"nobody drives that can be seen from {self.coordinator.name}: "
                f"a majority of {voters} is needed"
            )
        return encode(RefusedReply(text))

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

    def on_forwarded_request(self, now_ms: float, sender: str, message: ForwardedRequest) -> None:
        """Another agent forwards its tool's request; without an answer now it forwards it again."""
        if self.coordinator.controller is None:
            return
        answer = self.answer_or_refuse(now_ms, message.request, float(message.waited))
        if answer is not None:
            self.coordinator.send(sender, ForwardedAnswer(message.ref, answer))

    def on_forwarded_answer(self, sender: str, message: ForwardedAnswer) -> None:
        """The leader's answer; one of another agent is dropped."""
        if message.ref in self.pending and sender == self.coordinator.record.leader:
            self.complete(message.ref, message.answer)

    def answer_or_refuse(
        self, now_ms: float, request: EncodedRequest, waited_ms: float
    ) -> EncodedReply | None:
        """As `answer`; whatever is wrong with a request makes a refusal and nothing worse."""
        try:
            return self.answer(now_ms, request, waited_ms)
        except RefusedError as problem:
            return encode(RefusedReply(str(problem)))
        except MALFORMED as problem:
            return encode(RefusedReply(str(MalformedRequestError(problem))))

    def answer(self, now_ms: float, request: EncodedRequest, waited_ms: float) -> EncodedReply | None:
        """The leader's answer; None while it is not committed, or too few agents have reported.

        `waited_ms`: since the tool asked.
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
        """Requests for which the agents must have reported."""
        members = self.coordinator.record.members()
        unseen = [agent for agent in members if not controller.view.is_fresh(now_ms, agent)]
        if unseen and now_ms - controller.started_at < FIRST_REPORTS_TIMEOUT_MS:
            return None
        if isinstance(request, FleetStatusRequest):
            status = LeaderStatusReply(
                instances=dict[str, Any](controller.view.fresh_instances(now_ms)),
                unseen_agents=unseen,
                leader=self.coordinator.name,
                rollouts=self.list_rollouts(),
            )
            return encode(status)
        if waited_ms < TARGETS_TIMEOUT_MS and names_agent(request.rollout, unseen):
            return None  # an agent that has just come back is seen with its next report
        return self.answer_rollout(now_ms, controller, request)

    def answer_rollout(
        self,
        now_ms: float,
        controller: FleetRolloutController,
        request: FleetSubmitRequest | FleetPlanRequest,
    ) -> EncodedReply | None:
        """Begins a rollout, which is answered once it is committed, or says what would be begun."""
        rollout = decode_rollout_request(request.rollout)
        if isinstance(request, FleetPlanRequest):
            planned = controller.make_rollout(now_ms, rollout)
            return encode(PlanReply(list(planned.steps), planned.batch, planned.minimum_available))
        if controller.request_rollout(now_ms, rollout):
            return self.describe_rollout(now_ms, rollout.id)
        return None

    def change_membership(
        self, now_ms: float, controller: FleetRolloutController, request: MembershipRequest
    ) -> EncodedReply | None:
        """Admits or dismisses an agent; answered once that is committed."""
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


class UnknownRolloutError(RefusedError):
    """A request for a rollout that this agent does not know; `id` is what was asked for."""

    def __init__(self, id: str) -> None:
        """`id`: as the tool sent it."""
        super().__init__(f"no change {id} is known here")
        self.id = id


def names_agent(rollout: EncodedRequest, agents: Iterable[str]) -> bool:
    """Whether an encoded rollout has a target on one of these agents."""
    named = {agent_of(key) for key in rollout["targets"]}
    return any(agent in named for agent in agents)
