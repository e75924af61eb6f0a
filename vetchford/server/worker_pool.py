"""Client of the worker pool: maintains one link, and reconnects whenever the link is lost."""

import socket
import time
from typing import Any, Protocol

from vetchford.admission.request import Outcome
from vetchford.protocol import worker_pool_lines
from vetchford.protocol.receive_buffer import UnreadableStreamError
from vetchford.protocol.worker_pool_lines import (
    BadLineError,
    Message,
    RunBlocked,
    RunEnded,
    UnknownMessageError,
)
from vetchford.protocol.worker_pool_stream import WorkerPoolStream
from vetchford.runtime.actor import Mailbox, PooledActor
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.sockets import MAX_PARTS_PER_WRITE, send_parts, shut_down, unsent
from vetchford.runtime.thread_pool import ThreadPool, start_thread
from vetchford.server.worker_pool_command import WorkerPoolCommand

RECONNECT_DELAY_S = 0.02  # short, as runs continue without a link and the worker pool is on the same machine
MAX_RECONNECT_DELAY_S = 0.5  # the delay doubles up to this while connections are refused
MAX_LOGGED_TYPE_LENGTH = 20  # characters
CONNECT_TIMEOUT_S = 2.0  # far more than a connection on one machine takes


class WorkerPoolEvents(Mailbox, Protocol):
    """The events of the worker pool, which are posted to the admission actor's mailbox."""

    def worker_pool_bound(self, link: int, cold: bool, started_ms_ago: float) -> None:
        """Handle the opening of a link."""

    def worker_pool_lost(self) -> None:
        """Handle the loss of the link."""

    def poll_answered(self, reference: str, gauges: list[float]) -> None:
        """Handle the answer to a poll."""

    def run_ended(self, request_id: str, outcome: Outcome, duration_ms: float, content: str) -> None:
        """Handle the end of a run; `content` is its result in base64."""

    def run_blocked(self, request_id: str, notice: int, body: bytes | None) -> None:
        """Handle the notice that a run waits for a dependency call; `body` is None if it can't be read."""

    def command_unknown(self, command: str, request_id: str) -> None:
        """Handle the worker pool's report that it did not carry out a command."""


