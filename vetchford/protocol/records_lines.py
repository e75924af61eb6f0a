"""Codec of the records service's protocol: calls and replies are a line, some of them followed by a body.

Formats are defined by the operators' protocol specification. A call and its reply are matched by the id of
the request that makes the call.
"""

from typing import NamedTuple

from vetchford.admission.request import Outcome
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError

MAX_LINE_BYTES = 256  # request id, status and length
MAX_REPLY_BYTES = 65_536  # the specification sets no limit; real replies are far shorter
MAX_LENGTH_DIGITS = 9  # longer numbers are not converted
WORDS_WITHOUT_BODY = 2  # request id and status
WORDS_WITH_BODY = 3  # request id, status and length of the body

LINE_END = b"\r\n"
STATUS_WITH_BODY = "DONE"  # the only status with a length and a body
OUTCOMES = {  # outcome of a call by its status on the wire
    "DONE": Outcome.COMPLETED,
    "WAIT": Outcome.SATURATED,
    "ERROR": Outcome.ERRORED,
    "PAST": Outcome.OVERDUE,
    "EMPTY": Outcome.SATURATED,  # like WAIT, it means that the call did not run
}


class Reply(NamedTuple):
    """The reply to one call."""

    request_id: str  # of the request that made the call
    outcome: Outcome
    body: memoryview | None  # valid until more is received; None for a status without a body


def next_reply(buffer: ReceiveBuffer) -> Reply | None:
    """Return the next reply; None while it is incomplete.

    Raises:
        UnreadableStreamError: The reply does not follow the protocol.
    """
    line_end = buffer.find(LINE_END, MAX_LINE_BYTES)
    if line_end < 0:
        return None
    words = bytes(buffer.view[buffer.start : line_end]).split(b" ")
    if len(words) not in (WORDS_WITHOUT_BODY, WORDS_WITH_BODY) or not all(word.isalnum() for word in words):
        raise UnreadableStreamError("a reply line is not two or three alphanumeric words")
    status = words[1].decode("ascii", "replace")
    if status not in OUTCOMES or (status == STATUS_WITH_BODY) != (len(words) == WORDS_WITH_BODY):
        raise UnreadableStreamError("a reply has an unknown status, or a length that does not fit its status")
    request_id = words[0].decode("ascii", "replace")
    if status != STATUS_WITH_BODY:
        buffer.take(line_end, len(LINE_END))
        return Reply(request_id, OUTCOMES[status], None)
    body = _take_body(buffer, line_end + len(LINE_END), _body_length(words[2]))
    return None if body is None else Reply(request_id, OUTCOMES[status], body)


def _body_length(word: bytes) -> int:
    if not word.isdigit() or len(word) > MAX_LENGTH_DIGITS or int(word) > MAX_REPLY_BYTES:
        raise UnreadableStreamError(f"the length of a reply is not a number up to {MAX_REPLY_BYTES}")
    return int(word)


def _take_body(buffer: ReceiveBuffer, body_start: int, length: int) -> memoryview | None:
    body_end = body_start + length
    reply_end = body_end + len(LINE_END)
    if buffer.end < reply_end:
        return None
    if buffer.bytes[body_end:reply_end] != LINE_END:
        raise UnreadableStreamError("the body of a reply is not followed by a line end")
    buffer.start = body_start
    return buffer.take(body_end, len(LINE_END))


def call(request_id: str, timeout_ms: int, body: bytes) -> list[bytes]:
    """Encode a call that the service abandons after `timeout_ms`, for a gathered write."""
    return [b"OP %b %d %d\r\n" % (request_id.encode(), timeout_ms, len(body)), body, LINE_END]


def cancel(request_id: str) -> list[bytes]:
    """Encode the cancellation of a call, for a gathered write."""
    return [b"UNOP %b\r\n" % request_id.encode()]
