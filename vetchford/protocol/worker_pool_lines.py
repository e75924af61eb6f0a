"""Codec of the worker pool's protocol: one JSON object a line, in both directions.

Formats are defined by the operators' protocol specification. The pool numbers its notices and repeats them on
a new link. Commands have no numbers; the answer to a later `poll` confirms them.
"""

import base64
import binascii
import json
import math
from typing import Any, NamedTuple

from vetchford.admission.request import Outcome
from vetchford.errors import VetchfordError
from vetchford.protocol.line_scanner import TOO_LONG, LineScanner, MalformedLineError
from vetchford.protocol.receive_buffer import ReceiveBuffer

MAX_LINE_BYTES = 65_536  # of a line that is parsed whole; of a longer one, short fields are kept
MAX_LONG_LINE_FIELD_BYTES = 8192  # results of 4 KiB are 5.5 KB in base64
MAX_BRACKETS = 32  # in a line that is parsed whole: deep nesting would overflow the stack of the JSON parser
MAX_DURATION_MS = 1e12

FINISHED = "finished"
BLOCKED = "blocked"
CHATTER = "chatter"
NOTICES = (FINISHED, BLOCKED, CHATTER)  # the types of messages that the pool numbers
POLLED = "polled"
BOUND = "bound"
UNKNOWN = "unknown"
SPAWN = "spawn"  # a command that an `unknown` message may refer to
RUN_OUTCOMES = {  # outcome of a run by its state on the wire
    "complete": Outcome.COMPLETED,
    "error": Outcome.ERRORED,
    "cancelled": Outcome.RECALLED,
    "unknown": Outcome.SUPERSEDED,
}
FIELDS = frozenset(("type", "n", "job", "state", "took", "data", "ref", "gauges"))
MAX_LOGGED_COMMAND = 20  # characters
MAX_LOGGED_REQUEST_ID = 64  # characters


class BadLineError(VetchfordError):
    """A line of the pool is invalid; the lines after it can still be read."""


class UnknownMessageError(BadLineError):
    """A line has an unknown type."""

    def __init__(self, message_type: str) -> None:
        """Create the error for a line of type `message_type`."""
        super().__init__("field 'type' is not a known message type")
        self.message_type = message_type


class Message(NamedTuple):
    """One line of the pool, decoded but not checked."""

    type: str
    fields: dict[str, Any]  # `TOO_LONG` for the long fields of a long line
    long_line_bytes: int = 0  # length of the line if it is longer than MAX_LINE_BYTES, else 0


class RunEnded(NamedTuple):
    """A run has ended."""

    request_id: str
    outcome: Outcome
    duration_ms: float
    content: str  # result of the run, in base64


class RunBlocked(NamedTuple):
    """A run waits for the reply to its dependency call."""

    request_id: str
    notice_number: int
    body: bytes | None  # body of the call; None if it can't be read, so that the call can't be made


class PollAnswer(NamedTuple):
    """The answer to a poll; it confirms every command that was sent before the poll."""

    reference: str  # repeated from the poll
    gauges: list[float]


class PoolBound(NamedTuple):
    """The link to the pool is established."""

    is_cold: bool  # whether the pool started cold
    started_ms_ago: float


class CommandUnknown(NamedTuple):
    """The pool did not execute a command."""

    command: str
    request_id: str


# -- decoding


def next_line(buffer: ReceiveBuffer) -> memoryview | None:
    """Return the next line, valid until more is received; None while it is incomplete.

    `WorkerPoolStream` handles lines that are longer.

    Raises:
        UnreadableStreamError: The line is longer than MAX_LINE_BYTES.
    """
    line_end = buffer.find(b"\n", MAX_LINE_BYTES)
    return None if line_end < 0 else buffer.take(line_end, 1)


def decode(line: memoryview | bytes) -> Message:
    """Return the message in a line.

    Raises:
        BadLineError: The line is not a JSON object with a type.
    """
    try:
        text = str(line, "utf-8")
        if text.count("[") + text.count("{") > MAX_BRACKETS:  # nested deeply, or brackets in a string
            return _scan(bytes(line))
        fields = json.loads(text)
    except (ValueError, RecursionError, MalformedLineError) as error:
        raise BadLineError(f"not valid JSON: {type(error).__name__}") from None
    return message_of(fields)


def message_of(fields: Any, long_line_bytes: int = 0) -> Message:
    """Return the message with these fields.

    Raises:
        BadLineError: `fields` is not an object with a type.
    """
    if not isinstance(fields, dict) or not isinstance(fields.get("type"), str):
        raise BadLineError("message must be an object with a string in field 'type'")
    return Message(fields["type"], fields, long_line_bytes)


def _scan(line: bytes) -> Message:
    scanner = LineScanner(FIELDS, MAX_LONG_LINE_FIELD_BYTES)
    scanner.feed(line)
    return message_of(scanner.finish())


