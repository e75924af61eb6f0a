"""A worker pool that ends runs by itself, and a well-behaved client that sends requests at a steady rate.

They show what other clients do to the answers of a well-behaved one.
"""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from testkit.fakes.peers import MS_PER_S, ScriptedClient, ScriptedWorkerPool

RUN_MS = 20.0
ANSWER_WAIT_S = 1.0
"""For the answers to the last requests."""
KNOWN_PREFIX = "5e"
"""The ids of a well-behaved client's requests begin with it; a pool may know no others."""


class AnsweringWorkerPool(ScriptedWorkerPool):
    """A worker pool whose runs end after `run_ms`, as the cores are always free.

    A run that the pool does not know is reported as unknown, as the pool of the protocol does for the id of a
    request that did not come through a load balancer.
    """

    def __init__(self, run_ms: float = RUN_MS, knows: Callable[[str], bool] | None = None) -> None:
        """Start listening; without `knows` the pool knows all requests."""
        self.run_ms = run_ms
        self.knows = knows or (lambda job: True)
        self.started: dict[str, int] = {}
        """Number of starts by request id."""
        self.notice_lock = threading.Lock()
        super().__init__()

    def send(self, message: dict[str, Any] | None, raw: bytes | None = None) -> None:
        """Send a message, or bytes, from any thread."""
        with self.notice_lock:
            super().send(message, raw)

    def on_message(self, message: dict[str, Any]) -> None:
        """Start a run, which ends by itself."""
        if message["type"] != "spawn":
            return
        job = message["job"]
        if not self.knows(job):
            self.send({"type": "unknown", "state": "spawn", "job": job})
            return
        self.started[job] = self.started.get(job, 0) + 1
        timer = threading.Timer(self.run_ms / MS_PER_S, self._end, (job,))
        timer.daemon = True
        timer.start()

    def _end(self, job: str) -> None:
        with self.notice_lock:
            self.last_number += 1
            notice = {"type": "finished", "n": self.last_number, "job": job, "state": "complete"}
            self.notices.append({**notice, "took": self.run_ms, "data": "ZG9uZQ=="})
            super().send(self.notices[-1])


@dataclass(slots=True)
class Attempt:
    """One request: when it was sent (monotonic), and its answer, if any."""

    sent_at_s: float
    answered_at_s: float | None = None
    served: bool = False


class SteadyClient:
    """Sends requests at a fixed rate on one connection and records their answers."""

    def __init__(self, port: int, rate_per_s: float = 20.0, **fields: Any) -> None:
        """Connect; `fields` replace those of each request, None leaves a field out."""
        self.client = ScriptedClient(port)
        self.rate_per_s = rate_per_s
        self.fields = fields
        self.attempts: dict[int, Attempt] = {}
        self.answered = threading.Condition()
        threading.Thread(target=self._read, daemon=True).start()

    def send_for(self, seconds: float) -> list[Attempt]:
        """Send requests for this time, wait for up to a second for their answers, and return them."""
        first_id = len(self.attempts) + 1
        started_at_s = time.monotonic()
        count = round(seconds * self.rate_per_s)
        for number in range(count):
            time.sleep(max(0.0, started_at_s + number / self.rate_per_s - time.monotonic()))
            rpc_id = first_id + number
            self.attempts[rpc_id] = Attempt(time.monotonic())
            self.client.request(rpc_id, txn=f"{KNOWN_PREFIX}{rpc_id:014x}", **self.fields)
        sent = [self.attempts[first_id + number] for number in range(count)]
        with self.answered:
            self.answered.wait_for(lambda: all(each.answered_at_s for each in sent), ANSWER_WAIT_S)
        return sent

    def _read(self) -> None:
        while (message := self.client.receive()) is not None:
            attempt = self.attempts.get(message.get("id"))
            if attempt is None:
                continue
            with self.answered:
                attempt.answered_at_s = time.monotonic()
                attempt.served = "result" in message
                self.answered.notify()


def share_served(attempts: list[Attempt]) -> float:
    """Return the share of the attempts that were served."""
    return sum(attempt.served for attempt in attempts) / max(1, len(attempts))


def slowest_answer_s(attempts: list[Attempt]) -> float:
    """Return the longest time to an answer; infinite if one is missing."""
    return max((each.answered_at_s or float("inf")) - each.sent_at_s for each in attempts)