class WorkerPoolClient(PooledActor):
    """Sends commands on the open link, and posts the worker pool's messages to the admission actor.

    The actor writes; a separate reader thread opens the links and reads from them. Links are numbered, so
    that a command for a lost link is not sent on the next link. Each command is marked before its first byte
    may be written. A lost link is shut down before its loss is posted, so no command is marked after that.
    """

    def __init__(self, address: tuple[str, int], admission: WorkerPoolEvents, metrics: Metrics) -> None:
        """Create the client of the worker pool at `address`; `start` opens the first link."""
        super().__init__("worker-pool", metrics, ThreadPool(metrics, 1))
        self.address = address
        self.admission = admission
        self.last_notice = 0  # number of the last notice that was read
        self.last_requested_again = 0  # number of the last notice that a replay was requested for
        self.link = 0  # number of the current link, or of the last one while no link is open
        self.sock: socket.socket | None = None  # None while no link is open
        self.outgoing: list[bytes] = []  # written at the end of each batch of entries
        self.outgoing_link = 0  # number of the link that `outgoing` is to be sent on
        self.unwritten_commands: list[WorkerPoolCommand] = []  # those in `outgoing` without a written byte

    def start(self) -> None:
        """Start the thread that opens and reads links; it runs until the process exits."""
        self.thread_pool.start()
        start_thread(self._maintain_link, "worker-pool-reader", self.metrics)

    def change_address(self, address: tuple[str, int]) -> None:
        """Connect to the worker pool at `address`, which continues the same runs; an entry of the actor."""
        if address != self.address:
            self.address = address
            if self.sock is not None:
                shut_down(self.sock)  # the reader thread then opens the next link

    # -- writing: entries of the actor

    def send(self, link: int, parts: list[bytes], command: WorkerPoolCommand | None = None) -> None:
        """Send `parts` on the link with this number; they are dropped if the link is lost.

        `command`: marked as written once a part may have been written.
        """
        if link != self.outgoing_link:
            self._drop_outgoing()
            self.outgoing_link = link
        self.outgoing += parts
        if command is not None:
            self.unwritten_commands.append(command)

    def on_idle(self) -> None:
        """Write the commands of a batch of entries; blocks."""
        self._write(blocking=True)

    def flush_nonblocking(self) -> None:
        """Write as much as the kernel accepts without blocking."""
        self._write(blocking=False)

    def has_unwritten(self) -> bool:
        """Return whether bytes are left to write after `flush_nonblocking`."""
        return bool(self.outgoing)

    def _drop_outgoing(self) -> None:
        self.outgoing = []
        self.unwritten_commands = []

    def _write(self, blocking: bool) -> None:
        # The reader thread increments `link` before it sets `sock`. Reading them in the opposite order rules
        # out that commands for the last link are written to the next link's socket.
        sock = self.sock
        if not self.outgoing:
            return
        if sock is None or self.outgoing_link != self.link:
            self._drop_outgoing()  # the admission actor sends commands that are still needed on the next link
            return
        try:
            self._write_once(sock, blocking)
            if blocking:
                send_parts(sock, self.outgoing)
                self.outgoing = []
        except OSError as error:
            self.metrics.log_sampled("pool_write_failed", problem=str(error))
            shut_down(sock)
            self._drop_outgoing()

    def _write_once(self, sock: socket.socket, blocking: bool) -> None:
        """Write some of `outgoing` by one system call, and mark the commands; an error writes nothing.

        Raises:
            OSError: The connection is broken.
        """
        commands = self.unwritten_commands
        for command in commands:
            command.written = True
        try:
            flags = 0 if blocking else socket.MSG_DONTWAIT
            written_bytes = sock.sendmsg(self.outgoing[:MAX_PARTS_PER_WRITE], [], flags)
        except OSError as error:
            for command in commands:
                command.written = False
            if not blocking and isinstance(error, BlockingIOError):
                return
            raise
        self.outgoing = unsent(self.outgoing, written_bytes)
        self.unwritten_commands = []

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
            shut_down(sock)  # before the loss is posted: from now on, the actor can't write to it
            self.post(sock.close)  # by the actor, which may be about to use the descriptor
            self.metrics.log_sampled("pool_link_lost", why=reason, last=self.last_notice)
            self.admission.post(self.admission.worker_pool_lost)
            if address == self.address:
                time.sleep(delay_s)

    def _use_link(self, sock: socket.socket, address: tuple[str, int]) -> str:
        """Bind the link and read from it until it is lost; return the reason of the loss."""
        try:
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            send_parts(sock, worker_pool_lines.bind(self.last_notice))
            self.link += 1  # before `sock` is set: see `_write`
            self.sock = sock
            if address == self.address:  # if it changed before `sock` was set, nothing would close this link
                self._read(sock)
        except (OSError, UnreadableStreamError) as error:
            return f"{type(error).__name__}: {error}"
        except Exception as error:
            self.metrics.report_internal_error("worker-pool-reader", error)
        return "closed"

    def _read(self, sock: socket.socket) -> None:
        stream = WorkerPoolStream()
        while count := sock.recv_into(stream.free_space()):
            stream.add_received(count)
            while self._handle_next_message(stream):
                pass

    def _handle_next_message(self, stream: WorkerPoolStream) -> bool:
        """Handle the next line; return False if it is incomplete."""
        try:
            message = stream.next_message()
        except BadLineError as error:
            self.metrics.log_sampled("pool_bad_line", problem=str(error))
            self._request_again(self.last_notice + 1)  # the line may have been the next notice
            return True
        if message is None:
            return False
        if message.long_line_bytes:
            self._log_long_line(message)
        try:
            self.handle_message(message.type, message.fields)
        except BadLineError as error:
            self.metrics.log_sampled("pool_bad_line", problem=str(error))
        return True

    def _log_long_line(self, message: Message) -> None:
        self.metrics.log_sampled(
            "pool_long_line",
            type=message.type[:MAX_LOGGED_TYPE_LENGTH],
            n=worker_pool_lines.notice_number(message.fields),
            bytes=message.long_line_bytes,
        )

    def _request_again(self, number: int) -> None:
        """Close the link, so that the worker pool replays notice `number` on the next link.

        This is done once for each notice: one that is missing or unreadable again is skipped.

        Raises:
            UnreadableStreamError: The replay of this notice was not requested before.
        """
        if number > self.last_requested_again:
            self.last_requested_again = number
            raise UnreadableStreamError(
                f"notice {number} is missing or unreadable; reconnecting to have it replayed"
            )

    # -- messages, on the reader thread

    def handle_message(self, message_type: str, fields: dict[str, Any]) -> None:
        """Post a message to the admission actor.

        Raises:
            BadLineError: The message is malformed or of an unknown type.
            UnreadableStreamError: The link must be reopened, so that a notice is replayed.
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
            # The worker pool replays its notices on the next link. If the notice of a run's end were lost,
            # the run would count as executing, and occupy a core, for ever.
            self.metrics.log_sampled("pool_notices_missed", after=self.last_notice, number=number)
            self._request_again(self.last_notice + 1)
        try:
            notice = worker_pool_lines.decode_notice(notice_type, fields)
        except BadLineError:
            self._request_again(number)
            self.last_notice = number
            # The run has ended or waits, although the rest is unreadable; it must not occupy a core longer.
            self._post_notice(worker_pool_lines.replacement_for_invalid(notice_type, fields))
            raise
        self.last_notice = number
        self._post_notice(notice)

    def _post_notice(self, notice: RunEnded | RunBlocked | None) -> None:
        if isinstance(notice, RunEnded):
            self.admission.post_when_room(self.admission.run_ended, *notice)
        elif isinstance(notice, RunBlocked):
            self.admission.post_when_room(self.admission.run_blocked, *notice)
