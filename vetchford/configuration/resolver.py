"""Resolves references and conjunctions, and collects the constraints that records put on each key."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from vetchford.configuration.errors import LimitExceededError, Problem, SourceLocation
from vetchford.configuration.syntax import Conjunction, Node, Record, Reference
from vetchford.configuration.value_tree import ABSENT, Absent, Constraint, Scope, ValueNode, with_node_of

MAX_STEPS = 100_000  # constraints visited, in about a second; a file of fifty pools needs some thousands
MAX_KEY_DEPTH = 64


class Resolver:
    """Resolves references, counts the steps of one evaluation and collects its problems."""

    def __init__(self) -> None:
        """Create a resolver without problems."""
        self.steps = 0
        self.definition_uses: list[Reference] = []  # indexed by the numbers in `Constraint.definition_uses`
        self.problems: list[Problem] = []

    def count_step(self) -> None:
        """Count a step; raise LimitExceededError after more steps than genuine files need."""
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise LimitExceededError(f"needs more than {MAX_STEPS} steps; use fewer choices and references")

    @contextmanager
    def capture_problems(self) -> Iterator[list[Problem]]:
        """Collect the problems reported in the `with` block in the yielded list instead of `problems`."""
        outer = self.problems
        self.problems = []
        try:
            yield self.problems
        finally:
            self.problems = outer

    def report(self, location: SourceLocation, value: ValueNode, message: str) -> Absent:
        """Add a problem and return ABSENT, the result for an invalid value."""
        self.problems.append(Problem(location, value.path, message))
        return ABSENT

    def flatten(
        self, value: ValueNode, constraints: Sequence[Constraint[Node]]
    ) -> list[Constraint[Node]] | None:
        """Resolve references and conjunctions of the constraints; return None if a reference is invalid."""
        flat: list[Constraint[Node]] = []
        pending: list[tuple[Constraint[Node], tuple[int, ...]]] = [
            (constraint, ()) for constraint in reversed(constraints)
        ]
        is_valid = True
        while pending:
            # `visited_ids`: ids of the reference targets that led to this constraint
            constraint, visited_ids = pending.pop()
            self.count_step()
            node = constraint.node
            scope = constraint.scope
            if isinstance(node, Conjunction):
                pending += [
                    (Constraint(part, scope, constraint.definition_uses), visited_ids)
                    for part in reversed(node.parts)
                ]
            elif isinstance(node, Reference):
                target = self._target(node, scope, value)
                if target is None:
                    is_valid = False
                elif id(target) in visited_ids or target is value or len(visited_ids) > MAX_KEY_DEPTH:
                    self.report(node.location, value, f"'{'.'.join(node.labels)}' refers to itself")
                    is_valid = False
                else:
                    uses = self._uses_by(node, constraint)
                    pending += [
                        (
                            Constraint(inner.node, inner.scope, uses + inner.definition_uses),
                            (*visited_ids, id(target)),
                        )
                        for inner in reversed(target.constraints)
                    ]
            else:
                flat.append(constraint)
        return flat if is_valid else None

    def expand(self, value: ValueNode, flat: Sequence[Constraint[Node]]) -> None:
        """Create the children of a value with the constraints that its records put on each."""
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
        """Return the uses of definitions that lead to the constraints of the target."""
        if not reference.is_definition:
            return constraint.definition_uses
        self.definition_uses.append(reference)
        return (*constraint.definition_uses, len(self.definition_uses) - 1)

    def _target(self, reference: Reference, scope: Scope, value: ValueNode) -> ValueNode | None:
        """Return the target of a reference, searched from its scope outwards; report a missing target."""
        first = reference.labels[0]
        declaring: Scope | None = scope
        while declaring is not None and not declaring.declares(first):
            declaring = declaring.outer
        if declaring is None:
            self.report(reference.location, value, f"found a reference to '{first}', which is not defined")
            return None
        target = declaring.value.child(first)
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
            scope = constraint.scope  # the root: references see the keys of all files
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
