"""Where connections wait for their peer's next word, without a thread of their own."""

import select
import threading
import time
from typing import Any

from vetchford.lifecycle.actor import Crew

EVERY = 0.1  # s between looks at what overstays; the shortest stay is twice that
A_TURN = 64  # connections that spoke, before the next look


class Lobby:
    """`waiting` is emptied as they speak, end, or have stayed too long; a thread watches."""

    def __init__(self, crew: Crew) -> None:
        self.crew, self.epoll = crew, select.epoll()
        self.waiting: dict[int, Any] = {}  # connections by descriptor

    def begin(self) -> None:
        threading.Thread(target=self.watch, name="lobby", daemon=True).start()

    def enter(self, connection: Any) -> None:
        """A new connection; `come_back` is for one that was here."""
        descriptor = connection.sock.fileno()
        self.waiting[descriptor] = connection
        self.epoll.register(descriptor, select.EPOLLIN | select.EPOLLONESHOT)

    def come_back(self, connection: Any) -> None:
        descriptor = connection.sock.fileno()
        self.waiting[descriptor] = connection
        self.epoll.modify(descriptor, select.EPOLLIN | select.EPOLLONESHOT)

    def watch(self) -> None:
        look = 0.0
        while True:
            for descriptor, _ in self.epoll.poll(EVERY, A_TURN):
                self.crew.run(self.waiting.pop(descriptor).read)
            now = time.monotonic()
            if now >= look:
                look = now + EVERY
                for descriptor, connection in list(self.waiting.items()):
                    if connection.overstays(now):
                        # Read once more: what it said since is not cut off.
                        self.crew.run(self.waiting.pop(descriptor).read_last)
