"""One connection of a client (usually a load balancer): reads its messages and writes the answers.

The actor owns the socket; `connection_state` decides what the connection waits for and when it is closed.
"""

import itertools
import math
import os
import socket
import threading
import time
from typing import Protocol

from vetchford.protocol import json_rpc
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError
from vetchford.runtime.actor import PooledActor
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.sockets import send_nonblocking, send_parts, shut_down
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.runtime.timers import unix_time_ms
from vetchford.server import connection_limits
from vetchford.server.client_messages import MessageHandler, RequestTarget
from vetchford.server.connection_limits import Crowding
from vetchford.server.connection_state import CLOSE, DISCARDING, REQUEST_CLOSE, CloseStep, ConnectionState
from vetchford.server.idle_poller import IdleConnectionPoller

_numbers = itertools.count(1)


class ConnectionSet(Protocol):
    """The part of the connection table that a connection uses."""

    def crowding(self) -> Crowding:
        """Return how full the table is."""

    def remove(self, connection: "ClientConnection") -> None:
        """Remove a closed connection and release its slot."""


class ClientConnectionOwner(RequestTarget, Protocol):
    """The part of the listener that a connection uses."""

    thread_pool: ThreadPool  # for writers
    reader_threads: ThreadPool
    idle_poller: IdleConnectionPoller
    message_handler: MessageHandler

    @property
    def connections(self) -> ConnectionSet:
        """The table that contains the connection."""


