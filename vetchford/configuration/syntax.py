"""The syntax tree of a settings file: what is written, before anything is resolved or checked."""

from dataclasses import dataclass
from typing import TypeAlias

from vetchford.configuration.errors import SourceLocation
from vetchford.configuration.values import Scalar


@dataclass(frozen=True, slots=True)
class Field:
    """`label: value`, or `label?: value` for a key that may be left out."""

    label: str
    optional: bool
    value: "Node"
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class Pattern:
    """`[kind]: value`: what holds for each key of that kind."""

    kind: str
    value: "Node"


@dataclass(frozen=True, slots=True)
class Record:
    """`{...}`, or a whole file."""

    fields: tuple[Field, ...]
    pattern: Pattern | None
    is_open: bool  # by `...`: keys that are not named are allowed
    location: SourceLocation

    def declares(self, label: str) -> bool:
        """Whether one of its fields has the label."""
        return any(field.label == label for field in self.fields)


@dataclass(frozen=True, slots=True)
class ItemList:
    """`[...]`; `rest` is what further items must be, None where there may be none."""

    items: tuple["Node", ...]
    rest: "Node | None"
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class Reference:
    """`name.key` or `#Definition`."""

    labels: tuple[str, ...]
    location: SourceLocation

    @property
    def is_definition(self) -> bool:
        """Whether it names a definition, whose records are closed."""
        return self.labels[0].startswith("#")


@dataclass(frozen=True, slots=True)
class Option:
    """One part of a choice."""

    value: "Node"
    is_default: bool


@dataclass(frozen=True, slots=True)
class Choice:
    """`a | *b`: one of its options."""

    options: tuple[Option, ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class Conjunction:
    """`a & b`: all of its parts at once."""

    parts: tuple["Node", ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class AnyValue:
    """`_`: whatever else holds."""

    location: SourceLocation


@dataclass(frozen=True, slots=True)
class InvalidNode:
    """Stands where a value could not be read; the problem is reported already."""

    location: SourceLocation


Node: TypeAlias = Scalar | Record | ItemList | Reference | Choice | Conjunction | AnyValue | InvalidNode
