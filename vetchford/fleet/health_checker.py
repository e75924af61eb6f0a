"""Health checks: each running instance is asked several times a second whether it is serving."""

import re
import socket
import threading
import time
from collections.abc import Callable, Mapping
from functools import partial

from vetchford.fleet.supervisor import Process
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool

# Between two checks of an instance. The three failures in a row that end its state SERVING (see
# `instance_manager.MAX_FAILED_CHECKS`) then take about 0.6 s if the checks fail at once, which is about as
# long as the notice that a draining instance gives to its clients.
CHECK_INTERVAL_S = 0.2
CHECK_TIMEOUT_S = 1.0  # a busy server replies within a few ms
MAX_CHECK_THREADS = 8  # a check without a reply blocks an eighth of them for a second
MAX_REPLY_BYTES = 4096
REQUEST_BODY = b'{"jsonrpc":"2.0","id":1,"method":"check"}'
REQUEST = b"Content-Length: %d\r\n\r\n%b" % (len(REQUEST_BODY), REQUEST_BODY)
SERVING_FIELD = re.compile(rb'"serving":\s*(true|false)')  # complete values only: replies arrive in parts


class HealthChecker:
    """A thread that submits checks to a pool; at most one check per instance is in progress."""

    def __init__(
        self,
        metrics: Metrics,
        processes: Mapping[str, Process],
        check: Callable[[str, Process], None],
    ) -> None:
        """Check `processes`, which the agent's thread changes; `check` is called on a pool thread."""
        self.metrics = metrics
        self.processes = processes
        self.check = check
        self.in_progress: set[str] = set()  # names of instances that are being checked

    def start(self) -> None:
        """Start the thread of the health checks, which runs until the agent ends."""
        threading.Thread(target=self.run, name="health checks", daemon=True).start()

    def run(self) -> None:
        """Check all instances periodically until the agent ends."""
        # The project's own thread pool: if no thread can be created, a check waits for a busy one.
        pool = ThreadPool(self.metrics, MAX_CHECK_THREADS)
        pool.start()
        while True:
            for name, process in list(self.processes.items()):
                if name not in self.in_progress:
                    self.in_progress.add(name)
                    pool.run(partial(self._check_one, name, process))
            time.sleep(CHECK_INTERVAL_S)

    def _check_one(self, name: str, process: Process) -> None:
        try:
            self.check(name, process)
        finally:
            self.in_progress.discard(name)


def is_ready(address: str) -> bool:
    """Return whether the server at `address` ("host:port") replies in CHECK_TIMEOUT_S that it is serving."""
    host, _, port = address.rpartition(":")
    deadline_s = time.monotonic() + CHECK_TIMEOUT_S
    try:
        with socket.create_connection((host, int(port)), CHECK_TIMEOUT_S) as sock:
            sock.sendall(REQUEST)
            return _read_serving(sock, deadline_s)
    except OSError:
        return False


def _read_serving(sock: socket.socket, deadline_s: float) -> bool:
    """Return the `serving` field of the reply, which may arrive in several parts."""
    received = b""
    while len(received) < MAX_REPLY_BYTES and (remaining_s := deadline_s - time.monotonic()) > 0.0:
        sock.settimeout(remaining_s)  # of the whole reply: a slow sender must not block the thread
        data = sock.recv(MAX_REPLY_BYTES)
        if not data:
            return False
        received += data
        field = SERVING_FIELD.search(received)
        if field is not None:
            return field[1] == b"true"
    return False
