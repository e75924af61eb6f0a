"""The records service: a connection for each call that is out, so that what spoils one costs no other."""

import socket
import threading
import time
from collections import deque
from contextlib import suppress
from typing import Any

from vetchford.protocol import records_lines
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError
from vetchford.runtime.actor import PooledActor, ThreadPool
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.sockets import connected, send_parts, shut

FRESH = 0.5  # s since its last reply that a connection is used again: idle ones are closed or forgotten early
KEPT = 4  # of its connections one in so many may wait for the next call; the others are there for calls
MOST_HAD = 256  # calls on one connection, whose tasks it has to know; a new one costs less than a call does
CONNECT = 1.0  # s: a connection that isn't accepted by then is taken as refused; no call was sent on it


class RecordsClient:
    """Gives each call a line of its own, an actor. Ends of calls go to `module.call_ended`."""

    def __init__(self, address: tuple[str, int] | None, most: int, module: Any, metrics: Metrics) -> None:
        """`most` connections at once, for the sake of descriptors; calls beyond wait for their turn.

        No `address`: nothing is below, and a call is as good as refused.
        """
        self.address, self.module, self.metrics, self.thread_pool = (
            address,
            module,
            metrics,
            ThreadPool(metrics, 2 * most),
        )
        self.lock = threading.Lock()  # the module, the lines and a renewal use the tables
        self.most_free = max(1, most // KEPT)
        self.most_out = most - self.most_free
        self.free: list[RecordsConnection] = []  # the last used at the end; emptied by use and by a move
        self.out: dict[
            int, RecordsConnection
        ] = {}  # by the number of their call; emptied as it ends or is given up
        self.waiting: deque[tuple[str, int, float, bytes, bool]] = deque()  # emptied as lines come free

    def start(self) -> None:
        self.thread_pool.start()

    def move(self, address: tuple[str, int] | None) -> None:
        """New calls go there; those that are out end on the connection they went out on."""
        with self.lock:
            unused, self.free = (self.free, []) if address != self.address else ([], self.free)
            self.address = address
        for line in unused:
            line.post(line.end)

    def op(self, name: str, number: int, until: float, body: bytes, once: bool) -> None:
        """`once`: a call that must not be made again unless it never ran; `until` in Unix ms."""
        with self.lock:
            if len(self.out) >= self.most_out:
                self.waiting.append((name, number, until, body, once))
                return
            self.send_out(name, number, until, body, once)

    def send_out(self, name: str, number: int, until: float, body: bytes, once: bool) -> None:
        """Under the lock: a call is among the waiting or has a line, so that `unop` finds it at any time."""
        line = self.out[number] = self.line_for(name, once)
        line.post(line.exchange, name, number, until, body)

    def line_for(self, name: str, once: bool) -> "RecordsConnection":
        # On a connection that was idle a reset may mean that it was forgotten, and that the call never ran.
        # That proves nothing: what may not be made again goes on a new one.
        while self.free and not once:
            line = self.free.pop()
            if line.good_for(name):
                return line
            line.post(line.end)
        return RecordsConnection(self)

    def ended(self, number: int, line: "RecordsConnection", good: bool) -> None:
        with self.lock:
            # A line that `unop` was given is about to be cut: kept, it would cut the next call on it instead.
            ours = self.out.pop(number, None) is not None
            kept = ours and good and line.address == self.address and len(self.free) < self.most_free
            if kept:
                self.free.append(line)
            while self.waiting and len(self.out) < self.most_out:
                self.send_out(*self.waiting.popleft())
        if not kept:
            line.post(line.end)

    def unop(self, name: str, number: int) -> None:
        with self.lock:
            line = self.out.pop(number, None)
            if line is None:
                self.waiting = deque(entry for entry in self.waiting if entry[1] != number)
            else:
                line.give_up(name)  # under the lock: the line can be neither used anew nor closed meanwhile


class RecordsConnection(PooledActor):
    """One connection, and at most one call at a time."""

    def __init__(self, records: RecordsClient) -> None:
        super().__init__("records-line", records.metrics, records.thread_pool)
        self.records, self.address = records, records.address
        self.sock: socket.socket | None = None
        self.inbox = ReceiveBuffer(records_lines.MAX_REPLY_BYTES + 2 * records_lines.MAX_LINE_BYTES)
        # Tasks with a call on it before: a second copy would pass for their next. Emptied by its own end,
        # which MOST_HAD brings: in steady use it is never idle, and would remember each task for good.
        self.had: set[str] = set()
        self.used, self.given_up = 0.0, False

    def good_for(self, name: str) -> bool:
        """Whether a call may follow the last one: soon after it, and with nothing come of itself."""
        if self.sock is None or name in self.had or len(self.had) >= MOST_HAD:
            return False
        if time.monotonic() - self.used > FRESH:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # closed by the service, or more has come than was asked for

    def exchange(self, name: str, number: int, until: float, body: bytes) -> None:
        module, metrics = self.records.module, self.records.metrics
        code, reply = "severed", b""  # unless it is known better: it may have run
        try:
            code, reply = self.call(name, until, body)
        except UnreadableStreamError as problem:
            if not self.given_up:
                metrics.log_sampled("records_spoilt", why=str(problem))
        except OSError as problem:
            if not self.given_up:
                metrics.log_sampled("records_link_lost", why=f"{type(problem).__name__}: {problem}")
        except Exception as problem:
            metrics.report_internal_error("records-line", problem)
        finally:
            if code and not self.given_up:
                module.post(module.call_ended, number, code, reply)
            self.used = time.monotonic()
            good = code in ("completed", "saturated", "errored") and self.inbox.start == self.inbox.end
            self.records.ended(number, self, good and not self.given_up)

    def call(self, name: str, until: float, body: bytes) -> tuple[str, bytes]:
        if self.sock is None:
            try:
                if self.address is None:
                    raise ConnectionRefusedError("there is no records service")
                sock = connected(self.address, CONNECT)
            except OSError as problem:
                self.records.metrics.log_sampled("records_refused", problem=str(problem))
                return "refused_conn", b""
            self.sock = sock
            self.records.metrics.increment("records_connected")
        wait = int(until - time.time() * 1000.0)
        if wait < 1 or self.given_up:
            return "", b""  # the module has cut it, or is about to: it was never sent
        self.had.add(name)
        send_parts(self.sock, records_lines.call(name, wait, body))
        while True:
            while (reply := records_lines.next_reply(self.inbox)) is not None:
                if reply.name == name:
                    return reply.outcome, bytes(reply.body or b"")
                self.records.metrics.increment("records_late_replies")  # it is for no call that is out here
            count = self.sock.recv_into(self.inbox.free_space())
            if not count:
                raise ConnectionResetError("closed")
            self.inbox.add_received(count)

    def give_up(self, name: str) -> None:
        """Without blocking and under the lock, while the line's own thread waits for the reply."""
        self.given_up = True
        if self.sock is not None:
            with suppress(OSError):  # a full or broken connection: its end gives the call up as well
                self.sock.sendmsg(records_lines.cancel(name), [], socket.MSG_DONTWAIT)
            shut(self.sock)

    def end(self) -> None:
        self.running = False
        with self.records.lock:  # not while it is given up: its number may be another connection's by then
            if self.sock is not None:
                self.sock.close()
