"""JSON-RPC 2.0 behind heads of `Content-Length`, as balancers speak it; free of sockets."""

import base64
import binascii
import json
import math
from typing import Any

from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError

MOST_HEAD = 1024  # bytes; one short line is expected
MOST_BODY = 8192  # bytes; 2 KiB in base64 are 2,732, the other fields a few hundred
MOST_CONTENT = 2048  # bytes of a task's body
MOST_RAM = 2000.0  # KB that a task may book, by the page
DOOR_PAST = 120_000.0  # ms: far over any time limit and any pause of a machine
DOOR_AHEAD = 1000.0  # ms: both clocks are the same machine's; more would give a task time that it hasn't
MOST_NESTED = 32  # brackets in a body; the messages need two, and the parser's stack is small

PARSE_ERROR, INVALID_REQUEST, METHOD_NOT_FOUND, INVALID_PARAMS = -32700, -32600, -32601, -32602
REJECTED, FAILED = -32050, -32051  # FAILED promises nothing; any code beside REJECTED says so
CLOSING = b'{"jsonrpc":"2.0","method":"closing"}'


class BadMessageError(Exception):
    """One message is wrong, the stream goes on: `code`, and the id where one could be read."""

    def __init__(self, code: int, text: str, rpc_id: int | str | None = None) -> None:
        super().__init__(text)
        self.code, self.rpc_id = code, rpc_id


def next_body(inbox: ReceiveBuffer) -> memoryview | None:
    """The next whole body, in place; None until more is read."""
    ends = inbox.find(b"\r\n\r\n", MOST_HEAD)
    if ends < 0:
        return None
    length = None
    for line in bytes(inbox.view[inbox.start : ends]).split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if not colon:
            raise UnreadableStreamError("a line of a head is no field")
        if name.strip().lower() != b"content-length":
            continue
        value = value.strip()
        if length is not None or not value.isdigit() or len(value) > 9:
            raise UnreadableStreamError("the length in a head is repeated or bad")
        length = int(value)
    if length is None:
        raise UnreadableStreamError("a head without a length")
    if length > MOST_BODY:
        raise UnreadableStreamError("a body is longer than it may be")
    if inbox.end < ends + 4 + length:
        return None
    inbox.start = ends + 4
    return inbox.take(inbox.start + length)


def refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is no JSON")


def decode(body: memoryview | bytes) -> tuple[str, int | str | None, dict[str, Any]]:
    """Method, id (None in a notification) and parameters of one call."""
    try:
        text = str(body, "utf-8")
        if text.count("[") + text.count("{") > MOST_NESTED:
            raise ValueError("nested too deep")
        message = json.loads(text, parse_constant=refuse_constant)
    except (ValueError, RecursionError) as problem:
        raise BadMessageError(PARSE_ERROR, f"no JSON: {type(problem).__name__}") from None
    if not isinstance(message, dict):
        raise BadMessageError(INVALID_REQUEST, "not an object (batches are not taken)")
    rpc_id = message.get("id")
    if isinstance(rpc_id, bool) or not isinstance(rpc_id, int | str) or len(str(rpc_id)) > 64:
        if "id" in message:
            raise BadMessageError(INVALID_REQUEST, "field 'id' is no number")
        rpc_id = None
    if message.get("jsonrpc") != "2.0":
        raise BadMessageError(INVALID_REQUEST, "field 'jsonrpc' is not \"2.0\"", rpc_id)
    method = message.get("method")
    if not isinstance(method, str):
        raise BadMessageError(INVALID_REQUEST, "field 'method' is missing or no string", rpc_id)
    params = message.get("params", {})
    if not isinstance(params, dict):
        raise BadMessageError(INVALID_PARAMS, "field 'params' is no object", rpc_id)
    return method, rpc_id, params


def number(
    params: dict[str, Any], key: str, least: float, most: float, rpc_id: int | str | None
) -> float | None:
    value = params.get(key)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise BadMessageError(INVALID_PARAMS, f"field '{key}' is no number that it may be", rpc_id)
    return float(value)


