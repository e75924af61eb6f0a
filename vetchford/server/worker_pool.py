"""Client of the worker pool: one link, opened again whenever it is lost."""

import socket
import time
from collections.abc import Callable
from typing import Any, Protocol

from vetchford.admission.request import Outcome
from vetchford.protocol import worker_pool_lines
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError
from vetchford.protocol.worker_pool_lines import BadLineError, RunBlocked, RunEnded, UnknownMessageError
from vetchford.runtime.actor import Mailbox, PooledActor
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.sockets import send_now, send_parts, shut
from vetchford.runtime.thread_pool import ThreadPool, start_thread

RECONNECT_DELAY_S = 0.02  # between attempts: runs go on meanwhile, and the pool is on the same machine
MAX_RECONNECT_DELAY_S = 0.5  # what the delay doubles up to while nobody listens
CONNECT_TIMEOUT_S = 2.0  # far more than a connection on one machine takes


class WorkerPoolEvents(Mailbox, Protocol):
    """What the admission actor is told by the worker pool; each is posted to its mailbox."""

    def worker_pool_bound(self, link: int, cold: bool, started_ms_ago: float) -> None:
        """Take that a link is open."""

    def worker_pool_lost(self) -> None:
        """Take that the link is lost."""

    def poll_answered(self, reference: str, gauges: list[float]) -> None:
        """Take the answer to a poll."""

    def run_ended(self, request_id: str, outcome: Outcome, duration_ms: float, content: str) -> None:
        """Take the end of a run; `content` is its result in base64."""

    def run_blocked(self, request_id: str, notice: int, body: bytes) -> None:
        """Take that a run waits for a dependency call with this body."""

    def command_unknown(self, command: str, request_id: str) -> None:
        """Take that a command was not carried out."""


