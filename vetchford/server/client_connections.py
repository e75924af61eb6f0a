"""Balancers: the door where they connect, and an actor for each connection."""

import math
import select
import socket
import threading
import time
from typing import Any

from vetchford.protocol import json_rpc
from vetchford.protocol.messages import IncomingRequest
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError
from vetchford.runtime.actor import PooledActor
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.sockets import send_now, send_parts, shut, time_limit
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.server.idle_poller import IdleConnectionPoller

MOST_OPEN = 64  # tasks: twice the page's 32, as one that nobody waits for is open here until it is answered
MOST_REPLIES = 64  # to checks and bad messages, waiting to be written, before reading waits for them
MOST_WRONG = 8  # bad messages on one connection: balancers send none, and each costs as much as a good one
PASSED_IN = 0.5  # s of it, where nothing is open
MOST_PASSED = 1 << 20  # bytes passed over behind a stream that can't be followed, where nothing is open
TICK = 0.03  # s that a reader waits for the next word of a peer it has served, where threads are plenty
READERS = 24  # threads: each is needed for a message's time only, and a storm of connections starts no more
WRITERS = 64  # threads: only for peers that are slow to read, each for 10 s at most
FIRST_IN = 1.0  # s for a new connection to begin to speak, where there is room; balancers connect to speak
CROWDED_IN = 0.2  # s for the same in a crowd; a balancer whose first message is shut out has lost no task
WHOLE_IN = 1.5  # s from the first byte of a message to its last; balancers write one at once
WRITE_IN = 10.0  # s that a peer may leave its answers unread; far over a pause of its machine
IDLE = 10.0  # s that a connection with nothing open is kept, also where the decisions keep it for longer
CLOSES_IN = 2.0  # s after `closing`: balancers close by themselves, and one that is paused hears it late
DRAINED_IN = 0.5  # s after `closing`, in a drain: what crosses a close comes within 50 ms
PACKED_IN = 0.1  # s for a first word, and after `closing`, in a table that is nearly full: twice the 50 ms
PACKED = 0.8  # of the table: hundreds may connect at once, and balancers must not wait for them to be judged
CROWDED = 0.5  # of the table, past which idle connections go; balancers may open as many
BACKLOG = 512
BUFFER = 2 * (json_rpc.MOST_HEAD + json_rpc.MOST_BODY)


