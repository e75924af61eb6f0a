"""The agent's Unix socket: accepts connections of tools and passes requests to the agent's thread."""

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

MAX_REQUEST_BYTES = 1 << 20  # per line
MAX_CONNECTIONS = 64  # more connections wait in the backlog
BACKLOG = 128
TOOL_TIMEOUT_S = 30.0  # for receiving a request, and for its reply
ACCEPT_RETRY_INTERVAL_S = 0.1  # after running out of descriptors or threads
OWNER_ONLY_UMASK = 0o177


class SocketInUseError(VetchfordError, OSError):
    """Another process listens on the socket at `path`."""

    def __init__(self, path: str) -> None:
        """Initialize the error; `path`: of the Unix socket."""
        super().__init__(
            f"another process listens on socket {path}; stop it or change 'socket' in the settings"
        )
        self.path = path


class ToolServer:
    """A server with one thread that accepts connections and one thread per connection."""

    def __init__(
        self,
        path: str,
        submit: Callable[[Any, Callable[[EncodedReply], None]], None],
        metrics: Metrics,
    ) -> None:
        """Listen on `path`; `submit` receives each decoded request and a function to call with the reply.

        Raises OSError if the socket cannot be bound.
        """
        self.path = path
        self.submit = submit
        self.metrics = metrics
        self.sock = listen(path)
        self.free_connections = threading.Semaphore(MAX_CONNECTIONS)

    def start(self) -> None:
        """Start the thread that accepts connections until the agent ends."""
        threading.Thread(target=self._accept, name="tool server", daemon=True).start()

    def close(self) -> None:
        """Remove the socket file, so that tools see immediately that no agent is running."""
        with contextlib.suppress(FileNotFoundError):  # an operator removed it
            os.unlink(self.path)

    def _accept(self) -> None:
        while True:
            self.free_connections.acquire()
            try:
                self._accept_one()
            except (OSError, RuntimeError) as problem:  # out of descriptors or threads: tools wait
                self.free_connections.release()
                self.metrics.log_sampled("accept_failed", problem=str(problem))
                time.sleep(ACCEPT_RETRY_INTERVAL_S)

    def _accept_one(self) -> None:
        # If no thread can be started, the connection is closed when this function's frame is released.
        connection = self.sock.accept()[0]
        threading.Thread(target=self._serve, args=(connection,), name="tool connection", daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            self._answer_requests(sock)
        except Exception as problem:  # a disconnect or a malformed request must not affect other tools
            self.metrics.log_sampled("tool_connection_failed", problem=f"{type(problem).__name__}: {problem}")
        finally:
            self.free_connections.release()

    def _answer_requests(self, sock: socket.socket) -> None:
        sock.settimeout(TOOL_TIMEOUT_S)
        with sock, sock.makefile("rwb") as stream:
            while line := stream.readline(MAX_REQUEST_BYTES):
                replies: Queue[EncodedReply] = Queue()
                self.submit(_decode(line), replies.put)
                stream.write(json.dumps(replies.get(timeout=TOOL_TIMEOUT_S)).encode() + b"\n")
                stream.flush()


def _decode(line: bytes) -> Any:
    """Return the decoded line; None, which the agent refuses, if the line is not JSON."""
    try:
        return json.loads(line)
    except ValueError:
        return None


def listen(path: str) -> socket.socket:
    """Return a listening socket that only the agent's user may connect to, replacing a stale one.

    Raises SocketInUseError if another process listens on it, OSError if the socket cannot be bound.
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
