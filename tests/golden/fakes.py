"""Fakes around a server process that keep the raw bytes; independent of the program's packages."""

import base64
import contextlib
import json
import queue
import re
import signal
import socket
import subprocess
import threading
import time
from pathlib import Path
from typing import Any

from golden import harness

SETTINGS = {
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
        "callsOver": 100_000_000_000,  # a call may take 10 s, so that a busy machine abandons none
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


class FakeService:
    """A service on loopback that the server connects to; `read` queues what it receives."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.received: queue.Queue[tuple[Any, ...]] = queue.Queue()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._read_all, args=(sock,), daemon=True).start()

    def _read_all(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):  # the connection was reset
            self.read(sock, sock.makefile("rb"))

    def read(self, sock: socket.socket, lines: Any) -> None:
        """Queue what the server sends on a connection."""
        raise NotImplementedError

    def next_received(self) -> tuple[Any, ...]:
        """Return the next entry; raise queue.Empty after `harness.TIMEOUT_S`."""
        return self.received.get(timeout=harness.TIMEOUT_S)


class FakeWorkerPool(FakeService):
    """A worker pool that answers `bind` and `poll`; queues all lines except polls, whose times vary."""

    def __init__(self) -> None:
        self.polls: list[bytes] = []
        self.sock: socket.socket | None = None
        self.notice_number = 0
        super().__init__()

    def read(self, sock: socket.socket, lines: Any) -> None:
        for line in lines:
            message = json.loads(line)
            if message["type"] == "poll":
                self.polls.append(line)
                self.send({"type": "polled", "ref": message["ref"], "gauges": [0.2, 0]})
                continue
            if message["type"] == "bind":
                self.sock = sock
                self.send({"type": "bound", "state": "hot", "took": 5000})
            self.received.put((line,))

    def send(self, message: dict[str, Any]) -> None:
        assert self.sock is not None
        self.sock.sendall(json.dumps(message).encode() + b"\n")

    def _notify(self, kind: str, job: str, **fields: Any) -> None:
        self.notice_number += 1
        self.send({"type": kind, "n": self.notice_number, "job": job, **fields})

    def finish(self, job: str, data: bytes = b"done", state: str = "complete") -> None:
        """Send the notice that a run has ended."""
        self._notify("finished", job, state=state, took=40, data=base64.b64encode(data).decode())

    def block(self, job: str, data: bytes = b"ask") -> None:
        """Send the notice that a run waits for a call."""
        self._notify("blocked", job, data=base64.b64encode(data).decode())


class FakeRecordsService(FakeService):
    """A records service that queues (line, body with its line end, socket), unchanged."""

    def read(self, sock: socket.socket, lines: Any) -> None:
        for line in lines:
            words = line.split()
            body = lines.read(int(words[3]) + 2) if words[0] == b"OP" else b""
            self.received.put((line, body, sock))


class RawClient:
    """A client connection to the server that returns header and body of replies unchanged."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), harness.TIMEOUT_S)
        self.file = self.sock.makefile("rb")

    def send_raw(self, data: bytes) -> None:
        self.sock.sendall(data)

    def send_body(self, body: bytes) -> None:
        self.send_raw(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def request(self, rpc_id: Any, method: str = "read", **fields: Any) -> None:
        """Send a valid request with some fields replaced; None omits a field."""
        params = {
            "txn": f"t{rpc_id}",
            "door": time.time() * 1000.0,
            "lb": 1,
            "team": "acme",
            "limit": 50_000,
            "ram": 10.0,
            "content": "Ym9keQ==",
            "cpu": 20.0,
            **fields,
        }
        message = {"jsonrpc": "2.0", "id": rpc_id, "method": method}
        message["params"] = {key: value for key, value in params.items() if value is not None}
        self.send_body(json.dumps(message).encode())

    def receive(self) -> list[str] | None:
        """Return header and body of the next message; None once the connection is closed or reset.

        The number after "later" is random, so that this number and the length of its message are replaced.
        """
        try:
            header = self.file.readline()
        except ConnectionResetError:
            return None
        if not header:
            return None
        blank = self.file.readline()
        assert blank == b"\r\n", blank
        length = int(header.split(b":")[1])
        body = self.file.read(length)
        assert len(body) == length
        normalised = re.sub(rb'"later":\d+', b'"later":<ms>', body)
        if normalised != body:
            header = re.sub(rb"\d+", b"<length>", header)
        return [(header + blank).decode("latin-1"), normalised.decode("latin-1")]

    def close(self) -> None:
        self.file.close()
        self.sock.close()


class ServerUnderTest:
    """A `vetchford serve` process between fakes."""

    def __init__(self, folder: Path, *arguments: str, **settings: Any) -> None:
        self.pool, self.records = FakeWorkerPool(), FakeRecordsService()
        self.registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.registry.bind(("127.0.0.1", 0))
        self.registry.settimeout(harness.TIMEOUT_S)
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:0",
                    "pool": f"127.0.0.1:{self.pool.port}",
                    "records": f"127.0.0.1:{self.records.port}",
                    "members": f"127.0.0.1:{self.registry.getsockname()[1]}",
                    "seed": "8c1f30d27a5be964",
                    "stop_ms": 8000,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128},
                    "settings": {**SETTINGS, **settings},
                }
            )
        )
        self.process = subprocess.Popen(
            harness.command("serve", "--config", str(config), *arguments),
            cwd=harness.ROOT,
            env=harness.environment(),
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.log = harness.LineCollector(self.process.stderr)
        harness.wait_until(self._listens, "the server logs its port")
        [self.bind_line] = self.pool.next_received()
        self.first_report = self.registry.recv(64)

    def _listens(self) -> bool:
        assert self.process.poll() is None, self.log.lines
        found = self.log.find(r"listen=\S+?:(\d+)")
        if found:
            self.port = int(found[1])
        return found is not None

    def connect_client(self) -> RawClient:
        return RawClient(self.port)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def __enter__(self) -> "ServerUnderTest":
        return self

    def __exit__(self, *problem: object) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.pool.listener.close()
        self.records.listener.close()
        self.registry.close()
