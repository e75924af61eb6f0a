"""Controller of fleet rollouts; it runs on the agent that leads. No I/O; times in ms.

The controller compares the record with the agents' reports, proposes the next record, and orders the agents
to carry out committed steps. The rules are in `fleet_rollout_pass.py` (steps), `availability.py` (the
minimum), `member_changes.py` (members) and `step_dispatcher.py` (orders).

The minimum of available instances and the batch limit hold however late an order arrives, and do not depend
on clocks. A rollout continues while reports prove that its minimum is kept, and otherwise waits and gives the
reason.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from vetchford.fleet.agent_messages import RolloutRequest
from vetchford.fleet.availability import Availability
from vetchford.fleet.fleet_record import EncodedRecord, FleetRecord, FleetRollout, RolloutState
from vetchford.fleet.fleet_rollout_pass import RolloutPass
from vetchford.fleet.fleet_rollout_validation import RequestValidator, is_same_request
from vetchford.fleet.fleet_view import AgentReport, AgentView, FleetView
from vetchford.fleet.member_changes import (
    MemberAction,
    MemberChange,
    apply_member_change,
    check_admission,
    check_dismissal,
    list_voter,
)
from vetchford.fleet.rollout import RefusedError
from vetchford.fleet.rollout_controls import ABORT, RolloutControls
from vetchford.fleet.step_dispatcher import OrderActions, StepDispatcher

POLL_INTERVAL_MS = 250.0  # between two reports of one agent while a rollout is unfinished
IDLE_POLL_INTERVAL_MS = 1000.0  # otherwise; tools select instances by these reports
MAX_ENDED_ROLLOUTS = 20  # kept in the record; the histories in the agents' stores have the older ones


class ControllerActions(OrderActions, Protocol):
    """Operations that the controller calls."""

    def poll(self, agent: str, number: int) -> None:
        """Request a report; it arrives by `receive_report`, or not at all."""

    def propose(self, now_ms: float, body: EncodedRecord) -> bool:
        """Propose the next record; `on_committed` is called once the record is committed."""

    def find_voter_update(self, record: FleetRecord) -> tuple[str, str] | None:
        """Return a voter whose entry in the record is to be updated, and its store's identity."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Write a log event."""


@dataclass(frozen=True, slots=True)
class QueuedRollout:
    """A rollout that waits to be added to the record."""

    rollout: FleetRollout


