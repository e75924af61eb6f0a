"""Resolves choices: tries each combination of options and prefers a valid one that keeps the defaults.

If the files' defaults can't all be kept, those of the last file take precedence.
"""

import itertools
from abc import abstractmethod
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from vetchford.configuration import values
from vetchford.configuration.errors import Problem
from vetchford.configuration.resolver import Resolver
from vetchford.configuration.syntax import Choice, ItemList, Node, Option, Record, Reference
from vetchford.configuration.value_tree import ABSENT, Absent, Constraint, PlainValue, Scope, ValueNode
from vetchford.configuration.values import Bound, Kind, Literal

MAX_SHOWN_VALUES = 4  # in the error for an ambiguous choice


@dataclass(frozen=True, slots=True)
class Candidate:
    """The result of one valid combination of options."""

    value: PlainValue
    defaults: tuple[bool, ...]  # by file, last file first: whether all its choices have their default
    node: ValueNode


class ChoiceResolver(Resolver):
    """Selects the options of choices; a subclass implements `evaluate` for each combination."""

    def __init__(self, schema: str, files: Sequence[str]) -> None:
        """Create a resolver for the schema file `schema` and the user's `files`; later defaults win."""
        super().__init__()
        self.schema = schema
        self.file_ranks = {name: rank for rank, name in enumerate(files)}
        # Problems of choices whose default refers to an invalid value: reported if there are no others.
        self.secondary_problems: list[Problem] = []

    @abstractmethod
    def evaluate(self, value: ValueNode) -> PlainValue | Absent:
        """Return plain data, or ABSENT after reporting the problem."""

    def decide(
        self, value: ValueNode, others: list[Constraint[Node]], choices: list[Constraint[Choice]]
    ) -> PlainValue | Absent:
        """Return the value of the preferred valid combination; report a problem if there is none."""
        # Choices of the schema, which is not in `file_ranks`, have the lowest rank.
        ranks = [self.file_ranks.get(choice.node.location.file, -1) for choice in choices]
        candidates: list[Candidate] = []
        failures: list[list[Problem]] = []
        for options in itertools.product(*(choice.node.options for choice in choices)):
            self.count_step()
            trial = ValueNode(value.path, value.depth, locations=value.locations, parent=value.parent)
            trial.constraints = others + [
                Constraint(option.value, choice.scope, choice.definition_uses)
                for option, choice in zip(options, choices, strict=True)
            ]
            with self.capture_problems() as problems:
                result = self.evaluate(trial)
            if result is ABSENT:
                failures.append(problems)
            else:
                candidates.append(Candidate(result, _defaults_taken(options, ranks), trial))
        if not candidates:
            return self._report_no_candidate(value, others, choices, failures)
        return self._preferred_value(value, candidates, choices)

    def _preferred_value(
        self, value: ValueNode, candidates: Sequence[Candidate], choices: Sequence[Constraint[Choice]]
    ) -> PlainValue | Absent:
        """Return the value of the candidates that keep the defaults of the latest files; they must agree."""
        most_defaults = max(candidate.defaults for candidate in candidates)
        preferred = [candidate for candidate in candidates if candidate.defaults == most_defaults]
        first = preferred[0]
        if all(_is_same(candidate.value, first.value) for candidate in preferred):
            value.children = first.node.children
            return first.value
        shown = ", ".join(repr(candidate.value) for candidate in preferred[:MAX_SHOWN_VALUES])
        return self.report(choices[0].node.location, value, f"is ambiguous: several values remain ({shown})")

    def _report_no_candidate(
        self,
        value: ValueNode,
        others: Sequence[Constraint[Node]],
        choices: Sequence[Constraint[Choice]],
        failures: Sequence[list[Problem]],
    ) -> Absent:
        inner = [problems for problems in failures if all(problem.path != value.path for problem in problems)]
        if len(inner) == 1:  # only one option has the right shape: report the problems inside it
            self.problems += inner[0]
            return ABSENT
        options = [option for choice in choices for option in choice.node.options]
        allowed = self._describe_options(options, choices[0].scope, value)
        for constraint in others:
            node = constraint.node
            if isinstance(node, Literal | Record | ItemList):
                found = describe_node(node, "a record or list")
                return self.report(node.location, value, f"found {found}; allowed: {allowed}")
        location = value.location(self.schema) or choices[0].node.location
        message = f"is missing; allowed: {allowed}"
        if any(option.is_default and isinstance(option.value, Reference) for option in options):
            self.secondary_problems.append(Problem(location, value.path, message))
            return ABSENT
        return self.report(location, value, message)

    def _describe_options(self, options: Iterable[Option], scope: Scope, value: ValueNode) -> str:
        descriptions = (self._describe_option(option.value, scope, value) for option in options)
        return " or ".join(dict.fromkeys(description for description in descriptions if description))

    def _describe_option(self, node: Node, scope: Scope, value: ValueNode) -> str:
        """Describe an option in words; return "" for an undefined reference."""
        with self.capture_problems():
            flat = self.flatten(ValueNode(value.path, value.depth), [Constraint(node, scope)]) or []
        scalars = [
            constraint.node for constraint in flat if isinstance(constraint.node, Literal | Kind | Bound)
        ]
        if scalars:
            return values.describe(scalars)
        return describe_node(flat[0].node, "a value") if flat else ""


def describe_node(node: Node, fallback: str) -> str:
    """Describe a node for an error line; return `fallback` if there is no description."""
    if isinstance(node, Record):
        return "a record {...}"
    if isinstance(node, ItemList):
        return "a list [...]"
    if isinstance(node, Literal):
        return node.text
    if isinstance(node, Kind | Bound):
        return values.describe([node])
    return fallback


def _defaults_taken(options: Sequence[Option], ranks: Sequence[int]) -> tuple[bool, ...]:
    """Return for each file rank, highest first, whether all choices of the file have their default."""
    return tuple(
        all(option.is_default for option, rank in zip(options, ranks, strict=True) if rank == file_rank)
        for file_rank in sorted(set(ranks), reverse=True)
    )


def _is_same(value: PlainValue, other: PlainValue) -> bool:
    """Return whether the values have equal type and value: 1 differs from 1.0 and from true."""
    return value == other and type(value) is type(other)
