"""Processes of an agent's instances: start, find again after a restart of the agent, signal and reap.

A process belongs to the agent if its environment holds an instance's name and the agent's token. A process is
identified by pid and start time, never by its pid alone, which the system reuses. Only the agent's thread
starts, signals and reaps processes; any thread may read a `Process`.
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

# Environment variables that identify a process as an instance of an agent.
TOKEN_VARIABLE = "VETCHFORD_TOKEN"
NAME_VARIABLE = "VETCHFORD_INSTANCE"
VERSION_VARIABLE = "VETCHFORD_VERSION"


@dataclass(slots=True)
class Process:
    """A process of an instance; it leads its own session."""

    pid: int
    start_time: str  # in clock ticks, as read when the process was started or found
    pidfd: int  # readable once the process has exited; refers to it even if its pid is reused
    child: subprocess.Popen[bytes] | None  # None: adopted, so its exit status cannot be read

    def signal(self, signal_number: int) -> None:
        """Send a signal to this process alone; do nothing if it has exited."""
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.pidfd, signal_number)

    def kill(self) -> None:
        """Send SIGKILL to the whole session, or to the process alone if its pid was reused.

        An adopted process may leave the process table before its exit is noticed here, and its pid may be
        given to the leader of another session. While its own session has processes, the pid is not reused.
        """
        if read_start_time(self.pid) in (self.start_time, None):
            with contextlib.suppress(OSError):  # no process of the session is left
                os.killpg(self.pid, signal.SIGKILL)
        self.signal(signal.SIGKILL)

    def reap(self) -> int | None:
        """Close the pidfd and return the exit status; None for an adopted process."""
        os.close(self.pidfd)
        return self.child.wait() if self.child is not None else None


class FoundProcess(NamedTuple):
    """A process that an earlier agent process started."""

    process: Process
    version: str


@dataclass(frozen=True, slots=True)
class StartOptions:
    """Options for starting a process, besides its command."""

    token: str  # of the agent
    environment: dict[str, str]  # added to the agent's environment
    log: str  # path of the file that its output is appended to
    descriptors: int | None = None  # limit on open files; None: the agent's limit


def start_process(command: list[str], name: str, version: str, options: StartOptions) -> Process:
    """Start an instance in its own session, so that signals from the agent's terminal do not reach it.

    Raises OSError if the process cannot be started or no pidfd can be opened for it.
    """
    identity = {TOKEN_VARIABLE: options.token, NAME_VARIABLE: name, VERSION_VARIABLE: version}
    with open(options.log, "ab") as file:
        child = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=file,
            stderr=file,
            env={**os.environ, **options.environment, **identity},
            start_new_session=True,
        )
    try:
        if options.descriptors is not None:
            limits = (options.descriptors, options.descriptors)
            resource.prlimit(child.pid, resource.RLIMIT_NOFILE, limits)
        return Process(child.pid, read_start_time(child.pid) or "", os.pidfd_open(child.pid), child)
    except OSError:  # out of descriptors: without a pidfd its exit would go unnoticed
        child.kill()
        child.wait()
        raise


def find_processes(token: str) -> dict[str, list[FoundProcess]]:
    """Return all processes with this agent's token, by instance name. Each holds an open pidfd.

    Only session leaders are returned, as the children of an instance inherit its environment.
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
    """Return the process with this pid and start time; None if it leads no session or has exited.

    Raises OSError if a running process cannot be opened, as it must not be overlooked.
    """
    try:
        if os.getsid(pid) != pid:
            return None
        pidfd = os.pidfd_open(pid)
    except ProcessLookupError:
        return None
    if read_start_time(pid) != start_time:  # the pid was reused meanwhile
        os.close(pidfd)
        return None
    return Process(pid, start_time, pidfd, None)


def adopt_processes(token: str, names: Container[str]) -> dict[str, FoundProcess]:
    """Return one running process of each instance in `names`; send SIGTERM to all stray processes.

    A stray process is a second process of an instance, or one of an instance that is not in `names`.
    """
    adopted: dict[str, FoundProcess] = {}
    for name, processes in find_processes(token).items():
        if name in names:
            adopted[name] = processes.pop(0)
        for stray, _ in processes:
            log.warning("stray_process_terminated", instance=name, pid=stray.pid)
            stray.signal(signal.SIGTERM)
            stray.reap()
    return adopted


def rotate_log(path: str, max_bytes: int) -> bool:
    """Move the contents of a log over `max_bytes` to `path`.1; return whether the log was rotated.

    The instance opened the log for appending, so it continues at the start of the emptied file.
    """
    try:
        if os.path.getsize(path) <= max_bytes:
            return False
        shutil.copyfile(path, path + ".1")
        os.truncate(path, 0)
    except OSError:  # no log yet, or no space for the copy: retried at the next check
        return False
    return True
