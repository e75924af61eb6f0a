"""The table of open client connections; selects the idle connections that are asked to close."""

import threading
import time
from collections.abc import Iterator

from vetchford.runtime.metrics import Metrics
from vetchford.runtime.units import MS_PER_S
from vetchford.server import connection_limits
from vetchford.server.client_connection import ClientConnection
from vetchford.server.connection_limits import CROWDED, NEARLY_FULL, NORMAL, Crowding


class ConnectionTable:
    """A set of connections of limited size; all methods may be called from any thread.

    A slot is reserved before a connection is accepted, and released when the connection is removed.
    """

    def __init__(self, max_connections: int, metrics: Metrics) -> None:
        """Create an empty table with `max_connections` free slots."""
        self.max_connections = max_connections
        self.metrics = metrics
        self.open: set[ClientConnection] = set()
        self.lock = threading.Lock()  # for `open`
        self.free_slots = threading.Semaphore(max_connections)

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self.open)

    def __iter__(self) -> Iterator[ClientConnection]:
        """Iterate over the connections that are open now."""
        return iter(self.snapshot())

    def snapshot(self) -> list[ClientConnection]:
        """Return the connections that are open now."""
        with self.lock:
            return list(self.open)

    def add(self, connection: ClientConnection) -> None:
        """Add a connection for which a slot is reserved."""
        with self.lock:
            self.open.add(connection)

    def discard(self, connection: ClientConnection | None) -> None:
        """Remove a connection that failed while it was accepted, without releasing its slot."""
        with self.lock:
            self.open = {other for other in self.open if other is not connection}

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection and release its slot."""
        with self.lock:
            if connection in self.open:
                self.open.remove(connection)
                self.free_slots.release()

    def crowding(self) -> Crowding:
        """Return how full the table is."""
        count = len(self.open)
        if count > connection_limits.NEARLY_FULL_SHARE * self.max_connections:
            return NEARLY_FULL
        if count > connection_limits.CROWDED_SHARE * self.max_connections:
            return CROWDED
        return NORMAL

    def close_longest_idle(self) -> None:
        """Ask the longest idle connections to close, until no more than the crowded share stay open.

        Connections that have sent no message yet are left to the timeout for the first message.
        """
        idle_since_s = time.monotonic() - connection_limits.CROWDED_IDLE_TIMEOUT_S
        remaining = self.not_asked_to_close()
        idle = [
            connection
            for connection in remaining
            if connection.state.has_sent_message and connection.state.is_idle_since(idle_since_s)
        ]
        idle.sort(key=lambda connection: connection.state.last_active_at_s)
        excess = len(remaining) - int(connection_limits.CROWDED_SHARE * self.max_connections)
        for connection in idle[: max(0, excess)]:
            self._request_close(connection)

    def close_idle(self, idle_timeout_ms: float) -> None:
        """Ask the connections that were idle for longer than `idle_timeout_ms` to close.

        Unlike `close_longest_idle`, this includes connections that have sent no message yet; they count as
        idle from their acceptance.
        """
        idle_since_s = time.monotonic() - idle_timeout_ms / MS_PER_S
        with self.lock:
            idle = [connection for connection in self.open if connection.state.is_idle_since(idle_since_s)]
        for connection in idle:
            if connection.state.close_requested_at_s is None:
                self._request_close(connection)

    def not_asked_to_close(self) -> list[ClientConnection]:
        """Return the connections that were not asked to close."""
        with self.lock:
            return [connection for connection in self.open if connection.state.close_requested_at_s is None]

    def _request_close(self, connection: ClientConnection) -> None:
        self.metrics.increment("connections_asked_to_close")
        connection.run_or_post(connection.request_close)
