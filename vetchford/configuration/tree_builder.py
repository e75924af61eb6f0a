"""Converts lark's parse tree into the syntax tree of `vetchford.configuration.syntax`."""

from collections.abc import Callable, Sequence
from typing import TypeAlias

from lark import Token, Tree

from vetchford.configuration import values
from vetchford.configuration.errors import Problem, SourceLocation
from vetchford.configuration.syntax import (
    AnyValue,
    Choice,
    Conjunction,
    Field,
    InvalidNode,
    ItemList,
    Node,
    Option,
    Pattern,
    Record,
    Reference,
)

ParseTree: TypeAlias = Tree[Token]
Part: TypeAlias = Token | ParseTree

LITERAL_PARSERS: dict[str, Callable[[str, SourceLocation], values.Literal]] = {
    "NUMBER": values.parse_number,
    "STRING": values.parse_string,
    "CONSTANT": values.parse_constant,
}
PARTS_OF_OPTIONAL_FIELD = 3  # label, question mark, value
PARTS_OF_DEFAULT_OPTION = 2  # asterisk, value


class TreeBuilder:
    """Builds the nodes of one file; an invalid literal becomes a problem and an InvalidNode."""

    def __init__(self, file: str) -> None:
        """Create a builder; `file` is the name used in locations."""
        self.file = file
        self.problems: list[Problem] = []
        self._builders: dict[str, Callable[[Sequence[Part], SourceLocation], Node]] = {
            "choice": self._choice,
            "conjunction": self._conjunction,
            "bound": self._bound,
            "literal": self._literal,
            "kind": self._kind,
            "any": self._any_value,
            "reference": self._reference,
            "record": self.record,
            "list": self._item_list,
        }

    def record(self, parts: Sequence[Part], location: SourceLocation) -> Record:
        """Return the record with the given fields, also for a whole file."""
        fields: list[Field] = []
        pattern: Pattern | None = None
        is_open = False
        for part in _trees(parts):
            if part.data == "open":
                is_open = True
            elif part.data == "pattern":
                kind, value = part.children
                pattern = Pattern(str(kind), self._node(value))
            else:
                fields.append(self._field(part))
        return Record(tuple(fields), pattern, is_open, location)

    def _node(self, tree: Part) -> Node:
        assert isinstance(tree, Tree), "the grammar makes a tree of each value"
        return self._builders[str(tree.data)](tree.children, self._location(tree))

    def _field(self, tree: ParseTree) -> Field:
        label = tree.children[0]
        value = tree.children[-1]
        is_optional = len(tree.children) == PARTS_OF_OPTIONAL_FIELD
        if isinstance(value, Tree) and value.data == "nested_field":  # a: b: 1 is a: {b: 1}
            inner = self._field(value)
            node: Node = Record((inner,), None, False, inner.location)
        else:
            node = self._node(value)
        return Field(self._label(label), is_optional, node, self._location(label))

    def _choice(self, parts: Sequence[Part], location: SourceLocation) -> Node:
        options = tuple(
            Option(self._node(tree.children[-1]), len(tree.children) == PARTS_OF_DEFAULT_OPTION)
            for tree in _trees(parts)
        )
        if len(options) == 1 and not options[0].is_default:
            return options[0].value
        return Choice(options, location)

    def _conjunction(self, parts: Sequence[Part], location: SourceLocation) -> Node:
        return Conjunction(tuple(self._node(part) for part in parts), location)

    def _bound(self, parts: Sequence[Part], location: SourceLocation) -> Node:
        operator = str(parts[0])
        limit = self._node(parts[1])
        return values.Bound(operator, limit, location) if isinstance(limit, values.Literal) else limit

    def _literal(self, parts: Sequence[Part], location: SourceLocation) -> Node:
        token = parts[0]
        assert isinstance(token, Token)
        try:
            return LITERAL_PARSERS[token.type](str(token), location)
        except ValueError as error:
            self.problems.append(Problem(location, "", str(error)))
            return InvalidNode(location)

    def _kind(self, parts: Sequence[Part], location: SourceLocation) -> Node:
        return values.Kind(str(parts[0]), location)

    def _any_value(self, parts: Sequence[Part], location: SourceLocation) -> Node:
        return AnyValue(location)

    def _reference(self, parts: Sequence[Part], location: SourceLocation) -> Node:
        return Reference(tuple(self._label(part) for part in parts), location)

    def _item_list(self, parts: Sequence[Part], location: SourceLocation) -> Node:
        trees = _trees(parts)
        rest = next((tree for tree in trees if tree.data == "rest"), None)
        return ItemList(
            tuple(self._node(tree) for tree in trees if tree is not rest),
            self._node(rest.children[-1]) if rest is not None else None,
            location,
        )

    def _label(self, part: Part) -> str:
        if not isinstance(part, Token) or part.type != "STRING":
            return str(part)
        location = self._location(part)
        try:
            return str(values.parse_string(str(part), location).value)
        except ValueError as error:
            self.problems.append(Problem(location, "", str(error)))
            return str(part)

    def _location(self, part: Part) -> SourceLocation:
        if isinstance(part, Token):
            return SourceLocation(self.file, part.line or 1, part.column or 1)
        meta = part.meta  # has no position where the tree is empty
        return SourceLocation(self.file, getattr(meta, "line", 1), getattr(meta, "column", 1))


def _trees(parts: Sequence[Part]) -> list[ParseTree]:
    """Return the parts without the commas between them."""
    return [part for part in parts if isinstance(part, Tree)]