class Connection(PooledActor):
    """Its reader hands tasks to the module; its writer, the actor, writes answers.

    `open` holds the ids that are read and whose answers haven't left; a closed connection has none. One that
    has nothing to say and nothing to be told has no thread: the lobby waits for it.
    """

    def __init__(self, sock: socket.socket, doors: "Listener", metrics: Metrics) -> None:
        super().__init__("connection", metrics, doors.thread_pool)
        self.sock, self.doors, self.module = sock, doors, doors.module
        self.open: set[int | str] = set()
        self.used = time.monotonic()
        self.heard = False  # whether a whole message ever came
        self.wrong = 0  # bad messages so far
        self.distrusted = False
        self.inbox: ReceiveBuffer | None = None  # while a message is begun
        self.begun = math.inf  # when it was
        self.passing, self.passed = False, 0  # over a stream that can't be followed
        self.served = self.last = False
        self.broken = self.read_all = self.ending = self.writing = False
        self.asked = 0.0  # when it was asked to close; 0: not yet
        self.out: list[bytes] = []  # written after the batch
        self.room = threading.BoundedSemaphore(MOST_REPLIES)

    # -- the reader

    def read(self) -> None:
        """Until nothing more has come; then the lobby waits for the next word."""
        if self.read_on():
            self.wait_on()
        else:
            self.read_to_end()

    def wait_on(self) -> None:
        """In the lobby, for the next word; one that can't wait there would be neither read nor let go."""
        try:
            self.doors.lobby.come_back(self)
        except OSError as problem:
            self.metrics.log_sampled("connections_not_watched", problem=str(problem))
            self.broken = True
            self.read_to_end()

    def read_last(self) -> None:
        """It stayed too long; what has come meanwhile is taken all the same, and answered."""
        if self.begun < math.inf and not self.passing:
            self.turn_out("a message was begun and not ended")
        silent, self.last = not self.heard, True
        more = self.read_on()
        spoke = self.open or self.begun < math.inf or silent and self.heard
        if more and spoke and not self.passing:
            # It spoke while it was being let go. More may come behind this from one that hasn't heard of it:
            # that would stand unread, and closing on it would reset the answer.
            self.last = False
            self.wait_on()
            return
        if not self.heard:
            self.metrics.increment("connections_silent")
        self.read_to_end()

    def read_on(self) -> bool:
        """Takes what has come; False once nothing more will."""
        try:
            while True:
                inbox = self.inbox = self.inbox or ReceiveBuffer(BUFFER)
                waits = self.served and not self.last and self.doors.readers.has_spare_threads()
                try:
                    count = self.sock.recv_into(inbox.space(), 0, 0 if waits else socket.MSG_DONTWAIT)
                except BlockingIOError:
                    break
                if not count:
                    return False
                if self.passing:
                    self.passed += count
                    if not self.open and self.passed > MOST_PASSED:
                        return False
                    continue
                inbox.fed(count)
                try:
                    while (body := json_rpc.next_body(inbox)) is not None:
                        self.take(body)
                        self.begun = math.inf  # what follows is the next one
                except UnreadableStreamError as problem:
                    self.turn_out(str(problem))
                    inbox.start = inbox.end = 0
                    continue
                self.begun = min(self.begun, time.monotonic()) if inbox.start < inbox.end else math.inf
            if self.begun == math.inf:
                self.inbox = None  # hundreds of idle ones keep no buffers
            return True
        except OSError:
            self.broken = True
        except UnreadableStreamError as problem:
            self.turn_out(str(problem))
        except Exception as problem:
            self.broken = True
            self.metrics.report_internal_error("connection-reader", problem)
        return False

    def turn_out(self, why: str) -> None:
        """Says so, and passes over what still comes until all that is open is answered.

        Closed with bytes unread the system would reset it, and answers on their way would be lost.
        """
        self.metrics.log_sampled("balancer_unfollowable", problem=why)
        self.passing, self.begun = True, math.inf
        self.used = time.monotonic()
        if self.room.acquire(blocking=False):
            self.run_or_post(self.write_reply, json_rpc.error(None, json_rpc.INVALID_REQUEST, why))
        self.run_or_post(self.end_after_answers)

    def overstays(self, now: float) -> bool:
        """Whether the lobby is to let it go; one that is idle is asked to close first."""
        if now - self.begun > WHOLE_IN:
            return True
        if self.open:
            return False
        if self.passing:
            return now - self.used > PASSED_IN
        packed, crowded = self.doors.fuller_than(PACKED), self.doors.fuller_than(CROWDED)
        if not self.heard:
            return now - self.used > (PACKED_IN if packed else CROWDED_IN if crowded else FIRST_IN)
        if self.asked:
            return self.done(now, PACKED_IN if packed else DRAINED_IN if crowded else CLOSES_IN)
        if now - self.used > IDLE:
            self.metrics.increment("connections_asked_to_close")
            self.run_or_post(self.ask_to_close)
        return False

    def read_to_end(self) -> None:
        if self.broken:
            self.module.post(self.module.client_gone, self)
        self.run_or_post(self.read_out)

    def take(self, body: memoryview) -> None:
        self.used, self.heard = time.monotonic(), True
        if self.distrusted:
            raise UnreadableStreamError("its tasks are unknown to the worker pool")
        try:
            method, rpc_id, params = json_rpc.decode(body)
            if rpc_id in self.open:
                raise json_rpc.BadMessageError(json_rpc.INVALID_REQUEST, f"id {rpc_id} is in use")
            if rpc_id is None:
                # Balancers have sent hundreds at a time: no reason to part with one, and its tasks, for that.
                self.metrics.log_sampled(
                    "balancer_notification", method=method[:40], params=str(params)[:120]
                )
                if method in self.doors.stages:  # a task that could not be answered: whoever sent it is told
                    self.reply(json_rpc.error(None, json_rpc.INVALID_REQUEST, "field 'id' is missing"))
            elif method == "check":
                self.reply(json_rpc.checked(rpc_id, self.doors.fit))
            else:
                self.request(method, rpc_id, params)
        except json_rpc.BadMessageError as problem:
            self.metrics.log_sampled("balancer_bad_message", code=problem.code, problem=str(problem))
            # Under the id of an open task this would pass for its answer.
            rpc_id = None if problem.rpc_id in self.open else problem.rpc_id
            self.reply(json_rpc.error(rpc_id, problem.code, str(problem)))
            self.wrong += 1
            if self.wrong >= MOST_WRONG:
                raise UnreadableStreamError("too many bad messages") from None

    def request(self, method: str, rpc_id: int | str, params: dict) -> None:
        stage = self.doors.stages.get(method)
        if stage is None:
            raise json_rpc.BadMessageError(json_rpc.METHOD_NOT_FOUND, "method names no stage", rpc_id)
        if not isinstance(rpc_id, int):
            raise json_rpc.BadMessageError(json_rpc.INVALID_REQUEST, "field 'id' is no number", rpc_id)
        if len(self.open) >= MOST_OPEN:
            # Not a bad message: a balancer that has given up many here, unheard, may send as many more.
            self.metrics.increment("rejected_over_open")
            self.reply(json_rpc.rejected(rpc_id, False, 0.0))
            return
        name, door, limit, caller, team, work, kb, mark, content = json_rpc.request_fields(
            params, rpc_id, time.time() * 1000.0
        )
        tenant = -1 if team is None else self.doors.tenants.get(team)
        if tenant is None:
            raise json_rpc.BadMessageError(json_rpc.INVALID_PARAMS, "field 'team' names no tenant", rpc_id)
        self.open.add(rpc_id)
        self.module.post_when_room(
            self.module.request_arrived,
            self,
            IncomingRequest(
                rpc_id, name, stage, method, tenant, caller, door, limit, work, kb, mark, content
            ),
        )

    def reply(self, parts: list[bytes]) -> None:
        """Says at once what no task waits for; the connection of a peer that doesn't read it ends."""
        if not self.room.acquire(blocking=False):
            raise ConnectionError("replies are not read")
        self.run_or_post(self.write_reply, parts)

    # -- the writer

    def answer(self, rpc_id: int, parts: list[bytes]) -> None:
        """The final answer of an open task; called by the module."""
        self.run_or_post(self.write_answer, rpc_id, parts)

    def write(self) -> None:
        """All that a batch of entries brought, in one gathered write."""
        parts, self.out = self.out, []
        if self.broken:
            return
        try:
            send_parts(self.sock, parts)
        except OSError:
            self.lost()

    def lost(self) -> None:
        self.broken, self.out = True, []
        shut(self.sock)
        self.module.post(self.module.client_gone, self)

    def flush_nonblocking(self) -> None:
        self.used = time.monotonic()
        if self.broken:
            self.out = []
        try:
            if self.out:
                self.out = send_now(self.sock, self.out)
        except OSError:
            self.lost()
        self.writing = bool(self.out)
        if not self.out:
            self.finish_up()

    def has_unwritten(self) -> bool:
        return bool(self.out)

    def write_answer(self, rpc_id: int, parts: list[bytes]) -> None:
        self.writing = self.served = True
        self.open.discard(rpc_id)  # before it leaves: the balancer may send the next one at once
        self.out += parts

    def write_reply(self, parts: list[bytes]) -> None:
        self.out += parts
        self.room.release()

    def ask_to_close(self) -> None:
        if not self.asked:
            self.out += json_rpc.closing()
            self.asked = time.monotonic()

    def distrust(self) -> None:
        """Its tasks are none that came by the balancers: nothing more is read from it."""
        self.distrusted = True
        self.end_after_answers()
        shut(self.sock, socket.SHUT_RD)

    def end_after_answers(self) -> None:
        self.ask_to_close()
        self.ending = True

    def read_out(self) -> None:
        self.read_all = True

    def done(self, now: float, closes_in: float) -> bool:
        """Asked to close some time ago, with nothing left to be read or written."""
        # A message that has begun is owed an answer from its last byte on; `overstays` bounds its time.
        begun = self.begun < math.inf and not self.passing
        quiet = not self.open and not self.writing and not begun and self.mailbox.empty()
        return self.broken or quiet and 0.0 < self.asked < now - closes_in

    def unread(self) -> bool:
        """Whether something has come that is not understood yet: in the system's buffer, or with a reader."""
        if self.passing or self.read_all or self.broken:  # what still comes is answered by nobody
            return False
        try:
            if self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        except OSError:  # nothing there, or it is closed
            pass
        # Behind the look: what was read before it is with a reader, or among the open by now.
        return self.running and not self.doors.lobby.holds(self)

    def on_idle(self) -> None:
        if self.out:
            self.write()
            self.used = time.monotonic()
        self.writing = False
        self.finish_up()

    def finish_up(self) -> None:
        """The end, once nothing is open or left to be said."""
        if not self.mailbox.empty() or self.open and not self.broken:
            return
        if self.ending:
            self.ending = False
            shut(self.sock, socket.SHUT_WR)
        if self.read_all and self.running:
            self.running = False
            self.sock.close()
            self.doors.left(self)