def _field(fields: dict[str, Any], key: str, kinds: type | tuple[type, ...]) -> Any:
    value = fields.get(key)
    if not isinstance(value, kinds) or isinstance(value, bool):
        raise BadLineError(f"field '{key}' is missing or has the wrong type")
    return value


def _duration(fields: dict[str, Any]) -> float:
    value = _field(fields, "took", (int, float))
    if not 0.0 <= value < MAX_DURATION_MS:  # one infinite value would make every average infinite
        raise BadLineError(f"field 'took' must be 0 or more and below {MAX_DURATION_MS:g}")
    return float(value)


def decode_notice(notice_type: str, fields: dict[str, Any]) -> RunEnded | RunBlocked | None:
    """Return the content of a notice; None for a notice without content.

    Raises:
        BadLineError: A field is missing or wrong.
    """
    if notice_type == CHATTER:
        return None
    return decode_run_ended(fields) if notice_type == FINISHED else decode_run_blocked(fields)


def decode_run_ended(fields: dict[str, Any]) -> RunEnded:
    """Return the run that a `finished` notice reports as ended.

    Raises:
        BadLineError: A field is missing or wrong.
    """
    state = _field(fields, "state", str)
    if state not in RUN_OUTCOMES:
        raise BadLineError("field 'state' is not a known outcome of a run")
    data = fields.get("data")
    if data is TOO_LONG:  # a replay of the notice would be as long
        return RunEnded(_field(fields, "job", str), Outcome.ERRORED, _duration(fields), "")
    if state == "complete" and not isinstance(data, str):
        raise BadLineError("field 'data' is missing or is not a string")
    return RunEnded(_field(fields, "job", str), RUN_OUTCOMES[state], _duration(fields), data or "")


def decode_run_blocked(fields: dict[str, Any]) -> RunBlocked:
    """Return the dependency call that a `blocked` notice asks for.

    Raises:
        BadLineError: A field is missing or wrong.
    """
    if fields.get("data") is TOO_LONG:
        return RunBlocked(_field(fields, "job", str), _field(fields, "n", int), None)
    try:
        body = base64.b64decode(fields.get("data") or "", validate=True)
    except (ValueError, TypeError, binascii.Error):
        raise BadLineError("field 'data' is not valid base64") from None
    return RunBlocked(_field(fields, "job", str), _field(fields, "n", int), body)


def notice_number(fields: dict[str, Any]) -> int | None:
    """Return the number of a notice; None if it has none."""
    number = fields.get("n")
    return number if isinstance(number, int) else None


def replacement_for_invalid(notice_type: str, fields: dict[str, Any]) -> RunEnded | RunBlocked | None:
    """Return what is known from a notice whose fields are invalid: its run has ended, or is blocked."""
    request_id = str(fields.get("job"))
    if notice_type == FINISHED:
        return RunEnded(request_id, Outcome.ERRORED, 0.0, "")
    if notice_type == BLOCKED:
        return RunBlocked(request_id, notice_number(fields) or 0, None)
    return None


def decode_command_unknown(fields: dict[str, Any]) -> CommandUnknown:
    """Return the command that an `unknown` message refers to, cut to the logged length; never fails."""
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
        raise BadLineError("field 'gauges' holds a value that is not a finite number")
    return PollAnswer(_field(fields, "ref", str), gauges)


def decode_pool_bound(fields: dict[str, Any]) -> PoolBound:
    """Return the state of the pool from the `bound` message that opens a link.

    Raises:
        BadLineError: A field is missing or wrong.
    """
    return PoolBound(_field(fields, "state", str) == "chilly", _duration(fields))


# -- encoding: each function returns the parts of one line, for a gathered write


def bind(last_notice: int) -> list[bytes]:
    """Encode the first command on a link, which asks the pool to repeat all notices after `last_notice`."""
    return [b'{"type":"bind","n":%d}\n' % last_notice]


def spawn(request_id: str, method: str, content: str) -> list[bytes]:
    """Encode the start of a run; `content` is the content of the request in base64."""
    return [
        b'{"type":"spawn","job":"%b","kind":%b,"data":"' % (request_id.encode(), json.dumps(method).encode()),
        content.encode(),
        b'"}\n',
    ]


def supply(request_id: str, reply: bytes) -> list[bytes]:
    """Encode the reply to the dependency call that a run waits for."""
    return [b'{"type":"supply","job":"%b","data":"' % request_id.encode(), base64.b64encode(reply), b'"}\n']


def skip(request_id: str, notice_number: int) -> list[bytes]:
    """Encode the command to continue a run without the reply to the call of notice `notice_number`."""
    return [b'{"type":"pass","job":"%b","n":%d}\n' % (request_id.encode(), notice_number)]


def poll(reference: str) -> list[bytes]:
    """Encode a poll of the gauges; the answer repeats `reference`."""
    return [b'{"type":"poll","ref":"%b"}\n' % reference.encode()]
