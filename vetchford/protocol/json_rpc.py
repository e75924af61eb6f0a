"""Codec of the clients' protocol: JSON-RPC 2.0 messages, each preceded by a header with `Content-Length`.

Message formats, error codes and field names are defined by the operators' protocol specification. Error
texts are sent to the client and use the field names of the wire.
"""

import base64
import binascii
import json
import math
from typing import Any, NamedTuple, NoReturn, TypeVar

from vetchford.errors import VetchfordError
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError

MAX_HEADER_BYTES = 1024  # clients send one short line
MAX_BODY_BYTES = 24_576  # the longest content is 2,732 characters in base64; JSON may escape each as 6 bytes
MAX_CONTENT_BYTES = 2048  # of the decoded content of a request, by the specification
MAX_MEMORY_KB = 2000.0  # that a request may declare, by the specification
MAX_ARRIVAL_AGE_MS = 120_000.0  # longer than any deadline and any pause of a machine
MAX_ARRIVAL_LEAD_MS = 1000.0  # both clocks are on one machine; a later arrival time would extend the deadline
MAX_REQUEST_ID_LENGTH = 64  # characters
MAX_TENANT_LENGTH = 256  # characters
MAX_KEY_LENGTH = 128  # characters
MIN_MEMORY_KB = 1e-6
MAX_RPC_ID_LENGTH = 64  # characters: client ids count from 1, and errors repeat the id
MAX_BRACKETS = 32  # in a body: messages need two; deep nesting would overflow the stack of the JSON parser
MAX_LENGTH_DIGITS = 9  # in a header: longer numbers are not converted
MAX_NUMBER = 1e9  # upper limit of durations in ms and of indices

Value = TypeVar("Value")

HEADER_END = b"\r\n\r\n"
PARSE_ERROR = -32700  # this code and the next three are defined by JSON-RPC
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
REJECTED = -32050  # the request did not run and may be sent to another server
FAILED = -32051  # the request may have run; clients read every code but REJECTED this way
HEALTH_CHECK = "check"  # the method of a health check
CLOSING = b'{"jsonrpc":"2.0","method":"closing"}'


class BadMessageError(VetchfordError):
    """One message is invalid; the messages after it can still be read.

    `code` is the JSON-RPC error code, `rpc_id` the id of the message, or None if it could not be read.
    """

    def __init__(self, code: int, text: str, rpc_id: int | str | None = None) -> None:
        """Create the error; `text` is sent to the client."""
        super().__init__(text)
        self.code = code
        self.rpc_id = rpc_id


class BadFieldError(BadMessageError):
    """A field of a message is missing or invalid."""

    def __init__(
        self, field: str, problem: str, rpc_id: int | str | None = None, code: int = INVALID_PARAMS
    ) -> None:
        """Create the error; the text is the name of the field on the wire, followed by `problem`."""
        super().__init__(code, f"field '{field}' {problem}", rpc_id)
        self.field = field
        self.problem = problem


class RequestIdInUseError(BadFieldError):
    """A request has the id of another request that the server still knows."""

    def __init__(self, rpc_id: int | str | None) -> None:
        """Create the error for the message with this JSON-RPC id."""
        super().__init__("txn", "is in use", rpc_id)


class UnknownTenantError(BadFieldError):
    """A request names a tenant that the settings do not have."""

    def __init__(self, rpc_id: int | str | None) -> None:
        """Create the error for the message with this JSON-RPC id."""
        super().__init__("team", "names no tenant", rpc_id)


class ClientMessage(NamedTuple):
    """One message of a client, decoded but not checked."""

    method: str
    rpc_id: int | str | None  # None in a notification
    params: dict[str, Any]


class RequestParams(NamedTuple):
    """The parameters of a request; each comment begins with the name on the wire."""

    request_id: str  # txn: id of the request, repeated in messages to other services
    arrived_at_unix_ms: float  # door: when the request reached this machine
    client_timeout_ms: float | None  # limit: how long the client waits, counted from the arrival
    tenant: str | None  # team
    work_ms: float | None  # cpu: time on one core
    memory_kb: float  # ram
    idempotency_key: str | None  # unique
    content: str  # content: body of the request, in base64


# -- decoding


