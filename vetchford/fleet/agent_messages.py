"""Requests of tools to one agent and its replies: typed, and in the encoded form of its socket.

There, each is one JSON object a line. Agents and tools of different versions communicate, so the encoded
words and the order of the fields do not change. Values are not checked as they are decoded: one of a wrong
type is refused where it is used.
"""

from typing import Any, TypeAlias

import msgspec

from vetchford.fleet.decoding import read_fields
from vetchford.fleet.rollout import RefusedError

ENCODED_KIND = "ask"  # the field that holds the kind of a request
ENCODED_REFUSAL = "refused"  # the field by which a refusal is known
DEFAULT_HISTORY_ENTRIES = 50

EncodedRequest: TypeAlias = dict[str, Any]
EncodedReply: TypeAlias = dict[str, Any]

# What is raised where a request lacks a field, or a value is of a type that cannot be used.
MALFORMED = (TypeError, KeyError, ValueError, AttributeError)


class MalformedRequestError(RefusedError):
    """A request that lacks a field or holds a value of a wrong type; `problem` is what that raised."""

    def __init__(self, problem: Exception) -> None:
        """`problem`: one of `MALFORMED`."""
        super().__init__(f"a malformed command: {type(problem).__name__}: {problem}")
        self.problem = problem


class RolloutRequest(msgspec.Struct, frozen=True):
    """The rollout that a tool asks for."""

    id: str
    kind: str  # a RolloutKind, once it is validated
    targets: list[str]  # instances by name, in a fleet by key ("n1@east")
    version: str  # to roll to; empty for the other kinds
    start_interval_ms: float = msgspec.field(name="spacing")  # between the starts of two instances
    minimum_ready_ms: float = msgspec.field(name="soak")  # that one serves before its step is done
    on_failure: str  # a FailurePolicy, once it is validated
    batch: int  # instances in progress at once
    minimum_available: int = msgspec.field(name="floor")


# -- requests


class StatusRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="status"):
    """All instances and rollouts of the agent."""


class SubmitRequest(
    RolloutRequest, frozen=True, tag_field=ENCODED_KIND, tag="change", omit_defaults=True
):  # as tools send it; agents read it by `Rollout.from_request`, which knows the defaults
    """Begin a rollout, or with `dry_run` say what would be begun."""

    dry_run: bool = False


class PauseRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="pause"):
    """Begin nothing more for a rollout until it is resumed."""

    id: str


class ResumeRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="resume"):
    """Continue a paused rollout."""

    id: str


class AbortRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="abort"):
    """End a rollout where it is."""

    id: str


class HistoryRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="history", omit_defaults=True):
    """The newest records of the agent's store."""

    max_entries: int = msgspec.field(name="most", default=DEFAULT_HISTORY_ENTRIES)


class ExplainRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="explain"):
    """Why an instance is in its state."""

    instance: str = msgspec.field(name="name")


class FindRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="find"):
    """One rollout."""

    id: str


class FleetRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="across"):
    """Passed on to the agents of the fleet together; `request` is one of `fleet_messages`, encoded."""

    request: EncodedRequest


ControlRequest: TypeAlias = PauseRequest | ResumeRequest | AbortRequest
DecodedByFields: TypeAlias = StatusRequest | ControlRequest | HistoryRequest | ExplainRequest | FindRequest
AgentRequest: TypeAlias = DecodedByFields | SubmitRequest | FleetRequest


def kind_of(request_type: type[msgspec.Struct]) -> str:
    """Return the encoded kind of a type of request."""
    return str(request_type.__struct_config__.tag)


FLEET_KIND = kind_of(FleetRequest)
SUBMIT_KIND = kind_of(SubmitRequest)
REQUEST_TYPES: dict[str, type[DecodedByFields]] = {
    kind_of(request_type): request_type
    for request_type in (
        StatusRequest,
        PauseRequest,
        ResumeRequest,
        AbortRequest,
        HistoryRequest,
        ExplainRequest,
        FindRequest,
    )
}
# In the order in which a refusal names them.
REQUEST_KINDS = (kind_of(StatusRequest), SUBMIT_KIND, *list(REQUEST_TYPES)[1:])


# -- replies