class Listener:
    """The listening socket, and all connections that came through it; a thread accepts."""

    CROWDED_EVERY = 0.05  # s: how often a full table looks for connections that may go

    def __init__(
        self,
        address: tuple[str, int],
        most: int,  # connections at once
        stages: dict[str, int],
        tenants: dict[str, int],
        module: Any,
        metrics: Metrics,
    ) -> None:
        self.stages, self.tenants, self.module, self.metrics = stages, tenants, module, metrics
        self.thread_pool, self.readers = ThreadPool(metrics, WRITERS), ThreadPool(metrics, READERS)
        self.lobby = IdleConnectionPoller(self.readers)
        self.most = most
        self.fit = False
        self.connections: set[Connection] = set()
        self.lock = threading.Lock()
        self.shutting = self.closed = False  # no more is to be waited for; the socket is closed
        self.door = threading.Lock()  # held from taking a connection until it is in the table
        self.free = threading.Semaphore(self.most)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.sock.setblocking(False)

    def start(self) -> None:
        self.thread_pool.start()
        self.readers.start()
        self.lobby.start()
        threading.Thread(target=self.accept, name="doors", daemon=True).start()

    def accept(self) -> None:
        waiter = select.poll()
        waiter.register(self.sock, select.POLLIN)
        while not self.shutting:
            while not self.free.acquire(timeout=self.CROWDED_EVERY):  # newcomers wait in the backlog
                if self.shutting:
                    return
                self.make_room()
            waiter.poll()
            try:
                entered = self.take_in()
            except OSError as problem:
                self.free.release()
                if not self.shutting:
                    self.metrics.log_sampled("accept_failed", problem=str(problem))
                    time.sleep(0.05)  # out of descriptors or memory: some time for others to leave
                continue
            if not entered:
                self.free.release()
            elif self.fuller_than(CROWDED):
                self.make_room()

    def take_in(self) -> bool:
        """The next that has connected, if any. Under the lock: `close` never sees one between two hands."""
        with self.door:
            if self.closed:
                return False
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):  # it has left before it was taken
                return False
            return self.enter(sock)

    def enter(self, sock: socket.socket) -> bool:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            time_limit(sock, socket.SO_RCVTIMEO, TICK)
            time_limit(sock, socket.SO_SNDTIMEO, WRITE_IN)
            connection = Connection(sock, self, self.metrics)
            with self.lock:
                self.connections.add(connection)
            self.lobby.enter(connection)
        except OSError as problem:  # its own end, not that of the thread which takes all others in
            self.metrics.log_sampled("connections_lost_at_door", problem=str(problem))
            with self.lock:
                self.connections = {other for other in self.connections if other.sock is not sock}
            sock.close()
            return False
        self.metrics.increment("connections_accepted")
        return True

    def fuller_than(self, share: float) -> bool:
        return len(self.connections) > share * self.most

    def left(self, connection: Connection) -> None:
        with self.lock:
            if connection in self.connections:
                self.connections.remove(connection)
                self.free.release()

    def make_room(self) -> None:
        """Asks the longest idle to close: some ask once and stay for ever, and balancers need the room."""
        now = time.monotonic()
        with self.lock:
            staying = [c for c in self.connections if not c.asked]
        idle = [c for c in staying if c.heard and not c.open and now - c.used > CROWDED_IN]
        beyond = len(staying) - int(CROWDED * self.most)
        for connection in sorted(idle, key=lambda c: c.used)[: max(0, beyond)]:
            self.metrics.increment("connections_asked_to_close")
            connection.run_or_post(connection.ask_to_close)

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
                self.metrics.increment("connections_asked_to_close")
                connection.run_or_post(connection.ask_to_close)

    def close(self) -> None:
        """Takes in what has connected already, and nothing more; then asks all to close."""
        self.shutting = True
        with self.door:
            for _ in range(BACKLOG):  # a storm of newcomers holds up the module for no longer than that
                if self.closed:
                    break
                try:
                    sock, _ = self.sock.accept()
                except BlockingIOError:  # none is left
                    self.closed = True
                    shut(self.sock)  # wakes the thread that accepts
                    self.sock.close()
                except ConnectionAbortedError:
                    continue
                except OSError as problem:  # out of descriptors: the next sweep takes in the rest
                    self.metrics.log_sampled("accept_failed", problem=str(problem))
                    break
                else:
                    self.enter(sock)
        with self.lock:
            asked = [connection for connection in self.connections if not connection.asked]
        for connection in asked:
            connection.run_or_post(connection.ask_to_close)

    def done(self) -> bool:
        """Whether all that came through it is answered and closed, or could be."""
        now = time.monotonic()
        with self.lock:
            staying = list(self.connections)
        # The last look: a pause of the process may have let the time pass in which they would have been read.
        return (
            self.closed
            and all(connection.done(now, DRAINED_IN) for connection in staying)
            and not any(connection.unread() for connection in staying)
            and all(connection.done(now, DRAINED_IN) for connection in staying)
        )
