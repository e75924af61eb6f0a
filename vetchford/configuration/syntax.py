"""The syntax tree of a settings file, before references are resolved and values are checked."""

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
    """`[kind]: value`: a constraint on the value of each key of that kind."""

    kind: str
    value: "Node"


@dataclass(frozen=True, slots=True)
class Record:
    """`{...}`, or a whole file."""

    fields: tuple[Field, ...]
    pattern: Pattern | None
    is_open: bool  # has `...`: keys that are not declared are allowed
    location: SourceLocation

    def declares(self, label: str) -> bool:
        """Return whether a field has the label."""
        return any(field.label == label for field in self.fields)


@dataclass(frozen=True, slots=True)
class ItemList:
    """`[...]`; `rest` constrains further items, None if there may be none."""

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
        """Whether the reference names a definition, whose records are closed."""
        return self.labels[0].startswith("#")


@dataclass(frozen=True, slots=True)
class Option:
    """One part of a choice."""

    value: "Node"
    is_default: bool


@dataclass(frozen=True, slots=True)
class Choice:
    """`a | *b`: the value satisfies one of the options; `*` marks a default."""

    options: tuple[Option, ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class Conjunction:
    """`a & b`: the value satisfies all parts."""

    parts: tuple["Node", ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class AnyValue:
    """`_`: any value."""

    location: SourceLocation


@dataclass(frozen=True, slots=True)
class InvalidNode:
    """Placeholder for a value that could not be read; its problem is reported already."""

    location: SourceLocation


Node: TypeAlias = Scalar | Record | ItemList | Reference | Choice | Conjunction | AnyValue | InvalidNode