def word(params: dict[str, Any], key: str, most: int, rpc_id: int | str | None) -> str | None:
    value = params.get(key)
    if value is None:
        return None
    if (
        not isinstance(value, str)
        or not 0 < len(value) <= most
        or not value.isascii()
        or not value.isprintable()
    ):
        raise BadMessageError(INVALID_PARAMS, f"field '{key}' is no word that it may be", rpc_id)
    return value


def needed(value: Any, key: str, rpc_id: int | str | None) -> Any:
    if value is None:
        raise BadMessageError(INVALID_PARAMS, f"field '{key}' is missing", rpc_id)
    return value


def request_fields(params: dict[str, Any], rpc_id: int | str | None, now: float) -> tuple[Any, ...]:
    """Of a task that is read `now`, in Unix ms: id, door, patience, caller, tenant, work, KB, mark, body."""
    txn = needed(word(params, "txn", 64, rpc_id), "txn", rpc_id)
    if not txn.isalnum():  # it goes into the lines of other services as it is
        raise BadMessageError(INVALID_PARAMS, "field 'txn' is no id", rpc_id)
    door = needed(number(params, "door", now - DOOR_PAST, now + DOOR_AHEAD, rpc_id), "door", rpc_id)
    number(params, "standing", 0.0, 1.0, rpc_id)
    content = params.get("content")
    if not isinstance(content, str):
        raise BadMessageError(INVALID_PARAMS, "field 'content' is missing or no string", rpc_id)
    try:
        if len(base64.b64decode(content, validate=True)) > MOST_CONTENT:
            raise BadMessageError(INVALID_PARAMS, "field 'content' is longer than it may be", rpc_id)
    except (ValueError, binascii.Error):
        raise BadMessageError(INVALID_PARAMS, "field 'content' is no base64", rpc_id) from None
    return (
        txn,
        door,
        number(params, "limit", 0.0, 1e9, rpc_id),
        int(number(params, "lb", 0.0, 1e9, rpc_id) or 0),
        word(params, "team", 256, rpc_id),
        number(params, "cpu", 0.0, 1e9, rpc_id),
        needed(number(params, "ram", 1e-6, MOST_RAM, rpc_id), "ram", rpc_id),
        word(params, "unique", 128, rpc_id),
        content,
    )


def framed(*parts: bytes) -> list[bytes]:
    """Head and parts of one message, for a gathered write."""
    return [b"Content-Length: %d\r\n\r\n" % sum(map(len, parts)), *parts]


def result(rpc_id: int | str | None, value: bytes) -> list[bytes]:
    return framed(b'{"jsonrpc":"2.0","id":%b,"result":' % json.dumps(rpc_id).encode(), value, b"}")


def finished(rpc_id: int | str | None, content: str) -> list[bytes]:
    return result(rpc_id, b'{"content":%b}' % json.dumps(content).encode())


def checked(rpc_id: int | str | None, serving: bool) -> list[bytes]:
    return result(rpc_id, b'{"serving":true}' if serving else b'{"serving":false}')


def error(rpc_id: int | str | None, code: int, text: str, **data: Any) -> list[bytes]:
    told: dict[str, Any] = {"code": code, "message": text}
    if data:
        told["data"] = data
    message = {"jsonrpc": "2.0", "id": rpc_id, "error": told}
    return framed(json.dumps(message, separators=(",", ":")).encode())


def rejected(rpc_id: int | str | None, terminal: bool, pause: float) -> list[bytes]:
    data: dict[str, Any] = {"giveup": 1} if terminal else {}
    if pause > 0.0:
        data["later"] = math.ceil(pause)
    return error(rpc_id, REJECTED, "overloaded", **data)


def abandoned(rpc_id: int | str | None) -> list[bytes]:
    return error(rpc_id, FAILED, "failed")


def closing() -> list[bytes]:
    return framed(CLOSING)