class FleetRolloutController:
    """Advances the fleet's rollouts while this agent leads; created anew each time that it is elected.

    A new leader continues from the committed record and the reports. State that the former leader had outside
    the record is lost: queued rollouts, which the tool's agent submits again, the time of the next permitted
    start, and the reasons why rollouts wait.
    """

    def __init__(
        self, actions: ControllerActions, name: str, body: EncodedRecord, controls: RolloutControls
    ) -> None:
        """Start from the committed record `body`; the owner keeps `controls` up to date."""
        self.actions = actions
        self.name = name
        self.controls = controls
        self.body = body  # committed
        self.record = FleetRecord.decode(body)
        self.dispatcher = StepDispatcher(actions)
        self.view = FleetView(self.record.members)
        self.wait_reasons: dict[str, str] = {}  # why rollouts do not continue, by id; removed as they end
        self.next_start_at_ms: dict[str, float] = {}  # by rollout id; removed as rollouts end
        self.last_poll_number = 0
        self.is_proposing = False  # whether a proposal is not committed yet
        self.queue: list[QueuedRollout | MemberChange] = []  # entries are removed once proposed
        self.started_at_ms = 0.0

    # -- reports

    def tick(self, now_ms: float) -> None:
        """Poll the agents and advance the rollouts; called about 20 times a second."""
        self.started_at_ms = self.started_at_ms or now_ms
        interval_ms = POLL_INTERVAL_MS if self.record.unfinished() else IDLE_POLL_INTERVAL_MS
        for agent in self.record.members:
            view = self.view.agent(agent)
            if now_ms - view.polled_at_ms >= interval_ms:
                view.polled_at_ms = now_ms
                self.last_poll_number += 1
                self.actions.poll(agent, self.last_poll_number)
        self.view.discard_all_except(self.record.members)
        self.reconcile(now_ms)

    def receive_report(
        self, now_ms: float, agent: str, number: int, requested_at_ms: float, report: AgentReport
    ) -> None:
        """Take in a report if it is the newest; `requested_at_ms`: time of its request, by our own clock."""
        view = self.view.agents.get(agent)
        if view is not None and number > view.number:
            view.number = number
            view.requested_at_ms = requested_at_ms
            view.report = report
            self.reconcile(now_ms)

    # -- requests

    def request_rollout(self, now_ms: float, request: RolloutRequest) -> bool:
        """Check and queue a rollout; return whether it is committed already.

        Raise RefusedError if the rollout must not begin.
        """
        known = self.record.rollouts.get(request.id)
        if known is not None:
            if not is_same_request(request, known):
                raise RefusedError(
                    f"id {request.id} is already used by another change "
                    f"({known.kind} of {len(known.steps)} instances)"
                )
            return True
        if all(rollout.id != request.id for rollout in self.queued_rollouts()):
            self.queue.append(QueuedRollout(self.make_rollout(now_ms, request)))
            self.reconcile(now_ms)
        return False

    def make_rollout(self, now_ms: float, request: RolloutRequest) -> FleetRollout:
        """Return the rollout of a request without queuing it; RefusedError if it must not begin."""
        return RequestValidator(self.committed_availability(now_ms), self.queued_rollouts()).make_rollout(
            request
        )

    def committed_availability(self, now_ms: float) -> Availability:
        """Return the availability of instances by the committed record and the reports."""
        return Availability(now_ms, self.view, self.record)

    def queued_rollouts(self) -> list[FleetRollout]:
        """Return the rollouts that wait to be added to the record."""
        return [entry.rollout for entry in self.queue if isinstance(entry, QueuedRollout)]

    def is_member_change_queued(self, name: str) -> bool:
        """Return whether an agent's admission or dismissal is queued."""
        return any(isinstance(entry, MemberChange) and entry.name == name for entry in self.queue)

    def admit(self, name: str, operator: str) -> None:
        """Queue the admission of an agent; RefusedError if the agent is a member already."""
        check_admission(self.record, name)
        self.queue.append(MemberChange(MemberAction.ADMIT, name, operator))

    def dismiss(self, now_ms: float, name: str, operator: str) -> None:
        """Queue the dismissal of an agent; RefusedError if the agent must not be dismissed now."""
        last_report_at_ms = max(self.view.agents.get(name, AgentView()).requested_at_ms, self.started_at_ms)
        check_dismissal(self.record, name, self.name, silence_ms=now_ms - last_report_at_ms)
        self.queue.append(MemberChange(MemberAction.DISMISS, name, operator))

    # -- the next record

    def on_committed(self, now_ms: float, body: EncodedRecord) -> None:
        """Continue from the record that was committed."""
        self.body = body
        self.record = FleetRecord.decode(body)
        self.is_proposing = False
        self.reconcile(now_ms)

    def reconcile(self, now_ms: float) -> None:
        """Propose the changes that follow from the reports or, if there are none, order committed steps."""
        if self.is_proposing:
            return
        proposal = FleetRecord.decode(self.body)
        applied_count = self.apply_queued(proposal)
        for rollout in proposal.unfinished():
            self.advance(now_ms, proposal, rollout)
        drop_old_rollouts(proposal)
        self.update_one_voter(proposal)
        body = proposal.encode()
        if body != self.body:
            self.is_proposing = self.actions.propose(now_ms, body)
            if self.is_proposing:
                del self.queue[:applied_count]
            return
        del self.queue[:applied_count]
        self.dispatcher.order_committed_steps(self.committed_availability(now_ms), self.aborted_rollouts())

    def aborted_rollouts(self) -> set[str]:
        """Return the ids of the unfinished rollouts that were aborted, as far as this agent knows."""
        ids = [rollout.id for rollout in self.record.unfinished()]
        return {id for id in ids if self.controls.active_control(id).kind == ABORT}

    def apply_queued(self, proposal: FleetRecord) -> int:
        """Add queued entries to a proposal, up to the first member change; return the number of entries."""
        for index, entry in enumerate(self.queue):
            if isinstance(entry, MemberChange):
                apply_member_change(proposal, entry)
                return index + 1
            rollout = entry.rollout
            proposal.rollouts[rollout.id] = rollout.copy()
            self.actions.log_event(
                "fleet_rollout_started", span=rollout.id, kind=rollout.kind, targets=len(rollout.steps)
            )
        return len(self.queue)

    def advance(self, now_ms: float, proposal: FleetRecord, rollout: FleetRollout) -> None:
        """Make one pass over one rollout."""
        control = self.controls.active_control(rollout.id)
        availability = Availability(now_ms, self.view, proposal)
        rollout_pass = RolloutPass(availability, rollout, self.actions.log_event)
        rollout_pass.apply_control(control)
        rollout_pass.observe_steps()
        if rollout.state == RolloutState.RUNNING:
            outcome = rollout_pass.start_steps(self.next_start_at_ms.get(rollout.id, 0.0))
            self.wait_reasons[rollout.id] = outcome.wait_reason
            self.next_start_at_ms[rollout.id] = outcome.next_start_at_ms
        if rollout_pass.finish(aborted=control.kind == ABORT):
            self.next_start_at_ms.pop(rollout.id, None)
            self.wait_reasons.pop(rollout.id, None)

    def update_one_voter(self, proposal: FleetRecord) -> None:
        """Update the entry of one voter, unless this proposal changes the voters already."""
        if proposal.voters != self.record.voters:
            return
        update = self.actions.find_voter_update(proposal)
        if update is not None:
            name, store = update
            list_voter(proposal, name, store)


def drop_old_rollouts(proposal: FleetRecord) -> None:
    """Drop the oldest rollouts that have ended, beyond `MAX_ENDED_ROLLOUTS`."""
    ended = [id for id, rollout in proposal.rollouts.items() if rollout.is_ended()]
    for id in ended[: max(0, len(ended) - MAX_ENDED_ROLLOUTS)]:
        del proposal.rollouts[id]
