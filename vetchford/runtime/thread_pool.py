"""Thread start that survives a shortage of threads, and a pool that grows and shrinks with its jobs."""

import _thread
import contextlib
import threading
import time
from collections.abc import Callable
from functools import partial
from queue import Empty, SimpleQueue

from vetchford.runtime.metrics import Metrics

IDLE_THREAD_TIMEOUT_S = 0.5  # how long a thread of a pool waits for a job before it ends
THREAD_RETRY_INTERVAL_S = 0.05  # meanwhile other threads may end, as their connections are closed


def start_thread(run: Callable[[], None], name: str, metrics: Metrics) -> None:
    """Start a daemon thread; if the system can't start one, retry until it can.

    The work of the thread, such as an accepted connection, is thus never dropped for lack of a thread.
    """
    while True:
        try:
            threading.Thread(target=run, name=name, daemon=True).start()
            return
        except RuntimeError as problem:
            metrics.log_sampled("no_thread", part=name, problem=str(problem))
            time.sleep(THREAD_RETRY_INTERVAL_S)


class ThreadPool:
    """Threads that run jobs of any caller, and end after a time without jobs.

    Under a CPU limit a process is paused and resumed many times a second, and each thread costs time at each
    pause; hence only work that is ready has a thread. All methods may be called from any thread.
    """

    def __init__(self, metrics: Metrics, max_threads: int) -> None:
        """Create a pool without threads."""
        self.metrics = metrics
        self.max_threads = max_threads
        self.lock = threading.Lock()
        self.threads = 0
        self.jobs: SimpleQueue[Callable[[], None]] = SimpleQueue()
        self.idle_threads = 0  # threads that wait for a job, minus jobs that wait for a thread

    def run(self, job: Callable[[], None]) -> None:
        """Run `job` on an idle or new thread, or queue it for the next idle thread if none can be started."""
        with self.lock:
            self.idle_threads -= 1
            if self.idle_threads >= 0 or self.threads >= self.max_threads:
                self.jobs.put(job)
                return
            self.threads += 1
        try:
            _thread.start_new_thread(self.run_jobs, (job,))
        except RuntimeError as problem:
            self.metrics.log_sampled("no_thread", problem=str(problem))
            with self.lock:
                self.threads -= 1
                self.jobs.put(job)
            return
        with self.lock:
            self.idle_threads += 1

    def start(self) -> None:
        """Start one permanent thread, so that a job is run even if no other thread can be started."""
        with self.lock:
            self.threads += 1
        start_thread(partial(self.run_jobs, lambda: None, True), "thread-pool", self.metrics)

    def has_spare_threads(self) -> bool:
        """Return whether enough threads are left that a job may hold its thread for a short wait."""
        return self.jobs.empty() and self.threads < self.max_threads // 2

    def run_jobs(self, job: Callable[[], None], permanent: bool = False) -> None:
        """Run jobs until there is none for `IDLE_THREAD_TIMEOUT_S`; without end if `permanent`."""
        while True:
            self._run_guarded(job)
            with self.lock:
                self.idle_threads += 1
            try:
                job = self.jobs.get(timeout=None if permanent else IDLE_THREAD_TIMEOUT_S)
            except Empty:
                if self._try_end():
                    return
                job = self.jobs.get()

    def _run_guarded(self, job: Callable[[], None]) -> None:
        try:
            job()
        except Exception as problem:
            with contextlib.suppress(Exception):  # raised again in debug builds; the thread must continue
                self.metrics.report_internal_error("thread-pool", problem)

    def _try_end(self) -> bool:
        """Remove this thread from the pool unless a job has been queued; return whether the thread ends."""
        with self.lock:
            if not self.jobs.empty():
                return False
            self.idle_threads -= 1
            self.threads -= 1
            return True
