"""The worker pool's lines: parser and writer, free of sockets."""

import base64
import binascii
import json
import math
from typing import Any

from vetchford.protocol.receive_buffer import ReceiveBuffer

MOST_LINE = 65_536  # bytes; results of 4 KiB are 5.5 KB in base64, calls are not bounded by the page
MOST_NESTED = 32  # brackets in a line; the reader's stack is small

ENDS = {"complete": "completed", "error": "errored", "cancelled": "recalled", "unknown": "superseded"}


class BadLineError(Exception):
    """A line that can't be read; says why."""


def next_line(inbox: ReceiveBuffer) -> memoryview | None:
    ends = inbox.find(b"\n", MOST_LINE)
    return None if ends < 0 else inbox.take(ends, 1)


def decode(line: memoryview | bytes) -> tuple[str, dict[str, Any]]:
    """The name of a message, and its fields."""
    try:
        text = str(line, "utf-8")
        if text.count("[") + text.count("{") > MOST_NESTED:
            raise ValueError("nested too deep")
        message = json.loads(text)
    except (ValueError, RecursionError) as problem:
        raise BadLineError(f"no JSON: {type(problem).__name__}") from None
    if not isinstance(message, dict) or not isinstance(message.get("type"), str):
        raise BadLineError("no object with a type")
    return message["type"], message


def field(message: dict[str, Any], key: str, kinds: type | tuple[type, ...]) -> Any:
    value = message.get(key)
    if not isinstance(value, kinds) or isinstance(value, bool):
        raise BadLineError(f"field '{key}' is missing or of the wrong kind")
    return value


def took(message: dict[str, Any]) -> float:
    value = field(message, "took", (int, float))
    if not 0.0 <= value < 1e12:  # one wrong figure would spoil every mean it goes into
        raise BadLineError("field 'took' is no time")
    return float(value)


def finished_fields(message: dict[str, Any]) -> tuple[str, str, float, str]:
    """Id, outcome in the module's words, time taken in ms, result in base64."""
    state = field(message, "state", str)
    if state not in ENDS:
        raise BadLineError("field 'state' is no end of a run")
    data = message.get("data")
    if state == "complete" and not isinstance(data, str):
        raise BadLineError("field 'data' is missing")
    return field(message, "job", str), ENDS[state], took(message), data or ""


def blocked_fields(message: dict[str, Any]) -> tuple[str, int, bytes]:
    """Id, number of the notice, body of the call."""
    try:
        body = base64.b64decode(message.get("data") or "", validate=True)
    except (ValueError, TypeError, binascii.Error):
        raise BadLineError("field 'data' is no base64") from None
    return field(message, "job", str), field(message, "n", int), body


def notice_fields(name: str, message: dict[str, Any]) -> tuple[Any, ...]:
    if name == "chatter":
        return ()
    return finished_fields(message) if name == "finished" else blocked_fields(message)


def polled_fields(message: dict[str, Any]) -> tuple[str, list[float]]:
    gauges = field(message, "gauges", list)
    if not all(isinstance(value, int | float) and math.isfinite(value) for value in gauges):
        raise BadLineError("field 'gauges' holds something that is no number")
    return field(message, "ref", str), gauges


def bound_fields(message: dict[str, Any]) -> tuple[bool, float]:
    """Whether it started cold, and how long ago in ms."""
    return field(message, "state", str) == "chilly", took(message)


def bind(last: int) -> list[bytes]:
    return [b'{"type":"bind","n":%d}\n' % last]


def spawn(job: str, kind: str, data: str) -> list[bytes]:
    return [
        b'{"type":"spawn","job":"%b","kind":%b,"data":"' % (job.encode(), json.dumps(kind).encode()),
        data.encode(),
        b'"}\n',
    ]


def supply(job: str, reply: bytes) -> list[bytes]:
    return [b'{"type":"supply","job":"%b","data":"' % job.encode(), base64.b64encode(reply), b'"}\n']


def skip(job: str, notice: int) -> list[bytes]:
    return [b'{"type":"pass","job":"%b","n":%d}\n' % (job.encode(), notice)]


def poll(ref: str) -> list[bytes]:
    return [b'{"type":"poll","ref":"%b"}\n' % ref.encode()]
