"""What the fleet's replicated record says: members, voters, a log of their changes, and fleet rollouts.

Plain data and its codec; no decisions. The record is exchanged between agents of two versions and stored, so
its encoded words stay as they are. They appear in `FleetRollout.ENCODED_KEYS`, `FleetRecord` and the values
of the enums, and in `fleet_status.py`, which shows tools the record as it is. Keys of a later version are
carried on unread.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, ClassVar

from vetchford.fleet.voter_changes import MAX_VOTERS

EncodedRecord = dict[str, Any]

PAUSE_ON_FAILURE = "pause"  # of `on_failure`, whose third word is "back"
CONTINUE_ON_FAILURE = "go_on"


class StepState(StrEnum):
    """Where a fleet rollout stands with one instance; the values are the encoded words."""

    PENDING = "pending"
    IN_PROGRESS = "out"  # its agent may have taken it out of service
    DONE = "done"
    FAILED = "lost"
    SKIPPED = "left"


class RolloutState(StrEnum):
    """Where a fleet rollout stands; the values are the encoded words."""

    RUNNING = "running"
    PAUSED = "paused"
    SUCCEEDED = "finished"
    FAILED = "broken"
    ABORTED = "aborted"


ENDED_STATES = frozenset((RolloutState.SUCCEEDED, RolloutState.FAILED, RolloutState.ABORTED))
UNFINISHED_STEPS = frozenset((StepState.PENDING, StepState.IN_PROGRESS))


def split_instance_key(key: str) -> tuple[str, str]:
    """Instance and agent of "n1@east"."""
    instance, _, agent = key.rpartition("@")
    return instance, agent


def agent_of(key: str) -> str:
    """The agent of "n1@east"."""
    return split_instance_key(key)[1]


@dataclass(slots=True)
class FleetRollout:
    """A change over instances of several agents; durations in ms. Steps are by instance key ("n1@east")."""

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
        "back": "reverting",
        "killed": "killed",
        "turned": "overtaken",
        "halts": "pauses",
        "groups": "groups",
        "steps": "steps",
        "tries": "attempts",
        "before": "before",
    }

    id: str
    kind: str
    version: str
    batch: int  # most steps that are in progress at once
    minimum_available: int  # instances of `groups` that must serve at any time
    start_interval_ms: float  # between the starts of two steps
    minimum_ready_ms: float  # an instance must serve for this long before its step is done
    on_failure: str
    groups: list[str]
    steps: dict[str, StepState]
    attempts: dict[str, int]
    before: dict[str, list[Any]]  # version, and whether the instance was wanted, before the rollout
    state: RolloutState = RolloutState.RUNNING
    reason: str = ""
    reverting: bool = False  # instances go back to what they were before
    killed: list[str] = field(default_factory=list)  # those that did not end by themselves
    overtaken: list[str] = field(default_factory=list)  # in progress as the rollout began to revert
    pauses: dict[str, list[str]] = field(default_factory=dict)  # by failed steps: [kind, reason] by id
    encoded: Mapping[str, Any] = field(default_factory=dict, repr=False)  # what it was decoded from

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> FleetRollout:
        """Reads the encoded form; KeyError where it lacks a key. Shares nothing that a rollout changes."""
        rollout = cls(**{name: encoded[key] for key, name in cls.ENCODED_KEYS.items()}, encoded=encoded)
        rollout.steps = dict(rollout.steps)
        rollout.attempts = dict(rollout.attempts)
        return rollout

    def encode(self) -> dict[str, Any]:
        """The encoded form, with the keys in the order in which they came."""
        values = {key: getattr(self, name) for key, name in self.ENCODED_KEYS.items()}
        return {key: values.get(key, value) for key, value in (self.encoded or values).items()}

    def copy(self) -> FleetRollout:
        """One that may be changed apart."""
        return self.decode(self.encode())

    def is_ended(self) -> bool:
        """Whether it will never change again."""
        return self.state in ENDED_STATES

    def attempt_id(self, key: str) -> str:
        """The id of the rollout that an agent makes of one step, so that one attempt is never made twice."""
        return f"{self.id}/{split_instance_key(key)[0]}/{self.attempts[key]}"

    def step_kind(self, key: str) -> str:
        """What its agent is to do with one instance, also while the rollout reverts."""
        if not self.reverting:
            return self.kind
        if self.kind == "start":
            was_wanted = self.before[key][1]
            return "start" if was_wanted else "stop"
        return "start" if self.kind == "stop" else self.kind

    def step_version(self, key: str) -> str:
        """The version that one instance is to run; empty unless it is rolled to one."""
        if self.step_kind(key) != "roll":
            return ""
        version_before: str = self.before[key][0]
        return version_before if self.reverting else self.version


@dataclass(slots=True)
class FleetRecord:
    """The body of the replicated record."""

    members: dict[str, int]  # by name; the value is their place in the log
    voters: dict[str, str]  # the store identity of each
    log: list[list[Any]]  # changes of members and voters: [act, name, by whom or why], the newest last
    rollouts: dict[str, FleetRollout]
    encoded: Mapping[str, Any] = field(default_factory=dict, repr=False)

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> FleetRecord:
        """Reads the encoded form; KeyError where it lacks a key."""
        rollouts = {id: FleetRollout.decode(rollout) for id, rollout in encoded["spans"].items()}
        return cls(encoded["members"], encoded["voters"], encoded["log"], rollouts, encoded)

    def encode(self) -> EncodedRecord:
        """The encoded form, with the keys in the order in which they came."""
        values = {
            "members": self.members,
            "voters": self.voters,
            "log": self.log,
            "spans": {id: rollout.encode() for id, rollout in self.rollouts.items()},
        }
        return {key: values.get(key, value) for key, value in (self.encoded or values).items()}

    def unfinished(self) -> list[FleetRollout]:
        """The rollouts that have not ended."""
        return [rollout for rollout in self.rollouts.values() if not rollout.is_ended()]


def founding_record(members: list[str]) -> EncodedRecord:
    """The record that all agents with the same settings first start with."""
    names = sorted(members)
    voters = dict.fromkeys(names[:MAX_VOTERS], "")
    return FleetRecord(dict.fromkeys(names, 0), voters, [], {}).encode()
