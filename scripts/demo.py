"""Starts a server between fakes, sends a request, and prints the messages of each side.

Run by `scripts/demo`. Worker pool, records service and registry are fakes of `testkit` on loopback.
"""

import json
import tempfile
from pathlib import Path

from testkit.fakes.server_process import ServerProcess


def main() -> None:
    """Print the request, the command to the fake worker pool, the reply, and the server's log."""
    with tempfile.TemporaryDirectory() as folder, ServerProcess(Path(folder)) as server:
        print(f"server listens on 127.0.0.1:{server.port}, process {server.process.pid}")
        client = server.connect_client()
        request_id = client.request(1, method="read")
        print(f"client sent request {request_id} of class 'read'")
        _, spawn = server.pool.take("spawn")
        print(f"worker pool was asked to run: {json.dumps(spawn)}")
        server.pool.finish(spawn["job"], b"hello")
        print(f"client received: {json.dumps(client.receive())}")
        print("server is told to stop (SIGTERM); its log:")
        print(server.stop().rstrip())


if __name__ == "__main__":
    main()
