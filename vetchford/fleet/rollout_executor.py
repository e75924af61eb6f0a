"""Advances a rollout: takes instances out of service, starts them again and observes them. No I/O.

    pending -> out -> starting -> soaking -> done
                         |           |
                         +-----------+--> failed

Each step is stored before its action, so that the rollout can continue if the agent is killed at any action.
A method raises OSError if the store could not write; then the action that was to follow has not begun.
"""

from typing import NamedTuple

from vetchford.fleet.instance import Instance, InstanceState
from vetchford.fleet.instance_manager import InstanceManager
from vetchford.fleet.rollout import (
    STEPS_ENDED,
    STEPS_IN_PROGRESS,
    STEPS_TO_DO,
    FailurePolicy,
    Rollout,
    RolloutKind,
    RolloutState,
    StepState,
)
from vetchford.fleet.rollout_table import RolloutTable


class DesiredState(NamedTuple):
    """What a rollout wants of an instance."""

    wanted: bool
    version: str


class RolloutExecutor:
    """Advances the rollouts of one agent by the observed states of the instances."""

    def __init__(self, manager: InstanceManager, table: RolloutTable) -> None:
        """Start with the manager and the table of the same agent."""
        self.manager = manager
        self.table = table

    def advance(self, now_ms: float, rollout: Rollout) -> None:
        """Advance an active rollout as far as possible now."""
        for name in rollout.targets:
            if rollout.steps[name] in STEPS_IN_PROGRESS:
                self._advance_step(now_ms, rollout, self.manager.instances[name])
        if rollout.state == RolloutState.PAUSED:
            return
        while self._start_next_step(now_ms, rollout):
            pass
        if all(step in STEPS_ENDED for step in rollout.steps.values()) and self._all_serve(rollout):
            self._finish(rollout)

    def _all_serve(self, rollout: Rollout) -> bool:
        """Return whether all wanted instances whose steps are done still serve.

        The step of an instance that was lost since, and does not come back by itself, fails. The rollout
        waits for the others: the instance manager starts them again.
        """
        for name in rollout.instances_at(StepState.DONE):
            instance = self.manager.instances[name]
            if instance.wanted and instance.state in (InstanceState.FAILED, InstanceState.STOPPED):
                self._fail_step(rollout, instance)
        done = [self.manager.instances[name] for name in rollout.instances_at(StepState.DONE)]
        is_all_serving = all(each.state == InstanceState.SERVING for each in done if each.wanted)
        return is_all_serving and rollout.active and not rollout.instances_at(*STEPS_TO_DO)

    def _finish(self, rollout: Rollout) -> None:
        """End a rollout whose steps have all ended."""
        failed = rollout.instances_at(StepState.FAILED)
        if failed:
            self.table.transition(rollout, RolloutState.FAILED, f"lost: {', '.join(failed)}")
        elif rollout.state == RolloutState.ROLLING_BACK:
            self.table.transition(rollout, RolloutState.FAILED, "gone back")
        else:
            self.table.transition(rollout, RolloutState.FINISHED, "all done")

    # -- starting steps

    def _start_next_step(self, now_ms: float, rollout: Rollout) -> bool:
        """Start the step of one more instance if the rollout's limits allow it; return whether started."""
        instance = self._next_instance(now_ms, rollout)
        if instance is None:
            return False
        if rollout.kind != RolloutKind.STOP:
            self.table.next_start_at_ms[rollout.id] = now_ms + rollout.start_spacing_ms
        self.table.set_step(rollout, instance.name, StepState.OUT)
        self._store_desired_state(rollout, instance)
        if rollout.kind != RolloutKind.START or not instance.wanted:
            self.manager.stop(now_ms, instance, f"change {rollout.id}")
        self._advance_step(now_ms, rollout, instance)
        return True

    def _store_desired_state(self, rollout: Rollout, instance: Instance) -> None:
        """Store whether the instance is to run, and which version."""
        instance.restarts = 0
        instance.restart_at_ms = 0.0
        instance.wanted, instance.version = self._desired_state(rollout, instance)
        self.manager.save(instance)

    def _desired_state(self, rollout: Rollout, instance: Instance) -> DesiredState:
        """Return whether the instance is to run, and which version.

        During a rollback, both are those from before the rollout.
        """
        rolling_back = rollout.state == RolloutState.ROLLING_BACK
        remains_stopped = rolling_back and not rollout.previously_wanted[instance.name]
        version = instance.version
        if rollout.kind == RolloutKind.ROLL:
            previous = rollout.previous_versions[instance.name]
            version = previous if rolling_back else rollout.version
        elif rollout.kind == RolloutKind.STOP and rollout.version:  # undoes the roll of a stopped instance
            version = rollout.version
        return DesiredState(rollout.kind != RolloutKind.STOP and not remains_stopped, version)

    def _next_instance(self, now_ms: float, rollout: Rollout) -> Instance | None:
        """Return the instance to start next; None if batch, spacing or minimum do not allow one now."""
        pending = rollout.instances_at(StepState.PENDING)
        if not pending or not self._batch_allows_another(now_ms, rollout):
            return None
        counted = self.manager.in_groups_of(rollout.targets)
        if any(self.manager.instances[name].awaiting_first_check for name in counted):
            return None  # the agent was restarted and does not know yet which instances serve
        instance = self._first_pending_instance(rollout, pending)
        if instance.being_stopped or not self._minimum_allows(rollout, instance, counted):
            return None
        return instance

    def _batch_allows_another(self, now_ms: float, rollout: Rollout) -> bool:
        """Return whether fewer than `batch` steps are in progress and the start spacing has passed."""
        in_progress = rollout.instances_at(*STEPS_IN_PROGRESS)
        next_start_at_ms = self.table.next_start_at_ms.get(rollout.id, 0.0)
        return len(in_progress) < rollout.batch and now_ms >= next_start_at_ms

    def _minimum_allows(self, rollout: Rollout, instance: Instance, counted: set[str]) -> bool:
        """Return whether enough of the `counted` instances serve without this instance.

        An instance that does not serve is always allowed, as is a start: neither reduces the number serving.
        """
        takes_capacity = instance.state == InstanceState.SERVING and rollout.kind != RolloutKind.START
        return not takes_capacity or self.manager.count_serving(counted) - 1 >= rollout.minimum_available

    def _first_pending_instance(self, rollout: Rollout, pending: list[str]) -> Instance:
        """Return the first pending instance that does not serve, as it costs no capacity, else the first."""
        instances = [self.manager.instances[name] for name in rollout.targets if name in pending]
        return min(instances, key=lambda instance: instance.state == InstanceState.SERVING)

    # -- steps in progress

    def _advance_step(self, now_ms: float, rollout: Rollout, instance: Instance) -> None:
        """Advance one step in progress as far as possible now."""
        if rollout.steps[instance.name] == StepState.OUT and not instance.being_stopped:
            self._advance_out_step(now_ms, rollout, instance)
        step = rollout.steps[instance.name]
        if step == StepState.STARTING:
            self._advance_starting_step(now_ms, rollout, instance)
        elif step == StepState.SOAKING:
            self._advance_soaking_step(now_ms, rollout, instance)

    def _advance_out_step(self, now_ms: float, rollout: Rollout, instance: Instance) -> None:
        """Start the instance once its process has ended, or end the step if it is to remain stopped."""
        starts_in_place = rollout.kind == RolloutKind.START and instance.wanted
        if instance.has_process and not starts_in_place:
            # The agent was killed between storing the step and SIGTERM, or just after it. Other instances may
            # have failed since, so the minimum is checked again before this instance is stopped.
            self.table.set_step(rollout, instance.name, StepState.PENDING)
            return
        if (instance.wanted, instance.version) != self._desired_state(rollout, instance):
            # The agent was killed between storing the step and the desired state, and the process has ended.
            self._store_desired_state(rollout, instance)
        if not instance.wanted:
            self.table.set_step(rollout, instance.name, StepState.DONE)
        else:
            self.table.set_step(rollout, instance.name, StepState.STARTING)
            self.manager.start(now_ms, instance, f"change {rollout.id}")

    def _advance_starting_step(self, now_ms: float, rollout: Rollout, instance: Instance) -> None:
        """Begin soaking once the instance serves; fail the step if the instance failed or was stopped."""
        if instance.state == InstanceState.SERVING:
            self.table.set_step(rollout, instance.name, StepState.SOAKING)
        elif instance.state in (InstanceState.FAILED, InstanceState.STOPPED):
            self._fail_step(rollout, instance)
        elif instance.state == InstanceState.ABSENT:  # the agent was killed before the spawn
            self.manager.start(now_ms, instance, f"change {rollout.id}")

    def _advance_soaking_step(self, now_ms: float, rollout: Rollout, instance: Instance) -> None:
        """Complete the step once the instance has served for `minimum_ready_ms`.

        Failed health checks (`STARTING`) restart that time. An instance that was gone when the agent was
        started is started once more. Any other state fails the step.
        """
        if instance.state == InstanceState.SERVING:
            if now_ms - instance.state_since_ms >= rollout.minimum_ready_ms:
                self.table.set_step(rollout, instance.name, StepState.DONE)
        elif instance.state == InstanceState.ABSENT:
            self.table.set_step(rollout, instance.name, StepState.STARTING)
            self.manager.start(now_ms, instance, f"change {rollout.id}")
        elif instance.state != InstanceState.STARTING:
            self._fail_step(rollout, instance)

    # -- failures

    def _fail_step(self, rollout: Rollout, instance: Instance) -> None:
        """Fail a step; continue, pause or roll back, as the rollout's `on_failure` says."""
        self.table.set_step(rollout, instance.name, StepState.FAILED)
        self.table.actions.log_event(
            "rollout_instance_failed", change=rollout.id, instance=instance.name, why=instance.reason
        )
        if rollout.state == RolloutState.ROLLING_BACK or rollout.on_failure == FailurePolicy.CONTINUE:
            return
        reason = f"{instance.name}: {instance.reason}"
        if rollout.on_failure == FailurePolicy.PAUSE:
            self.table.transition(rollout, RolloutState.PAUSED, reason)
        else:
            self._begin_rollback(rollout, reason)

    def _begin_rollback(self, rollout: Rollout, reason: str) -> None:
        """Roll back: make the steps that have begun pending again, and the others done."""
        previous = rollout.steps
        rollout.steps = {
            name: StepState.DONE if step == StepState.PENDING else StepState.PENDING
            for name, step in previous.items()
        }
        try:
            self.table.transition(rollout, RolloutState.ROLLING_BACK, reason)
        except OSError:
            rollout.steps = previous  # a restarted agent, without the stored rollback, would roll forward
            raise
