"""Gathered writes on blocking sockets, and their end."""

import contextlib
import socket
import struct

MOST_PARTS = 512  # half of what the system takes in one call


def time_limit(sock: socket.socket, option: int, seconds: float) -> None:
    """The system's own limit for one way of a blocking socket; past it a call raises BlockingIOError."""
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", int(seconds), int(seconds % 1.0 * 1e6)))


def connected(address: tuple[str, int], seconds: float) -> socket.socket:
    """A new connection; a third of the standard library's cost, which asks for names and polls."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        time_limit(sock, socket.SO_SNDTIMEO, seconds)  # for connecting as well
        sock.connect(address)
    except OSError:
        sock.close()
        raise
    return sock


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


def send_now(sock: socket.socket, parts: list[bytes]) -> list[bytes]:
    """Writes what the system takes without waiting; returns the rest."""
    try:
        sent = sock.sendmsg(parts[:MOST_PARTS], [], socket.MSG_DONTWAIT)
    except BlockingIOError:
        return parts
    at = 0
    while at < len(parts) and sent >= len(parts[at]):
        sent -= len(parts[at])
        at += 1
    return [memoryview(parts[at])[sent:], *parts[at + 1 :]] if sent else parts[at:]


def shut(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    """Ends both ways at once and wakes whoever reads it; the other side may have been first."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)
