"""Reads settings files into one checked, typed record."""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from vetchford.configuration import consistency, records
from vetchford.configuration.errors import LimitExceededError, Problem, SettingsError, SourceLocation
from vetchford.configuration.parser import MAX_FILE_BYTES, parse
from vetchford.configuration.syntax import Record, Reference
from vetchford.configuration.unifier import Unifier
from vetchford.configuration.value_tree import ABSENT, Constraint, PlainValue, Scope, ValueNode

SCHEMA_FILE = Path(__file__).with_name("schema.vet")
SCHEMA_NAME = SCHEMA_FILE.name  # as shown in error lines
ROOT_DEFINITION = "#Settings"  # the definition that a whole file must satisfy
MAX_FILES = 8


@dataclass(frozen=True, slots=True)
class SourceText:
    """The text of a settings file."""

    name: str
    text: str


def schema() -> str:
    """Return the text of the schema."""
    return SCHEMA_FILE.read_text(encoding="utf-8")


def read(paths: Sequence[str], request_classes: Sequence[str] | None = None) -> records.Settings:
    """Return the settings that the files declare together.

    `request_classes` are those of the server, which settings may name; None if unknown.

    Raises:
        SettingsError: Settings are invalid; it has all problems.
    """
    problems: list[Problem] = []
    sources: list[SourceText] = []
    for path in paths[:MAX_FILES]:
        start = SourceLocation(path, 1, 1)
        try:
            with open(path, "rb") as file:
                text = file.read(MAX_FILE_BYTES + 1).decode("utf-8")
        except OSError as error:
            problems.append(Problem(start, "", f"can't be read: {error.strerror}"))
        except ValueError:  # not UTF-8, or the name is not a valid file name
            problems.append(Problem(start, "", "found bytes that are not UTF-8 text"))
        else:
            sources.append(SourceText(path, text))
    if len(paths) > MAX_FILES:
        location = SourceLocation(paths[MAX_FILES], 1, 1)
        problems.append(
            Problem(location, "", f"found more than {MAX_FILES} files; allowed: {MAX_FILES} at most")
        )
    return read_sources(sources, request_classes, problems)


def read_sources(
    sources: Sequence[SourceText],
    request_classes: Sequence[str] | None = None,
    earlier_problems: Sequence[Problem] = (),
) -> records.Settings:
    """Return the settings as `read` does, from texts; report `earlier_problems` with those found."""
    parsed, problems = _parse_all(sources, earlier_problems)
    unifier = Unifier(SCHEMA_NAME, [source.name for source in sources])
    try:
        root = _new_root(unifier, parsed, sources[-1].name)
        plain = unifier.evaluate(root)
    except (LimitExceededError, RecursionError) as error:
        message = str(error) if isinstance(error, LimitExceededError) else "nested too deeply"
        start = SourceLocation(sources[0].name, 1, 1)
        raise SettingsError([*problems, Problem(start, "", message)]) from None
    problems += unifier.problems
    if plain is ABSENT and not unifier.problems:
        problems += unifier.secondary_problems
    if problems or plain is ABSENT:
        raise SettingsError(problems)
    locator = KeyLocator(root, sources[-1].name)
    settings = _to_typed(plain, locator)
    consistency.check(settings, locator.location, request_classes)
    return settings


@dataclass(frozen=True, slots=True)
class KeyLocator:
    """Finds the location of a key in the files."""

    root: ValueNode
    last_file: str

    def location(self, path: str) -> SourceLocation:
        """Return the location of the key with a path, or of the nearest key above it."""
        value = self.root
        location = SourceLocation(self.last_file, 1, 1)
        for label in re.split(r"[.\[]", path):
            if label not in value.children:
                break
            value = value.children[label]
            location = value.location(SCHEMA_NAME) or location
        return location


def _parse_all(
    sources: Sequence[SourceText], earlier_problems: Sequence[Problem]
) -> tuple[list[Record], list[Problem]]:
    """Return the records of the files and the problems of single values.

    Raises:
        SettingsError: A file can't be read or parsed, or no file is named.
    """
    problems = list(earlier_problems)
    parsed: list[Record] = []
    for source in sources:
        record, found = parse(source.text, source.name)
        problems += found
        if record is not None:
            parsed.append(record)
    any_without_path = any(not problem.path for problem in problems)
    if (any_without_path and len(parsed) < len(sources)) or not parsed:
        raise SettingsError(problems or [Problem(SourceLocation("", 1, 1), "", "no file is named")])
    return parsed, problems


def _new_root(unifier: Unifier, parsed: Sequence[Record], last_file: str) -> ValueNode:
    """Return a root with the constraints of all files, in a scope with the definitions of the schema."""
    schema_record, problems = parse(schema(), SCHEMA_NAME)
    assert schema_record is not None and not problems, problems
    definitions = unifier.root_of([schema_record])
    root = ValueNode("", 0)
    scope = Scope(root, None, Scope(definitions, None, None))
    for record in parsed:
        root.constraints.append(Constraint(record, scope))
    whole_file = Reference((ROOT_DEFINITION,), SourceLocation(SCHEMA_NAME, 1, 1))
    root.constraints.append(Constraint(whole_file, scope))
    root.locations = [SourceLocation(last_file, 1, 1)]
    unifier.expand(root, root.constraints)
    return root


def _to_typed(plain: PlainValue, locator: KeyLocator) -> records.Settings:
    """Convert plain data to `records.Settings`, which checks it a second time.

    Raises:
        SettingsError: A value has the wrong type; it has the first problem.
    """
    try:
        return msgspec.convert(plain, records.Settings)
    except msgspec.ValidationError as error:
        found = re.search(r"`\$\.?(.*)`", str(error))
        path = found[1] if found else ""
        message = str(error).split(" - at ")[0]
        raise SettingsError([Problem(locator.location(path), path, message)]) from None
