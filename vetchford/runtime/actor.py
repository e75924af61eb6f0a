"""Actors: objects whose state is used by one thread at a time, and their mailboxes."""

import threading
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import Any, Protocol

from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool, start_thread

MAILBOX_HIGH_WATER = 500  # entries of at most 3 KB each: about 0.1 s of work and 1.5 MB
HIGH_WATER_INTERVAL_S = 0.005  # about fifty entries are processed in this time
BATCH_SIZE = 16  # entries before `on_idle`: their output is written together, and timers are not delayed long


class Mailbox(Protocol):
    """The interface of an actor for other threads."""

    def post(self, method: Callable[..., None], *arguments: Any) -> None:
        """Queue a call of the actor's method `method` on the actor's thread; never blocks."""

    def post_when_room(self, method: Callable[..., None], *arguments: Any) -> None:
        """Wait while the mailbox holds more than MAILBOX_HIGH_WATER entries, then post."""


class Actor:
    """A thread with a mailbox, whose entries are methods of the actor with their arguments.

    `post` and `post_when_room` may be called from any thread, all other methods from the actor's thread only.
    """

    def __init__(self, name: str, metrics: Metrics) -> None:
        """Create the actor; `start` starts its thread, which is called `name`."""
        self.name = name
        self.metrics = metrics
        self.mailbox: SimpleQueue[tuple[Callable[..., None], tuple[Any, ...]]] = SimpleQueue()
        self.running = True

    def post(self, method: Callable[..., None], *arguments: Any) -> None:
        """Queue a call of `method` on the actor's thread; never blocks."""
        self.mailbox.put((method, arguments))

    def post_when_room(self, method: Callable[..., None], *arguments: Any) -> None:
        """Wait while the mailbox holds more than MAILBOX_HIGH_WATER entries, then post.

        Threads that read sockets use this method: while they wait they read nothing, which slows the senders.
        """
        while self.mailbox.qsize() > MAILBOX_HIGH_WATER:
            time.sleep(HIGH_WATER_INTERVAL_S)
        self.mailbox.put((method, arguments))

    def start(self) -> None:
        """Start the thread of the actor."""
        start_thread(self.run, self.name, self.metrics)

    def run(self) -> None:
        """Process entries until `running` is cleared; the target of the thread."""
        while self.running:
            self.process_batch(self.next_timeout())

    def process_batch(self, timeout_s: float | None) -> bool:
        """Process up to `BATCH_SIZE` entries, then call `on_idle`; return whether there were any entries.

        Waits up to `timeout_s` for the first entry, or without limit if that is None.
        """
        next_entry = self.mailbox.get
        count = 0
        try:
            method, arguments = next_entry(timeout=timeout_s)
            while True:
                count += 1
                self.run_guarded(method, *arguments)
                if count == BATCH_SIZE:
                    break
                method, arguments = next_entry(False)
        except Empty:
            pass
        self.run_guarded(self.on_idle)
        return count > 0

    def next_timeout(self) -> float | None:
        """Return the seconds until `on_idle` must be called; None for no such time."""
        return None

    def on_idle(self) -> None:
        """Do work that is due; called after each batch of entries and each `next_timeout`."""

    def run_guarded(self, method: Callable[..., None], *arguments: Any) -> None:
        """Call `method` and report its exceptions, which must not end the thread and stop the server."""
        try:
            method(*arguments)
        except Exception as problem:
            self.metrics.report_internal_error(self.name, problem)


class PooledActor(Actor):
    """An actor that uses a thread of a pool only while it has entries; short calls run in the caller.

    Passing work to another thread costs more than a small write. `run_or_post` therefore runs the method in
    the caller's thread while the actor is inactive, and leaves to a pool thread what could block, so that a
    slow connection delays only its own actor.
    """

    def __init__(self, name: str, metrics: Metrics, thread_pool: ThreadPool) -> None:
        """Create the actor; it needs no `start`, as it uses threads of `thread_pool`."""
        super().__init__(name, metrics)
        self.thread_pool = thread_pool
        self.lock = threading.Lock()
        self.active = False  # whether a thread runs the actor now

    def post(self, method: Callable[..., None], *arguments: Any) -> None:
        """Queue a call of `method` on a thread of the pool; never blocks."""
        self.mailbox.put((method, arguments))
        if not self.active and self._activate():
            self.thread_pool.run(self.run)

    def run_or_post(self, method: Callable[..., None], *arguments: Any) -> None:
        """Call `method` in this thread if the actor is inactive, else post it; `method` must not block."""
        if self.active or not self._activate():
            self.post(method, *arguments)
            return
        self.run_guarded(method, *arguments)
        self.run_guarded(self.flush_nonblocking)
        if not self.try_deactivate():
            self.thread_pool.run(self.run)

    def flush_nonblocking(self) -> None:
        """Do the part of `on_idle` that does not block."""

    def has_unwritten(self) -> bool:
        """Return whether `flush_nonblocking` left output unwritten."""
        return False

    def try_deactivate(self) -> bool:
        """Make the actor inactive unless it has more work; return whether it is inactive."""
        with self.lock:
            self.active = False  # before the check: a thread that posts after it activates the actor again
            has_work = self.running and (self.has_unwritten() or not self.mailbox.empty())
            self.active = has_work
        return not has_work

    def run(self) -> None:
        """Process entries until there are none, on a thread of the pool."""
        while self.running:
            if not self.process_batch(0.0) and self.try_deactivate():
                return

    def _activate(self) -> bool:
        """Make the actor active; return whether it was inactive."""
        with self.lock:
            was_inactive = not self.active
            self.active = True
        return was_inactive
