"""The admission actor under random events and broken links, checked against a reference model."""

import base64
import json
import random
import types

import pytest
from helpers import SETTINGS, Recorder

from vetchford.admission.request import RequestState
from vetchford.protocol import platform_settings
from vetchford.protocol.messages import IncomingRequest
from vetchford.runtime import timers
from vetchford.runtime.metrics import Metrics
from vetchford.server.admission_actor import AdmissionActor
from vetchford.server.worker_pool import WorkerPoolClient

KEY_WINDOW_MS, TIMEOUT_MS, ANSWER_SLACK_MS = 13_000.0, 4_400.0, 100.0
CLASSES = [
    {
        "name": "read",
        "worth": 1.0,
        "promise": 1_800_000_000,
        "deadline": 4_400_000_000,
        "effect": "read_like",
    },
    {
        "name": "pay",
        "worth": 3.0,
        "promise": 1_800_000_000,
        "deadline": 4_400_000_000,
        "effect": "idempotency_key",
        "window": 13_000_000_000,
    },
    {
        "name": "order",
        "worth": 2.0,
        "promise": 1_800_000_000,
        "deadline": 4_400_000_000,
        "effect": "non_idempotent",
    },
]
READ, PAY, ORDER = range(3)
INFO = {**SETTINGS["familyInfo"], "depShare": 3.0, "cores": 3, "classSkipWorth": [0.3, 0.0, 0.0]}


class ReferenceModel:
    """Simulates worker pool, records service and clients; checks every command and answer on arrival."""

    def __init__(self, seed, monkeypatch):
        self.rng, self.now_ms = random.Random(seed), 1_764_576_000_000.0
        monkeypatch.setattr(timers, "time", types.SimpleNamespace(time=lambda: self.now_ms / 1000.0))
        settings = platform_settings.decode({**SETTINGS, "requestClasses": CLASSES, "familyInfo": INFO})
        self.actor = AdmissionActor(seed, settings, Metrics())
        self.pool = WorkerPoolClient(("", 0), self.actor, Metrics())
        self.pool.run_or_post = self.command_sent
        self.actor.attach(self.pool, self, Recorder(), self, lambda: None)
        self.requests, self.runs, self.notices = {}, {}, []
        self.to_pool, self.to_server, self.calls = [], [], {}
        self.link_up, self.ready, self.connections = False, False, ()
        self.results = {}  # by idempotency key: arrival of the request that ran, and its result once it ended

    # -- called by the actor, in place of the worker pool client, records client, listener and connection

    def command_sent(self, _, link, parts, command=None):
        if self.link_up and link == self.pool.link:
            if command is not None:
                command.written = True
            self.to_pool += [json.loads(line) for line in b"".join(parts).splitlines()]

    def post(self, method, *arguments):
        method(*arguments)

    def start_call(self, name, number, deadline_unix_ms, body, not_repeatable):
        run = self.runs[name]
        assert run["state"] == "blocked" and body == run["ask"], "a call that no run waits for"
        assert run["asked"] not in run["called"], "a call was repeated although it may have run"
        self.calls[number] = name

    def cancel_call(self, name, number):
        if self.calls.pop(number, None):
            self.runs[name]["called"].add(self.runs[name]["asked"])

    def close_idle(self, idle_timeout_ms):
        pass

    def is_gone(self):
        return False

    def answer(self, rpc_id, parts):
        request = self.requests[rpc_id]
        message = json.loads(b"".join(parts).split(b"\r\n\r\n")[1])
        assert "answer" not in request, "a request was answered twice"
        request["answer"] = message
        if "result" in message:
            content = base64.b64decode(message["result"]["content"]).decode()
            assert content in (request["name"], self.results.get(request["key"], (0, None))[1])
        elif message["error"]["code"] == -32050:
            assert request["name"] not in self.runs, "a request was rejected although it ran"

    # -- events

    def send_request(self, arrived_at_ms, key, class_index):
        rpc_id = len(self.requests) + 1
        name = f"{rpc_id:016x}"
        self.requests[rpc_id] = {
            "name": name,
            "key": key,
            "arrived_at": arrived_at_ms,
            "body": f"body {key or name}",
            "class": class_index,
        }
        self.run_event(
            self.actor.request_arrived,
            self,
            IncomingRequest(
                rpc_id=rpc_id,
                request_id=name,
                request_class=class_index,
                method=CLASSES[class_index]["name"],
                tenant=0,
                client_number=rpc_id % 3,
                arrived_at_unix_ms=arrived_at_ms,
                unread_since_unix_ms=0.0,
                client_timeout_ms=TIMEOUT_MS,
                work_ms=50.0,
                memory_kb=20.0,
                idempotency_key=key,
                content=base64.b64encode(f"body {key or name}".encode()).decode(),
            ),
        )

    def run_event(self, method, *arguments):
        self.actor.run_guarded(method, *arguments)
        while not self.actor.mailbox.empty():
            method, arguments = self.actor.mailbox.get()
            self.actor.run_guarded(method, *arguments)

    def add_notice(self, notice_type, name, **fields):
        self.notices.append({"type": notice_type, "n": len(self.notices) + 1, "job": name, **fields})
        self.to_server.append(self.notices[-1])

    def execute_command(self, message):
        command_type, name = message["type"], message.get("job")
        request = self.requests[int(name, 16)] if name else None
        if command_type == "poll":
            self.to_server.append({"type": "polled", "ref": message["ref"], "gauges": [0.9, 2]})
        elif command_type == "spawn":
            assert base64.b64decode(message["data"]).decode() == request["body"]
            if request["class"] != READ:
                assert name not in self.runs, "a run with effects was started again"
            if request["key"]:
                previous = self.results.get(request["key"])
                assert previous is None or request["arrived_at"] > previous[0] + KEY_WINDOW_MS, (
                    "two runs with one idempotency key"
                )
                self.results[request["key"]] = (request["arrived_at"], None)
            # `ask` is the body of the run's last call and `asked` the number of its notice. `called` holds
            # the notice numbers of calls that may have run. A run that has ended may be started again.
            if name not in self.runs or self.runs[name]["state"] == "over":
                self.runs[name] = {"state": "running", "called": set(), "asked": 0, "ask": b""}
        elif command_type == "supply":
            run = self.runs[name]
            if run["state"] == "blocked":
                assert base64.b64decode(message["data"]) == b"reply to " + run["ask"], (
                    "a run got the reply to another call"
                )
                run["state"] = "running"
        elif command_type == "pass" and self.runs[name]["asked"] == message["n"]:
            self.runs[name]["state"] = "running"

    def step(self):
        rng = self.rng
        self.now_ms += rng.choice((0.2, 1.0, 10.0, 10.0, 40.0))
        self.actor.on_idle()
        if self.link_up:
            for _ in range(rng.randrange(len(self.to_pool) + 1)):
                self.execute_command(self.to_pool.pop(0))
            for _ in range(rng.randrange(len(self.to_server) + 1)):
                message = self.to_server.pop(0)
                self.pool.handle_message(message["type"], message)
                self.run_event(lambda: None)
            if rng.random() < 0.08:
                self.link_up, self.to_pool, self.to_server = False, [], []
                self.run_event(self.actor.worker_pool_lost)
        elif rng.random() < 0.2:
            self.link_up, self.pool.link = True, self.pool.link + 1
            self.to_server = [
                {"type": "bound", "state": "hot", "took": 99.0},
                *self.notices[self.pool.last_notice :],
            ]
        for name, run in self.runs.items():
            request = self.requests[int(name, 16)]
            if run["state"] == "running" and rng.random() < 0.05:
                run["state"] = "over"
                state = rng.choice(("complete", "complete", "complete", "error"))
                if state == "complete" and request["key"]:
                    self.results[request["key"]] = (request["arrived_at"], name)
                self.add_notice(
                    "finished", name, state=state, took=50, data=base64.b64encode(name.encode()).decode()
                )
            elif run["state"] == "running" and rng.random() < 0.05:
                run["state"], run["asked"] = "blocked", len(self.notices) + 1
                run["ask"] = f"call {run['asked']} of {name}".encode()
                self.add_notice("blocked", name, data=base64.b64encode(run["ask"]).decode())
            elif run["state"] == "blocked" and "answer" in request and rng.random() < 0.1:
                run["state"] = "over"
                self.add_notice("finished", name, state="cancelled", took=50)
        for number, name in list(self.calls.items()):
            if rng.random() < 0.08:
                del self.calls[number]
                run, outcome = self.runs[name], rng.choice(("completed", "completed", "saturated", "errored"))
                if outcome != "saturated":
                    run["called"].add(run["asked"])
                self.run_event(self.actor.call_ended, number, outcome, b"reply to " + run["ask"])
        for request in self.requests.values():
            assert (
                "answer" in request or self.now_ms <= request["arrived_at"] + TIMEOUT_MS + ANSWER_SLACK_MS
            ), "a request was not answered in time"


