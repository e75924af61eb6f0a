"""The records service's lines: parser and writer, free of sockets."""

from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError

MOST_LINE = 256  # bytes; an id, a word and a length
MOST_REPLY = 65_536  # bytes; the page names no bound, replies seen are far shorter

CODES = {
    "DONE": "completed",
    "WAIT": "saturated",
    "ERROR": "errored",
    "PAST": "overdue",
    "EMPTY": "saturated",
}  # it proves as WAIT does that the call never ran


def next_reply(inbox: ReceiveBuffer) -> tuple[str, str, memoryview | None] | None:
    """Id, outcome in the module's words and body of the next whole reply; None until more is read."""
    ends = inbox.find(b"\r\n", MOST_LINE)
    if ends < 0:
        return None
    words = bytes(inbox.view[inbox.start : ends]).split(b" ")
    if not 2 <= len(words) <= 3 or not all(word.isalnum() for word in words):
        raise UnreadableStreamError("a line that is no reply")
    status = words[1].decode("ascii", "replace")
    if status not in CODES or (status == "DONE") != (len(words) == 3):
        raise UnreadableStreamError("a line with no known outcome")
    name = words[0].decode("ascii", "replace")
    if status != "DONE":
        inbox.take(ends, 2)
        return name, CODES[status], None
    if not words[2].isdigit() or len(words[2]) > 9 or int(words[2]) > MOST_REPLY:
        raise UnreadableStreamError("a length that is none or too long")
    length = int(words[2])
    if inbox.end < ends + 2 + length + 2:
        return None
    if inbox.bytes[ends + 2 + length : ends + 4 + length] != b"\r\n":
        raise UnreadableStreamError("a reply that does not end where it should")
    inbox.start = ends + 2
    return name, CODES[status], inbox.take(inbox.start + length, 2)


def op(name: str, wait: int, body: bytes) -> list[bytes]:
    return [b"OP %b %d %d\r\n" % (name.encode(), wait, len(body)), body, b"\r\n"]


def unop(name: str) -> list[bytes]:
    return [b"UNOP %b\r\n" % name.encode()]
