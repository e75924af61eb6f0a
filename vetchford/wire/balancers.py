"""Balancers: the door where they connect, and an actor for each connection."""

import contextlib
import socket
import threading
import time
from typing import Any

from vetchford.lifecycle.actor import Actor, begin_thread
from vetchford.lifecycle.counts import Counts
from vetchford.wire import jsonrpc
from vetchford.wire.inbox import Inbox, UnfollowableError
from vetchford.wire.sockets import send_parts, shut

MOST_OPEN = 64  # tasks: twice the page's 32, as one that nobody waits for is open here until it is answered
MOST_REPLIES = 64  # to checks and bad messages, waiting to be written, before reading waits for them
CLOSES_IN = 0.5  # s after `closing`: balancers close at once, and what crosses a close comes within 50 ms
BACKLOG = 512
BUFFER = 2 * (jsonrpc.MOST_HEAD + jsonrpc.MOST_BODY)


class Connection(Actor):
    """Its reader hands tasks to the module; its writer, the actor's own thread, writes answers.

    `open` holds the ids that are read and whose answers haven't left; a closed connection has none.
    """

    def __init__(self, sock: socket.socket, doors: "Doors", counts: Counts) -> None:
        super().__init__("connection", counts)
        self.sock, self.doors, self.module = sock, doors, doors.module
        self.open: set[int | str] = set()
        self.used = time.monotonic()
        self.broken = self.read_all = self.ending = self.writing = False
        self.asked = 0.0  # when it was asked to close; 0: not yet
        self.room = threading.BoundedSemaphore(MOST_REPLIES)

    def begin(self) -> None:
        super().begin()
        begin_thread(self.read, "connection-reader", self.counts)

    # -- the reader

    def read(self) -> None:
        inbox = Inbox(BUFFER)
        try:
            while count := self.sock.recv_into(inbox.space()):
                inbox.fed(count)
                while (body := jsonrpc.next_body(inbox)) is not None:
                    self.take(body)
        except UnfollowableError as problem:
            self.counts.note("balancer_unfollowable", problem=str(problem))
            self.reply(jsonrpc.error(None, jsonrpc.INVALID_REQUEST, str(problem)))
            self.tell(self.end_after_answers)
            self.pass_over()
        except OSError:
            self.broken = True
        except Exception as problem:
            self.broken = True
            self.counts.broke("connection-reader", problem)
        finally:
            self.read_to_end()

    def read_to_end(self) -> None:
        if self.broken:
            self.module.tell(self.module.caller_gone, self)
        self.tell(self.read_out)

    def pass_over(self) -> None:
        # Closed with bytes unread the system would reset it, and answers on their way would be lost.
        waste = bytearray(4096)
        try:
            while self.sock.recv_into(waste):
                pass
        except OSError:
            self.broken = True

    def take(self, body: memoryview) -> None:
        self.used = time.monotonic()
        try:
            method, rpc_id, params = jsonrpc.decode(body)
            if rpc_id in self.open:
                raise jsonrpc.BadMessageError(jsonrpc.INVALID_REQUEST, f"id {rpc_id} is in use")
            if rpc_id is None:
                self.counts.add("balancer_notifications")  # nothing is owed to them
            elif method == "check":
                self.reply(jsonrpc.checked(rpc_id, self.doors.fit))
            else:
                self.request(method, rpc_id, params)
        except jsonrpc.BadMessageError as problem:
            self.counts.note("balancer_bad_message", code=problem.code, problem=str(problem))
            # Under the id of an open task this would pass for its answer.
            rpc_id = None if problem.rpc_id in self.open else problem.rpc_id
            self.reply(jsonrpc.error(rpc_id, problem.code, str(problem)))

    def request(self, method: str, rpc_id: int | str, params: dict) -> None:
        stage = self.doors.stages.get(method)
        if stage is None:
            raise jsonrpc.BadMessageError(jsonrpc.METHOD_NOT_FOUND, "method names no stage", rpc_id)
        if not isinstance(rpc_id, int):
            raise jsonrpc.BadMessageError(jsonrpc.INVALID_REQUEST, "field 'id' is no number", rpc_id)
        if len(self.open) >= MOST_OPEN:
            raise jsonrpc.BadMessageError(jsonrpc.INVALID_REQUEST, f"over {MOST_OPEN} tasks are open", rpc_id)
        name, door, limit, caller, team, work, kb, mark, content = jsonrpc.request_fields(params, rpc_id)
        tenant = -1 if team is None else self.doors.tenants.get(team)
        if tenant is None:
            raise jsonrpc.BadMessageError(jsonrpc.INVALID_PARAMS, "field 'team' names no tenant", rpc_id)
        self.open.add(rpc_id)
        self.module.tell_when_room(
            self.module.request,
            self,
            rpc_id,
            name,
            stage,
            method,
            tenant,
            caller,
            door,
            limit,
            work,
            kb,
            mark,
            content,
        )

    def reply(self, parts: list[bytes]) -> None:
        """Says at once what no task waits for; a peer that doesn't read its replies is not read on."""
        self.room.acquire()
        self.tell(self.write_reply, parts)

    # -- the writer

    def answer(self, rpc_id: int, parts: list[bytes]) -> None:
        """The final answer of an open task; called by the module."""
        self.tell(self.write_answer, rpc_id, parts)

    def write(self, parts: list[bytes]) -> None:
        if self.broken:
            return
        try:
            send_parts(self.sock, parts)
        except OSError:
            self.broken = True
            shut(self.sock)
            self.module.tell(self.module.caller_gone, self)

    def write_answer(self, rpc_id: int, parts: list[bytes]) -> None:
        self.writing = True
        self.open.discard(rpc_id)  # before it leaves: the balancer may send the next one at once
        self.write(parts)
        self.used, self.writing = time.monotonic(), False

    def write_reply(self, parts: list[bytes]) -> None:
        self.write(parts)
        self.room.release()

    def ask_to_close(self) -> None:
        if not self.asked:
            self.asked = time.monotonic()
            self.write(jsonrpc.closing())

    def end_after_answers(self) -> None:
        self.ask_to_close()
        self.ending = True

    def read_out(self) -> None:
        self.read_all = True

    def done(self, now: float) -> bool:
        """Asked to close some time ago, with nothing left to be read or written."""
        quiet = not self.open and not self.writing and self.mailbox.empty()
        return self.broken or quiet and 0.0 < self.asked < now - CLOSES_IN

    def idle(self) -> None:
        if not self.mailbox.empty() or self.open and not self.broken:
            return
        if self.ending:
            self.ending = False
            shut(self.sock, socket.SHUT_WR)
        if self.read_all:
            self.running = False
            self.sock.close()
            self.doors.left(self)