def next_body(buffer: ReceiveBuffer) -> memoryview | None:
    """Return the body of the next message, valid until more is received; None while it is incomplete.

    Raises:
        UnreadableStreamError: The header does not give the length of the body.
    """
    header_end = buffer.find(HEADER_END, MAX_HEADER_BYTES)
    if header_end < 0:
        return None
    length = _content_length(bytes(buffer.view[buffer.start : header_end]))
    body_start = header_end + len(HEADER_END)
    if buffer.end < body_start + length:
        return None
    buffer.start = body_start
    return buffer.take(body_start + length)


def _content_length(header: bytes) -> int:
    length = None
    for line in header.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if not colon:
            raise UnreadableStreamError("a header line has no colon")
        if name.strip().lower() != b"content-length":
            continue
        value = value.strip()
        if length is not None or not value.isdigit() or len(value) > MAX_LENGTH_DIGITS:
            raise UnreadableStreamError(
                f"header Content-Length is repeated, or is not a number of at most {MAX_LENGTH_DIGITS} digits"
            )
        length = int(value)
    if length is None:
        raise UnreadableStreamError("header Content-Length is missing")
    if length > MAX_BODY_BYTES:
        raise UnreadableStreamError(f"a message body is longer than {MAX_BODY_BYTES} bytes")
    return length


