"""All instances of one agent and the rollouts over them: what the agent calls. No I/O.

A rollout is a record that continues from where it is, also after the agent was killed. Every request is
checked before it begins; what would leave fewer than the minimum available is refused or waits.

All methods are called on the agent's thread; times are in ms on its monotonic clock.
"""

import contextlib
from typing import Any

from vetchford.fleet.instance import Instance, InstanceSettings, InstanceState
from vetchford.fleet.instance_manager import InstanceManager
from vetchford.fleet.rollout import Rollout, RolloutKind, RolloutState, StepState
from vetchford.fleet.rollout_actions import RecordKind, RolloutActions
from vetchford.fleet.rollout_executor import RolloutExecutor
from vetchford.fleet.rollout_table import RolloutTable
from vetchford.fleet.rollout_validation import find_submitted, validate

RESTART_SOON_MS = 1.0  # with the next tick


class RolloutController:
    """Joins instances, rollouts and requests; each event ends with a round over the active rollouts."""

    def __init__(self, actions: RolloutActions) -> None:
        """`actions`: carries the decisions out."""
        self.table = RolloutTable(actions)
        self.manager = InstanceManager(actions, self.table.rollout_of)
        self.executor = RolloutExecutor(self.manager, self.table)

    @property
    def instances(self) -> dict[str, Instance]:
        """All instances by name, as the settings declare them."""
        return self.manager.instances

    @property
    def rollouts(self) -> dict[str, Rollout]:
        """The rollouts by id: those that have not ended, and the newest of the others."""
        return self.table.rollouts

    def rollout_of(self, instance: str) -> Rollout | None:
        """Return the rollout that an instance is part of and that has not ended."""
        return self.table.rollout_of(instance)

    def get(self, id: str) -> Rollout:
        """Return a rollout by its id; RefusedError if there is none."""
        return self.table.get(id)

    # -- at the agent's start: declare, restore, fail_rollouts_without_settings, on_process_found

    def declare(self, name: str, settings: InstanceSettings, version: str) -> Instance:
        """Add an instance of the settings; nothing is known of its process yet."""
        return self.manager.declare(name, settings, version)

    def restore(self, kind: str, name: str, record: dict[str, Any]) -> None:
        """Take over a record of the store; those of other kinds are ignored."""
        if kind == RecordKind.INSTANCE:
            self.manager.restore(name, record)
        elif kind == RecordKind.ROLLOUT:
            self.table.restore(name, record)

    def fail_rollouts_without_settings(self) -> None:
        """End restored rollouts over instances that are not declared any more.

        Raises OSError if the store cannot write.
        """
        for rollout in list(self.rollouts.values()):
            missing = [name for name in rollout.targets if name not in self.instances]
            if missing and not rollout.ended:
                reason = f"no longer in the settings: {', '.join(missing)}"
                self.table.transition(rollout, RolloutState.FAILED, reason)

    def on_process_found(self, now_ms: float, name: str, version: str | None) -> None:
        """Take in, once for each instance, the version that the process table shows, or None."""
        self.manager.on_process_found(now_ms, name, version)

    # -- events

    def on_health_check(self, now_ms: float, name: str, healthy: bool) -> None:
        """Take in the result of one health check."""
        self.manager.on_health_check(now_ms, name, healthy)
        self.reconcile(now_ms)

    def on_process_exit(self, now_ms: float, name: str, status: int | None) -> None:
        """Take in the end of an instance's process; `status` is None if it is not known."""
        self.manager.on_process_exit(now_ms, name, status)
        self.reconcile(now_ms)

    def on_spawn_failed(self, now_ms: float, name: str, reason: str) -> None:
        """Take in that no process could be started for an instance."""
        self.manager.on_spawn_failed(now_ms, name, reason)
        self.reconcile(now_ms)

    def on_tick(self, now_ms: float) -> None:
        """Act on what is due; called several times a second."""
        self.manager.on_tick(now_ms)
        self.reconcile(now_ms)

    def reconcile(self, now_ms: float) -> None:
        """Advance each active rollout; one whose records cannot be written is paused."""
        for rollout in list(self.rollouts.values()):
            if not rollout.active:
                continue
            try:
                self.executor.advance(now_ms, rollout)
            except OSError as problem:
                self.table.pause_without_record(rollout, f"the store failed: {problem}")

    # -- requests

    def submit(self, now_ms: float, rollout: Rollout) -> Rollout:
        """Begin a rollout; the same request with the same id again returns the one that it began.

        Raises RefusedError if it must not begin, OSError if it cannot be recorded.
        """
        submitted = find_submitted(rollout, self.table)
        if submitted is not None:
            return submitted
        validate(rollout, self.manager, self.table)
        self._prepare(rollout)
        self.table.add(rollout)
        self.reconcile(now_ms)
        self.table.prune()
        return rollout

    def plan(self, rollout: Rollout) -> Rollout:
        """Return what `submit` would return, or raise RefusedError as it would, and begin nothing."""
        submitted = find_submitted(rollout, self.table)
        if submitted is not None:
            return submitted
        validate(rollout, self.manager, self.table)
        self._prepare(rollout)
        return rollout

    def _prepare(self, rollout: Rollout) -> None:
        """Take down what each target is now, which a rollback returns to."""
        for name in rollout.targets:
            instance = self.instances[name]
            rollout.steps[name] = StepState.PENDING
            rollout.previous_versions[name] = instance.version
            rollout.previously_wanted[name] = instance.wanted

    def pause(self, id: str, reason: str = "asked to") -> Rollout:
        """Begin nothing more for this rollout until it is resumed. Raises RefusedError, OSError."""
        rollout = self.get(id)
        if rollout.active:
            self.table.transition(rollout, RolloutState.PAUSED, reason)
        return rollout

    def resume(self, now_ms: float, id: str) -> Rollout:
        """Go on in the direction it had; instances that failed are tried again.

        Raises RefusedError, OSError.
        """
        rollout = self.get(id)
        if rollout.state == RolloutState.PAUSED:
            self._retry_failed_steps(rollout)
            direction = RolloutState.ROLLING_BACK if rollout.rolling_back else RolloutState.RUNNING
            self.table.transition(rollout, direction, "asked to")
            self.reconcile(now_ms)
        return rollout

    def _retry_failed_steps(self, rollout: Rollout) -> None:
        """Make failed steps pending again, also those whose failure a paused rollout has not noticed."""
        for name, step in rollout.steps.items():
            instance = self.instances[name]
            is_down = instance.state in (InstanceState.FAILED, InstanceState.STOPPED)
            failed_unnoticed = is_down and step in (StepState.STARTING, StepState.SOAKING)
            if step == StepState.FAILED or failed_unnoticed:
                rollout.steps[name] = StepState.PENDING
                instance.restarts = 0

    def abort(self, now_ms: float, id: str) -> Rollout:
        """End a rollout: what is out of service is started again as it is, and nothing more is taken out.

        Raises RefusedError, OSError; then it has not been aborted.
        """
        rollout = self.get(id)
        if rollout.ended:
            return rollout
        out_of_service = rollout.names_in(StepState.OUT, StepState.STARTING)
        self.table.transition(rollout, RolloutState.ABORTED, "asked to")
        if rollout.kind != RolloutKind.STOP:
            for name in out_of_service:
                self._start_after_abort(now_ms, self.instances[name])
        return rollout

    def _start_after_abort(self, now_ms: float, instance: Instance) -> None:
        """Start an instance that an aborted rollout had out of service, at once or when it has stopped."""
        instance.wanted = True
        if not instance.has_process:
            self.manager.attempt_start(now_ms, instance, "its change was aborted")
            return
        if instance.being_stopped:
            instance.restart_at_ms = now_ms + RESTART_SOON_MS  # and its process has ended
        with contextlib.suppress(OSError):  # the next of them must be started all the same
            self.manager.save(instance)
