"""Text to a tree of nodes, through lark. All errors of a file are gathered, not the first alone."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from vetchford.configuration import values
from vetchford.configuration.errors import Place, Problem, TooMuchError

MOST_BYTES = 256 * 1024  # of a file: a thousand pools fit
MOST_DEPTH = 48  # of brackets and of nested keys: true files have four or five
MOST_ERRORS = 20  # of one file; one slip can bring a few that follow from it
ENDS = frozenset(
    (
        "NAME",
        "DEFINITION",
        "STRING",
        "NUMBER",
        "CONSTANT",
        "KIND",
        "ANY",
        "ELLIPSIS",
        "RBRACE",
        "RSQB",
        "RPAR",
    )
)  # after these a line's end ends the entry
SAID = {
    "COMMA": "','",
    "COLON": "':'",
    "RBRACE": "'}'",
    "LBRACE": "'{'",
    "RSQB": "']'",
    "LSQB": "'['",
    "RPAR": "')'",
    "LPAR": "'('",
    "VBAR": "'|'",
    "__ANON_0": "'&'",
    "AMPERSAND": "'&'",
    "DOT": "'.'",
    "$END": "the end of the file",
    "NAME": "a key",
    "DEFINITION": "a definition",
    "STRING": "a string",
    "NUMBER": "a number",
    "KIND": "a kind",
    "CONSTANT": "true, false or null",
    "OPTIONAL": "'?'",
    "DEFAULT": "'*'",
    "BOUND": "a bound",
    "ANY": "'_'",
    "ELLIPSIS": "'...'",
}


@dataclass(frozen=True, slots=True)
class Field:
    label: str
    optional: bool
    value: "Node"
    place: Place


@dataclass(frozen=True, slots=True)
class Record:
    fields: tuple[Field, ...]
    pattern: tuple[str, "Node"] | None  # kind of the keys, and what holds for each
    open: bool
    place: Place

    def declares(self, label: str) -> bool:
        return any(field.label == label for field in self.fields)


@dataclass(frozen=True, slots=True)
class Items:
    items: tuple["Node", ...]
    rest: "Node | None"
    place: Place


@dataclass(frozen=True, slots=True)
class Reference:
    labels: tuple[str, ...]
    place: Place


@dataclass(frozen=True, slots=True)
class Choice:
    options: tuple[tuple["Node", bool], ...]  # and whether it is the default
    place: Place


@dataclass(frozen=True, slots=True)
class Both:
    parts: tuple["Node", ...]
    place: Place


@dataclass(frozen=True, slots=True)
class Anything:
    place: Place


@dataclass(frozen=True, slots=True)
class InvalidNode:
    """Stands where a value could not be read, which is told already."""

    place: Place


Node = values.Scalar | Record | Items | Reference | Choice | Both | Anything | InvalidNode


class SeparatorFilter:
    """Line ends to commas where an entry can end; brackets are counted, so that depth is bounded."""

    always_accept = ("_NL",)

    def process(self, tokens: Iterator[Token]) -> Iterator[Token]:
        last, depth, chain, line = "", 0, 0, 0
        for token in tokens:
            if token.line != line:
                chain, line = 0, token.line
            if token.type in ("LBRACE", "LSQB", "LPAR"):
                depth += 1
            elif token.type in ("RBRACE", "RSQB", "RPAR"):
                depth -= 1
            chain += token.type == "COLON"
            if depth > MOST_DEPTH or chain > 8 * MOST_DEPTH:
                raise TooMuchError(f"{token.line}:{token.column}")
            if token.type == "_NL":
                if last in ENDS:
                    last = "COMMA"
                    yield Token.new_borrow_pos("COMMA", "line end", token)
                continue
            if token.type == "COMMA" and last == "COMMA":
                continue  # written before a line's end, or an empty line between
            last = token.type
            yield token


@cache
def parser() -> Lark:
    grammar = Path(__file__).with_name("grammar.lark").read_text(encoding="utf-8")
    return Lark(
        grammar,
        start="file",
        parser="lalr",
        lexer="contextual",
        postlex=SeparatorFilter(),
        propagate_positions=True,
        maybe_placeholders=False,
    )


def parse(text: str, file: str) -> tuple[Record | None, list[Problem]]:
    """The file's record (None where it can't be read at all) and what is wrong with its form."""
    problems: list[Problem] = []
    if len(text.encode("utf-8", "replace")) > MOST_BYTES:
        return None, [
            Problem(Place(file, 1, 1), "", f"found more than {MOST_BYTES} bytes; allowed: up to that")
        ]

    def went_wrong(error: UnexpectedInput) -> bool:
        problems.append(told(error, file))
        return len(problems) < MOST_ERRORS and not ended(error)

    try:
        tree = parser().parse(text + "\n", on_error=went_wrong)
    except UnexpectedInput:
        return None, once_a_line(problems)
    except TooMuchError as deep:
        line, column = map(int, str(deep).split(":"))
        problem = Problem(Place(file, line, column), "", f"nested deeper than {MOST_DEPTH} levels")
        return None, once_a_line([*problems, problem])
    if problems:
        return None, once_a_line(problems)
    maker = TreeBuilder(file)
    record = maker.record(tree.children, Place(file, 1, 1))
    return record, maker.problems


def ended(error: UnexpectedInput) -> bool:
    return isinstance(error, UnexpectedToken) and error.token.type == "$END"


def once_a_line(problems: list[Problem]) -> list[Problem]:
    """The first of each line: what follows on it mostly follows from it."""
    first: dict[int, Problem] = {}
    for problem in problems:
        first.setdefault(problem.place.line, problem)
    return list(first.values())


def told(error: UnexpectedInput, file: str) -> Problem:
    allowed: set[str] = set()
    if isinstance(error, UnexpectedCharacters):
        allowed, found = set(error.allowed or ()), repr(error.char)
    elif isinstance(error, UnexpectedToken):
        allowed = set(error.accepts or error.expected or ())
        found = {"$END": "the end of the file"}.get(error.token.type, str(error.token)[:60])
    else:
        found = "something else"
    names = sorted({SAID.get(name, name) for name in allowed - {"_NL"}})
    line, column = max(1, error.line), max(1, error.column)
    text = f"found {found}; allowed here: {', '.join(names) or 'nothing'}"
    return Problem(Place(file, line, column), "", text)


class TreeBuilder:
    """Nodes of a tree; what is wrong with single values is kept and the value passed over."""

    def __init__(self, file: str) -> None:
        self.file, self.problems = file, []

    def place(self, of: Any) -> Place:
        if isinstance(of, Token):
            return Place(self.file, of.line or 1, of.column or 1)
        meta = of.meta
        return Place(self.file, getattr(meta, "line", 1), getattr(meta, "column", 1))

    def label(self, token: Token) -> str:
        if token.type != "STRING":
            return str(token)
        try:
            return values.string(str(token), self.place(token)).value
        except ValueError as problem:
            self.problems.append(Problem(self.place(token), "", str(problem)))
            return str(token)

    def record(self, children: list[Any], place: Place) -> Record:
        fields, pattern, is_open = [], None, False
        for entry in children:
            if isinstance(entry, Token):
                continue  # a comma
            if entry.data == "open":
                is_open = True
            elif entry.data == "pattern":
                pattern = (str(entry.children[0]), self.node(entry.children[1]))
            else:
                fields.append(self.field(entry))
        return Record(tuple(fields), pattern, is_open, place)

    def field(self, tree: Tree) -> Field:
        label, value = tree.children[0], tree.children[-1]
        optional = len(tree.children) == 3
        if isinstance(value, Tree) and value.data == "field_in":  # a: b: 1 is a: {b: 1}
            inner = self.field(value)
            node: Node = Record((inner,), None, False, inner.place)
        else:
            node = self.node(value)
        return Field(self.label(label), optional, node, self.place(label))

    def node(self, tree: Any) -> Node:
        place, parts = self.place(tree), getattr(tree, "children", [])
        made = getattr(self, "made_" + tree.data)
        return made(parts, place)

    def made_choice(self, parts: list[Any], place: Place) -> Node:
        options = tuple((self.node(option.children[-1]), len(option.children) == 2) for option in parts)
        return options[0][0] if len(options) == 1 and not options[0][1] else Choice(options, place)

    def made_both(self, parts: list[Any], place: Place) -> Node:
        return Both(tuple(self.node(part) for part in parts), place)

    def made_bound(self, parts: list[Any], place: Place) -> Node:
        than = self.node(parts[1])
        return values.Bound(str(parts[0]), than, place) if isinstance(than, values.Known) else than

    def made_literal(self, parts: list[Any], place: Place) -> Node:
        token = parts[0]
        read = {"NUMBER": values.number, "STRING": values.string, "CONSTANT": values.constant}[token.type]
        try:
            return read(str(token), place)
        except ValueError as problem:
            self.problems.append(Problem(place, "", str(problem)))
            return InvalidNode(place)

    def made_kind(self, parts: list[Any], place: Place) -> Node:
        return values.Kind(str(parts[0]), place)

    def made_any(self, parts: list[Any], place: Place) -> Node:
        return Anything(place)

    def made_reference(self, parts: list[Any], place: Place) -> Node:
        return Reference(tuple(self.label(part) for part in parts), place)

    def made_record(self, parts: list[Any], place: Place) -> Node:
        return self.record(parts, place)

    def made_list(self, parts: list[Any], place: Place) -> Node:
        items = [part for part in parts if not isinstance(part, Token)]
        rest = next((part for part in items if part.data == "rest"), None)
        return Items(
            tuple(self.node(part) for part in items if part is not rest),
            self.node(rest.children[-1]) if rest is not None else None,
            place,
        )
