"""Actors: objects whose state only one thread uses, and the mailboxes that bring them events."""

import threading
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import Any, Protocol

from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool, start_thread

MAILBOX_HIGH_WATER = 500  # entries, of 3 KB at most: a tenth of a second of work, and a MB or two
HIGH_WATER_INTERVAL_S = 0.005  # the mailbox empties by some fifty entries meanwhile
BATCH_SIZE = 16  # entries before `on_idle`: what they bring is written at once, and no timer waits for long


class Mailbox(Protocol):
    """The part of an actor that other threads use."""

    def post(self, method: Callable[..., None], *arguments: Any) -> None:
        """Let the actor's thread call `method`, one of its own, with the arguments; never blocks."""

    def post_when_room(self, method: Callable[..., None], *arguments: Any) -> None:
        """Like `post`, after a wait while the mailbox is far behind."""


class Actor:
    """One thread and its mailbox, whose entries are methods of the actor with their arguments.

    `post` and `post_when_room` may be called from any thread, all else by the actor's own.
    """

    def __init__(self, name: str, metrics: Metrics) -> None:
        """Call the thread `name`; it is started by `start`."""
        self.name = name
        self.metrics = metrics
        self.mailbox: SimpleQueue[tuple[Callable[..., None], tuple[Any, ...]]] = SimpleQueue()
        self.running = True

    def post(self, method: Callable[..., None], *arguments: Any) -> None:
        """Let the actor's thread call `method` with the arguments; never blocks."""
        self.mailbox.put((method, arguments))

    def post_when_room(self, method: Callable[..., None], *arguments: Any) -> None:
        """Like `post`, after a wait while the mailbox is far behind.

        For readers of sockets: they stop reading then, and so stop those who write to them.
        """
        while self.mailbox.qsize() > MAILBOX_HIGH_WATER:
            time.sleep(HIGH_WATER_INTERVAL_S)
        self.mailbox.put((method, arguments))

    def start(self) -> None:
        """Start the thread."""
        start_thread(self.run, self.name, self.metrics)

    def run(self) -> None:
        """Take entries until `running` is cleared; the body of the thread."""
        while self.running:
            self.process_batch(self.next_timeout())

    def process_batch(self, timeout_s: float | None) -> bool:
        """Run what the mailbox holds, up to `BATCH_SIZE`, then `on_idle`; return whether there was any.

        Waits up to `timeout_s` for the first entry; None: for as long as it takes.
        """
        take = self.mailbox.get
        count = 0
        try:
            method, arguments = take(timeout=timeout_s)
            while True:
                count += 1
                self.run_guarded(method, *arguments)
                if count == BATCH_SIZE:
                    break
                method, arguments = take(False)
        except Empty:
            pass
        self.run_guarded(self.on_idle)
        return count > 0

    def next_timeout(self) -> float | None:
        """Return the seconds until `on_idle` is due; None for never."""
        return None

    def on_idle(self) -> None:
        """Do what is due; called after each batch of entries and as `next_timeout` has passed."""

    def run_guarded(self, method: Callable[..., None], *arguments: Any) -> None:
        """Run one entry; one that goes wrong must not end the thread, and with it the server."""
        try:
            method(*arguments)
        except Exception as problem:
            self.metrics.report_internal_error(self.name, problem)


class PooledActor(Actor):
    """An actor that takes a thread of a pool only while it has entries; light work runs in the caller.

    Each hand-over to another thread costs more than a small write does. `run_or_post` takes the actor's place
    while it is asleep, and leaves to a thread what could block: a slow peer delays no actor but its own.
    """

    def __init__(self, name: str, metrics: Metrics, thread_pool: ThreadPool) -> None:
        """Take threads of `thread_pool`; there is nothing to be started."""
        super().__init__(name, metrics)
        self.thread_pool = thread_pool
        self.lock = threading.Lock()
        self.awake = False  # whether a thread is the actor's just now

    def post(self, method: Callable[..., None], *arguments: Any) -> None:
        """Let a thread of the pool call `method` with the arguments; never blocks."""
        self.mailbox.put((method, arguments))
        if not self.awake and self._wake():
            self.thread_pool.run(self.run)

    def run_or_post(self, method: Callable[..., None], *arguments: Any) -> None:
        """Call `method` here if the actor is asleep, else like `post`; for entries that don't block."""
        if self.awake or not self._wake():
            self.post(method, *arguments)
            return
        self.run_guarded(method, *arguments)
        self.run_guarded(self.flush_nonblocking)
        if not self.try_sleep():
            self.thread_pool.run(self.run)

    def flush_nonblocking(self) -> None:
        """Do as much of `on_idle` as doesn't block."""

    def has_unwritten(self) -> bool:
        """Whether `flush_nonblocking` has left something over."""
        return False

    def try_sleep(self) -> bool:
        """Give the actor's place up, unless there is more to do; return whether it was given up."""
        with self.lock:
            self.awake = False  # before the last look: whoever puts an entry now wakes it again
            more = self.running and (self.has_unwritten() or not self.mailbox.empty())
            self.awake = more
        return not more

    def run(self) -> None:
        """Take entries until there are none; on a thread of the pool."""
        while self.running:
            if not self.process_batch(0.0) and self.try_sleep():
                return

    def _wake(self) -> bool:
        """Take the actor's place; return whether it was free."""
        with self.lock:
            was_asleep = not self.awake
            self.awake = True
        return was_asleep
