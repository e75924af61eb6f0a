"""Stand-ins of the platform for the cases of the review: worker pools, a records service and balancers.

They follow the operators' protocol page. One thread serves all sockets of a `World`, so the order of what
the stand-ins see is known. What reaches a balancer is handled before what reaches a worker pool, so that a
request counts as over for the pool as soon as its answer can be read.
"""

import base64
import heapq
import json
import os
import random
import selectors
import signal
import socket
import struct
import subprocess
import time
from collections import deque
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUN = "exec .venv/bin/python -O -m vetchford serve"  # `run` of the deploy file
REFUSED = -32050
MAX_OPEN = 32  # requests on one connection, by the protocol page
KEPT_NOTICES = 4000  # by the protocol page
RESET = struct.pack("ii", 1, 0)
ON_SOCKETS_MS = 50.0  # every time limit is so much longer on sockets, by the protocol page


def free_port():
    """Return a free loopback port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class World:
    """The sockets of all stand-ins, their timers, and the record of what was sent, answered and run."""

    def __init__(self, record, seed):
        self.record = record
        self.random = random.Random(seed)
        self.selector = selectors.DefaultSelector()
        self.timers = []
        self.timer_count = 0
        self.started_at = time.time()
        self.log(f"seed {seed}")

    def log(self, text):
        self.record.write(f"{time.time() - self.started_at:9.4f} {text}\n")

    def after(self, delay_s, function, *arguments):
        self.timer_count += 1
        heapq.heappush(self.timers, (time.time() + delay_s, self.timer_count, function, arguments))

    def listen(self, accept):
        listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        listener.setblocking(False)
        self.selector.register(listener, selectors.EVENT_READ, (1, lambda: accept(listener.accept()[0])))
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def watch(self, sock, rank, read):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.selector.register(sock, selectors.EVENT_READ, (rank, read))

    def step(self):
        now = time.time()
        while self.timers and self.timers[0][0] <= now:
            _, _, function, arguments = heapq.heappop(self.timers)
            function(*arguments)
            now = time.time()
        wait = min(0.05, max(0.0, self.timers[0][0] - now)) if self.timers else 0.05
        for key, _ in sorted(self.selector.select(wait), key=lambda event: event[0].data[0]):
            if key.fileobj.fileno() >= 0:  # not closed by an earlier event of this step
                key.data[1]()

    def run_for(self, seconds, until=lambda: False):
        """Serve the sockets for this time, or until a condition holds; return whether it held."""
        end = time.time() + seconds
        while time.time() < end:
            if until():
                return True
            self.step()
        return until()


class Pool:
    """A worker pool. A run does `work_s` in parts, with a dependency call between two parts."""

    def __init__(self, world, name, cores, balancers, draw_run):
        self.world = world
        self.name = name
        self.cores = cores
        self.balancers = balancers
        self.draw_run = draw_run  # returns the work in seconds and the number of calls of a run
        self.address = world.listen(self.accept)
        self.started_at = time.time()
        self.link = None
        self.bound = False  # notices are sent once the server has bound the link
        self.unread = b""
        self.notices = deque(maxlen=KEPT_NOTICES)
        self.last_number = 0
        self.running = {}
        self.runs = {}  # number of runs begun, by request
        self.run_again = []  # requests that were run more than once
        self.links = 0

    def log(self, text):
        self.world.log(f"pool {self.name}: {text}")

    def accept(self, sock):
        self.drop_link()
        self.links += 1
        self.link = sock
        self.unread = b""
        self.world.watch(sock, 1, lambda: self.read(sock))

    def drop_link(self):
        self.bound = False
        if self.link is not None:
            self.world.selector.unregister(self.link)
            self.link.close()
            self.link = None

    def break_link(self):
        """Reset the link."""
        self.log(f"the link breaks; {len(self.running)} runs go on")
        if self.link is not None:
            self.link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.drop_link()

    def send(self, *messages):
        """Write these messages in one piece."""
        if self.link is None:
            return
        try:
            self.link.sendall(b"".join(json.dumps(message).encode() + b"\n" for message in messages))
        except OSError:
            self.drop_link()

    def notify(self, **fields):
        self.last_number += 1
        notice = {**fields, "n": self.last_number}
        self.notices.append(notice)
        if self.bound:
            self.send(notice)

    def read(self, sock):
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.drop_link()
            return
        self.unread += data
        while b"\n" in self.unread and self.link is sock:
            line, self.unread = self.unread.split(b"\n", 1)
            self.handle(json.loads(line))

    def handle(self, message):
        kind = message["type"]
        if kind == "bind":
            took = 60_000.0 + (time.time() - self.started_at) * 1000.0
            missed = [notice for notice in self.notices if notice["n"] > message["n"]]
            self.send({"type": "bound", "state": "hot", "took": took}, *missed)
            self.bound = True
        elif kind == "poll":
            busy = sum(not run["waits"] for run in self.running.values())
            gauges = [min(1.0, busy / self.cores), busy]
            self.send({"type": "polled", "ref": message["ref"], "gauges": gauges})
        elif kind == "spawn":
            self.spawn(message["job"], message["data"])
        elif kind == "supply":
            self.supply(message["job"], message["data"])
        elif kind == "pass":
            self.supply(message["job"], None)

    def spawn(self, job, content):
        if job in self.running:
            return  # for a request that runs already nothing happens
        if self.balancers.is_over(job):
            self.notify(type="finished", job=job, state="unknown", took=0)
            return
        self.runs[job] = self.runs.get(job, 0) + 1
        self.log(f"run {self.runs[job]} of {job} begins")
        if self.runs[job] == 2:
            self.run_again.append(job)
        work_s, calls = self.draw_run()
        self.running[job] = {
            "content": content,
            "begun": time.time(),
            "work_s": work_s,
            "calls": calls,
            "made": 0,
            "waits": False,
        }
        self.work(job)

    def work(self, job):
        run = self.running[job]
        crowd = max(1.0, sum(not other["waits"] for other in self.running.values()) / self.cores)
        self.world.after(run["work_s"] / (run["calls"] + 1) * crowd, self.end_part, job)

    def end_part(self, job):
        run = self.running.get(job)
        if run is None:
            return
        if run["made"] == run["calls"]:
            result = base64.b64encode(b"done " + base64.b64decode(run["content"])).decode()
            self.end(job, "complete", data=result)
        elif self.balancers.is_over(job):
            self.end(job, "cancelled")
        else:
            run["made"] += 1
            run["waits"] = True
            body = f"call {run['made']} of {job}".encode()
            self.notify(type="blocked", job=job, data=base64.b64encode(body).decode())
            self.watch_blocked(job, run["made"])

    def watch_blocked(self, job, number):
        """End a run that waits for a call once its request is over."""
        run = self.running.get(job)
        if run is None or not run["waits"] or run["made"] != number:
            return
        if self.balancers.is_over(job):
            self.end(job, "cancelled")
        else:
            self.world.after(0.02, self.watch_blocked, job, number)

    def supply(self, job, _data):
        run = self.running.get(job)
        if run is not None and run["waits"]:
            run["waits"] = False
            self.work(job)

    def end(self, job, state, **fields):
        run = self.running.pop(job)
        self.log(f"run of {job} ends: {state}")
        took = (time.time() - run["begun"]) * 1000.0
        self.notify(type="finished", job=job, state=state, took=took, **fields)


class Records:
    """A records service. `decide` returns the reply's status and its delay in seconds for each call."""

    def __init__(self, world, decide, on_call=lambda job, in_hand: None):
        self.world = world
        self.decide = decide
        self.on_call = on_call
        self.address = world.listen(self.accept)
        self.unread = {}
        self.in_hand = {}  # connection: request
        self.calls = 0

    def accept(self, sock):
        self.unread[sock] = b""
        self.world.watch(sock, 1, lambda: self.read(sock))

    def read(self, sock):
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.give_up(sock)
            self.world.selector.unregister(sock)
            sock.close()
            del self.unread[sock]
            return
        self.unread[sock] += data
        while b"\r\n" in self.unread[sock]:
            line, rest = self.unread[sock].split(b"\r\n", 1)
            words = line.split()
            if words[0] == b"UNOP":
                self.unread[sock] = rest
                self.give_up(sock)
                continue
            length = int(words[3])
            if len(rest) < length + 2:
                return
            self.unread[sock] = rest[length + 2 :]
            self.call(sock, words[1].decode(), rest[:length])

    def give_up(self, sock):
        job = self.in_hand.pop(sock, None)
        if job is not None:
            self.world.log(f"records: the call of {job} is given up")

    def call(self, sock, job, body):
        self.calls += 1
        self.world.log(f"records: a call of {job} arrives; in hand: {sorted(self.in_hand.values())}")
        self.on_call(job, list(self.in_hand.values()))
        self.in_hand[sock] = job
        status, delay_s = self.decide()
        self.world.after(delay_s, self.reply, sock, job, status, b"reply to " + body)

    def reply(self, sock, job, status, body):
        if self.in_hand.get(sock) != job:
            return
        del self.in_hand[sock]
        self.world.log(f"records: {status} to {job}")
        try:
            if status == "DONE":
                sock.sendall(b"%b DONE %d\r\n%b\r\n" % (job.encode(), len(body), body))
            else:
                sock.sendall(b"%b %b\r\n" % (job.encode(), status.encode()))
        except OSError:
            pass


