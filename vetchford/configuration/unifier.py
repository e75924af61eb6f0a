"""Unifies records: the value of a key satisfies the constraints of all files.

`Resolver` builds the tree of values and `ChoiceResolver` resolves choices; this module evaluates records,
lists and single values to plain data. Nothing is executed, and the number of steps is limited.
"""

import difflib
from collections.abc import Sequence

from vetchford.configuration import values
from vetchford.configuration.choices import ChoiceResolver, describe_node
from vetchford.configuration.errors import LimitExceededError
from vetchford.configuration.resolver import MAX_KEY_DEPTH
from vetchford.configuration.scalars import Mismatch, unify_scalars
from vetchford.configuration.syntax import AnyValue, Choice, InvalidNode, ItemList, Node, Record
from vetchford.configuration.value_tree import (
    ABSENT,
    Absent,
    Constraint,
    PlainValue,
    Scope,
    ValueNode,
    with_node_of,
)
from vetchford.configuration.values import Bound, Kind, Literal

RECORD = "a record"
LIST = "a list"
SINGLE_VALUE = "a single value"


class Unifier(ChoiceResolver):
    """Evaluates the values of some files to plain data as in JSON; `problems` has what is invalid."""

    def root_of(self, records: Sequence[Record]) -> ValueNode:
        """Return a root with the children that the records declare."""
        root = ValueNode("", 0)
        scope = Scope(root, None, None)
        for record in records:
            root.constraints.append(Constraint(record, scope))
        self.expand(root, root.constraints)
        return root

    def evaluate(self, value: ValueNode) -> PlainValue | Absent:
        """Return plain data, or ABSENT after reporting the problem."""
        if value.depth > MAX_KEY_DEPTH:
            raise LimitExceededError(f"keys nested deeper than {MAX_KEY_DEPTH}")
        flat = self.flatten(value, value.constraints)
        if flat is None or with_node_of(InvalidNode, flat):
            return ABSENT
        choices = with_node_of(Choice, flat)
        others = [constraint for constraint in flat if not isinstance(constraint.node, Choice | AnyValue)]
        if choices:
            return self.decide(value, others, choices)
        if not others:
            location = value.location(self.schema) or flat[0].node.location
            return self.report(location, value, "has no value; allowed: any")
        mismatch = _mismatch_of_shapes(others)
        if mismatch is not None:
            return self.report(mismatch.location, value, mismatch.message)
        shape = _shape_of(others[0].node)
        if shape == RECORD:
            return self._evaluate_record(value, with_node_of(Record, others))
        if shape == LIST:
            return self._evaluate_list(value, with_node_of(ItemList, others))
        return self._evaluate_scalar(value, others)

    def _evaluate_scalar(
        self, value: ValueNode, constraints: Sequence[Constraint[Node]]
    ) -> PlainValue | Absent:
        scalars = [
            constraint.node
            for constraint in constraints
            if isinstance(constraint.node, Literal | Kind | Bound)
        ]
        result = unify_scalars(scalars, value.location(self.schema))
        if isinstance(result, Mismatch):
            return self.report(result.location, value, result.message)
        return result

    def _evaluate_record(
        self, value: ValueNode, constraints: Sequence[Constraint[Record]]
    ) -> PlainValue | Absent:
        self.expand(value, constraints)
        allowed = _keys_allowed_by_use(value, constraints)
        plain: dict[str, PlainValue] = {}
        is_valid = True
        for label, child in value.children.items():
            if label.startswith("#"):
                continue
            refusing = [use for use, labels in allowed.items() if label not in labels]
            if refusing:
                is_valid = False
                self._report_unknown_key(label, child, max(refusing), allowed)
                continue
            if child.is_optional:  # declared as optional, but no file has a value
                continue
            result = self.evaluate(child)
            if result is ABSENT:
                is_valid = False
            else:
                plain[label] = result
        return plain if is_valid else ABSENT

    def _report_unknown_key(
        self, label: str, value: ValueNode, use: int, allowed: dict[int, set[str]]
    ) -> None:
        """Report an unknown key at its location in the user's files; the schema has no such keys."""
        location = next((location for location in value.locations if location.file != self.schema), None)
        if location is None:
            return
        close_matches = difflib.get_close_matches(label, allowed[use], 1)
        suggestion = f" (did you mean '{close_matches[0]}'?)" if close_matches else ""
        names = ", ".join(sorted(allowed[use])) or "none"
        definition = self.definition_uses[use]
        self.report(
            location,
            value,
            f"found the unknown key '{label}'{suggestion}; allowed: {names} "
            f"(by {definition.labels[0]} at {definition.location})",
        )

    def _evaluate_list(
        self, value: ValueNode, constraints: Sequence[Constraint[ItemList]]
    ) -> PlainValue | Absent:
        mismatch = _mismatch_of_lengths([constraint.node for constraint in constraints], self.schema)
        if mismatch is not None:
            return self.report(mismatch.location, value, mismatch.message)
        plain: list[PlainValue] = []
        is_valid = True
        for index in range(max(len(constraint.node.items) for constraint in constraints)):
            child = ValueNode(f"{value.path}[{index}]", value.depth + 1, parent=value)
            for constraint in constraints:
                items = constraint.node.items
                rest = constraint.node.rest
                node = items[index] if index < len(items) else rest
                assert node is not None, "_mismatch_of_lengths has checked that shorter lists have a rest"
                child.constraints.append(Constraint(node, constraint.scope, constraint.definition_uses))
            result = self.evaluate(child)
            if result is ABSENT:
                is_valid = False
            else:
                plain.append(result)
        return plain if is_valid else ABSENT


