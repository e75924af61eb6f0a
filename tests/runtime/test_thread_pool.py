"""Threads where the system has none left, and the pool. Rows of the races: docs/crossings.md."""

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
    wait_until(lambda: thread_pool.free == 1, "its first thread waits")
    held, busy = threading.Event(), threading.Event()
    thread_pool.run(lambda: (busy.set(), held.wait(WAIT_TIMEOUT_S)))
    assert busy.wait(WAIT_TIMEOUT_S)

    def none(*given):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(thread_pools._thread, "start_new_thread", none)
    thread_pool.run(done.set)
    assert not done.is_set() and thread_pool.metrics.by_name["no_thread"] == 1
    held.set()
    assert done.wait(WAIT_TIMEOUT_S)
    time.sleep(0)  # past its rest the thread is still there for the next
    monkeypatch.setattr(thread_pools, "IDLE_THREAD_TIMEOUT_S", 0.01)
    again = threading.Event()
    thread_pool.run(again.set)
    assert again.wait(WAIT_TIMEOUT_S)


def test_starting_a_thread_is_retried_until_it_succeeds(monkeypatch):
    metrics, begun, tries = Metrics(), [], []

    class Scarce(threading.Thread):
        def start(self):
            tries.append(self.name)
            if len(tries) < 3:
                raise RuntimeError("can't start new thread")
            begun.append(self.name)

    monkeypatch.setattr(threading, "Thread", Scarce)
    start_thread(lambda: None, "reader", metrics)
    assert begun == ["reader"] and metrics.by_name["no_thread"] == 2


def test_a_thread_pool_runs_all_jobs_within_its_thread_limit():
    thread_pool, done, hold = ThreadPool(Metrics(), 3), queue.Queue(), threading.Event()
    for n in range(50):
        thread_pool.run(lambda n=n: (hold.wait(20), done.put(n)))
    assert thread_pool.threads == 3
    hold.set()
    assert sorted(done.get(timeout=20) for _ in range(50)) == list(range(50))
