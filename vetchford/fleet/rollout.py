"""Record of one rollout: an operation (start, stop, restart, roll) over instances of one agent.

The record has everything that is needed to continue the rollout and is stored before each action, so that an
agent that was killed continues from it. This module also converts between the record's fields and their names
in tools' requests and stored records, which agents of other versions read.
"""

import copy
from dataclasses import dataclass, field, fields
from enum import StrEnum
from typing import Any

from vetchford.errors import VetchfordError


class RolloutKind(StrEnum):
    """Operation on each instance."""

    START = "start"
    STOP = "stop"
    RESTART = "restart"
    ROLL = "roll"  # restart with another version


class FailurePolicy(StrEnum):
    """Reaction to the failure of an instance."""

    PAUSE = "pause"
    ROLL_BACK = "back"
    CONTINUE = "go_on"


class RolloutState(StrEnum):
    """The state of a rollout as a whole."""

    RUNNING = "running"
    PAUSED = "paused"
    ROLLING_BACK = "back"
    FINISHED = "finished"
    FAILED = "broken"  # an instance failed, or everything was rolled back
    ABORTED = "aborted"


class StepState(StrEnum):
    """The progress of one instance within a rollout."""

    PENDING = "pending"
    OUT = "out"  # out of service: draining, or about to start
    STARTING = "coming"
    SOAKING = "soaking"  # serving, for less than the minimum ready time
    DONE = "done"
    FAILED = "lost"


KINDS = tuple(RolloutKind)
FAILURE_POLICIES = tuple(FailurePolicy)
ACTIVE_STATES = frozenset((RolloutState.RUNNING, RolloutState.ROLLING_BACK))
ENDED_STATES = frozenset((RolloutState.FINISHED, RolloutState.FAILED, RolloutState.ABORTED))
STEPS_IN_PROGRESS = frozenset((StepState.OUT, StepState.STARTING, StepState.SOAKING))
STEPS_ENDED = frozenset((StepState.DONE, StepState.FAILED))
STEPS_TO_DO = STEPS_IN_PROGRESS | {StepState.PENDING}
"""Steps whose rollout starts the instance; in all other cases the instance manager does."""

# Names of these fields in requests and stored records, where they differ.
ENCODED_NAMES = {
    "minimum_available": "floor",
    "start_spacing_ms": "spacing",
    "minimum_ready_ms": "soak",
    "previous_versions": "before",
    "previously_wanted": "was_up",
    "reason": "why",
    "rolling_back": "back",
}
FIELD_NAMES = {encoded: name for name, encoded in ENCODED_NAMES.items()}


class RefusedError(VetchfordError):
    """A request that was refused; `reason` says why."""

    def __init__(self, reason: str) -> None:
        """Make the error; `reason` is shown to the operator unchanged."""
        super().__init__(reason)
        self.reason = reason


@dataclass(slots=True)
class Rollout:
    """One operation over `targets`, its parameters and its progress. Durations in ms."""

    id: str
    kind: str  # a RolloutKind once the request is validated
    targets: list[str]
    version: str = ""  # to roll to; of a stop, for the next start (empty: unchanged)
    batch: int = 1  # maximum number of instances in progress at once
    minimum_available: int = 0  # instances of the targets' groups that must serve at any time
    start_spacing_ms: float = 0.0  # between two starts, as each new process is slow at first
    minimum_ready_ms: float = 2000.0  # for which an instance must serve before its step is done
    on_failure: str = FailurePolicy.PAUSE  # a FailurePolicy once the request is validated
    state: RolloutState = RolloutState.RUNNING
    steps: dict[str, StepState] = field(default_factory=dict)
    previous_versions: dict[str, str] = field(default_factory=dict)  # to roll back to
    previously_wanted: dict[str, bool] = field(default_factory=dict)
    reason: str = ""  # of the last transition
    killed: list[str] = field(default_factory=list)  # instances that exceeded their stop timeout
    rolling_back: bool = False  # keeps the direction while the rollout is paused

    @property
    def active(self) -> bool:
        """Whether the rollout advances or rolls back."""
        return self.state in ACTIVE_STATES

    @property
    def ended(self) -> bool:
        """Whether the rollout has reached a final state."""
        return self.state in ENDED_STATES

    def instances_at(self, *steps: StepState) -> list[str]:
        """Return the instances whose step is one of `steps`."""
        return [name for name, step in self.steps.items() if step in steps]

    def to_record(self) -> dict[str, Any]:
        """Return the stored form, which later changes of the rollout do not affect.

        Copies one level only, as no value nests deeper and this is called for each step of each instance.
        """
        record = {
            ENCODED_NAMES.get(item.name, item.name): copy.copy(getattr(self, item.name))
            for item in fields(self)
        }
        if not self.rolling_back:
            del record["back"]  # so that versions older than this field can read the record
        return record

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> "Rollout":
        """Read the stored form, also of versions that did not store `back`."""
        rollout = cls.from_request({"back": record["state"] == RolloutState.ROLLING_BACK, **record})
        rollout.state = RolloutState(rollout.state)
        rollout.steps = {name: StepState(step) for name, step in rollout.steps.items()}
        return rollout

    @classmethod
    def from_request(cls, request: dict[str, Any]) -> "Rollout":
        """Read the fields of a tool's request. Raises TypeError for a missing or unknown field."""
        for encoded in request:
            if encoded in ENCODED_NAMES:
                raise TypeError(f"Rollout.__init__() got an unexpected keyword argument '{encoded}'")
        return cls(**{FIELD_NAMES.get(encoded, encoded): value for encoded, value in request.items()})
