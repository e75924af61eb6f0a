"""Waits on one thread for input on all connections without an active reader."""

import select
import socket
import threading
import time
from collections.abc import Callable
from typing import Protocol

from vetchford.runtime.thread_pool import ThreadPool

TIMEOUT_CHECK_INTERVAL_S = 0.05  # between checks for timed-out connections; half of the shortest timeout
MAX_EVENTS_PER_POLL = 64  # connections passed to readers before timeouts are checked again


class PollableConnection(Protocol):
    """The part of a client connection that the poller uses."""

    sock: socket.socket

    def read(self) -> None:
        """Handle received bytes, then resume polling or end the connection; called on a reader thread."""

    def read_before_close(self) -> None:
        """Read once more, and end the connection if no message arrived; called on a reader thread."""

    def check_timeouts(self, now_s: float) -> bool:
        """Return whether the connection has timed out at `now_s` (monotonic)."""


class IdleConnectionPoller:
    """Passes each waiting connection to a reader thread when bytes arrive or when it has timed out.

    A connection is in `waiting` from `add` or `resume` until it is passed to a reader. Each registration with
    epoll reports only one event, so that a connection never has two readers.
    """

    def __init__(self, reader_threads: ThreadPool) -> None:
        """Create the poller; `start` begins the polling."""
        self.reader_threads = reader_threads
        self.epoll = select.epoll()
        self.waiting: dict[int, PollableConnection] = {}  # by file descriptor
        self.lock = threading.Lock()  # held while `waiting` and the registration with epoll are changed
        self.next_timeout_check_s = 0.0  # monotonic; used by the polling thread only

    def start(self) -> None:
        """Start the polling thread, which runs until the process exits."""
        threading.Thread(target=self.run, name="idle-poller", daemon=True).start()

    def add(self, connection: PollableConnection) -> None:
        """Wait for the first bytes of a new connection; may be called from any thread.

        Raises:
            OSError: The connection can't be registered with epoll.
        """
        self._wait_for(connection, self.epoll.register)

    def resume(self, connection: PollableConnection) -> None:
        """Wait again for a connection that was added before; called on its reader thread.

        Raises:
            OSError: The connection can't be registered with epoll.
        """
        self._wait_for(connection, self.epoll.modify)

    def _wait_for(self, connection: PollableConnection, register: Callable[[int, int], None]) -> None:
        descriptor = connection.sock.fileno()
        # Without the lock, the connection could time out and be closed between the two steps. The
        # registration would then apply to another connection that was given the same descriptor.
        with self.lock:
            self.waiting[descriptor] = connection
            try:
                register(descriptor, select.EPOLLIN | select.EPOLLONESHOT)
            except OSError:
                del self.waiting[descriptor]
                raise

    def is_waiting(self, connection: PollableConnection) -> bool:
        """Return whether the connection waits in the poller, without an active reader."""
        return self.waiting.get(connection.sock.fileno()) is connection

    def run(self) -> None:
        """Poll until the process exits; an internal error is reported and does not end the thread."""
        while True:
            try:
                self.poll_once()
            except Exception as error:
                self.reader_threads.metrics.report_internal_error("idle-poller", error)

    def poll_once(self) -> None:
        """Pass on the connections that have bytes to read, then those that have timed out."""
        for descriptor, _ in self.epoll.poll(TIMEOUT_CHECK_INTERVAL_S, MAX_EVENTS_PER_POLL):
            connection = self.waiting.pop(descriptor, None)
            if connection is not None:  # None: the connection timed out in the last poll
                self.reader_threads.run(connection.read)
        now_s = time.monotonic()
        if now_s >= self.next_timeout_check_s:
            self.next_timeout_check_s = now_s + TIMEOUT_CHECK_INTERVAL_S
            self._pass_on_timed_out(now_s)

    def _pass_on_timed_out(self, now_s: float) -> None:
        for descriptor, connection in list(self.waiting.items()):
            if connection.check_timeouts(now_s):
                with self.lock:  # not between the two steps of `_wait_for`
                    del self.waiting[descriptor]
                # A last read, so that bytes that arrived since the poll are not lost.
                self.reader_threads.run(connection.read_before_close)
