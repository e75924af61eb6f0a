"""A slow plain model of the four rules beside the module, on generated days; the two must agree.

The world here is no bench: it draws arrivals, ends, calls, departures and notices, with fixed seeds, only to
reach many states. The model keeps every task for ever and checks each act against the rules' own words.
"""

import math
import random

import pytest
from helpers import Recorder, new_controller, request_class, send

from vetchford.admission.rejection import RejectionReason
from vetchford.admission.settings import Effect, LoadSignal
from vetchford.bulkheads.bulkheads import BulkheadSet
from vetchford.bulkheads.settings import BulkheadSettings

GRACE, SLACK, CORES, MEMORY, MULTIPLE, ENTRY = 2000.0, 60.0, 2, 3000, 8.0, 50.0


class Model(Recorder):
    """Every task with all that became of it, and what may be done with it."""

    def __init__(self):
        super().__init__()
        self.tasks = {}  # by index, of the current holder of that index
        self.seen = []
        self.notice = float("inf")
        self.slice = 4

    def read(self, q, **facts):
        task = dict(facts, q=q, state="held", ran=False, answered=None, made=0, proven=True)
        self.tasks[q] = task
        self.seen.append(task)

    def answer(self, q, how):
        task = self.tasks[q]
        assert task["answered"] is None, "a second final answer"
        assert self.now <= task["limit"] + SLACK, "an answer too late"
        task["answered"] = how

    def start(self, q):
        task = self.tasks[q]
        assert task["state"] == "held" and task["answered"] is None
        assert task["arrived"] <= self.notice + GRACE, "run after the grace"
        for other in self.seen:
            if task["effect"] and other["subject"] == task["subject"] and other["ran"]:
                assert task["arrived"] > other["arrived"] + other["window"], "an effect twice"
        task["state"], task["ran"] = "running", True

    def stop(self, q):
        assert not self.tasks[q]["effect"]

    def reject(self, q, terminal, pause, reason):
        assert isinstance(reason, RejectionReason)
        task = self.tasks[q]
        assert not (task["effect"] and task["ran"]), "turned away after it ran"
        assert 0.0 <= pause <= 1000.0
        self.answer(q, "rejected")
        task["state"] = "done" if task["state"] == "held" else task["state"]

    def fail(self, q):
        self.answer(q, "abandoned")
        task = self.tasks[q]
        task["state"] = "done" if task["state"] in ("held", "sharing") else task["state"]

    def share(self, q):
        self.tasks[q]["state"] = "sharing"

    def call(self, q, cut_at):
        task = self.tasks[q]
        assert task["state"] == "parked"
        # With a slice of 0.02 over 5 s one hung call, waited for to its limit, would take many slices.
        assert self.slice > 1 or cut_at <= self.now + 50.001, "a hung call over the slice"
        assert not task["effect"] or not task["made"] or task["proven"], "a call repeated without proof"
        task["state"], task["made"], task["proven"] = "calling", task["made"] + 1, False
        assert sum(other["state"] == "calling" for other in self.tasks.values()) <= self.slice, "over"

    def skip(self, q):
        task = self.tasks[q]
        assert task["state"] in ("parked", "calling") and task["skips"]
        task["state"] = "running"

    def remember(self, q, keep_for):
        task = self.tasks[q]
        assert keep_for >= task["window"] - (self.now - task["arrived"]) - 1e-6
        task["entry"] = self.now + keep_for

    def forget(self, q):
        assert not self.tasks[q]["ran"]
        self.tasks[q]["entry"] = 0.0

    def release(self, q):
        task = self.tasks.pop(q)
        assert task["state"] in ("done", "gone") and task.get("entry", 0.0) <= self.now

    def memory(self):
        total = 0.0
        for task in self.tasks.values():
            busy = task["state"] in ("running", "parked", "calling")
            total += task["size"] * (MULTIPLE if busy else task["state"] in ("held", "sharing"))
            total += ENTRY * (task.get("entry", 0.0) > self.now)
        return total


def pools_of(seed):
    terms = [
        BulkheadSettings(
            name,
            part,
            part,
            part,
            reserve=seed % 3 if name == "a" else 0,
            lends=seed % 2 == 0,
            call_budget_ms=300.0 if name == "a" else math.inf,
        )
        for name, part in (("a", 0.2), ("b", 0.3), ("c", 0.5))
    ]
    return BulkheadSet(Recorder(), terms, [0, 1, 2], derive=seed % 4 == 3)


