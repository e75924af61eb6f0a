"""Single values: parsing of literals and units, comparison with kinds and bounds, descriptions."""

import json
import math
import operator
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

from vetchford.configuration.errors import SourceLocation

MAX_NUMBER_LENGTH = 40  # characters
MAX_STRING_LENGTH = 4096  # characters
MAX_SHOWN_LENGTH = 60  # characters of a string in an error line

MILLISECONDS_BY_UNIT = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
BYTES_BY_UNIT = {"B": 1, "KB": 1000, "KiB": 1024, "MB": 10**6, "MiB": 2**20, "GB": 10**9, "GiB": 2**30}
CONSTANTS = {"true": True, "false": False, "null": None}

NUMBER_PATTERN = re.compile(r"([+-]?\d(?:_?\d)*(?:\.\d(?:_?\d)*)?(?:[eE][+-]?\d{1,3})?)([A-Za-z]+|%)?")
WORD_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")

COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
    ">": operator.gt,
    "<": operator.lt,
    "!=": operator.ne,
}
BOUND_DESCRIPTIONS = {
    ">=": "{} or more",
    "<=": "{} at most",
    ">": "above {}",
    "<": "below {}",
    "!=": "not {}",
}
KIND_DESCRIPTIONS = {
    "int": "a whole number",
    "number": "a number",
    "string": "a string in quotes",
    "bool": "true or false",
    "duration": "a duration such as 250ms",
    "size": "a size such as 64KiB",
    "null": "null",
    "word": "a word in quotes (letters, digits, '-', '_', '.'; 64 at most)",
}
NARROWER_KINDS = (("int", "number"), ("word", "string"))  # each first kind is a subset of the second


@dataclass(frozen=True, slots=True)
class Literal:
    """A literal with its text in the file; `value` is in ms for durations and in bytes for sizes."""

    kind: str
    value: Any
    location: SourceLocation
    text: str


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of value, such as `duration`."""

    kind: str
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class Bound:
    """A comparison with a literal, such as `>=1`."""

    operator: str
    limit: Literal
    location: SourceLocation


Scalar: TypeAlias = Literal | Kind | Bound


def parse_number(text: str, location: SourceLocation) -> Literal:
    """Parse a number, percentage, duration or size; raise ValueError with the problem as its text."""
    match = NUMBER_PATTERN.fullmatch(text) if len(text) <= MAX_NUMBER_LENGTH else None
    if match is None:
        raise ValueError(f"found {text[:MAX_NUMBER_LENGTH]}, which is not a number, duration or size")
    digits = match[1].replace("_", "")
    unit = match[2]
    value = float(digits) if re.search("[.eE]", digits) else int(digits)
    if not math.isfinite(value):
        raise ValueError(f"found {text}, which is too large")
    if unit is None:
        return Literal("int" if isinstance(value, int) else "number", value, location, text)
    if unit == "%":
        return Literal("number", value / 100, location, text)
    if unit in MILLISECONDS_BY_UNIT:
        return Literal("duration", float(value * MILLISECONDS_BY_UNIT[unit]), location, text)
    if unit in BYTES_BY_UNIT:
        size = value * BYTES_BY_UNIT[unit]
        if size % 1:
            raise ValueError(f"found {text}, which is not a whole number of bytes")
        return Literal("size", int(size), location, text)
    units = ", ".join([*MILLISECONDS_BY_UNIT, *BYTES_BY_UNIT])
    raise ValueError(f"found {text}; allowed units: {units}, %")


def parse_string(text: str, location: SourceLocation) -> Literal:
    """Parse a quoted string with JSON escapes; raise ValueError with the problem as its text."""
    try:
        value = json.loads(text)
    except ValueError:
        raise ValueError(
            f"found {text[:MAX_SHOWN_LENGTH]}, which is not a valid string; allowed: the escapes of JSON"
        ) from None
    if len(value) > MAX_STRING_LENGTH:
        raise ValueError(f"found a string of {len(value)} characters; allowed: {MAX_STRING_LENGTH} at most")
    shown = text if len(text) <= MAX_SHOWN_LENGTH else text[: MAX_SHOWN_LENGTH - 3] + '..."'
    return Literal("string", value, location, shown)


def parse_constant(text: str, location: SourceLocation) -> Literal:
    """Parse `true`, `false` or `null`."""
    value = CONSTANTS[text]
    return Literal("null" if value is None else "bool", value, location, text)


def is_of_kind(literal: Literal, kind: str) -> bool:
    """Return whether a value is of a kind; whole numbers are also numbers, and some strings are words."""
    if kind == "word":
        return literal.kind == "string" and WORD_PATTERN.fullmatch(literal.value) is not None
    return literal.kind == kind or (kind == "number" and literal.kind == "int")


def common_kind(kind: str, other: str) -> str | None:
    """Return the kind of the values that are of both kinds; None if there are no such values."""
    for narrow, wide in ((kind, other), (other, kind)):
        if narrow == wide or (narrow, wide) in NARROWER_KINDS:
            return narrow
    return None


def is_within(literal: Literal, bound: Bound) -> bool:
    """Return whether a value satisfies a bound; values without a common kind can't be compared."""
    limit = bound.limit
    comparable = common_kind(literal.kind, limit.kind) is not None
    if bound.operator == "!=":
        return not (comparable and literal.value == limit.value)
    return comparable and COMPARISONS[bound.operator](literal.value, limit.value)


def describe(scalars: Sequence[Scalar]) -> str:
    """Describe in words the values that satisfy all scalars."""
    literals = dict.fromkeys(entry.text for entry in scalars if isinstance(entry, Literal))
    if literals:
        return ", ".join(literals)
    kind = _kind_allowed_by(scalars)
    kind_text = KIND_DESCRIPTIONS.get(kind, "a value") if kind else "a value"
    bounds = dict.fromkeys(
        BOUND_DESCRIPTIONS[entry.operator].format(entry.limit.text)
        for entry in scalars
        if isinstance(entry, Bound)
    )
    return ", ".join([kind_text, *bounds])


def _kind_allowed_by(scalars: Sequence[Scalar]) -> str | None:
    """Return the narrowest kind given; a bound that is a whole number does not narrow `number` to `int`."""
    named = [entry.kind for entry in scalars if isinstance(entry, Kind)]
    kinds = named + [entry.limit.kind for entry in scalars if isinstance(entry, Bound)]
    kind = kinds[0] if kinds else None
    for other in kinds[1:]:
        kind = (common_kind(kind, other) if kind else None) or kind
    if kind == "int" and "number" in kinds and "int" not in named:
        return "number"
    return kind
