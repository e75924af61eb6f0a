"""The processes of an agent's instances: started, found again after a restart, told to leave, seen to end.

A process is ours if its environment holds the instance's name and the agent's token, and its start time is
the one that was seen: never by its number alone, which the system hands out anew.
"""

import contextlib
import os
import resource
import shutil
import signal
import subprocess
from dataclasses import dataclass

TOKEN, NAME, VERSION = "VETCHFORD_TOKEN", "VETCHFORD_INSTANCE", "VETCHFORD_VERSION"


@dataclass(slots=True)
class Process:
    pid: int
    began: str  # the system's start time of that number, in ticks
    pidfd: int  # readable once it has ended; names this process whatever its number comes to mean
    child: subprocess.Popen | None  # None: adopted, and its status goes to another

    def signal(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):  # it has ended, and its end is about to be read
            signal.pidfd_send_signal(self.pidfd, number)

    def kill(self) -> None:
        """All of its session; itself alone where its number is another's by now.

        An adopted one may be gone from the process table before its end is read here, and its number given to
        the leader of another session. What is left of its own session keeps the number from being given out.
        """
        if began(self.pid) in (self.began, None):
            with contextlib.suppress(OSError):  # it leads none any more
                os.killpg(self.pid, signal.SIGKILL)
        self.signal(signal.SIGKILL)

    def ended(self) -> int | None:
        """Its status, where it is our child's; closes what was held of it."""
        os.close(self.pidfd)
        return self.child.wait() if self.child is not None else None


def began(pid: int) -> str | None:
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8", errors="replace") as file:
            return file.read().rpartition(")")[2].split()[19]
    except (OSError, IndexError):
        return None


def environment(pid: int) -> dict[str, str]:
    """Empty where it can't be read: another user's, or gone."""
    try:
        with open(f"/proc/{pid}/environ", "rb") as file:
            entries = file.read().split(b"\0")
    except OSError:
        return {}
    pairs = (entry.decode("utf-8", "replace").partition("=") for entry in entries if b"=" in entry)
    return {key: value for key, _, value in pairs}


def memory_kb(pid: int) -> int:
    """Resident; 0 where it can't be told."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024
    except (OSError, ValueError, IndexError):
        return 0


def turn_over(path: str, most: int) -> bool:
    """Moves what a log holds to `path`.1 once it is over `most` bytes; its writer appends, so it goes on at
    0.
    """
    try:
        if os.path.getsize(path) <= most:
            return False
        shutil.copyfile(path, path + ".1")
        os.truncate(path, 0)
    except OSError:  # not there yet, or no room for the copy: tried again with the next look
        return False
    return True


def start(
    command: list[str],
    name: str,
    version: str,
    token: str,
    extra: dict[str, str],
    log: str,
    descriptors: int | None = None,
) -> Process:
    """In a session of its own: a signal to the agent's terminal reaches none of them. Raises OSError."""
    told = {**os.environ, **extra, TOKEN: token, NAME: name, VERSION: version}
    with open(log, "ab") as file:
        child = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=file, stderr=file, env=told, start_new_session=True
        )
    try:
        if descriptors is not None:
            resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        return Process(child.pid, began(child.pid) or "", os.pidfd_open(child.pid), child)
    except OSError:  # no descriptor left: one that can't be watched must not run
        child.kill()
        child.wait()
        raise


def find(token: str) -> dict[str, list[tuple[Process, str]]]:
    """All processes with our token by instance, with their versions: the first of each session alone.

    A command's children inherit its environment; the one that leads the session is it.
    """
    out: dict[str, list[tuple[Process, str]]] = {}
    for entry in os.listdir("/proc"):
        if not entry.isdigit() or int(entry) == os.getpid():
            continue
        pid = int(entry)
        before = began(pid)
        told = environment(pid)
        if before is None or told.get(TOKEN) != token or NAME not in told:
            continue
        try:
            if os.getsid(pid) != pid:
                continue
            pidfd = os.pidfd_open(pid)
        except ProcessLookupError:
            continue  # gone meanwhile; whatever else goes wrong, one that runs must not be overlooked
        if began(pid) != before:  # another by that number since
            os.close(pidfd)
            continue
        out.setdefault(told[NAME], []).append((Process(pid, before, pidfd, None), told.get(VERSION, "")))
    return out
