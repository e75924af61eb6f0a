"""Rules by which one fleet rollout advances: one pass over its steps. No I/O; times in ms.

    pending -> in progress (its agent runs a local rollout over that one instance) -> done
                                                                                  +-> failed

A step is committed in the fleet's record before it is ordered. The next leader therefore knows every instance
that may be out of service, and counts it as unavailable, whether or not the order reached its agent.

| rule | function |
| --- | --- |
| pause, resume, abort | `apply_control` |
| which steps a resume tries again | `retry_failed_steps` |
| when a step has ended | `observe_step`, `end_step` |
| a committed step that may no longer begin | `withdraw_unordered_step` |
| a committed step of an aborted rollout | `skip_step_not_begun` |
| what follows a failure | `fail_step`, `roll_back` |
| which steps begin now | `start_steps`, `startable_steps`, `Availability.describe_shortfall` |
| when and how the rollout ends | `finish`, `set_outcome` |
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

# States of an instance that is being stopped already.
BUSY_STATES = frozenset((InstanceState.DRAINING, InstanceState.STOPPING))
ORDER_LAPSE_MS = 5000.0  # above `order_guard.MAX_ORDER_AGE_MS` by any two clocks: the order is refused then
LEADER_PAUSE_PREFIX = "driver"  # of the id, in the record, of a pause that the leader made itself


class LogEvent(Protocol):
    """Writes a log event."""

    def __call__(self, event: str, **fields: Any) -> None:
        """Write the event named `event` with its fields."""


@dataclass(frozen=True, slots=True)
class StartOutcome:
    """Result of `start_steps`."""

    wait_reason: str  # why no more steps were started, as text for operators; empty if there is no obstacle
    next_start_at_ms: float  # earliest time at which the next step may start


class RolloutPass:
    """One pass over one rollout of a record that is about to be proposed; modifies the rollout.

    Created for each pass, on the agent's thread.
    """

    def __init__(self, availability: Availability, rollout: FleetRollout, log_event: LogEvent) -> None:
        """Start a pass; `availability` is by the proposed record, of which `rollout` is part."""
        self.availability = availability
        self.rollout = rollout
        self.log_event = log_event
        self.now_ms = availability.now_ms
        self.view = availability.view
        self.aborted = False

    # -- pause, resume and abort

    def apply_control(self, control: ActiveControl) -> None:
        """Pause, resume or abort the rollout, by the control in effect on this agent.

        An abort skips the steps that have not begun and lets the others end, so that no instance is left out
        of service.
        """
        rollout = self.rollout
        if control.kind == ABORT:
            self.aborted = True
            self.skip_pending_steps()
            rollout.reason = control.reason
        elif control.kind and rollout.state == RolloutState.RUNNING:
            self.pause(control.reason)
        elif not control.kind and rollout.state == RolloutState.PAUSED:
            rollout.state = RolloutState.RUNNING
            rollout.reason = ""
            self.retry_failed_steps()

    def pause(self, reason: str) -> None:
        """Start no more steps until a resume; steps in progress continue."""
        self.rollout.state = RolloutState.PAUSED
        self.rollout.reason = reason

    def skip_pending_steps(self) -> None:
        """Skip the steps that have not begun."""
        for key, step in self.rollout.steps.items():
            if step == StepState.PENDING:
                self.rollout.steps[key] = StepState.SKIPPED

    def retry_failed_steps(self) -> None:
        """Make the failed steps pending again, except those of agents that are no longer members."""
        for key, step in self.rollout.steps.items():
            if step == StepState.FAILED and agent_of(key) in self.view.agents:
                self.rollout.steps[key] = StepState.PENDING

    # -- progress of steps

    def observe_steps(self) -> None:
        """Apply the agents' fresh reports to the steps in progress."""
        for key, step in list(self.rollout.steps.items()):
            if step == StepState.IN_PROGRESS and self.availability.is_fresh(agent_of(key)):
                self.observe_step(key)

    def observe_step(self, key: str) -> None:
        """Apply an agent's report to one step in progress."""
        rollout = self.rollout
        name, agent = split_instance_key(key)
        view = self.view.agents[agent]
        attempt_id = rollout.attempt_id(key)
        result = view.result(attempt_id)
        if result is None:
            was_ordered = attempt_id in view.ordered_at_ms
            if self.aborted:
                self.skip_step_not_begun(key)
            elif not was_ordered:
                self.withdraw_unordered_step(key)
            return
        if result.is_unfinished():
            return
        if name in result.killed and key not in rollout.killed:
            rollout.killed = [*rollout.killed, key]
        view.ordered_at_ms.pop(attempt_id, None)
        self.end_step(key, result)

    def withdraw_unordered_step(self, key: str) -> None:
        """Make a committed step pending again if the minimum no longer allows it.

        The step was committed, perhaps by an earlier leader, and not ordered in this agent's term. Other
        instances may have failed since, so the minimum is checked again. A late order of an earlier leader
        does no harm: the agent has reported to this leader, so it has voted in this term and refuses such an
        order.
        """
        if self.availability.describe_shortfall(self.rollout, key):
            self.rollout.steps[key] = StepState.PENDING

    def skip_step_not_begun(self, key: str) -> None:
        """Skip a committed step of an aborted rollout that its agent has not begun and can no longer begin.

        The step is ordered no more. Its agent has reported to this leader, so it refuses orders of earlier
        leaders; one of this leader has lapsed if the report was requested `ORDER_LAPSE_MS` after it.
        """
        view = self.view.agents[agent_of(key)]
        attempt_id = self.rollout.attempt_id(key)
        ordered_at_ms = view.ordered_at_ms.get(attempt_id)
        if ordered_at_ms is None or view.requested_at_ms - ordered_at_ms > ORDER_LAPSE_MS:
            view.ordered_at_ms.pop(attempt_id, None)
            self.rollout.steps[key] = StepState.SKIPPED

    def end_step(self, key: str, result: AttemptResult) -> None:
        """End a step whose local rollout has ended, with success or not.

        A step that was in progress as the rollback began becomes pending, to be rolled back too.
        """
        rollout = self.rollout
        if key in rollout.in_progress_at_rollback:
            rollout.in_progress_at_rollback = [
                other for other in rollout.in_progress_at_rollback if other != key
            ]
            rollout.steps[key] = StepState.PENDING
        elif result.state == AttemptState.SUCCEEDED:
            rollout.steps[key] = StepState.DONE
        else:
            self.fail_step(key, result.reason)

    def fail_step(self, key: str, reason: str) -> None:
        """Fail a step; continue, pause or roll back, as the rollout's `on_failure` says.

        `reason` comes from the agent's report. A failure during a rollback has no further effect, as there is
        nothing else to fall back to.
        """
        rollout = self.rollout
        failure = f"{key}: {reason}"
        rollout.steps[key] = StepState.FAILED
        self.log_event("fleet_rollout_step_failed", span=rollout.id, instance=key, why=reason)
        if rollout.rolling_back or rollout.on_failure == CONTINUE_ON_FAILURE:
            return
        if rollout.on_failure == PAUSE_ON_FAILURE:
            self.record_pause(key, failure)
            self.pause(failure)
            return
        rollout.reason = failure
        self.roll_back()

    def record_pause(self, key: str, reason: str) -> None:
        """Store the pause that a failed step causes in the record.

        Invariant: a pause remains in effect under the next leader, which would continue the rollout if the
        pause were not in the record.
        """
        rollout = self.rollout
        pause_id = f"{LEADER_PAUSE_PREFIX}.{key}.{rollout.attempts[key]}"
        rollout.pauses = {**rollout.pauses, pause_id: [PAUSE, reason]}

    def roll_back(self) -> None:
        """Begin to return every instance that was changed to its previous state, and skip the others.

        A step in progress ends first and is rolled back then (`end_step`).
        """
        rollout = self.rollout
        rollout.rolling_back = True
        rollout.in_progress_at_rollback = [
            key for key, step in rollout.steps.items() if step == StepState.IN_PROGRESS
        ]
        for key, step in rollout.steps.items():
            if step == StepState.PENDING:
                rollout.steps[key] = StepState.SKIPPED
            elif step != StepState.IN_PROGRESS:
                rollout.steps[key] = StepState.PENDING

    # -- starting steps

    def start_steps(self, not_before_ms: float) -> StartOutcome:
        """Start as many steps as batch, minimum and interval allow, in the order of `startable_steps`.

        `not_before_ms`: earliest time of the next start, by the interval since the last one. A busy instance
        is skipped; a minimum that forbids a step ends the pass, as the instances that follow also serve.
        """
        rollout = self.rollout
        unseen = self.unseen_agents()
        wait_reason = f"not seen: {', '.join(unseen)}" if unseen else ""
        in_progress = sum(step == StepState.IN_PROGRESS for step in rollout.steps.values())
        for key, instance in self.startable_steps(unseen):
            if in_progress >= rollout.batch or self.now_ms < not_before_ms:
                break
            if is_busy(instance):
                wait_reason = wait_reason or describe_busy(key, instance)
                continue
            shortfall = self.availability.describe_shortfall(rollout, key, still_counted=1)
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
        """Return the agents with unfinished steps and without a fresh report, sorted."""
        agents = {agent_of(key) for key, step in self.rollout.steps.items() if step in UNFINISHED_STEPS}
        return sorted(agent for agent in agents if not self.availability.is_fresh(agent))

    def startable_steps(self, unseen: list[str]) -> list[tuple[str, InstanceReport]]:
        """Return the pending steps whose instance was reported, in the order in which they are to start.

        Instances that do not serve come first: taking them costs no capacity, and they may be the reason why
        the minimum is not proven. The order of the request decides otherwise.
        """
        reported = []
        for key, step in self.rollout.steps.items():
            if step != StepState.PENDING or agent_of(key) in unseen:
                continue
            instance = self.view.instance(key)
            if instance is not None:
                reported.append((key, instance))
        return sorted(reported, key=lambda pair: pair[1]["state"] == InstanceState.SERVING)

    # -- the end

    def finish(self, aborted: bool) -> bool:
        """End the rollout if no step is unfinished; return whether it ended.

        A rollout that is paused by a failed step does not end: an operator must resume or abort it.
        """
        rollout = self.rollout
        if any(step in UNFINISHED_STEPS for step in rollout.steps.values()):
            return False
        failed = [key for key, step in rollout.steps.items() if step == StepState.FAILED]
        if rollout.state == RolloutState.PAUSED and failed and not aborted:
            return False
        self.set_outcome(aborted, failed)
        self.log_event(
            "fleet_rollout_ended", span=rollout.id, state=rollout.state.name.lower(), why=rollout.reason
        )
        return True

    def set_outcome(self, aborted: bool, failed: list[str]) -> None:
        """Set the final state of the rollout and its reason; an abort keeps the operator's reason."""
        rollout = self.rollout
        if aborted:
            rollout.state = RolloutState.ABORTED
        elif rollout.rolling_back:
            rollout.state = RolloutState.FAILED
            rollout.reason = f"gone back: {rollout.reason}"
        elif failed:
            rollout.state = RolloutState.FAILED
            rollout.reason = f"lost: {', '.join(failed)}"
        else:
            rollout.state = RolloutState.SUCCEEDED
            rollout.reason = "all done"


def is_busy(instance: InstanceReport) -> bool:
    """Return whether an instance is being stopped, not checked yet, or part of a local rollout."""
    return instance["state"] in BUSY_STATES or instance["unseen"] or bool(instance["change"])


def describe_busy(key: str, instance: InstanceReport) -> str:
    """Return why an instance is busy, as text for operators."""
    change = f", in change {instance['change']}" if instance["change"] else ""
    return f"{key} is {instance['state']}{change}"


def join_reasons(first: str, second: str) -> str:
    """Join two reasons to wait into one text; `second` may be empty."""
    return f"{first}; {second}" if second else first
