"""Decides when the process of an instance is started, drained, killed and restarted. No I/O.

It handles the observed state of each process and the results of health checks, and acts through
`RolloutActions`. Times are in ms on the caller's monotonic clock. Only the agent's thread calls it.
"""

import contextlib
from collections.abc import Callable
from typing import Any

from vetchford.fleet.instance import Instance, InstanceSettings, InstanceState
from vetchford.fleet.rollout import Rollout
from vetchford.fleet.rollout_actions import RecordKind, RolloutActions

RESTART_BACKOFF_MS = 500.0  # before the first restart after an unexpected exit; doubles with each restart
MAX_RESTART_BACKOFF_MS = 30_000.0  # so that an instance restarts soon after a long fault is repaired
MAX_READY_BACKOFF_EXPONENT = 6  # of 2; about half a minute after repeatedly missed ready timeouts
STABLE_AFTER_MS = 60_000.0  # of serving, after which earlier restarts no longer count
MAX_CONSECUTIVE_RESTARTS = 6  # in about half a minute; then the instance waits for an operator to start it
MAX_FAILED_CHECKS = 3  # consecutive, while serving; a single check may fail by chance
KILL_RETRY_INTERVAL_MS = 1000.0  # for a process that hangs in the kernel and does not end by SIGKILL
STORE_RETRY_INTERVAL_MS = 1000.0  # until a restart that the store could not record is tried again


