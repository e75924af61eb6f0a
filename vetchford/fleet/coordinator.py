"""One agent's part in its fleet: keeps the record, carries out committed orders, and leads when elected.

Connects `consensus`, `fleet_rollout`, `rollout_controls`, `order_guard` and `tool_requests`. No I/O; times in
ms, monotonic. Only the agent's thread calls it. Messages of other agents may be late, duplicated, or from an
agent that no longer leads; `order_guard` decides which orders are carried out.

This module is longer than most because it connects the others: it implements the actions of the record and of
the controller, and passes each message and each tick to the module that decides.
"""

import contextlib
from collections.abc import Callable
from typing import Any, Protocol

from vetchford.fleet.agent_messages import EncodedReply
from vetchford.fleet.consensus import ReplicatedRecord
from vetchford.fleet.consensus_messages import EncodedMessage, UnknownMessageError
from vetchford.fleet.coordinator_messages import (
    RECORD_KIND,
    ControlsUpdate,
    CoordinatorMessage,
    ForwardedAnswer,
    ForwardedRequest,
    ReportRequest,
    ReportResponse,
    Step,
    StepOrder,
    decode_message,
    encode_message,
)
from vetchford.fleet.fleet_record import EncodedRecord, FleetRecord
from vetchford.fleet.fleet_rollout import FleetRolloutController
from vetchford.fleet.fleet_view import AgentReport
from vetchford.fleet.order_guard import MAX_ORDER_AGE_MS, OrderGuard
from vetchford.fleet.rollout_controls import EncodedControls, RolloutControls
from vetchford.fleet.tool_requests import ToolRequests

STALL_THRESHOLD_MS = 1500.0  # between two ticks; a longer gap means that this process was stopped, not busy

RECORD_NAME = "newest"  # name of the stored record
CONTROLS_KIND = "orders"  # kind of the stored controls, which are named by rollout id


class CoordinatorActions(Protocol):
    """Operations that the coordinator calls."""

    def post(self, to: str, kind: str, body: dict[str, Any]) -> bool:
        """Send a message to another agent; return False if it is known not to have been sent."""

    def save_record(self, kind: str, name: str, body: Any) -> None:
        """Store a record durably before returning, or delete it for None; OSError if the store fails."""

    def report(self, rollouts: set[str]) -> AgentReport:
        """Return this agent's instances, the local rollouts made for `rollouts`, and the known versions."""

    def begin_step(self, step: Step) -> str:
        """Start a local rollout over one instance; return why it was refused, or an empty text.

        A repeated call with the same step id starts nothing more.
        """

    def log_event(self, event: str, **fields: Any) -> None:
        """Write a log event."""


