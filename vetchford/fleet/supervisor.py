"""The processes of an agent's instances: started, found again after a restart, signalled, reaped.

A process is ours if its environment holds the instance's name and the agent's token, and its start time is
the one that was seen: never by its number alone, which the system hands out anew. The agent's thread alone
starts, signals and reaps; any thread may read a `Process`.
"""

import contextlib
import os
import resource
import shutil
import signal
import subprocess
from collections.abc import Container
from dataclasses import dataclass
from typing import NamedTuple

import structlog

from vetchford.fleet.process_table import read_environment, read_start_time

log = structlog.get_logger()

# Environment variables that mark a process as ours.
TOKEN_VARIABLE = "VETCHFORD_TOKEN"
NAME_VARIABLE = "VETCHFORD_INSTANCE"
VERSION_VARIABLE = "VETCHFORD_VERSION"


@dataclass(slots=True)
class Process:
    """A process of an instance, which leads a session of its own."""

    pid: int
    start_time: str  # of the process that had this number when it was seen, in clock ticks
    pidfd: int  # readable once it has ended; names this process even after its number is reused
    child: subprocess.Popen[bytes] | None  # None: adopted, so its status is not ours to read

    def signal(self, number: int) -> None:
        """Send a signal to it alone; nothing happens if it has ended."""
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.pidfd, number)

    def kill(self) -> None:
        """Send SIGKILL to its whole session, or to itself alone if its number is another's by now.

        An adopted one may be gone from the process table before its end is read here, and its number given to
        the leader of another session. What is left of its own session keeps the number from being given out.
        """
        if read_start_time(self.pid) in (self.start_time, None):
            with contextlib.suppress(OSError):  # it leads no session any more
                os.killpg(self.pid, signal.SIGKILL)
        self.signal(signal.SIGKILL)

    def reap(self) -> int | None:
        """Release what is held of it, and return its exit status; None if it was adopted."""
        os.close(self.pidfd)
        return self.child.wait() if self.child is not None else None


class FoundProcess(NamedTuple):
    """A process that an earlier run of the agent started."""

    process: Process
    version: str


@dataclass(frozen=True, slots=True)
class StartOptions:
    """What a process is started with, besides its command."""

    token: str  # the agent's
    environment: dict[str, str]  # in addition to the agent's own
    log: str  # path that its output is appended to
    descriptors: int | None = None  # limit on open files; None: the agent's own


def start_process(command: list[str], name: str, version: str, options: StartOptions) -> Process:
    """Start an instance in a session of its own: a signal to the agent's terminal does not reach it.

    Raises OSError if it cannot be started or cannot be watched.
    """
    marks = {TOKEN_VARIABLE: options.token, NAME_VARIABLE: name, VERSION_VARIABLE: version}
    with open(options.log, "ab") as file:
        child = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=file,
            stderr=file,
            env={**os.environ, **options.environment, **marks},
            start_new_session=True,
        )
    try:
        if options.descriptors is not None:
            limits = (options.descriptors, options.descriptors)
            resource.prlimit(child.pid, resource.RLIMIT_NOFILE, limits)
        return Process(child.pid, read_start_time(child.pid) or "", os.pidfd_open(child.pid), child)
    except OSError:  # no descriptor left: a process that cannot be watched must not run
        child.kill()
        child.wait()
        raise


def find_processes(token: str) -> dict[str, list[FoundProcess]]:
    """Return all processes with this agent's token, by instance. Each holds an open pidfd.

    Only session leaders: the children of an instance inherit its environment.
    """
    found: dict[str, list[FoundProcess]] = {}
    for entry in os.listdir("/proc"):
        if not entry.isdigit() or int(entry) == os.getpid():
            continue
        pid = int(entry)
        start_time = read_start_time(pid)
        environment = read_environment(pid)
        if start_time is None or environment.get(TOKEN_VARIABLE) != token or NAME_VARIABLE not in environment:
            continue
        process = _open_session_leader(pid, start_time)
        if process is not None:
            version = environment.get(VERSION_VARIABLE, "")
            found.setdefault(environment[NAME_VARIABLE], []).append(FoundProcess(process, version))
    return found


def _open_session_leader(pid: int, start_time: str) -> Process | None:
    """Return a process by its number, or None if it leads no session or has ended.

    Raises OSError if it cannot be opened for another reason: one that runs must not be overlooked.
    """
    try:
        if os.getsid(pid) != pid:
            return None
        pidfd = os.pidfd_open(pid)
    except ProcessLookupError:
        return None
    if read_start_time(pid) != start_time:  # the number is another's since
        os.close(pidfd)
        return None
    return Process(pid, start_time, pidfd, None)


def adopt_processes(token: str, names: Container[str]) -> dict[str, FoundProcess]:
    """Return the process that runs of each instance; strays are sent SIGTERM.

    A stray is a second process of an instance, or one of an instance that is not in `names`.
    """
    adopted: dict[str, FoundProcess] = {}
    for name, strays in find_processes(token).items():
        if name in names:
            adopted[name] = strays.pop(0)
        for stray, _ in strays:
            log.warning("stray_process_terminated", instance=name, pid=stray.pid)
            stray.signal(signal.SIGTERM)
            stray.reap()
    return adopted


def rotate_log(path: str, max_bytes: int) -> bool:
    """Move what a log holds to `path`.1 once it is longer than `max_bytes`; return whether it was.

    Its writer appends, and so continues at the start of the emptied file.
    """
    try:
        if os.path.getsize(path) <= max_bytes:
            return False
        shutil.copyfile(path, path + ".1")
        os.truncate(path, 0)
    except OSError:  # not there yet, or no room for the copy: tried again next time
        return False
    return True