class Balancers:
    """Balancers of one server: each has one connection, sends requests and reads the answers."""

    def __init__(self, world, name, port, count, class_name, timeout_ms, slack_ms, keyed, work_ms):
        self.world = world
        self.name = name
        self.port = port
        self.count = count
        self.class_name = class_name
        self.timeout_ms = timeout_ms
        self.slack_ms = slack_ms + ON_SOCKETS_MS
        self.keyed = keyed
        self.work_ms = work_ms
        self.connections = {}
        self.due_at = {}  # by request: when its answer is due, with the slack
        self.answers = {}  # by request: the kind of its answer
        self.problems = []

    def log(self, text):
        self.world.log(f"balancers of {self.name}: {text}")

    def wait_until_serving(self, seconds=30.0):
        """Return whether the server passes a health check within this time."""
        body = b'{"jsonrpc":"2.0","id":1,"method":"check"}'
        end = time.time() + seconds
        while time.time() < end:
            self.world.run_for(0.05)
            try:
                with socket.create_connection(("127.0.0.1", self.port), 1.0) as sock:
                    sock.settimeout(1.0)
                    sock.sendall(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
                    if b'"serving":true' in sock.recv(4096):
                        return True
            except OSError:
                pass
        return False

    def connect(self, number):
        sock = socket.create_connection(("127.0.0.1", self.port), 5.0)
        connection = {"sock": sock, "unread": b"", "last": 0, "jobs": {}, "closing": False}
        self.connections[number] = connection
        self.world.watch(sock, 0, lambda: self.read(number, connection))
        return connection

    def send_one(self, prefix=""):
        """Send one request on the connection of a balancer; return its id."""
        number = self.world.random.randrange(self.count)
        connection = self.connections.get(number)
        if connection is None or connection["closing"]:
            connection = self.connect(number)
        if len(connection["jobs"]) >= MAX_OPEN:
            return None
        connection["last"] += 1
        job = prefix + f"{self.world.random.getrandbits(64):016x}"[len(prefix) :]
        door_ms = int(time.time() * 1000.0)
        params = {
            "txn": job,
            "door": door_ms,
            "lb": number,
            "limit": self.timeout_ms,
            "cpu": self.work_ms,
            "ram": 24.5,
            "standing": 0.5,
            "content": base64.b64encode(job.encode()).decode(),
        }
        if self.keyed:
            params["unique"] = f"{self.world.random.getrandbits(128):032x}"
        message = {"jsonrpc": "2.0", "id": connection["last"], "method": self.class_name, "params": params}
        body = json.dumps(message).encode()
        connection["jobs"][connection["last"]] = job
        self.due_at[job] = (door_ms + self.timeout_ms + self.slack_ms) / 1000.0
        self.log(f"{job} is sent")
        connection["sock"].sendall(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        return job

    def is_over(self, job):
        """Return whether a request was answered or given up."""
        return job in self.answers or time.time() > self.due_at[job]

    def read(self, number, connection):
        try:
            data = connection["sock"].recv(65536)
        except OSError:
            data = b""
        if not data:
            self.world.selector.unregister(connection["sock"])
            connection["sock"].close()
            if self.connections.get(number) is connection:
                del self.connections[number]
            self.problems += [
                f"no answer to {job}: the connection ended" for job in connection["jobs"].values()
            ]
            return
        connection["unread"] += data
        while b"\r\n\r\n" in connection["unread"]:
            head, rest = connection["unread"].split(b"\r\n\r\n", 1)
            length = int(head.split(b":")[1])
            if len(rest) < length:
                return
            connection["unread"] = rest[length:]
            self.handle(connection, json.loads(rest[:length]))

    def handle(self, connection, message):
        if "id" not in message:
            connection["closing"] = True
            return
        job = connection["jobs"].pop(message["id"], None)
        if job is None:
            self.problems.append(f"an answer under the id {message['id']}, which is not open")
            return
        if "result" in message:
            kind = "served"
        else:
            kind = "refused" if message["error"]["code"] == REFUSED else "failed"
        self.answers[job] = kind
        self.log(f"{job} is {kind}")
        if time.time() > self.due_at[job]:
            self.problems.append(f"the answer to {job} came {time.time() - self.due_at[job]:.3f} s too late")

    def count_answers(self):
        counts = {kind: 0 for kind in ("served", "refused", "failed")}
        for kind in self.answers.values():
            counts[kind] += 1
        now = time.time()
        open_late = sum(job not in self.answers and now > due_at for job, due_at in self.due_at.items())
        return {"sent": len(self.due_at), **counts, "unanswered": open_late}


class Server:
    """One server, started as the deploy file says."""

    def __init__(self, folder, name, port, pool, records, settings, with_files=(), cores=1.0):
        self.name = name
        self.log_path = Path(folder) / f"{name}.log"
        configuration = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "pool": pool,
            "records": records,
            "members": f"127.0.0.1:{free_port()}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3200,
            "limits": {"cores": cores, "memory_mb": 192, "sockets": 512},
            "settings": settings,
        }
        path = Path(folder) / f"{name}.json"
        path.write_text(json.dumps(configuration))
        command = RUN + "".join(f" --with {file}" for file in with_files)
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env={**os.environ, "ROUTER_CONFIG": str(path)},
            )

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        """End the process; SIGKILL follows SIGTERM after `stop_ms`."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(3.4)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()

    def log_text(self):
        return self.log_path.read_text(errors="replace")
