"""The controller of fleet rollouts, which runs on the agent that leads. No I/O; times in ms.

It compares what the record says with what the agents report, proposes the next record, and orders what is
committed (`rollout_progress.py` has the rules). The minimum of available instances and the batch hold however
late an order arrives, and no clock is trusted for them. A rollout goes on as long as its minimum is proven by
reports, and otherwise waits and says why.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from vetchford.fleet.availability import Availability
from vetchford.fleet.coordinator_messages import Step
from vetchford.fleet.fleet_record import (
    UNFINISHED_STEPS,
    EncodedRecord,
    FleetRecord,
    FleetRollout,
    RolloutState,
    StepState,
    agent_of,
    split_instance_key,
)
from vetchford.fleet.fleet_view import NEVER, AgentReport, AgentView, AttemptState, FleetView
from vetchford.fleet.rollout import RefusedError
from vetchford.fleet.rollout_controls import ABORT, RolloutControls
from vetchford.fleet.rollout_progress import RolloutProgress
from vetchford.fleet.rollout_request import RequestValidator, RolloutRequest

POLL_INTERVAL_MS = 250.0  # ms between two reports of one agent while a rollout runs
IDLE_POLL_INTERVAL_MS = 1000.0  # ms between them otherwise: tools select instances from them
ORDER_RETRY_INTERVAL_MS = 500.0  # ms until an order that shows no effect is given once more
DISMISSAL_SILENCE_MS = 5000.0  # ms unseen until an agent with steps in progress may be dismissed; longer than
# `coordinator.MAX_ORDER_AGE`, so that it carries out nothing after that
MAX_ENDED_ROLLOUTS = 20  # in the record; the stores' histories have the older ones
MAX_LOG_ENTRIES = 50  # changes of the members in the record


class ControllerActions(Protocol):
    """What the controller acts through."""

    def poll(self, agent: str, number: int) -> None:
        """Asks for a report; `receive_report` brings it, or nothing does."""

    def order(self, agent: str, number: int, step: Step) -> None:
        """Has an agent carry out a committed step; `number`: the report that the order rests on."""

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


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member that waits to be admitted or dismissed, and by whom."""

    act: str  # "admit" or "dismiss"
    name: str
    by: str


