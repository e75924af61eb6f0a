"""A worker pool whose runs share its cores, of which another program takes a scheduled part.

The body of a request gives its work as `KEY WORK CALLS`: an idempotency key, ms on a core, and the number of
dependency calls, which are made halfway.
"""

import base64
import contextlib
import json
import socket
import threading
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any

from testkit.fakes.processor_sharing import ProcessorSharing
from testkit.fakes.schedule import CONSTANT_ZERO, StepSchedule

MAX_KEPT_NOTICES = 4000
"""Notices that a server may ask for on a new link, by the protocol."""
STARTED_MS_AGO = 60_000
CALL_POINT = 0.5
"""Fraction of its work that a run has done when it makes its calls."""


@dataclass(slots=True)
class Run:
    """A run: its remaining calls, its work, and the work between two calls."""

    key: str
    calls_left: int
    work_ms: float
    work_between_calls_ms: float


class FakeWorkerPool:
    """A worker pool that follows the protocol for links, commands and notice numbers."""

    def __init__(self, cores: float, neighbour: StepSchedule) -> None:
        """Start listening on a loopback port; another program takes the fraction `neighbour` of the cores."""
        self.cores = cores
        self.neighbour = neighbour
        self.capacity = ProcessorSharing(self._rate, neighbour.seconds_to_next_step, self._end_work_section)
        self.lock = threading.Lock()
        self.runs: dict[str, Run] = {}
        self.ran: dict[str, int] = {}
        """Number of runs by the key in the body of the request."""
        self.work_ms = 0.0
        self.last_number = 0
        self.sock: socket.socket | None = None
        self.notices: deque[dict[str, Any]] = deque(maxlen=MAX_KEPT_NOTICES)
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    def _free_cores(self, elapsed_s: float) -> float:
        return self.cores * (1.0 - self.neighbour.value_at(elapsed_s))

    def _rate(self, count: int, elapsed_s: float) -> float:
        return min(1.0, self._free_cores(elapsed_s) / max(1, count))

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.sock = sock
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._read, args=(sock.makefile("rb"),), daemon=True).start()

    def _read(self, lines: Iterable[bytes]) -> None:
        for line in lines:
            message = json.loads(line)
            kind = message["type"]
            if kind == "bind":
                self._bind(message["n"])
            elif kind == "poll":
                self._poll(message["ref"])
            elif kind == "spawn":
                self._spawn(message["job"], base64.b64decode(message["data"]))
            elif kind in ("supply", "pass"):
                self.capacity.add(message["job"], self.runs[message["job"]].work_between_calls_ms)

    def _bind(self, last_read_number: int) -> None:
        """Answer `bind` on a new link and send the notices after `last_read_number`.

        A server that has read no notice although some were sent has restarted: notice numbers start again
        from 1, and the runs of the previous server end. If the numbers continued, the new server would wait
        for notices that it can never get, and send its commands again. A server whose link breaks before it
        has read its first notice would also be taken for a restarted one; tests break no link to this pool.
        """
        with self.lock:
            if last_read_number == 0 and self.last_number:
                self._forget_runs()
            self._send({"type": "bound", "state": "hot", "took": STARTED_MS_AGO})
            for notice in self.notices:
                if notice["n"] > last_read_number:
                    self._send(notice)

    def _forget_runs(self) -> None:
        self.last_number = 0
        self.notices.clear()
        for job in list(self.runs):
            del self.runs[job]
            self.capacity.drop(job)

    def _poll(self, reference: str) -> None:
        count = self.capacity.running_count()
        utilization = min(1.0, count / self._free_cores(self.capacity.elapsed_s()))
        with self.lock:
            self._send({"type": "polled", "ref": reference, "gauges": [utilization, count]})

    def _spawn(self, job: str, body: bytes) -> None:
        if job in self.runs:
            return  # the protocol requires that a repeated command has no effect
        key, work, calls = body.decode().split()[:3]
        work_ms = float(work)
        first_part_ms = CALL_POINT * work_ms if int(calls) else work_ms
        self.ran[key] = self.ran.get(key, 0) + 1
        self.work_ms += work_ms
        self.runs[job] = Run(key, int(calls), work_ms, first_part_ms)
        self.capacity.add(job, first_part_ms)

    def _end_work_section(self, job: str) -> None:
        """Make the next call of a run, or end the run."""
        run = self.runs.get(job)
        if run is None:
            return  # the run ended with its server while its work was finishing
        if run.calls_left:
            run.calls_left -= 1
            self._notify("blocked", job, data=base64.b64encode(run.key.encode()).decode())
            return
        self.runs.pop(job, None)
        result = base64.b64encode(b"done " + run.key.encode()).decode()
        self._notify("finished", job, state="complete", took=run.work_ms, data=result)

    def _notify(self, kind: str, job: str, **fields: Any) -> None:
        with self.lock:
            self.last_number += 1
            notice = {"type": kind, "n": self.last_number, "job": job, **fields}
            self.notices.append(notice)
            self._send(notice)

    def _send(self, message: dict[str, Any]) -> None:
        """Send a message; the caller holds the lock.

        A notice that a broken link loses is sent again on the next link.
        """
        if self.sock is None:
            return
        with contextlib.suppress(OSError):
            self.sock.sendall(json.dumps(message).encode() + b"\n")


def serve_many(pipe: "Connection[Any, Any]", count: int, cores: float) -> None:
    """Run several worker pools as one `FakeProcess`, which returns their runs added up."""
    pools = [FakeWorkerPool(cores, CONSTANT_ZERO) for _ in range(count)]
    pipe.send([pool.listener.getsockname()[1] for pool in pools])
    while pipe.recv() is not None:
        pass
    ran: dict[str, int] = {}
    for pool in pools:
        for key, times in pool.ran.items():
            ran[key] = ran.get(key, 0) + times
    pipe.send({"ran": ran})


def serve(pipe: "Connection[Any, Any]", cores: float, neighbour: Sequence[tuple[float, float]]) -> None:
    """Run a worker pool as a `FakeProcess`, which returns the counts of the pool."""
    pool = FakeWorkerPool(cores, StepSchedule(neighbour))
    pipe.send(pool.listener.getsockname()[1])
    while (started_at_s := pipe.recv()) is not None:
        pool.capacity.started_at_s = started_at_s
    pipe.send({"ran": pool.ran, "work": pool.work_ms, "left": len(pool.runs)})
