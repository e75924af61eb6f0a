"""What all commands print: tables, JSON and one line on standard error for what went wrong."""

import json
import sys
from collections.abc import Callable, Sequence

from vetchford.fleet.agent_client import Answer
from vetchford.fleet.commands.exit_status import ExitStatus


def print_error(text: str) -> None:
    """Print one line on standard error."""
    print(f"vetchford: {text}", file=sys.stderr)


def refuse(text: str) -> ExitStatus:
    """Print why a command is not carried out; return the exit status."""
    print_error(text)
    return ExitStatus.REFUSED


def report_refusal(answer: Answer) -> ExitStatus:
    """Return the exit status of an answer; a refusal is printed."""
    return refuse(answer["refused"]) if "refused" in answer else ExitStatus.DONE


def print_json(answers: dict[str, Answer]) -> None:
    """Print the answers by agent; that of a single agent as it is."""
    print(json.dumps(answers if len(answers) > 1 else next(iter(answers.values()))))


def print_columns(rows: Sequence[tuple[str, ...]], write: Callable[[str], None] = print) -> None:
    """Write the rows in aligned columns, a line each; the first row has the headings."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        write("  ".join(word.ljust(width) for word, width in zip(row, widths, strict=True)).rstrip())