class FleetCoordinator:
    """The decisions of one agent about its fleet; implements the actions of the record and the controller."""

    def __init__(
        self,
        actions: CoordinatorActions,
        name: str,
        seed: int,
        store: str,
        founding_body: EncodedRecord,
        now_ms: float,
        incarnation: int,
    ) -> None:
        """Start as a follower; `store`: identity of the agent's store; `incarnation`: counts its starts."""
        self.actions = actions
        self.name = name
        self.incarnation = incarnation
        self.record = ReplicatedRecord(self, name, seed, store, founding_body, now_ms)
        self.controls = RolloutControls(name)
        self.controller: FleetRolloutController | None = None  # None unless this agent leads
        self.tool_requests = ToolRequests(self)
        self.order_guard = OrderGuard(name, self.record, self.controls)
        self.polls_sent_at_ms: dict[int, float] = {}  # by number; removed once answered or too old
        self.wait_reasons: dict[str, str] = {}  # by rollout id, from the leader's last report request
        self.unfinished_ids: set[str] = set()  # ids of the record's rollouts that have not ended
        self.last_tick_at_ms = now_ms

    def restore(self, kind: str, name: str, body: Any) -> None:
        """Load one stored record, at the start of the agent."""
        if kind == RECORD_KIND:
            self.record.restore(body)
            self.update_from_record()
        elif kind == CONTROLS_KIND:
            self.controls.by_rollout[name] = body

    # -- time

    def tick(self, now_ms: float) -> None:
        """Act on timeouts; called about 20 times a second."""
        gap_ms = now_ms - self.last_tick_at_ms
        self.last_tick_at_ms = now_ms
        if gap_ms > STALL_THRESHOLD_MS:
            self.actions.log_event("process_stalled", ms=round(gap_ms))
            self.record.on_process_stall(now_ms, gap_ms)
        self.record.tick(now_ms)
        if self.controller is not None:
            self.controller.tick(now_ms)
        self.discard_old_polls(now_ms)
        self.tool_requests.tick(now_ms)

    def discard_old_polls(self, now_ms: float) -> None:
        """Drop the polls whose report would be too old to base an order on."""
        expired = [
            number
            for number, sent_at_ms in self.polls_sent_at_ms.items()
            if now_ms - sent_at_ms > MAX_ORDER_AGE_MS
        ]
        for number in expired:
            del self.polls_sent_at_ms[number]

    # -- actions of the replicated record

    def send_to_record(self, to: str, message: EncodedMessage) -> None:
        """Send a message to the `ReplicatedRecord` of another agent."""
        self.actions.post(to, RECORD_KIND, message)

    def save_record(self, stored: dict[str, Any]) -> None:
        """Store the record; OSError if the store fails."""
        self.actions.save_record(RECORD_KIND, RECORD_NAME, stored)

    def on_elected(self, now_ms: float) -> None:
        """Start to lead, with a new controller."""
        self.controller = FleetRolloutController(self, self.name, self.record.body, self.controls)
        self.controller.tick(now_ms)

    def on_committed(self, now_ms: float) -> None:
        """Continue with a committed record; its pauses become controls before the controller runs."""
        self.update_from_record()
        if self.controller is not None:
            self.controller.on_committed(now_ms, self.record.body)

    def on_deposed(self, now_ms: float, reason: str) -> None:
        """Stop leading, and drop the controller."""
        self.controller = None
        self.polls_sent_at_ms.clear()

    def on_appended(self, now_ms: float) -> None:
        """Read the record again, as it may be a newer one."""
        self.update_from_record()

    def update_from_record(self) -> None:
        """Read the unfinished rollouts of the record, and add their pauses to the controls."""
        rollouts = FleetRecord.decode(self.record.body).rollouts
        self.unfinished_ids = {id for id, rollout in rollouts.items() if not rollout.is_ended()}
        for id in self.unfinished_ids:
            if rollouts[id].pauses:
                recorded: EncodedControls = {"halts": rollouts[id].pauses, "lifted": []}
                self.controls.merge({id: recorded}, self.unfinished_ids)
        for id in self.controls.discard_ended(self.unfinished_ids):
            self.wait_reasons.pop(id, None)
            with contextlib.suppress(OSError):  # controls of an ended rollout may stay stored without harm
                self.actions.save_record(CONTROLS_KIND, id, None)

    def log_event(self, event: str, **fields: Any) -> None:
        """Write a log event of the record or the controller."""
        self.actions.log_event(event, **fields)

    # -- actions of the controller

    def poll(self, agent: str, number: int) -> None:
        """Request a report from a member, which may be this agent."""
        if self.controller is None:
            return  # deposed by an effect of this agent's own report in the same round
        self.polls_sent_at_ms[number] = self.last_tick_at_ms
        request = ReportRequest(
            number,
            self.record.campaign_term,
            self.controls.encoded(),
            self.controller.wait_reasons,
        )
        if agent == self.name:
            self.on_report_request(self.last_tick_at_ms, self.name, request)
        else:
            self.send(agent, request)

    def order(self, agent: str, number: int, step: Step) -> None:
        """Order a member, which may be this agent, to carry out a committed step."""
        if self.controller is None:
            return
        order = StepOrder(number, self.record.campaign_term, self.record.committed[1], step)
        if agent == self.name:
            self.on_step_order(self.last_tick_at_ms, self.name, order)
        else:
            self.send(agent, order)

    def propose(self, now_ms: float, body: EncodedRecord) -> bool:
        """Propose the next record; return whether it was written."""
        return self.record.propose(now_ms, body)

    def find_voter_update(self, record: FleetRecord) -> tuple[str, str] | None:
        """Return a voter whose entry in the record is to be updated, and its store's identity."""
        return self.record.find_voter_update(record.voters, record.members)

    # -- messages of other agents

    def send(self, to: str, message: CoordinatorMessage) -> None:
        """Send a message to the coordinator of another agent; the message may be lost."""
        self.actions.post(to, message.KIND, encode_message(message))

    def receive(self, now_ms: float, sender: str, kind: str, body: Any) -> None:
        """Handle a message of another agent; MalformedMessageError or similar if it cannot be decoded."""
        if kind == RECORD_KIND:
            self.record.receive(now_ms, sender, body)
            return
        try:
            message = decode_message(sender, kind, body)
        except UnknownMessageError:
            self.actions.log_event("peer_message_unknown", sender=sender, kind=kind)
            return
        match message:
            case ReportRequest():
                self.on_report_request(now_ms, sender, message)
            case ReportResponse():
                self.on_report_response(now_ms, sender, message)
            case StepOrder():
                self.on_step_order(now_ms, sender, message)
            case ControlsUpdate():
                self.merge_controls(message.controls)
            case ForwardedRequest():
                self.tool_requests.on_forwarded_request(now_ms, sender, message)
            case ForwardedAnswer():
                self.tool_requests.on_forwarded_answer(sender, message)

    def is_current_leader(self, sender: str, term: int) -> bool:
        """Return whether `sender` leads, in `term`, and this agent has voted in no higher term."""
        return term == self.record.promised_term and sender in (self.name, self.record.leader)

    def on_report_request(self, now_ms: float, sender: str, message: ReportRequest) -> None:
        """Report to the leader; ignore a deposed leader, which learns of the higher term from the record."""
        if not self.is_current_leader(sender, message.term):
            return
        self.wait_reasons = dict(message.wait_reasons)
        self.merge_controls(message.controls)
        self.order_guard.note_report_sent(now_ms, message.number)
        report: Any = self.actions.report(self.unfinished_ids)
        response = ReportResponse(message.number, message.term, report, self.controls.encoded())
        if sender == self.name:
            self.on_report_response(now_ms, self.name, response)
        else:
            self.send(sender, response)

    def on_report_response(self, now_ms: float, sender: str, message: ReportResponse) -> None:
        """Pass a report that was requested in this term to the controller."""
        requested_at_ms = self.polls_sent_at_ms.pop(message.number, None)
        if self.controller is None or requested_at_ms is None or message.term != self.record.campaign_term:
            return
        self.merge_controls(message.controls)
        report: Any = message.report
        self.controller.receive_report(now_ms, sender, message.number, requested_at_ms, report)

    def on_step_order(self, now_ms: float, sender: str, order: StepOrder) -> None:
        """Carry out a step, or log why it was refused."""
        step = order.step
        is_current_leader = self.is_current_leader(sender, order.term)
        has_begun = step.id in self.actions.report({step.rollout_id})["locals"]
        refusal = self.order_guard.find_refusal(
            now_ms, sender, order, is_current_leader=is_current_leader, has_begun=has_begun
        )
        refusal = refusal or self.actions.begin_step(step)
        if refusal:
            self.actions.log_event("order_refused", span=step.rollout_id, instance=step.name, why=refusal)
            return
        self.actions.log_event(
            "order_accepted",
            span=step.rollout_id,
            instance=step.name,
            step=step.id,
            kind=step.kind,
            term=order.term,
            revision=order.revision,
            driver=sender,
        )

    # -- controls

    def merge_controls(self, received: dict[str, EncodedControls]) -> None:
        """Merge another agent's controls into this agent's, and store those that changed."""
        for rollout_id in self.controls.merge(received, self.unfinished_ids):
            self.save_controls(rollout_id)

    def save_controls(self, rollout_id: str) -> None:
        """Store the controls of one rollout; they are in effect even if the store fails."""
        try:
            self.actions.save_record(CONTROLS_KIND, rollout_id, self.controls.controls_of(rollout_id))
        except OSError as problem:  # other agents store the controls too
            self.actions.log_event("controls_not_stored", problem=str(problem))

    def share_controls(self, rollout_id: str) -> None:
        """Store the controls of one rollout, and send them to all members."""
        self.save_controls(rollout_id)
        update = ControlsUpdate({rollout_id: self.controls.controls_of(rollout_id)})
        for agent in self.record.body["members"]:
            if agent != self.name:
                self.send(agent, update)

    # -- tools

    def request(self, now_ms: float, request: dict[str, Any], reply: Callable[[EncodedReply], None]) -> None:
        """Answer a tool's request; `reply` is called once, within `tool_requests.REQUEST_TIMEOUT_MS`.

        Raise RefusedError for a request that is refused at once.
        """
        self.tool_requests.request(now_ms, request, reply)
