"""One connection to the records service, with at most one call at a time."""

import socket
import threading
import time
from contextlib import suppress
from typing import NamedTuple, Protocol

from vetchford.admission.request import Outcome
from vetchford.protocol import records_lines
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError
from vetchford.runtime.actor import Mailbox, PooledActor
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.sockets import open_connection, send_parts, shut_down
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.runtime.timers import unix_time_ms

REUSE_TIMEOUT_S = 0.5  # after the last reply, as the service closes or drops idle connections early
MAX_CALLS_PER_CONNECTION = 256  # bounds `called_request_ids`; a new connection costs less than a call
CONNECT_TIMEOUT_S = 1.0  # after it the connection counts as refused; no call was sent

REUSABLE_OUTCOMES = (Outcome.COMPLETED, Outcome.SATURATED, Outcome.ERRORED)  # a complete reply was received


class RecordsCall(NamedTuple):
    """One dependency call of a request."""

    request_id: str  # the service's reply carries it as its name
    number: int  # the admission actor's number of the call
    deadline_unix_ms: float
    body: bytes
    not_repeatable: bool  # must not be repeated unless it provably never ran


class CallResult(NamedTuple):
    """The outcome of a call and its reply."""

    outcome: Outcome | None  # None: the call was cancelled before it was sent
    reply: bytes


NO_REPLY = CallResult(Outcome.SEVERED, b"")


class CallEvents(Mailbox, Protocol):
    """The events of dependency calls, which are posted to the admission actor's mailbox."""

    def call_ended(self, number: int, outcome: Outcome, reply: bytes) -> None:
        """Handle the outcome of the call with this number."""


class RecordsConnectionOwner(Protocol):
    """The part of the records client that a connection uses."""

    address: tuple[str, int] | None
    admission: CallEvents
    lock: threading.Lock
    metrics: Metrics
    thread_pool: ThreadPool

    def on_call_ended(self, number: int, connection: "RecordsConnection", reusable: bool) -> None:
        """Keep or close the connection after its call; called on the connection's thread."""


class RecordsConnection(PooledActor):
    """A connection that its first call opens. `make_call` and `close` are entries of the actor."""

    def __init__(self, owner: RecordsConnectionOwner) -> None:
        """Create a connection to the owner's current address."""
        super().__init__("records-connection", owner.metrics, owner.thread_pool)
        self.owner = owner
        self.address = owner.address
        self.sock: socket.socket | None = None
        self.receive_buffer = ReceiveBuffer(records_lines.MAX_REPLY_BYTES + 2 * records_lines.MAX_LINE_BYTES)
        # Requests that made a call on this connection. They make no second call on it, as a late second reply
        # to the first call would be taken for the reply to the second. MAX_CALLS_PER_CONNECTION bounds the
        # set, as a connection in steady use is never closed for being idle.
        self.called_request_ids: set[str] = set()
        self.last_used_at_s = 0.0  # monotonic
        self.cancelled = False

    def is_reusable_for(self, request_id: str) -> bool:
        """Return whether a call of the request may use this connection: recently used, and nothing unread."""
        if self.sock is None or request_id in self.called_request_ids:
            return False
        if len(self.called_request_ids) >= MAX_CALLS_PER_CONNECTION:
            return False
        if time.monotonic() - self.last_used_at_s > REUSE_TIMEOUT_S:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # the service closed the connection or sent surplus bytes

    def make_call(self, call: RecordsCall) -> None:
        """Make a call, wait for its reply and post the outcome to the admission actor."""
        result = NO_REPLY  # unless a reply or a refusal proves otherwise, the call may have run
        try:
            result = self._exchange(call)
        except UnreadableStreamError as error:
            if not self.cancelled:
                self.metrics.log_sampled("records_spoilt", why=str(error))
        except OSError as error:
            if not self.cancelled:
                self.metrics.log_sampled("records_link_lost", why=f"{type(error).__name__}: {error}")
        except Exception as error:
            self.metrics.report_internal_error("records-connection", error)
        finally:
            self._end_call(call, result)

    def _end_call(self, call: RecordsCall, result: CallResult) -> None:
        if result.outcome and not self.cancelled:
            admission = self.owner.admission
            admission.post(admission.call_ended, call.number, result.outcome, result.reply)
        self.last_used_at_s = time.monotonic()
        nothing_unread = self.receive_buffer.start == self.receive_buffer.end
        reusable = result.outcome in REUSABLE_OUTCOMES and nothing_unread and not self.cancelled
        self.owner.on_call_ended(call.number, self, reusable)

    def _exchange(self, call: RecordsCall) -> CallResult:
        """Send the call and receive its reply; raise OSError or UnreadableStreamError without a reply."""
        if self.sock is None:
            try:
                self.sock = self._connect()
            except OSError as error:
                self.metrics.log_sampled("records_refused", problem=str(error))
                return CallResult(Outcome.REFUSED_CONNECTION, b"")
            self.metrics.increment("records_connected")
        timeout_ms = int(call.deadline_unix_ms - unix_time_ms())
        if timeout_ms < 1 or self.cancelled:
            return CallResult(None, b"")  # the admission actor has cancelled the call, or is about to
        self.called_request_ids.add(call.request_id)
        send_parts(self.sock, records_lines.call(call.request_id, timeout_ms, call.body))
        return self._receive_reply(self.sock, call.request_id)

    def _connect(self) -> socket.socket:
        if self.address is None:
            raise ConnectionRefusedError("no records service is configured")
        return open_connection(self.address, CONNECT_TIMEOUT_S)

    def _receive_reply(self, sock: socket.socket, request_id: str) -> CallResult:
        buffer = self.receive_buffer
        while True:
            while (reply := records_lines.next_reply(buffer)) is not None:
                if reply.request_id == request_id:
                    return CallResult(reply.outcome, bytes(reply.body or b""))
                self.metrics.increment("records_late_replies")  # reply to an earlier call on this connection
            count = sock.recv_into(buffer.free_space())
            if not count:
                raise ConnectionResetError("closed")
            buffer.add_received(count)

    def cancel(self, request_id: str) -> None:
        """Cancel the call in flight without blocking.

        Called by the owner under its lock, while the connection's own thread waits for the reply.
        """
        self.cancelled = True
        if self.sock is not None:
            # If the message can't be sent, shutting the connection down cancels the call too.
            with suppress(OSError):
                self.sock.sendmsg(records_lines.cancel(request_id), [], socket.MSG_DONTWAIT)
            shut_down(self.sock)

    def close(self) -> None:
        """Close the connection; the last entry of the actor."""
        self.running = False
        with self.owner.lock:  # not during `cancel`, which could then write to a reused descriptor
            if self.sock is not None:
                self.sock.close()
