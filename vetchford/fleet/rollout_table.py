"""The rollouts of one agent; each change of a rollout is stored before it takes effect."""

import contextlib
from typing import Any

from vetchford.fleet.rollout import STEPS_TO_DO, RefusedError, Rollout, RolloutState, StepState
from vetchford.fleet.rollout_actions import RecordKind, RolloutActions

MAX_ENDED_ROLLOUTS = 50  # kept in the table; the store's history has the older ones


class RolloutTable:
    """Rollouts by id, in the order in which they began. Only the agent's thread calls it."""

    def __init__(self, actions: RolloutActions) -> None:
        """Start empty; `actions` stores the records."""
        self.actions = actions
        self.rollouts: dict[str, Rollout] = {}  # bounded by `prune`
        self.next_start_at_ms: dict[str, float] = {}  # by id; removed as the rollout ends

    def restore(self, id: str, record: dict[str, Any]) -> None:
        """Load a stored rollout."""
        self.rollouts[id] = Rollout.from_record(record)

    def add(self, rollout: Rollout) -> None:
        """Store a new rollout. Raises OSError if the store cannot write; then the rollout has not begun."""
        self.save(rollout)
        self.rollouts[rollout.id] = rollout
        self.actions.log_event(
            "rollout_started", change=rollout.id, kind=rollout.kind, targets=len(rollout.targets)
        )

    def get(self, id: str) -> Rollout:
        """Return the rollout with this id; RefusedError if there is none."""
        if id not in self.rollouts:
            raise RefusedError(f"this agent knows no change with the id {id}")
        return self.rollouts[id]

    def rollout_of(self, instance: str) -> Rollout | None:
        """Return the unfinished rollout that includes this instance; there is at most one."""
        for rollout in self.rollouts.values():
            if not rollout.ended and instance in rollout.steps:
                return rollout
        return None

    def owner_of_start(self, instance: str) -> Rollout | None:
        """Return the unfinished rollout whose step still has to start this instance.

        None: the instance manager starts the instance, also if a rollout includes it whose step has ended.
        """
        rollout = self.rollout_of(instance)
        return rollout if rollout is not None and rollout.steps[instance] in STEPS_TO_DO else None

    def save(self, rollout: Rollout) -> None:
        """Store a rollout; OSError if the store cannot write."""
        self.actions.save_record(RecordKind.ROLLOUT, rollout.id, rollout.to_record())

    def transition(self, rollout: Rollout, state: RolloutState, reason: str) -> None:
        """Change the state of a rollout. Raises OSError if the store cannot write.

        A change that could not be stored is undone, except a pause: it stays in effect and is logged.
        """
        previous_state = rollout.state
        previous_reason = rollout.reason
        was_rolling_back = rollout.rolling_back
        rollout.state = state
        rollout.reason = reason
        rollout.rolling_back = was_rolling_back or state == RolloutState.ROLLING_BACK
        try:
            self.save(rollout)
        except OSError:
            if state == RolloutState.PAUSED:
                self._log_transition(rollout, previous_state)
            else:
                rollout.state = previous_state
                rollout.reason = previous_reason
                rollout.rolling_back = was_rolling_back
            raise
        self._log_transition(rollout, previous_state)
        if rollout.ended:
            self.next_start_at_ms.pop(rollout.id, None)

    def pause_without_record(self, rollout: Rollout, reason: str) -> None:
        """Pause a rollout although the store cannot write."""
        previous = rollout.state
        rollout.state = RolloutState.PAUSED
        rollout.reason = reason
        self._log_transition(rollout, previous)

    def _log_transition(self, rollout: Rollout, previous: RolloutState) -> None:
        self.actions.log_event(
            "rollout_state_changed",
            change=rollout.id,
            was=previous.name.lower(),
            now=rollout.state.name.lower(),
            why=rollout.reason,
        )

    def set_step(self, rollout: Rollout, instance: str, step: StepState) -> None:
        """Store the progress of one instance. OSError if the store cannot write; then nothing changes."""
        previous = rollout.steps[instance]
        rollout.steps[instance] = step
        try:
            self.save(rollout)
        except OSError:
            rollout.steps[instance] = previous
            raise

    def prune(self) -> None:
        """Drop the oldest ended rollouts, beyond `MAX_ENDED_ROLLOUTS`."""
        ended = [rollout.id for rollout in self.rollouts.values() if rollout.ended]
        for id in ended[: max(0, len(ended) - MAX_ENDED_ROLLOUTS)]:
            with contextlib.suppress(OSError):  # the rollout stays, and is dropped by a later call
                self.actions.save_record(RecordKind.ROLLOUT, id, None)
                del self.rollouts[id]
