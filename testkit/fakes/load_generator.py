"""Open-loop load: tasks leave by their schedule, whatever became of others, and their time counts from it."""

import base64
import json
import random
import selectors
import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

MOST_OPEN = 32  # requests on a connection, by the protocol


@dataclass(frozen=True, slots=True)
class Flow:
    """One stage's traffic: tasks a second from `begin` to `end`, in seconds."""

    stage: str
    rate: float
    work: float  # ms on a core, mean
    calls: int = 0
    keyed: bool = False
    begin: float = 0.0
    end: float = 1e9


@dataclass(slots=True)
class Tally:
    tried: int = 0
    served: int = 0  # by the due time
    late: int = 0
    rejected: int = 0
    failed: int = 0
    unsent: int = 0
    told_later: int = 0  # of the rejected: heard when to come back
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))  # us, of the served
    served_at: list[float] = field(default_factory=list)  # seconds from the start, by answer
    tried_at: list[tuple[float, bool]] = field(
        default_factory=list
    )  # by schedule, and whether served in time


@dataclass(slots=True)
class Sent:
    flow: Flow
    at: float
    key: str
    repeat: bool


@dataclass(slots=True, eq=False)
class Line:
    number: int
    sock: socket.socket
    open: dict[int, Sent] = field(default_factory=dict)
    buffer: bytearray = field(default_factory=bytearray)
    going: bool = False  # takes nothing new


