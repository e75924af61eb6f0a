"""How one fleet rollout moves on by what is seen: one pass over its steps. No I/O; times in ms.

    pending -> in progress (its agent runs a local rollout over that one instance) -> done
                                                                                  +-> failed

A step is committed in the fleet's record before anything is done about it. So the next leader finds every
instance that may be out of service, and counts it as out, whether the order reached its agent or not.
"""

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


class Note(Protocol):
    """Writes a log event."""

    def __call__(self, event: str, **fields: Any) -> None:
        """`event` names it; the fields are its facts."""


class RolloutProgress:
    """One pass over one rollout of a record that is about to be proposed; changes the rollout in place."""

    def __init__(self, availability: Availability, rollout: FleetRollout, note: Note) -> None:
        """`availability`: by the record that `rollout` is part of, with all that this round has changed."""
        self.availability, self.rollout, self.note = availability, rollout, note
        self.now, self.view = availability.now, availability.view

    # -- what operators said

    def apply_control(self, control: ActiveControl) -> None:
        """Pauses, resumes or winds up the rollout."""
        rollout = self.rollout
        if control.kind == ABORT:
            for key, step in rollout.steps.items():
                if step == StepState.PENDING:
                    rollout.steps[key] = StepState.SKIPPED
            rollout.reason = control.reason
        elif control.kind and rollout.state == RolloutState.RUNNING:
            rollout.state, rollout.reason = RolloutState.PAUSED, control.reason
        elif not control.kind and rollout.state == RolloutState.PAUSED:
            rollout.state, rollout.reason = RolloutState.RUNNING, ""
            self.retry_failed_steps()

    def retry_failed_steps(self) -> None:
        """A resume tries the failed steps once more."""
        for key, step in self.rollout.steps.items():
            if step == StepState.FAILED and agent_of(key) in self.view.agents:
                self.rollout.steps[key] = StepState.PENDING

    # -- what became of the steps in progress

    def observe_steps(self) -> None:
        """Takes in the agents' reports."""
        for key, step in list(self.rollout.steps.items()):
            if step == StepState.IN_PROGRESS and self.availability.is_fresh(agent_of(key)):
                self.observe_step(key)

    def observe_step(self, key: str) -> None:
        """Takes in what an agent reports of one step in progress."""
        rollout = self.rollout
        name, agent = split_instance_key(key)
        view, attempt_id = self.view.agents[agent], rollout.attempt_id(key)
        result = view.result(attempt_id)
        if result is None:
            if attempt_id not in view.ordered_at and self.availability.shortfall(rollout, key):
                # Committed, and not ordered in our term: other instances have gone since, so the minimum is
                # checked anew. What an earlier leader ordered is refused, as the agent has voted for us.
                rollout.steps[key] = StepState.PENDING
            return
        if result.is_going_on():
            return
        if name in result.killed and key not in rollout.killed:
            rollout.killed = [*rollout.killed, key]
        view.ordered_at.pop(attempt_id, None)
        self.end_step(key, result)

    def end_step(self, key: str, result: AttemptResult) -> None:
        """The local rollout of one step has ended."""
        rollout = self.rollout
        if key in rollout.overtaken:  # it went forward while the others were already told to revert
            rollout.overtaken = [other for other in rollout.overtaken if other != key]
            rollout.steps[key] = StepState.PENDING
        elif result.state == AttemptState.SUCCEEDED:
            rollout.steps[key] = StepState.DONE
        else:
            self.fail_step(key, result.reason)

    def fail_step(self, key: str, reason: str) -> None:
        """Continues, pauses or reverts, as the rollout's `on_failure` says."""
        rollout, text = self.rollout, f"{key}: {reason}"
        rollout.steps[key] = StepState.FAILED
        self.note("fleet_rollout_step_failed", span=rollout.id, instance=key, why=reason)
        if rollout.reverting or rollout.on_failure == CONTINUE_ON_FAILURE:
            return
        if rollout.on_failure == PAUSE_ON_FAILURE:
            # In the record, as the next leader must not take it for resumed.
            pause_id = f"driver.{key}.{rollout.attempts[key]}"
            rollout.pauses = {**rollout.pauses, pause_id: [PAUSE, text]}
            rollout.state, rollout.reason = RolloutState.PAUSED, text
            return
        rollout.reason = text
        self.revert()

    def revert(self) -> None:
        """Every instance that was touched goes back to what it was."""
        rollout = self.rollout
        rollout.reverting = True
        rollout.overtaken = [key for key, step in rollout.steps.items() if step == StepState.IN_PROGRESS]
        for key, step in rollout.steps.items():
            if step == StepState.PENDING:
                rollout.steps[key] = StepState.SKIPPED
            elif step != StepState.IN_PROGRESS:
                rollout.steps[key] = StepState.PENDING

    # -- the next steps

    def start_steps(self, not_before: float) -> tuple[str, float]:
        """Starts as many steps as batch, minimum and interval allow, first those that do not serve.

        Returns why no more were started, and the time before which the next must not start.
        """
        rollout = self.rollout
        unseen = self.unseen_agents()
        wait_reason = f"not seen: {', '.join(unseen)}" if unseen else ""
        in_progress = sum(step == StepState.IN_PROGRESS for step in rollout.steps.values())
        for key, instance in self.startable(unseen):
            if in_progress >= rollout.batch or self.now < not_before:
                break
            if instance["state"] in BUSY_STATES or instance["unseen"] or instance["change"]:
                wait_reason = wait_reason or describe_busy(key, instance)
                continue
            shortfall = self.availability.shortfall(rollout, key, taken=1)
            if shortfall:
                wait_reason = f"{shortfall}; {wait_reason}" if wait_reason else shortfall
                break
            rollout.steps[key] = StepState.IN_PROGRESS
            rollout.attempts[key] += 1
            in_progress += 1
            if rollout.start_interval:
                not_before = self.now + rollout.start_interval
        return wait_reason, not_before

    def unseen_agents(self) -> list[str]:
        """Agents with unfinished steps and without a fresh report, sorted."""
        agents = {agent_of(key) for key, step in self.rollout.steps.items() if step in UNFINISHED_STEPS}
        return sorted(agent for agent in agents if not self.availability.is_fresh(agent))

    def startable(self, unseen: list[str]) -> list[tuple[str, InstanceReport]]:
        """Pending steps whose instance is seen, in the order in which they are to start."""
        seen = [
            (key, instance)
            for key, step in self.rollout.steps.items()
            if step == StepState.PENDING
            and agent_of(key) not in unseen
            and (instance := self.view.instance(key)) is not None
        ]
        return sorted(seen, key=lambda pair: pair[1]["state"] == InstanceState.SERVING)

    # -- the end

    def finish(self, aborted: bool) -> bool:
        """Ends the rollout once no step is left; whether it ended."""
        rollout, steps = self.rollout, self.rollout.steps.values()
        if any(step in UNFINISHED_STEPS for step in steps):
            return False
        failed = [key for key, step in rollout.steps.items() if step == StepState.FAILED]
        if aborted:
            rollout.state = RolloutState.ABORTED
        elif rollout.state == RolloutState.PAUSED and failed:
            return False  # an operator has to say whether it is tried again
        elif rollout.reverting:
            rollout.state, rollout.reason = RolloutState.FAILED, f"gone back: {rollout.reason}"
        elif failed:
            rollout.state, rollout.reason = RolloutState.FAILED, f"lost: {', '.join(failed)}"
        else:
            rollout.state, rollout.reason = RolloutState.SUCCEEDED, "all done"
        self.note("fleet_rollout_ended", span=rollout.id, state=rollout.state, why=rollout.reason)
        return True


def describe_busy(key: str, instance: InstanceReport) -> str:
    """Why an instance can't be taken just now."""
    change = f", in change {instance['change']}" if instance["change"] else ""
    return f"{key} is {instance['state']}{change}"
