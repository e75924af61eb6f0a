"""Starting threads where the system may have none left, and a pool that grows and shrinks with its jobs."""

import _thread
import contextlib
import threading
import time
from collections.abc import Callable
from functools import partial
from queue import Empty, SimpleQueue

from vetchford.runtime.metrics import Metrics

IDLE_THREAD_TIMEOUT_S = 0.5  # that a thread of a pool waits for a job before it ends
THREAD_RETRY_INTERVAL_S = 0.05  # other threads end meanwhile, as their connections are closed


def start_thread(run: Callable[[], None], name: str, metrics: Metrics) -> None:
    """Start a daemon thread; where the system gives none, wait until it does.

    What the thread is for, such as a connection that was accepted, is not dropped for want of a thread.
    """
    while True:
        try:
            threading.Thread(target=run, name=name, daemon=True).start()
            return
        except RuntimeError as problem:
            metrics.log_sampled("no_thread", part=name, problem=str(problem))
            time.sleep(THREAD_RETRY_INTERVAL_S)


class ThreadPool:
    """Threads that do the jobs of whoever has some, and end when there were none for a while.

    Where a machine is paused and resumed many times a second, as under a limit of its processor, each thread
    costs time at each pause: only what has something to do may have one. All methods may be called from any
    thread.
    """

    def __init__(self, metrics: Metrics, max_threads: int) -> None:
        """Start no thread yet."""
        self.metrics = metrics
        self.max_threads = max_threads
        self.lock = threading.Lock()
        self.threads = 0
        self.jobs: SimpleQueue[Callable[[], None]] = SimpleQueue()
        self.free = 0  # threads that wait for a job, less the jobs that wait for a thread

    def run(self, job: Callable[[], None]) -> None:
        """Do `job` on a thread that is free or new; if there is none to be had, on the next that is free."""
        with self.lock:
            self.free -= 1
            if self.free >= 0 or self.threads >= self.max_threads:
                self.jobs.put(job)
                return
            self.threads += 1
        try:
            _thread.start_new_thread(self.serve, (job,))
        except RuntimeError as problem:
            self.metrics.log_sampled("no_thread", problem=str(problem))
            with self.lock:
                self.threads -= 1
                self.jobs.put(job)
            return
        with self.lock:
            self.free += 1

    def start(self) -> None:
        """Start a first thread that stays: without it a job that finds none might wait for good."""
        with self.lock:
            self.threads += 1
        start_thread(partial(self.serve, lambda: None, True), "thread-pool", self.metrics)

    def has_spare_threads(self) -> bool:
        """Whether a thread may wait a little without keeping others from theirs."""
        return self.jobs.empty() and self.threads < self.max_threads // 2

    def serve(self, job: Callable[[], None], stays: bool = False) -> None:
        """Do jobs, on a thread of the pool, until there was none for `IDLE_THREAD_TIMEOUT_S`; or for good."""
        while True:
            self._do(job)
            with self.lock:
                self.free += 1
            try:
                job = self.jobs.get(timeout=None if stays else IDLE_THREAD_TIMEOUT_S)
            except Empty:
                if self._may_end():
                    return
                job = self.jobs.get()

    def _do(self, job: Callable[[], None]) -> None:
        try:
            job()
        except Exception as problem:
            with contextlib.suppress(Exception):  # a debug build raises it again: the thread goes on
                self.metrics.report_internal_error("thread-pool", problem)

    def _may_end(self) -> bool:
        """Give the place of this thread up, unless a job came since it stopped waiting."""
        with self.lock:
            if not self.jobs.empty():
                return False
            self.free -= 1
            self.threads -= 1
            return True
