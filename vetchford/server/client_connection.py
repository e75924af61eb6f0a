"""One connection of a client (a balancer): reads its messages and writes the answers.

The actor owns the socket; `connection_state` decides what the connection waits for and when it is closed.
"""

import socket
import threading
import time
from typing import Protocol

from vetchford.protocol import json_rpc
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError
from vetchford.runtime.actor import PooledActor
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.sockets import send_now, send_parts, shut
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.server import connection_limits
from vetchford.server.client_messages import MessageHandler, RequestTarget
from vetchford.server.connection_limits import Crowding
from vetchford.server.connection_state import CLOSE, DISCARDING, REQUEST_CLOSE, CloseStep, ConnectionState
from vetchford.server.idle_poller import IdleConnectionPoller


class ConnectionSet(Protocol):
    """The table of open connections, as far as a connection needs it."""

    def crowding(self) -> Crowding:
        """Return how full the table is."""

    def remove(self, connection: "ClientConnection") -> None:
        """Take out a closed connection, and free its slot."""


class ClientConnectionOwner(RequestTarget, Protocol):
    """The listener that accepted the connection, as far as the connection needs it."""

    thread_pool: ThreadPool  # for writers
    reader_threads: ThreadPool
    idle_poller: IdleConnectionPoller
    messages: MessageHandler

    @property
    def connections(self) -> ConnectionSet:
        """The table that the connection is in."""


