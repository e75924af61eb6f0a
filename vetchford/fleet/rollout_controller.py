"""Interface to the instances of one agent and the rollouts over them. No I/O.

A rollout continues from its stored record, also after the agent was killed. Every request is checked before
it begins; an operation that would leave fewer than the minimum available is refused or waits.

Only the agent's thread calls it; times are in ms on the agent's monotonic clock.
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

NEXT_TICK_MS = 1.0  # delay until a restart that is due with the next tick


class RolloutController:
    """Passes events to instances and rollouts; each event ends with a pass over the active rollouts."""

    def __init__(self, actions: RolloutActions) -> None:
        """Start without instances; `actions` carries out the decisions."""
        self.table = RolloutTable(actions)
        self.manager = InstanceManager(actions, self.table.rollout_of, self.table.owner_of_start)
        self.executor = RolloutExecutor(self.manager, self.table)

    @property
    def instances(self) -> dict[str, Instance]:
        """The instances that the settings declare, by name."""
        return self.manager.instances

    @property
    def rollouts(self) -> dict[str, Rollout]:
        """The unfinished rollouts and the newest ended ones, by id."""
        return self.table.rollouts

    def rollout_of(self, instance: str) -> Rollout | None:
        """Return the unfinished rollout that an instance is part of, or None."""
        return self.table.rollout_of(instance)

    def owner_of_start(self, instance: str) -> Rollout | None:
        """Return the rollout whose step still has to start an instance; None: the agent starts it."""
        return self.table.owner_of_start(instance)

    def get(self, id: str) -> Rollout:
        """Return the rollout with this id; RefusedError if there is none."""
        return self.table.get(id)

    # -- at the agent's start: declare, restore, fail_rollouts_without_settings, on_process_found

    def declare(self, name: str, settings: InstanceSettings, version: str) -> Instance:
        """Add an instance of the settings, whose process is not known yet."""
        return self.manager.declare(name, settings, version)

    def restore(self, kind: str, name: str, record: dict[str, Any]) -> None:
        """Load a stored record; records of other kinds are ignored."""
        if kind == RecordKind.INSTANCE:
            self.manager.restore(name, record)
        elif kind == RecordKind.ROLLOUT:
            self.table.restore(name, record)

    def fail_rollouts_without_settings(self) -> None:
        """Fail restored rollouts over instances that are no longer declared.

        Raises OSError if the store cannot write.
        """
        for rollout in list(self.rollouts.values()):
            missing = [name for name in rollout.targets if name not in self.instances]
            if missing and not rollout.ended:
                reason = f"no longer in the settings: {', '.join(missing)}"
                self.table.transition(rollout, RolloutState.FAILED, reason)

    def on_process_found(self, now_ms: float, name: str, version: str | None) -> None:
        """Handle the version of an instance's process in the process table, or None; once per instance."""
        self.manager.on_process_found(now_ms, name, version)

    # -- events

    def on_health_check(self, now_ms: float, name: str, healthy: bool) -> None:
        """Handle the result of one health check."""
        self.manager.on_health_check(now_ms, name, healthy)
        self.reconcile(now_ms)

    def on_process_exit(self, now_ms: float, name: str, status: int | None) -> None:
        """Handle the end of an instance's process; `status` is None if not known."""
        self.manager.on_process_exit(now_ms, name, status)
        self.reconcile(now_ms)

    def on_spawn_failed(self, now_ms: float, name: str, reason: str) -> None:
        """Handle a failure to start the process of an instance."""
        self.manager.on_spawn_failed(now_ms, name, reason)
        self.reconcile(now_ms)

    def on_tick(self, now_ms: float) -> None:
        """Act on due restarts and deadlines, and advance rollouts; called several times a second."""
        self.manager.on_tick(now_ms)
        self.reconcile(now_ms)

    def reconcile(self, now_ms: float) -> None:
        """Advance each active rollout; a rollout whose records cannot be stored is paused."""
        for rollout in list(self.rollouts.values()):
            if not rollout.active:
                continue
            try:
                self.executor.advance(now_ms, rollout)
            except OSError as problem:
                self.table.pause_without_record(rollout, f"the store failed: {problem}")

    # -- requests

    def submit(self, now_ms: float, rollout: Rollout) -> Rollout:
        """Begin a rollout; an identical request with the same id returns the rollout that already began.

        Raises RefusedError if the rollout must not begin, OSError if it cannot be stored.
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
        """Return or raise what `submit` would, without beginning the rollout."""
        submitted = find_submitted(rollout, self.table)
        if submitted is not None:
            return submitted
        validate(rollout, self.manager, self.table)
        self._prepare(rollout)
        return rollout

    def _prepare(self, rollout: Rollout) -> None:
        """Note the current state of each target, to which a rollback returns."""
        for name in rollout.targets:
            instance = self.instances[name]
            rollout.steps[name] = StepState.PENDING
            rollout.previous_versions[name] = instance.version
            rollout.previously_wanted[name] = instance.wanted

    def pause(self, id: str, reason: str = "asked to") -> Rollout:
        """Pause a rollout: start no further steps until a resume. Raises RefusedError, OSError."""
        rollout = self.get(id)
        if rollout.active:
            self.table.transition(rollout, RolloutState.PAUSED, reason)
        return rollout

    def resume(self, now_ms: float, id: str) -> Rollout:
        """Continue a paused rollout in its previous direction, and retry its failed steps.

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
        """Make failed steps pending again, also those that failed unobserved while the rollout was paused."""
        for name, step in rollout.steps.items():
            instance = self.instances[name]
            is_down = instance.state in (InstanceState.FAILED, InstanceState.STOPPED)
            failed_unnoticed = is_down and step in (StepState.STARTING, StepState.SOAKING)
            if step == StepState.FAILED or failed_unnoticed:
                rollout.steps[name] = StepState.PENDING
                instance.restarts = 0

    def abort(self, now_ms: float, id: str) -> Rollout:
        """End a rollout: start its instances that are out of service, and take no further ones out.

        Raises RefusedError or OSError, and then the rollout is not aborted.
        """
        rollout = self.get(id)
        if rollout.ended:
            return rollout
        out_of_service = rollout.instances_at(StepState.OUT, StepState.STARTING)
        self.table.transition(rollout, RolloutState.ABORTED, "asked to")
        if rollout.kind != RolloutKind.STOP:
            for name in out_of_service:
                self._start_after_abort(now_ms, self.instances[name])
        for name in rollout.targets:
            self.manager.take_over_start(now_ms, self.instances[name])
        return rollout

    def _start_after_abort(self, now_ms: float, instance: Instance) -> None:
        """Start an instance that an aborted rollout had out of service, at once or once it has stopped."""
        instance.wanted = True
        if not instance.has_process:
            self.manager.attempt_start(now_ms, instance, "its change was aborted")
            return
        if instance.being_stopped:
            instance.restart_at_ms = now_ms + NEXT_TICK_MS  # restarted once its process has ended
        with contextlib.suppress(OSError):  # the other instances must be started even so
            self.manager.save(instance)
