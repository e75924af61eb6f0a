"""Schemas of JSON values from outside: each says what a value may be, and names all that are wrong at once.

Keys that no schema lists pass; so does null, which stands for a key left out.
"""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

MAX_SHOWN_CHARACTERS = 60  # of a value that was found


class Schema(ABC):
    """What a value may be."""

    @abstractmethod
    def allowed(self) -> str:
        """Return what the value may be, to go behind `must be`."""

    @abstractmethod
    def accepts(self, value: Any) -> bool:
        """Return whether the value itself is of the right kind; not what it holds."""

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
        """Return whether it is a number, and large enough; JSON's true and false are none."""
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return bool(is_number and value >= self.minimum)


class String(Schema):
    """Any string."""

    def allowed(self) -> str:
        """Return the kind."""
        return "a string"

    def accepts(self, value: Any) -> bool:
        """Return whether it is a string."""
        return isinstance(value, str)


class Flag(Schema):
    """True or false."""

    def allowed(self) -> str:
        """Return both."""
        return "true or false"

    def accepts(self, value: Any) -> bool:
        """Return whether it is one of both."""
        return isinstance(value, bool)


@dataclass(frozen=True)
class Choice(Schema):
    """One of a few strings."""

    options: tuple[str, ...]

    def allowed(self) -> str:
        """Return the strings."""
        return f"one of {', '.join(self.options)}"

    def accepts(self, value: Any) -> bool:
        """Return whether it is one of them."""
        return value in self.options


@dataclass(frozen=True)
class Array(Schema):
    """An array whose items are all alike."""

    item: Schema

    def allowed(self) -> str:
        """Return the kind."""
        return "an array"

    def accepts(self, value: Any) -> bool:
        """Return whether it is an array."""
        return isinstance(value, list)

    def inner_problems(self, value: Any, path: str) -> Iterator[str]:
        """Yield a line for each wrong value in its items."""
        for position, item in enumerate(value):
            yield from self.item.problems(item, f"{path}[{position}]")


@dataclass(frozen=True)
class Key:
    """A key of an object, and what its value may be."""

    name: str
    schema: Schema

    def read(self, values: Mapping[str, Any], default: Any = None) -> Any:
        """Return the value of the key; `default` where it is absent, null or zero, which mean the same."""
        return values.get(self.name) or default


@dataclass(frozen=True)
class Object(Schema):
    """An object; keys beside `keys` pass."""

    keys: tuple[Key, ...]

    def allowed(self) -> str:
        """Return the kind."""
        return "an object"

    def accepts(self, value: Any) -> bool:
        """Return whether it is an object."""
        return isinstance(value, dict)

    def inner_problems(self, value: Any, path: str) -> Iterator[str]:
        """Yield a line for each wrong value in its keys, in their order."""
        for key in self.keys:
            yield from key.schema.problems(value.get(key.name), f"{path}.{key.name}")


def shown(value: Any) -> str:
    """Return a value as JSON, cut after `MAX_SHOWN_CHARACTERS`."""
    text = json.dumps(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."
