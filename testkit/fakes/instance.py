"""A fake instance that drains correctly or fails in a given way.

Usage: python -m testkit.fakes.instance ADDRESS BEHAVIOUR

BEHAVIOUR is one of:
    good    becomes ready, and drains on SIGTERM
    hang    does not exit on SIGTERM
    deaf    never becomes ready
    crash   exits at once
    early   exits by itself after 1 s
"""

import contextlib
import os
import signal
import socket
import sys
import threading
import time

CRASH_STATUS = 3
EARLY_EXIT_DELAY_S = 1.0
DRAIN_S = 0.1
HANG_S = 1e6
MAX_REQUEST_BYTES = 4096


def main(address: str, behaviour: str) -> int:
    """Answer health checks until SIGTERM and return the exit status."""
    if behaviour == "crash":
        return CRASH_STATUS
    draining = threading.Event()
    signal.signal(signal.SIGTERM, lambda *arguments: draining.set())
    host, port = address.split(":")
    listener = socket.create_server((host, int(port)), reuse_port=False)

    def is_ready() -> bool:
        return not draining.is_set() and behaviour != "deaf"

    def serve() -> None:
        while True:
            sock, _ = listener.accept()
            with contextlib.suppress(OSError), sock:
                sock.recv(MAX_REQUEST_BYTES)
                serving = b"true" if is_ready() else b"false"
                body = b'{"jsonrpc":"2.0","id":1,"result":{"serving":%b}}' % serving
                sock.sendall(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    threading.Thread(target=serve, daemon=True).start()
    print(f"serving pid={os.getpid()} version={os.environ.get('VETCHFORD_VERSION')}", flush=True)
    if behaviour == "early":
        time.sleep(EARLY_EXIT_DELAY_S)
        return 0
    draining.wait()
    time.sleep(HANG_S if behaviour == "hang" else DRAIN_S)
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:3]))
