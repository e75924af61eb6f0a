"""How the tool asks one agent, and what its exit status says."""

import json
import socket
import sys
from collections.abc import Callable
from typing import Any

WAITS = 10.0  # s for an agent's answer
DONE, FAILED, REFUSED, PARTLY, UNKNOWN = range(5)
STATES = {"finished": DONE, "broken": PARTLY, "aborted": PARTLY, "paused": FAILED}


class UnreachableError(Exception):
    """No answer from an agent: what it does is unknown."""


def ask(path: str, request: dict[str, Any], waits: float = WAITS) -> dict[str, Any]:
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(waits)
            sock.connect(path)
            with sock.makefile("rwb") as lines:
                lines.write(json.dumps(request).encode() + b"\n")
                lines.flush()
                return json.loads(lines.readline())
    except (OSError, ValueError) as problem:
        raise UnreachableError(f"{path}: {problem}") from None


def refused(answer: dict[str, Any]) -> int:
    if "refused" in answer:
        print(f"vetchford: {answer['refused']}", file=sys.stderr)
        return REFUSED
    return DONE


def ended(id: str, answer: dict[str, Any], plain: bool) -> int:
    """The exit status of a change that has ended or paused; says how, where a person reads it."""
    if plain:
        killed = answer["killed"]
        late = f"; killed at their stop time: {', '.join(killed)}" if killed else ""
        print(f"change {id} {answer['state']}: {answer['why']}{late}")
    return STATES[answer["state"]]


def columns(rows: list[tuple[str, ...]], out: Callable[[str], None] = print) -> None:
    widths = [max(len(row[at]) for row in rows) for at in range(len(rows[0]))]
    for row in rows:
        out("  ".join(word.ljust(width) for word, width in zip(row, widths, strict=True)).rstrip())
