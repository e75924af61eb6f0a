"""Clients that leave at once, or that send at full speed; each method of sending is bounded in time."""

import contextlib
import itertools
import json
import os
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from testkit.fakes.peers import MS_PER_S, RESET_ON_CLOSE

HOSTILE_PREFIX = "bad"
"""The ids of a hostile client's requests begin with it."""
RECEIVE_BYTES = 65_536
TIMEOUT_S = 1.0
MESSAGES_PER_WRITE = 100
PAUSE_S = 0.05

MakeMessage = Callable[[int], bytes]


def framed(body: bytes) -> bytes:
    """Return a message with its header."""
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def request(rpc_id: int, method: str = "read", **fields: Any) -> bytes:
    """Return a request with a new id; `fields` replace those of the request, None leaves a field out."""
    params = {
        "txn": HOSTILE_PREFIX + os.urandom(8).hex(),
        "door": time.time() * MS_PER_S,
        "lb": 99,
        "ram": 10.0,
        "content": "Ym9keQ==",
        **fields,
    }
    present = {key: value for key, value in params.items() if value is not None}
    return framed(json.dumps({"jsonrpc": "2.0", "id": rpc_id, "method": method, "params": present}).encode())


class HostileClient:
    """Connects again and again to one server."""

    def __init__(self, port: int) -> None:
        """Use the server at this loopback port."""
        self.port = port

    def connect(self) -> socket.socket:
        """Return a new connection."""
        return socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S)

    def send_and_reset(self, message: bytes, after_s: float = 0.005) -> None:
        """Send one message and reset the connection shortly after."""
        sock = self.connect()
        sock.sendall(message)
        time.sleep(after_s)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()

    def send_and_half_close(self, message: bytes) -> None:
        """Send one message, shut down sending, and read until the server ends the connection."""
        with contextlib.suppress(OSError), self.connect() as sock:
            sock.sendall(message)
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(RECEIVE_BYTES):
                pass

    def flood(self, make_message: MakeMessage, seconds: float, reads: bool = True) -> None:
        """Send messages at full speed for this time, on a new connection whenever one is ended."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError):
                self._flood_connection(make_message, until_s, reads)

    def _flood_connection(self, make_message: MakeMessage, until_s: float, reads: bool) -> None:
        numbers = itertools.count(1)
        with self.connect() as sock:
            if reads:
                threading.Thread(target=_read_to_end, args=(sock,), daemon=True).start()
            while time.monotonic() < until_s:
                sock.sendall(b"".join(make_message(next(numbers)) for _ in range(MESSAGES_PER_WRITE)))

    def write_slowly(
        self, count: int, first_bytes: bytes | Callable[[], bytes], more_bytes: bytes, seconds: float
    ) -> None:
        """Open `count` connections, send each its first bytes, and more of them now and then."""
        until_s = time.monotonic() + seconds
        with contextlib.ExitStack() as stack:
            sockets = []
            for _ in range(count):
                with contextlib.suppress(OSError):
                    sockets.append(stack.enter_context(self.connect()))
                    sockets[-1].setblocking(False)
                    sockets[-1].send(first_bytes if isinstance(first_bytes, bytes) else first_bytes())
                if time.monotonic() > until_s:
                    return
            while time.monotonic() < until_s:
                for sock in sockets:
                    with contextlib.suppress(OSError):
                        sock.send(more_bytes)
                time.sleep(PAUSE_S)


def _read_to_end(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while sock.recv(RECEIVE_BYTES):
            pass