def day(seed, draw_out, edge=False, pooled=False):
    chance = random.Random(seed)
    stages = [
        request_class(late_fraction=0.2, skip_fraction=0.3),
        request_class(priority_weight=3.0, effect=Effect.IDEMPOTENT_BY_KEY),
        request_class(
            priority_weight=2.0, effect=Effect.NON_IDEMPOTENT, latency_objective_ms=900.0, timeout_ms=2200.0
        ),
    ]
    host, callers = Model(), 2000 if edge else 3
    host.slice = 1 if edge else 4  # edge: a slice far under one call, thousands of callers, waits told
    server = new_controller(
        host,
        classes=stages,
        cores=1 if edge else CORES,
        cold=seed % 2 == 0,
        memory=MEMORY,
        clients=callers,
        share=0.02 if edge else 4.0,
        signal=LoadSignal.UTILIZATION,
        quotas=[0.01, 0.02],
        can_stop=seed % 3 == 0,
        bulkheads=pools_of(seed) if pooled else None,
    )
    subject, killed = 0, float("inf")
    for step in range(3500):
        host.now = now = step * 5.0
        alive = now < killed
        if not alive:
            break
        if now >= 9000.0 and draw_out and host.notice == float("inf"):
            host.notice, killed = now, now + 4000.0
            for task in host.tasks.values():
                task["limit"] = min(task["limit"], killed)
            server.start_draining(now, killed)
        for _ in range(chance.choice((0, 0, 0, 0, 1, 1, 4)) if now < 12000.0 else 0):
            kind = chance.randrange(3)
            queued = chance.choice((0.0, 5.0, 40.0, 2500.0))
            subject += 1
            first = None
            alike = [
                t
                for t in host.tasks.values()
                if t["effect"] == Effect.IDEMPOTENT_BY_KEY
                and t["state"] != "sharing"
                and t.get("entry", 0.0) > now - queued
                and (t["state"] == "held" or t["ran"])
            ]
            if kind == 1 and alike and chance.random() < 0.3:
                first = chance.choice(alike)
            q = next(n for n in range(len(host.tasks) + 1) if n not in host.tasks)
            size = chance.randint(5, 60)
            host.read(
                q,
                subject=first["subject"] if first else subject,
                arrived=now - queued,
                size=size,
                effect=stages[kind].effect,
                window=13000.0 if kind == 1 else 0.0,
                skips=kind == 0,
                stuck=chance.random() < 0.04,
                limit=min(max(now, now - queued + stages[kind].timeout_ms), killed),
            )
            held, task = host.memory(), host.tasks[q]
            until = max(now, now - queued + chance.choice((0.5, 0.5, 0.52, 0.8)) * stages[kind].timeout_ms)
            task["limit"] = min(task["limit"], until) if edge else task["limit"]
            send(
                server,
                now,
                q,
                kind,
                client=chance.randrange(callers),
                tenant=chance.randrange(-1, 2),
                size=size,
                is_retry=chance.random() < 0.2,
                queued_for=queued,
                deadline=until if edge else None,
                original=first["q"] if first else None,
            )
            assert host.memory() <= max(MEMORY, held), "out of memory"
        for task in list(host.tasks.values()):
            q, luck = task["q"], chance.random()
            if host.tasks.get(q) is not task or task["stuck"] and not task["answered"]:
                continue
            if task["state"] == "running" and luck < 0.03:
                task["state"] = "gone"
                task["answered"] = task["answered"] or "finished"
                code = chance.choice(("completed", "completed", "errored"))
                server.run_ended(now, q, code, chance.uniform(20, 900))
            elif task["state"] == "running" and luck < 0.04 and task["effect"] != Effect.NON_IDEMPOTENT:
                task["state"], task["made"] = "parked", 0  # a new need, not a repeat of the last call
                server.run_blocked(now, q)
            elif task["state"] == "calling" and luck < 0.06:
                code = chance.choice(("completed", "completed", "errored", "saturated", "severed"))
                task["state"] = "running" if code == "completed" else "parked"
                task["proven"] = code == "saturated"
                server.call_ended(now, q, code, chance.uniform(20, 400))
            elif task["state"] in ("parked", "calling") and task["answered"]:
                task["state"] = "gone"
                server.run_ended(now, q, "recalled", 100.0)
            elif task["state"] == "sharing" and luck < 0.1:
                task["state"], task["answered"] = "gone", "finished"
                server.run_ended(now, q, "completed", 30.0)
            elif task["answered"] is None and luck > 0.999:
                task["answered"] = "gone"
                task["state"] = "gone" if task["state"] in ("held", "sharing") else task["state"]
                server.client_gone(now, q)
        late = [t for t in host.tasks.values() if t["answered"] is None and now > t["limit"] + SLACK]
        assert not late, "no answer in time"
        for at in sorted(t for t in host.timers if t <= now):
            host.timers.remove(at)
            server.on_tick(now, chance.random(), sum(t["state"] == "running" for t in host.tasks.values()))
        on_cores = sum(task["state"] == "running" for task in host.tasks.values())
        assert on_cores == server.workload.running and on_cores <= CORES * 8.0
        unanswered = sum(task["size"] for task in host.tasks.values() if not task["answered"])
        assert server.workload.in_flight.unanswered_bytes == unanswered
    for task in host.seen:
        assert task["answered"], "a task lost"
    return host


@pytest.mark.parametrize(("edge", "pooled"), [(False, False), (True, False), (False, True), (True, True)])
@pytest.mark.parametrize("seed", range(12))
def test_the_controller_agrees_with_the_plain_model_of_the_rules(seed, edge, pooled):
    host = day(seed, draw_out=seed % 4 == 1, edge=edge, pooled=pooled)
    kinds = {act["answered"] for act in host.seen}
    assert {"finished", "rejected", "abandoned"} <= kinds  # the day reached what it was drawn for
