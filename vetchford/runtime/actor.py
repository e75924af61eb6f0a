"""Mailboxes, and the threads that empty them."""

import _thread
import contextlib
import threading
import time
from collections.abc import Callable
from functools import partial
from queue import Empty, SimpleQueue
from typing import Any

from vetchford.runtime.metrics import Metrics

MAILBOX_HIGH_WATER = 500  # entries, of 3 KB at most: a tenth of a second of work, and a MB or two
BATCH_SIZE = 16  # entries before `on_idle`: what they bring is written at once, and no timer waits for long
IDLE_THREAD_TIMEOUT = 0.5  # s that a thread of the crew waits for work before it ends


def start_thread(act: Callable[[], None], name: str, metrics: Metrics) -> None:
    """Where the system gives none just now, waits: a connection that was taken must not be dropped unread."""
    while True:
        try:
            threading.Thread(target=act, name=name, daemon=True).start()
            return
        except RuntimeError as problem:
            metrics.log_sampled("no_thread", part=name, problem=str(problem))
            time.sleep(0.05)  # s: others end as their connections are closed


class Actor:
    """One thread and its mailbox. `post` never blocks; an entry is one of its methods, with arguments."""

    def __init__(self, name: str, metrics: Metrics) -> None:
        self.name, self.metrics = name, metrics
        self.mailbox: SimpleQueue[tuple[Callable[..., None], tuple[Any, ...]]] = SimpleQueue()
        self.running = True

    def post(self, act: Callable[..., None], *given: Any) -> None:
        self.mailbox.put((act, given))

    def post_when_room(self, act: Callable[..., None], *given: Any) -> None:
        """For readers of sockets: a mailbox that is far behind stops them, and so those who write to them."""
        while self.mailbox.qsize() > MAILBOX_HIGH_WATER:
            time.sleep(0.005)  # s: the mailbox empties by some fifty entries meanwhile
        self.mailbox.put((act, given))

    def start(self) -> None:
        start_thread(self.run, self.name, self.metrics)

    def run(self) -> None:
        while self.running:
            self.process_batch(self.next_timeout())

    def process_batch(self, timeout: float | None) -> bool:
        """What the mailbox holds, up to a batch, then `on_idle`; whether there was anything."""
        take, count = self.mailbox.get, 0
        try:
            act, given = take(timeout=timeout)
            while True:
                count += 1
                self.run_guarded(act, *given)
                if count == BATCH_SIZE:
                    break
                act, given = take(False)
        except Empty:
            pass
        self.run_guarded(self.on_idle)
        return count > 0

    def next_timeout(self) -> float | None:
        """Seconds until `on_idle` is due; None for never."""
        return None

    def on_idle(self) -> None:
        """Called after each batch of entries and whenever patience runs out."""

    def run_guarded(self, act: Callable[..., None], *given: Any) -> None:
        # One entry that goes wrong must not end the thread, and with it the server.
        try:
            act(*given)
        except Exception as problem:
            self.metrics.report_internal_error(self.name, problem)


class ThreadPool:
    """Threads that serve whoever needs one, and end when they are not needed for a while.

    Where a machine is paused and resumed many times a second, as under a limit of its processor, each thread
    costs time at each pause: only what has something to do may have one.
    """

    def __init__(self, metrics: Metrics, most: int) -> None:
        self.metrics, self.lock, self.most = metrics, threading.Lock(), most
        self.threads = 0
        self.jobs: SimpleQueue[Callable[[], None]] = SimpleQueue()
        self.free = 0  # threads that wait for a job, less the jobs that wait for a thread

    def run(self, act: Callable[[], None]) -> None:
        with self.lock:
            self.free -= 1
            if self.free >= 0 or self.threads >= self.most:
                self.jobs.put(act)
                return
            self.threads += 1
        try:
            _thread.start_new_thread(self.serve, (act,))
        except RuntimeError as problem:  # none to be had just now: the next that has done its work takes it
            self.metrics.log_sampled("no_thread", problem=str(problem))
            with self.lock:
                self.threads -= 1
                self.jobs.put(act)
            return
        with self.lock:
            self.free += 1

    def start(self) -> None:
        """A first thread that stays: without it a job that finds none to be had might wait for good."""
        with self.lock:
            self.threads += 1
        start_thread(partial(self.serve, lambda: None, True), "crew", self.metrics)

    def has_spare_threads(self) -> bool:
        """Whether a thread may wait a little without keeping others from theirs."""
        return self.jobs.empty() and self.threads < self.most // 2

    def serve(self, act: Callable[[], None], stays: bool = False) -> None:
        while True:
            try:
                act()
            except Exception as problem:
                with contextlib.suppress(Exception):  # a debug build raises it again: the thread goes on
                    self.metrics.report_internal_error("crew", problem)
            with self.lock:
                self.free += 1
            try:
                act = self.jobs.get(timeout=None if stays else IDLE_THREAD_TIMEOUT)
            except Empty:
                with self.lock:
                    if self.jobs.empty():
                        self.free -= 1
                        self.threads -= 1
                        return
                act = self.jobs.get()


class PooledActor(Actor):
    """An actor that takes a thread of the pool only while it has entries; light work runs in the caller.

    Each hand-over to another thread costs more than a small write does. `run_or_post` takes the actor's place
    while it is asleep, and leaves to a thread what could block: a slow peer delays no actor but its own.
    """

    def __init__(self, name: str, metrics: Metrics, thread_pool: ThreadPool) -> None:
        super().__init__(name, metrics)
        self.thread_pool, self.lock, self.awake = thread_pool, threading.Lock(), False

    def post(self, act: Callable[..., None], *given: Any) -> None:
        self.mailbox.put((act, given))
        if not self.awake:
            with self.lock:
                first, self.awake = not self.awake, True
            if first:
                self.thread_pool.run(self.run)

    def run_or_post(self, act: Callable[..., None], *given: Any) -> None:
        """Like `post`, for entries that don't block."""
        if not self.awake:
            with self.lock:
                mine, self.awake = not self.awake, True
            if mine:
                self.run_guarded(act, *given)
                self.run_guarded(self.flush_nonblocking)
                if not self.try_sleep():
                    self.thread_pool.run(self.run)
                return
        self.post(act, *given)

    def flush_nonblocking(self) -> None:
        """As much of `on_idle` as doesn't block."""

    def has_unwritten(self) -> bool:
        """Whether `flush_nonblocking` has left something over."""
        return False

    def try_sleep(self) -> bool:
        with self.lock:
            self.awake = False  # before the last look: whoever puts an entry now wakes it again
            more = self.running and (self.has_unwritten() or not self.mailbox.empty())
            self.awake = more
        return not more

    def run(self) -> None:
        while self.running:
            if not self.process_batch(0.0) and self.try_sleep():
                return
