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
from vetchford.runtime.sockets import connected, send_parts, shut
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.runtime.timers import unix_time_ms

REUSE_TIMEOUT_S = 0.5  # from its last reply: the service closes or forgets idle connections early
MAX_CALLS_PER_CONNECTION = 256  # it remembers each; a new connection costs less than a call does
CONNECT_TIMEOUT_S = 1.0  # past it the connection counts as refused, and no call was sent on it

REUSABLE_AFTER = (Outcome.COMPLETED, Outcome.SATURATED, Outcome.ERRORED)  # a whole reply was received


class RecordsCall(NamedTuple):
    """One call of a request."""

    name: str  # the request's name, which the service answers by
    number: int  # the admission actor's number of the call
    deadline_unix_ms: float
    body: bytes
    not_repeatable: bool  # must not be made again unless it provably never ran


class CallResult(NamedTuple):
    """What came of a call."""

    outcome: Outcome | None  # None: the call was cancelled before it was sent
    reply: bytes


NO_REPLY = CallResult(Outcome.SEVERED, b"")


class CallEvents(Mailbox, Protocol):
    """What the admission actor is told of dependency calls; each is posted to its mailbox."""

    def call_ended(self, number: int, outcome: Outcome, reply: bytes) -> None:
        """Take the outcome of the call of that number."""


class RecordsConnectionOwner(Protocol):
    """The client that the connection belongs to."""

    address: tuple[str, int] | None
    admission: CallEvents
    lock: threading.Lock
    metrics: Metrics
    thread_pool: ThreadPool

    def on_call_ended(self, number: int, connection: "RecordsConnection", reusable: bool) -> None:
        """Take the connection back after its call; called on its thread."""


class RecordsConnection(PooledActor):
    """A connection, opened by its first call. `make_call` and `close` are entries of the actor."""

    def __init__(self, owner: RecordsConnectionOwner) -> None:
        """Create a connection to the address that the owner has now."""
        super().__init__("records-connection", owner.metrics, owner.thread_pool)
        self.owner = owner
        self.address = owner.address
        self.sock: socket.socket | None = None
        self.receive_buffer = ReceiveBuffer(records_lines.MAX_REPLY_BYTES + 2 * records_lines.MAX_LINE_BYTES)
        # Names that were called with here: a late second reply to one would pass for the reply to its next
        # call. Bounded, as a connection in steady use never ends by being idle.
        self.called_names: set[str] = set()
        self.last_used_at_s = 0.0  # monotonic
        self.cancelled = False

    def is_reusable_for(self, name: str) -> bool:
        """Return whether a call of this name may follow the last one: soon after it, with nothing unread."""
        if self.sock is None or name in self.called_names:
            return False
        if len(self.called_names) >= MAX_CALLS_PER_CONNECTION:
            return False
        if time.monotonic() - self.last_used_at_s > REUSE_TIMEOUT_S:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # closed by the service, or it has sent more than was asked for

    def make_call(self, call: RecordsCall) -> None:
        """Make a call, wait for its reply and post the outcome to the admission actor."""
        result = NO_REPLY  # unless more is known: it may have run
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
        reusable = result.outcome in REUSABLE_AFTER and nothing_unread and not self.cancelled
        self.owner.on_call_ended(call.number, self, reusable)

    def _exchange(self, call: RecordsCall) -> CallResult:
        """Send the call and receive its reply; raise OSError or UnreadableStreamError if none comes."""
        if self.sock is None:
            try:
                self.sock = self._connect()
            except OSError as error:
                self.metrics.log_sampled("records_refused", problem=str(error))
                return CallResult(Outcome.REFUSED_CONNECTION, b"")
            self.metrics.increment("records_connected")
        timeout_ms = int(call.deadline_unix_ms - unix_time_ms())
        if timeout_ms < 1 or self.cancelled:
            return CallResult(None, b"")  # the admission actor has cut it off, or is about to
        self.called_names.add(call.name)
        send_parts(self.sock, records_lines.call(call.name, timeout_ms, call.body))
        return self._receive_reply(self.sock, call.name)

    def _connect(self) -> socket.socket:
        if self.address is None:
            raise ConnectionRefusedError("there is no records service")
        return connected(self.address, CONNECT_TIMEOUT_S)

    def _receive_reply(self, sock: socket.socket, name: str) -> CallResult:
        buffer = self.receive_buffer
        while True:
            while (reply := records_lines.next_reply(buffer)) is not None:
                if reply.name == name:
                    return CallResult(reply.outcome, bytes(reply.body or b""))
                self.metrics.increment("records_late_replies")  # of a call that is no longer made here
            count = sock.recv_into(buffer.free_space())
            if not count:
                raise ConnectionResetError("closed")
            buffer.add_received(count)

    def cancel(self, name: str) -> None:
        """Give up the call that is being made, without blocking.

        Called by the owner under its lock, while the connection's own thread waits for the reply.
        """
        self.cancelled = True
        if self.sock is not None:
            with suppress(OSError):  # full or broken: the end of the connection gives the call up as well
                self.sock.sendmsg(records_lines.cancel(name), [], socket.MSG_DONTWAIT)
            shut(self.sock)

    def close(self) -> None:
        """Close the connection; the last entry of the actor."""
        self.running = False
        with self.owner.lock:  # not during `cancel`: another connection may have its descriptor by then
            if self.sock is not None:
                self.sock.close()
