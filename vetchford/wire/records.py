"""The records service: calls over a shared connection, told apart by number."""

import socket
import threading
import time
from typing import Any

from vetchford.lifecycle.actor import Actor, begin_thread
from vetchford.lifecycle.counts import Counts
from vetchford.wire import recordlines
from vetchford.wire.inbox import Inbox, UnfollowableError
from vetchford.wire.sockets import send_parts, shut

IDLE = 8.0  # s: the service closes after 10; a call written into such a close would prove nothing
CONNECT = 1.0  # s: a connection that isn't accepted by then is taken as refused; no call was sent on it
MOST_GIVEN_UP = 1000  # on one connection, before calls move to a new one


class Records(Actor):
    """Writes calls as told; a thread reads each connection. Ends of calls go to `module.call_ended`."""

    def __init__(self, address: tuple[str, int], module: Any, counts: Counts) -> None:
        super().__init__("records", counts)
        self.address, self.module = address, module
        self.line: Line | None = None  # the connection that new calls go on
        self.retired: list[Line] = []  # those that still have calls; emptied as they break

    def move(self, address: tuple[str, int]) -> None:
        """New calls go there; those that are out end on the connection they went out on."""
        if address == self.address:
            return
        self.address = address
        if self.line is not None:
            self.line.retire()
            self.retired.append(self.line)
            self.line = None

    def op(self, name: str, number: int, until: float, body: bytes) -> None:
        wait = int(until - time.time() * 1000.0)
        if wait < 1:
            return  # the module has cut it, or is about to: it was never sent
        line = self.line
        if line is None or line.worn(name):
            line = self.connect()
            if line is None:
                self.module.tell(self.module.call_ended, number, "refused_conn", b"")
                return
        line.write(name, number, recordlines.op(name, wait, body))

    def connect(self) -> "Line | None":
        try:
            sock = socket.create_connection(self.address, CONNECT)
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as problem:
            self.counts.note("records_refused", problem=str(problem))
            return None
        self.retired = [line for line in self.retired if not line.broken]
        if self.line is not None:
            self.line.retire()
            self.retired.append(self.line)
        self.line = Line(sock, self)
        begin_thread(self.line.read, "records-reader", self.counts)
        self.counts.add("records_connected")
        return self.line

    def unop(self, name: str, number: int) -> None:
        for line in (self.line, *self.retired):
            if line is not None:
                line.give_up(name, number)


class Line:
    """One connection. `calls` is emptied by replies, by what is given up and by the end of the connection."""

    def __init__(self, sock: socket.socket, records: Records) -> None:
        self.sock, self.records = sock, records
        self.lock = threading.Lock()
        self.calls: dict[str, int] = {}
        self.given_up: set[str] = set()  # whose replies may still come; ends with the connection
        self.used, self.broken, self.retired = time.monotonic(), False, False

    def worn(self, name: str) -> bool:
        """Whether a call for this task needs another connection: a late reply would pass for its own."""
        idle = not self.calls and time.monotonic() - self.used > IDLE
        late = name in self.given_up or name in self.calls
        return self.broken or late or idle or len(self.given_up) > MOST_GIVEN_UP

    def write(self, name: str, number: int, parts: list[bytes]) -> None:
        with self.lock:
            self.calls[name] = number
            broken = self.broken
        self.used = time.monotonic()
        if broken:  # found out between the look and now: nothing was sent
            self.calls.pop(name, None)
            self.records.module.tell(self.records.module.call_ended, number, "refused_conn", b"")
            return
        try:
            send_parts(self.sock, parts)
        except OSError as problem:
            self.end(f"write: {problem}")

    def give_up(self, name: str, number: int) -> None:
        with self.lock:
            if self.calls.get(name) != number:
                return
            del self.calls[name]
            self.given_up.add(name)
        try:
            send_parts(self.sock, recordlines.unop(name))
        except OSError as problem:
            self.end(f"write: {problem}")

    def retire(self) -> None:
        """No new calls; closed with its last reply."""
        with self.lock:
            self.retired = True
            done = not self.calls
        if done:
            shut(self.sock)

    def read(self) -> None:
        inbox, why = Inbox(recordlines.MOST_REPLY + 2 * recordlines.MOST_LINE), "closed"
        try:
            while True:
                count = self.sock.recv_into(inbox.space())
                if not count:
                    break
                inbox.fed(count)
                while (reply := recordlines.next_reply(inbox)) is not None:
                    self.take(*reply)
        except (OSError, UnfollowableError) as problem:
            why = f"{type(problem).__name__}: {problem}"
        except Exception as problem:
            self.records.counts.broke("records-reader", problem)
        finally:
            self.end(why)
            self.sock.close()

    def take(self, name: str, code: str, body: memoryview | None) -> None:
        with self.lock:
            number = self.calls.pop(name, None)
            done = self.retired and not self.calls
        self.used = time.monotonic()
        if number is None:
            self.records.counts.add("records_late_replies")
        else:
            module = self.records.module
            module.tell(module.call_ended, number, code, bytes(body or b""))
        if done:
            shut(self.sock)

    def end(self, why: str) -> None:
        with self.lock:
            self.broken = True
            severed, self.calls = self.calls, {}
        if severed or why != "closed":
            self.records.counts.note("records_link_lost", why=why, calls=len(severed))
        for number in severed.values():
            self.records.module.tell(self.records.module.call_ended, number, "severed", b"")
        shut(self.sock)
