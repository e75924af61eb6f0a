"""Stand-ins for the second review: worker pool, records service, load balancers, and a server process.

They follow the operators' protocol on loopback. One asyncio loop runs all of them, and each writes what it
sends, receives and runs to the record of the case.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
NS_PER_MS = 1_000_000
MS_PER_S = 1000.0
MAX_OPEN = 32  # requests that a balancer waits for on one connection
REFUSED_CODE = -32050
RUN_STEP_S = 0.004
HEADER_END = b"\r\n\r\n"
READY_TIMEOUT_S = 20.0


def now_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time() * MS_PER_S


def in_base64(data: bytes) -> str:
    """Return bytes as a base64 string."""
    return base64.b64encode(data).decode()


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the time from the start."""

    def __init__(self, folder: Path) -> None:
        """Create or replace the file in `folder`."""
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_ms = now_ms()
        self.broken: list[str] = []

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{now_ms() - self.started_ms:10.1f} {text}\n")
        self.file.flush()

    def break_rule(self, text: str) -> None:
        """Write down a broken rule."""
        self.broken.append(text)
        self.write(f"RULE BROKEN: {text}")


@dataclass(eq=False)
class Try:
    """One try of a request, as the balancer and the worker pool know it."""

    txn: str
    method: str
    key: str | None
    body: str
    sent_ms: float
    door_ms: int
    server: str
    connection: int
    work_ms: float
    calls_left: int
    given_up: bool = False
    answer: str = ""  # served, refused, failed or lost
    answered_ms: float = 0.0
    started_ms: float = 0.0  # when its run started; 0.0: it never ran
    runs: int = 0
    state: str = ""  # running, blocked or done, at the worker pool
    call_body: bytes = b""
    blocked_notice: int = 0
    reply: bytes = b""
    gone: bool = False  # its connection broke

    @property
    def is_over(self) -> bool:
        """Whether nobody waits for an answer any more."""
        return bool(self.answer) or self.gone


