"""Asks one agent over its Unix socket: one request, one reply."""

import json
import socket
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from vetchford.errors import VetchfordError

DEFAULT_TIMEOUT = 10.0  # s for an agent's reply

Answer = dict[str, Any]  # one of `agent_messages.Reply`, as it was decoded


class UnreachableError(VetchfordError):
    """No reply from an agent, for `reason`: what it does is unknown."""

    def __init__(self, reason: str) -> None:
        """`reason`: names the agent's socket."""
        super().__init__(reason)
        self.reason = reason


def ask(path: str, request: Mapping[str, Any], timeout: float = DEFAULT_TIMEOUT) -> Answer:
    """Return the reply of the agent at `path`; `timeout` in s. Raises UnreachableError."""
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(timeout)
            sock.connect(path)
            with sock.makefile("rwb") as lines:
                lines.write(json.dumps(request).encode() + b"\n")
                lines.flush()
                answer: Answer = json.loads(lines.readline())
                return answer
    except (OSError, ValueError) as problem:
        raise UnreachableError(f"{path}: {problem}") from None


def ask_all(
    paths: list[str], request: Mapping[str, Any], timeout: float = DEFAULT_TIMEOUT
) -> dict[str, Answer]:
    """Return the reply of each agent by its path; all are asked at once, so none holds up another.

    An agent that does not reply has {"unknown": reason}.
    """

    def ask_one(path: str) -> Answer:
        try:
            return ask(path, request, timeout)
        except UnreachableError as problem:
            return {"unknown": str(problem)}

    with ThreadPoolExecutor(len(paths)) as pool:
        return dict(zip(paths, pool.map(ask_one, paths), strict=True))
