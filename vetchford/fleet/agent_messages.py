"""Requests of tools to one agent and its replies, as typed values and as encoded on the agent's socket.

On the socket, each message is one line with a JSON object. As agents and tools of different versions
communicate, the encoded names and the order of the fields do not change. Decoding does not check the types
of values; a value of a wrong type is refused where it is used.
"""

from typing import Any, TypeAlias

import msgspec

from vetchford.fleet.decoding import read_fields
from vetchford.fleet.rollout import RefusedError

ENCODED_KIND = "ask"  # the field that holds a request's kind
ENCODED_REFUSAL = "refused"  # the field that only a refusal has
DEFAULT_HISTORY_ENTRIES = 50

EncodedRequest: TypeAlias = dict[str, Any]
EncodedReply: TypeAlias = dict[str, Any]

# Exceptions raised for a request that lacks a field or holds a value of a wrong type.
MALFORMED = (TypeError, KeyError, ValueError, AttributeError)


class MalformedRequestError(RefusedError):
    """A request lacks a field or holds a value of a wrong type; `problem` is the exception raised."""

    def __init__(self, problem: Exception) -> None:
        """Initialize the error; `problem`: one of `MALFORMED`."""
        super().__init__(f"malformed request: {type(problem).__name__}: {problem}")
        self.problem = problem


class RolloutRequest(msgspec.Struct, frozen=True):
    """The rollout that a tool requests."""

    id: str
    kind: str  # a RolloutKind, not validated yet
    targets: list[str]  # names of instances; in a fleet their keys ("n1@east")
    version: str  # the new version of a roll; empty for other kinds
    start_interval_ms: float = msgspec.field(name="spacing")  # between starts of instances
    minimum_ready_ms: float = msgspec.field(name="soak")  # serving time before a step is done
    on_failure: str  # a FailurePolicy, not validated yet
    batch: int  # maximum number of instances in progress
    minimum_available: int = msgspec.field(name="floor")


# -- requests


class StatusRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="status"):
    """Return all instances and rollouts of the agent."""


class SubmitRequest(
    RolloutRequest, frozen=True, tag_field=ENCODED_KIND, tag="change", omit_defaults=True
):  # encoded by tools; agents decode it with `Rollout.from_request`, which has the defaults
    """Start a rollout, or return its plan if `dry_run` is set."""

    dry_run: bool = False


class PauseRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="pause"):
    """Start no further steps of a rollout until it is resumed."""

    id: str


class ResumeRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="resume"):
    """Continue a paused rollout."""

    id: str


class AbortRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="abort"):
    """End a rollout without completing or reverting it."""

    id: str


class HistoryRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="history", omit_defaults=True):
    """Return the newest entries of the history in the agent's store."""

    max_entries: int = msgspec.field(name="most", default=DEFAULT_HISTORY_ENTRIES)


class ExplainRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="explain"):
    """Return why an instance is in its state."""

    instance: str = msgspec.field(name="name")


class FindRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="find"):
    """Return the status of one rollout."""

    id: str


class FleetRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="across"):
    """Carry out a request to the whole fleet; `request` is an encoded request of `fleet_messages`."""

    request: EncodedRequest


ControlRequest: TypeAlias = PauseRequest | ResumeRequest | AbortRequest
FieldDecodedRequest: TypeAlias = (
    StatusRequest | ControlRequest | HistoryRequest | ExplainRequest | FindRequest
)
AgentRequest: TypeAlias = FieldDecodedRequest | SubmitRequest | FleetRequest


def encoded_kind(request_type: type[msgspec.Struct]) -> str:
    """Return the encoded kind of a request type."""
    return str(request_type.__struct_config__.tag)