class WorkerPool:
    """A worker pool whose runs share its cores; `hung` stops all runs while messages go on."""

    def __init__(self, name: str, record: Record, cores: int) -> None:
        """Create a pool; `start` listens."""
        self.name = name
        self.record = record
        self.cores = cores
        self.tries: dict[str, Try] = {}
        self.running: dict[str, Try] = {}
        self.results: dict[str, set[str]] = {}  # by key, or by txn without one
        self.notices: list[dict[str, Any]] = []
        self.last_number = 0
        self.link: asyncio.StreamWriter | None = None
        self.hung = False
        self.binds = 0  # links so far
        self.deaf = False  # commands that arrive now are lost with the link
        self.address = ""
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._accept, LOOPBACK, 0, limit=1 << 20)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                message = json.loads(line)
                if message["type"] == "bind":
                    self._bind(writer, message["n"])
                elif self.link is writer and not self.deaf:
                    self._obey(message)
        if self.link is writer:
            self.link = None
        writer.close()

    def _bind(self, writer: asyncio.StreamWriter, last_read: int) -> None:
        if self.link is not None:
            self.link.close()
        self.link = writer
        self.deaf = False
        self.binds += 1
        self._send({"type": "bound", "state": "hot", "took": 60_000})
        for notice in self.notices:
            if notice["n"] > last_read:
                self._send(notice)

    def _send(self, message: dict[str, Any]) -> None:
        if self.link is not None:
            self.link.write(json.dumps(message).encode() + b"\n")

    def _notify(self, kind: str, txn: str, **fields: Any) -> int:
        self.last_number += 1
        notice = {"type": kind, "n": self.last_number, **({"job": txn} if txn else {}), **fields}
        self.notices = [*self.notices[-3999:], notice]
        self._send(notice)
        return self.last_number

    def remark(self, characters: int) -> None:
        """Send a numbered remark of this length between the other notices."""
        self.record.write(f"{self.name} REMARK of {characters} characters")
        self._notify("chatter", "", state="x" * characters)

    def _obey(self, message: dict[str, Any]) -> None:
        kind = message["type"]
        if kind == "poll":
            busy = sum(each.state == "running" for each in self.running.values())
            gauges = [min(1.0, busy / self.cores), busy, 0.1, 5]
            self._send({"type": "polled", "ref": message["ref"], "gauges": gauges})
            return
        one = self.tries.get(message.get("job", ""))
        if one is None:
            self._send({"type": "unknown", "state": kind, "job": message.get("job", "")})
        elif kind == "spawn":
            self._spawn(one)
        elif one.state == "blocked" and (kind == "supply" or message.get("n") == one.blocked_notice):
            self._go_on(one)

    def _spawn(self, one: Try) -> None:
        if one.txn in self.running:
            return
        if one.is_over:
            self._notify("finished", one.txn, state="unknown", took=0)
            return
        one.runs += 1
        one.started_ms = now_ms()
        self.record.write(f"{self.name} RUN {one.txn} {one.method} key={one.key}")
        self.running[one.txn] = one
        self._go_on(one)

    def _go_on(self, one: Try) -> None:
        one.state = "running"
        self.background(self._run(one))

    def background(self, work: Any) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, one: Try) -> None:
        left_ms = one.work_ms / 2
        while left_ms > 0.0 or self.hung:
            await asyncio.sleep(RUN_STEP_S)
            if not self.hung:
                busy = max(1, sum(each.state == "running" for each in self.running.values()))
                left_ms -= RUN_STEP_S * MS_PER_S * min(1.0, self.cores / busy)
        if one.calls_left and one.is_over:
            self._end(one, "cancelled")
        elif one.calls_left:
            one.calls_left -= 1
            one.call_body = f"call of {one.txn}".encode()
            one.state = "blocked"
            one.blocked_notice = self._notify("blocked", one.txn, data=in_base64(one.call_body))
            await self._end_if_over(one)
        else:
            self._end(one, "complete")

    async def _end_if_over(self, one: Try) -> None:
        """End a run that waits for a call once its request is over."""
        while one.state == "blocked":
            if one.is_over:
                self._end(one, "cancelled")
            await asyncio.sleep(0.02)

    def _end(self, one: Try, state: str) -> None:
        one.state = "done"
        self.running.pop(one.txn, None)
        fields: dict[str, Any] = {}
        if state == "complete":
            fields["data"] = in_base64(f"result of {one.txn}".encode())
            self.results.setdefault(one.key or one.txn, set()).add(fields["data"])
        self.record.write(f"{self.name} END {one.txn} {state}")
        self._notify("finished", one.txn, state=state, took=round(now_ms() - one.started_ms, 3), **fields)


class RecordsService:
    """A records service that answers each call after a short time."""

    def __init__(self, record: Record, find: Callable[[str], Try | None]) -> None:
        """Create a service; `find` returns the try with a txn."""
        self.record = record
        self.find = find
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.split()
                if words[0] == b"OP":
                    await reader.readexactly(int(words[3]) + 2)
                    await self._answer(words[1].decode(), writer)
        writer.close()

    async def _answer(self, txn: str, writer: asyncio.StreamWriter) -> None:
        one = self.find(txn)
        if one is None or one.state != "blocked":
            writer.write(f"{txn} EMPTY\r\n".encode())
            return
        self.record.write(f"records CALL {txn}")
        await asyncio.sleep(0.005)
        one.reply = b"ok"
        writer.write(f"{txn} DONE 2\r\nok\r\n".encode())


@dataclass(eq=False)
class Connection:
    """One connection of a balancer to a server."""

    number: int
    writer: asyncio.StreamWriter
    open: dict[int, Try] = field(default_factory=dict)  # without an answer, by JSON-RPC id
    last_id: int = 0
    closing: bool = False

    def waited_for(self) -> int:
        """Return how many requests the balancer still waits for."""
        return sum(not one.given_up for one in self.open.values())