class InstanceManager:
    """The instances of one agent; all are declared from the settings before any other call.

    Invariant: the next start of a wanted instance without a process has one owner: the rollout whose step
    still has to start it, or this manager, which sets `restart_at_ms` unless the instance has failed.
    """

    def __init__(
        self,
        actions: RolloutActions,
        rollout_of: Callable[[str], Rollout | None],
        owner_of_start: Callable[[str], Rollout | None],
    ) -> None:
        """Start without instances.

        Args:
            actions: carries out the decisions.
            rollout_of: returns the unfinished rollout that includes an instance.
            owner_of_start: returns the rollout that starts an instance; None: this manager does.
        """
        self.actions = actions
        self.rollout_of = rollout_of
        self.owner_of_start = owner_of_start
        self.instances: dict[str, Instance] = {}

    # -- at the agent's start

    def declare(self, name: str, settings: InstanceSettings, version: str) -> Instance:
        """Add an instance of the settings, whose process is not known yet."""
        instance = Instance(name, settings, version)
        self.instances[name] = instance
        return instance

    def restore(self, name: str, record: dict[str, Any]) -> None:
        """Load a stored record; records of instances that are no longer declared are ignored."""
        if name in self.instances:
            self.instances[name].restore(record)

    def on_process_found(self, now_ms: float, name: str, version: str | None) -> None:
        """Handle the version of an instance's process in the process table, or None; once per instance."""
        instance = self.instances[name]
        if version is None:
            self._on_no_process(now_ms, instance)
        else:
            self._adopt(now_ms, instance, version)

    def _on_no_process(self, now_ms: float, instance: Instance) -> None:
        state = InstanceState.ABSENT if instance.wanted else InstanceState.STOPPED
        self._transition(now_ms, instance, state, "not running at the agent's start")
        if instance.wanted and not self.owner_of_start(instance.name):
            instance.restart_at_ms = now_ms

    def _adopt(self, now_ms: float, instance: Instance, version: str) -> None:
        instance.running_version = version
        instance.awaiting_first_check = True
        self._transition(now_ms, instance, InstanceState.STARTING, "adopted")
        instance.deadline_ms = now_ms + instance.settings.ready_timeout_ms
        if not instance.wanted and not self.owner_of_start(instance.name):
            # The agent may have been killed before or after it sent SIGTERM, so SIGTERM is sent again.
            self.stop(now_ms, instance, "adopted, and not wanted")

    # -- events of a process

    def on_health_check(self, now_ms: float, name: str, healthy: bool) -> None:
        """Handle the result of one health check."""
        instance = self.instances[name]
        instance.awaiting_first_check = False
        if instance.state == InstanceState.STARTING and healthy:
            self._transition(now_ms, instance, InstanceState.SERVING, "ready")
        elif instance.state == InstanceState.SERVING:
            self._on_check_while_serving(now_ms, instance, healthy)

    def _on_check_while_serving(self, now_ms: float, instance: Instance, healthy: bool) -> None:
        instance.failed_checks = 0 if healthy else instance.failed_checks + 1
        if instance.failed_checks >= MAX_FAILED_CHECKS:
            instance.failed_checks = 0
            self._transition(now_ms, instance, InstanceState.STARTING, "checks fail")
            instance.deadline_ms = now_ms + instance.settings.ready_timeout_ms
        elif healthy and now_ms - instance.state_since_ms > STABLE_AFTER_MS:
            instance.restarts = 0

    def on_process_exit(self, now_ms: float, name: str, status: int | None) -> None:
        """Handle the end of a process; `status` is None if not known, as for an adopted process."""
        instance = self.instances[name]
        instance.running_version = ""
        instance.awaiting_first_check = False
        outcome = "status unknown" if status is None else f"status {status}"
        if instance.state == InstanceState.DRAINING:
            self._transition(now_ms, instance, InstanceState.STOPPED, f"ended, {outcome}")
        elif instance.state == InstanceState.STOPPING:
            self._transition(now_ms, instance, InstanceState.STOPPED, "killed")
        elif instance.wanted:
            self._on_crash(now_ms, instance, f"exited by itself, {outcome}")
        else:
            self._transition(now_ms, instance, InstanceState.STOPPED, f"exited, {outcome}")

    def on_spawn_failed(self, now_ms: float, name: str, reason: str) -> None:
        """Handle a failure to start a process."""
        self._on_crash(now_ms, self.instances[name], f"could not be started: {reason}")

    def _on_crash(self, now_ms: float, instance: Instance, reason: str) -> None:
        instance.restarts += 1
        is_crash_loop = instance.restarts > MAX_CONSECUTIVE_RESTARTS
        is_step_to_do = self.owner_of_start(instance.name) is not None
        if is_step_to_do or not instance.settings.restart or is_crash_loop:
            if is_crash_loop:
                reason = f"{reason}, {MAX_CONSECUTIVE_RESTARTS} times in a row"
            self._transition(now_ms, instance, InstanceState.FAILED, reason)
            return
        self._transition(now_ms, instance, InstanceState.ABSENT, reason)
        backoff = RESTART_BACKOFF_MS * 2.0 ** (instance.restarts - 1)
        instance.restart_at_ms = now_ms + min(MAX_RESTART_BACKOFF_MS, backoff)

    # -- time

    def on_tick(self, now_ms: float) -> None:
        """Act on restarts and deadlines that are due; called several times a second."""
        for instance in self.instances.values():
            self._act_on_deadlines(now_ms, instance)

    def _act_on_deadlines(self, now_ms: float, instance: Instance) -> None:
        # An instance with a process is restarted after the process has ended; until then, its stop timeout
        # applies.
        may_restart = instance.wanted and not instance.has_process
        if may_restart and instance.restart_at_ms and now_ms >= instance.restart_at_ms:
            self.attempt_start(now_ms, instance, "restarted")
        elif now_ms < instance.deadline_ms:
            return
        elif instance.state == InstanceState.STARTING:
            self._on_ready_timeout(now_ms, instance)
        elif instance.state == InstanceState.DRAINING:
            self._on_stop_timeout(now_ms, instance)
        elif instance.state == InstanceState.STOPPING:
            instance.deadline_ms = now_ms + KILL_RETRY_INTERVAL_MS
            self.actions.kill(instance.name)

    def _on_ready_timeout(self, now_ms: float, instance: Instance) -> None:
        self.stop(now_ms, instance, "not ready in its time")
        if instance.wanted and not self.owner_of_start(instance.name):
            instance.restarts += 1
            backoff = RESTART_BACKOFF_MS * 2.0 ** min(MAX_READY_BACKOFF_EXPONENT, instance.restarts)
            instance.restart_at_ms = now_ms + instance.settings.stop_timeout_ms + backoff

    def _on_stop_timeout(self, now_ms: float, instance: Instance) -> None:
        instance.kill_count += 1
        self._transition(now_ms, instance, InstanceState.STOPPING, "did not end in its stop time")
        instance.deadline_ms = now_ms + KILL_RETRY_INTERVAL_MS
        rollout = self.rollout_of(instance.name)
        if rollout is not None and instance.name not in rollout.killed:
            rollout.killed.append(instance.name)
        self.actions.kill(instance.name)
        with contextlib.suppress(OSError):  # stores only a count; the kill must not depend on the store
            self.save(instance)

    # -- operations on an instance, for rollouts

    def take_over_start(self, now_ms: float, instance: Instance) -> None:
        """Schedule the start of a wanted instance that has no process, as its rollout starts it no more."""
        if instance.wanted and instance.state == InstanceState.ABSENT and not instance.restart_at_ms:
            instance.restart_at_ms = now_ms

    def attempt_start(self, now_ms: float, instance: Instance, reason: str) -> None:
        """Start an instance; if the store cannot record the start, try again later."""
        try:
            self.start(now_ms, instance, reason)
        except OSError as problem:
            instance.restart_at_ms = now_ms + STORE_RETRY_INTERVAL_MS
            instance.reason = f"the store failed: {problem}"

    def start(self, now_ms: float, instance: Instance, reason: str) -> None:
        """Start an instance's process if it has none. Raises OSError if the store cannot record the start."""
        if instance.has_process:
            return  # an instance must never have two processes
        instance.wanted = True
        instance.restart_at_ms = 0.0
        self.save(instance)
        instance.running_version = instance.version
        instance.deadline_ms = now_ms + instance.settings.ready_timeout_ms
        self._transition(now_ms, instance, InstanceState.STARTING, reason)
        self.actions.spawn(instance.name, instance.version)

    def stop(self, now_ms: float, instance: Instance, reason: str) -> None:
        """Begin to drain an instance; an instance without a process is stopped at once."""
        instance.restart_at_ms = 0.0
        if instance.state in (InstanceState.STARTING, InstanceState.SERVING):
            instance.deadline_ms = now_ms + instance.settings.stop_timeout_ms
            self._transition(now_ms, instance, InstanceState.DRAINING, reason)
            self.actions.terminate(instance.name)
        elif not instance.has_process:
            self._transition(now_ms, instance, InstanceState.STOPPED, reason)

    def save(self, instance: Instance) -> None:
        """Store an instance's record; OSError if the store cannot write."""
        self.actions.save_record(RecordKind.INSTANCE, instance.name, instance.to_record())

    def count_serving(self, names: set[str]) -> int:
        """Return how many of these instances serve by their last health check."""
        return sum(
            instance.state == InstanceState.SERVING and instance.name in names
            for instance in self.instances.values()
        )

    def in_groups_of(self, names: list[str]) -> set[str]:
        """Return the names of all instances in the groups of the named instances."""
        groups = {self.instances[name].settings.group for name in names}
        return {instance.name for instance in self.instances.values() if instance.settings.group in groups}

    def _transition(self, now_ms: float, instance: Instance, state: InstanceState, reason: str) -> None:
        if state != instance.state:
            self.actions.log_event(
                "instance_state_changed",
                instance=instance.name,
                was=str(instance.state),
                now=str(state),
                why=reason,
            )
            instance.state_since_ms = now_ms
        instance.state = state
        instance.reason = reason
