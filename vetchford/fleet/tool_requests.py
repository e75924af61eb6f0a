"""Requests of tools to a fleet, answered by the receiving agent or by the leader. No I/O; times in ms.

Used by the agent's thread only. A request that only the leader can answer is kept here and forwarded to the
current leader repeatedly until it is answered or times out, so several leaders may receive it.
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

REQUEST_TIMEOUT_MS = 6000.0  # longer than the election of a new leader
FORWARD_INTERVAL_MS = 1000.0  # between two forwards of a request
MAX_PENDING_REQUESTS = 256  # further requests are refused
NEVER_MS = -1e12  # before any time of the monotonic clock

STATE_BY_CONTROL = {"": RolloutState.RUNNING, PAUSE: RolloutState.PAUSED, ABORT: RolloutState.ABORTED}


@dataclass(slots=True)
class PendingRequest:
    """A tool's request that only the leader can answer."""

    request: EncodedRequest  # undecoded: the leader may run a later version
    reply: Callable[[EncodedReply], None]
    received_at_ms: float
    forwarded_at_ms: float = NEVER_MS

    def waited_ms(self, now_ms: float) -> float:
        """Return the time since the request was received."""
        return now_ms - self.received_at_ms

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether the request has timed out."""
        return now_ms >= self.received_at_ms + REQUEST_TIMEOUT_MS


class ToolRequests:
    """Requests of tools to one agent, and requests that other agents forward to it as the leader."""

    def __init__(self, coordinator: Coordinator) -> None:
        """Start without requests; `coordinator`: of the same agent."""
        self.coordinator = coordinator
        self.status = FleetStatusSource(coordinator)
        self.leader_requests = LeaderRequests(coordinator, self.status)
        self.pending: dict[int, PendingRequest] = {}  # by reference; removed when answered
        self.last_number = 0  # last one given to a pending request or a control

    def tick(self, now_ms: float) -> None:
        """Process the pending requests; called about 20 times a second."""
        for reference in list(self.pending):
            self.process_pending(now_ms, reference)

    def request(self, now_ms: float, request: EncodedRequest, reply: Callable[[EncodedReply], None]) -> None:
        """Answer a tool's request by calling `reply` once, at the latest after REQUEST_TIMEOUT_MS.

        Raises RefusedError for an immediate refusal, one of `MALFORMED` for a malformed request.
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
        """Store a request that only the leader can answer, and process it for the first time."""
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            raise RefusedError(f"{MAX_PENDING_REQUESTS} requests are waiting; try again later")
        reference = self.next_number()
        self.pending[reference] = PendingRequest(request, reply, now_ms)
        self.process_pending(now_ms, reference)

    def next_number(self) -> int:
        """Return a number that this incarnation of the agent has not used."""
        self.last_number += 1
        return self.last_number

    # -- pauses, resumes and aborts

    def control_rollout(self, request: ControlRequest) -> ControlReply:
        """Pause, resume or abort a rollout on this agent at once, and notify the other agents."""
        coordinator = self.coordinator
        self.check_unfinished(request.id)
        match request:
            case ResumeRequest():
                if not coordinator.controls.resume(request.id):
                    raise RefusedError(f"no pause of change {request.id} is known to this agent")
            case PauseRequest():
                self.add_control(request.id, PAUSE)
            case AbortRequest():
                self.add_control(request.id, ABORT)
        coordinator.share_controls(request.id)
        active = coordinator.controls.active_control(request.id)
        return ControlReply(
            id=request.id,
            state=STATE_BY_CONTROL[active.kind],
            reason=active.reason,
            obeyed_by=coordinator.name,
            leader=self.status.known_leader(),
        )

    def check_unfinished(self, id: str) -> None:
        """Raise RefusedError if a rollout is unknown or has ended."""
        coordinator = self.coordinator
        if id in coordinator.unfinished_ids:
            return
        rollout = coordinator.record.body["spans"].get(id)
        if rollout:
            raise RefusedError(f"change {id} is {rollout['state']}: it cannot be paused, resumed or aborted")
        raise UnknownRolloutError(id)

    def add_control(self, id: str, kind: str) -> None:
        """Add a pause or an abort. Raises RefusedError if the rollout has too many pauses."""
        control_id = f"{self.coordinator.incarnation}.{self.next_number()}"
        if not self.coordinator.controls.add(id, kind, "asked to", control_id):
            raise RefusedError(f"change {id} has too many pauses to record another; abort it instead")

    # -- requests that the leader answers

    def process_pending(self, now_ms: float, reference: int) -> None:
        """Answer a pending request as the leader, or forward it; answer it with a refusal at its timeout."""
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
            self.complete(reference, self.timeout_answer(pending.request))

    def complete(self, reference: int, answer: EncodedReply) -> None:
        """Send the answer of a pending request and remove the request."""
        self.pending.pop(reference).reply(answer)

    def timeout_answer(self, request: EncodedRequest) -> EncodedReply:
        """Return the answer to a request that the leader did not answer in time."""
        if request[ENCODED_KIND] == STATUS_KIND:
            return encode(self.status.describe_own_instances())
        leader = self.status.known_leader()
        if leader:
            text = (
                f"leader {leader} did not complete the request in time, but may still do so; "
                "repeat the command (a rollout with the same --id; if it had none, see first whether the "
                "fleet's status lists it)"
            )
        else:
            voters = ", ".join(sorted(self.coordinator.record.voters()))
            text = f"no leader is known to {self.coordinator.name}: electing one needs a majority of {voters}"
        return encode(RefusedReply(text))

    def on_forwarded_request(self, now_ms: float, sender: str, message: ForwardedRequest) -> None:
        """Answer a request that another agent forwards; without an answer that agent forwards it again."""
        if self.coordinator.controller is None:
            return
        answer = self.leader_requests.answer_or_refuse(now_ms, message.request, float(message.waited))
        if answer is not None:
            self.coordinator.send(sender, ForwardedAnswer(message.ref, answer))

    def on_forwarded_answer(self, sender: str, message: ForwardedAnswer) -> None:
        """Complete a pending request with the leader's answer; ignore an answer of any other agent."""
        if message.ref in self.pending and sender == self.coordinator.record.leader:
            self.complete(message.ref, message.answer)
