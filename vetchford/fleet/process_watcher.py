"""Waits for the ends of processes."""

import os
import select
import threading
from collections.abc import Callable, Mapping

from vetchford.fleet.supervisor import Process

POLL_TIMEOUT_MS = 1000  # then the table is read again, in case a wake-up was missed
REPORTED_POLL_TIMEOUT_MS = 20  # while an end that was reported has not been taken out of the table
WAKE_READ_BYTES = 4096


class ProcessWatcher:
    """A thread that reports each process of a table once, as it has ended."""

    def __init__(self, processes: Mapping[str, Process], on_exit: Callable[[str, Process], None]) -> None:
        """Take the table of processes, which the agent's thread changes, and what the watcher calls."""
        self.processes = processes
        self.on_exit = on_exit
        self.wake_read, self.wake_write = os.pipe()
        self.reported: set[int] = set()  # ids of objects in the table; emptied as the agent removes them

    def start(self) -> None:
        """Begin to watch; it continues until the agent ends."""
        threading.Thread(target=self.run, name="process watcher", daemon=True).start()

    def wake(self) -> None:
        """Have the table read again: a process was added. Any thread may call it."""
        os.write(self.wake_write, b"x")

    def run(self) -> None:
        """Watch for good."""
        while True:
            self._wait_once()

    def _wait_once(self) -> None:
        processes = list(self.processes.items())
        self.reported &= {id(process) for _, process in processes}
        poll = select.poll()
        poll.register(self.wake_read, select.POLLIN)
        by_descriptor: dict[int, tuple[str, Process]] = {}
        for name, process in processes:
            if id(process) not in self.reported:
                poll.register(process.pidfd, select.POLLIN)
                by_descriptor[process.pidfd] = (name, process)
        timeout = REPORTED_POLL_TIMEOUT_MS if self.reported else POLL_TIMEOUT_MS
        for descriptor, _ in poll.poll(timeout):
            if descriptor == self.wake_read:
                os.read(self.wake_read, WAKE_READ_BYTES)
                continue
            name, process = by_descriptor[descriptor]
            self.reported.add(id(process))
            self.on_exit(name, process)
