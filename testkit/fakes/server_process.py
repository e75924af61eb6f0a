"""A server process between fakes."""

import json
import os
import re
import shlex
import signal
import socket
import subprocess
import sys
import threading
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

from testkit.fakes.peers import (
    SETTINGS,
    WAIT_TIMEOUT_S,
    ScriptedClient,
    ScriptedRecordsService,
    ScriptedWorkerPool,
    registry_socket,
)

LIMITS = {"cores": 1.0, "memory_mb": 192}
MAX_REPORT_BYTES = 64


@dataclass(frozen=True, slots=True)
class ServerOptions:
    """Options of a server under test.

    `up` and `records_up` say whether the worker pool and the records service answer from the start, `cold`
    whether the pool's cores are cold. `sockets` is the limit in the server's configuration, `max_files` the
    limit that the system sets, if any. `arguments` are those of `vetchford serve`. Without `has_records` the
    configuration names no records service.
    """

    up: bool = True
    cold: bool = False
    records_up: bool = True
    has_records: bool = True
    stop_ms: int = 8000
    sockets: int = 128
    max_files: int | None = None
    listen: str = "127.0.0.1:0"
    arguments: tuple[str, ...] = ()


DEFAULT_OPTIONS = ServerOptions()


class ServerProcess:
    """A server process connected to a fake worker pool, a fake records service and a registry socket."""

    COMMAND: tuple[str, ...] = (sys.executable, "-m", "vetchford", "serve")
    if os.environ.get("VETCHFORD_RUN"):  # the start command of the release build
        COMMAND = ("/bin/sh", "-c", os.environ["VETCHFORD_RUN"])

    def __init__(
        self,
        folder: Path,
        options: ServerOptions = DEFAULT_OPTIONS,
        pool: ScriptedWorkerPool | None = None,
        **settings: Any,
    ) -> None:
        """Start the server and wait until it listens and, if its pool is `up`, has reported as ready.

        Args:
            folder: for the configuration.
            options: of the server.
            pool: the worker pool; without it, one that does as the test says.
            settings: platform settings that replace the default ones.
        """
        self.options = options
        self.pool = pool or ScriptedWorkerPool(options.cold, options.up)
        self.records = ScriptedRecordsService(options.records_up)
        self.members = registry_socket()
        self.config = folder / "config.json"
        self.settings = settings
        self.write_config(options.listen)
        self.log: list[str] = []
        self.process = self._start()
        self.port = self._wait_for_port()
        self.log_reader = threading.Thread(target=self._read_log, daemon=True)
        self.log_reader.start()
        if options.up:
            self.pool.take("bind")
            assert self.receive_report() == ["HB", "n1", "UP"]

    def _start(self) -> subprocess.Popen[str]:
        return subprocess.Popen(
            self._command(),
            stderr=subprocess.STDOUT,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "ROUTER_CONFIG": str(self.config)},
        )

    def _command(self) -> tuple[str, ...]:
        arguments = self.options.arguments
        if self.COMMAND[0] == sys.executable:
            command = (*self.COMMAND, *arguments)
        else:
            command = (*self.COMMAND[:-1], " ".join((self.COMMAND[-1], *map(shlex.quote, arguments))))
        if self.options.max_files:
            return ("/bin/sh", "-c", f"ulimit -n {self.options.max_files}; exec {shlex.join(command)}")
        return command

    def _wait_for_port(self) -> int:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self.log.append(line)
            if found := re.search(r"listen=\S+?:(\d+)", line):
                return int(found[1])
        raise AssertionError(f"the server exited before it listened: {self.log}")

    def _read_log(self) -> None:
        assert self.process.stdout is not None
        self.log.extend(self.process.stdout)

    def write_config(self, listen: str = "127.0.0.1:0") -> None:
        """Write the configuration; a running server rereads the file on SIGHUP."""
        configuration = {
            "name": "n1",
            "listen": listen,
            "pool": self.pool.address,
            "records": self.records.address if self.options.has_records else None,
            "members": f"127.0.0.1:{self.members.getsockname()[1]}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": self.options.stop_ms,
            "limits": {**LIMITS, "sockets": self.options.sockets},
            "settings": {**SETTINGS, **self.settings},
        }
        self.config.write_text(json.dumps(configuration))

    def move_services(self) -> tuple[ScriptedWorkerPool, ScriptedRecordsService, socket.socket]:
        """Reload with new fakes at other addresses and return the old fakes; the pool's runs continue."""
        old = self.pool, self.records, self.members
        self.pool = ScriptedWorkerPool()
        self.records = ScriptedRecordsService()
        self.members = registry_socket()
        self.pool.notices = old[0].notices
        self.pool.last_number = old[0].last_number
        self.write_config()
        self.process.send_signal(signal.SIGHUP)
        return old

    def connect_client(self) -> ScriptedClient:
        """Return a new client connection."""
        return ScriptedClient(self.port)

    def receive_report(self) -> list[str]:
        """Return the words of the next readiness report."""
        return self.members.recv(MAX_REPORT_BYTES).decode().split()

    def stop(self) -> str:
        """Drain the server, check that it exits with status 0, and return its log."""
        self.process.send_signal(signal.SIGTERM)
        assert self.process.wait(WAIT_TIMEOUT_S) == 0, "".join(self.log)
        self.log_reader.join(WAIT_TIMEOUT_S)
        return "".join(self.log)

    def __enter__(self) -> Self:
        """Return the running server."""
        return self

    def __exit__(self, *problem: object) -> None:
        """Kill the server; fail if it logged an internal error."""
        self.process.kill()
        self.process.wait()
        assert "part_broke" not in "".join(self.log), "".join(self.log)
