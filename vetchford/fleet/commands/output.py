"""What all commands print: tables, JSON and one line on standard error for what went wrong."""

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
    """What a command ends with."""

    encoded: EncodedReply  # the last reply, for `--json`
    status: ExitStatus


def print_error(text: str) -> None:
    """Print one line on standard error."""
    print(f"vetchford: {text}", file=sys.stderr)


def discard_output() -> None:
    """Drop what is still to be written to standard output, whose reader is gone.

    Else Python would try once more as it ends, and complain.
    """
    nowhere = os.open(os.devnull, os.O_WRONLY)
    os.dup2(nowhere, sys.stdout.fileno())
    os.close(nowhere)


def refuse(text: str) -> ExitStatus:
    """Print why a command is not carried out; return the exit status."""
    print_error(text)
    return ExitStatus.REFUSED


def report_refusal(problem: RefusedError) -> CommandResult:
    """Print why an agent refused a command; return what is shown in place of its reply."""
    return CommandResult(encode(RefusedReply(problem.reason)), refuse(problem.reason))


def report_unreachable(problem: UnreachableError, consequence: str) -> CommandResult:
    """Print that an agent did not reply, and what follows; return what is shown in place of its reply."""
    print_error(f"{problem}; {consequence}")
    return CommandResult(encode(UnknownReply(str(problem))), ExitStatus.UNKNOWN)


def print_json(answers: dict[str, EncodedReply]) -> None:
    """Print the answers by agent; that of a single agent as it is."""
    print(json.dumps(answers if len(answers) > 1 else next(iter(answers.values()))))


def print_columns(rows: Sequence[tuple[str, ...]], write: Callable[[str], None] = print) -> None:
    """Write the rows in aligned columns, a line each; the first row has the headings."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        write("  ".join(word.ljust(width) for word, width in zip(row, widths, strict=True)).rstrip())
