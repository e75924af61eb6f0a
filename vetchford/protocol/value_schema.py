"""Schemas of JSON values from other programs; a check reports all invalid values at once.

Keys that a schema does not list are accepted, and so is null, which means the same as an absent key.
"""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

MAX_SHOWN_CHARACTERS = 60  # of an invalid value in an error


class Schema(ABC):
    """Describes the valid values of one key or item."""

    @abstractmethod
    def allowed(self) -> str:
        """Return a description of the valid values that completes "must be"."""

    @abstractmethod
    def accepts(self, value: Any) -> bool:
        """Return whether the value itself is valid; values inside it are not checked."""

    def inner_problems(self, value: Any, path: str) -> Iterator[str]:
        """Yield a line for each invalid value inside an accepted value."""
        yield from ()

    def problems(self, value: Any, path: str) -> Iterator[str]:
        """Yield a line for each invalid value: its full path, what is allowed and what was found."""
        if value is None:
            return
        if self.accepts(value):
            yield from self.inner_problems(value, path)
        else:
            yield f"key '{path}' must be {self.allowed()}; found {_shortened_json(value)}"


@dataclass(frozen=True)
class Number(Schema):
    """A number of at least `minimum`."""

    minimum: int

    def allowed(self) -> str:
        """Return the type and the minimum."""
        return f"a number of {self.minimum} or more"

    def accepts(self, value: Any) -> bool:
        """Return whether the value is a number of at least `minimum`; booleans are not numbers."""
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return bool(is_number and value >= self.minimum)


class String(Schema):
    """Any string."""

    def allowed(self) -> str:
        """Return the type."""
        return "a string"

    def accepts(self, value: Any) -> bool:
        """Return whether the value is a string."""
        return isinstance(value, str)


class Boolean(Schema):
    """A boolean."""

    def allowed(self) -> str:
        """Return both values."""
        return "true or false"

    def accepts(self, value: Any) -> bool:
        """Return whether the value is a boolean."""
        return isinstance(value, bool)


@dataclass(frozen=True)
class Choice(Schema):
    """One of a few strings."""

    options: tuple[str, ...]

    def allowed(self) -> str:
        """Return the list of strings."""
        return f"one of {', '.join(self.options)}"

    def accepts(self, value: Any) -> bool:
        """Return whether the value is one of the strings."""
        return value in self.options


@dataclass(frozen=True)
class Array(Schema):
    """An array whose items share one schema."""

    item: Schema

    def allowed(self) -> str:
        """Return the type."""
        return "an array"

    def accepts(self, value: Any) -> bool:
        """Return whether the value is an array."""
        return isinstance(value, list)

    def inner_problems(self, value: Any, path: str) -> Iterator[str]:
        """Yield a line for each invalid value in the items."""
        for position, item in enumerate(value):
            yield from self.item.problems(item, f"{path}[{position}]")


@dataclass(frozen=True)
class Key:
    """A key of an object with the schema of its value."""

    name: str
    schema: Schema

    def read(self, values: Mapping[str, Any], default: Any = None) -> Any:
        """Return the value of the key, or `default` if it is absent, null or zero, which mean the same."""
        return values.get(self.name) or default


@dataclass(frozen=True)
class Object(Schema):
    """An object; keys that are not in `keys` are accepted."""

    keys: tuple[Key, ...]

    def allowed(self) -> str:
        """Return the type."""
        return "an object"

    def accepts(self, value: Any) -> bool:
        """Return whether the value is an object."""
        return isinstance(value, dict)

    def inner_problems(self, value: Any, path: str) -> Iterator[str]:
        """Yield a line for each invalid value, in the order of `keys`."""
        for key in self.keys:
            yield from key.schema.problems(value.get(key.name), f"{path}.{key.name}")


def _shortened_json(value: Any) -> str:
    """Return a value as JSON text, cut off after `MAX_SHOWN_CHARACTERS`."""
    text = json.dumps(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."
