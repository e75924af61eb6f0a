"""The tree that files are unified into: each key with its constraints."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, Generic, TypeAlias, TypeVar, cast

from vetchford.configuration.errors import SourceLocation
from vetchford.configuration.syntax import Node, Record

AnyNode_co = TypeVar("AnyNode_co", bound=Node, covariant=True)

PlainValue: TypeAlias = None | bool | int | float | str | list["PlainValue"] | dict[str, "PlainValue"]


class Absent(enum.Enum):
    """The type of ABSENT."""

    ABSENT = enum.auto()


ABSENT: Final = Absent.ABSENT  # the result for a key without a value or with an invalid one


@dataclass(slots=True)
class Scope:
    """A record in which references look names up, and the scopes around it."""

    value: "ValueNode"
    record: Record | None  # None for the root: the keys of all files
    outer: "Scope | None"

    def declares(self, label: str) -> bool:
        """Return whether this scope declares the label, which ends the search for a reference."""
        return self.record.declares(label) if self.record else label in self.value.children


@dataclass(slots=True)
class Constraint(Generic[AnyNode_co]):
    """A node that a value must satisfy, and where its references look names up."""

    node: AnyNode_co
    scope: Scope
    definition_uses: tuple[int, ...] = ()  # numbers of the definition uses that led to this constraint


@dataclass(slots=True)
class ValueNode:
    """One key of the result, with the constraints of all files and definitions on it."""

    path: str
    depth: int
    constraints: list[Constraint[Node]] = field(default_factory=list)
    children: dict[str, "ValueNode"] = field(default_factory=dict)
    is_optional: bool = True  # until a field declares the key without a question mark
    locations: list[SourceLocation] = field(default_factory=list)  # where files write the key
    parent: "ValueNode | None" = None

    def child(self, label: str) -> "ValueNode":
        """Return the value of a key, which is created if there is none."""
        if label not in self.children:
            path = f"{self.path}.{label}" if self.path else label
            self.children[label] = ValueNode(path, self.depth + 1, parent=self)
        return self.children[label]

    def location(self, schema: str) -> SourceLocation | None:
        """Return where a file other than `schema` writes the key last, else the nearest key above it."""
        for location in reversed(self.locations):
            if location.file != schema:
                return location
        inherited = self.parent.location(schema) if self.parent else None
        return inherited or next(iter(self.locations), None)


SomeNode = TypeVar("SomeNode", bound=Node)


def with_node_of(kind: type[SomeNode], constraints: Iterable[Constraint[Node]]) -> list[Constraint[SomeNode]]:
    """Return the constraints whose node has the type `kind`."""
    return [
        cast("Constraint[SomeNode]", constraint)
        for constraint in constraints
        if isinstance(constraint.node, kind)
    ]
