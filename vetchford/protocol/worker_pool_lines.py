"""Codec of the worker pool's protocol: one JSON object a line, in both directions.

Forms and words are those of the operators' protocol page. The pool numbers its notices and tells them again
on a new link; commands have no numbers, and are confirmed by the answer to a later `poll`.
"""

import base64
import binascii
import json
import math
from typing import Any, NamedTuple

from vetchford.admission.request import Outcome
from vetchford.errors import VetchfordError
from vetchford.protocol.receive_buffer import ReceiveBuffer

MAX_LINE_BYTES = 65_536  # results of 4 KiB are 5.5 KB in base64; the page sets no bound on calls
MAX_BRACKETS = 32  # in a line: the stack of the JSON parser is small
MAX_DURATION_MS = 1e12

FINISHED = "finished"
BLOCKED = "blocked"
CHATTER = "chatter"
NOTICES = (FINISHED, BLOCKED, CHATTER)  # the types of messages that the pool numbers
POLLED = "polled"
BOUND = "bound"
UNKNOWN = "unknown"
SPAWN = "spawn"  # the command that an `unknown` message may be about
RUN_OUTCOMES = {  # by the state of the run on the wire
    "complete": Outcome.COMPLETED,
    "error": Outcome.ERRORED,
    "cancelled": Outcome.RECALLED,
    "unknown": Outcome.SUPERSEDED,
}
MAX_LOGGED_COMMAND = 20  # characters
MAX_LOGGED_REQUEST_ID = 64  # characters


class BadLineError(VetchfordError):
    """A line of the pool can't be understood; the stream goes on behind it."""


class UnknownMessageError(BadLineError):
    """A line has a type that the protocol does not know."""

    def __init__(self, message_type: str) -> None:
        """Name the type."""
        super().__init__("field 'type' names no message")
        self.message_type = message_type


class Message(NamedTuple):
    """One line of the pool."""

    type: str
    fields: dict[str, Any]


class RunEnded(NamedTuple):
    """A run is over."""

    request_id: str
    outcome: Outcome
    duration_ms: float
    content: str  # the result, in base64


class RunBlocked(NamedTuple):
    """A run waits for the reply to a call of the records service."""

    request_id: str
    notice_number: int
    body: bytes  # of the call


class PollAnswer(NamedTuple):
    """The answer to a poll: every command before that poll has arrived."""

    reference: str  # as it stood in the poll
    gauges: list[float]


class PoolBound(NamedTuple):
    """A link stands."""

    is_cold: bool  # whether the pool started cold
    started_ms_ago: float


class CommandUnknown(NamedTuple):
    """The pool did not carry out a command."""

    command: str
    request_id: str


# -- decoding


def next_line(buffer: ReceiveBuffer) -> memoryview | None:
    """Return the next line, valid until more is received; None while it is not whole.

    Raises:
        UnreadableStreamError: It is too long.
    """
    line_end = buffer.find(b"\n", MAX_LINE_BYTES)
    return None if line_end < 0 else buffer.take(line_end, 1)


def decode(line: memoryview | bytes) -> Message:
    """Return the message that a line holds.

    Raises:
        BadLineError: It is no object with a type.
    """
    try:
        text = str(line, "utf-8")
        if text.count("[") + text.count("{") > MAX_BRACKETS:
            raise ValueError("nested too deep")
        message = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise BadLineError(f"no JSON: {type(error).__name__}") from None
    if not isinstance(message, dict) or not isinstance(message.get("type"), str):
        raise BadLineError("no object with a type")
    return Message(message["type"], message)


def _field(fields: dict[str, Any], key: str, kinds: type | tuple[type, ...]) -> Any:
    value = fields.get(key)
    if not isinstance(value, kinds) or isinstance(value, bool):
        raise BadLineError(f"field '{key}' is missing or of the wrong kind")
    return value


def _duration(fields: dict[str, Any]) -> float:
    value = _field(fields, "took", (int, float))
    if not 0.0 <= value < MAX_DURATION_MS:  # one infinite value would spoil every average it goes into
        raise BadLineError("field 'took' is no time")
    return float(value)


