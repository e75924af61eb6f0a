"""What is wrong with a file of settings, and where."""

from dataclasses import dataclass

MOST_TOLD = 50  # problems of one reading: more are the same mistake over and over


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    place: Place
    path: str  # keys from the top, by dots; empty at the top
    text: str  # what was found, and what is allowed

    def __str__(self) -> str:
        where = f" {self.path}:" if self.path else ""
        return f"{self.place}:{where} {self.text}"


class DeclaredError(Exception):
    """All that is wrong, by place; one line each as text."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = sorted(set(problems))[:MOST_TOLD]
        super().__init__("\n".join(map(str, self.problems)))


class TooMuchError(Exception):
    """An input that asks for more work than any true file does."""
