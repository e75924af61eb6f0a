"""Reads settings in a separate process, as the parser would double the memory of a server."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from vetchford.errors import MalformedInputError

READ_TIMEOUT_S = 20.0  # files at all limits take 1 to 2 s; a blocked machine must not block the start
EXIT_WRONG_SETTINGS = 2  # exit status of the process for invalid settings; its error lines are for the user


def schema() -> str:
    """Return the text of the schema."""
    return Path(__file__).with_name("schema.vet").read_text(encoding="utf-8")


def read(paths: list[str], request_classes: list[str] | None) -> dict[str, Any]:
    """Return the checked settings as plain data.

    `request_classes` are those of the server, which settings may name; None if unknown.

    Raises:
        MalformedInputError: Settings are invalid or can't be read; the message has a line for each problem.
    """
    try:
        process = subprocess.run(
            [sys.executable, "-m", "vetchford.configuration", *paths],
            input=json.dumps(request_classes),
            capture_output=True,
            text=True,
            timeout=READ_TIMEOUT_S,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        raise MalformedInputError(f"{', '.join(paths)}: could not be read: {type(error).__name__}") from None
    if process.returncode != 0:
        raise MalformedInputError(_failure_text(process))
    settings: dict[str, Any] = json.loads(process.stdout)
    return settings


def _failure_text(process: subprocess.CompletedProcess[str]) -> str:
    """Return all error lines for invalid settings, else the last line, which names the exception."""
    text = process.stderr.strip() or f"the settings reader exited with status {process.returncode}"
    return text if process.returncode == EXIT_WRONG_SETTINGS else text.splitlines()[-1]
