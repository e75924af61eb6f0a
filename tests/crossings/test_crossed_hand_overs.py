"""Hand-overs between threads, and settings beside each other. Rows and their state: docs/crossings.md."""

import threading
import time

from helpers import TOLD, Recorder

from standins.gates import until
from standins.peers import PATIENCE
from vetchford.actors import actor
from vetchford.actors.actor import Crew
from vetchford.actors.counts import Counts


def test_a_job_that_finds_no_thread_is_done_all_the_same(monkeypatch):
    crew, done = Crew(Counts(), 4), threading.Event()
    crew.begin()
    until(lambda: crew.free == 1, "its first thread waits")
    held, busy = threading.Event(), threading.Event()
    crew.run(lambda: (busy.set(), held.wait(PATIENCE)))
    assert busy.wait(PATIENCE)

    def none(*given):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(actor._thread, "start_new_thread", none)
    crew.run(done.set)
    assert not done.is_set() and crew.counts.by_name["no_thread"] == 1
    held.set()
    assert done.wait(PATIENCE)
    time.sleep(0)  # past its rest the thread is still there for the next
    monkeypatch.setattr(actor, "REST", 0.01)
    again = threading.Event()
    crew.run(again.set)
    assert again.wait(PATIENCE)





def test_two_configurations_beside_each_other_decide_as_each_alone():
    from vetchford import startup

    other = {
        **TOLD,
        "requestClasses": [
            {"name": "pay", "worth": 9.0, "promise": 300_000_000, "deadline": 900_000_000,
             "effect": "read_like"},
            {"name": "read", "worth": 1.0, "deadline": 700_000_000, "effect": "non_idempotent"},
        ],
        "customers": [],
        "familyInfo": {"cores": 1, "ramKb": 300.0, "blowup": 2.0, "ownStats": ["core_use"]},
    }

    def play(*tolds):
        hosts = [Recorder() for _ in tolds]
        nodes = [startup.build(host, 7, told, False) for host, told in zip(hosts, tolds, strict=True)]
        for step in range(400):
            now = 10.0 * step
            for host, node in zip(hosts, nodes, strict=True):
                node.arrived(now, step, step % 2, -1, step % 3, now + 650.0, 20.0, 20_480, False, 0.0, None)
                started = [act[1] for act in host.acts if act[0] == "start"]
                for q in started[-2:-1]:
                    if q in node.tasks and node.tasks[q].state == 1:
                        node.ended(now, q, "completed", 30.0)
                if step % 5 == 0:
                    node.woke(now, 0.9, 2.0)
        return [host.acts for host in hosts]

    assert play(TOLD, other) == [*play(TOLD), *play(other)]
