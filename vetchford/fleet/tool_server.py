"""The agent's Unix socket: takes the connections of tools and carries requests to the agent's thread."""

import contextlib
import json
import os
import socket
import threading
import time
from collections.abc import Callable
from queue import Queue
from typing import Any

from vetchford.errors import VetchfordError
from vetchford.fleet.agent_messages import EncodedReply
from vetchford.runtime.metrics import Metrics

MAX_REQUEST_BYTES = 1 << 20  # of one line
MAX_CONNECTIONS = 64  # tools at once; more wait in the backlog
BACKLOG = 128
TOOL_TIMEOUT_S = 30.0  # to wait for a request, and for its reply
ACCEPT_RETRY_INTERVAL_S = 0.1  # where descriptors or threads ran out
OWNER_ONLY_UMASK = 0o177


class SocketInUseError(VetchfordError, OSError):
    """Another process listens at `path`."""

    def __init__(self, path: str) -> None:
        """`path`: of the Unix socket."""
        super().__init__(f"somebody listens at {path}")
        self.path = path


class ToolServer:
    """One thread that accepts, and one for each connection."""

    def __init__(
        self,
        path: str,
        submit: Callable[[Any, Callable[[EncodedReply], None]], None],
        metrics: Metrics,
    ) -> None:
        """`submit`: takes a decoded request and what to call with its reply.

        Raises OSError if the socket cannot be had.
        """
        self.path = path
        self.submit = submit
        self.metrics = metrics
        self.sock = listen(path)
        self.free_connections = threading.Semaphore(MAX_CONNECTIONS)

    def start(self) -> None:
        """Begin to accept; it continues until the agent ends."""
        threading.Thread(target=self._accept, name="tool server", daemon=True).start()

    def close(self) -> None:
        """Remove the socket, so that tools see at once that no agent runs."""
        with contextlib.suppress(FileNotFoundError):  # an operator removed it
            os.unlink(self.path)

    def _accept(self) -> None:
        while True:
            self.free_connections.acquire()
            try:
                self._accept_one()
            except (OSError, RuntimeError) as problem:  # descriptors or threads ran out: tools wait
                self.free_connections.release()
                self.metrics.log_sampled("accept_failed", problem=str(problem))
                time.sleep(ACCEPT_RETRY_INTERVAL_S)

    def _accept_one(self) -> None:
        # The connection is closed with this frame, if no thread is to be had for it.
        connection = self.sock.accept()[0]
        threading.Thread(target=self._serve, args=(connection,), name="tool connection", daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            self._answer_requests(sock)
        except Exception as problem:  # a tool that disconnects, or a malformed line: no concern of others
            self.metrics.log_sampled("tool_connection_failed", problem=f"{type(problem).__name__}: {problem}")
        finally:
            self.free_connections.release()

    def _answer_requests(self, sock: socket.socket) -> None:
        sock.settimeout(TOOL_TIMEOUT_S)
        with sock, sock.makefile("rwb") as lines:
            while line := lines.readline(MAX_REQUEST_BYTES):
                replies: Queue[EncodedReply] = Queue()
                self.submit(_decode(line), replies.put)
                lines.write(json.dumps(replies.get(timeout=TOOL_TIMEOUT_S)).encode() + b"\n")
                lines.flush()


def _decode(line: bytes) -> Any:
    """Return the request of a line; None, which the agent refuses, if it is no JSON."""
    try:
        return json.loads(line)
    except ValueError:
        return None


def listen(path: str) -> socket.socket:
    """Return a listening socket for the agent's own user, replacing a stale one.

    Raises SocketInUseError if another process listens there, OSError if the socket cannot be bound.
    """
    with socket.socket(socket.AF_UNIX) as probe:
        if probe.connect_ex(path) == 0:
            raise SocketInUseError(path)
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)
    sock = socket.socket(socket.AF_UNIX)
    previous_umask = os.umask(OWNER_ONLY_UMASK)
    try:
        sock.bind(path)
    finally:
        os.umask(previous_umask)
    sock.listen(BACKLOG)
    return sock