class Load:
    """Sends the flows from `connections` connections of as many balancers; `run` returns tallies by stage."""

    def __init__(
        self,
        port: int,
        flows: Sequence[Flow],
        seconds: float,
        due: float,
        limit: float,
        seed: int,
        connections: int = 24,
        repeats: float = 0.0,
    ) -> None:
        """`due` and `limit` in ms; `repeats`: the part of keyed tasks that come again 0.3 s later."""
        self.port, self.due, self.limit, self.seconds = port, due, limit, seconds
        self.cut: list[tuple[float, str]] = []  # when a connection ended, and the key of a task open on it
        self.crossed = 0  # tasks that crossed the close of an idle connection
        chance = random.Random(seed)
        self.plan: list[Sent] = []
        for flow in flows:
            at = flow.begin
            while (at := at + chance.expovariate(flow.rate)) < min(flow.end, seconds):
                key = f"{chance.getrandbits(128):032x}"
                self.plan.append(Sent(flow, at, key, False))
                if flow.keyed and chance.random() < repeats:
                    self.plan.append(Sent(flow, at + 0.3, key, True))
        self.plan.sort(key=lambda sent: sent.at)
        self.works = [max(1.0, chance.gauss(1.0, 0.15) * sent.flow.work) for sent in self.plan]
        self.by_key: dict[str, bytes] = {}
        self.most, self.lines, self.selector = connections, [], selectors.DefaultSelector()
        self.lock = threading.Lock()
        self.tallies = {flow.stage: Tally() for flow in flows}
        self.again = Tally()  # the repeats
        self.wrong: list[str] = []  # what breaks a rule
        self.done = False

    def run(self, begin: float) -> dict[str, Tally]:
        self.began = begin
        reader = threading.Thread(target=self.read)
        reader.start()
        for number, sent in enumerate(self.plan):
            wait = begin + sent.at - time.time()
            if wait > 0.0:
                time.sleep(wait)
            self.send(number + 1, sent)
        self.done = True
        reader.join()
        for line in self.lines:
            self.wrong += [f"no answer to a {sent.flow.stage}" for sent in line.open.values()]
            line.sock.close()
        return self.tallies

    def tally(self, sent: Sent) -> Tally:
        return self.again if sent.repeat else self.tallies[sent.flow.stage]

    def send(self, number: int, sent: Sent) -> None:
        tally = self.tally(sent)
        tally.tried += 1
        line = self.line()
        if line is None:
            tally.unsent += 1
            tally.tried_at.append((sent.at, False))
            return
        work = self.works[number - 1]
        content = self.by_key.setdefault(sent.key, f"{sent.key} {work:.3f} {sent.flow.calls}".encode())
        if not sent.flow.keyed:
            del self.by_key[sent.key]
        params: dict[str, Any] = {
            "txn": f"{number:016x}",
            "door": round(time.time() * 1000.0),
            "lb": line.number,
            "limit": int(self.limit),
            "cpu": round(work, 2),
            "ram": 24.0,
            "standing": 0.5,
            "content": base64.b64encode(content).decode(),
        }
        if sent.flow.keyed:
            params["unique"] = sent.key
        body = json.dumps(
            {"jsonrpc": "2.0", "id": number, "method": sent.flow.stage, "params": params}
        ).encode()
        with self.lock:
            line.open[number] = sent
        try:
            line.sock.sendall(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        except OSError:  # closed while it was idle: the task never arrived
            with self.lock:
                line.going = True
                arrived = line.open.pop(number, None) is None  # its end was seen already
            if not arrived:
                tally.tried -= 1
                self.send(number, sent)

    def line(self) -> "Line | None":
        """The connection with the least open, a new one where all have some; None where all are full."""
        with self.lock:
            usable = [line for line in self.lines if not line.going]
            line = min(usable, key=lambda line: len(line.open), default=None)
            if line is None or (len(line.open) >= 2 and len(usable) < self.most):
                used = {line.number for line in usable}
                number = next(n for n in range(1, self.most + 1) if n not in used)
                try:
                    line = Line(number, socket.create_connection(("127.0.0.1", self.port), 2.0))
                except OSError:
                    return None  # nobody there: the task never left
                self.lines.append(line)
                self.selector.register(line.sock, selectors.EVENT_READ, line)
            return line if len(line.open) < MOST_OPEN else None

    def read(self) -> None:
        until = self.began + self.seconds + self.limit / 1000.0 + 1.0
        while time.time() < until and not (self.done and not any(line.open for line in self.lines)):
            for key, _ in self.selector.select(0.05):
                line = key.data
                try:
                    data = line.sock.recv(65536)
                except OSError:
                    data = b""
                if not data:
                    self.selector.unregister(line.sock)
                    self.ended(line)
                    continue
                line.buffer += data
                self.take(line)

    def ended(self, line: "Line") -> None:
        """Its open tasks are lost, but for those that were sent just as an idle connection was closed."""
        now = time.time() - self.began
        with self.lock:
            line.going, left, line.open = True, list(line.open.values()), {}
        crossing = all(now - sent.at < 0.06 for sent in left)
        for sent in left:
            self.crossed += crossing
            if not crossing:
                self.cut.append((now, sent.key))

    def take(self, line: "Line") -> None:
        buffer = line.buffer
        while (head := buffer.find(b"\r\n\r\n")) >= 0:
            length = int(buffer[:head].split(b":")[1])
            if len(buffer) < head + 4 + length:
                return
            message = json.loads(buffer[head + 4 : head + 4 + length])
            del buffer[: head + 4 + length]
            if "id" in message:
                self.answered(line, message)
            else:
                line.going = True  # it said `closing`

    def answered(self, line: "Line", message: dict[str, Any]) -> None:
        with self.lock:
            sent = line.open.pop(message["id"], None)
        if sent is None:
            self.wrong.append("a second answer")
            return
        tally, now = self.tally(sent), time.time() - self.began
        took = (now - sent.at) * 1000.0
        in_time = "result" in message and took <= self.due
        tally.tried_at.append((sent.at, in_time))
        if took > self.limit + 150.0:
            self.wrong.append(f"an answer to a {sent.flow.stage} after {took:.0f} ms")
        if "result" in message:
            if base64.b64decode(message["result"]["content"]) != b"done " + sent.key.encode():
                self.wrong.append("a result that no run of the task made")
            tally.times.record_value(max(1, int(took * 1000.0)))
            tally.served += in_time
            tally.late += not in_time
            if in_time:
                tally.served_at.append(now)
        elif message["error"]["code"] == -32050:
            tally.rejected += 1
            tally.told_later += message["error"].get("data", {}).get("later", 0) > 0
        else:
            tally.failed += 1
