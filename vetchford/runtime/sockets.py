"""Blocking sockets: connecting, gathered writes and the end of a connection."""

import contextlib
import socket
import struct

MAX_PARTS = 512  # in one system call; half of what the system takes
MICROSECONDS_PER_S = 1e6


def time_limit(sock: socket.socket, option: int, timeout_s: float) -> None:
    """Set SO_RCVTIMEO or SO_SNDTIMEO of a blocking socket; a call past it raises BlockingIOError."""
    timeval = struct.pack("ll", int(timeout_s), int(timeout_s % 1.0 * MICROSECONDS_PER_S))
    sock.setsockopt(socket.SOL_SOCKET, option, timeval)


def connected(address: tuple[str, int], timeout_s: float) -> socket.socket:
    """Return a new TCP connection; OSError if there is none within `timeout_s`.

    It costs a third of `socket.create_connection`, which looks names up and polls.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        time_limit(sock, socket.SO_SNDTIMEO, timeout_s)  # holds for connecting as well
        sock.connect(address)
    except OSError:
        sock.close()
        raise
    return sock


def send_parts(sock: socket.socket, parts: list[bytes]) -> None:
    """Write all parts, one behind the other; blocks until the system has taken them."""
    while parts:
        parts = unsent(parts, sock.sendmsg(parts[:MAX_PARTS]))


def send_now(sock: socket.socket, parts: list[bytes]) -> list[bytes]:
    """Write what the system takes without blocking; return the rest."""
    try:
        sent = sock.sendmsg(parts[:MAX_PARTS], [], socket.MSG_DONTWAIT)
    except BlockingIOError:
        return parts
    return unsent(parts, sent)


def unsent(parts: list[bytes], sent: int) -> list[bytes]:
    """Return what is left of the parts after their first `sent` bytes."""
    position = 0
    while position < len(parts) and sent >= len(parts[position]):
        sent -= len(parts[position])
        position += 1
    if sent:
        return [parts[position][sent:], *parts[position + 1 :]]
    return parts[position:]


def shut(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    """Shut a connection down, which wakes whoever reads it; the other side may have been first."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)
