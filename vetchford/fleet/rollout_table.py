"""The rollouts of one agent: each change of one is on record before it takes effect."""

import contextlib
from typing import Any

from vetchford.fleet.rollout import RefusedError, Rollout, RolloutState, StepState
from vetchford.fleet.rollout_actions import RecordKind, RolloutActions

MAX_ENDED_ROLLOUTS = 50  # kept in the table; older ones are in the store's history


class RolloutTable:
    """Rollouts by id, in the order they were begun. Used by the thread that makes the decisions."""

    def __init__(self, actions: RolloutActions) -> None:
        """`actions`: writes the records."""
        self.actions = actions
        self.rollouts: dict[str, Rollout] = {}  # emptied by `prune`
        self.next_start_at_ms: dict[str, float] = {}  # ms; by id, removed as the rollout ends

    def restore(self, id: str, record: dict[str, Any]) -> None:
        """Take over a stored record."""
        self.rollouts[id] = Rollout.from_record(record)

    def add(self, rollout: Rollout) -> None:
        """Record a new rollout. Raises OSError if the store cannot write; then it has not begun."""
        self.save(rollout)
        self.rollouts[rollout.id] = rollout
        self.actions.note(
            "rollout_started", change=rollout.id, kind=rollout.kind, targets=len(rollout.targets)
        )

    def get(self, id: str) -> Rollout:
        """Return the rollout of this id; RefusedError if there is none."""
        if id not in self.rollouts:
            raise RefusedError(f"no change {id}")
        return self.rollouts[id]

    def rollout_of(self, instance: str) -> Rollout | None:
        """Return the rollout that has not ended and includes this instance; there is at most one."""
        for rollout in self.rollouts.values():
            if not rollout.ended and instance in rollout.steps:
                return rollout
        return None

    def save(self, rollout: Rollout) -> None:
        """Write the record; OSError if the store cannot."""
        self.actions.save_record(RecordKind.ROLLOUT, rollout.id, rollout.to_record())

    def transition(self, rollout: Rollout, state: RolloutState, reason: str) -> None:
        """Bring a rollout into another state. Raises OSError if the store cannot write.

        What is not on record has not been decided, except a pause: it holds, and is logged, all the same.
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
        self.actions.note(
            "rollout_state_changed",
            change=rollout.id,
            was=previous.name.lower(),
            now=rollout.state.name.lower(),
            why=rollout.reason,
        )

    def set_step(self, rollout: Rollout, instance: str, step: StepState) -> None:
        """Record the progress of one instance. OSError if the store cannot write; then nothing changes."""
        previous = rollout.steps[instance]
        rollout.steps[instance] = step
        try:
            self.save(rollout)
        except OSError:
            rollout.steps[instance] = previous
            raise

    def prune(self) -> None:
        """Drop the oldest of the ended rollouts."""
        ended = [rollout.id for rollout in self.rollouts.values() if rollout.ended]
        for id in ended[: max(0, len(ended) - MAX_ENDED_ROLLOUTS)]:
            with contextlib.suppress(OSError):  # it stays, and is dropped with the next
                self.actions.save_record(RecordKind.ROLLOUT, id, None)
                del self.rollouts[id]
