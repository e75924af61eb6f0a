"""One agent's part in its fleet: it has the record, obeys committed orders, and leads where it is elected.

Connects `consensus`, `fleet_rollout`, `rollout_controls`, `order_guard` and `tool_requests`. No I/O; times in
ms, monotonic. The agent's thread alone calls it. Messages of other agents are taken as they come: late,
doubled, or from one that no longer leads; `order_guard` decides which orders are carried out.

It is longer than most modules because it only connects: it implements the actions of the record and of the
controller, and hands each message and each tick to the part that decides.
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

STOPPED_AFTER_MS = 1500.0  # between two ticks, after which this process was stopped, not busy

RECORD_NAME = "newest"  # under which the store has the record
CONTROLS_KIND = "orders"  # of the store's records of controls


class CoordinatorActions(Protocol):
    """What the coordinator acts through."""

    def post(self, to: str, kind: str, body: dict[str, Any]) -> bool:
        """Sends a message to another agent; False where it is known not to go."""

    def keep(self, kind: str, name: str, body: Any) -> None:
        """Stores a record, or drops it for None; durable before it returns. OSError where the store fails."""

    def report(self, rollouts: set[str]) -> AgentReport:
        """This agent's instances, the local rollouts made for `rollouts`, and the versions that it knows."""

    def begin_step(self, step: Step) -> str:
        """Starts a local rollout over one instance; empty, or why not. The same id again is the same one."""

    def note(self, event: str, **fields: Any) -> None:
        """A log event."""


