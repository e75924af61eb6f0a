"""How the tool asks one agent, and what its exit status says."""

import json
import socket
import sys
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
