"""The controller of fleet rollouts, which runs on the agent that leads. No I/O; times in ms.

It compares what the record says with what the agents report, proposes the next record, and orders what is
committed. The rules are in `rollout_progress.py` (steps), `availability.py` (the minimum),
`member_changes.py` (members) and `step_dispatcher.py` (orders).

The minimum of available instances and the batch hold however late an order arrives, and no clock is trusted
for them. A rollout goes on as long as its minimum is proven by reports, and otherwise waits and says why.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from vetchford.fleet.agent_messages import RolloutRequest
from vetchford.fleet.availability import Availability
from vetchford.fleet.fleet_record import EncodedRecord, FleetRecord, FleetRollout, RolloutState
from vetchford.fleet.fleet_view import AgentReport, AgentView, FleetView
from vetchford.fleet.member_changes import (
    MemberAct,
    MemberChange,
    apply_member_change,
    check_admission,
    check_dismissal,
    list_voter,
)
from vetchford.fleet.rollout import RefusedError
from vetchford.fleet.rollout_controls import ABORT, RolloutControls
from vetchford.fleet.rollout_progress import RolloutProgress
from vetchford.fleet.rollout_request import RequestValidator, is_same_request
from vetchford.fleet.step_dispatcher import OrderActions, StepDispatcher

POLL_INTERVAL_MS = 250.0  # between two reports of one agent while a rollout runs
IDLE_POLL_INTERVAL_MS = 1000.0  # between them otherwise: tools select instances from them
MAX_ENDED_ROLLOUTS = 20  # in the record; the stores' histories have the older ones


class ControllerActions(OrderActions, Protocol):
    """What the controller acts through."""

    def poll(self, agent: str, number: int) -> None:
        """Asks for a report; `receive_report` brings it, or nothing does."""

    def propose(self, now_ms: float, body: EncodedRecord) -> bool:
        """Proposes the next record; `on_committed` tells when it is committed."""

    def find_voter_update(self, record: FleetRecord) -> tuple[str, str] | None:
        """A voter to list in a record, and its store's identity."""

    def note(self, event: str, **fields: Any) -> None:
        """A log event."""


@dataclass(frozen=True, slots=True)
class NewRollout:
    """A rollout that waits to be put into the record."""

    rollout: FleetRollout


