"""Kinds of single values: reading, units, bounds and their description. No files, nothing executed."""

import json
import math
import operator
import re
from dataclasses import dataclass
from typing import Any

from vetchford.configuration.errors import Place

MOST_DIGITS = 40  # characters of a number: past that no figure of ours is meant
MOST_TEXT = 4096  # characters of a string
DURATIONS = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}  # to ms
SIZES = {"B": 1, "KB": 1000, "KiB": 1024, "MB": 10**6, "MiB": 2**20, "GB": 10**9, "GiB": 2**30}  # to bytes
NUMBER = re.compile(r"([+-]?\d(?:_?\d)*(?:\.\d(?:_?\d)*)?(?:[eE][+-]?\d{1,3})?)([A-Za-z]+|%)?")
WORD = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
ORDER = {">=": operator.ge, "<=": operator.le, ">": operator.gt, "<": operator.lt, "!=": operator.ne}
SAID = {">=": "{} or more", "<=": "{} at most", ">": "above {}", "<": "below {}", "!=": "not {}"}
NAMED = {
    "int": "a whole number",
    "number": "a number",
    "string": "a string in quotes",
    "bool": "true or false",
    "duration": "a duration such as 250ms",
    "size": "a size such as 64KiB",
    "null": "null",
    "word": "a word in quotes (letters, digits, '-', '_', '.'; 64 at most)",
}


@dataclass(frozen=True, slots=True)
class Known:
    """A value that is given; durations in ms, sizes in bytes, both with the text they were written as."""

    kind: str
    value: Any
    place: Place
    text: str


@dataclass(frozen=True, slots=True)
class Kind:
    kind: str
    place: Place


@dataclass(frozen=True, slots=True)
class Bound:
    order: str
    than: Known
    place: Place


Scalar = Known | Kind | Bound


def number(text: str, place: Place) -> Known:
    """Raises ValueError with what is wrong."""
    found = NUMBER.fullmatch(text) if len(text) <= MOST_DIGITS else None
    if found is None:
        raise ValueError(f"found {text[:MOST_DIGITS]}, which is no number, duration or size")
    digits, unit = found[1].replace("_", ""), found[2]
    value = float(digits) if re.search("[.eE]", digits) else int(digits)
    if not math.isfinite(value):
        raise ValueError(f"found {text}, which is too large")
    if unit is None:
        return Known("int" if isinstance(value, int) else "number", value, place, text)
    if unit == "%":
        return Known("number", value / 100, place, text)
    if unit in DURATIONS:
        return Known("duration", float(value * DURATIONS[unit]), place, text)
    if unit in SIZES:
        if value * SIZES[unit] % 1:
            raise ValueError(f"found {text}, which is no whole number of bytes")
        return Known("size", int(value * SIZES[unit]), place, text)
    raise ValueError(f"found {text}; allowed units: {', '.join([*DURATIONS, *SIZES])}, %")


def string(text: str, place: Place) -> Known:
    try:
        value = json.loads(text)
    except ValueError:
        raise ValueError(f"found {text[:60]}, which is no string: escapes are those of JSON") from None
    if len(value) > MOST_TEXT:
        raise ValueError(f"found a string of {len(value)} characters; allowed: {MOST_TEXT} at most")
    return Known("string", value, place, text if len(text) <= 60 else text[:57] + '..."')


def constant(text: str, place: Place) -> Known:
    value = {"true": True, "false": False, "null": None}[text]
    return Known("null" if value is None else "bool", value, place, text)


def is_a(known: Known, kind: str) -> bool:
    if kind == "word":
        return known.kind == "string" and WORD.fullmatch(known.value) is not None
    return known.kind == kind or (kind == "number" and known.kind == "int")


def meet(one: str, two: str) -> str | None:
    """The kind of what is of both; None where nothing is."""
    for narrow, wide in ((one, two), (two, one)):
        if narrow == wide or (narrow, wide) in (("int", "number"), ("word", "string")):
            return narrow
    return None


def keeps(known: Known, bound: Bound) -> bool:
    than = bound.than
    if bound.order == "!=":
        return not (meet(known.kind, than.kind) and known.value == than.value)
    alike = meet(known.kind, than.kind) is not None or {known.kind, than.kind} == {"int", "number"}
    return alike and ORDER[bound.order](known.value, than.value)


def described(limits: list[Scalar]) -> str:
    """What is allowed by all of them, in words."""
    kinds = [entry.kind for entry in limits if isinstance(entry, Kind)]
    kinds += [entry.than.kind for entry in limits if isinstance(entry, Bound)]
    kind = kinds[0] if kinds else None
    for other in kinds[1:]:
        kind = (meet(kind, other) if kind else None) or kind
    if (
        "number" in kinds
        and kind == "int"
        and not any(isinstance(entry, Kind) and entry.kind == "int" for entry in limits)
    ):
        kind = "number"
    parts = [NAMED.get(kind, "a value") if kind else "a value"]
    said = dict.fromkeys(SAID[e.order].format(e.than.text) for e in limits if isinstance(e, Bound))
    parts += list(said)
    exact = dict.fromkeys(entry.text for entry in limits if isinstance(entry, Known))
    return ", ".join(exact) if exact else ", ".join(parts)
