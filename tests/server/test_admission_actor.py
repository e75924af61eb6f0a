"""The admission actor on generated days with links that break, against a plain model of what is allowed."""

import base64
import json
import random
import types

import pytest
from helpers import SETTINGS, Recorder

from vetchford.protocol import platform_settings
from vetchford.protocol.messages import IncomingRequest
from vetchford.runtime import timers
from vetchford.runtime.metrics import Metrics
from vetchford.server.admission_actor import AdmissionActor
from vetchford.server.worker_pool import WorkerPoolClient

WINDOW, LIMIT, SLACK = 13_000.0, 4_400.0, 100.0
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
]
INFO = {**SETTINGS["familyInfo"], "depShare": 3.0, "cores": 3, "classSkipWorth": [0.3, 0.0]}


class Day:
    """Worker pool, records service and clients in plain tables; every command is checked as it arrives."""

    def __init__(self, seed, monkeypatch):
        self.chance, self.now = random.Random(seed), 1_764_576_000_000.0
        monkeypatch.setattr(timers, "time", types.SimpleNamespace(time=lambda: self.now / 1000.0))
        settings = platform_settings.decode({**SETTINGS, "requestClasses": CLASSES, "familyInfo": INFO})
        self.actor = AdmissionActor(seed, settings, Metrics())
        self.pool = WorkerPoolClient(("", 0), self.actor, Metrics())
        self.pool.run_or_post = self.sent
        self.actor.attach(self.pool, self, Recorder(), self, lambda: None)
        self.requests, self.runs, self.notices = {}, {}, []
        self.to_pool, self.to_server, self.calls = [], [], {}
        self.up, self.ready, self.connections = False, False, ()
        self.results = {}  # by fingerprint: when its run came, and its result once it has one

    # -- the peers that the actor acts on

    def sent(self, _, link, parts):
        if self.up and link == self.pool.link:
            self.to_pool += [json.loads(line) for line in b"".join(parts).splitlines()]

    def post(self, method, *arguments):
        method(*arguments)

    def start_call(self, name, number, until, body, once):
        run = self.runs[name]
        assert run["state"] == "blocked" and body == run["ask"], "a call that no run waits for"
        assert run["asked"] not in run["called"], "a call made again that may have run"
        self.calls[number] = name

    def cancel_call(self, name, number):
        if self.calls.pop(number, None):
            self.runs[name]["called"].add(self.runs[name]["asked"])

    def close_idle(self, keep_for):
        pass

    def answer(self, rpc_id, parts):
        request = self.requests[rpc_id]
        message = json.loads(b"".join(parts).split(b"\r\n\r\n")[1])
        assert "answer" not in request, "a second answer"
        request["answer"] = message
        if "result" in message:
            content = base64.b64decode(message["result"]["content"]).decode()
            assert content in (request["name"], self.results.get(request["key"], (0, None))[1])
        elif message["error"]["code"] == -32050:
            assert request["name"] not in self.runs, "rejected, and it ran"

    # -- what happens

    def arrive(self, arrived_at, key, kind):
        rpc_id = len(self.requests) + 1
        name = f"{rpc_id:016x}"
        self.requests[rpc_id] = {
            "name": name,
            "key": key,
            "arrived_at": arrived_at,
            "body": f"body {key or name}",
        }
        self.do(
            self.actor.request_arrived,
            self,
            IncomingRequest(
                rpc_id=rpc_id,
                request_id=name,
                request_class=kind,
                method=CLASSES[kind]["name"],
                tenant=0,
                client_number=rpc_id % 3,
                arrived_at_unix_ms=arrived_at,
                client_timeout_ms=LIMIT,
                work_ms=50.0,
                memory_kb=20.0,
                idempotency_key=key,
                content=base64.b64encode(f"body {key or name}".encode()).decode(),
            ),
        )

    def do(self, method, *arguments):
        self.actor.run_guarded(method, *arguments)
        while not self.actor.mailbox.empty():
            method, arguments = self.actor.mailbox.get()
            self.actor.run_guarded(method, *arguments)

    def notice(self, kind, name, **fields):
        self.notices.append({"type": kind, "n": len(self.notices) + 1, "job": name, **fields})
        self.to_server.append(self.notices[-1])

    def command(self, message):
        kind, name = message["type"], message.get("job")
        request = self.requests[int(name, 16)] if name else None
        if kind == "poll":
            self.to_server.append({"type": "polled", "ref": message["ref"], "gauges": [0.9, 2]})
        elif kind == "spawn" and name not in self.runs:
            assert base64.b64decode(message["data"]).decode() == request["body"]
            if request["key"]:
                before = self.results.get(request["key"])
                assert before is None or request["arrived_at"] > before[0] + WINDOW, "an effect twice"
                self.results[request["key"]] = (request["arrived_at"], None)
            self.runs[name] = {"state": "running", "called": set(), "asked": 0, "ask": b""}
        elif kind == "spawn":
            assert self.runs[name]["state"] != "over", "a finished run spawned anew"
        elif kind == "supply":
            run = self.runs[name]
            if run["state"] == "blocked":
                assert base64.b64decode(message["data"]) == b"reply to " + run["ask"], "another call's reply"
                run["state"] = "running"
        elif kind == "pass" and self.runs[name]["asked"] == message["n"]:
            self.runs[name]["state"] = "running"

    def step(self):
        chance = self.chance
        self.now += chance.choice((0.2, 1.0, 10.0, 10.0, 40.0))
        self.actor.on_idle()
        if self.up:
            for _ in range(chance.randrange(len(self.to_pool) + 1)):
                self.command(self.to_pool.pop(0))
            # The replay's end, and what is sent again upon it, cross in under a ms: no run ends meanwhile.
            ends = not self.actor.state.commands.ready and any(
                message["type"] == "polled" for message in self.to_server
            )
            for _ in range(len(self.to_server) if ends else chance.randrange(len(self.to_server) + 1)):
                message = self.to_server.pop(0)
                self.pool.handle_message(message["type"], message)
                self.do(lambda: None)
            while ends and self.to_pool:
                self.command(self.to_pool.pop(0))
            if chance.random() < 0.01:
                self.up, self.to_pool, self.to_server = False, [], []
                self.do(self.actor.worker_pool_lost)
        elif chance.random() < 0.2:
            self.up, self.pool.link = True, self.pool.link + 1
            self.to_server = [
                {"type": "bound", "state": "hot", "took": 99.0},
                *self.notices[self.pool.last_notice :],
            ]
        for name, run in self.runs.items():
            request = self.requests[int(name, 16)]
            if run["state"] == "running" and chance.random() < 0.05:
                run["state"] = "over"
                state = chance.choice(("complete", "complete", "complete", "error"))
                if state == "complete" and request["key"]:
                    self.results[request["key"]] = (request["arrived_at"], name)
                self.notice(
                    "finished", name, state=state, took=50, data=base64.b64encode(name.encode()).decode()
                )
            elif run["state"] == "running" and chance.random() < 0.05:
                run["state"], run["asked"] = "blocked", len(self.notices) + 1
                run["ask"] = f"call {run['asked']} of {name}".encode()
                self.notice("blocked", name, data=base64.b64encode(run["ask"]).decode())
            elif run["state"] == "blocked" and "answer" in request and chance.random() < 0.1:
                run["state"] = "over"
                self.notice("finished", name, state="cancelled", took=50)
        for number, name in list(self.calls.items()):
            if chance.random() < 0.08:
                del self.calls[number]
                run, code = self.runs[name], chance.choice(("completed", "completed", "saturated", "errored"))
                if code != "saturated":
                    run["called"].add(run["asked"])
                self.do(self.actor.call_ended, number, code, b"reply to " + run["ask"])
        for request in self.requests.values():
            assert "answer" in request or self.now <= request["arrived_at"] + LIMIT + SLACK, (
                "no answer in time"
            )


@pytest.mark.parametrize("seed", range(12))
def test_the_actor_matches_a_reference_model_over_broken_links(seed, monkeypatch):
    day = Day(seed, monkeypatch)
    while day.actor.controller is None:
        day.step()
    for _ in range(2500):
        day.step()
        for _ in range(day.chance.choice((0, 0, 0, 0, 0, 0, 1, 1, 4))):
            kind = day.chance.randrange(2)
            key = f"key {day.chance.randrange(150)}" if kind else None
            day.arrive(day.now - day.chance.choice((0.0, 3.0, 300.0)), key, kind)
    for _ in range(600):
        day.step()
    answers = [request["answer"] for request in day.requests.values()]
    codes = {answer["error"]["code"] if "error" in answer else 0 for answer in answers}
    assert codes == {0, -32050, -32051}
    # Links broke at the wrong time, and results were shared.
    assert day.actor.metrics.by_name["commands_sent_again"] and len(answers) - len(day.runs) > 20
    assert all("must_hold" not in name and "broke" not in name for name in day.actor.metrics.by_name)
    assert not day.actor.state.calls.by_number and not day.actor.state.idempotency_cache.followers
