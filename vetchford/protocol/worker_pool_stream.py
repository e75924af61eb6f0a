"""Splits the bytes received from the worker pool into messages, whatever the length of a line."""

from vetchford.protocol import worker_pool_lines
from vetchford.protocol.line_scanner import LineScanner, MalformedLineError
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError
from vetchford.protocol.worker_pool_lines import BadLineError, Message

MAX_SKIPPED_LINE_BYTES = 1 << 26  # a line that is still longer is taken for one without an end


class WorkerPoolStream:
    """The received bytes of one link.

    The specification sets no limit on the length of a remark or a call, and the pool repeats an unread notice
    on each link. So a line of more than MAX_LINE_BYTES is read to its end: its short fields are kept, the
    rest is skipped. Only its own message suffers from its length.
    """

    def __init__(self) -> None:
        """Create the stream of a new link."""
        self.buffer = ReceiveBuffer(2 * worker_pool_lines.MAX_LINE_BYTES)
        self.scanner: LineScanner | None = None  # of the long line that is being received
        self.in_long_line = False  # with no scanner: the line is malformed, and its rest is skipped
        self.long_line_bytes = 0  # received so far

    def free_space(self) -> memoryview:
        """Return the memory for the next received bytes, never empty."""
        return self.buffer.free_space()

    def add_received(self, count: int) -> None:
        """Mark the first `count` bytes of the free space as received."""
        self.buffer.add_received(count)

    def next_message(self) -> Message | None:
        """Return the next message; None while it is incomplete.

        Raises:
            BadLineError: The next line is invalid; the lines after it can be read.
            UnreadableStreamError: The line has no end.
        """
        if not self.in_long_line:
            try:
                line = worker_pool_lines.next_line(self.buffer)
            except UnreadableStreamError:
                self._start_long_line()
            else:
                return None if line is None else worker_pool_lines.decode(line)
        return self._scan_long_line()

    def _start_long_line(self) -> None:
        self.in_long_line = True
        self.long_line_bytes = 0
        self.scanner = LineScanner(worker_pool_lines.FIELDS, worker_pool_lines.MAX_LONG_LINE_FIELD_BYTES)

    def _scan_long_line(self) -> Message | None:
        buffer = self.buffer
        line_end = buffer.bytes.find(b"\n", buffer.start, buffer.end)
        has_ended = line_end >= 0
        piece = bytes(buffer.take(line_end, 1) if has_ended else buffer.take(buffer.end))
        self.long_line_bytes += len(piece)
        if self.long_line_bytes > MAX_SKIPPED_LINE_BYTES:
            raise UnreadableStreamError(f"a line is longer than {MAX_SKIPPED_LINE_BYTES} bytes")
        self.in_long_line = not has_ended
        if self.scanner is None:
            return None if self.in_long_line else self.next_message()
        try:
            self.scanner.feed(piece)
            if self.in_long_line:
                return None
            return worker_pool_lines.message_of(self.scanner.finish(), self.long_line_bytes)
        except MalformedLineError as error:
            self.scanner = None
            raise BadLineError(str(error)) from None
