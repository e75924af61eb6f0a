"""Common parts of the golden tests: running the program under test, normalisation, and comparison.

`VETCHFORD_GOLDEN_ROOT` selects another checkout whose program is run instead of this one's, and
`VETCHFORD_GOLDEN_RECORD=1` writes the data instead of comparing with them; `README.md` has the commands.
"""

import json
import os
import re
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent
DATA = HERE / "data"
CHECKOUT = HERE.parent.parent
ROOT = Path(os.environ.get("VETCHFORD_GOLDEN_ROOT") or CHECKOUT)  # checkout of the program under test
RECORDING = os.environ.get("VETCHFORD_GOLDEN_RECORD") == "1"
TIMEOUT_S = 30.0  # reached only if the program under test does nothing
POLL_INTERVAL_S = 0.02
FAKE_INSTANCE = CHECKOUT / "testkit" / "fakes" / "instance.py"  # run by its path, as it imports no package


def free_port() -> int:
    """Return a loopback port on which no process listens."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def environment(**extra: str) -> dict[str, str]:
    """Return the environment without variables that the program reads, and with a fixed terminal width."""
    inherited = {
        key: value for key, value in os.environ.items() if not key.startswith(("ROUTER_", "VETCHFORD_"))
    }
    return {**inherited, "COLUMNS": "120", "TZ": "UTC", "PYTHONWARNINGS": "ignore", **extra}


def command(*arguments: str) -> list[str]:
    """Return the command line of the program under test, to be run in `ROOT`."""
    return [sys.executable, "-m", "vetchford", *arguments]


def run(*arguments: str, **extra: str) -> subprocess.CompletedProcess[str]:
    """Run a command of the program to its end."""
    return subprocess.run(
        command(*arguments),
        cwd=ROOT,
        env=environment(**extra),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait until `condition()` is true; raise AssertionError after `TIMEOUT_S`."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"not within {TIMEOUT_S} s: {what}"
        time.sleep(POLL_INTERVAL_S)


class Normaliser:
    """Replaces text that differs between runs by fixed text."""

    def __init__(self, literal: Mapping[str, str], patterns: Sequence[tuple[str, str]] = ()) -> None:
        """Set the replacements: of literal texts such as a folder or a port, then of regular expressions."""
        self.literal = sorted(literal.items(), key=lambda pair: -len(pair[0]))
        self.patterns = [(re.compile(pattern), replacement) for pattern, replacement in patterns]

    def text(self, value: str) -> str:
        """Return a text with all replacements made."""
        for literal, replacement in self.literal:
            value = value.replace(literal, replacement)
        for pattern, replacement in self.patterns:
            value = pattern.sub(replacement, value)
        return value

    def tree(self, value: Any, volatile: frozenset[str] = frozenset()) -> Any:
        """Return plain data with all replacements made, and "<number>" for numbers under `volatile` keys."""
        if isinstance(value, dict):
            return {
                self.text(key): "<number>"
                if key in volatile and isinstance(inner, int | float) and not isinstance(inner, bool)
                else self.tree(inner, volatile)
                for key, inner in value.items()
            }
        if isinstance(value, list):
            return [self.tree(inner, volatile) for inner in value]
        return self.text(value) if isinstance(value, str) else value


def compare(name: str, actual: Any) -> None:
    """Compare with `data/NAME.json`, key by key, so that a failure names the first key that differs."""
    path = DATA / f"{name}.json"
    if RECORDING:
        path.write_text(json.dumps(actual, indent=1, ensure_ascii=True) + "\n", encoding="utf-8")
        return
    expected = json.loads(path.read_text(encoding="utf-8"))
    actual = json.loads(json.dumps(actual))
    if isinstance(expected, dict) and isinstance(actual, dict):
        assert list(actual) == list(expected)
        for key, value in expected.items():
            assert actual[key] == value, f"{name}: {key}: {actual[key]!r} is not {value!r}"
    assert actual == expected, f"{name}: {actual!r} is not {expected!r}"


class LineCollector:
    """Collects the output lines of a process in a thread, so that the process never blocks on a full pipe."""

    def __init__(self, stream: Any) -> None:
        self.lines: list[str] = []
        self.thread = threading.Thread(target=self._read, args=(stream,), daemon=True)
        self.thread.start()

    def _read(self, stream: Any) -> None:
        for line in stream:
            self.lines.append(line)

    def find(self, pattern: str) -> re.Match[str] | None:
        """Return the first match of a pattern in the lines."""
        return next((found for line in list(self.lines) if (found := re.search(pattern, line))), None)
