"""Compares the controller with a slow, plain model of the admission rules in random simulations.

The simulation draws arrivals, ends of runs, calls, clients that leave and termination notices from fixed
seeds to reach many states; it measures nothing. The model keeps every request and checks each action of the
controller against the rules: one final answer by the deadline, no effect twice, calls and memory in limits.
"""

import math
import random

import pytest
from helpers import Recorder, new_controller, request_class, send

from vetchford.admission.rejection import RejectionReason
from vetchford.admission.settings import Effect, LoadSignal
from vetchford.bulkheads.bulkheads import BulkheadSet
from vetchford.bulkheads.settings import BulkheadSettings

DRAIN_GRACE_MS, ANSWER_SLACK_MS, CORES, MEMORY_BYTES, RUNNING_MULTIPLE, KEY_BYTES = (
    2000.0,
    60.0,
    2,
    3000,
    8.0,
    50.0,
)


class RequestModel(Recorder):
    """The state of every request, checked against each action of the controller."""

    def __init__(self):
        super().__init__()
        self.requests = {}  # by index; an index is reused once it is released
        self.all_requests = []
        self.notice_at = float("inf")
        self.call_share = 4

    def add_request(self, index, **fields):
        request = dict(
            fields,
            index=index,
            state="queued",
            ran=False,
            answered=None,
            calls_made=0,
            last_call_never_ran=True,
        )
        self.requests[index] = request
        self.all_requests.append(request)

    def answer(self, index, answer):
        request = self.requests[index]
        assert request["answered"] is None, "a second final answer"
        assert self.now <= request["deadline"] + ANSWER_SLACK_MS, "answered too late"
        request["answered"] = answer

    def start(self, index):
        request = self.requests[index]
        assert request["state"] == "queued" and request["answered"] is None
        assert request["arrived"] <= self.notice_at + DRAIN_GRACE_MS, "started after the drain grace"
        for other in self.all_requests:
            if request["effect"] and other["operation"] == request["operation"] and other["ran"]:
                assert request["arrived"] > other["arrived"] + other["key_window"], (
                    "a request with an effect ran twice"
                )
        request["state"], request["ran"] = "running", True

    def stop(self, index):
        assert not self.requests[index]["effect"]

    def reject(self, index, terminal, retry_after, reason):
        assert isinstance(reason, RejectionReason)
        request = self.requests[index]
        assert not (request["effect"] and request["ran"]), "rejected after it ran"
        assert 0.0 <= retry_after <= 1000.0
        self.answer(index, "rejected")
        request["state"] = "done" if request["state"] == "queued" else request["state"]

    def fail(self, index):
        self.answer(index, "failed")
        request = self.requests[index]
        request["state"] = "done" if request["state"] in ("queued", "sharing") else request["state"]

    def share(self, index):
        self.requests[index]["state"] = "sharing"

    def call(self, index, abandon_at):
        request = self.requests[index]
        assert request["state"] == "waiting for call"
        # With a share of 0.02 over 5 s, waiting for one hung call until its deadline would use many shares.
        assert self.call_share > 1 or abandon_at <= self.now + 50.001, "a hung call may exceed the share"
        assert not request["effect"] or not request["calls_made"] or request["last_call_never_ran"], (
            "a call made again that may have run"
        )
        request["state"], request["calls_made"], request["last_call_never_ran"] = (
            "calling",
            request["calls_made"] + 1,
            False,
        )
        assert sum(other["state"] == "calling" for other in self.requests.values()) <= self.call_share, (
            "calls over the share"
        )

    def skip(self, index):
        request = self.requests[index]
        assert request["state"] in ("waiting for call", "calling") and request["may_skip"]
        request["state"] = "running"

    def remember(self, index, keep_for):
        request = self.requests[index]
        assert keep_for >= request["key_window"] - (self.now - request["arrived"]) - 1e-6
        request["key_expires"] = self.now + keep_for

    def forget(self, index):
        assert not self.requests[index]["ran"]
        self.requests[index]["key_expires"] = 0.0

    def release(self, index):
        request = self.requests.pop(index)
        assert request["state"] in ("done", "ended") and request.get("key_expires", 0.0) <= self.now

    def memory(self):
        total = 0.0
        for request in self.requests.values():
            busy = request["state"] in ("running", "waiting for call", "calling")
            total += request["size"] * (
                RUNNING_MULTIPLE if busy else request["state"] in ("queued", "sharing")
            )
            total += KEY_BYTES * (request.get("key_expires", 0.0) > self.now)
        return total


def bulkheads_for(seed):
    settings = [
        BulkheadSettings(
            name,
            share,
            share,
            share,
            reserve=seed % 3 if name == "a" else 0,
            lends=seed % 2 == 0,
            call_budget_ms=300.0 if name == "a" else math.inf,
        )
        for name, share in (("a", 0.2), ("b", 0.3), ("c", 0.5))
    ]
    return BulkheadSet(Recorder(), settings, [0, 1, 2], derive=seed % 4 == 3)


