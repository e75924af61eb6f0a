"""What tools ask of a fleet, answered by the agent that they reached or by the leader. No I/O; times in ms.

The agent's thread alone calls it. A request that only the leader can answer waits here; it is forwarded to
the leader again and again until it is answered or its time is over, so it may reach several leaders.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from vetchford.fleet.agent_messages import (
    ENCODED_KIND,
    AbortRequest,
    ControlRequest,
    EncodedReply,
    EncodedRequest,
    FindRequest,
    PauseRequest,
    RefusedReply,
    ResumeRequest,
    encode,
)
from vetchford.fleet.coordinator_messages import ForwardedAnswer, ForwardedRequest
from vetchford.fleet.coordinator_protocol import Coordinator
from vetchford.fleet.fleet_messages import STATUS_KIND, ControlReply, PeersRequest, decode_local_request
from vetchford.fleet.fleet_record import RolloutState
from vetchford.fleet.fleet_status import FleetStatusSource, UnknownRolloutError
from vetchford.fleet.leader_requests import LeaderRequests
from vetchford.fleet.rollout import RefusedError
from vetchford.fleet.rollout_controls import ABORT, PAUSE

REQUEST_TIMEOUT_MS = 6000.0  # a new leader is elected in less
FORWARD_INTERVAL_MS = 1000.0  # until a request is forwarded once more
MAX_PENDING_REQUESTS = 256  # more are refused
NEVER_MS = -1e12  # before any time of the clock

STATE_BY_CONTROL = {"": RolloutState.RUNNING, PAUSE: RolloutState.PAUSED, ABORT: RolloutState.ABORTED}


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
    """The requests of tools at one agent, and those that other agents forward to it as the leader."""

    def __init__(self, coordinator: Coordinator) -> None:
        """`coordinator`: of the same agent."""
        self.coordinator = coordinator
        self.status = FleetStatusSource(coordinator)
        self.leader_requests = LeaderRequests(coordinator, self.status)
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
                reply(self.status.describe_rollout(now_ms, id))
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

    # -- pauses, resumes and aborts

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
            leader=self.status.known_leader(),
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

    # -- those that the leader answers

    def try_pending(self, now_ms: float, reference: int) -> None:
        """Answers a request as the leader, or forwards it; gives up once its time is over."""
        pending = self.pending[reference]
        leader = self.coordinator.record.leader
        if self.coordinator.controller is not None:
            answer = self.leader_requests.answer_or_refuse(now_ms, pending.request, pending.waited_ms(now_ms))
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
            return encode(self.status.describe_own_instances())
        leader = self.status.known_leader()
        if leader:
            text = f"{leader} drives, and it is not in force yet; the same command with --id asks again"
        else:
            voters = ", ".join(sorted(self.coordinator.record.voters()))
            text = (
                f"nobody drives that can be seen from {self.coordinator.name}: "
                f"a majority of {voters} is needed"
            )
        return encode(RefusedReply(text))

    def on_forwarded_request(self, now_ms: float, sender: str, message: ForwardedRequest) -> None:
        """Another agent forwards its tool's request; without an answer now it forwards it again."""
        if self.coordinator.controller is None:
            return
        answer = self.leader_requests.answer_or_refuse(now_ms, message.request, float(message.waited))
        if answer is not None:
            self.coordinator.send(sender, ForwardedAnswer(message.ref, answer))

    def on_forwarded_answer(self, sender: str, message: ForwardedAnswer) -> None:
        """The leader's answer; one of another agent is dropped."""
        if message.ref in self.pending and sender == self.coordinator.record.leader:
            self.complete(message.ref, message.answer)