def decode(body: memoryview | bytes) -> ClientMessage:
    """Return the request or notification in the body of a message.

    Raises:
        BadMessageError: The body is not a JSON-RPC request or notification.
    """
    try:
        text = str(body, "utf-8")
        if text.count("[") + text.count("{") > MAX_BRACKETS:
            raise ValueError("nested too deeply")
        message = json.loads(text, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise BadMessageError(PARSE_ERROR, f"not valid JSON: {type(error).__name__}") from None
    if not isinstance(message, dict):
        raise BadMessageError(INVALID_REQUEST, "message must be a JSON object; batches are not supported")
    rpc_id = message.get("id")
    if isinstance(rpc_id, bool) or not isinstance(rpc_id, int | str) or len(str(rpc_id)) > MAX_RPC_ID_LENGTH:
        if "id" in message:
            raise BadFieldError(
                "id", f"must be an integer of at most {MAX_RPC_ID_LENGTH} characters", code=INVALID_REQUEST
            )
        rpc_id = None
    if message.get("jsonrpc") != "2.0":
        raise BadFieldError("jsonrpc", 'must be "2.0"', rpc_id, INVALID_REQUEST)
    method = message.get("method")
    if not isinstance(method, str):
        raise BadFieldError("method", "is missing or is not a string", rpc_id, INVALID_REQUEST)
    params = message.get("params", {})
    if not isinstance(params, dict):
        raise BadFieldError("params", "must be an object", rpc_id)
    return ClientMessage(method, rpc_id, params)


def _refuse_constant(name: str) -> NoReturn:
    """Reject NaN and the infinities, which Python's parser accepts but JSON does not have."""
    raise ValueError(f"{name} is not valid JSON")


def has_idempotency_key(params: dict[str, Any]) -> bool:
    """Return whether a request with these parameters, which are not checked yet, gives a key."""
    return params.get("unique") is not None


def decode_request(params: dict[str, Any], rpc_id: int | str | None, now_unix_ms: float) -> RequestParams:
    """Return the parameters of a request that was read at `now_unix_ms`.

    Raises:
        BadMessageError: A parameter is missing or invalid; the text names it.
    """
    request_id = _required(_printable_string(params, "txn", MAX_REQUEST_ID_LENGTH, rpc_id), "txn", rpc_id)
    if not request_id.isalnum():  # it is written unescaped into messages to other services
        raise BadFieldError("txn", "must consist of letters and digits", rpc_id)
    earliest = now_unix_ms - MAX_ARRIVAL_AGE_MS
    latest = now_unix_ms + MAX_ARRIVAL_LEAD_MS
    arrived_at_unix_ms = _required(_number(params, "door", earliest, latest, rpc_id), "door", rpc_id)
    _number(params, "standing", 0.0, 1.0, rpc_id)  # this and the next are checked, but not used
    _number(params, "lb", 0.0, MAX_NUMBER, rpc_id)
    content = _content(params, rpc_id)
    return RequestParams(
        request_id=request_id,
        arrived_at_unix_ms=arrived_at_unix_ms,
        client_timeout_ms=_number(params, "limit", 0.0, MAX_NUMBER, rpc_id),
        tenant=_printable_string(params, "team", MAX_TENANT_LENGTH, rpc_id),
        work_ms=_number(params, "cpu", 0.0, MAX_NUMBER, rpc_id),
        memory_kb=_required(_number(params, "ram", MIN_MEMORY_KB, MAX_MEMORY_KB, rpc_id), "ram", rpc_id),
        idempotency_key=_printable_string(params, "unique", MAX_KEY_LENGTH, rpc_id),
        content=content,
    )


def _content(params: dict[str, Any], rpc_id: int | str | None) -> str:
    content = params.get("content")
    if not isinstance(content, str):
        raise BadFieldError("content", "is missing or is not a string", rpc_id)
    try:
        length = len(base64.b64decode(content, validate=True))
    except (ValueError, binascii.Error):
        raise BadFieldError("content", "is not valid base64", rpc_id) from None
    if length > MAX_CONTENT_BYTES:
        raise BadFieldError("content", f"is longer than {MAX_CONTENT_BYTES} bytes when decoded", rpc_id)
    return content


def _number(
    params: dict[str, Any], key: str, minimum: float, maximum: float, rpc_id: int | str | None
) -> float | None:
    value = params.get(key)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise BadFieldError(key, "is not a number in the range allowed for this field", rpc_id)
    return float(value)


def _printable_string(
    params: dict[str, Any], key: str, max_length: int, rpc_id: int | str | None
) -> str | None:
    value = params.get(key)
    if value is None:
        return None
    if (
        not isinstance(value, str)
        or not 0 < len(value) <= max_length
        or not value.isascii()
        or not value.isprintable()
    ):
        raise BadFieldError(key, f"must be a string of 1 to {max_length} printable ASCII characters", rpc_id)
    return value


def _required(value: Value | None, key: str, rpc_id: int | str | None) -> Value:
    if value is None:
        raise BadFieldError(key, "is missing", rpc_id)
    return value


# -- encoding: each function returns one message as header and parts, for a gathered write


def _with_header(*parts: bytes) -> list[bytes]:
    return [b"Content-Length: %d\r\n\r\n" % sum(map(len, parts)), *parts]


def _result(rpc_id: int | str | None, value: bytes) -> list[bytes]:
    return _with_header(b'{"jsonrpc":"2.0","id":%b,"result":' % json.dumps(rpc_id).encode(), value, b"}")


def completed(rpc_id: int | str | None, content: str) -> list[bytes]:
    """Encode the answer to a completed request; `content` is the result in base64."""
    return _result(rpc_id, b'{"content":%b}' % json.dumps(content).encode())


def health(rpc_id: int | str | None, ready: bool) -> list[bytes]:
    """Encode the reply to a health check."""
    return _result(rpc_id, b'{"serving":true}' if ready else b'{"serving":false}')


def error(rpc_id: int | str | None, code: int, text: str, **data: Any) -> list[bytes]:
    """Encode an error; `data` holds the fields of its `data` object, which is left out if there are none."""
    fields: dict[str, Any] = {"code": code, "message": text}
    if data:
        fields["data"] = data
    message = {"jsonrpc": "2.0", "id": rpc_id, "error": fields}
    return _with_header(json.dumps(message, separators=(",", ":")).encode())


def rejected(rpc_id: int | str | None, terminal: bool, retry_after_ms: float) -> list[bytes]:
    """Encode the answer to a request that was rejected and did not run.

    `terminal` tells the client not to retry the request; `retry_after_ms` is how long it is asked to wait
    before a retry, 0.0 for no such time.
    """
    data: dict[str, Any] = {"giveup": 1} if terminal else {}
    if retry_after_ms > 0.0:
        data["later"] = math.ceil(retry_after_ms)
    return error(rpc_id, REJECTED, "overloaded", **data)


def failed(rpc_id: int | str | None) -> list[bytes]:
    """Encode the answer to a request that failed and may have run."""
    return error(rpc_id, FAILED, "failed")


def closing() -> list[bytes]:
    """Encode the notification that asks the client to close the connection."""
    return _with_header(CLOSING)
