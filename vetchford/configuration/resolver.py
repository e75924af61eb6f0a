"""Resolves references and conjunctions, and gathers under each key all that records say of it."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from vetchford.configuration.errors import LimitExceededError, Problem, SourceLocation
from vetchford.configuration.syntax import Conjunction, Node, Record, Reference
from vetchford.configuration.value_tree import ABSENT, Absent, Constraint, Scope, ValueNode, with_node_of

MAX_STEPS = 100_000  # constraints looked at: a file of fifty pools takes some thousands; about a second
MAX_KEY_DEPTH = 64


class Resolver:
    """References to what they refer to; counts the steps of one reading, and keeps its problems."""

    def __init__(self) -> None:
        """Nothing is resolved yet."""
        self.steps = 0
        self.definition_uses: list[Reference] = []  # by the numbers in `Constraint.definition_uses`
        self.problems: list[Problem] = []

    def count_step(self) -> None:
        """LimitExceededError once a reading takes more steps than genuine files need."""
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise LimitExceededError(f"more than {MAX_STEPS} steps: choices or references multiply")

    @contextmanager
    def captured_problems(self) -> Iterator[list[Problem]]:
        """Problems that are reported meanwhile go to the list that is given, and nowhere else."""
        outer = self.problems
        self.problems = []
        try:
            yield self.problems
        finally:
            self.problems = outer

    def report(self, location: SourceLocation, value: ValueNode, message: str) -> Absent:
        """Adds a problem; returns what a value is that has one."""
        self.problems.append(Problem(location, value.path, message))
        return ABSENT

    def flatten(
        self, value: ValueNode, constraints: Sequence[Constraint[Node]]
    ) -> list[Constraint[Node]] | None:
        """The constraints without references and conjunctions; None where a reference goes nowhere."""
        flat: list[Constraint[Node]] = []
        pending: list[tuple[Constraint[Node], tuple[int, ...]]] = [(one, ()) for one in reversed(constraints)]
        is_good = True
        while pending:
            constraint, via = pending.pop()  # `via`: the targets that led here
            self.count_step()
            node = constraint.node
            scope = constraint.scope
            if isinstance(node, Conjunction):
                pending += [
                    (Constraint(part, scope, constraint.definition_uses), via)
                    for part in reversed(node.parts)
                ]
            elif isinstance(node, Reference):
                target = self._target(node, scope, value)
                if target is None:
                    is_good = False
                elif id(target) in via or target is value or len(via) > MAX_KEY_DEPTH:
                    self.report(node.location, value, f"'{'.'.join(node.labels)}' refers to itself")
                    is_good = False
                else:
                    uses = self._uses_by(node, constraint)
                    pending += [
                        (
                            Constraint(one.node, one.scope, uses + one.definition_uses),
                            (*via, id(target)),
                        )
                        for one in reversed(target.constraints)
                    ]
            else:
                flat.append(constraint)
        return flat if is_good else None

    def expand(self, value: ValueNode, flat: Sequence[Constraint[Node]]) -> None:
        """Gives the value its children, with all that its records say of each."""
        records = with_node_of(Record, flat)
        value.children = {label: child for label, child in value.children.items() if child.constraints}
        for child in value.children.values():
            child.constraints = []
            child.locations = []
            child.is_optional = True
        for constraint in records:
            self._add_fields(value, constraint)
        for constraint in records:
            self._add_pattern(value, constraint)

    def _uses_by(self, reference: Reference, constraint: Constraint[Node]) -> tuple[int, ...]:
        """The uses of definitions that the target's constraints come by."""
        if not reference.is_definition:
            return constraint.definition_uses
        self.definition_uses.append(reference)
        return (*constraint.definition_uses, len(self.definition_uses) - 1)

    def _target(self, reference: Reference, scope: Scope, value: ValueNode) -> ValueNode | None:
        """What a reference refers to, found from its scope outwards; a problem of `value` if nothing."""
        first = reference.labels[0]
        around: Scope | None = scope
        while around is not None and not around.declares(first):
            around = around.outer
        if around is None:
            self.report(
                reference.location, value, f"found a reference to '{first}', which nothing here defines"
            )
            return None
        target = around.value.child(first)
        for label in reference.labels[1:]:
            self.expand(target, self.flatten(target, target.constraints) or [])
            if label not in target.children:
                name = ".".join(reference.labels)
                self.report(
                    reference.location,
                    value,
                    f"found a reference to '{name}': '{target.path}' has no key '{label}'",
                )
                return None
            target = target.children[label]
        return target

    def _add_fields(self, value: ValueNode, constraint: Constraint[Record]) -> None:
        scope = Scope(value, constraint.node, constraint.scope)
        if not value.path and constraint.scope.value is value:
            scope = constraint.scope  # the top: names of all files are in view
        for field in constraint.node.fields:
            self.count_step()
            child = value.child(field.label)
            child.constraints.append(Constraint(field.value, scope, constraint.definition_uses))
            child.locations.append(field.location)
            child.is_optional &= field.optional

    def _add_pattern(self, value: ValueNode, constraint: Constraint[Record]) -> None:
        pattern = constraint.node.pattern
        if pattern is None:
            return
        scope = Scope(value, constraint.node, constraint.scope)
        for label, child in value.children.items():
            if not constraint.node.declares(label) and not label.startswith("#"):
                child.constraints.append(Constraint(pattern.value, scope, constraint.definition_uses))
