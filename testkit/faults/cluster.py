"""Common base of agent clusters and server clusters: processes that a test kills, stops and resumes."""

import os
import pathlib
import signal
import socket
import subprocess
from collections.abc import Callable
from typing import Any

from testkit.faults.waiting import wait_until

PROJECT_ROOT = pathlib.Path(__file__).parent.parent.parent
FIRST_PORT = 21_000
LAST_PORT = 32_000
"""Below the ephemeral port range, so that no outgoing connection takes one of these ports."""
PORTS_PER_PROCESS = 100
PORT_BLOCKS = 50
"""Test processes that run in parallel start their search in different blocks of ports."""
POLL_INTERVAL_S = 0.05
"""Longer than in `waiting`: conditions on processes read log files or send requests."""


def free_ports(count: int) -> list[int]:
    """Return `count` loopback ports on which no process listens.

    Raises:
        RuntimeError: fewer than `count` ports are free.
    """
    found: list[int] = []
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_PROCESS
    for port in range(first, LAST_PORT):
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError(f"only {len(found)} of {count} ports are free between {first} and {LAST_PORT}")


class Cluster:
    """The processes of one fleet, by name."""

    def __init__(self, folder: pathlib.Path, names: list[str]) -> None:
        """Create a cluster of these names without starting a process."""
        self.folder = folder
        self.names = names
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def wait_until(self, condition: Callable[[], Any], timeout_s: float, what: str = "") -> None:
        """Wait until `condition()` is true; fail with `what` after `timeout_s`."""
        wait_until(condition, what, timeout_s, POLL_INTERVAL_S)

    def kill(self, name: str) -> None:
        """Kill the process and wait until it has exited."""
        self.running[name].kill()
        self.running[name].wait()
        del self.running[name]

    def freeze(self, name: str) -> None:
        """Suspend the process (SIGSTOP)."""
        os.kill(self.running[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a frozen process (SIGCONT)."""
        os.kill(self.running[name].pid, signal.SIGCONT)

    def kill_all(self) -> None:
        """Kill every running process."""
        for process in self.running.values():
            process.kill()
            process.wait()
