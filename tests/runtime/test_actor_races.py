"""Hand-overs between threads, and settings beside each other. Rows and their state: docs/crossings.md."""

import threading
import time

from helpers import TOLD, Recorder

from testkit.fakes.peers import PATIENCE
from testkit.faults.checkpoints import Checkpoint, beside, until
from vetchford.admission import controller, factory
from vetchford.runtime import thread_pool as thread_pools
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool
from vetchford.server.reload import ConfigurationReloader


def test_a_job_that_finds_no_thread_is_done_all_the_same(monkeypatch):
    thread_pool, done = ThreadPool(Metrics(), 4), threading.Event()
    thread_pool.start()
    until(lambda: thread_pool.free == 1, "its first thread waits")
    held, busy = threading.Event(), threading.Event()
    thread_pool.run(lambda: (busy.set(), held.wait(PATIENCE)))
    assert busy.wait(PATIENCE)

    def none(*given):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(thread_pools._thread, "start_new_thread", none)
    thread_pool.run(done.set)
    assert not done.is_set() and thread_pool.metrics.by_name["no_thread"] == 1
    held.set()
    assert done.wait(PATIENCE)
    time.sleep(0)  # past its rest the thread is still there for the next
    monkeypatch.setattr(thread_pools, "IDLE_THREAD_TIMEOUT", 0.01)
    again = threading.Event()
    thread_pool.run(again.set)
    assert again.wait(PATIENCE)


def test_two_configurations_beside_each_other_decide_as_each_alone():
    short = {"promise": 900_000_000, "deadline": 1_500_000_000}
    told = {**TOLD, "requestClasses": [{**entry, **short} for entry in TOLD["requestClasses"]]}
    other = {
        **TOLD,
        "requestClasses": [
            {
                "name": "pay",
                "worth": 9.0,
                "promise": 300_000_000,
                "deadline": 900_000_000,
                "effect": "read_like",
            },
            {"name": "read", "worth": 1.0, "deadline": 700_000_000, "effect": "non_idempotent"},
        ],
        "customers": [],
        "familyInfo": {"cores": 1, "ramKb": 300.0, "blowup": 2.0, "ownStats": ["core_use"]},
    }

    takes = {2: 60.0, 1: 400.0}  # ms of a run, by the cores: what one learns is not what the other does

    def play(*tolds):
        hosts = [Recorder() for _ in tolds]
        nodes = [factory.build(host, 7, its, False) for host, its in zip(hosts, tolds, strict=True)]
        for step in range(400):
            now = 10.0 * step
            for node in nodes:
                limit = now + node.stages[step % 2].limit
                node.request_arrived(now, step, step % 2, -1, step % 3, limit, 20.0, 20_480, False, 0.0, None)
                runs = [q for q, task in node.tasks.items() if task.state == controller.RUNNING]
                for q in runs[: step % 3 == 0]:
                    node.run_ended(now, q, "completed", takes[node.cores])
                if step % 5 == 0:
                    node.on_tick(now, 0.9, 2.0)
        return [host.acts for host in hosts]

    alone = [*play(told), *play(other)]
    for acts in alone:  # enough is decided for a difference to show
        assert {"start", "reject"} <= {act[0] for act in acts}
    assert play(told, other) == alone


def test_a_renewal_that_raises_keeps_no_later_one_from_its_turn():
    """The second wish comes while the first is served, and that one ends in an error."""
    gate, served = Checkpoint(), []

    def renew(told):
        served.append(told)
        gate.come()
        if len(served) == 1:
            raise OSError("the disk")
        return {"stop_ms": len(served)}

    reloader = ConfigurationReloader({"stop_ms": 0}, renew, lambda act: beside(act))
    reloader.request()
    gate.wait()
    reloader.request()
    gate.open()
    until(lambda: not reloader.reloading, "both are served")
    assert served == [{"stop_ms": 0}] * 2 and reloader.configuration == {"stop_ms": 2}
    reloader.request()
    until(lambda: reloader.configuration == {"stop_ms": 3}, "one more")
