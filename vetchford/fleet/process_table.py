"""Process attributes read from /proc."""

import os

START_TIME_FIELD = 19  # index in /proc/PID/stat after the command name; the value is in clock ticks


def read_start_time(pid: int) -> str | None:
    """Return the start time of the process that has this pid now; None if there is none."""
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8", errors="replace") as file:
            return file.read().rpartition(")")[2].split()[START_TIME_FIELD]
    except (OSError, IndexError):
        return None


def read_environment(pid: int) -> dict[str, str]:
    """Return the environment of a process; empty if it cannot be read, as for another user's process."""
    try:
        with open(f"/proc/{pid}/environ", "rb") as file:
            entries = file.read().split(b"\0")
    except OSError:
        return {}
    pairs = (entry.decode("utf-8", "replace").partition("=") for entry in entries if b"=" in entry)
    return {key: value for key, _, value in pairs}


def read_memory_kb(pid: int) -> int:
    """Return the resident memory of a process in kB; 0 if it cannot be read."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024
    except (OSError, ValueError, IndexError):
        return 0