def decode_notice(notice_type: str, fields: dict[str, Any]) -> RunEnded | RunBlocked | None:
    """Return what a notice says; None for one that says nothing.

    Raises:
        BadLineError: A field is missing or wrong.
    """
    if notice_type == CHATTER:
        return None
    return decode_run_ended(fields) if notice_type == FINISHED else decode_run_blocked(fields)


def decode_run_ended(fields: dict[str, Any]) -> RunEnded:
    """Return the end of a run that a `finished` notice reports.

    Raises:
        BadLineError: A field is missing or wrong.
    """
    state = _field(fields, "state", str)
    if state not in RUN_OUTCOMES:
        raise BadLineError("field 'state' is no end of a run")
    data = fields.get("data")
    if state == "complete" and not isinstance(data, str):
        raise BadLineError("field 'data' is missing")
    return RunEnded(_field(fields, "job", str), RUN_OUTCOMES[state], _duration(fields), data or "")


def decode_run_blocked(fields: dict[str, Any]) -> RunBlocked:
    """Return the call that a `blocked` notice asks for.

    Raises:
        BadLineError: A field is missing or wrong.
    """
    try:
        body = base64.b64decode(fields.get("data") or "", validate=True)
    except (ValueError, TypeError, binascii.Error):
        raise BadLineError("field 'data' is no base64") from None
    return RunBlocked(_field(fields, "job", str), _field(fields, "n", int), body)


def notice_number(fields: dict[str, Any]) -> int | None:
    """Return the number of a notice; None where it has none."""
    number = fields.get("n")
    return number if isinstance(number, int) else None


def unreadable_end(fields: dict[str, Any]) -> RunEnded:
    """Return the end of the run that an unreadable `finished` notice is about: it failed."""
    return RunEnded(str(fields.get("job")), Outcome.ERRORED, 0.0, "")


def decode_command_unknown(fields: dict[str, Any]) -> CommandUnknown:
    """Return which command an `unknown` message is about, cut to what is logged; never fails."""
    command = str(fields.get("state"))
    request_id = str(fields.get("job"))
    return CommandUnknown(command[:MAX_LOGGED_COMMAND], request_id[:MAX_LOGGED_REQUEST_ID])


def decode_poll_answer(fields: dict[str, Any]) -> PollAnswer:
    """Return the answer to a poll.

    Raises:
        BadLineError: A field is missing or wrong.
    """
    gauges = _field(fields, "gauges", list)
    if not all(isinstance(value, int | float) and math.isfinite(value) for value in gauges):
        raise BadLineError("field 'gauges' holds something that is no number")
    return PollAnswer(_field(fields, "ref", str), gauges)


def decode_pool_bound(fields: dict[str, Any]) -> PoolBound:
    """Return that a link is open.

    Raises:
        BadLineError: A field is missing or wrong.
    """
    return PoolBound(_field(fields, "state", str) == "chilly", _duration(fields))


# -- encoding: each function returns the parts of one line, for a gathered write


def bind(last_notice: int) -> list[bytes]:
    """Encode the first command on a link: notices behind `last_notice` are to be told again."""
    return [b'{"type":"bind","n":%d}\n' % last_notice]


def spawn(job: str, kind: str, data: str) -> list[bytes]:
    """Encode the start of a run; `kind` is the method of the request, `data` its content in base64."""
    return [
        b'{"type":"spawn","job":"%b","kind":%b,"data":"' % (job.encode(), json.dumps(kind).encode()),
        data.encode(),
        b'"}\n',
    ]


def supply(job: str, reply: bytes) -> list[bytes]:
    """Encode the reply to the call that a run waits for."""
    return [b'{"type":"supply","job":"%b","data":"' % job.encode(), base64.b64encode(reply), b'"}\n']


def skip(job: str, notice_number: int) -> list[bytes]:
    """Encode that a run goes on without the reply to the call of that notice."""
    return [b'{"type":"pass","job":"%b","n":%d}\n' % (job.encode(), notice_number)]


def poll(reference: str) -> list[bytes]:
    """Encode a poll of the gauges; its answer repeats the reference."""
    return [b'{"type":"poll","ref":"%b"}\n' % reference.encode()]
