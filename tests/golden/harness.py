"""What the golden tests share: the program under test, explicit normalisation, comparison with the data.

`VETCHFORD_GOLDEN_ROOT` names another checkout whose program is run instead of this one's, and
`VETCHFORD_GOLDEN_RECORD=1` writes the data instead of comparing with it; `README.md` has the commands.
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
ROOT = Path(os.environ.get("VETCHFORD_GOLDEN_ROOT") or CHECKOUT)  # whose program runs
RECORDING = os.environ.get("VETCHFORD_GOLDEN_RECORD") == "1"
TIMEOUT = 30.0  # seconds; only a program that does nothing runs into it
FAKE_INSTANCE = CHECKOUT / "testkit" / "fakes" / "instance.py"  # run by path: it needs no package


def free_port() -> int:
    """A port of loopback that nobody listens on."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def environment(**extra: str) -> dict[str, str]:
    """Ours, without what the program would read, and with a terminal of a fixed width."""
    kept = {key: value for key, value in os.environ.items() if not key.startswith(("ROUTER_", "VETCHFORD_"))}
    return {**kept, "COLUMNS": "120", "TZ": "UTC", "PYTHONWARNINGS": "ignore", **extra}


def command(*arguments: str) -> list[str]:
    """The command line of the program under test; to be run in `ROOT`."""
    return [sys.executable, "-m", "vetchford", *arguments]


def run(*arguments: str, **extra: str) -> subprocess.CompletedProcess[str]:
    """One command of the program, from its start to its end."""
    return subprocess.run(
        command(*arguments),
        cwd=ROOT,
        env=environment(**extra),
        capture_output=True,
        text=True,
        timeout=TIMEOUT,
    )


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Returns once it holds; AssertionError after TIMEOUT."""
    deadline = time.monotonic() + TIMEOUT
    while not condition():
        assert time.monotonic() < deadline, f"not within {TIMEOUT} s: {what}"
        time.sleep(0.02)


class Normaliser:
    """Replaces what differs from run to run, by rules that are all listed here and at its making."""

    def __init__(self, literal: Mapping[str, str], patterns: Sequence[tuple[str, str]] = ()) -> None:
        """`literal`: texts such as a folder or a port and what stands for each; `patterns`: regular ones."""
        self.literal = sorted(literal.items(), key=lambda pair: -len(pair[0]))
        self.patterns = [(re.compile(pattern), shown) for pattern, shown in patterns]

    def text(self, value: str) -> str:
        """The text with each rule applied, literal ones first."""
        for found, shown in self.literal:
            value = value.replace(found, shown)
        for pattern, shown in self.patterns:
            value = pattern.sub(shown, value)
        return value

    def tree(self, value: Any, volatile: frozenset[str] = frozenset()) -> Any:
        """Of plain data; numbers under keys of `volatile` become "<number>"."""
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
    """With `data/NAME.json`; on a difference the first keys that differ are shown."""
    path = DATA / f"{name}.json"
    if RECORDING:
        path.write_text(json.dumps(actual, indent=1, ensure_ascii=True) + "\n", encoding="utf-8")
        return
    expected = json.loads(path.read_text(encoding="utf-8"))
    actual = json.loads(json.dumps(actual))
    if isinstance(expected, dict) and isinstance(actual, dict):
        assert list(actual) == list(expected)
        for key, value in expected.items():
            assert actual[key] == value, f"{name}: {key}"
    assert actual == expected


class LineCollector:
    """Reads a process's output in a thread of its own, so that it never blocks on a full pipe."""

    def __init__(self, stream: Any) -> None:
        self.lines: list[str] = []
        self.thread = threading.Thread(target=self._read, args=(stream,), daemon=True)
        self.thread.start()

    def _read(self, stream: Any) -> None:
        for line in stream:
            self.lines.append(line)

    def find(self, pattern: str) -> re.Match[str] | None:
        """The first line that has it."""
        return next((found for line in list(self.lines) if (found := re.search(pattern, line))), None)
