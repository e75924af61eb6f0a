"""The rules by which one fleet rollout moves on: one pass over its steps. No I/O; times in ms.

    pending -> in progress (its agent runs a local rollout over that one instance) -> done
                                                                                  +-> failed

A step is committed in the fleet's record before anything is done about it. So the next leader finds every
instance that may be out of service, and counts it as out, whether the order reached its agent or not.

| rule | function |
| --- | --- |
| pause, resume, abort | `apply_control` |
| what a resume tries again | `retry_failed_steps` |
| when a step has ended | `observe_step`, `end_step` |
| a committed step that may no longer begin | `withdraw_unordered_step` |
| what follows a failure | `fail_step`, `revert` |
| which steps begin now | `start_steps`, `startable`, `Availability.shortfall` |
| when the rollout has ended, and how | `finish`, `set_outcome` |
"""

from dataclasses import dataclass
from typing import Any, Protocol

from vetchford.fleet.availability import Availability
from vetchford.fleet.fleet_record import (
    CONTINUE_ON_FAILURE,
    PAUSE_ON_FAILURE,
    UNFINISHED_STEPS,
    FleetRollout,
    RolloutState,
    StepState,
    agent_of,
    split_instance_key,
)
from vetchford.fleet.fleet_view import AttemptResult, AttemptState, InstanceReport
from vetchford.fleet.instance import InstanceState
from vetchford.fleet.rollout_controls import ABORT, PAUSE, ActiveControl

# An instance in one of these states is being stopped already.
BUSY_STATES = frozenset((InstanceState.DRAINING, InstanceState.STOPPING))
STORED_LEADER = "driver"  # who gave a pause that the leader made itself; begins its id in the record


class Note(Protocol):
    """Writes a log event."""

    def __call__(self, event: str, **fields: Any) -> None:
        """`event` names it; the fields are its facts."""


@dataclass(frozen=True, slots=True)
class StartOutcome:
    """What `start_steps` leaves behind."""

    wait_reason: str  # why no more steps were started, as text for operators; empty where nothing holds it up
    next_start_at_ms: float  # no further step may start before


