"""Output of all commands: tables, JSON, and one line on standard error for each failure."""

import json
import os
import sys
from collections.abc import Callable, Sequence
from typing import NamedTuple

from vetchford.fleet.agent_client import UnreachableError
from vetchford.fleet.agent_messages import EncodedReply, RefusedReply, UnknownReply, encode
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.rollout import RefusedError


class CommandResult(NamedTuple):
    """The result of a command."""

    encoded: EncodedReply  # the last reply, for `--json`
    status: ExitStatus


def print_error(text: str) -> None:
    """Print one line on standard error."""
    print(f"vetchford: {text}", file=sys.stderr)


def discard_output() -> None:
    """Redirect standard output to the null device after its reader has closed it.

    Otherwise Python would flush the remaining output at exit and report a second error.
    """
    null_device = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_device, sys.stdout.fileno())
    os.close(null_device)


def refuse(text: str) -> ExitStatus:
    """Print why a command is refused; return the exit status."""
    print_error(text)
    return ExitStatus.REFUSED


def report_refusal(problem: RefusedError) -> CommandResult:
    """Print why an agent refused a command; return the result to show in place of its reply."""
    return CommandResult(encode(RefusedReply(problem.reason)), refuse(problem.reason))


def report_unreachable(problem: UnreachableError, consequence: str) -> CommandResult:
    """Print that an agent did not reply; return the result to show in place of its reply."""
    print_error(f"{problem}; {consequence}")
    return CommandResult(encode(UnknownReply(str(problem))), ExitStatus.UNKNOWN)


def print_json(replies: dict[str, EncodedReply]) -> None:
    """Print the replies by agent; the reply of a single agent without its socket path."""
    print(json.dumps(replies if len(replies) > 1 else next(iter(replies.values()))))


def print_columns(rows: Sequence[tuple[str, ...]], write: Callable[[str], None] = print) -> None:
    """Write each row as a line of aligned columns; the first row contains the headings."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        write("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())
