"""Fakes on loopback that a test controls step by step.

Their waits take `WAIT_TIMEOUT_S` only where the test fails.
"""

import base64
import contextlib
import json
import queue
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any, BinaryIO

WAIT_TIMEOUT_S = 20.0
"""A wait takes this long only if the server does nothing, so that the value decides no passing test."""

SETTINGS: dict[str, Any] = {
    "familyInfo": {
        "cores": 2,
        "ramKb": 90_000.0,
        "blowup": 8.0,
        "keyKb": 5.0,
        "say": "silent",
        "halt": "silent",
        "callerIdle": 0,
        "classSkipWorth": [0.3, 0.0],
        "ownStats": ["core_use", "on_cores"],
        "below": "shared",
        "depShare": 0.2,
        "callers": 2,
        "callsOver": 1_000_000_000,
    },
    "requestClasses": [
        {
            "name": "read",
            "worth": 1.0,
            "promise": 50_000_000_000,
            "deadline": 60_000_000_000,
            "effect": "read_like",
        },
        {
            "name": "pay",
            "worth": 3.0,
            "promise": 50_000_000_000,
            "deadline": 60_000_000_000,
            "effect": "idempotency_key",
            "window": 13_000_000_000,
        },
    ],
    "customers": [{"name": "acme", "quotaPerS": 100.0}],
    "rules": {"fallMultiple": 8.0, "drainGrace": 100_000_000},
    "caps": {"retryAfter": True, "maxRetryAfter": 1_000_000_000},
}

STARTED_MS_AGO = 5000
RUN_TIME_MS = 40
MS_PER_S = 1000.0
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"
"""`SO_LINGER` value that makes a close reset the connection."""


def lines_until_end(lines: BinaryIO) -> Iterator[bytes]:
    """Yield the lines of a connection until it is closed or reset."""
    with contextlib.suppress(OSError):
        yield from lines


