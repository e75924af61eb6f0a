"""Unifies records: a key's value is what satisfies all that any file says of it.

The tree of values is grown by `Resolver`, choices are decided by `ChoiceResolver`; here records, lists and
single values become plain data. Nothing is executed, and the number of steps is bounded.
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
    """One reading of some files. `evaluate` gives plain data, as JSON has it; see `problems` as well."""

    def root_of(self, records: Sequence[Record]) -> ValueNode:
        """A root with the children that all of the records name."""
        root = ValueNode("", 0)
        scope = Scope(root, None, None)
        for record in records:
            root.constraints.append(Constraint(record, scope))
        self.expand(root, root.constraints)
        return root

    def evaluate(self, value: ValueNode) -> PlainValue | Absent:
        """Plain data; ABSENT where there is none, with the reason among the problems."""
        if value.depth > MAX_KEY_DEPTH:
            raise LimitExceededError(f"keys nested deeper than {MAX_KEY_DEPTH}")
        flat = self.flatten(value, value.constraints)
        if flat is None or with_node_of(InvalidNode, flat):
            return ABSENT
        choices = with_node_of(Choice, flat)
        others = [one for one in flat if not isinstance(one.node, Choice | AnyValue)]
        if choices:
            return self.decide(value, others, choices)
        if not others:
            location = value.location(self.schema) or flat[0].node.location
            return self.report(location, value, "has no value; allowed: any")
        mismatch = _mismatch_of_sorts(others)
        if mismatch is not None:
            return self.report(mismatch.location, value, mismatch.message)
        sort = _sort_of(others[0].node)
        if sort == RECORD:
            return self._evaluate_record(value, with_node_of(Record, others))
        if sort == LIST:
            return self._evaluate_list(value, with_node_of(ItemList, others))
        return self._evaluate_scalar(value, others)

    def _evaluate_scalar(
        self, value: ValueNode, constraints: Sequence[Constraint[Node]]
    ) -> PlainValue | Absent:
        scalars = [one.node for one in constraints if isinstance(one.node, Literal | Kind | Bound)]
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
        is_good = True
        for label, child in value.children.items():
            if label.startswith("#"):
                continue
            refusing = [use for use, labels in allowed.items() if label not in labels]
            if refusing:
                is_good = False
                self._report_unknown_key(label, child, max(refusing), allowed)
                continue
            if child.is_optional:  # only declared, by the records that allow it
                continue
            result = self.evaluate(child)
            if result is ABSENT:
                is_good = False
            else:
                plain[label] = result
        return plain if is_good else ABSENT

    def _report_unknown_key(
        self, label: str, value: ValueNode, use: int, allowed: dict[int, set[str]]
    ) -> None:
        """Where a user's file writes it; the schema does not name keys that it does not allow."""
        written = next((location for location in value.locations if location.file != self.schema), None)
        if written is None:
            return
        near = difflib.get_close_matches(label, allowed[use], 1)
        suggestion = f" (did you mean '{near[0]}'?)" if near else ""
        names = ", ".join(sorted(allowed[use])) or "none"
        definition = self.definition_uses[use]
        self.report(
            written,
            value,
            f"found the unknown key '{label}'{suggestion}; allowed: {names} "
            f"(by {definition.labels[0]} at {definition.location})",
        )

    def _evaluate_list(
        self, value: ValueNode, constraints: Sequence[Constraint[ItemList]]
    ) -> PlainValue | Absent:
        mismatch = _mismatch_of_lengths([one.node for one in constraints], self.schema)
        if mismatch is not None:
            return self.report(mismatch.location, value, mismatch.message)
        plain: list[PlainValue] = []
        is_good = True
        for index in range(max(len(one.node.items) for one in constraints)):
            child = ValueNode(f"{value.path}[{index}]", value.depth + 1, parent=value)
            for constraint in constraints:
                items = constraint.node.items
                rest = constraint.node.rest
                node = items[index] if index < len(items) else rest
                assert node is not None, "a list that is too short has a rest"
                child.constraints.append(Constraint(node, constraint.scope, constraint.definition_uses))
            result = self.evaluate(child)
            if result is ABSENT:
                is_good = False
            else:
                plain.append(result)
        return plain if is_good else ABSENT


def _sort_of(node: Node) -> str:
    if isinstance(node, Record):
        return RECORD
    return LIST if isinstance(node, ItemList) else SINGLE_VALUE


def _mismatch_of_sorts(constraints: Sequence[Constraint[Node]]) -> Mismatch | None:
    """Two of a record, a list and a single value: the user's side first, as fewer definitions brought it."""
    first_of_sort: dict[str, Constraint[Node]] = {}
    for constraint in constraints:
        first_of_sort.setdefault(_sort_of(constraint.node), constraint)
    if len(first_of_sort) == 1:
        return None
    by_uses = sorted(first_of_sort.items(), key=lambda item: len(item[1].definition_uses))
    (found_sort, found), (allowed_sort, allowed) = by_uses[:2]
    return Mismatch(
        found.node.location,
        f"found {describe_node(found.node, found_sort)}; "
        f"allowed: {describe_node(allowed.node, allowed_sort)} (by {allowed.node.location})",
    )


def _mismatch_of_lengths(lists: Sequence[ItemList], schema: str) -> Mismatch | None:
    """The first list that is shorter than another and may not go on."""
    length = max(len(one.items) for one in lists)
    short = next((one for one in lists if len(one.items) < length and one.rest is None), None)
    if short is None:
        return None
    longest = next(one for one in lists if len(one.items) == length)
    if short.location.file == schema:
        allowed = f"{len(short.items)} (by {short.location})"
        return Mismatch(longest.location, f"found a list of {length}; allowed: {allowed}")
    more = " or more" if longest.rest is not None else ""
    allowed = f"{length}{more} (by {longest.location})"
    return Mismatch(short.location, f"found a list of {len(short.items)}; allowed: {allowed}")


def _keys_allowed_by_use(value: ValueNode, constraints: Sequence[Constraint[Record]]) -> dict[int, set[str]]:
    """The keys that each use of a definition allows; without the uses that `...` leaves open."""
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
