"""Peers that do what a test tells them, on loopback ports; waits end in a failure only."""

import base64
import contextlib
import json
import queue
import socket
import threading
import time

PATIENCE = 20.0  # s: no verdict hangs on it but that of a server that does nothing

TOLD = {
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


def received(lines):
    with contextlib.suppress(OSError):  # reset: as good as an end
        yield from lines


class Peer:
    """A listening stand-in; what it reads is queued."""

    def __init__(self, up=True):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.heard = queue.Queue()
        if up:  # until then connections are refused
            self.come_up()

    def come_up(self):
        self.listener.listen()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                self.serve(self.listener.accept()[0])

    def serve(self, sock):
        threading.Thread(target=self.read, args=(sock, sock.makefile("rb")), daemon=True).start()

    def take(self, *wanted):
        """The next that matches; what comes before is passed over."""
        while True:
            entry = self.heard.get(timeout=PATIENCE)
            if entry[0] in wanted:
                return entry

    def nothing_more(self, *unwanted):
        seen = [self.heard.get() for _ in range(self.heard.qsize())]
        return not [entry for entry in seen if entry[0] in unwanted]


class PoolPeer(Peer):
    """Answers `bind` and `poll` by itself; keeps its notices for the next link."""

    def __init__(self, cold=False, up=True):
        self.cold, self.notices, self.sock, self.number = cold, [], None, 0
        self.polls = 0  # answered
        self.up = threading.Event()
        if up:
            self.up.set()
        super().__init__()

    def read(self, sock, lines):
        for line in received(lines):
            message = json.loads(line)
            if message["type"] == "bind":
                self.up.wait()
                self.sock = sock
                self.say({"type": "bound", "state": "chilly" if self.cold else "hot", "took": 5000})
                for notice in self.notices:
                    if notice["n"] > message["n"]:
                        self.say(notice)
            elif message["type"] == "poll":
                self.say({"type": "polled", "ref": message["ref"], "gauges": [0.2, 0]})
                self.polls += 1
                continue
            self.heard.put((message["type"], message))

    def say(self, message, raw=None):
        with contextlib.suppress(OSError):  # a cut link: it is in the notices
            self.sock.sendall(raw or json.dumps(message).encode() + b"\n")

    def notice(self, kind, job, **fields):
        self.number += 1
        self.notices.append({"type": kind, "n": self.number, "job": job, **fields})
        self.say(self.notices[-1])

    def finish(self, job, data=b"done", state="complete"):
        self.notice("finished", job, state=state, took=40, data=base64.b64encode(data).decode())

    def block(self, job, data=b"ask"):
        self.notice("blocked", job, data=base64.b64encode(data).decode())

    def cut(self):
        self.sock.shutdown(socket.SHUT_RDWR)


class RecordsPeer(Peer):
    """Queues calls as ("OP", id, body, connection) and ("UNOP", id, connection)."""

    def read(self, sock, lines):
        for line in received(lines):
            words = line.decode().split()
            if words[0] == "OP":
                body = lines.read(int(words[3]) + 2)[:-2]
                self.heard.put(("OP", words[1], body, sock))
            else:
                self.heard.put(("UNOP", words[1], sock))


class Balancer:
    """One connection to a server."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), PATIENCE)
        self.file = self.sock.makefile("rb")

    def raw(self, data):
        self.sock.sendall(data)

    def send(self, message):
        body = message if isinstance(message, bytes) else json.dumps(message).encode()
        self.raw(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def ask(self, rpc_id, method="read", **fields):
        params = {
            "txn": f"{rpc_id:016x}",
            "door": time.time() * 1000.0,
            "lb": 1,
            "team": "acme",
            "limit": 50_000,
            "ram": 10.0,
            "content": "Ym9keQ==",
            "cpu": 20.0,
            **fields,
        }
        self.send(
            {
                "jsonrpc": "2.0",
                "id": rpc_id,
                "method": method,
                "params": {key: value for key, value in params.items() if value is not None},
            }
        )
        return params["txn"]

    def hear(self):
        """The next message; None at the end of the connection."""
        head = self.file.readline()
        if not head:
            return None
        assert self.file.readline() == b"\r\n"
        return json.loads(self.file.read(int(head.split(b":")[1])))

    def gone(self):
        """Reset, with nothing more read."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.file.close()
        self.sock.close()


def reports_here():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(PATIENCE)
    return sock
