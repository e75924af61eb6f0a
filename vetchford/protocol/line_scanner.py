"""Incremental scanner for one line that holds a JSON object of any length, in bounded memory."""

import json
import re
from typing import Any, Final

from vetchford.errors import VetchfordError

MAX_KEY_BYTES = 64
MARK_OUTSIDE_STRING = re.compile(rb'["\[\]{},:]')
MARK_IN_STRING = re.compile(rb'["\\]')
WHITESPACE = b" \t\r\n"


class TooLongValue:
    """The type of `TOO_LONG`."""


TOO_LONG: Final = TooLongValue()
"""Stands for the value of a field that was longer than the scanner keeps."""


class MalformedLineError(VetchfordError):
    """The scanned bytes are not one JSON object."""


class LineScanner:
    """Keeps the wanted fields of a JSON object that is received in pieces, and skips all other bytes.

    Memory is bounded by the wanted fields and `max_value_bytes`, whatever the length of the line, the number
    of its fields and their nesting. Brackets inside skipped values are counted but not matched by kind.
    """

    def __init__(self, wanted: frozenset[str], max_value_bytes: int) -> None:
        """Scan a new line; of the fields in `wanted`, values of up to `max_value_bytes` are kept."""
        self.wanted = wanted
        self.max_value_bytes = max_value_bytes
        self.fields: dict[str, Any] = {}
        self.depth = 0  # of open brackets
        self.in_string = False
        self.is_escaped = False  # the next byte belongs to an escape sequence
        self.is_complete = False  # the object has ended
        self.key: str | None = None  # key of the value that is scanned; None while a key is scanned
        self.kept: bytearray | None = bytearray()  # bytes of the key or value; None once it is too long

    def feed(self, data: bytes) -> None:
        """Scan the next bytes of the line, without its end.

        Raises:
            MalformedLineError: The line is not a JSON object.
        """
        position = 0
        while position < len(data):
            if self.is_escaped:
                self.is_escaped = False
                self._keep(data[position : position + 1])
                position += 1
                continue
            pattern = MARK_IN_STRING if self.in_string else MARK_OUTSIDE_STRING
            mark = pattern.search(data, position)
            mark_position = len(data) if mark is None else mark.start()
            self._keep(data[position:mark_position])
            if mark is not None:
                self._handle_mark(mark.group())
            position = mark_position + 1

    def finish(self) -> dict[str, Any]:
        """Return the wanted fields of the complete line, `TOO_LONG` for those whose values were not kept.

        Raises:
            MalformedLineError: The object has not ended.
        """
        if not self.is_complete:
            raise MalformedLineError("the line ends within its JSON object")
        return self.fields

    def _keep(self, data: bytes) -> None:
        if not data:
            return
        if self.depth == 0:
            if data.strip(WHITESPACE):
                raise MalformedLineError("the line is not a JSON object")
            return
        if self.kept is None:
            return
        limit = MAX_KEY_BYTES if self.key is None else self.max_value_bytes
        if len(self.kept) + len(data) > limit:
            self.kept = None
        else:
            self.kept += data

    def _handle_mark(self, mark: bytes) -> None:
        if self.in_string:
            self._keep(mark)
            self.is_escaped = mark == b"\\"
            self.in_string = self.is_escaped
        elif mark == b'"':
            self._keep(mark)
            self.in_string = True
        elif mark in b"[{":
            self._open_bracket(mark)
        elif mark in b"]}":
            self._close_bracket(mark)
        elif self.depth == 1 and mark == b":":
            self._end_key()
        elif self.depth == 1 and mark == b",":
            self._end_value()
        else:
            self._keep(mark)

    def _open_bracket(self, bracket: bytes) -> None:
        if self.depth == 0 and (bracket != b"{" or self.is_complete):
            raise MalformedLineError("the line is not one JSON object")
        if self.depth:
            self._keep(bracket)
        self.depth += 1

    def _close_bracket(self, bracket: bytes) -> None:
        if self.depth == 0:
            raise MalformedLineError("the line has a closing bracket too many")
        self.depth -= 1
        if self.depth:
            self._keep(bracket)
            return
        self._end_value()
        self.is_complete = True

    def _end_key(self) -> None:
        if self.key is not None:
            raise MalformedLineError("a value has a colon")
        key = "" if self.kept is None else _parse(self.kept)  # a longer key is not a wanted one
        if not isinstance(key, str):
            raise MalformedLineError("a key is not a string")
        self.key = key
        self.kept = bytearray() if key in self.wanted else None

    def _end_value(self) -> None:
        if self.key in self.wanted:
            self.fields[self.key] = TOO_LONG if self.kept is None else _parse(self.kept)
        elif self.key is None and (self.kept is None or self.kept.strip(WHITESPACE)):
            raise MalformedLineError("a field has no colon")
        self.key = None
        self.kept = bytearray()


def _parse(data: bytearray) -> Any:
    try:
        return json.loads(data.decode("utf-8"))
    except (ValueError, RecursionError):
        raise MalformedLineError("a key or value is not valid JSON") from None