class FleetCoordinator:
    """The decisions of one agent about its fleet; acts for the record and for the controller."""

    def __init__(
        self,
        actions: CoordinatorActions,
        name: str,
        seed: int,
        store: str,
        founding: EncodedRecord,
        now_ms: float,
        incarnation: int,
    ) -> None:
        """`store`: the identity of the agent's store; `incarnation`: counts its starts."""
        self.actions = actions
        self.name = name
        self.incarnation = incarnation
        self.record = ReplicatedRecord(self, name, seed, store, founding, now_ms)
        self.controls = RolloutControls(name)
        self.controller: FleetRolloutController | None = None  # while this agent leads
        self.tool_requests = ToolRequests(self)
        self.order_guard = OrderGuard(name, self.record, self.controls)
        self.polls_sent_at_ms: dict[int, float] = {}  # by number; removed as they are answered or grow old
        self.wait_reasons: dict[str, str] = {}  # of rollouts, as the leader told last
        self.unfinished: set[str] = set()  # rollouts of the record that have not ended
        self.last_tick_at_ms = now_ms

    def restore(self, kind: str, name: str, body: Any) -> None:
        """One stored record, at the start of the agent."""
        if kind == RECORD_KIND:
            self.record.restore(body)
            self.learn_from_record()
        elif kind == CONTROLS_KIND:
            self.controls.by_rollout[name] = body

    # -- time

    def tick(self, now_ms: float) -> None:
        """Called about ten times a second."""
        gap_ms = now_ms - self.last_tick_at_ms
        self.last_tick_at_ms = now_ms
        if gap_ms > STOPPED_AFTER_MS:
            self.actions.note("process_stalled", ms=round(gap_ms))
            self.record.on_process_stopped(now_ms, gap_ms)
        self.record.tick(now_ms)
        if self.controller is not None:
            self.controller.tick(now_ms)
        self.forget_old_polls(now_ms)
        self.tool_requests.tick(now_ms)

    def forget_old_polls(self, now_ms: float) -> None:
        """Drops the polls whose report would be too old for an order to rest on it."""
        old = [
            number
            for number, sent_at_ms in self.polls_sent_at_ms.items()
            if now_ms - sent_at_ms > MAX_ORDER_AGE_MS
        ]
        for number in old:
            del self.polls_sent_at_ms[number]

    # -- actions of the replicated record

    def send_to_record(self, to: str, message: EncodedMessage) -> None:
        """Sends a message to the record of another agent."""
        self.actions.post(to, RECORD_KIND, message)

    def save_record(self, stored: dict[str, Any]) -> None:
        """Stores the record; OSError where the store fails."""
        self.actions.keep(RECORD_KIND, RECORD_NAME, stored)

    def on_elected(self, now_ms: float) -> None:
        """This agent leads from now on."""
        self.controller = FleetRolloutController(self, self.name, self.record.body, self.controls)
        self.controller.tick(now_ms)

    def on_committed(self, now_ms: float) -> None:
        """Learns first: a pause that stands in the record is a control from now on."""
        self.learn_from_record()
        if self.controller is not None:
            self.controller.on_committed(now_ms, self.record.body)

    def on_deposed(self, now_ms: float, why: str) -> None:
        """This agent no longer leads."""
        self.controller = None
        self.polls_sent_at_ms.clear()

    def on_appended(self, now_ms: float) -> None:
        """The record may be a newer one."""
        self.learn_from_record()

    def learn_from_record(self) -> None:
        """Takes in which rollouts there are and the pauses that stand in them."""
        rollouts = FleetRecord.decode(self.record.body).rollouts
        self.unfinished = {id for id, rollout in rollouts.items() if not rollout.is_ended()}
        for id in self.unfinished:
            if rollouts[id].pauses:
                recorded: EncodedControls = {"halts": rollouts[id].pauses, "lifted": []}
                self.controls.merge({id: recorded}, self.unfinished)
        for id in self.controls.forget_all_but(self.unfinished):
            self.wait_reasons.pop(id, None)
            with contextlib.suppress(OSError):  # it stays on the disk, of a rollout that has ended
                self.actions.keep(CONTROLS_KIND, id, None)

    def note(self, event: str, **fields: Any) -> None:
        """A log event of the record or the controller."""
        self.actions.note(event, **fields)

    # -- actions of the controller

    def poll(self, agent: str, number: int) -> None:
        """Asks a member, perhaps this agent, for a report."""
        if self.controller is None:
            return  # deposed by what an earlier answer of this round led to
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
        """Orders a member, perhaps this agent, to carry out a committed step."""
        if self.controller is None:
            return
        order = StepOrder(number, self.record.campaign_term, self.record.committed[1], step)
        if agent == self.name:
            self.on_step_order(self.last_tick_at_ms, self.name, order)
        else:
            self.send(agent, order)

    def propose(self, now_ms: float, body: EncodedRecord) -> bool:
        """Proposes the next record."""
        return self.record.propose(now_ms, body)

    def find_voter_update(self, record: FleetRecord) -> tuple[str, str] | None:
        """A voter to list in a record, and its store's identity."""
        return self.record.find_voter_update(record.voters, record.members)

    # -- messages of other agents

    def send(self, to: str, message: CoordinatorMessage) -> None:
        """Sends a message to the coordinator of another agent; it may be lost."""
        self.actions.post(to, message.KIND, encode_message(message))

    def receive(self, now_ms: float, sender: str, kind: str, body: Any) -> None:
        """A message of another agent; MalformedMessageError and its like where it can't be read."""
        if kind == RECORD_KIND:
            self.record.receive(now_ms, sender, body)
            return
        try:
            message = decode_message(sender, kind, body)
        except UnknownMessageError:
            self.actions.note("peer_message_unknown", sender=sender, kind=kind)
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
        """Whether it leads in the highest term that this agent has voted in."""
        return term == self.record.promised_term and sender in (self.name, self.record.leader)

    def on_report_request(self, now_ms: float, sender: str, message: ReportRequest) -> None:
        """Reports to the leader; one that was deposed learns so from the record's messages."""
        if not self.is_current_leader(sender, message.term):
            return
        self.wait_reasons = dict(message.wait_reasons)
        self.merge_controls(message.controls)
        self.order_guard.note_report_sent(now_ms, message.number)
        report: Any = self.actions.report(self.unfinished)
        response = ReportResponse(message.number, message.term, report, self.controls.encoded())
        if sender == self.name:
            self.on_report_response(now_ms, self.name, response)
        else:
            self.send(sender, response)

    def on_report_response(self, now_ms: float, sender: str, message: ReportResponse) -> None:
        """A report that was asked for in this term."""
        requested_at_ms = self.polls_sent_at_ms.pop(message.number, None)
        if self.controller is None or requested_at_ms is None or message.term != self.record.campaign_term:
            return
        self.merge_controls(message.controls)
        report: Any = message.report
        self.controller.receive_report(now_ms, sender, message.number, requested_at_ms, report)

    def on_step_order(self, now_ms: float, sender: str, order: StepOrder) -> None:
        """Carries out a step, or logs why not."""
        step = order.step
        is_current_leader = self.is_current_leader(sender, order.term)
        refusal = self.order_guard.find_refusal(now_ms, sender, order, is_current_leader=is_current_leader)
        refusal = refusal or self.actions.begin_step(step)
        if refusal:
            self.actions.note("order_refused", span=step.rollout_id, instance=step.name, why=refusal)
            return
        self.actions.note(
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

    def merge_controls(self, theirs: dict[str, EncodedControls]) -> None:
        """Takes in another agent's controls, and stores what is new."""
        for rollout_id in self.controls.merge(theirs, self.unfinished):
            self.save_controls(rollout_id)

    def save_controls(self, rollout_id: str) -> None:
        """Stores the controls of one rollout; they are obeyed also where the store fails."""
        try:
            self.actions.keep(CONTROLS_KIND, rollout_id, self.controls.of(rollout_id))
        except OSError as problem:  # other agents keep it too
            self.actions.note("controls_not_stored", problem=str(problem))

    def share_controls(self, rollout_id: str) -> None:
        """Stores the controls of one rollout, and sends them to all members."""
        self.save_controls(rollout_id)
        update = ControlsUpdate({rollout_id: self.controls.of(rollout_id)})
        for agent in self.record.body["members"]:
            if agent != self.name:
                self.send(agent, update)

    # -- tools

    def request(self, now_ms: float, request: dict[str, Any], reply: Callable[[EncodedReply], None]) -> None:
        """A tool's request; `reply` is called once, now or within `tool_requests.REQUEST_TIMEOUT_MS`.

        RefusedError for one that is refused at once.
        """
        self.tool_requests.request(now_ms, request, reply)
