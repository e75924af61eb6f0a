"""A worker pool whose runs share its cores, with a neighbour that takes a part of them by script.

A task's body tells what it takes: `KEY WORK CALLS`, ms on a core and calls below, which come half way.
"""

import base64
import contextlib
import json
import socket
import threading
from collections import deque
from typing import Any

from testkit.fakes.schedule import Script
from testkit.fakes.shared_capacity import Shared

KEPT_NOTICES = 4000  # by the protocol: the last that a new link may ask for


class FakeWorkerPool:
    def __init__(self, cores: float, taken: Script) -> None:
        """`taken`: the neighbour's part of the cores."""
        self.cores, self.taken = cores, taken
        self.shared = Shared(self.rate, taken.until_next, self.reached)
        self.lock = threading.Lock()
        self.runs: dict[str, dict[str, Any]] = {}  # emptied as runs end
        self.ran: dict[str, int] = {}  # runs by the key of the body
        self.number, self.work, self.sock = 0, 0.0, None
        self.notices: deque[dict[str, Any]] = deque(maxlen=KEPT_NOTICES)
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.accept, daemon=True).start()

    def rate(self, count: int, seconds: float) -> float:
        return min(1.0, self.cores * (1.0 - self.taken.at(seconds)) / max(1, count))

    def accept(self) -> None:
        while True:
            self.sock, _ = self.listener.accept()
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.read, args=(self.sock.makefile("rb"),), daemon=True).start()

    def read(self, lines: Any) -> None:
        for line in lines:
            message = json.loads(line)
            kind = message["type"]
            if kind == "bind":
                self.bind(message["n"])
            elif kind == "poll":
                count = self.shared.inside()
                left = self.cores * (1.0 - self.taken.at(self.shared.at - self.shared.began))
                self.say({"type": "polled", "ref": message["ref"], "gauges": [min(1.0, count / left), count]})
            elif kind == "spawn":
                self.spawn(message["job"], base64.b64decode(message["data"]))
            elif kind in ("supply", "pass"):
                run = self.runs[message["job"]]
                self.shared.add(message["job"], run["half"])

    def bind(self, last_read: int) -> None:
        """Answers a new link with the notices after `last_read`.

        One that has read none although some were told is a server that started anew: its notices are numbered
        from 1, and the runs of the server before it are over. Numbers that went on would make the new server
        miss notices that it can never get, and send its commands again. (A server whose link breaks before it
        has read its first notice would be taken for a new one; no link to a pool is broken here.)
        """
        with self.lock:
            if last_read == 0 and self.number:
                self.number = 0
                self.notices.clear()
                for job in list(self.runs):
                    del self.runs[job]
                    self.shared.drop(job)
            self.send({"type": "bound", "state": "hot", "took": 60_000})
            for notice in self.notices:
                if notice["n"] > last_read:
                    self.send(notice)

    def spawn(self, job: str, body: bytes) -> None:
        if job in self.runs:
            return  # by the protocol nothing happens
        key, work, calls = body.decode().split()[:3]
        self.ran[key] = self.ran.get(key, 0) + 1
        self.work += float(work)
        half = 0.5 * float(work) if int(calls) else float(work)
        self.runs[job] = {"key": key, "calls": int(calls), "half": half, "work": float(work)}
        self.shared.add(job, half)

    def reached(self, job: str) -> None:
        run = self.runs.get(job)
        if run is None:
            return  # ended with its server just as it was done
        if run["calls"]:
            run["calls"] -= 1
            self.notice("blocked", job, data=base64.b64encode(run["key"].encode()).decode())
            return
        self.runs.pop(job, None)
        made = base64.b64encode(b"done " + run["key"].encode()).decode()
        self.notice("finished", job, state="complete", took=run["work"], data=made)

    def notice(self, kind: str, job: str, **fields: Any) -> None:
        with self.lock:
            self.number += 1
            self.notices.append({"type": kind, "n": self.number, "job": job, **fields})
            self.send(self.notices[-1])

    def say(self, message: dict[str, Any]) -> None:
        with self.lock:
            self.send(message)

    def send(self, message: dict[str, Any]) -> None:
        """Under the lock. What a broken link takes with it is told on the next one."""
        with contextlib.suppress(OSError):
            self.sock.sendall(json.dumps(message).encode() + b"\n")


def serve_many(pipe: Any, count: int, cores: float) -> None:
    """As `serve`, of several pools: sends their ports, and what they counted together."""
    pools = [FakeWorkerPool(cores, Script([(0.0, 0.0)])) for _ in range(count)]
    pipe.send([pool.listener.getsockname()[1] for pool in pools])
    while pipe.recv() is not None:
        pass
    ran: dict[str, int] = {}
    for pool in pools:
        for key, times in pool.ran.items():
            ran[key] = ran.get(key, 0) + times
    pipe.send({"ran": ran})


def serve(pipe: Any, cores: float, taken: list[tuple[float, float]]) -> None:
    workers = FakeWorkerPool(cores, Script(taken))
    pipe.send(workers.listener.getsockname()[1])
    while (told := pipe.recv()) is not None:
        workers.shared.began = told
    pipe.send({"ran": workers.ran, "work": workers.work, "left": len(workers.runs)})
