"""Errors of settings files and their locations."""

from dataclasses import dataclass

from vetchford.errors import VetchfordError

MAX_REPORTED_PROBLEMS = 50  # for one call of the reader; more are usually one mistake repeated


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """A position in a file; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        """Return the form that compilers print, so that editors can jump to the location."""
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One mistake in a settings file."""

    location: SourceLocation
    path: str  # keys from the root, joined by dots; empty for the root
    message: str  # what was found and what is allowed

    def __str__(self) -> str:
        """Return the line that is shown to the user."""
        path = f" {self.path}:" if self.path else ""
        return f"{self.location}:{path} {self.message}"


class SettingsError(VetchfordError):
    """Settings files are invalid.

    `problems` holds each problem once, ordered by location; the text of the error has a line for each.
    """

    def __init__(self, problems: list[Problem]) -> None:
        """Create the error from the first MAX_REPORTED_PROBLEMS of `problems`."""
        self.problems = sorted(set(problems))[:MAX_REPORTED_PROBLEMS]
        super().__init__("\n".join(map(str, self.problems)))


class LimitExceededError(VetchfordError):
    """The input exceeds a limit that no genuine settings file reaches."""


class NestingTooDeepError(LimitExceededError):
    """Brackets or keys of a file are nested deeper than the parser accepts."""

    def __init__(self, line: int, column: int) -> None:
        """Create the error; `line` and `column` are where the limit was exceeded."""
        super().__init__(f"nested too deeply at {line}:{column}")
        self.line = line
        self.column = column
