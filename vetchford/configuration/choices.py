"""Unifies choices: each combination of options is tried, and defaults decide among those that hold."""

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

MAX_SHOWN_VALUES = 4  # of those between which a choice is not decided


@dataclass(frozen=True, slots=True)
class Candidate:
    """The result of one combination of options that holds."""

    value: PlainValue
    defaults: tuple[bool, ...]  # by file, the last first: whether the combination takes its defaults
    node: ValueNode


class ChoiceResolver(Resolver):
    """Decides between options; `evaluate` is what a subclass makes of each combination."""

    def __init__(self, schema: str, files: Sequence[str]) -> None:
        """`schema`: the file that is not the user's. `files`: the user's; defaults of later ones hold."""
        super().__init__()
        self.schema = schema
        self.file_ranks = {name: rank for rank, name in enumerate(files)}
        # By defaults that refer to what is wrong itself: reported if nothing else is.
        self.consequences: list[Problem] = []

    @abstractmethod
    def evaluate(self, value: ValueNode) -> PlainValue | Absent:
        """Plain data, or ABSENT with the reason among the problems."""

    def decide(
        self, value: ValueNode, others: list[Constraint[Node]], choices: list[Constraint[Choice]]
    ) -> PlainValue | Absent:
        """The one value that remains; what is wrong with the combinations is reported if none does."""
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
            with self.captured_problems() as problems:
                result = self.evaluate(trial)
            if result is ABSENT:
                failures.append(problems)
            else:
                candidates.append(Candidate(result, _defaults_taken(options, ranks), trial))
        if not candidates:
            return self._report_no_candidate(value, others, choices, failures)
        return self._only_candidate(value, candidates, choices)

    def _only_candidate(
        self, value: ValueNode, candidates: Sequence[Candidate], choices: Sequence[Constraint[Choice]]
    ) -> PlainValue | Absent:
        """Of those with the most defaults, if all of them are the same."""
        most_defaults = max(candidate.defaults for candidate in candidates)
        preferred = [candidate for candidate in candidates if candidate.defaults == most_defaults]
        first = preferred[0]
        if all(_is_same(candidate.value, first.value) for candidate in preferred):
            value.children = first.node.children
            return first.value
        shown = ", ".join(repr(candidate.value) for candidate in preferred[:MAX_SHOWN_VALUES])
        return self.report(
            choices[0].node.location, value, f"is not decided: several values remain ({shown})"
        )

    def _report_no_candidate(
        self,
        value: ValueNode,
        others: Sequence[Constraint[Node]],
        choices: Sequence[Constraint[Choice]],
        failures: Sequence[list[Problem]],
    ) -> Absent:
        inner = [problems for problems in failures if all(one.path != value.path for one in problems)]
        if len(inner) == 1:  # one option was of the right sort: what is wrong is inside it
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
            self.consequences.append(Problem(location, value.path, message))
            return ABSENT
        return self.report(location, value, message)

    def _describe_options(self, options: Iterable[Option], scope: Scope, value: ValueNode) -> str:
        descriptions = (self._describe_option(option.value, scope, value) for option in options)
        return " or ".join(dict.fromkeys(description for description in descriptions if description))

    def _describe_option(self, node: Node, scope: Scope, value: ValueNode) -> str:
        """In words; empty where its reference goes nowhere."""
        with self.captured_problems():
            flat = self.flatten(ValueNode(value.path, value.depth), [Constraint(node, scope)]) or []
        scalars = [one.node for one in flat if isinstance(one.node, Literal | Kind | Bound)]
        if scalars:
            return values.describe(scalars)
        return describe_node(flat[0].node, "a value") if flat else ""


def describe_node(node: Node, otherwise: str) -> str:
    """What a node is, for an error line; `otherwise` where no single words tell it."""
    if isinstance(node, Record):
        return "a record {...}"
    if isinstance(node, ItemList):
        return "a list [...]"
    if isinstance(node, Literal):
        return node.text
    if isinstance(node, Kind | Bound):
        return values.describe([node])
    return otherwise


def _defaults_taken(options: Sequence[Option], ranks: Sequence[int]) -> tuple[bool, ...]:
    """For each rank of a file, the highest first: whether all its choices take their default."""
    return tuple(
        all(option.is_default for option, rank in zip(options, ranks, strict=True) if rank == level)
        for level in sorted(set(ranks), reverse=True)
    )


def _is_same(one: PlainValue, other: PlainValue) -> bool:
    """Equal and of one type, as 1 is not 1.0 and not true."""
    return one == other and type(one) is type(other)