FLEET_KIND = encoded_kind(FleetRequest)
SUBMIT_KIND = encoded_kind(SubmitRequest)
REQUEST_TYPES: dict[str, type[FieldDecodedRequest]] = {
    encoded_kind(request_type): request_type
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
# In the order in which the refusal of an unknown kind lists them.
REQUEST_KINDS = (encoded_kind(StatusRequest), SUBMIT_KIND, *list(REQUEST_TYPES)[1:])


# -- replies


class InstanceStatus(msgspec.Struct, frozen=True):
    """One instance in the reply to a `StatusRequest`."""

    name: str
    state: str  # an InstanceState of the agent's version
    version: str
    reason: str = msgspec.field(name="why")  # for the last transition
    group: str
    labels: list[str]
    wanted: bool
    state_age_ms: int = msgspec.field(name="for_ms")
    restarts: int
    kill_count: int = msgspec.field(name="killed")
    pid: int  # 0 if there is no process
    memory_kb: int
    rollout_id: str = msgspec.field(name="change")  # of its active rollout; empty if there is none


class RolloutStatus(msgspec.Struct, frozen=True):
    """The reply to requests that start, find, pause, resume or abort a rollout."""

    id: str
    kind: str
    state: str  # a RolloutState of the agent's version
    reason: str = msgspec.field(name="why")  # for the last transition
    steps: dict[str, str]  # StepState by instance name
    killed: list[str]  # names of instances that were killed at their stop timeout


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
    """One entry of the store's history."""

    at_s: float = msgspec.field(name="at")  # Unix time
    kind: str
    name: str
    body: dict[str, Any] | None  # None: the record was deleted


class HistoryReply(msgspec.Struct, frozen=True):
    """The reply to a `HistoryRequest`, the newest entry first."""

    entries: list[HistoryEntry] = msgspec.field(name="history")


class ExplainReply(msgspec.Struct, frozen=True):
    """The reply to an `ExplainRequest`."""

    explanation: str = msgspec.field(name="said")
    entries: list[HistoryEntry] = msgspec.field(name="history")


class RefusedReply(msgspec.Struct, frozen=True):
    """The reply to a request that was refused."""

    reason: str = msgspec.field(name=ENCODED_REFUSAL)


class UnknownReply(msgspec.Struct, frozen=True):
    """Shown by a tool in place of the reply of an agent that did not reply."""

    reason: str = msgspec.field(name="unknown")


AgentReply: TypeAlias = StatusReply | RolloutStatus | PlanReply | HistoryReply | ExplainReply | RefusedReply


# -- codec


def encode(message: msgspec.Struct) -> dict[str, Any]:
    """Return the encoded form of a request or reply."""
    encoded: dict[str, Any] = msgspec.to_builtins(message)
    return encoded


def submit_request(rollout: RolloutRequest, dry_run: bool = False) -> SubmitRequest:
    """Return the request that starts a rollout, or that asks for its plan."""
    return SubmitRequest(**msgspec.structs.asdict(rollout), dry_run=dry_run)


def decode_request(kind: str, encoded: EncodedRequest) -> FieldDecodedRequest:
    """Decode a request of a kind in `REQUEST_TYPES`. Raises KeyError for a missing field."""
    return read_fields(REQUEST_TYPES[kind], encoded)


def decode_status(encoded: EncodedReply) -> StatusReply:
    """Decode the reply to a `StatusRequest`. Raises KeyError for a missing field."""
    return StatusReply(
        instances=[read_fields(InstanceStatus, instance) for instance in encoded["instances"]],
        rollouts=[decode_rollout(rollout) for rollout in encoded["changes"]],
    )


def decode_rollout(encoded: EncodedReply) -> RolloutStatus:
    """Decode a rollout in a reply. Raises KeyError for a missing field."""
    return read_fields(RolloutStatus, encoded)


def decode_plan(encoded: EncodedReply) -> PlanReply:
    """Decode the reply to a dry run. Raises KeyError for a missing field."""
    return read_fields(PlanReply, encoded)


def decode_history(encoded: EncodedReply) -> HistoryReply:
    """Decode the reply to a `HistoryRequest`. Raises KeyError for a missing field."""
    return HistoryReply([read_fields(HistoryEntry, entry) for entry in encoded["history"]])


def decode_explanation(encoded: EncodedReply) -> ExplainReply:
    """Decode the reply to an `ExplainRequest`. Raises KeyError for a missing field."""
    return ExplainReply(encoded["said"], decode_history(encoded).entries)
