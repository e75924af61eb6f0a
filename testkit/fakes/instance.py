"""An instance that keeps the drain contract or breaks it.

Usage: python -m testkit.fakes.instance ADDRESS BEHAVIOUR

BEHAVIOUR: good; hang (never ends on SIGTERM); deaf (never ready); crash (ends at once); early (after 1 s).
"""

import contextlib
import os
import signal
import socket
import sys
import threading
import time


def main(address: str, behaviour: str) -> int:
    if behaviour == "crash":
        return 3
    leaving = threading.Event()
    signal.signal(signal.SIGTERM, lambda *given: leaving.set())
    host, port = address.split(":")
    listener = socket.create_server((host, int(port)), reuse_port=False)

    def serve() -> None:
        while True:
            sock, _ = listener.accept()
            with contextlib.suppress(OSError), sock:
                sock.recv(4096)
                good = b"false" if leaving.is_set() or behaviour == "deaf" else b"true"
                body = b'{"jsonrpc":"2.0","id":1,"result":{"serving":%b}}' % good
                sock.sendall(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    threading.Thread(target=serve, daemon=True).start()
    print(f"serving pid={os.getpid()} version={os.environ.get('VETCHFORD_VERSION')}", flush=True)
    if behaviour == "early":
        time.sleep(1.0)
        return 0
    leaving.wait()
    time.sleep(1e6 if behaviour == "hang" else 0.1)
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:3]))
