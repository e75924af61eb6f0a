"""Gathered writes on blocking sockets, and their end."""

import contextlib
import socket
import struct

MOST_PARTS = 512  # half of what the system takes in one call


def time_limit(sock: socket.socket, option: int, seconds: float) -> None:
    """The system's own limit for one way of a blocking socket; past it a call raises BlockingIOError."""
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", int(seconds), int(seconds % 1.0 * 1e6)))


def send_parts(sock: socket.socket, parts: list[bytes]) -> None:
    """Writes all of it; a short write goes on where it ended."""
    at = 0
    while at < len(parts):
        sent = sock.sendmsg(parts[at : at + MOST_PARTS])
        while at < len(parts) and sent >= len(parts[at]):
            sent -= len(parts[at])
            at += 1
        if sent:
            parts[at] = memoryview(parts[at])[sent:]


def shut(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    """Ends both ways at once and wakes whoever reads it; the other side may have been first."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)
