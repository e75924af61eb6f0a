"""One TCP stream: its socket, its outbox, and the functions of its reader and writer threads.

The actor that owns the transport calls `put` and `close`; one thread runs `read`, another `write`.
"""

import contextlib
import socket
import threading
from collections.abc import Callable

from vetchford.transport.framing import Envelope, StreamDecoder
from vetchford.transport.outbox import Outbox

READ_BYTES = 64 * 1024  # per system call


class StreamConnection:
    """A stream with a reader and a writer thread, so a stalled peer delays only its own writer."""

    def __init__(self, sock: socket.socket) -> None:
        """Take ownership of a connected socket; the owner of the stream starts the threads."""
        self.sock = sock
        self.outbox = Outbox()
        self.is_open = True
        self.outbox_changed = threading.Condition()  # guards `outbox` and `is_open`
        self.reader_done = threading.Event()

    def put(self, kind: str, frame: bytes) -> int:
        """Queue a frame without blocking; return how many older ones were dropped for it."""
        with self.outbox_changed:
            dropped = self.outbox.put(kind, frame)
            self.outbox_changed.notify()
        return dropped

    def close(self) -> None:
        """End both threads; the writer closes the socket."""
        with self.outbox_changed:
            self.is_open = False
            self.outbox_changed.notify()
        with contextlib.suppress(OSError):  # the peer closed first
            self.sock.shutdown(socket.SHUT_RDWR)

    def read(self, deliver: Callable[[Envelope], None]) -> None:
        """Read until the peer closes; raise OSError, or FrameError if the stream can't be decoded."""
        decoder = StreamDecoder()
        try:
            while data := self.sock.recv(READ_BYTES):
                for envelope in decoder.feed(data):
                    deliver(envelope)
        finally:
            self.reader_done.set()

    def write(self) -> None:
        """Write queued frames until `close`; raise OSError if the connection fails."""
        while (frame := self._next_frame()) is not None:
            self.sock.sendall(frame)

    def finish(self) -> None:
        """Close the socket once the reader has ended.

        If it were closed earlier, its file descriptor could be reused, and the reader would read from another
        connection.
        """
        self.close()
        self.reader_done.wait()
        self.sock.close()

    def _next_frame(self) -> bytes | None:
        """Wait for and return the next frame; None after `close`."""
        with self.outbox_changed:
            while self.is_open and not self.outbox.messages:
                self.outbox_changed.wait()
            return self.outbox.take() if self.is_open else None
