"""Accepts client connections, and closes them during shutdown."""

import select
import socket
import threading
import time

from vetchford.runtime.metrics import Metrics
from vetchford.runtime.sockets import set_socket_timeout, shut_down
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.runtime.timers import unix_time_ms
from vetchford.server import connection_limits
from vetchford.server.client_connection import ClientConnection
from vetchford.server.client_messages import ClientEvents, MessageHandler
from vetchford.server.connection_limits import NORMAL
from vetchford.server.connection_table import ConnectionTable
from vetchford.server.idle_poller import IdleConnectionPoller


class Listener:
    """The listening socket, and the thread that accepts from it.

    `close`, `close_idle` and `is_drained` are called by the admission actor.
    """

    def __init__(
        self,
        address: tuple[str, int],
        max_connections: int,
        request_classes: dict[str, int],
        tenants: dict[str, int],
        admission: ClientEvents,
        metrics: Metrics,
    ) -> None:
        """Bind to `address`; `start` begins to accept connections.

        `request_classes` and `tenants` give the index of each name; requests are posted to `admission`.

        Raises:
            OSError: The address is in use, or is not an address of this machine.
        """
        self.request_classes = request_classes
        self.tenants = tenants
        self.admission = admission
        self.metrics = metrics
        self.thread_pool = ThreadPool(metrics, connection_limits.MAX_WRITER_THREADS)
        self.reader_threads = ThreadPool(metrics, connection_limits.MAX_READER_THREADS)
        self.idle_poller = IdleConnectionPoller(self.reader_threads)
        self.message_handler = MessageHandler(self)
        self.connections = ConnectionTable(max_connections, metrics)
        self.ready = False  # the result of health checks; set by the admission actor
        self.closing = False  # `close` was called; the accepting thread stops
        self.closed = False  # the listening socket is closed
        self.backlog_empty_unix_ms = unix_time_ms()  # when no connection was last seen to wait in the backlog
        self.accept_lock = threading.Lock()  # held from accepting a connection until it is in the table
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(connection_limits.LISTEN_BACKLOG)
        self.sock.setblocking(False)

    def start(self) -> None:
        """Start accepting connections and reading from them."""
        self.thread_pool.start()
        self.reader_threads.start()
        self.idle_poller.start()
        threading.Thread(target=self.accept_connections, name="listener", daemon=True).start()

    # -- accepting

    def accept_connections(self) -> None:
        """Accept connections until `close` is called; clients wait in the backlog while the table is full."""
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        while not self.closing:
            if not self._reserve_slot():
                return
            if not poller.poll(0):
                self.backlog_empty_unix_ms = unix_time_ms()
                poller.poll()
            try:
                accepted = self._accept_one()
            except OSError as error:
                self.connections.free_slots.release()
                if not self.closing:
                    self.metrics.log_sampled("accept_failed", problem=str(error))
                    time.sleep(connection_limits.ACCEPT_RETRY_DELAY_S)
                continue
            if not accepted:
                self.connections.free_slots.release()
            elif self.connections.crowding() is not NORMAL:
                self.connections.close_longest_idle()

    def _reserve_slot(self) -> bool:
        """Wait for a free slot in the table and reserve it; return False if the listener is closing."""
        while not self.connections.free_slots.acquire(timeout=connection_limits.FULL_TABLE_CHECK_INTERVAL_S):
            if self.closing:
                return False
            self.connections.close_longest_idle()
        return True

    def _accept_one(self) -> bool:
        """Accept the next connection; return False if there was none, or if the connection failed at once."""
        # Under the lock, so that `close` misses no connection that is accepted but not yet in the table.
        with self.accept_lock:
            if self.closed:
                return False
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):  # the client left before it was accepted
                return False
            return self.add(sock)

    def add(self, sock: socket.socket) -> bool:
        """Add an accepted connection to the table and the poller; return False if the connection failed."""
        connection = None
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            set_socket_timeout(sock, socket.SO_RCVTIMEO, connection_limits.READ_WAIT_TIMEOUT_S)
            set_socket_timeout(sock, socket.SO_SNDTIMEO, connection_limits.WRITE_TIMEOUT_S)
            connection = ClientConnection(sock, self, self.metrics, self.backlog_empty_unix_ms)
            self.connections.add(connection)
            self.idle_poller.add(connection)
        except OSError as error:  # ends this connection only, not the accepting thread
            self.metrics.log_sampled("connections_lost_at_door", problem=str(error))
            self.connections.discard(connection)
            sock.close()
            return False
        self.metrics.increment("connections_accepted")
        return True

    def close_idle(self, idle_timeout_ms: float) -> None:
        """Ask the connections that were idle for longer than `idle_timeout_ms` to close."""
        self.connections.close_idle(idle_timeout_ms)

    # -- shutdown

    def close(self) -> None:
        """Accept the connections in the backlog but no later ones, then ask all connections to close.

        Call it again if the process ran out of descriptors before the backlog was empty.
        """
        self.closing = True
        with self.accept_lock:
            self._accept_backlog()
        for connection in self.connections.not_asked_to_close():
            connection.run_or_post(connection.request_close)

    def _accept_backlog(self) -> None:
        # Bounded, so that clients that keep connecting do not block the admission actor for long.
        for _ in range(connection_limits.LISTEN_BACKLOG):
            if self.closed:
                return
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:  # the backlog is empty
                self.closed = True
                shut_down(self.sock)  # wakes the accepting thread
                self.sock.close()
            except ConnectionAbortedError:
                continue
            except OSError as error:  # out of descriptors; the next call of `close` accepts the rest
                self.metrics.log_sampled("accept_failed", problem=str(error))
                return
            else:
                self.add(sock)

    def is_drained(self) -> bool:
        """Return whether every request received on a client connection is answered or can't be answered."""
        now_s = time.monotonic()
        connections = self.connections.snapshot()
        # The connections are checked again after the check for unread bytes: the process may have been paused
        # for the whole close timeout while a request was unread or was being read.
        return (
            self.closed
            and _all_finished(connections, now_s)
            and not any(connection.has_unread_bytes() for connection in connections)
            and _all_finished(connections, now_s)
        )


def _all_finished(connections: list[ClientConnection], now_s: float) -> bool:
    """Return whether all connections are finished, including messages in transit as `closing` was sent."""
    return all(
        connection.is_finished(now_s, connection_limits.DRAIN_CLOSE_TIMEOUT_S) for connection in connections
    )