class ClientConnection(PooledActor):
    """A connection whose reader passes messages on, and whose actor writes the answers.

    At most one thread reads from the connection at a time. Between reads, the idle poller waits for the next
    bytes, so that an idle connection occupies no thread. The sections below say which thread calls a method.
    """

    def __init__(
        self,
        sock: socket.socket,
        owner: ClientConnectionOwner,
        metrics: Metrics,
        unread_since_unix_ms: float = -math.inf,
    ) -> None:
        """Take ownership of `sock`, which the connection closes at its end.

        The client has sent nothing before `unread_since_unix_ms`.
        """
        super().__init__("connection", metrics, owner.thread_pool)
        self.number = next(_numbers)
        self.sock = sock
        self.owner = owner
        self.admission = owner.admission
        self.state = ConnectionState(time.monotonic(), self.mailbox.empty)
        self.open_requests = self.state.open_requests

        # Reading.
        self.receive_buffer: ReceiveBuffer | None = None  # None while no message is partly received
        self.unread_since_unix_ms = unread_since_unix_ms  # when the socket was last seen without unread bytes
        self.bad_message_count = 0
        self.is_last_read = False  # the reader does not wait for more bytes
        self.reading_stopped = False  # the worker pool does not know the client's requests

        # Writing.
        self.outgoing: list[bytes] = []  # written at the end of each batch of entries
        self.reply_slots = threading.BoundedSemaphore(connection_limits.MAX_UNWRITTEN_REPLIES)

    # -- reading, on a reader thread

    def read(self) -> None:
        """Handle the received bytes, then wait in the idle poller or end the connection."""
        if self._receive():
            self._wait_for_bytes()
        else:
            self._finish_reading()

    def read_before_close(self) -> None:
        """Handle what has arrived since the connection timed out; end the connection if no message did."""
        state = self.state
        if state.message_has_started():
            self._stop_parsing("timed out with an incomplete message")
        had_sent_no_message = not state.has_sent_message
        self.is_last_read = True
        may_read_on = self._receive()
        if (
            may_read_on
            and state.has_sent_since_timeout(had_sent_no_message)
            and state.reading is not DISCARDING
        ):
            # The client sent a message as the connection timed out, and may send more before it learns of the
            # close. Closing the socket with unread bytes would reset the connection and lose the answer.
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
            # Without the registration, the connection would never be read, closed or removed from the table.
            self.metrics.log_sampled("connections_not_watched", problem=str(error))
            self.state.broken = True
            self._finish_reading()

    def _receive(self) -> bool:
        """Handle all received bytes; return False once the connection is not to be read any more."""
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
                self.unread_since_unix_ms = unix_time_ms()
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
            self.receive_buffer = None  # saves memory, as hundreds of connections may be idle
        return True

    def _may_wait_for_message(self) -> bool:
        """Return whether to block for READ_WAIT_TIMEOUT_S, which avoids the cost of using the poller."""
        if not self.state.has_answered or self.is_last_read:
            return False
        return self.owner.reader_threads.has_spare_threads()

    def _handle_messages(self, buffer: ReceiveBuffer) -> None:
        state = self.state
        try:
            while (body := json_rpc.next_body(buffer)) is not None:
                self._raise_if_reset()
                state.message_received(time.monotonic())
                if self.reading_stopped:
                    raise UnreadableStreamError("the worker pool does not know the requests of this client")
                self.owner.message_handler.handle(self, body)
                state.message_handled()
        except UnreadableStreamError as error:
            self._stop_parsing(str(error))
            buffer.start = buffer.end = 0
            return
        if buffer.start < buffer.end:
            state.message_continues(time.monotonic())

    def _raise_if_reset(self) -> None:
        """Raise OSError if the client has reset the connection.

        The kernel still returns the bytes that arrived before the reset, but nobody waits for their answers.
        """
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))

    def is_gone(self) -> bool:
        """Return whether the connection broke, so that no answer can reach the client."""
        return self.state.broken

    def _stop_parsing(self, reason: str) -> None:
        """Send `reason` as an error, and discard further input until all open requests are answered.

        Closing the socket with unread bytes would reset the connection and lose answers.
        """
        self.metrics.log_sampled("balancer_unfollowable", problem=reason)
        self.state.parsing_failed(time.monotonic())
        if self.reply_slots.acquire(blocking=False):
            self.run_or_post(self._write_reply, json_rpc.error(None, json_rpc.INVALID_REQUEST, reason))
        self.run_or_post(self._end_after_answers)

    def _finish_reading(self) -> None:
        if self.state.broken:
            self.admission.post(self.admission.client_disconnected, self)
        self.run_or_post(self._set_reading_done)

    def reply(self, parts: list[bytes]) -> None:
        """Send a reply that belongs to no open request; called on the reader thread.

        Raises:
            OSError: The client does not read its replies.
        """
        if not self.reply_slots.acquire(blocking=False):
            raise ConnectionError("the client does not read its replies")
        self.run_or_post(self._write_reply, parts)

    # -- timeouts, on the polling thread and the admission actor's thread

    def check_timeouts(self, now_s: float) -> bool:
        """Return whether the connection has timed out at `now_s` (monotonic) and is to be closed.

        The client of a connection that is idle for too long is first asked to close the connection.
        """
        action = self.state.timeout_action(now_s, self.owner.connections.crowding)
        if action is REQUEST_CLOSE:
            self.metrics.increment("connections_asked_to_close")
            self.run_or_post(self.request_close)
        return action is CLOSE

    def is_finished(self, now_s: float, close_timeout_s: float) -> bool:
        """Return whether the client was asked to close `close_timeout_s` ago and nothing is left to do."""
        return self.state.is_finished(now_s, close_timeout_s)

    def has_unread_bytes(self) -> bool:
        """Return whether received bytes are not handled yet, in the kernel's buffer or by a reader thread."""
        if self.state.ignores_input():
            return False
        try:
            if self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        except OSError:  # no bytes are available, or the socket is closed
            pass
        # Checked after the peek. Bytes received before it are with a reader or have become open requests.
        return self.running and not self.owner.idle_poller.is_waiting(self)

    # -- writing: entries of the actor

    def answer(self, rpc_id: int, parts: list[bytes]) -> None:
        """Send the answer to an open request without blocking; called by the admission actor."""
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
        """Stop reading, as the worker pool does not know the client's requests; an entry of the actor."""
        self.reading_stopped = True
        self._end_after_answers()
        shut_down(self.sock, socket.SHUT_RD)

    def _end_after_answers(self) -> None:
        self.request_close()
        self.state.ends_after_answers = True

    def _set_reading_done(self) -> None:
        self.state.reading_done = True

    def on_idle(self) -> None:
        """Write the output of a batch of entries, for WRITE_TIMEOUT_S at most; then close if finished."""
        if self.outgoing:
            self._write_all()
            self.state.last_active_at_s = time.monotonic()
        self.state.writing = False
        self._close_if_finished()

    def flush_nonblocking(self) -> None:
        """Write as much as the kernel accepts at once; `on_idle` writes the rest on a thread of the pool."""
        self.state.last_active_at_s = time.monotonic()
        if self.state.broken:
            self.outgoing = []
        try:
            if self.outgoing:
                self.outgoing = send_nonblocking(self.sock, self.outgoing)
        except OSError:
            self._on_write_failed()
        self.state.writing = bool(self.outgoing)
        if not self.outgoing:
            self._close_if_finished()

    def has_unwritten(self) -> bool:
        """Return whether bytes are left to write after `flush_nonblocking`."""
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
        shut_down(self.sock)
        self.admission.post(self.admission.client_disconnected, self)

    def _close_if_finished(self) -> None:
        for step in self.state.close_steps():
            if step is CloseStep.STOP_SENDING:
                shut_down(self.sock, socket.SHUT_WR)
            else:
                self.running = False
                self.sock.close()
                self.owner.connections.remove(self)
