"""Thread pool, and thread start when the system has no thread left. Races: docs/crossings.md."""

import queue
import threading
import time

from testkit.fakes.peers import WAIT_TIMEOUT_S
from testkit.faults.waiting import wait_until
from vetchford.runtime import thread_pool as thread_pools
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool, start_thread


def test_a_job_runs_later_if_no_thread_can_be_started(monkeypatch):
    thread_pool, done = ThreadPool(Metrics(), 4), threading.Event()
    thread_pool.start()
    wait_until(lambda: thread_pool.idle_threads == 1, "the permanent thread waits for a job")
    release, busy = threading.Event(), threading.Event()
    thread_pool.run(lambda: (busy.set(), release.wait(WAIT_TIMEOUT_S)))
    assert busy.wait(WAIT_TIMEOUT_S)

    def refuse_thread(*arguments):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(thread_pools._thread, "start_new_thread", refuse_thread)
    thread_pool.run(done.set)
    assert not done.is_set() and thread_pool.metrics.by_name["no_thread"] == 1
    release.set()
    assert done.wait(WAIT_TIMEOUT_S)
    time.sleep(0)  # the permanent thread runs later jobs as well
    monkeypatch.setattr(thread_pools, "IDLE_THREAD_TIMEOUT_S", 0.01)
    second_done = threading.Event()
    thread_pool.run(second_done.set)
    assert second_done.wait(WAIT_TIMEOUT_S)


def test_starting_a_thread_is_retried_until_it_succeeds(monkeypatch):
    metrics, started, attempts = Metrics(), [], []

    class ThirdStartSucceeds(threading.Thread):
        def start(self):
            attempts.append(self.name)
            if len(attempts) < 3:
                raise RuntimeError("can't start new thread")
            started.append(self.name)

    monkeypatch.setattr(threading, "Thread", ThirdStartSucceeds)
    start_thread(lambda: None, "reader", metrics)
    assert started == ["reader"] and metrics.by_name["no_thread"] == 2


def test_a_thread_pool_runs_all_jobs_within_its_thread_limit():
    thread_pool, finished, release = ThreadPool(Metrics(), 3), queue.Queue(), threading.Event()
    for n in range(50):
        thread_pool.run(lambda n=n: (release.wait(20), finished.put(n)))
    assert thread_pool.threads == 3
    release.set()
    assert sorted(finished.get(timeout=20) for _ in range(50)) == list(range(50))