class ScriptedService:
    """A fake service that the server connects to; queues what it reads as tuples that begin with the kind."""

    def __init__(self, up: bool = True) -> None:
        """Bind a loopback port; refuse connections until `listen` unless `up`."""
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.received: queue.Queue[tuple[Any, ...]] = queue.Queue()
        if up:
            self.listen()

    def listen(self) -> None:
        """Start accepting connections."""
        self.listener.listen()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                self.serve(self.listener.accept()[0])

    def serve(self, sock: socket.socket) -> None:
        """Start a thread that reads a new connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.read, args=(sock, sock.makefile("rb")), daemon=True).start()

    def read(self, sock: socket.socket, lines: BinaryIO) -> None:
        """Queue what the server sends on a connection, until the connection ends."""
        raise NotImplementedError

    def take(self, *kinds: str) -> tuple[Any, ...]:
        """Return the next entry of one of these kinds; drop the entries before it.

        Raises:
            queue.Empty: no such entry came within `WAIT_TIMEOUT_S`.
        """
        while True:
            entry = self.received.get(timeout=WAIT_TIMEOUT_S)
            if entry[0] in kinds:
                return entry

    def received_none_of(self, *kinds: str) -> bool:
        """Empty the queue and return whether it had no entry of these kinds."""
        entries = [self.received.get() for _ in range(self.received.qsize())]
        return not [entry for entry in entries if entry[0] in kinds]


class ScriptedWorkerPool(ScriptedService):
    """A worker pool that answers `bind` and `poll` by itself and whose runs the test ends.

    Notices are kept, and those that the server has not read are sent again on its next connection.
    """

    def __init__(self, cold: bool = False, up: bool = True, first_poll_delay_s: float = 0.0) -> None:
        """Start listening; `bind` is answered once `up` is set, the first poll of a link after a delay."""
        self.cold = cold
        self.first_poll_delay_s = first_poll_delay_s
        self.link_ready = threading.Event()
        """Set once a poll of the current link is answered: the server sends no command before."""
        self.notices: list[dict[str, Any]] = []
        self.last_number = 0
        self.sock: socket.socket | None = None
        self.answered_polls = 0
        self.answers_polls = True
        self.up = threading.Event()
        if up:
            self.up.set()
        super().__init__()

    def read(self, sock: socket.socket, lines: BinaryIO) -> None:
        """Queue messages other than `poll` as (type, message)."""
        for line in lines_until_end(lines):
            message = json.loads(line)
            if message["type"] == "poll":
                if not self.answers_polls:
                    continue
                if not self.link_ready.is_set():
                    time.sleep(self.first_poll_delay_s)
                self.send({"type": "polled", "ref": message["ref"], "gauges": [0.2, 0]})
                self.answered_polls += 1
                if sock is self.sock:
                    self.link_ready.set()
                continue
            if message["type"] == "bind":
                self._bind(sock, message["n"])
            self.received.put((message["type"], message))
            self.on_message(message)

    def on_message(self, message: dict[str, Any]) -> None:
        """Handle a message other than `poll`; does nothing, as the test decides."""

    def _bind(self, sock: socket.socket, last_read_number: int) -> None:
        self.up.wait()
        self.sock = sock
        self.answers_polls = True
        self.link_ready.clear()
        self.send({"type": "bound", "state": "chilly" if self.cold else "hot", "took": STARTED_MS_AGO})
        for notice in self.notices:
            if notice["n"] > last_read_number:
                self.send(notice)

    def send(self, message: dict[str, Any] | None, raw: bytes | None = None) -> None:
        """Send a message, or the bytes `raw` unchanged.

        A notice that a broken connection loses is sent again on the next connection.
        """
        assert self.sock is not None, "no server has connected to the worker pool"
        with contextlib.suppress(OSError):
            self.sock.sendall(raw or json.dumps(message).encode() + b"\n")

    def notify(self, kind: str, job: str, **fields: Any) -> None:
        """Send the next notice about a run."""
        self.last_number += 1
        self.notices.append({"type": kind, "n": self.last_number, "job": job, **fields})
        self.send(self.notices[-1])

    def finish(self, job: str, data: bytes = b"done", state: str = "complete") -> None:
        """Send the notice that a run has ended, with its result."""
        self.notify("finished", job, state=state, took=RUN_TIME_MS, data=base64.b64encode(data).decode())

    def block(self, job: str, data: bytes = b"ask") -> None:
        """Send the notice that a run waits for a dependency call."""
        self.notify("blocked", job, data=base64.b64encode(data).decode())

    def ignore_polls(self) -> None:
        """Answer no poll until the next connection is bound, so that no command is confirmed.

        Waits until the first poll of the current connection is answered, as the server uses none before.
        """
        assert self.link_ready.wait(WAIT_TIMEOUT_S), "the server has sent no poll on its connection"
        self.answers_polls = False

    def disconnect(self) -> None:
        """Close the connection to the server."""
        assert self.sock is not None, "no server has connected to the worker pool"
        self.sock.shutdown(socket.SHUT_RDWR)


class ScriptedRecordsService(ScriptedService):
    """A records service that queues ("OP", id, body, socket) for a call, ("UNOP", id, socket) for its end."""

    def read(self, sock: socket.socket, lines: BinaryIO) -> None:
        """Queue calls and cancellations."""
        for line in lines_until_end(lines):
            words = line.decode().split()
            if words[0] == "OP":
                body = lines.read(int(words[3]) + 2)[:-2]
                self.received.put(("OP", words[1], body, sock))
            else:
                self.received.put(("UNOP", words[1], sock))


class ScriptedClient:
    """A client connection to a server."""

    def __init__(self, port: int) -> None:
        """Connect to the server at this loopback port."""
        self.sock = socket.create_connection(("127.0.0.1", port), WAIT_TIMEOUT_S)
        self.file = self.sock.makefile("rb")

    def send_bytes(self, data: bytes) -> None:
        """Send bytes unchanged."""
        self.sock.sendall(data)

    def send(self, message: Any) -> None:
        """Send a message, or its encoded body, with a header."""
        body = message if isinstance(message, bytes) else json.dumps(message).encode()
        self.send_bytes(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def request(self, rpc_id: int, method: str = "read", **fields: Any) -> Any:
        """Send a request and return its `txn`; omit the fields that are `None`."""
        params = {
            "txn": f"{rpc_id:016x}",
            "door": time.time() * MS_PER_S,
            "lb": 1,
            "team": "acme",
            "limit": 50_000,
            "ram": 10.0,
            "content": "Ym9keQ==",
            "cpu": 20.0,
            **fields,
        }
        present = {key: value for key, value in params.items() if value is not None}
        self.send({"jsonrpc": "2.0", "id": rpc_id, "method": method, "params": present})
        return params["txn"]

    def receive(self) -> Any:
        """Return the next message; `None` once the server has closed the connection."""
        header = self.file.readline()
        if not header:
            return None
        assert self.file.readline() == b"\r\n"
        return json.loads(self.file.read(int(header.split(b":")[1])))

    def reset(self) -> None:
        """Reset the connection, discarding unread data."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.file.close()
        self.sock.close()


def registry_socket() -> socket.socket:
    """Return a datagram socket that receives the readiness reports of a server."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(WAIT_TIMEOUT_S)
    return sock
