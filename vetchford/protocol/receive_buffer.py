"""The bytes of one connection that were read and not yet understood; parsed where they lie."""


class UnreadableStreamError(Exception):
    """The stream can't be followed any further; says why."""


class ReceiveBuffer:
    """A buffer that grows up to `most`: `space` to read into, `start` to `end` the bytes that wait."""

    FIRST = 4096  # bytes: most messages fit, and hundreds of silent connections cost little

    def __init__(self, most: int) -> None:
        self.most = most
        self.bytes = bytearray(min(self.FIRST, most))
        self.view = memoryview(self.bytes)
        self.start = self.end = 0

    def space(self) -> memoryview:
        """Where the next bytes go; never empty while a message of less than the size is taken out in time."""
        if self.start == self.end:
            self.start = self.end = 0
        elif self.start and self.end == len(self.bytes):
            kept = self.end - self.start
            self.bytes[:kept] = self.bytes[self.start : self.end]
            self.start, self.end = 0, kept
        if self.end == len(self.bytes):
            if self.end >= self.most:
                raise UnreadableStreamError("a message is longer than it may be")
            # Parts taken before are views of the old bytes, and stay good.
            self.bytes = self.bytes + bytearray(min(self.most, 2 * self.end) - self.end)
            self.view = memoryview(self.bytes)
        return self.view[self.end :]

    def fed(self, count: int) -> None:
        self.end += count

    def find(self, mark: bytes, most: int) -> int:
        """Where `mark` starts, within `most` bytes from the start; -1 while it is not there yet."""
        at = self.bytes.find(mark, self.start, min(self.end, self.start + most + len(mark)))
        if at < 0 and self.end - self.start >= most + len(mark):
            raise UnreadableStreamError("a head or line is longer than it may be")
        return at

    def take(self, until: int, drop: int = 0) -> memoryview:
        """The bytes up to `until`, in place, good until the next `space`; `drop` more are passed over."""
        taken = self.view[self.start : until]
        self.start = until + drop
        return taken
