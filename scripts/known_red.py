"""Reads KNOWN-RED.txt: the tests and commands that fail because of a known fault.

An entry is a test id or a command on a line of its own, then indented lines `command:`, `seen:` and `issue:`.

Usage: scripts/known_red.py    prints pytest's argument for each listed test, one a line
"""

from dataclasses import dataclass
from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_FOLDER = "tests/"
FIELDS = ("command", "seen", "issue")


class MalformedEntryError(ValueError):
    """An entry of KNOWN-RED.txt has a missing or an unknown field."""

    def __init__(self, entry: str, problem: str) -> None:
        """Create the error for the entry that begins with the line `entry`."""
        super().__init__(f"KNOWN-RED.txt: {entry}: {problem}")
        self.entry = entry
        self.problem = problem


@dataclass(frozen=True)
class KnownRed:
    """A failing test or command."""

    name: str
    fields: dict[str, str]

    @property
    def is_test(self) -> bool:
        """Whether the name is a test id, which pytest can deselect."""
        return self.name.startswith(TEST_FOLDER)


def parse(text: str) -> list[KnownRed]:
    """Return the entries in their order.

    Raises:
        MalformedEntryError: an entry has a missing or an unknown field.
    """
    entries: list[KnownRed] = []
    for line in text.splitlines():
        if not line.strip():
            continue
        if not line.startswith(" "):
            entries.append(KnownRed(line.strip(), {}))
            continue
        field, _, value = line.strip().partition(":")
        if not entries or field not in FIELDS:
            raise MalformedEntryError(
                entries[-1].name if entries else line,
                f"unknown field {field!r}, expected one of {', '.join(FIELDS)}",
            )
        entries[-1].fields[field] = value.strip()
    for entry in entries:
        missing = [field for field in FIELDS if not entry.fields.get(field)]
        if missing:
            raise MalformedEntryError(entry.name, f"no {' and no '.join(missing)}")
    return entries


def read() -> list[KnownRed]:
    """Return the entries of the file; an empty list if there is no file."""
    return parse(KNOWN_RED.read_text(encoding="utf-8")) if KNOWN_RED.exists() else []


def main() -> None:
    """Print the arguments by which pytest deselects exactly the listed tests."""
    for entry in read():
        if entry.is_test:
            print(f"--deselect={entry.name}")


if __name__ == "__main__":
    main()
