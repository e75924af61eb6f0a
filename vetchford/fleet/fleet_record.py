"""Content of the fleet's replicated record: members, voters, a log of their changes, and fleet rollouts.

Data and its codec; no decisions. The record is stored, and exchanged between agents of different versions, so
its encoded names must not change. They are defined in `FleetRollout.ENCODED_KEYS`, `FleetRecord` and the
values of the enums, and used in `fleet_status.py`, which passes the encoded record to tools. Keys of a later
version are kept unread.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, ClassVar

from vetchford.fleet.voter_changes import MAX_VOTERS

EncodedRecord = dict[str, Any]

PAUSE_ON_FAILURE = "pause"  # a value of `on_failure`, whose third value is "back"
CONTINUE_ON_FAILURE = "go_on"


class StepState(StrEnum):
    """Progress of a fleet rollout for one instance; the values are the encoded names."""

    PENDING = "pending"
    IN_PROGRESS = "out"  # the agent may have taken the instance out of service
    DONE = "done"
    FAILED = "lost"
    SKIPPED = "left"


class RolloutState(StrEnum):
    """State of a fleet rollout as a whole; the values are the encoded names."""

    RUNNING = "running"
    PAUSED = "paused"
    SUCCEEDED = "finished"
    FAILED = "broken"
    ABORTED = "aborted"


ENDED_STATES = frozenset((RolloutState.SUCCEEDED, RolloutState.FAILED, RolloutState.ABORTED))
UNFINISHED_STEPS = frozenset((StepState.PENDING, StepState.IN_PROGRESS))


def split_instance_key(key: str) -> tuple[str, str]:
    """Return the instance and the agent of an instance key such as "n1@east"."""
    instance, _, agent = key.rpartition("@")
    return instance, agent


def agent_of(key: str) -> str:
    """Return the agent of an instance key such as "n1@east"."""
    return split_instance_key(key)[1]


@dataclass(slots=True)
class FleetRollout:
    """A rollout over instances of several agents, with one step for each instance key ("n1@east").

    Durations are in ms.
    """

    ENCODED_KEYS: ClassVar[dict[str, str]] = {
        "id": "id",
        "kind": "kind",
        "version": "version",
        "batch": "batch",
        "floor": "minimum_available",
        "spacing": "start_interval_ms",
        "soak": "minimum_ready_ms",
        "on_failure": "on_failure",
        "state": "state",
        "why": "reason",
        "back": "rolling_back",
        "killed": "killed",
        "turned": "in_progress_at_rollback",
        "halts": "pauses",
        "groups": "groups",
        "steps": "steps",
        "tries": "attempts",
        "before": "previous_states",
    }

    id: str
    kind: str
    version: str
    batch: int  # maximum number of steps in progress at once
    minimum_available: int  # instances of `groups` that must serve at any time
    start_interval_ms: float  # between the starts of two steps
    minimum_ready_ms: float  # an instance must serve for this long before its step is done
    on_failure: str
    groups: list[str]
    steps: dict[str, StepState]
    attempts: dict[str, int]
    previous_states: dict[str, list[Any]]  # [version, wanted] of each instance before the rollout
    state: RolloutState = RolloutState.RUNNING
    reason: str = ""
    rolling_back: bool = False  # instances are returned to `previous_states`
    killed: list[str] = field(default_factory=list)  # instances that did not end within their stop timeout
    in_progress_at_rollback: list[str] = field(default_factory=list)  # steps; removed as they end
    pauses: dict[str, list[str]] = field(default_factory=dict)  # made by failed steps: [kind, reason] by id
    encoded: Mapping[str, Any] = field(default_factory=dict, repr=False)  # the form it was decoded from

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> FleetRollout:
        """Read the encoded form; KeyError if a key is missing. Copies the values that a rollout changes."""
        rollout = cls(**{name: encoded[key] for key, name in cls.ENCODED_KEYS.items()}, encoded=encoded)
        rollout.steps = dict(rollout.steps)
        rollout.attempts = dict(rollout.attempts)
        return rollout

    def encode(self) -> dict[str, Any]:
        """Return the encoded form, with the keys in the order of the form that was decoded."""
        values = {key: getattr(self, name) for key, name in self.ENCODED_KEYS.items()}
        return {key: values.get(key, value) for key, value in (self.encoded or values).items()}

    def copy(self) -> FleetRollout:
        """Return a copy whose changes do not affect this rollout."""
        return self.decode(self.encode())

    def is_ended(self) -> bool:
        """Return whether the rollout has reached a final state."""
        return self.state in ENDED_STATES

    def attempt_id(self, key: str) -> str:
        """Return the id of the local rollout for the current attempt at a step; agents run each id once."""
        return f"{self.id}/{split_instance_key(key)[0]}/{self.attempts[key]}"

    def step_kind(self, key: str) -> str:
        """Return the kind of the local rollout for one instance, also while the fleet rollout rolls back."""
        if not self.rolling_back:
            return self.kind
        was_wanted = self.previous_states[key][1]
        if not was_wanted:  # whatever the rollout did, the instance had no process before it
            return "stop"
        return "start" if self.kind == "stop" else self.kind

    def step_version(self, key: str) -> str:
        """Return the version that one instance is to have after its step; empty if the rollout is no roll."""
        if self.kind != "roll":
            return ""
        previous_version: str = self.previous_states[key][0]
        return previous_version if self.rolling_back else self.version


@dataclass(slots=True)
class FleetRecord:
    """Body of the replicated record."""

    members: dict[str, int]  # by name; the value (0, or the length of `log` at the admission + 1) is not read
    voters: dict[str, str]  # store identities, by name
    log: list[list[Any]]  # changes of members and voters: [action, name, operator or cause], the newest last
    rollouts: dict[str, FleetRollout]
    encoded: Mapping[str, Any] = field(default_factory=dict, repr=False)

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> FleetRecord:
        """Read the encoded form; KeyError if a key is missing."""
        rollouts = {id: FleetRollout.decode(rollout) for id, rollout in encoded["spans"].items()}
        return cls(encoded["members"], encoded["voters"], encoded["log"], rollouts, encoded)

    def encode(self) -> EncodedRecord:
        """Return the encoded form, with the keys in the order of the form that was decoded."""
        values = {
            "members": self.members,
            "voters": self.voters,
            "log": self.log,
            "spans": {id: rollout.encode() for id, rollout in self.rollouts.items()},
        }
        return {key: values.get(key, value) for key, value in (self.encoded or values).items()}

    def unfinished(self) -> list[FleetRollout]:
        """Return the rollouts that have not ended."""
        return [rollout for rollout in self.rollouts.values() if not rollout.is_ended()]


def founding_record(members: list[str]) -> EncodedRecord:
    """Return the record with which all agents of the same settings start for the first time."""
    names = sorted(members)
    voters = dict.fromkeys(names[:MAX_VOTERS], "")
    return FleetRecord(dict.fromkeys(names, 0), voters, [], {}).encode()
