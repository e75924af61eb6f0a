"""Reads settings in a process of its own, which ends: the parser would double what a server holds."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from vetchford.errors import MalformedInputError

READ_TIMEOUT = 20.0  # s: a file at every limit takes one or two; a stuck machine must not hang the start
EXIT_WRONG_SETTINGS = 2  # of the reading process: its error lines are for the user


def schema() -> str:
    """The schema's text, in the form itself."""
    return Path(__file__).with_name("schema.vet").read_text(encoding="utf-8")


def read(paths: list[str], request_classes: list[str] | None) -> dict[str, Any]:
    """The checked record as plain data; `request_classes`: the server's, if known, to check names with.

    MalformedInputError has a line for each problem.
    """
    try:
        ran = subprocess.run(
            [sys.executable, "-m", "vetchford.configuration", *paths],
            input=json.dumps(request_classes),
            capture_output=True,
            text=True,
            timeout=READ_TIMEOUT,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        raise MalformedInputError(f"{', '.join(paths)}: could not be read: {type(error).__name__}") from None
    if ran.returncode != 0:
        raise MalformedInputError(_failure_text(ran))
    settings: dict[str, Any] = json.loads(ran.stdout)
    return settings


def _failure_text(ran: subprocess.CompletedProcess[str]) -> str:
    """All error lines about the files; of any other failure the last, which is the exception's."""
    text = ran.stderr.strip() or f"the reader ended with status {ran.returncode}"
    return text if ran.returncode == EXIT_WRONG_SETTINGS else text.splitlines()[-1]