class Doors:
    """The listening socket, and all connections that came through it; a thread accepts."""

    SPARE = 16  # descriptors for all but balancers: nine are usual, more while given-up calls linger

    def __init__(
        self,
        address: tuple[str, int],
        most: int,
        stages: dict[str, int],
        tenants: dict[str, int],
        module: Any,
        counts: Counts,
    ) -> None:
        self.stages, self.tenants, self.module, self.counts = stages, tenants, module, counts
        self.most = max(1, most - self.SPARE)
        self.fit = False
        self.connections: set[Connection] = set()
        self.lock = threading.Lock()
        self.shutting = False
        self.free = threading.Semaphore(self.most)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)

    def begin(self) -> None:
        threading.Thread(target=self.accept, name="doors", daemon=True).start()

    def accept(self) -> None:
        while not self.shutting:
            self.free.acquire()  # at the limit newcomers wait in the backlog, until one leaves
            try:
                sock, _ = self.sock.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as problem:
                self.free.release()
                if not self.shutting:
                    self.counts.note("accept_failed", problem=str(problem))
                    time.sleep(0.05)  # out of descriptors or memory: some time for others to leave
                continue
            self.enter(sock)

    def enter(self, sock: socket.socket) -> None:
        connection = Connection(sock, self, self.counts)
        with self.lock:
            self.connections.add(connection)
        self.counts.add("connections_accepted")
        connection.begin()

    def left(self, connection: Connection) -> None:
        with self.lock:
            if connection in self.connections:
                self.connections.remove(connection)
                self.free.release()

    def close_idle(self, keep_for: float) -> None:
        """Asks the balancers to close what was silent for this long, in ms."""
        now = time.monotonic()
        with self.lock:
            idle = [
                connection
                for connection in self.connections
                if not connection.open and connection.used < now - keep_for / 1000.0
            ]
        for connection in idle:
            if not connection.asked:
                self.counts.add("connections_asked_to_close")
                connection.tell(connection.ask_to_close)
            elif connection.done(now):
                shut(connection.sock)

    def close(self) -> None:
        """Takes in what has connected already, and nothing more; then asks all to close."""
        if not self.shutting:
            self.shutting = True
            self.sock.setblocking(False)
            with contextlib.suppress(OSError):  # until none is left
                while True:
                    self.enter(self.sock.accept()[0])
            shut(self.sock)  # wakes the thread that accepts
            self.sock.close()
        with self.lock:
            asked = [connection for connection in self.connections if not connection.asked]
        for connection in asked:
            connection.tell(connection.ask_to_close)

    def done(self) -> bool:
        """Whether all that came through it is answered and closed, or could be."""
        now = time.monotonic()
        with self.lock:
            return all(connection.done(now) for connection in self.connections)
