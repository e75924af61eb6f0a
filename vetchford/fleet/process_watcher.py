"""Detection of exits of processes."""

import os
import select
import threading
from collections.abc import Callable, Mapping

from vetchford.fleet.supervisor import Process

POLL_TIMEOUT_MS = 1000  # the process table is read again after this, in case a wake-up was missed
REPORTED_POLL_TIMEOUT_MS = 20  # while a process whose exit was reported is still in the table
WAKE_READ_BYTES = 4096


class ProcessWatcher:
    """A thread that reports the exit of each process in a table once."""

    def __init__(self, processes: Mapping[str, Process], on_exit: Callable[[str, Process], None]) -> None:
        """Watch `processes`, which the agent's thread changes; `on_exit` runs on the watcher's thread."""
        self.processes = processes
        self.on_exit = on_exit
        self.wake_read, self.wake_write = os.pipe()
        self.reported: set[int] = set()  # `id()` of reported processes that are still in the table

    def start(self) -> None:
        """Start the watcher's thread, which runs until the agent ends."""
        threading.Thread(target=self.run, name="process watcher", daemon=True).start()

    def wake(self) -> None:
        """Make the watcher read the table again after a process was added. Any thread may call this."""
        os.write(self.wake_write, b"x")

    def run(self) -> None:
        """Report exits until the agent ends."""
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