class RolloutProgress:
    """One pass over one rollout of a record that is about to be proposed; changes the rollout in place.

    Made for one pass, on the agent's thread.
    """

    def __init__(self, availability: Availability, rollout: FleetRollout, note: Note) -> None:
        """`availability`: by the record that `rollout` is part of, with all that this round has changed."""
        self.availability = availability
        self.rollout = rollout
        self.note = note
        self.now_ms = availability.now_ms
        self.view = availability.view

    # -- pause, resume and abort

    def apply_control(self, control: ActiveControl) -> None:
        """Pauses, resumes or aborts the rollout, as the strongest control that is known here says.

        An abort skips what has not begun, and lets end what has: an instance that is out of service is not
        left there.
        """
        rollout = self.rollout
        if control.kind == ABORT:
            self.skip_pending_steps()
            rollout.reason = control.reason
        elif control.kind and rollout.state == RolloutState.RUNNING:
            self.pause(control.reason)
        elif not control.kind and rollout.state == RolloutState.PAUSED:
            rollout.state = RolloutState.RUNNING
            rollout.reason = ""
            self.retry_failed_steps()

    def pause(self, reason: str) -> None:
        """Starts no more steps until a resume; steps in progress go on."""
        self.rollout.state = RolloutState.PAUSED
        self.rollout.reason = reason

    def skip_pending_steps(self) -> None:
        """Steps that have not begun never will."""
        for key, step in self.rollout.steps.items():
            if step == StepState.PENDING:
                self.rollout.steps[key] = StepState.SKIPPED

    def retry_failed_steps(self) -> None:
        """A resume tries the failed steps once more, but those of agents that are no members any more."""
        for key, step in self.rollout.steps.items():
            if step == StepState.FAILED and agent_of(key) in self.view.agents:
                self.rollout.steps[key] = StepState.PENDING

    # -- what became of the steps in progress

    def observe_steps(self) -> None:
        """Takes in what the agents report of the steps in progress; only fresh reports are read."""
        for key, step in list(self.rollout.steps.items()):
            if step == StepState.IN_PROGRESS and self.availability.is_fresh(agent_of(key)):
                self.observe_step(key)

    def observe_step(self, key: str) -> None:
        """Takes in what an agent reports of one step in progress."""
        rollout = self.rollout
        name, agent = split_instance_key(key)
        view = self.view.agents[agent]
        attempt_id = rollout.attempt_id(key)
        result = view.result(attempt_id)
        if result is None:
            was_ordered = attempt_id in view.ordered_at_ms
            if not was_ordered:
                self.withdraw_unordered_step(key)
            return
        if result.is_going_on():
            return
        if name in result.killed and key not in rollout.killed:
            rollout.killed = [*rollout.killed, key]
        view.ordered_at_ms.pop(attempt_id, None)
        self.end_step(key, result)

    def withdraw_unordered_step(self, key: str) -> None:
        """Makes a committed step pending again where the minimum no longer allows it.

        The step was committed, perhaps by an earlier leader, and not ordered in our term. Other instances may
        have failed since, so the minimum is checked anew. An order that an earlier leader sent does no harm:
        the agent, whose report we have, has voted in our term and refuses it.
        """
        if self.availability.shortfall(self.rollout, key):
            self.rollout.steps[key] = StepState.PENDING

    def end_step(self, key: str, result: AttemptResult) -> None:
        """Ends a step whose local rollout has ended, well or not.

        One that still went forward while the rollout began to revert has to revert now as the others do.
        """
        rollout = self.rollout
        if key in rollout.overtaken:
            rollout.overtaken = [other for other in rollout.overtaken if other != key]
            rollout.steps[key] = StepState.PENDING
        elif result.state == AttemptState.SUCCEEDED:
            rollout.steps[key] = StepState.DONE
        else:
            self.fail_step(key, result.reason)

    def fail_step(self, key: str, reason: str) -> None:
        """A step has failed: continues, pauses or reverts, as the rollout's `on_failure` says.

        `reason` is the agent's. A failure while the rollout reverts changes nothing more: there is no other
        direction left.
        """
        rollout = self.rollout
        text = f"{key}: {reason}"
        rollout.steps[key] = StepState.FAILED
        self.note("fleet_rollout_step_failed", span=rollout.id, instance=key, why=reason)
        if rollout.reverting or rollout.on_failure == CONTINUE_ON_FAILURE:
            return
        if rollout.on_failure == PAUSE_ON_FAILURE:
            self.record_pause(key, text)
            self.pause(text)
            return
        rollout.reason = text
        self.revert()

    def record_pause(self, key: str, reason: str) -> None:
        """Keeps the pause that a failed step makes in the record.

        Invariant: a pause outlives its leader. Were it kept beside the record, the next leader would take the
        rollout for resumed.
        """
        rollout = self.rollout
        pause_id = f"{STORED_LEADER}.{key}.{rollout.attempts[key]}"
        rollout.pauses = {**rollout.pauses, pause_id: [PAUSE, reason]}

    def revert(self) -> None:
        """Every instance that was touched goes back to what it was; the others are skipped.

        A step in progress is let end first, and reverts then (`end_step`).
        """
        rollout = self.rollout
        rollout.reverting = True
        rollout.overtaken = [key for key, step in rollout.steps.items() if step == StepState.IN_PROGRESS]
        for key, step in rollout.steps.items():
            if step == StepState.PENDING:
                rollout.steps[key] = StepState.SKIPPED
            elif step != StepState.IN_PROGRESS:
                rollout.steps[key] = StepState.PENDING

    # -- the next steps

    def start_steps(self, not_before_ms: float) -> StartOutcome:
        """Starts as many steps as batch, minimum and interval allow, in the order of `startable`.

        `not_before_ms`: no step may start earlier, as the last one started a short while ago. A busy instance
        is passed over; a minimum that is reached stops the round, as what follows serves, too.
        """
        rollout = self.rollout
        unseen = self.unseen_agents()
        wait_reason = f"not seen: {', '.join(unseen)}" if unseen else ""
        in_progress = sum(step == StepState.IN_PROGRESS for step in rollout.steps.values())
        for key, instance in self.startable(unseen):
            if in_progress >= rollout.batch or self.now_ms < not_before_ms:
                break
            if is_busy(instance):
                wait_reason = wait_reason or describe_busy(key, instance)
                continue
            shortfall = self.availability.shortfall(rollout, key, taken=1)
            if shortfall:
                wait_reason = join_reasons(shortfall, wait_reason)
                break
            rollout.steps[key] = StepState.IN_PROGRESS
            rollout.attempts[key] += 1
            in_progress += 1
            if rollout.start_interval_ms:
                not_before_ms = self.now_ms + rollout.start_interval_ms
        return StartOutcome(wait_reason, not_before_ms)

    def unseen_agents(self) -> list[str]:
        """Agents with unfinished steps and without a fresh report, sorted."""
        agents = {agent_of(key) for key, step in self.rollout.steps.items() if step in UNFINISHED_STEPS}
        return sorted(agent for agent in agents if not self.availability.is_fresh(agent))

    def startable(self, unseen: list[str]) -> list[tuple[str, InstanceReport]]:
        """Pending steps whose instance is seen, in the order in which they are to start.

        First those that do not serve: they cost no capacity, and may be what keeps the minimum from being
        proven. Otherwise in the order of the request.
        """
        seen = []
        for key, step in self.rollout.steps.items():
            if step != StepState.PENDING or agent_of(key) in unseen:
                continue
            instance = self.view.instance(key)
            if instance is not None:
                seen.append((key, instance))
        return sorted(seen, key=lambda pair: pair[1]["state"] == InstanceState.SERVING)

    # -- the end

    def finish(self, aborted: bool) -> bool:
        """Ends the rollout once no step is left; whether it ended.

        One that a failed step has paused does not: an operator has to say whether that is tried again.
        """
        rollout = self.rollout
        if any(step in UNFINISHED_STEPS for step in rollout.steps.values()):
            return False
        failed = [key for key, step in rollout.steps.items() if step == StepState.FAILED]
        if rollout.state == RolloutState.PAUSED and failed and not aborted:
            return False
        self.set_outcome(aborted, failed)
        self.note(
            "fleet_rollout_ended", span=rollout.id, state=rollout.state.name.lower(), why=rollout.reason
        )
        return True

    def set_outcome(self, aborted: bool, failed: list[str]) -> None:
        """The state in which the rollout ends, and its reason; an abort keeps the operator's."""
        rollout = self.rollout
        if aborted:
            rollout.state = RolloutState.ABORTED
        elif rollout.reverting:
            rollout.state = RolloutState.FAILED
            rollout.reason = f"gone back: {rollout.reason}"
        elif failed:
            rollout.state = RolloutState.FAILED
            rollout.reason = f"lost: {', '.join(failed)}"
        else:
            rollout.state = RolloutState.SUCCEEDED
            rollout.reason = "all done"


def is_busy(instance: InstanceReport) -> bool:
    """Whether an instance can't be taken just now: stopping, not checked yet, or in a local rollout."""
    return instance["state"] in BUSY_STATES or instance["unseen"] or bool(instance["change"])


def describe_busy(key: str, instance: InstanceReport) -> str:
    """Why an instance can't be taken just now, as text for operators."""
    change = f", in change {instance['change']}" if instance["change"] else ""
    return f"{key} is {instance['state']}{change}"


def join_reasons(first: str, second: str) -> str:
    """Two reasons to wait as one text; `second` may be empty."""
    return f"{first}; {second}" if second else first