class FleetRolloutController:
    """Made anew each time that this agent is elected; has no state that the record and reports have not."""

    def __init__(
        self, actions: ControllerActions, name: str, body: EncodedRecord, controls: RolloutControls
    ) -> None:
        """`body`: the committed record; `controls`: kept up to date by the owner."""
        self.actions, self.name, self.controls = actions, name, controls
        self.body, self.record = body, FleetRecord.decode(body)  # committed
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
            if now_ms - view.polled_at >= interval_ms:
                view.polled_at = now_ms
                self.last_poll_number += 1
                self.actions.poll(agent, self.last_poll_number)
        self.view.forget_all_but(self.record.members)
        self.reconcile(now_ms)

    def receive_report(
        self, now_ms: float, agent: str, number: int, requested_at: float, report: AgentReport
    ) -> None:
        """A report; `requested_at`: when it was asked for, by our own clock."""
        view = self.view.agents.get(agent)
        if view is not None and number > view.number:
            view.number, view.requested_at, view.report = number, requested_at, report
            self.reconcile(now_ms)

    # -- requests

    def request_rollout(self, now_ms: float, request: RolloutRequest) -> bool:
        """Checks and queues a rollout; whether it is committed already.

        RefusedError where it must not begin.
        """
        known = self.record.rollouts.get(request.id)
        if known is not None:
            if not request.is_for(known):
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
        if name in self.record.members:
            raise RefusedError(f"{name} is a member already")
        self.queue.append(MemberChange("admit", name, by))

    def dismiss(self, now_ms: float, name: str, by: str) -> None:
        """Queues the end of a membership; RefusedError where it must not end now."""
        if name not in self.record.members:
            raise RefusedError(f"{name} is no member")
        if name == self.name:
            raise RefusedError(f"{name} drives: ask once another does (stop its agent first)")
        seen_at_ms = max(self.view.agents.get(name, AgentView()).requested_at, self.started_at_ms)
        if self.has_steps_in_progress(name) and now_ms - seen_at_ms < DISMISSAL_SILENCE_MS:
            raise RefusedError(f"{name} is seen and has instances out: let them come back, or stop its agent")
        self.queue.append(MemberChange("dismiss", name, by))

    def has_steps_in_progress(self, agent: str) -> bool:
        """Whether instances of an agent may be out of service."""
        return any(
            step == StepState.IN_PROGRESS and agent_of(key) == agent
            for rollout in self.record.unfinished()
            for key, step in rollout.steps.items()
        )

    # -- the next record

    def on_committed(self, now_ms: float, body: EncodedRecord) -> None:
        """A proposal is committed."""
        self.body, self.record, self.is_proposing = body, FleetRecord.decode(body), False
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
        self.give_orders(now_ms)

    def take_queued(self, proposal: FleetRecord) -> int:
        """Puts in what is queued, up to one change of the members; the number of entries."""
        for index, entry in enumerate(self.queue):
            if isinstance(entry, MemberChange):
                change_members(proposal, entry)
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
            proposal.voters = {**proposal.voters, name: store}
            add_log_entry(proposal, "voter", name, "its store holds the newest record")

    # -- orders

    def give_orders(self, now_ms: float) -> None:
        """Orders the committed steps, also those of an earlier leader."""
        for rollout in self.record.unfinished():
            for key, step in rollout.steps.items():
                if step == StepState.IN_PROGRESS and self.view.is_fresh(now_ms, agent_of(key)):
                    self.order_step(now_ms, rollout, key)

    def order_step(self, now_ms: float, rollout: FleetRollout, key: str) -> None:
        """Orders one step, unless its agent has begun it or was told a moment ago."""
        name, agent = split_instance_key(key)
        view, attempt_id = self.view.agents[agent], rollout.attempt_id(key)
        result = view.result(attempt_id)
        if result is None and self.committed_availability(now_ms).shortfall(rollout, key):
            return  # other instances have gone since the step was committed
        if result is not None and result.state != AttemptState.PAUSED:
            return
        if now_ms - view.ordered_at.get(attempt_id, NEVER) < ORDER_RETRY_INTERVAL_MS:
            return
        view.ordered_at[attempt_id] = now_ms
        step = Step(
            id=attempt_id,
            rollout_id=rollout.id,
            kind=rollout.step_kind(key),
            name=name,
            minimum_ready_ms=rollout.minimum_ready_ms,
            version=rollout.step_version(key),
        )
        self.actions.order(agent, view.number, step)


def change_members(proposal: FleetRecord, change: MemberChange) -> None:
    """Admits or dismisses one agent; unfinished steps of one that is dismissed have failed."""
    name = change.name
    if change.act == "admit":
        proposal.members = {**proposal.members, name: len(proposal.log) + 1}
    else:
        proposal.members = {key: place for key, place in proposal.members.items() if key != name}
        proposal.voters = {key: store for key, store in proposal.voters.items() if key != name}
        for rollout in proposal.unfinished():
            for key, step in rollout.steps.items():
                if agent_of(key) == name and step in UNFINISHED_STEPS:
                    rollout.steps[key] = StepState.FAILED
    add_log_entry(proposal, change.act, name, change.by)


def add_log_entry(proposal: FleetRecord, act: str, name: str, by: str) -> None:
    """Notes a change of members or voters; the oldest entries go."""
    proposal.log = [*proposal.log, [act, name, by]][-MAX_LOG_ENTRIES:]


def drop_old_rollouts(proposal: FleetRecord) -> None:
    """Drops the oldest rollouts that have ended."""
    ended = [id for id, rollout in proposal.rollouts.items() if rollout.is_ended()]
    for id in ended[: max(0, len(ended) - MAX_ENDED_ROLLOUTS)]:
        del proposal.rollouts[id]
