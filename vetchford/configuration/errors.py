"""What can be wrong with a settings file, and where."""

from dataclasses import dataclass

from vetchford.errors import VetchfordError

MAX_REPORTED_PROBLEMS = 50  # of one reading; more are the same mistake over and over


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """A position in a file; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        """As compilers write it, so that editors can jump to it."""
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One mistake in a settings file."""

    location: SourceLocation
    path: str  # keys from the top, joined by dots; empty at the top
    message: str  # what was found, and what is allowed

    def __str__(self) -> str:
        """The line that the user sees."""
        path = f" {self.path}:" if self.path else ""
        return f"{self.location}:{path} {self.message}"


class SettingsError(VetchfordError):
    """Settings files that cannot be used.

    `problems` holds each mistake once, ordered by location; the text of the error has a line for each.
    """

    def __init__(self, problems: list[Problem]) -> None:
        """Keeps the first MAX_REPORTED_PROBLEMS of the problems."""
        self.problems = sorted(set(problems))[:MAX_REPORTED_PROBLEMS]
        super().__init__("\n".join(map(str, self.problems)))


class LimitExceededError(VetchfordError):
    """The input asks for more work than any genuine settings file does."""


class NestingTooDeepError(LimitExceededError):
    """Brackets or keys of a file are nested deeper than the parser accepts."""

    def __init__(self, line: int, column: int) -> None:
        """`line` and `column` say where the limit was passed."""
        super().__init__(f"nested too deep at {line}:{column}")
        self.line = line
        self.column = column
