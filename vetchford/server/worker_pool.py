"""The link to the worker pool, opened anew whenever it is lost."""

import socket
import time
from collections.abc import Callable
from typing import Any

from vetchford.protocol import worker_pool_lines
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError
from vetchford.runtime.actor import PooledActor, ThreadPool, start_thread
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.sockets import send_now, send_parts, shut

AGAIN = 0.02  # s between attempts; runs go on meanwhile, and the pool is on the same machine
AGAIN_MOST = 0.5  # s: while nobody is there
CONNECT = 2.0  # s


class WorkerPoolClient(PooledActor):
    """Writes commands of the link that is open; a thread of its own opens links and reads notices."""

    def __init__(self, address: tuple[str, int], module: Any, metrics: Metrics) -> None:
        super().__init__("pool", metrics, ThreadPool(metrics, 1))
        self.address, self.module = address, module
        self.last = 0  # number of the last notice read
        self.asked_again = 0  # number of the last that was missing or spoilt, and was asked for once more
        self.link, self.sock = 0, None
        self.out: list[bytes] = []  # emptied behind each batch of entries
        self.out_for = 0  # the link that it is for

    def move(self, address: tuple[str, int]) -> None:
        """From now on the pool is met there; its runs and the numbers of its notices go on."""
        if address != self.address:
            self.address = address
            if self.sock is not None:
                shut(self.sock)  # its reader opens the next link

    def start(self) -> None:
        self.thread_pool.start()
        start_thread(self.keep_link, "pool-reader", self.metrics)

    def send(self, link: int, parts: list[bytes]) -> None:
        if link != self.out_for:
            self.out, self.out_for = [], link
        self.out += parts

    def on_idle(self) -> None:
        """All that a batch brought in one write."""
        self.write(send_parts)

    def flush_nonblocking(self) -> None:
        self.write(send_now)

    def has_unwritten(self) -> bool:
        return bool(self.out)

    def write(self, send: Callable[..., list[bytes] | None]) -> None:
        parts, self.out = self.out, []
        sock = self.sock  # looked at before the link, which is counted up first: never the next one's
        if not parts or sock is None or self.out_for != self.link:
            return  # the module sends it again on the next link where it still matters
        try:
            self.out = send(sock, parts) or []
        except OSError as problem:
            self.metrics.log_sampled("pool_write_failed", problem=str(problem))
            shut(sock)

    def keep_link(self) -> None:
        pause = AGAIN
        while True:
            address = self.address
            try:
                sock = socket.create_connection(address, CONNECT)
            except OSError as problem:
                self.metrics.log_sampled("pool_refused", problem=str(problem))
                time.sleep(pause)
                pause = min(AGAIN_MOST, 2.0 * pause)
                continue
            pause, why = AGAIN, "closed"
            try:
                sock.settimeout(None)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                send_parts(sock, worker_pool_lines.bind(self.last))
                self.link, self.sock = self.link + 1, sock
                if address == self.address:  # else moved meanwhile: a link to the old place would never serve
                    self.read(sock)
            except (OSError, UnreadableStreamError) as problem:
                why = f"{type(problem).__name__}: {problem}"
            except Exception as problem:
                self.metrics.report_internal_error("pool-reader", problem)
            self.sock = None
            sock.close()
            self.metrics.log_sampled("pool_link_lost", why=why, last=self.last)
            self.module.post(self.module.pool_lost)
            if address == self.address:
                time.sleep(pause)

    def read(self, sock: socket.socket) -> None:
        inbox = ReceiveBuffer(2 * worker_pool_lines.MAX_LINE_BYTES)
        while count := sock.recv_into(inbox.free_space()):
            inbox.add_received(count)
            while (line := worker_pool_lines.next_line(inbox)) is not None:
                try:
                    message = worker_pool_lines.decode(line)
                except worker_pool_lines.BadLineError as problem:
                    self.metrics.log_sampled("pool_bad_line", problem=str(problem))
                    self.once_more(self.last + 1)  # it may have been that one
                    continue
                try:
                    self.take(*message)
                except worker_pool_lines.BadLineError as problem:
                    self.metrics.log_sampled("pool_bad_line", problem=str(problem))

    def once_more(self, number: int) -> None:
        """Has the notice told again on a new link; one that stays missing or spoilt is passed over then."""
        if number > self.asked_again:
            self.asked_again = number
            raise UnreadableStreamError(f"notice {number} did not arrive whole")

    def take(self, name: str, message: dict) -> None:
        module, number = self.module, message.get("n")
        fields: tuple[Any, ...] | None = ()
        if isinstance(number, int) and name in ("finished", "blocked", "chatter"):
            if number <= self.last:
                self.metrics.increment("pool_notices_again")
                return
            if number != self.last + 1:
                # The pool keeps what it said. An end passed over would leave its run on a core for good.
                self.metrics.log_sampled("pool_notices_missed", after=self.last, number=number)
                self.once_more(self.last + 1)
            try:
                fields = worker_pool_lines.decode_notice(name, message)
            except worker_pool_lines.BadLineError:
                self.once_more(number)
                self.last = number
                if name == "finished":
                    # The run is over all the same: left as running it would hold a core's place for good.
                    module.post_when_room(module.run_ended, str(message.get("job")), "errored", 0.0, "")
                raise
            self.last = number
        if name == "finished":
            module.post_when_room(module.run_ended, *(fields or worker_pool_lines.decode_run_ended(message)))
        elif name == "blocked":
            module.post_when_room(
                module.run_blocked, *(fields or worker_pool_lines.decode_run_blocked(message))
            )
        elif name == "polled":
            module.post_when_room(module.polled, *worker_pool_lines.decode_poll_answer(message))
        elif name == "bound":
            module.post(module.bound, self.link, *worker_pool_lines.decode_pool_bound(message))
        elif name == "unknown":
            command, task = str(message.get("state"))[:20], str(message.get("job"))[:64]
            module.post_when_room(module.command_unknown, command, task)
        elif name != "chatter":
            self.metrics.log_sampled("pool_bad_line", problem="field 'type' names no message")
