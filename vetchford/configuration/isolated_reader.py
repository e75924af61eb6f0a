"""Reads settings in a process of its own, which ends: the parser would double what a server holds."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from vetchford.errors import MalformedInputError

PATIENCE = 20.0  # s: a file at every bound takes one or two; a stuck machine must not hang the start for good


def schema() -> str:
    """The schema's text; in the form itself."""
    return Path(__file__).with_name("schema.vet").read_text(encoding="utf-8")


def read(paths: list[str], stages: list[str] | None) -> dict[str, Any]:
    """The checked record as plain data; `stages` are those of the server, if known, to check names with.

    MalformedError has a line for each problem.
    """
    command = [sys.executable, "-m", "vetchford.configuration", *paths]
    try:
        done = subprocess.run(
            command, input=json.dumps(stages), capture_output=True, text=True, timeout=PATIENCE, check=False
        )
    except (OSError, subprocess.TimeoutExpired) as problem:
        raise MalformedInputError(
            f"{', '.join(paths)}: could not be read: {type(problem).__name__}"
        ) from None
    if done.returncode:
        last = done.stderr.strip() or f"the reader ended with status {done.returncode}"
        raise MalformedInputError(last if done.returncode == 2 else last.splitlines()[-1])
    return json.loads(done.stdout)
