"""Messages between the coordinators of two agents: typed values, and their encoded form.

A codec without state. The kind travels in the frame beside the body. The encoded words and the order of the
keys are those that agents of every version exchange during a rolling upgrade, so they stay as they are; each
appears here and nowhere else. Messages of the replicated record are in `consensus_messages.py`.
"""

from typing import Any, ClassVar, TypeAlias

import msgspec

from vetchford.fleet.consensus_messages import MalformedMessageError, UnknownMessageError

RECORD_KIND = "book"  # the kind of all messages of the replicated record

# By rollout; not checked as it arrives, as a field of a later version must be passed on.
EncodedControlsByRollout: TypeAlias = dict[str, Any]


class ReportRequest(msgspec.Struct, frozen=True):
    """The leader asks an agent for a report, and tells what it knows."""

    KIND: ClassVar[str] = "look"

    number: int  # by which the report and orders that rest on it are told apart
    term: int
    controls: EncodedControlsByRollout = msgspec.field(name="orders")
    wait_reasons: dict[str, str] = msgspec.field(name="said")


class ReportResponse(msgspec.Struct, frozen=True):
    """An agent's report."""

    KIND: ClassVar[str] = "seen"

    number: int
    term: int
    report: dict[str, Any]  # an `AgentReport`
    controls: EncodedControlsByRollout = msgspec.field(name="orders")


class Step(msgspec.Struct, frozen=True):
    """What an agent is to do with one instance; what a tool sent unchecked is converted where it is used."""

    id: str  # of the local rollout that the agent makes of it
    rollout_id: Any = msgspec.field(name="span")
    kind: str
    name: str  # of the instance
    minimum_ready_ms: Any = msgspec.field(name="soak")
    version: Any


class StepOrder(msgspec.Struct, frozen=True):
    """The leader orders a committed step."""

    KIND: ClassVar[str] = "order"

    number: int  # of the report that the order rests on
    term: int
    revision: int
    step: Step = msgspec.field(name="act")


class ControlsUpdate(msgspec.Struct, frozen=True):
    """An operator has paused, resumed or aborted a rollout on the sender."""

    KIND: ClassVar[str] = "orders"

    controls: EncodedControlsByRollout = msgspec.field(name="orders")


class ForwardedRequest(msgspec.Struct, frozen=True):
    """A tool's request that only the leader can answer."""

    KIND: ClassVar[str] = "ask"

    ref: int
    request: Any
    waited: Any  # ms since the tool asked


class ForwardedAnswer(msgspec.Struct, frozen=True):
    """The leader's answer to a `ForwardedRequest`."""

    KIND: ClassVar[str] = "told"

    ref: int
    answer: Any


CoordinatorMessage: TypeAlias = (
    ReportRequest | ReportResponse | StepOrder | ControlsUpdate | ForwardedRequest | ForwardedAnswer
)

MESSAGE_TYPES: dict[str, type[CoordinatorMessage]] = {
    message_type.KIND: message_type
    for message_type in (
        ReportRequest,
        ReportResponse,
        StepOrder,
        ControlsUpdate,
        ForwardedRequest,
        ForwardedAnswer,
    )
}


def encode_message(message: CoordinatorMessage) -> dict[str, Any]:
    """The encoded body of a message."""
    encoded: dict[str, Any] = msgspec.to_builtins(message)
    return encoded


def decode_message(sender: str, kind: str, encoded: Any) -> CoordinatorMessage:
    """The typed form of a message; fields that this version does not know are ignored.

    UnknownMessageError for a kind of another version, MalformedMessageError for a body that can't be read.
    """
    message_type = MESSAGE_TYPES.get(kind)
    if message_type is None:
        raise UnknownMessageError(kind)
    try:
        return msgspec.convert(encoded, message_type)
    except msgspec.ValidationError as problem:
        raise MalformedMessageError(sender, f"{kind}: {problem}") from None
