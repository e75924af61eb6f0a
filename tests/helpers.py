"""One file of helpers: a recording host, a node built from few figures, stand-ins for all a server meets."""

import base64
import contextlib
import json
import os
import queue
import re
import shlex
import signal
import socket
import subprocess
import sys
import threading
import time

from vetchford import rules


class Recorder:
    """A host that keeps each act as (name, *arguments) and the answers by task."""

    def __init__(self):
        self.acts = []
        self.now = 0.0
        self.timers = []
        self.answers = {}

    def __getattr__(self, name):
        if name.startswith("_"):
            raise AttributeError(name)

        def act(*given):
            self.acts.append((name, *given))
            if name in ("reject", "abandon"):
                assert given[0] not in self.answers, "a second final answer"
                self.answers[given[0]] = name
            if name == "wake":
                self.timers.append(self.now + given[0])

        return act

    def names(self, q):
        return [act[0] for act in self.acts if act[1:2] == (q,) and act[0] not in ("release", "fitness")]


def stage(**given):
    figures = dict(due=1800.0, limit=4400.0, utility=1.0, late_utility=0.0, effect=rules.RESTARTABLE,
                   window=13000.0, skip_utility=0.0)
    return rules.Stage(**{**figures, **given})


def node(host, stages=None, cores=2, cold=False, memory=100_000.0, share=None, calls=True, quotas=(),
         say="silent", can_stop=False, callers=2):
    return rules.Node(
        host=host, stages=stages or [stage(), stage(utility=3.0, effect=rules.FINGERPRINTED)], cores=cores,
        survives=8.0, cold_from=0.24, ramp=18000.0 if cold else 0.0,
        counters=rules.ByteCounters(memory, 8.0, 50.0),
        calls=rules.CallBound(share, 5000.0, 200.0, cores) if calls else None,
        tenants=rules.TenantShare(list(quotas), 1, 0.05),
        advice=rules.Advice(host, 7, say, 1000.0, callers, cores, 30_000.0),
        by_work=False, can_stop=can_stop, grace=2000.0, worst_weight=0.3,
    )


def send(server, now, q, kind=0, caller=0, tenant=-1, limit_at=None, work=None, size=10, again=False,
         queued_for=0.0, original=None):
    server.arrived(now, q, kind, tenant, caller, limit_at, work, size, again, queued_for, original)


# -- stand-ins for what a server talks to, on loopback ports picked by the system; waits end in a failure only

PATIENCE = 20.0  # s: no verdict hangs on it but that of a server that does nothing

TOLD = {
    "familyInfo": {"cores": 2, "ramKb": 90_000.0, "blowup": 8.0, "keyKb": 5.0, "say": "silent",
                   "halt": "silent", "callerIdle": 0, "classSkipWorth": [0.3, 0.0],
                   "ownStats": ["core_use", "on_cores"], "below": "shared", "depShare": 0.2,
                   "callers": 2, "callsOver": 1_000_000_000},
    "requestClasses": [
        {"name": "read", "worth": 1.0, "promise": 50_000_000_000, "deadline": 60_000_000_000,
         "effect": "read_like"},
        {"name": "pay", "worth": 3.0, "promise": 50_000_000_000, "deadline": 60_000_000_000,
         "effect": "idempotency_key", "window": 13_000_000_000},
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
        params = {"txn": f"{rpc_id:016x}", "door": time.time() * 1000.0, "lb": 1, "team": "acme",
                  "limit": 50_000, "ram": 10.0, "content": "Ym9keQ==", "cpu": 20.0, **fields}
        self.send({"jsonrpc": "2.0", "id": rpc_id, "method": method,
                   "params": {key: value for key, value in params.items() if value is not None}})
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


class Running:
    """The whole server in a process of its own, in front of the stand-ins."""

    COMMAND = (sys.executable, "-m", "vetchford", "serve")
    if os.environ.get("VETCHFORD_RUN"):  # how the operators start it
        COMMAND = ("/bin/sh", "-c", os.environ["VETCHFORD_RUN"])

    def __init__(self, folder, up=True, cold=False, records_up=True, stop_ms=8000, sockets=128, files=None,
                 listen="127.0.0.1:0", **told):
        self.pool, self.records = PoolPeer(cold, up), RecordsPeer(records_up)
        self.members = reports_here()
        self.config, self.stop_ms, self.sockets, self.told = folder / "config.json", stop_ms, sockets, told
        self.write_config(listen)
        command = self.COMMAND
        if files:  # fewer descriptors than it is told of
            command = ("/bin/sh", "-c", f"ulimit -n {files}; exec {shlex.join(command)}")
        self.process = subprocess.Popen(
            command, stderr=subprocess.STDOUT, stdout=subprocess.PIPE, text=True,
            env={**os.environ, "ROUTER_CONFIG": str(self.config)})
        self.log = []
        for line in self.process.stdout:
            self.log.append(line)
            if found := re.search(r"listen=\S+?:(\d+)", line):
                self.port = int(found[1])
                break
        assert hasattr(self, "port"), self.log
        self.drainer = threading.Thread(target=self.log.extend, args=(self.process.stdout,), daemon=True)
        self.drainer.start()
        if up:
            self.pool.take("bind")
            assert self.heard_report() == ["HB", "n1", "UP"]

    def write_config(self, listen="127.0.0.1:0"):
        self.config.write_text(json.dumps({
            "name": "n1", "listen": listen, "pool": self.pool.address, "records": self.records.address,
            "members": f"127.0.0.1:{self.members.getsockname()[1]}", "seed": "8c1f30d27a5be964",
            "stop_ms": self.stop_ms, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "settings": {**TOLD, **self.told},
        }))

    def move(self):
        """New stand-ins for all three peers, in which the pool's runs go on; told by SIGHUP. The old ones."""
        old = self.pool, self.records, self.members
        self.pool, self.records, self.members = PoolPeer(), RecordsPeer(), reports_here()
        self.pool.notices, self.pool.number = old[0].notices, old[0].number
        self.write_config()
        self.process.send_signal(signal.SIGHUP)
        return old

    def balancer(self):
        return Balancer(self.port)

    def heard_report(self):
        return self.members.recv(64).decode().split()

    def stop(self):
        """Drains it; what it logged."""
        self.process.send_signal(signal.SIGTERM)
        assert self.process.wait(PATIENCE) == 0, "".join(self.log)
        self.drainer.join(PATIENCE)
        return "".join(self.log)

    def __enter__(self):
        return self

    def __exit__(self, *problem):
        self.process.kill()
        self.process.wait()
        assert "part_broke" not in "".join(self.log), "".join(self.log)