class FleetRolloutController:
    """Drives the fleet's rollouts while this agent leads; made anew each time that it is elected.

    A new leader goes on from the committed record and the reports. What a former one held beside them is
    lost: rollouts not yet in the record, which the tool's agent submits again, the interval since the last
    start, and the reasons to wait.
    """

    def __init__(
        self, actions: ControllerActions, name: str, body: EncodedRecord, controls: RolloutControls
    ) -> None:
        """`body`: the committed record; `controls`: kept up to date by the owner."""
        self.actions = actions
        self.name = name
        self.controls = controls
        self.body = body  # committed
        self.record = FleetRecord.decode(body)
        self.dispatcher = StepDispatcher(actions)
        self.view = FleetView(self.record.members)
        self.wait_reasons: dict[str, str] = {}  # why a rollout does not go on; removed as it ends
        self.next_start_at_ms: dict[str, float] = {}  # by rollout; removed as it ends
        self.last_poll_number = 0
        self.is_proposing = False  # a proposal is not committed yet
        self.queue: list[NewRollout | MemberChange] = []  # removed as they are committed
        self.started_at_ms = 0.0

    # -- reports

    def tick(self, now_ms: float) -> None:
        """Called about ten times a second."""
        self.started_at_ms = self.started_at_ms or now_ms
        interval_ms = POLL_INTERVAL_MS if self.record.unfinished() else IDLE_POLL_INTERVAL_MS
        for agent in self.record.members:
            view = self.view.agent(agent)
            if now_ms - view.polled_at_ms >= interval_ms:
                view.polled_at_ms = now_ms
                self.last_poll_number += 1
                self.actions.poll(agent, self.last_poll_number)
        self.view.forget_all_but(self.record.members)
        self.reconcile(now_ms)

    def receive_report(
        self, now_ms: float, agent: str, number: int, requested_at_ms: float, report: AgentReport
    ) -> None:
        """A report; `requested_at_ms`: when it was asked for, by our own clock."""
        view = self.view.agents.get(agent)
        if view is not None and number > view.number:
            view.number = number
            view.requested_at_ms = requested_at_ms
            view.report = report
            self.reconcile(now_ms)

    # -- requests

    def request_rollout(self, now_ms: float, request: RolloutRequest) -> bool:
        """Checks and queues a rollout; whether it is committed already.

        RefusedError where it must not begin.
        """
        known = self.record.rollouts.get(request.id)
        if known is not None:
            if not is_same_request(request, known):
                raise RefusedError(f"id {request.id} is another change's ({known.kind})")
            return True
        if all(rollout.id != request.id for rollout in self.queued_rollouts()):
            self.queue.append(NewRollout(self.make_rollout(now_ms, request)))
            self.reconcile(now_ms)
        return False

    def make_rollout(self, now_ms: float, request: RolloutRequest) -> FleetRollout:
        """The rollout of a request, not queued; RefusedError where it must not begin."""
        return RequestValidator(self.committed_availability(now_ms), self.queued_rollouts()).make_rollout(
            request
        )

    def committed_availability(self, now_ms: float) -> Availability:
        """The committed record against the reports."""
        return Availability(now_ms, self.view, self.record)

    def queued_rollouts(self) -> list[FleetRollout]:
        """Rollouts that wait to be put into the record."""
        return [entry.rollout for entry in self.queue if isinstance(entry, NewRollout)]

    def is_member_change_queued(self, name: str) -> bool:
        """Whether an agent waits to be admitted or dismissed."""
        return any(isinstance(entry, MemberChange) and entry.name == name for entry in self.queue)

    def admit(self, name: str, by: str) -> None:
        """Queues a new member; RefusedError where it is one."""
        check_admission(self.record, name)
        self.queue.append(MemberChange(MemberAct.ADMIT, name, by))

    def dismiss(self, now_ms: float, name: str, by: str) -> None:
        """Queues the end of a membership; RefusedError where it must not end now."""
        seen_at_ms = max(self.view.agents.get(name, AgentView()).requested_at_ms, self.started_at_ms)
        check_dismissal(self.record, name, self.name, silence_ms=now_ms - seen_at_ms)
        self.queue.append(MemberChange(MemberAct.DISMISS, name, by))

    # -- the next record

    def on_committed(self, now_ms: float, body: EncodedRecord) -> None:
        """A proposal is committed."""
        self.body = body
        self.record = FleetRecord.decode(body)
        self.is_proposing = False
        self.reconcile(now_ms)

    def reconcile(self, now_ms: float) -> None:
        """Proposes what follows from the reports, or, where nothing does, orders what is committed."""
        if self.is_proposing:
            return
        proposal = FleetRecord.decode(self.body)
        taken = self.take_queued(proposal)
        for rollout in proposal.unfinished():
            self.advance(now_ms, proposal, rollout)
        drop_old_rollouts(proposal)
        self.update_one_voter(proposal)
        body = proposal.encode()
        if body != self.body:
            self.is_proposing = self.actions.propose(now_ms, body)
            if self.is_proposing:
                del self.queue[:taken]
            return
        del self.queue[:taken]
        self.dispatcher.give_orders(self.committed_availability(now_ms))

    def take_queued(self, proposal: FleetRecord) -> int:
        """Puts in what is queued, up to one change of the members; the number of entries."""
        for index, entry in enumerate(self.queue):
            if isinstance(entry, MemberChange):
                apply_member_change(proposal, entry)
                return index + 1
            rollout = entry.rollout
            proposal.rollouts[rollout.id] = rollout.copy()
            self.actions.note(
                "fleet_rollout_started", span=rollout.id, kind=rollout.kind, targets=len(rollout.steps)
            )
        return len(self.queue)

    def advance(self, now_ms: float, proposal: FleetRecord, rollout: FleetRollout) -> None:
        """One pass over one rollout."""
        control = self.controls.active(rollout.id)
        availability = Availability(now_ms, self.view, proposal)
        progress = RolloutProgress(availability, rollout, self.actions.note)
        progress.apply_control(control)
        progress.observe_steps()
        if rollout.state == RolloutState.RUNNING:
            started = progress.start_steps(self.next_start_at_ms.get(rollout.id, 0.0))
            self.wait_reasons[rollout.id] = started.wait_reason
            self.next_start_at_ms[rollout.id] = started.next_start_at_ms
        if progress.finish(aborted=control.kind == ABORT):
            self.next_start_at_ms.pop(rollout.id, None)
            self.wait_reasons.pop(rollout.id, None)

    def update_one_voter(self, proposal: FleetRecord) -> None:
        """Lists one voter whose store has changed, unless this round changes the voters already."""
        if proposal.voters != self.record.voters:
            return
        update = self.actions.find_voter_update(proposal)
        if update is not None:
            name, store = update
            list_voter(proposal, name, store)


def drop_old_rollouts(proposal: FleetRecord) -> None:
    """Drops the oldest rollouts that have ended."""
    ended = [id for id, rollout in proposal.rollouts.items() if rollout.is_ended()]
    for id in ended[: max(0, len(ended) - MAX_ENDED_ROLLOUTS)]:
        del proposal.rollouts[id]
