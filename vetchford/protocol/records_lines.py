"""Codec of the records service's protocol: a line for each call, a line and perhaps a body for each reply.

Forms and words are those of the operators' protocol page. The service answers a call by its name, which is
the id of the request that makes it.
"""

from typing import NamedTuple

from vetchford.admission.request import Outcome
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError

MAX_LINE_BYTES = 256  # an id, a word and a length
MAX_REPLY_BYTES = 65_536  # the page sets no bound; replies seen are far shorter
MAX_LENGTH_DIGITS = 9  # longer numbers are not converted
WORDS_WITHOUT_BODY = 2  # of a line: id and status
WORDS_WITH_BODY = 3  # and the length of the body

LINE_END = b"\r\n"
WITH_BODY = "DONE"  # the only status whose line has a length, and a body behind it
OUTCOMES = {  # of a call, by its status on the wire
    "DONE": Outcome.COMPLETED,
    "WAIT": Outcome.SATURATED,
    "ERROR": Outcome.ERRORED,
    "PAST": Outcome.OVERDUE,
    "EMPTY": Outcome.SATURATED,  # proves, as WAIT does, that the call never ran
}


class Reply(NamedTuple):
    """The reply to one call."""

    name: str
    outcome: Outcome
    body: memoryview | None  # valid until more is received; None where the outcome has none


def next_reply(buffer: ReceiveBuffer) -> Reply | None:
    """Return the next reply; None while it is not whole.

    Raises:
        UnreadableStreamError: It has no form that the page knows.
    """
    line_end = buffer.find(LINE_END, MAX_LINE_BYTES)
    if line_end < 0:
        return None
    words = bytes(buffer.view[buffer.start : line_end]).split(b" ")
    if len(words) not in (WORDS_WITHOUT_BODY, WORDS_WITH_BODY) or not all(word.isalnum() for word in words):
        raise UnreadableStreamError("a line that is no reply")
    status = words[1].decode("ascii", "replace")
    if status not in OUTCOMES or (status == WITH_BODY) != (len(words) == WORDS_WITH_BODY):
        raise UnreadableStreamError("a line with no known outcome")
    name = words[0].decode("ascii", "replace")
    if status != WITH_BODY:
        buffer.take(line_end, len(LINE_END))
        return Reply(name, OUTCOMES[status], None)
    body = _take_body(buffer, line_end + len(LINE_END), _body_length(words[2]))
    return None if body is None else Reply(name, OUTCOMES[status], body)


def _body_length(word: bytes) -> int:
    if not word.isdigit() or len(word) > MAX_LENGTH_DIGITS or int(word) > MAX_REPLY_BYTES:
        raise UnreadableStreamError("a length that is none or too long")
    return int(word)


def _take_body(buffer: ReceiveBuffer, body_start: int, length: int) -> memoryview | None:
    body_end = body_start + length
    reply_end = body_end + len(LINE_END)
    if buffer.end < reply_end:
        return None
    if buffer.bytes[body_end:reply_end] != LINE_END:
        raise UnreadableStreamError("a reply that does not end where it should")
    buffer.start = body_start
    return buffer.take(body_end, len(LINE_END))


def call(name: str, timeout_ms: int, body: bytes) -> list[bytes]:
    """Encode a call, which the service gives up by itself after `timeout_ms`; for a gathered write."""
    return [b"OP %b %d %d\r\n" % (name.encode(), timeout_ms, len(body)), body, LINE_END]


def cancel(name: str) -> list[bytes]:
    """Encode that a call is given up; for a gathered write."""
    return [b"UNOP %b\r\n" % name.encode()]
