"""Where connections wait for their peer's next word, without a thread of their own."""

import select
import threading
import time
from collections.abc import Callable
from typing import Any

from vetchford.runtime.thread_pool import ThreadPool

EVERY = 0.05  # s between looks at what overstays; the shortest stay is twice that
A_TURN = 64  # connections that spoke, before the next look


class IdleConnectionPoller:
    """`waiting` is emptied as they speak, end, or have stayed too long; a thread watches."""

    def __init__(self, thread_pool: ThreadPool) -> None:
        self.thread_pool, self.epoll = thread_pool, select.epoll()
        self.waiting: dict[int, Any] = {}  # connections by descriptor
        self.lock = threading.Lock()  # held from putting one there until its descriptor is armed

    def start(self) -> None:
        threading.Thread(target=self.watch, name="lobby", daemon=True).start()

    def enter(self, connection: Any) -> None:
        """A new connection; `come_back` is for one that was here."""
        self.wait_for(connection, self.epoll.register)

    def come_back(self, connection: Any) -> None:
        self.wait_for(connection, self.epoll.modify)

    def wait_for(self, connection: Any, arm: Callable[[int, int], None]) -> None:
        descriptor = connection.sock.fileno()
        # Between the two it might be let go and closed, and its number armed anew be another connection's.
        with self.lock:
            self.waiting[descriptor] = connection
            try:
                arm(descriptor, select.EPOLLIN | select.EPOLLONESHOT)
            except OSError:
                del self.waiting[descriptor]
                raise

    def holds(self, connection: Any) -> bool:
        """Whether it waits here, with no reader on it."""
        return self.waiting.get(connection.sock.fileno()) is connection

    def watch(self) -> None:
        self.look_at = 0.0
        while True:
            try:
                self.turn()
            except Exception as problem:
                self.thread_pool.metrics.report_internal_error("lobby", problem)

    def turn(self) -> None:
        for descriptor, _ in self.epoll.poll(EVERY, A_TURN):
            connection = self.waiting.pop(descriptor, None)
            if connection is not None:  # else it is just being let go
                self.thread_pool.run(connection.read)
        now = time.monotonic()
        if now >= self.look_at:
            self.look_at = now + EVERY
            for descriptor, connection in list(self.waiting.items()):
                if connection.overstays(now):
                    with self.lock:  # none is let go while it is just coming back
                        del self.waiting[descriptor]
                    # Read once more: what it said since is not cut off.
                    self.thread_pool.run(connection.read_last)
