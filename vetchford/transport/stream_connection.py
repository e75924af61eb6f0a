"""One TCP stream: its socket, what waits to be written, and what its reader and writer threads do.

The actor that owns the transport calls `put` and `close`; one thread runs `read` and one `write`.
"""

import contextlib
import socket
import threading
from collections.abc import Callable

from vetchford.transport.framing import Envelope, StreamDecoder
from vetchford.transport.outbox import Outbox

READ_BYTES = 64 * 1024  # in one call


class StreamConnection:
    """A stream with a thread to read and one to write: a stalled peer delays its own writer alone."""

    def __init__(self, sock: socket.socket) -> None:
        """Takes over a connected socket; the owner starts the threads."""
        self.sock = sock
        self.outbox = Outbox()
        self.is_open = True
        self.changed = threading.Condition()  # guards `outbox` and `is_open`
        self.reader_done = threading.Event()

    def put(self, kind: str, frame: bytes) -> int:
        """Queues a frame without blocking; returns how many older ones were dropped for it."""
        with self.changed:
            dropped = self.outbox.put(kind, frame)
            self.changed.notify()
        return dropped

    def close(self) -> None:
        """Ends both threads; the writer closes the socket."""
        with self.changed:
            self.is_open = False
            self.changed.notify()
        with contextlib.suppress(OSError):  # the other side closed first
            self.sock.shutdown(socket.SHUT_RDWR)

    def read(self, deliver: Callable[[Envelope], None]) -> None:
        """Reads until the other side closes. Raises OSError, and FrameError where it can't be followed."""
        decoder = StreamDecoder()
        try:
            while data := self.sock.recv(READ_BYTES):
                for envelope in decoder.feed(data):
                    deliver(envelope)
        finally:
            self.reader_done.set()

    def write(self) -> None:
        """Writes what is queued until `close`. Raises OSError."""
        while (frame := self._next_frame()) is not None:
            self.sock.sendall(frame)

    def finish(self) -> None:
        """Closes the socket, once the reader is done with it.

        Closed under the reader, its descriptor could be another connection's as it reads on.
        """
        self.close()
        self.reader_done.wait()
        self.sock.close()

    def _next_frame(self) -> bytes | None:
        """Waits for a frame; None after `close`."""
        with self.changed:
            while self.is_open and not self.outbox.messages:
                self.changed.wait()
            return self.outbox.take() if self.is_open else None
