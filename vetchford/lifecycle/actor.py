"""Mailboxes, and the threads that empty them."""

import threading
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import Any

from vetchford.lifecycle.counts import Counts

MOST_BEHIND = 2000  # entries, of 3 KB at most: a tenth of a second of work, and some MB


def begin_thread(act: Callable[[], None], name: str, counts: Counts) -> None:
    """Where the system gives none just now, waits: a connection that was taken must not be dropped unread."""
    while True:
        try:
            threading.Thread(target=act, name=name, daemon=True).start()
            return
        except RuntimeError as problem:
            counts.note("no_thread", part=name, problem=str(problem))
            time.sleep(0.05)  # s: others end as their connections are closed


class Actor:
    """One thread and its mailbox. `tell` never blocks; an entry is one of its methods, with arguments."""

    def __init__(self, name: str, counts: Counts) -> None:
        self.name, self.counts = name, counts
        self.mailbox: SimpleQueue[tuple[Callable[..., None], tuple[Any, ...]]] = SimpleQueue()
        self.running = True

    def tell(self, act: Callable[..., None], *given: Any) -> None:
        self.mailbox.put((act, given))

    def tell_when_room(self, act: Callable[..., None], *given: Any) -> None:
        """For readers of sockets: a mailbox that is far behind stops them, and so those who write to them."""
        while self.mailbox.qsize() > MOST_BEHIND:
            time.sleep(0.005)  # s: the mailbox empties by some fifty entries meanwhile
        self.mailbox.put((act, given))

    def begin(self) -> None:
        begin_thread(self.run, self.name, self.counts)

    def run(self) -> None:
        while self.running:
            try:
                act, given = self.mailbox.get(timeout=self.patience())
                self.guarded(act, *given)
            except Empty:
                pass
            self.guarded(self.idle)

    def patience(self) -> float | None:
        """Seconds until `idle` is due; None for never."""
        return None

    def idle(self) -> None:
        """Called after each entry and whenever patience runs out."""

    def guarded(self, act: Callable[..., None], *given: Any) -> None:
        # One entry that goes wrong must not end the thread, and with it the server.
        try:
            act(*given)
        except Exception as problem:
            self.counts.broke(self.name, problem)