class ClientConnection(PooledActor):
    """A connection whose reader hands messages on, and whose actor writes the answers.

    At most one reader thread reads it at a time; while none does, the idle poller waits for its next bytes,
    so that an idle connection costs no thread. Methods of the reader and of the actor are marked as such.
    """

    def __init__(self, sock: socket.socket, owner: ClientConnectionOwner, metrics: Metrics) -> None:
        """Take over `sock`, which the connection closes at its end."""
        super().__init__("connection", metrics, owner.thread_pool)
        self.sock = sock
        self.owner = owner
        self.admission = owner.admission
        self.state = ConnectionState(time.monotonic(), self.mailbox.empty)
        self.open_requests = self.state.open_requests

        # Reading.
        self.receive_buffer: ReceiveBuffer | None = None  # only while part of a message was received
        self.bad_message_count = 0
        self.is_last_read = False  # the reader doesn't wait for more bytes
        self.reading_stopped = False  # its requests are not trusted any more

        # Writing.
        self.outgoing: list[bytes] = []  # written at the end of each batch of entries
        self.reply_slots = threading.BoundedSemaphore(connection_limits.MAX_UNWRITTEN_REPLIES)

    # -- reading, on a reader thread

    def read(self) -> None:
        """Handle what has arrived, then wait in the idle poller or end the connection."""
        if self._receive():
            self._wait_for_bytes()
        else:
            self._finish_reading()

    def read_before_close(self) -> None:
        """Handle what has arrived since the connection timed out; end it unless that was a message."""
        state = self.state
        if state.message_has_started():
            self._stop_parsing("a message was begun and not ended")
        was_silent = not state.has_sent_message
        self.is_last_read = True
        more = self._receive()
        if more and state.has_spoken(was_silent) and state.reading is not DISCARDING:
            # The client sent a message while it timed out, and may send more before it learns of the close.
            # Closing with that unread would reset the connection and lose the answer.
            self.is_last_read = False
            self._wait_for_bytes()
            return
        if not state.has_sent_message:
            self.metrics.increment("connections_silent")
        self._finish_reading()

    def _wait_for_bytes(self) -> None:
        try:
            self.owner.idle_poller.resume(self)
        except OSError as error:
            # Unwatched it would stay in the table for ever, neither read nor closed.
            self.metrics.log_sampled("connections_not_watched", problem=str(error))
            self.state.broken = True
            self._finish_reading()

    def _receive(self) -> bool:
        """Handle all that has arrived; return False once nothing more is to be read."""
        try:
            return self._receive_until_blocked()
        except OSError:
            self.state.broken = True
        except UnreadableStreamError as error:
            self._stop_parsing(str(error))
        except Exception as error:
            self.state.broken = True
            self.metrics.report_internal_error("connection-reader", error)
        return False

    def _receive_until_blocked(self) -> bool:
        while True:
            if self.receive_buffer is None:
                self.receive_buffer = ReceiveBuffer(connection_limits.RECEIVE_BUFFER_BYTES)
            buffer = self.receive_buffer
            flags = 0 if self._may_wait_for_message() else socket.MSG_DONTWAIT
            try:
                count = self.sock.recv_into(buffer.free_space(), 0, flags)
            except BlockingIOError:
                break
            if not count:
                return False
            if self.state.reading is DISCARDING:
                if not self.state.bytes_discarded(count):
                    return False
            else:
                buffer.add_received(count)
                self._handle_messages(buffer)
        if not self.state.message_has_started():
            self.receive_buffer = None  # hundreds of idle connections keep no buffers
        return True

    def _may_wait_for_message(self) -> bool:
        """Return whether to block for READ_WAIT_TIMEOUT_S, which saves the way through the poller."""
        if not self.state.has_answered or self.is_last_read:
            return False
        return self.owner.reader_threads.has_spare_threads()

    def _handle_messages(self, buffer: ReceiveBuffer) -> None:
        state = self.state
        try:
            while (body := json_rpc.next_body(buffer)) is not None:
                state.message_received(time.monotonic())
                if self.reading_stopped:
                    raise UnreadableStreamError("its tasks are unknown to the worker pool")
                self.owner.messages.handle(self, body)
                state.message_handled()
        except UnreadableStreamError as error:
            self._stop_parsing(str(error))
            buffer.start = buffer.end = 0
            return
        if buffer.start < buffer.end:
            state.message_continues(time.monotonic())

    def _stop_parsing(self, reason: str) -> None:
        """Send `reason` as an error, and discard what still arrives until all open requests are answered.

        Closed with bytes unread, the system would reset the connection, and answers would be lost.
        """
        self.metrics.log_sampled("balancer_unfollowable", problem=reason)
        self.state.parsing_failed(time.monotonic())
        if self.reply_slots.acquire(blocking=False):
            self.run_or_post(self._write_reply, json_rpc.error(None, json_rpc.INVALID_REQUEST, reason))
        self.run_or_post(self._end_after_answers)

    def _finish_reading(self) -> None:
        if self.state.broken:
            self.admission.post(self.admission.client_gone, self)
        self.run_or_post(self._set_reading_done)

    def reply(self, parts: list[bytes]) -> None:
        """Send a reply that belongs to no open request; called by the reader.

        Raises:
            OSError: The client does not read its replies.
        """
        if not self.reply_slots.acquire(blocking=False):
            raise ConnectionError("replies are not read")
        self.run_or_post(self._write_reply, parts)

    # -- timeouts, on the polling thread and on that of the admission actor

    def check_timeouts(self, now_s: float) -> bool:
        """Return whether the connection has timed out at `now_s` (monotonic) and is to be closed.

        One that is idle for too long is first asked to close, which takes effect at a later check.
        """
        action = self.state.timeout_action(now_s, self.owner.connections.crowding)
        if action is REQUEST_CLOSE:
            self.metrics.increment("connections_asked_to_close")
            self.run_or_post(self.request_close)
        return action is CLOSE

    def is_finished(self, now_s: float, close_timeout_s: float) -> bool:
        """Return whether it was asked to close `close_timeout_s` ago, and nothing is left to do."""
        return self.state.is_finished(now_s, close_timeout_s)

    def has_unread_bytes(self) -> bool:
        """Return whether bytes wait that were not handled yet, in the system's buffer or with a reader."""
        if self.state.ignores_input():
            return False
        try:
            if self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        except OSError:  # nothing is there, or the socket is closed
            pass
        # After the peek: what was received before it is with a reader, or among the open requests by now.
        return self.running and not self.owner.idle_poller.is_waiting(self)

    # -- writing: entries of the actor

    def answer(self, rpc_id: int, parts: list[bytes]) -> None:
        """Send the answer to an open request; called by the admission actor, never blocks."""
        self.run_or_post(self._write_answer, rpc_id, parts)

    def _write_answer(self, rpc_id: int, parts: list[bytes]) -> None:
        self.state.answer_queued(rpc_id)
        self.outgoing += parts

    def _write_reply(self, parts: list[bytes]) -> None:
        self.outgoing += parts
        self.reply_slots.release()

    def request_close(self) -> None:
        """Ask the client to close the connection; an entry of the actor."""
        if self.state.close_requested_at_s is None:
            self.outgoing += json_rpc.closing()
            self.state.close_requested(time.monotonic())

    def stop_reading(self) -> None:
        """Read nothing more, as the worker pool doesn't know its requests; an entry of the actor."""
        self.reading_stopped = True
        self._end_after_answers()
        shut(self.sock, socket.SHUT_RD)

    def _end_after_answers(self) -> None:
        self.request_close()
        self.state.ends_after_answers = True

    def _set_reading_done(self) -> None:
        self.state.reading_done = True

    def on_idle(self) -> None:
        """Write what a batch of entries left, for WRITE_TIMEOUT_S at most; then close if finished."""
        if self.outgoing:
            self._write_all()
            self.state.last_active_at_s = time.monotonic()
        self.state.writing = False
        self._close_if_finished()

    def flush_nonblocking(self) -> None:
        """Write what the system takes at once; the rest is left to `on_idle` on a thread of the pool."""
        self.state.last_active_at_s = time.monotonic()
        if self.state.broken:
            self.outgoing = []
        try:
            if self.outgoing:
                self.outgoing = send_now(self.sock, self.outgoing)
        except OSError:
            self._on_write_failed()
        self.state.writing = bool(self.outgoing)
        if not self.outgoing:
            self._close_if_finished()

    def has_unwritten(self) -> bool:
        """Return whether `flush_nonblocking` has left bytes to write."""
        return bool(self.outgoing)

    def _write_all(self) -> None:
        parts = self.outgoing
        self.outgoing = []
        if self.state.broken:
            return
        try:
            send_parts(self.sock, parts)
        except OSError:
            self._on_write_failed()

    def _on_write_failed(self) -> None:
        self.state.broken = True
        self.outgoing = []
        shut(self.sock)
        self.admission.post(self.admission.client_gone, self)

    def _close_if_finished(self) -> None:
        for step in self.state.close_steps():
            if step is CloseStep.STOP_SENDING:
                shut(self.sock, socket.SHUT_WR)
            else:
                self.running = False
                self.sock.close()
                self.owner.connections.remove(self)
