"""Carries a rollout forward: takes instances out of service, starts them again and watches them. No I/O.

    pending -> out -> starting -> soaking -> done
                         |           |
                         +-----------+--> failed

Each step is on record before its act, so any of the acts may be the last one of an agent that is killed.
OSError from a method: the store could not write, and what was to follow has not been begun.
"""

from vetchford.fleet.instance import Instance, InstanceState
from vetchford.fleet.instance_manager import InstanceManager
from vetchford.fleet.rollout import (
    STEPS_ENDED,
    STEPS_IN_PROGRESS,
    FailurePolicy,
    Rollout,
    RolloutKind,
    RolloutState,
    StepState,
)
from vetchford.fleet.rollout_table import RolloutTable


class RolloutExecutor:
    """Advances rollouts of one agent by what is seen of the instances."""

    def __init__(self, manager: InstanceManager, table: RolloutTable) -> None:
        """`manager` and `table`: those of the same agent."""
        self.manager = manager
        self.table = table

    def advance(self, now_ms: float, rollout: Rollout) -> None:
        """Do whatever can be done now for an active rollout."""
        for name in rollout.targets:
            if rollout.steps[name] in STEPS_IN_PROGRESS:
                self._follow(now_ms, rollout, self.manager.instances[name])
        if rollout.state == RolloutState.PAUSED:
            return
        while self._take_out_next(now_ms, rollout):
            pass
        if all(step in STEPS_ENDED for step in rollout.steps.values()):
            self._finish(rollout)

    def _finish(self, rollout: Rollout) -> None:
        """End a rollout of which every step has ended."""
        failed = rollout.names_in(StepState.FAILED)
        if failed:
            self.table.transition(rollout, RolloutState.FAILED, f"lost: {', '.join(failed)}")
        elif rollout.state == RolloutState.ROLLING_BACK:
            self.table.transition(rollout, RolloutState.FAILED, "gone back")
        else:
            self.table.transition(rollout, RolloutState.FINISHED, "all done")

    # -- taking one out of service

    def _take_out_next(self, now_ms: float, rollout: Rollout) -> bool:
        """Take one more instance out of service, if the limits of the rollout allow it; whether it did."""
        instance = self._next_instance(now_ms, rollout)
        if instance is None:
            return False
        if rollout.kind != RolloutKind.STOP:
            self.table.next_start_at_ms[rollout.id] = now_ms + rollout.start_spacing_ms
        self.table.set_step(rollout, instance.name, StepState.OUT)
        self._set_goal(rollout, instance)
        if rollout.kind != RolloutKind.START or not instance.wanted:
            self.manager.stop(now_ms, instance, f"change {rollout.id}")
        self._follow(now_ms, rollout, instance)
        return True

    def _set_goal(self, rollout: Rollout, instance: Instance) -> None:
        """Record which version the instance is to run, and whether it is to run at all.

        While the rollout rolls back this is what it was before.
        """
        instance.restarts = 0
        instance.restart_at_ms = 0.0
        rolling_back = rollout.state == RolloutState.ROLLING_BACK
        stays_down = rolling_back and not rollout.previously_wanted[instance.name]
        if rollout.kind == RolloutKind.ROLL:
            previous = rollout.previous_versions[instance.name]
            instance.version = previous if rolling_back else rollout.version
        instance.wanted = rollout.kind != RolloutKind.STOP and not stays_down
        self.manager.save(instance)

    def _next_instance(self, now_ms: float, rollout: Rollout) -> Instance | None:
        """Return the instance to take out next; None if batch, spacing or minimum do not allow one now."""
        pending = rollout.names_in(StepState.PENDING)
        if not pending or not self._batch_allows_another(now_ms, rollout):
            return None
        counted = self.manager.in_groups_of(rollout.targets)
        if any(self.manager.instances[name].awaiting_first_check for name in counted):
            return None  # the agent was restarted, and it is not known yet which instances serve
        instance = self._most_urgent(rollout, pending)
        if instance.being_stopped or not self._minimum_allows(rollout, instance, counted):
            return None
        return instance

    def _batch_allows_another(self, now_ms: float, rollout: Rollout) -> bool:
        """Whether fewer than `batch` are in progress, and the last start is `start_spacing_ms` ago."""
        in_progress = rollout.names_in(*STEPS_IN_PROGRESS)
        next_start_at_ms = self.table.next_start_at_ms.get(rollout.id, 0.0)
        return len(in_progress) < rollout.batch and now_ms >= next_start_at_ms

    def _minimum_allows(self, rollout: Rollout, instance: Instance, counted: set[str]) -> bool:
        """Whether enough of the `counted` instances still serve without this one.

        One that does not serve costs nothing, and a start takes nothing away.
        """
        takes_capacity = instance.state == InstanceState.SERVING and rollout.kind != RolloutKind.START
        return not takes_capacity or self.manager.count_serving(counted) - 1 >= rollout.minimum_available

    def _most_urgent(self, rollout: Rollout, pending: list[str]) -> Instance:
        """Return an instance that does not serve, as it costs no capacity, else the first in order."""
        instances = [self.manager.instances[name] for name in rollout.targets if name in pending]
        return min(instances, key=lambda instance: instance.state == InstanceState.SERVING)

    # -- watching those in progress

    def _follow(self, now_ms: float, rollout: Rollout, instance: Instance) -> None:
        """Carry one instance in progress as far as it can go now."""
        if rollout.steps[instance.name] == StepState.OUT and not instance.being_stopped:
            self._follow_out(now_ms, rollout, instance)
        step = rollout.steps[instance.name]
        if step == StepState.STARTING:
            self._follow_starting(now_ms, rollout, instance)
        elif step == StepState.SOAKING:
            self._follow_soaking(now_ms, rollout, instance)

    def _follow_out(self, now_ms: float, rollout: Rollout, instance: Instance) -> None:
        """Start the instance once its process has ended, or end the step if it is to stay down."""
        starts_in_place = rollout.kind == RolloutKind.START and instance.wanted
        if instance.has_process and not starts_in_place:
            # The agent died between the record and SIGTERM, or just after it. The minimum has to be checked
            # again before this instance may go: others may have failed since.
            self.table.set_step(rollout, instance.name, StepState.PENDING)
        elif not instance.wanted:
            self.table.set_step(rollout, instance.name, StepState.DONE)
        else:
            self.table.set_step(rollout, instance.name, StepState.STARTING)
            self.manager.start(now_ms, instance, f"change {rollout.id}")

    def _follow_starting(self, now_ms: float, rollout: Rollout, instance: Instance) -> None:
        """The step soaks once the instance serves, and has failed if it never will."""
        if instance.state == InstanceState.SERVING:
            self.table.set_step(rollout, instance.name, StepState.SOAKING)
        elif instance.state in (InstanceState.FAILED, InstanceState.STOPPED):
            self._fail_step(rollout, instance)
        elif instance.state == InstanceState.ABSENT:  # the agent died between the record and the spawn
            self.manager.start(now_ms, instance, f"change {rollout.id}")

    def _follow_soaking(self, now_ms: float, rollout: Rollout, instance: Instance) -> None:
        """The step is done once the instance has served for `minimum_ready_ms`.

        A few failed checks (`STARTING`) begin that time anew; any other state has failed it.
        """
        if instance.state == InstanceState.SERVING:
            if now_ms - instance.state_since_ms >= rollout.minimum_ready_ms:
                self.table.set_step(rollout, instance.name, StepState.DONE)
        elif instance.state != InstanceState.STARTING:
            self._fail_step(rollout, instance)

    # -- failures

    def _fail_step(self, rollout: Rollout, instance: Instance) -> None:
        """A step has failed: continue, pause or roll back, as the rollout's `on_failure` says."""
        self.table.set_step(rollout, instance.name, StepState.FAILED)
        self.table.actions.note(
            "rollout_instance_failed", change=rollout.id, instance=instance.name, why=instance.reason
        )
        if rollout.state == RolloutState.ROLLING_BACK or rollout.on_failure == FailurePolicy.CONTINUE:
            return
        reason = f"{instance.name}: {instance.reason}"
        if rollout.on_failure == FailurePolicy.PAUSE:
            self.table.transition(rollout, RolloutState.PAUSED, reason)
        else:
            self._begin_rolling_back(rollout, reason)

    def _begin_rolling_back(self, rollout: Rollout, reason: str) -> None:
        """Every instance that was touched becomes pending again, the others are done."""
        previous = rollout.steps
        rollout.steps = {
            name: StepState.DONE if step == StepState.PENDING else StepState.PENDING
            for name, step in previous.items()
        }
        try:
            self.table.transition(rollout, RolloutState.ROLLING_BACK, reason)
        except OSError:
            rollout.steps = previous  # not on record: the next agent would take the way back for the way on
            raise
