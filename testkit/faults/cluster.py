"""What clusters of agents and clusters of servers have in common: processes that a test stops and resumes."""

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
"""Below the range that the system hands out for outgoing connections, so that none of these takes one."""
PORTS_PER_PROCESS = 100
PORT_BLOCKS = 50
"""Tests in several processes begin to search in different blocks of ports."""
POLL_INTERVAL_S = 0.05
"""Conditions on processes read their logs or ask them."""


def free_ports(count: int) -> list[int]:
    """Return `count` ports of loopback on which nobody listens.

    Raises:
        RuntimeError: there are not as many.
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
    raise RuntimeError("no free ports")


class Cluster:
    """Processes of one fleet by name."""

    def __init__(self, folder: pathlib.Path, names: list[str]) -> None:
        """Name the processes; none is started."""
        self.folder = folder
        self.names = names
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def wait_until(self, condition: Callable[[], Any], timeout_s: float, what: str = "") -> None:
        """Return once `condition()` is true; fail with `what` after `timeout_s`."""
        wait_until(condition, what, timeout_s, POLL_INTERVAL_S)

    def kill(self, name: str) -> None:
        """Kill the process and wait for its end."""
        self.running[name].kill()
        self.running[name].wait()
        del self.running[name]

    def freeze(self, name: str) -> None:
        """Stop the process as it stands (SIGSTOP)."""
        os.kill(self.running[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on (SIGCONT)."""
        os.kill(self.running[name].pid, signal.SIGCONT)

    def kill_all(self) -> None:
        """Kill every process that still runs."""
        for process in self.running.values():
            process.kill()
            process.wait()
