"""Buffer for the bytes of one connection that are not parsed yet; messages are parsed in place."""

from vetchford.errors import VetchfordError


class UnreadableStreamError(VetchfordError):
    """The next message can't be delimited, so the rest of the stream can't be parsed."""


class ReceiveBuffer:
    """A buffer that grows up to a maximum size; to be used by one thread at a time.

    The bytes from `start` to `end` are received but not parsed yet. Codecs read them through `view` and
    `bytes`, and advance `start` past what they have parsed.
    """

    INITIAL_SIZE = 4096  # bytes: most messages fit, and hundreds of idle connections need little memory

    def __init__(self, max_size: int) -> None:
        """Create an empty buffer for up to `max_size` bytes."""
        self.max_size = max_size
        self.bytes = bytearray(min(self.INITIAL_SIZE, max_size))
        self.view = memoryview(self.bytes)
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Return the memory for the next received bytes, never empty; `add_received` adds what was received.

        Raises:
            UnreadableStreamError: The buffer is full: the message is longer than `max_size`.
        """
        if self.start == self.end:
            self.start = self.end = 0
        elif self.start and self.end == len(self.bytes):
            self._move_to_front()
        if self.end == len(self.bytes):
            if self.end >= self.max_size:
                raise UnreadableStreamError(f"a message is longer than {self.max_size} bytes")
            self._grow()
        return self.view[self.end :]

    def _move_to_front(self) -> None:
        kept = self.end - self.start
        self.bytes[:kept] = self.bytes[self.start : self.end]
        self.start = 0
        self.end = kept

    def _grow(self) -> None:
        # A new object, as messages that were taken before are views of the old one and must stay valid.
        added = min(self.max_size, 2 * self.end) - self.end
        self.bytes = self.bytes + bytearray(added)
        self.view = memoryview(self.bytes)

    def add_received(self, count: int) -> None:
        """Mark the first `count` bytes of the free space as received."""
        self.end += count

    def find(self, delimiter: bytes, max_length: int) -> int:
        """Return the index of the first `delimiter`, or -1 if it is not received yet.

        Raises:
            UnreadableStreamError: The first `max_length` bytes are not followed by a delimiter.
        """
        search_end = self.start + max_length + len(delimiter)
        index = self.bytes.find(delimiter, self.start, min(self.end, search_end))
        if index < 0 and self.end >= search_end:
            raise UnreadableStreamError(f"a header or line is longer than {max_length} bytes")
        return index

    def take(self, until: int, skip: int = 0) -> memoryview:
        """Return the bytes up to index `until`, and drop the `skip` bytes that follow.

        The result is a view of the buffer, valid until the next call of `free_space`.
        """
        taken = self.view[self.start : until]
        self.start = until + skip
        return taken