def simulate(seed, drain, constrained=False, divided=False):
    rng = random.Random(seed)
    classes = [
        request_class(late_fraction=0.2, skip_fraction=0.3),
        request_class(priority_weight=3.0, effect=Effect.IDEMPOTENT_BY_KEY),
        request_class(
            priority_weight=2.0, effect=Effect.NON_IDEMPOTENT, latency_objective_ms=900.0, timeout_ms=2200.0
        ),
    ]
    model, clients = RequestModel(), 2000 if constrained else 3
    model.call_share = (
        1 if constrained else 4
    )  # constrained: the share is below one call, and clients give deadlines
    controller = new_controller(
        model,
        classes=classes,
        cores=1 if constrained else CORES,
        cold=seed % 2 == 0,
        memory=MEMORY_BYTES,
        clients=clients,
        share=0.02 if constrained else 4.0,
        signal=LoadSignal.UTILIZATION,
        quotas=[0.01, 0.02],
        can_stop=seed % 3 == 0,
        bulkheads=bulkheads_for(seed) if divided else None,
    )
    operation, killed_at = 0, float("inf")
    for step in range(3500):
        model.now = now = step * 5.0
        alive = now < killed_at
        if not alive:
            break
        if now >= 9000.0 and drain and model.notice_at == float("inf"):
            model.notice_at, killed_at = now, now + 4000.0
            for request in model.requests.values():
                request["deadline"] = min(request["deadline"], killed_at)
            controller.start_draining(now, killed_at)
        for _ in range(rng.choice((0, 0, 0, 0, 1, 1, 4)) if now < 12000.0 else 0):
            class_index = rng.randrange(3)
            queued_for = rng.choice((0.0, 5.0, 40.0, 2500.0))
            operation += 1
            original = None
            repeatable = [
                each
                for each in model.requests.values()
                if each["effect"] == Effect.IDEMPOTENT_BY_KEY
                and each["state"] != "sharing"
                and each.get("key_expires", 0.0) > now - queued_for
                and (each["state"] == "queued" or each["ran"])
            ]
            if class_index == 1 and repeatable and rng.random() < 0.3:
                original = rng.choice(repeatable)
            index = next(n for n in range(len(model.requests) + 1) if n not in model.requests)
            size = rng.randint(5, 60)
            model.add_request(
                index,
                operation=original["operation"] if original else operation,
                arrived=now - queued_for,
                size=size,
                effect=classes[class_index].effect,
                key_window=13000.0 if class_index == 1 else 0.0,
                may_skip=class_index == 0,
                stuck=rng.random() < 0.04,
                deadline=min(max(now, now - queued_for + classes[class_index].timeout_ms), killed_at),
            )
            memory_before, request = model.memory(), model.requests[index]
            client_deadline = max(
                now, now - queued_for + rng.choice((0.5, 0.5, 0.52, 0.8)) * classes[class_index].timeout_ms
            )
            request["deadline"] = (
                min(request["deadline"], client_deadline) if constrained else request["deadline"]
            )
            send(
                controller,
                now,
                index,
                class_index,
                client=rng.randrange(clients),
                tenant=rng.randrange(-1, 2),
                size=size,
                is_retry=rng.random() < 0.2,
                queued_for=queued_for,
                deadline=client_deadline if constrained else None,
                original=original["index"] if original else None,
            )
            assert model.memory() <= max(MEMORY_BYTES, memory_before), "out of memory"
        for request in list(model.requests.values()):
            index, draw = request["index"], rng.random()
            if model.requests.get(index) is not request or request["stuck"] and not request["answered"]:
                continue
            if request["state"] == "running" and draw < 0.03:
                request["state"] = "ended"
                request["answered"] = request["answered"] or "finished"
                outcome = rng.choice(("completed", "completed", "errored"))
                controller.run_ended(now, index, outcome, rng.uniform(20, 900))
            elif request["state"] == "running" and draw < 0.04 and request["effect"] != Effect.NON_IDEMPOTENT:
                request["state"], request["calls_made"] = (
                    "waiting for call",
                    0,
                )  # a new call, which does not repeat the last one
                controller.run_blocked(now, index)
            elif request["state"] == "calling" and draw < 0.06:
                outcome = rng.choice(("completed", "completed", "errored", "saturated", "severed"))
                request["state"] = "running" if outcome == "completed" else "waiting for call"
                request["last_call_never_ran"] = outcome == "saturated"
                controller.call_ended(now, index, outcome, rng.uniform(20, 400))
            elif request["state"] in ("waiting for call", "calling") and request["answered"]:
                request["state"] = "ended"
                controller.run_ended(now, index, "recalled", 100.0)
            elif request["state"] == "sharing" and draw < 0.1:
                request["state"], request["answered"] = "ended", "finished"
                controller.run_ended(now, index, "completed", 30.0)
            elif request["answered"] is None and draw > 0.999:
                request["answered"] = "client gone"
                request["state"] = "ended" if request["state"] in ("queued", "sharing") else request["state"]
                controller.client_gave_up(now, index)
        late = [
            each
            for each in model.requests.values()
            if each["answered"] is None and now > each["deadline"] + ANSWER_SLACK_MS
        ]
        assert not late, "a request is not answered in time"
        for tick_at in sorted(each for each in model.timers if each <= now):
            model.timers.remove(tick_at)
            controller.on_tick(
                now, rng.random(), sum(each["state"] == "running" for each in model.requests.values())
            )
        on_cores = sum(request["state"] == "running" for request in model.requests.values())
        assert on_cores == controller.workload.running and on_cores <= CORES * 8.0
        unanswered = sum(request["size"] for request in model.requests.values() if not request["answered"])
        assert controller.workload.in_flight.unanswered_bytes == unanswered
    for request in model.all_requests:
        assert request["answered"], "a request was never answered"
    return model


@pytest.mark.parametrize(
    ("constrained", "divided"), [(False, False), (True, False), (False, True), (True, True)]
)
@pytest.mark.parametrize("seed", range(12))
def test_the_controller_agrees_with_the_plain_model_of_the_rules(seed, constrained, divided):
    model = simulate(seed, drain=seed % 4 == 1, constrained=constrained, divided=divided)
    answers = {request["answered"] for request in model.all_requests}
    assert {"finished", "rejected", "failed"} <= answers  # the simulation reached all kinds of answers
