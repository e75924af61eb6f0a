"""Client of the records service: a connection for each call, so that a broken one fails no other call."""

import threading
from collections import deque

from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.server.records_connection import CallEvents, RecordsCall, RecordsConnection

CONNECTIONS_PER_IDLE = 4  # one connection in so many may be kept for the next call; the others are for calls
THREADS_PER_CONNECTION = 2  # for calls in flight, and for cancelled ones whose threads have yet to end


class RecordsClient:
    """Makes each call on a connection of its own, and keeps some of them for the calls to come.

    `start_call` and `cancel_call` are called by the admission actor, which is told of the end of a call by
    `call_ended`; `on_call_ended` is called by the connections. None of them blocks.
    """

    def __init__(
        self, address: tuple[str, int] | None, max_connections: int, admission: CallEvents, metrics: Metrics
    ) -> None:
        """Create the client of the service at `address`; without one, every call counts as refused.

        `max_connections` bounds the file descriptors; further calls wait for a connection.
        """
        self.address = address
        self.admission = admission
        self.metrics = metrics
        self.thread_pool = ThreadPool(metrics, THREADS_PER_CONNECTION * max_connections)
        self.lock = threading.Lock()  # for all below, and for `address`
        self.max_idle = max(1, max_connections // CONNECTIONS_PER_IDLE)
        self.max_in_flight = max_connections - self.max_idle
        self.idle: list[RecordsConnection] = []  # the last used at the end
        self.in_flight: dict[int, RecordsConnection] = {}  # by number of the call, until it ends
        self.waiting: deque[RecordsCall] = deque()

    def start(self) -> None:
        """Start the threads."""
        self.thread_pool.start()

    def change_address(self, address: tuple[str, int] | None) -> None:
        """Make new calls at `address`; those in flight end on their connections. Any thread may call it."""
        with self.lock:
            unused = []
            if address != self.address:
                unused = self.idle
                self.idle = []
            self.address = address
        for connection in unused:
            connection.post(connection.close)

    def start_call(
        self, name: str, number: int, deadline_unix_ms: float, body: bytes, not_repeatable: bool
    ) -> None:
        """Make a call for the request `name`, which ends by `deadline_unix_ms`.

        `not_repeatable`: the call must not be made again unless it provably never ran.
        """
        call = RecordsCall(name, number, deadline_unix_ms, body, not_repeatable)
        with self.lock:
            if len(self.in_flight) >= self.max_in_flight:
                self.waiting.append(call)
            else:
                self._make_call(call)

    def cancel_call(self, name: str, number: int) -> None:
        """Give a call up, whether it waits or is in flight; its end is not posted any more."""
        with self.lock:
            connection = self.in_flight.pop(number, None)
            if connection is None:
                self.waiting = deque(call for call in self.waiting if call.number != number)
            else:
                # Under the lock, so that the connection is neither used again nor closed meanwhile.
                connection.cancel(name)

    def _make_call(self, call: RecordsCall) -> None:
        """Under the lock: a call always waits or is in flight, where `cancel_call` finds it."""
        connection = self.in_flight[call.number] = self._connection_for(call)
        connection.post(connection.make_call, call)

    def _connection_for(self, call: RecordsCall) -> RecordsConnection:
        # A reset on a connection that was idle may mean that the service had forgotten the connection and
        # never ran the call, which proves nothing. So a call that is not repeatable gets a new connection.
        while self.idle and not call.not_repeatable:
            connection = self.idle.pop()
            if connection.is_reusable_for(call.name):
                return connection
            connection.post(connection.close)
        return RecordsConnection(self)

    def on_call_ended(self, number: int, connection: RecordsConnection, reusable: bool) -> None:
        """Take a connection back after its call, and start the calls that waited for one."""
        with self.lock:
            # Where `cancel_call` has taken it out, the connection is shut: kept, it would fail its next call.
            was_in_flight = self.in_flight.pop(number, None) is not None
            is_current = connection.address == self.address
            kept = was_in_flight and reusable and is_current and len(self.idle) < self.max_idle
            if kept:
                self.idle.append(connection)
            while self.waiting and len(self.in_flight) < self.max_in_flight:
                self._make_call(self.waiting.popleft())
        if not kept:
            connection.post(connection.close)
