"""Messages between the coordinators of two agents: typed values and their encoded form. No state.

The kind is a field of the frame, outside the body. The encoded names and the order of the keys do not change,
as agents of different versions exchange them during a rolling upgrade; no other module uses them. Messages of
the replicated record are in `consensus_messages.py`.
"""

from typing import Any, ClassVar, TypeAlias

import msgspec

from vetchford.fleet.consensus_messages import MalformedMessageError, UnknownMessageError

RECORD_KIND = "book"  # kind of all messages of the replicated record

# By rollout id. Not validated on receipt, so that fields of later versions are passed on.
EncodedControlsByRollout: TypeAlias = dict[str, Any]


class ReportRequest(msgspec.Struct, frozen=True):
    """The leader requests a report from an agent, and sends it the controls and wait reasons."""

    KIND: ClassVar[str] = "look"

    number: int  # identifies the report and the orders based on it
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
    """What an agent is to do with one instance; values of type Any come unchecked from a tool."""

    id: str  # of the local rollout in which the agent carries out the step
    rollout_id: Any = msgspec.field(name="span")
    kind: str
    name: str  # of the instance
    minimum_ready_ms: Any = msgspec.field(name="soak")
    version: Any


class StepOrder(msgspec.Struct, frozen=True):
    """The leader orders an agent to carry out a committed step."""

    KIND: ClassVar[str] = "order"

    number: int  # of the report that the order is based on
    term: int
    revision: int
    step: Step = msgspec.field(name="act")


class ControlsUpdate(msgspec.Struct, frozen=True):
    """The controls of rollouts that an operator paused, resumed or aborted on the sending agent."""

    KIND: ClassVar[str] = "orders"

    controls: EncodedControlsByRollout = msgspec.field(name="orders")


class ForwardedRequest(msgspec.Struct, frozen=True):
    """A tool's request that only the leader can answer."""

    KIND: ClassVar[str] = "ask"

    ref: int
    request: Any
    waited: Any  # ms since the tool sent the request


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
    """Return the encoded body of a message."""
    encoded: dict[str, Any] = msgspec.to_builtins(message)
    return encoded


def decode_message(sender: str, kind: str, encoded: Any) -> CoordinatorMessage:
    """Decode the body of a message; ignore fields that this version does not know.

    Raises UnknownMessageError for an unknown kind, MalformedMessageError for a malformed body.
    """
    message_type = MESSAGE_TYPES.get(kind)
    if message_type is None:
        raise UnknownMessageError(kind)
    try:
        return msgspec.convert(encoded, message_type)
    except msgspec.ValidationError as problem:
        raise MalformedMessageError(sender, f"{kind}: {problem}") from None
