"""The bytes of one connection that were received and not yet parsed; messages are parsed in place."""

from vetchford.errors import VetchfordError


class UnreadableStreamError(VetchfordError):
    """The next message in a stream can't be found, so the stream can't be parsed any further."""


class ReceiveBuffer:
    """A buffer that grows up to a maximum size; for one thread at a time.

    `start` to `end` are the bytes that were received and not yet parsed. Codecs look at them through `view`
    and `bytes`, and move `start` behind what they have parsed.
    """

    INITIAL_SIZE = 4096  # bytes: most messages fit, and hundreds of silent connections cost little

    def __init__(self, max_size: int) -> None:
        """Create an empty buffer that holds up to `max_size` bytes."""
        self.max_size = max_size
        self.bytes = bytearray(min(self.INITIAL_SIZE, max_size))
        self.view = memoryview(self.bytes)
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Return where the next bytes are to be received, never empty; `add_received` says how many came.

        Raises:
            UnreadableStreamError: The buffer is full, which means that a message is too long.
        """
        if self.start == self.end:
            self.start = self.end = 0
        elif self.start and self.end == len(self.bytes):
            self._move_to_front()
        if self.end == len(self.bytes):
            if self.end >= self.max_size:
                raise UnreadableStreamError("a message is longer than it may be")
            self._grow()
        return self.view[self.end :]

    def _move_to_front(self) -> None:
        kept = self.end - self.start
        self.bytes[:kept] = self.bytes[self.start : self.end]
        self.start = 0
        self.end = kept

    def _grow(self) -> None:
        # A new object: messages taken before are views of the old bytes, and stay valid.
        added = min(self.max_size, 2 * self.end) - self.end
        self.bytes = self.bytes + bytearray(added)
        self.view = memoryview(self.bytes)

    def add_received(self, count: int) -> None:
        """Add the first `count` bytes of the free space to those that are to be parsed."""
        self.end += count

    def find(self, delimiter: bytes, max_length: int) -> int:
        """Return the index of the first `delimiter`, or -1 while it has not been received.

        Raises:
            UnreadableStreamError: None is there within `max_length` bytes.
        """
        search_end = self.start + max_length + len(delimiter)
        index = self.bytes.find(delimiter, self.start, min(self.end, search_end))
        if index < 0 and self.end >= search_end:
            raise UnreadableStreamError("a head or line is longer than it may be")
        return index

    def take(self, until: int, skip: int = 0) -> memoryview:
        """Return the bytes up to index `until`, and skip as many more behind them.

        The view is in place, and valid until the next call of `free_space`.
        """
        taken = self.view[self.start : until]
        self.start = until + skip
        return taken