@pytest.mark.parametrize("seed", range(12))
def test_the_actor_matches_a_reference_model_over_broken_links(seed, monkeypatch):
    model = ReferenceModel(seed, monkeypatch)
    while model.actor.controller is None:
        model.step()
    for _ in range(2500):
        model.step()
        for _ in range(model.rng.choice((0, 0, 0, 0, 0, 0, 1, 1, 4))):
            class_index = model.rng.choice((READ, READ, READ, PAY, PAY, ORDER))
            key = f"key {model.rng.randrange(150)}" if class_index == PAY else None
            model.send_request(model.now_ms - model.rng.choice((0.0, 3.0, 300.0)), key, class_index)
    for _ in range(600):
        model.step()
    answers = [request["answer"] for request in model.requests.values()]
    codes = {answer["error"]["code"] if "error" in answer else 0 for answer in answers}
    assert codes == {0, -32050, -32051}
    # The random events did break links before commands were confirmed, and did cause results to be shared.
    counters = model.actor.metrics.by_name
    assert counters["commands_sent_again"] + counters["commands_unconfirmed"] > 0
    assert len(answers) - len(model.runs) > 20
    assert all("must_hold" not in name and "broke" not in name for name in counters)
    assert not model.actor.state.calls.by_number and not model.actor.state.idempotency_cache.followers
    # Also where the start of a run was lost, its slot and memory were freed.
    workload = model.actor.controller.workload
    assert workload.running == 0 and counters["runs_abandoned"]
    assert all(request.state == RequestState.DONE for request in workload.requests.values())
    assert not model.actor.controller.unconfirmed_commands.give_ups
