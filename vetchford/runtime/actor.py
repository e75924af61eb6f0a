"""Mailboxes, and the threads that empty them."""

import _thread
import contextlib
import threading
import time
from collections.abc import Callable
from functools import partial
from queue import Empty, SimpleQueue
from typing import Any

from vetchford.runtime.metrics import Counts

MOST_BEHIND = 500  # entries, of 3 KB at most: a tenth of a second of work, and a MB or two
A_BATCH = 16  # entries before `idle`: what they bring is written at once, and no timer waits for long
REST = 0.5  # s that a thread of the crew waits for work before it ends


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
            self.batch(self.patience())

    def batch(self, patience: float | None) -> bool:
        """What the mailbox holds, up to a batch, then `idle`; whether there was anything."""
        take, count = self.mailbox.get, 0
        try:
            act, given = take(timeout=patience)
            while True:
                count += 1
                self.guarded(act, *given)
                if count == A_BATCH:
                    break
                act, given = take(False)
        except Empty:
            pass
        self.guarded(self.idle)
        return count > 0

    def patience(self) -> float | None:
        """Seconds until `idle` is due; None for never."""
        return None

    def idle(self) -> None:
        """Called after each batch of entries and whenever patience runs out."""

    def guarded(self, act: Callable[..., None], *given: Any) -> None:
        # One entry that goes wrong must not end the thread, and with it the server.
        try:
            act(*given)
        except Exception as problem:
            self.counts.broke(self.name, problem)


class Crew:
    """Threads that serve whoever needs one, and end when they are not needed for a while.

    Where a machine is paused and resumed many times a second, as under a limit of its processor, each thread
    costs time at each pause: only what has something to do may have one.
    """

    def __init__(self, counts: Counts, most: int) -> None:
        self.counts, self.lock, self.most = counts, threading.Lock(), most
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
            self.counts.note("no_thread", problem=str(problem))
            with self.lock:
                self.threads -= 1
                self.jobs.put(act)
            return
        with self.lock:
            self.free += 1

    def begin(self) -> None:
        """A first thread that stays: without it a job that finds none to be had might wait for good."""
        with self.lock:
            self.threads += 1
        begin_thread(partial(self.serve, lambda: None, True), "crew", self.counts)

    def roomy(self) -> bool:
        """Whether a thread may wait a little without keeping others from theirs."""
        return self.jobs.empty() and self.threads < self.most // 2

    def serve(self, act: Callable[[], None], stays: bool = False) -> None:
        while True:
            try:
                act()
            except Exception as problem:
                with contextlib.suppress(Exception):  # a debug build raises it again: the thread goes on
                    self.counts.broke("crew", problem)
            with self.lock:
                self.free += 1
            try:
                act = self.jobs.get(timeout=None if stays else REST)
            except Empty:
                with self.lock:
                    if self.jobs.empty():
                        self.free -= 1
                        self.threads -= 1
                        return
                act = self.jobs.get()


class CrewedActor(Actor):
    """Has a thread of the crew only while there is something to do; light work is done by whoever brings it.

    Each hand-over to another thread costs more than a small write does. `do` takes the actor's place while it
    is asleep, and leaves to a thread what could block: a slow peer still holds up nobody but its own actor.
    """

    def __init__(self, name: str, counts: Counts, crew: Crew) -> None:
        super().__init__(name, counts)
        self.crew, self.lock, self.awake = crew, threading.Lock(), False

    def tell(self, act: Callable[..., None], *given: Any) -> None:
        self.mailbox.put((act, given))
        if not self.awake:
            with self.lock:
                first, self.awake = not self.awake, True
            if first:
                self.crew.run(self.run)

    def do(self, act: Callable[..., None], *given: Any) -> None:
        """Like `tell`, for entries that don't block."""
        if not self.awake:
            with self.lock:
                mine, self.awake = not self.awake, True
            if mine:
                self.guarded(act, *given)
                self.guarded(self.now)
                if not self.sleeps():
                    self.crew.run(self.run)
                return
        self.tell(act, *given)

    def now(self) -> None:
        """As much of `idle` as doesn't block."""

    def left(self) -> bool:
        """Whether `now` has left something over."""
        return False

    def sleeps(self) -> bool:
        with self.lock:
            self.awake = False  # before the last look: whoever puts an entry now wakes it again
            more = self.running and (self.left() or not self.mailbox.empty())
            self.awake = more
        return not more

    def run(self) -> None:
        while self.running:
            if not self.batch(0.0) and self.sleeps():
                return
