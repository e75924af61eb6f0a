"""Client of the records service: each call has its own connection, so that a fault affects one call only."""

import threading
from collections import deque

from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.server.records_connection import CallEvents, RecordsCall, RecordsConnection

CONNECTIONS_PER_IDLE_CONNECTION = 4  # one of this many may be kept idle; the others are for calls in flight
THREADS_PER_CONNECTION = 2  # for calls in flight, and for cancelled calls whose threads have not ended yet


class RecordsClient:
    """Makes each call on a connection of its own, and keeps some idle connections for later calls.

    The admission actor calls `start_call` and `cancel_call`, and receives the outcome of each call in its
    `call_ended`. The connections call `on_call_ended`. None of these methods blocks.
    """

    def __init__(
        self, address: tuple[str, int] | None, max_connections: int, admission: CallEvents, metrics: Metrics
    ) -> None:
        """Create the client of the service at `address`; without an address, every call is refused.

        `max_connections` limits the number of file descriptors; further calls wait for a connection.
        """
        self.address = address
        self.admission = admission
        self.metrics = metrics
        self.thread_pool = ThreadPool(metrics, THREADS_PER_CONNECTION * max_connections)
        self.lock = threading.Lock()  # guards `address` and all fields below
        self.max_idle = max(1, max_connections // CONNECTIONS_PER_IDLE_CONNECTION)
        self.max_in_flight = max_connections - self.max_idle
        self.idle: list[RecordsConnection] = []  # the most recently used last
        self.in_flight: dict[int, RecordsConnection] = {}  # by number of the call, until the call ends
        self.waiting: deque[RecordsCall] = deque()

    def start(self) -> None:
        """Start the thread pool."""
        self.thread_pool.start()

    def change_address(self, address: tuple[str, int] | None) -> None:
        """Make new calls to `address`; calls in flight keep their connections. Callable on any thread."""
        with self.lock:
            unused = []
            if address != self.address:
                unused = self.idle
                self.idle = []
            self.address = address
        for connection in unused:
            connection.post(connection.close)

    def start_call(
        self, request_id: str, number: int, deadline_unix_ms: float, body: bytes, not_repeatable: bool
    ) -> None:
        """Make a call for a request, or queue it until a connection is free; it ends by `deadline_unix_ms`.

        `not_repeatable`: the call must not be repeated unless it provably never ran.
        """
        call = RecordsCall(request_id, number, deadline_unix_ms, body, not_repeatable)
        with self.lock:
            if len(self.in_flight) >= self.max_in_flight:
                self.waiting.append(call)
            else:
                self._make_call(call)

    def cancel_call(self, request_id: str, number: int) -> None:
        """Cancel a call, whether it waits or is in flight; its outcome will not be posted."""
        with self.lock:
            connection = self.in_flight.pop(number, None)
            if connection is None:
                self.waiting = deque(call for call in self.waiting if call.number != number)
            else:
                # Under the lock, so that the connection is neither reused nor closed at the same time.
                connection.cancel(request_id)

    def _make_call(self, call: RecordsCall) -> None:
        """Put a call in flight; the caller holds the lock, so that `cancel_call` always finds the call."""
        connection = self.in_flight[call.number] = self._connection_for(call)
        connection.post(connection.make_call, call)

    def _connection_for(self, call: RecordsCall) -> RecordsConnection:
        # If a connection that was idle is reset, the service may have dropped the connection earlier and not
        # run the call, but that is not certain. A call that is not repeatable gets a new connection instead.
        while self.idle and not call.not_repeatable:
            connection = self.idle.pop()
            if connection.is_reusable_for(call.request_id):
                return connection
            connection.post(connection.close)
        return RecordsConnection(self)

    def on_call_ended(self, number: int, connection: RecordsConnection, reusable: bool) -> None:
        """Keep or close a connection after its call, and start the calls that waited for a connection."""
        with self.lock:
            # A cancelled call is no longer in `in_flight`. Its connection is shut down and would fail the
            # next call, so the connection is not kept.
            was_in_flight = self.in_flight.pop(number, None) is not None
            is_current = connection.address == self.address
            kept = was_in_flight and reusable and is_current and len(self.idle) < self.max_idle
            if kept:
                self.idle.append(connection)
            while self.waiting and len(self.in_flight) < self.max_in_flight:
                self._make_call(self.waiting.popleft())
        if not kept:
            connection.post(connection.close)
