"""Parses text into a syntax tree with lark and collects all syntax errors of a file."""

from collections.abc import Iterator
from functools import cache
from pathlib import Path

from lark import Lark, Token
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from vetchford.configuration.errors import NestingTooDeepError, Problem, SourceLocation
from vetchford.configuration.syntax import Record
from vetchford.configuration.tree_builder import TreeBuilder

MAX_FILE_BYTES = 256 * 1024  # enough for a thousand pools
MAX_NESTING = 48  # brackets: genuine files have four or five levels
MAX_KEYS_ON_LINE = 8 * MAX_NESTING  # `a: b: c: 1` nests without brackets
MAX_SYNTAX_ERRORS = 20  # in one file; one mistake can cause a few errors after it
MAX_SHOWN_TOKEN = 60  # characters

GRAMMAR_FILE = Path(__file__).with_name("grammar.lark")
OPENING_BRACKETS = frozenset(("LBRACE", "LSQB", "LPAR"))
CLOSING_BRACKETS = frozenset(("RBRACE", "RSQB", "RPAR"))
LINE_END = "_NL"
END_OF_FILE = "$END"

# Tokens after which the end of the line ends the entry.
ENTRY_ENDS = CLOSING_BRACKETS | {
    "NAME",
    "DEFINITION",
    "STRING",
    "NUMBER",
    "CONSTANT",
    "KIND",
    "ANY",
    "ELLIPSIS",
}

TOKEN_DESCRIPTIONS = {
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
    END_OF_FILE: "the end of the file",
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


class SeparatorFilter:
    """Replaces line ends by commas where an entry can end, and limits the nesting of a file.

    lark calls `process` between the lexer and the parser (`postlex`).
    """

    always_accept = (LINE_END,)

    def process(self, tokens: Iterator[Token]) -> Iterator[Token]:
        """Yield the tokens for the grammar; raise NestingTooDeepError if the file is nested too deeply."""
        previous = ""
        for token in self._limit_nesting(tokens):
            if token.type == LINE_END:
                if previous in ENTRY_ENDS:
                    previous = "COMMA"
                    yield Token.new_borrow_pos("COMMA", "line end", token)
                continue
            if token.type == "COMMA" and previous == "COMMA":
                continue  # a comma before the end of the line, or an empty line
            previous = token.type
            yield token

    def _limit_nesting(self, tokens: Iterator[Token]) -> Iterator[Token]:
        """Yield the same tokens; raise NestingTooDeepError if brackets or keys are nested too deeply."""
        depth = keys_on_line = line = 0
        for token in tokens:
            if token.line != line:
                keys_on_line = 0
                line = token.line or 0
            if token.type in OPENING_BRACKETS:
                depth += 1
            elif token.type in CLOSING_BRACKETS:
                depth -= 1
            elif token.type == "COLON":
                keys_on_line += 1
            if depth > MAX_NESTING or keys_on_line > MAX_KEYS_ON_LINE:
                raise NestingTooDeepError(token.line or 1, token.column or 1)
            yield token


@cache
def _lark_parser() -> Lark:
    return Lark(
        GRAMMAR_FILE.read_text(encoding="utf-8"),
        start="file",
        parser="lalr",
        lexer="contextual",
        postlex=SeparatorFilter(),
        propagate_positions=True,
        maybe_placeholders=False,
    )


def parse(text: str, file: str) -> tuple[Record | None, list[Problem]]:
    """Return the record of the file, None if its syntax is invalid, and the problems found."""
    start = SourceLocation(file, 1, 1)
    if len(text.encode("utf-8", "replace")) > MAX_FILE_BYTES:
        return None, [
            Problem(start, "", f"found more than {MAX_FILE_BYTES} bytes; allowed: {MAX_FILE_BYTES} at most")
        ]
    problems: list[Problem] = []

    def record_and_continue(error: UnexpectedInput) -> bool:
        problems.append(_syntax_problem(error, file))
        return len(problems) < MAX_SYNTAX_ERRORS and not _is_at_end(error)

    try:
        tree = _lark_parser().parse(text + "\n", on_error=record_and_continue)
    except UnexpectedInput:
        return None, _first_of_each_line(problems)
    except NestingTooDeepError as error:
        location = SourceLocation(file, error.line, error.column)
        problems.append(Problem(location, "", f"nested deeper than {MAX_NESTING} levels"))
        return None, _first_of_each_line(problems)
    if problems:
        return None, _first_of_each_line(problems)
    builder = TreeBuilder(file)
    return builder.record(tree.children, start), builder.problems


def _is_at_end(error: UnexpectedInput) -> bool:
    return isinstance(error, UnexpectedToken) and error.token.type == END_OF_FILE


def _first_of_each_line(problems: list[Problem]) -> list[Problem]:
    """Return the first problem of each line, which mostly causes the others of that line."""
    first: dict[int, Problem] = {}
    for problem in problems:
        first.setdefault(problem.location.line, problem)
    return list(first.values())


def _syntax_problem(error: UnexpectedInput, file: str) -> Problem:
    allowed: set[str] = set()
    if isinstance(error, UnexpectedCharacters):
        allowed = set(error.allowed or ())
        found = repr(error.char)
    elif isinstance(error, UnexpectedToken):
        allowed = set(error.accepts or error.expected or ())
        found = "the end of the file" if _is_at_end(error) else str(error.token)[:MAX_SHOWN_TOKEN]
    else:
        found = "something else"
    names = sorted({TOKEN_DESCRIPTIONS.get(name, name) for name in allowed - {LINE_END}})
    message = f"found {found}; allowed here: {', '.join(names) or 'nothing'}"
    return Problem(SourceLocation(file, max(1, error.line), max(1, error.column)), "", message)