class WorkerPoolClient(PooledActor):
    """Sends commands on the open link, and posts the pool's messages to the admission actor.

    The actor writes. A thread of its own opens the links and reads them. Links are numbered, so that a
    command which was meant for a lost link is not sent on the next one.
    """

    def __init__(self, address: tuple[str, int], admission: WorkerPoolEvents, metrics: Metrics) -> None:
        """Create the client of the pool at `address`; `start` opens the first link."""
        super().__init__("worker-pool", metrics, ThreadPool(metrics, 1))
        self.address = address
        self.admission = admission
        self.last_notice = 0  # number of the last notice that was read
        self.last_requested_again = 0  # the last notice that was missing or unreadable; each is so once
        self.link = 0  # number of the link that is or was open
        self.sock: socket.socket | None = None  # None while no link is open
        self.outgoing: list[bytes] = []  # written at the end of each batch of entries
        self.outgoing_link = 0  # the link that `outgoing` is meant for

    def start(self) -> None:
        """Start the thread that opens and reads links, for the life of the process."""
        self.thread_pool.start()
        start_thread(self._maintain_link, "worker-pool-reader", self.metrics)

    def change_address(self, address: tuple[str, int]) -> None:
        """Go over to the pool at `address`, which goes on with the same runs; an entry of the actor."""
        if address != self.address:
            self.address = address
            if self.sock is not None:
                shut(self.sock)  # the reader opens the next link

    # -- writing: entries of the actor

    def send(self, link: int, parts: list[bytes]) -> None:
        """Send a command on the link of that number; it is dropped if the link is lost."""
        if link != self.outgoing_link:
            self.outgoing = []
            self.outgoing_link = link
        self.outgoing += parts

    def on_idle(self) -> None:
        """Write all that a batch of entries left, blocking."""
        self._write(send_parts)

    def flush_nonblocking(self) -> None:
        """Write what the system takes at once."""
        self._write(send_now)

    def has_unwritten(self) -> bool:
        """Return whether `flush_nonblocking` has left bytes to write."""
        return bool(self.outgoing)

    def _write(self, send: Callable[[socket.socket, list[bytes]], list[bytes] | None]) -> None:
        parts = self.outgoing
        self.outgoing = []
        # Read before the number of the link, which the reader raises first: never the next link's socket.
        sock = self.sock
        if not parts or sock is None or self.outgoing_link != self.link:
            return  # the admission actor sends it again on the next link if it is still needed
        try:
            self.outgoing = send(sock, parts) or []
        except OSError as error:
            self.metrics.log_sampled("pool_write_failed", problem=str(error))
            shut(sock)

    # -- the link, on the reader thread

    def _maintain_link(self) -> None:
        delay_s = RECONNECT_DELAY_S
        while True:
            address = self.address
            try:
                sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
            except OSError as error:
                self.metrics.log_sampled("pool_refused", problem=str(error))
                time.sleep(delay_s)
                delay_s = min(MAX_RECONNECT_DELAY_S, 2.0 * delay_s)
                continue
            delay_s = RECONNECT_DELAY_S
            reason = self._use_link(sock, address)
            self.sock = None
            sock.close()
            self.metrics.log_sampled("pool_link_lost", why=reason, last=self.last_notice)
            self.admission.post(self.admission.worker_pool_lost)
            if address == self.address:
                time.sleep(delay_s)

    def _use_link(self, sock: socket.socket, address: tuple[str, int]) -> str:
        """Bind and read until the link is lost; return why it was."""
        try:
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            send_parts(sock, worker_pool_lines.bind(self.last_notice))
            self.link += 1  # before the socket: see `_write`
            self.sock = sock
            if address == self.address:  # else it has changed, and nothing would close this link
                self._read(sock)
        except (OSError, UnreadableStreamError) as error:
            return f"{type(error).__name__}: {error}"
        except Exception as error:
            self.metrics.report_internal_error("worker-pool-reader", error)
        return "closed"

    def _read(self, sock: socket.socket) -> None:
        buffer = ReceiveBuffer(2 * worker_pool_lines.MAX_LINE_BYTES)
        while count := sock.recv_into(buffer.free_space()):
            buffer.add_received(count)
            while (line := worker_pool_lines.next_line(buffer)) is not None:
                self._handle_line(line)

    def _handle_line(self, line: memoryview) -> None:
        try:
            message = worker_pool_lines.decode(line)
        except BadLineError as error:
            self.metrics.log_sampled("pool_bad_line", problem=str(error))
            self._request_again(self.last_notice + 1)  # the line may have been that notice
            return
        try:
            self.handle_message(*message)
        except BadLineError as error:
            self.metrics.log_sampled("pool_bad_line", problem=str(error))

    def _request_again(self, number: int) -> None:
        """Break the link, as the pool tells the notice again on the next one; do so once for each notice.

        A notice that stays missing or unreadable is skipped.

        Raises:
            UnreadableStreamError: It is the first time.
        """
        if number > self.last_requested_again:
            self.last_requested_again = number
            raise UnreadableStreamError(f"notice {number} did not arrive whole")

    # -- messages, on the reader thread

    def handle_message(self, message_type: str, fields: dict[str, Any]) -> None:
        """Post a message to the admission actor.

        Raises:
            BadLineError: The message can't be understood.
            UnreadableStreamError: The link is to be opened again.
        """
        admission = self.admission
        if message_type in worker_pool_lines.NOTICES:
            self._handle_notice(message_type, fields)
        elif message_type == worker_pool_lines.POLLED:
            admission.post_when_room(admission.poll_answered, *worker_pool_lines.decode_poll_answer(fields))
        elif message_type == worker_pool_lines.BOUND:
            admission.post(
                admission.worker_pool_bound, self.link, *worker_pool_lines.decode_pool_bound(fields)
            )
        elif message_type == worker_pool_lines.UNKNOWN:
            admission.post_when_room(
                admission.command_unknown, *worker_pool_lines.decode_command_unknown(fields)
            )
        else:
            raise UnknownMessageError(message_type)

    def _handle_notice(self, notice_type: str, fields: dict[str, Any]) -> None:
        number = worker_pool_lines.notice_number(fields)
        if number is None:
            self._post_notice(worker_pool_lines.decode_notice(notice_type, fields))
            return
        if number <= self.last_notice:
            self.metrics.increment("pool_notices_again")
            return
        if number != self.last_notice + 1:
            # The pool keeps its notices. Without that of its end, a run would hold a core's place for ever.
            self.metrics.log_sampled("pool_notices_missed", after=self.last_notice, number=number)
            self._request_again(self.last_notice + 1)
        try:
            notice = worker_pool_lines.decode_notice(notice_type, fields)
        except BadLineError:
            self._request_again(number)
            self.last_notice = number
            if notice_type == worker_pool_lines.FINISHED:
                # The run is over all the same, and must not hold a core's place.
                self._post_notice(worker_pool_lines.unreadable_end(fields))
            raise
        self.last_notice = number
        self._post_notice(notice)

    def _post_notice(self, notice: RunEnded | RunBlocked | None) -> None:
        if isinstance(notice, RunEnded):
            self.admission.post_when_room(self.admission.run_ended, *notice)
        elif isinstance(notice, RunBlocked):
            self.admission.post_when_room(self.admission.run_blocked, *notice)