class Balancer:
    """A load balancer with one connection to each server; it stops waiting for a try after its patience."""

    def __init__(self, number: int, record: Record, patience_s: float) -> None:
        """Create a balancer without connections."""
        self.number = number
        self.record = record
        self.patience_s = patience_s
        self.connections: dict[str, Connection] = {}
        self.opened = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def send(self, server: "Server", method: str, **how: Any) -> Try | None:
        """Send one try; None if the connection has as many open requests as it may have."""
        connection = self.connections.get(server.name)
        if connection is None or connection.closing:
            connection = await self._connect(server)
        if connection.waited_for() >= MAX_OPEN:
            return None
        one = Try(
            txn=os.urandom(8).hex(),
            method=method,
            key=how.get("key"),
            body=how.get("body") or in_base64(os.urandom(24)),
            sent_ms=now_ms(),
            door_ms=int(now_ms()),
            server=server.name,
            connection=connection.number,
            work_ms=how["work_ms"],
            calls_left=how.get("calls", 0),
        )
        server.pool.tries[one.txn] = one
        connection.last_id += 1
        connection.open[connection.last_id] = one
        self._write(connection, one)
        self._background(self._stop_waiting(one))
        return one

    def _write(self, connection: Connection, one: Try) -> None:
        params: dict[str, Any] = {
            "txn": one.txn,
            "door": one.door_ms,
            "lb": self.number,
            "cpu": one.work_ms,
            "ram": 24.5,
            "standing": 0.5,
            "content": one.body,
        }
        if one.key:
            params["unique"] = one.key
        message = {"jsonrpc": "2.0", "id": connection.last_id, "method": one.method, "params": params}
        body = json.dumps(message).encode()
        self.record.write(
            f"lb{self.number} SEND {one.txn} {one.method} key={one.key} to {one.server} "
            f"connection={one.connection} waits_for={connection.waited_for()}"
        )
        connection.writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    async def _stop_waiting(self, one: Try) -> None:
        await asyncio.sleep(self.patience_s)
        if not one.answer:
            one.given_up = True
            self.record.write(f"lb{self.number} STOPS WAITING {one.txn}")

    async def _connect(self, server: "Server") -> Connection:
        reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
        self.opened += 1
        connection = Connection(self.opened, writer)
        self.connections[server.name] = connection
        self._background(self._read(reader, connection))
        return connection

    def _background(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _read(self, reader: asyncio.StreamReader, connection: Connection) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                header = await reader.readuntil(HEADER_END)
                body = await reader.readexactly(int(header.split(b":")[1]))
                self._handle(json.loads(body), connection)
        connection.closing = True
        connection.writer.close()
        for one in connection.open.values():
            one.gone = True

    def _handle(self, message: dict[str, Any], connection: Connection) -> None:
        if message.get("method") == "closing":
            connection.closing = True
            return
        one = connection.open.pop(message["id"], None)
        if one is None:
            return
        one.answered_ms = now_ms()
        if "result" in message:
            one.answer = "served"
        else:
            one.answer = "refused" if message["error"]["code"] == REFUSED_CODE else "failed"
        self.record.write(f"lb{self.number} ANSWER {one.txn} {one.answer} key={one.key} {_data(message)}")


def _data(message: dict[str, Any]) -> str:
    error = message.get("error")
    return "" if error is None else f"code={error['code']} data={error.get('data', {})}"


class Server:
    """One server process, started by the command of the deploy file, with a worker pool of its own."""

    def __init__(
        self, name: str, pool: WorkerPool, records: RecordsService, settings: dict[str, Any]
    ) -> None:
        """Create the server; `start` starts its process."""
        self.name = name
        self.pool = pool
        self.records = records
        self.settings = settings
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.port = free_port()
        self.members = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.members.bind((LOOPBACK, 0))
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> Path:
        """Write the configuration file and return its path."""
        path = Path(self.folder.name) / "config.json"
        configuration = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "pool": self.pool.address,
            "records": self.records.address,
            "members": f"{LOOPBACK}:{self.members.getsockname()[1]}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 384},
            "settings": self.settings,
        }
        replacement = path.with_suffix(".new")
        replacement.write_text(json.dumps(configuration))
        replacement.replace(path)
        return path

    async def start(self) -> None:
        """Start the process and wait until it is ready; raise TimeoutError if it is not."""
        log = (Path(self.folder.name) / "log").open("w")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run_command(),
            cwd=ROOT,
            env={**os.environ, "ROUTER_CONFIG": str(self.write_config())},
            stdout=log,
            stderr=log,
        )
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not await self._is_ready():
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        body = b'{"jsonrpc":"2.0","id":1,"method":"check"}'
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
            writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
            reply = await asyncio.wait_for(reader.read(400), 2.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b"true" in reply

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process and remove its folder."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self.members.close()
        self.folder.cleanup()


def run_command() -> str:
    """Return the command `run` of the deploy file."""
    for line in (ROOT / "deploy" / "balancer.toml").read_text().splitlines():
        name, _, value = line.partition(" = ")
        if name == "run":
            return str(json.loads(value))
    raise ValueError("the deploy file has no command 'run'")


def free_port() -> int:
    """Return a TCP port of the loopback address that is free now."""
    with socket.create_server((LOOPBACK, 0)) as sock:
        return int(sock.getsockname()[1])


def request_class(name: str, effect: str, worth: float, window_ms: int) -> dict[str, Any]:
    """Return the settings of one class: wanted within 1.8 s, time limit 4.5 s."""
    return {
        "name": name,
        "effect": effect,
        "worth": worth,
        "lateWorth": 0.0,
        "promise": 1800 * NS_PER_MS,
        "deadline": 4500 * NS_PER_MS,
        "window": window_ms * NS_PER_MS,
    }


def small_deployment(cores: int = 6) -> dict[str, Any]:
    """Return the settings of a small deployment whose requests don't tell how long their callers wait."""
    return {
        "familyInfo": {
            "below": "shared",
            "blowup": 8.0,
            "callerIdle": 30_000 * NS_PER_MS,
            "callers": 3,
            "callsOver": 5000 * NS_PER_MS,
            "cancelSeen": False,
            "classCalls": [True, True, True],
            "classSkipWorth": [0.3, 0.5, 0.0],
            "cold": False,
            "cores": cores,
            "depShare": 4.58,
            "fullChecks": True,
            "halt": "silent",
            "heeded": 1000 * NS_PER_MS,
            "keyKb": 20.0,
            "linger": 200 * NS_PER_MS,
            "listFollows": True,
            "ownStats": ["core_use", "on_cores", "heap_share", "links"],
            "passesDeadline": False,
            "ramKb": 77_208.0,
            "say": "silent",
            "shareFor": 0,
        },
        "requestClasses": [
            request_class("stock-check", "read_like", 1.0, 5000),
            request_class("slot-set", "read_like", 1.0, 5000),
            request_class("place-hold", "idempotency_key", 10.0, 13_518),
        ],
        "customers": [],
        "rules": {
            "answerSlack": 100 * NS_PER_MS,
            "coldFrom": 0.24,
            "drainGrace": 2500 * NS_PER_MS,
            "fall": 3000 * NS_PER_MS,
            "fallMultiple": 8.0,
            "rampTime": 17_000 * NS_PER_MS,
        },
        "goal": {"whole": 0.45, "worstWindow": 0.1, "worstClass": 0.2, "worstTenant": 0.25},
        "caps": {"retryAfter": True, "maxRetryAfter": 1000 * NS_PER_MS},
        "clientHabits": {"marksRetry": False},
        "overShareWorth": 0.05,
        "servers": 5,
        "valueBy": "request",
    }
