"""Health checks: asks each running instance, several times a second, whether it serves."""

import re
import socket
import threading
import time
from collections.abc import Callable, Mapping
from functools import partial

from vetchford.fleet.supervisor import Process
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import ThreadPool

CHECK_INTERVAL_S = 0.2  # between the checks of one instance: three failures take as long as a drain's notice
CHECK_TIMEOUT_S = 1.0  # a server that is only busy answers in a few ms
MAX_CHECK_THREADS = 8  # one check that hangs holds up an eighth of them for a second
MAX_REPLY_BYTES = 4096
REQUEST_BODY = b'{"jsonrpc":"2.0","id":1,"method":"check"}'
REQUEST = b"Content-Length: %d\r\n\r\n%b" % (len(REQUEST_BODY), REQUEST_BODY)
SERVING_FIELD = re.compile(rb'"serving":\s*(true|false)')  # complete values: a part of one is no answer yet


class HealthChecker:
    """A thread that hands the checks to a pool; at most one check of an instance is in progress."""

    def __init__(
        self,
        metrics: Metrics,
        processes: Mapping[str, Process],
        check: Callable[[str, Process], None],
    ) -> None:
        """Take the table of processes, which the agent's thread changes, and what a pool thread calls."""
        self.metrics = metrics
        self.processes = processes
        self.check = check
        self.in_progress: set[str] = set()  # names; emptied by the ends of the checks

    def start(self) -> None:
        """Begin the checks; they continue until the agent ends."""
        threading.Thread(target=self.run, name="health checks", daemon=True).start()

    def run(self) -> None:
        """Check all instances again and again."""
        # A pool of our own: if the system has no thread to give, a check waits for one that is busy.
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
    """Return whether the server at `address` ("host:port") says within CHECK_TIMEOUT_S that it serves."""
    host, _, port = address.rpartition(":")
    deadline_s = time.monotonic() + CHECK_TIMEOUT_S
    try:
        with socket.create_connection((host, int(port)), CHECK_TIMEOUT_S) as sock:
            sock.sendall(REQUEST)
            return _read_serving(sock, deadline_s)
    except OSError:
        return False


def _read_serving(sock: socket.socket, deadline_s: float) -> bool:
    """Read until the answer is complete, in however many pieces it arrives."""
    received = b""
    while len(received) < MAX_REPLY_BYTES and (remaining_s := deadline_s - time.monotonic()) > 0.0:
        sock.settimeout(remaining_s)  # for the whole answer: a byte a second must not hold up a thread
        data = sock.recv(MAX_REPLY_BYTES)
        if not data:
            return False
        received += data
        answer = SERVING_FIELD.search(received)
        if answer is not None:
            return answer[1] == b"true"
    return False
