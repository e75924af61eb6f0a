"""Where connections wait for their peer's next word, without a thread of their own."""

import select
import threading
import time
from typing import Any

from vetchford.actors.actor import Crew

EVERY = 0.05  # s between looks at what overstays; the shortest stay is twice that
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
        self.look_at = 0.0
        while True:
            try:
                self.turn()
            except Exception as problem:
                self.crew.counts.broke("lobby", problem)

    def turn(self) -> None:
        for descriptor, _ in self.epoll.poll(EVERY, A_TURN):
            connection = self.waiting.pop(descriptor, None)
            if connection is not None:  # else it is just being let go
                self.crew.run(connection.read)
        now = time.monotonic()
        if now >= self.look_at:
            self.look_at = now + EVERY
            for descriptor, connection in list(self.waiting.items()):
                if connection.overstays(now):
                    # Read once more: what it said since is not cut off.
                    del self.waiting[descriptor]
                    self.crew.run(connection.read_last)