class InstanceStatus(msgspec.Struct, frozen=True):
    """One instance in the reply to a `StatusRequest`."""

    name: str
    state: str  # an InstanceState of the agent's version
    version: str
    reason: str = msgspec.field(name="why")  # of its last transition
    group: str
    labels: list[str]
    wanted: bool
    state_age_ms: int = msgspec.field(name="for_ms")
    restarts: int
    kill_count: int = msgspec.field(name="killed")
    pid: int  # 0: no process
    memory_kb: int
    rollout_id: str = msgspec.field(name="change")  # that it is part of; empty: none


class RolloutStatus(msgspec.Struct, frozen=True):
    """The reply to requests that begin, find, pause, resume or abort a rollout."""

    id: str
    kind: str
    state: str  # a RolloutState of the agent's version
    reason: str = msgspec.field(name="why")  # of the last transition
    steps: dict[str, str]  # a StepState by instance
    killed: list[str]  # instances that outlived their stop timeout


class StatusReply(msgspec.Struct, frozen=True):
    """The reply to a `StatusRequest`."""

    instances: list[InstanceStatus]
    rollouts: list[RolloutStatus] = msgspec.field(name="changes")


class PlanReply(msgspec.Struct, frozen=True):
    """The reply to a `SubmitRequest` that is a dry run."""

    targets: list[str] = msgspec.field(name="plan")
    batch: int
    minimum_available: int = msgspec.field(name="floor")


class HistoryEntry(msgspec.Struct, frozen=True):
    """One record of the store's history."""

    at_s: float = msgspec.field(name="at")  # Unix time
    kind: str
    name: str
    body: dict[str, Any] | None  # None: it was dropped


class HistoryReply(msgspec.Struct, frozen=True):
    """The reply to a `HistoryRequest`, the newest entry first."""

    entries: list[HistoryEntry] = msgspec.field(name="history")


class ExplainReply(msgspec.Struct, frozen=True):
    """The reply to an `ExplainRequest`."""

    explanation: str = msgspec.field(name="said")
    entries: list[HistoryEntry] = msgspec.field(name="history")


class RefusedReply(msgspec.Struct, frozen=True):
    """The reply to any request that was not carried out."""

    reason: str = msgspec.field(name=ENCODED_REFUSAL)


class UnknownReply(msgspec.Struct, frozen=True):
    """What a tool shows in the place of the reply of an agent that did not reply."""

    reason: str = msgspec.field(name="unknown")


AgentReply: TypeAlias = StatusReply | RolloutStatus | PlanReply | HistoryReply | ExplainReply | RefusedReply


# -- codec


def encode(message: msgspec.Struct) -> dict[str, Any]:
    """Return the encoded form of a request or reply."""
    encoded: dict[str, Any] = msgspec.to_builtins(message)
    return encoded


def submit_request(rollout: RolloutRequest, dry_run: bool = False) -> SubmitRequest:
    """Return the request that begins a rollout, or that says what would be begun."""
    return SubmitRequest(**msgspec.structs.asdict(rollout), dry_run=dry_run)


def decode_request(kind: str, encoded: EncodedRequest) -> DecodedByFields:
    """Return a request of a kind in `REQUEST_TYPES`. Raises KeyError for a field that is missing."""
    return read_fields(REQUEST_TYPES[kind], encoded)


def decode_status(encoded: EncodedReply) -> StatusReply:
    """Return the reply to a `StatusRequest`. Raises KeyError for a field that is missing."""
    return StatusReply(
        instances=[read_fields(InstanceStatus, instance) for instance in encoded["instances"]],
        rollouts=[decode_rollout(rollout) for rollout in encoded["changes"]],
    )


def decode_rollout(encoded: EncodedReply) -> RolloutStatus:
    """Return a rollout in a reply. Raises KeyError for a field that is missing."""
    return read_fields(RolloutStatus, encoded)


def decode_plan(encoded: EncodedReply) -> PlanReply:
    """Return the reply to a dry run. Raises KeyError for a field that is missing."""
    return read_fields(PlanReply, encoded)


def decode_history(encoded: EncodedReply) -> HistoryReply:
    """Return the reply to a `HistoryRequest`. Raises KeyError for a field that is missing."""
    return HistoryReply([read_fields(HistoryEntry, entry) for entry in encoded["history"]])


def decode_explanation(encoded: EncodedReply) -> ExplainReply:
    """Return the reply to an `ExplainRequest`. Raises KeyError for a field that is missing."""
    return ExplainReply(encoded["said"], decode_history(encoded).entries)
