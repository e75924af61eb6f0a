"""What the platform's `settings` may hold: the kind and least value of each key, checked all in one go.

Keys that are not listed are not ours to judge and pass; so does null, which stands for a key left out. The
names are those of the platform's page.
"""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from vetchford.protocol.platform_settings import EFFECTS

MAX_SHOWN = 60  # characters of a value that was found


class Schema(ABC):
    """What a value may be."""

    @abstractmethod
    def allowed(self) -> str:
        """Return what the value may be, to go behind `must be`."""

    @abstractmethod
    def accepts(self, value: Any) -> bool:
        """Whether the value itself is of the right kind; not what it holds."""

    def inner_problems(self, value: Any, path: str) -> Iterator[str]:
        """Yield a line for each wrong value that an accepted one holds."""
        yield from ()

    def problems(self, value: Any, path: str) -> Iterator[str]:
        """Yield a line for each wrong value: the whole path, what is allowed, what was found."""
        if value is None:
            return
        if self.accepts(value):
            yield from self.inner_problems(value, path)
        else:
            yield f"key '{path}' must be {self.allowed()}; found {shown(value)}"


@dataclass(frozen=True)
class Number(Schema):
    """A number of at least `minimum`."""

    minimum: int

    def allowed(self) -> str:
        """Return the kind and the least value."""
        return f"a number of {self.minimum} or more"

    def accepts(self, value: Any) -> bool:
        """Whether it is a number, and large enough; JSON's true and false are none."""
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return bool(is_number and value >= self.minimum)


class String(Schema):
    """Any string."""

    def allowed(self) -> str:
        """Return the kind."""
        return "a string"

    def accepts(self, value: Any) -> bool:
        """Whether it is a string."""
        return isinstance(value, str)


class Flag(Schema):
    """True or false."""

    def allowed(self) -> str:
        """Return both."""
        return "true or false"

    def accepts(self, value: Any) -> bool:
        """Whether it is one of both."""
        return isinstance(value, bool)


@dataclass(frozen=True)
class Choice(Schema):
    """One of a few strings."""

    options: tuple[str, ...]

    def allowed(self) -> str:
        """Return the strings."""
        return f"one of {', '.join(self.options)}"

    def accepts(self, value: Any) -> bool:
        """Whether it is one of them."""
        return value in self.options


@dataclass(frozen=True)
class Array(Schema):
    """An array whose items are all alike."""

    item: Schema

    def allowed(self) -> str:
        """Return the kind."""
        return "an array"

    def accepts(self, value: Any) -> bool:
        """Whether it is an array."""
        return isinstance(value, list)

    def inner_problems(self, value: Any, path: str) -> Iterator[str]:
        """Yield a line for each wrong value in its items."""
        for position, item in enumerate(value):
            yield from self.item.problems(item, f"{path}[{position}]")


@dataclass(frozen=True)
class Object(Schema):
    """An object; keys beside `fields` pass."""

    fields: Mapping[str, Schema]

    def allowed(self) -> str:
        """Return the kind."""
        return "an object"

    def accepts(self, value: Any) -> bool:
        """Whether it is an object."""
        return isinstance(value, dict)

    def inner_problems(self, value: Any, path: str) -> Iterator[str]:
        """Yield a line for each wrong value in its fields."""
        for key, schema in self.fields.items():
            yield from schema.problems(value.get(key), f"{path}.{key}")


NOT_NEGATIVE = Number(0)
SETTINGS = Object(
    {
        "familyInfo": Object(
            {
                "cores": Number(1),
                "ramKb": NOT_NEGATIVE,
                "blowup": NOT_NEGATIVE,
                "keyKb": NOT_NEGATIVE,
                "say": String(),
                "halt": String(),
                "below": String(),
                "callerIdle": NOT_NEGATIVE,
                "callers": NOT_NEGATIVE,
                "callsOver": NOT_NEGATIVE,
                "linger": NOT_NEGATIVE,
                "depShare": NOT_NEGATIVE,
                "cold": Flag(),
                "classSkipWorth": Array(NOT_NEGATIVE),
                "ownStats": Array(String()),
            }
        ),
        "requestClasses": Array(
            Object(
                {
                    "name": String(),
                    "effect": Choice(tuple(EFFECTS)),
                    "deadline": NOT_NEGATIVE,
                    "promise": NOT_NEGATIVE,
                    "worth": NOT_NEGATIVE,
                    "lateWorth": NOT_NEGATIVE,
                    "window": NOT_NEGATIVE,
                }
            )
        ),
        "customers": Array(Object({"name": String(), "quotaPerS": NOT_NEGATIVE})),
        "rules": Object(
            {
                "fallMultiple": NOT_NEGATIVE,
                "coldFrom": NOT_NEGATIVE,
                "rampTime": NOT_NEGATIVE,
                "drainGrace": NOT_NEGATIVE,
            }
        ),
        "goal": Object({"whole": NOT_NEGATIVE, "worstWindow": NOT_NEGATIVE, "worstClass": NOT_NEGATIVE}),
        "caps": Object({"retryAfter": Flag(), "maxRetryAfter": NOT_NEGATIVE}),
        "valueBy": String(),
        "servers": NOT_NEGATIVE,
        "overShareWorth": NOT_NEGATIVE,
    }
)


def problems(settings: Any) -> Iterator[str]:
    """Yield a line for each value of the settings that is not of its kind."""
    return SETTINGS.problems(settings, "settings")


def shown(value: Any) -> str:
    """Return a value as JSON, cut after `MAX_SHOWN` characters."""
    text = json.dumps(value)
    return text if len(text) <= MAX_SHOWN else text[:MAX_SHOWN] + "..."