def _shape_of(node: Node) -> str:
    if isinstance(node, Record):
        return RECORD
    return LIST if isinstance(node, ItemList) else SINGLE_VALUE


def _mismatch_of_shapes(constraints: Sequence[Constraint[Node]]) -> Mismatch | None:
    """Return the mismatch of two shapes; the user's, with fewer definition uses, is reported as found."""
    first_of_shape: dict[str, Constraint[Node]] = {}
    for constraint in constraints:
        first_of_shape.setdefault(_shape_of(constraint.node), constraint)
    if len(first_of_shape) == 1:
        return None
    by_uses = sorted(first_of_shape.items(), key=lambda item: len(item[1].definition_uses))
    (found_shape, found), (allowed_shape, allowed) = by_uses[:2]
    return Mismatch(
        found.node.location,
        f"found {describe_node(found.node, found_shape)}; "
        f"allowed: {describe_node(allowed.node, allowed_shape)} (by {allowed.node.location})",
    )


def _mismatch_of_lengths(lists: Sequence[ItemList], schema: str) -> Mismatch | None:
    """Return a mismatch for the first list that is shorter than another and allows no more items."""
    length = max(len(item_list.items) for item_list in lists)
    short = next(
        (item_list for item_list in lists if len(item_list.items) < length and item_list.rest is None), None
    )
    if short is None:
        return None
    longest = next(item_list for item_list in lists if len(item_list.items) == length)
    if short.location.file == schema:
        allowed = f"{len(short.items)} (by {short.location})"
        return Mismatch(longest.location, f"found a list of {length}; allowed: {allowed}")
    more = " or more" if longest.rest is not None else ""
    allowed = f"{length}{more} (by {longest.location})"
    return Mismatch(short.location, f"found a list of {len(short.items)}; allowed: {allowed}")


def _keys_allowed_by_use(value: ValueNode, constraints: Sequence[Constraint[Record]]) -> dict[int, set[str]]:
    """Return the keys that each use of a definition allows, without uses of definitions with `...`."""
    records_by_use: dict[int, list[Record]] = {}
    for constraint in constraints:
        for use in constraint.definition_uses:
            records_by_use.setdefault(use, []).append(constraint.node)
    allowed: dict[int, set[str]] = {}
    for use, records in records_by_use.items():
        if any(record.is_open for record in records):
            continue
        labels = allowed[use] = {field.label for record in records for field in record.fields}
        kinds = {record.pattern.kind for record in records if record.pattern is not None}
        for label, child in value.children.items():
            literal = Literal("string", label, child.locations[0], label)
            if any(values.is_of_kind(literal, kind) for kind in kinds):
                labels.add(label)
    return allowed
