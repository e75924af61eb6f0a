"""Unifies records: every key has all that any file says of it, and the value is what satisfies all of it.

A `ValueNode` is one key of the result. What is said of it are conjuncts: a node, the records around it
(where its references look up names) and the definition that closes it. References take over what is said
of their target, so they see what other files add to it. Nothing is executed; steps are bounded.
"""

import difflib
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from vetchford.configuration import values
from vetchford.configuration.errors import Place, Problem, TooMuchError
from vetchford.configuration.parser import (
    Anything,
    Both,
    Choice,
    InvalidNode,
    Items,
    Node,
    Record,
    Reference,
)

MOST_STEPS = 100_000  # conjuncts looked at: a file of fifty pools takes some thousands; about a second here
MOST_DEPTH = 64  # of keys


@dataclass(slots=True)
class Scope:
    """The records that a node stands in, the innermost first."""

    vertex: "ValueNode"
    record: Record | None  # None at the top: all keys of all files are in view
    outer: "Scope | None"


@dataclass(slots=True)
class Constraint:
    node: Node
    around: Scope
    closes: tuple[int, ...] = ()  # the uses of definitions that this came by


@dataclass(slots=True)
class ValueNode:
    path: str
    depth: int
    said: list[Constraint] = field(default_factory=list)
    children: dict[str, "ValueNode"] = field(default_factory=dict)
    optional: bool = True  # until one says it without a mark
    places: list[Place] = field(default_factory=list)  # of its key
    up: "ValueNode | None" = None

    def child(self, label: str) -> "ValueNode":
        if label not in self.children:
            path = f"{self.path}.{label}" if self.path else label
            self.children[label] = ValueNode(path, self.depth + 1, up=self)
        return self.children[label]

    def place(self, schema: str) -> Place | None:
        """Where a user's file writes its key, or the nearest above it."""
        here = next((place for place in reversed(self.places) if place.file != schema), None)
        return here or (self.up.place(schema) if self.up else None) or next(iter(self.places), None)


ABSENT = object()  # declared only, or wrong: has no value


class Unifier:
    """One reading: its steps, its problems. `value` gives plain data, as JSON has it."""

    def __init__(self, schema: str = "", order: Sequence[str] = ()) -> None:
        """`schema`: the file that is not the user's, and where no missing key is looked for.

        `order`: the user's files; of two defaults that of the later file holds.
        """
        self.steps, self.schema = 0, schema
        self.ranks = {name: at for at, name in enumerate(order)}
        self.uses: list[Reference] = []  # of definitions, by the numbers in `Constraint.closes`
        self.problems: list[Problem] = []
        self.followed: list[
            Problem
        ] = []  # by defaults that refer to what is wrong itself; told if nothing else is

    def step(self) -> None:
        self.steps += 1
        if self.steps > MOST_STEPS:
            raise TooMuchError(f"more than {MOST_STEPS} steps: choices or references multiply")

    def wrong(self, place: Place, vertex: ValueNode, text: str) -> Any:
        self.problems.append(Problem(place, vertex.path, text))
        return ABSENT

    def top(self, records: list[Record]) -> ValueNode:
        """A top that holds what all of the records say."""
        vertex = ValueNode("", 0)
        around = Scope(vertex, None, None)
        for record in records:
            vertex.said.append(Constraint(record, around))
        self.grow(vertex, [said for said in vertex.said if isinstance(said.node, Record)])
        return vertex

    # -- what is said of a key, down to single statements

    def flat(self, vertex: ValueNode, said: list[Constraint]) -> list[Constraint] | None:
        """References and `&` resolved; None where a reference goes nowhere."""
        out: list[Constraint] = []
        work: list[tuple[Constraint, tuple[int, ...]]] = [(entry, ()) for entry in reversed(said)]
        good = True
        while work:
            entry, via = work.pop()  # the targets that led here
            self.step()
            if isinstance(entry.node, Both):
                work += [
                    (Constraint(part, entry.around, entry.closes), via) for part in reversed(entry.node.parts)
                ]
            elif isinstance(entry.node, Reference):
                target = self.target(entry, vertex)
                if target is None:
                    good = False
                elif id(target) in via or target is vertex or len(via) > MOST_DEPTH:
                    self.wrong(entry.node.place, vertex, f"'{'.'.join(entry.node.labels)}' refers to itself")
                    good = False
                else:
                    closes = entry.closes
                    if entry.node.labels[0].startswith("#"):
                        closes = (*closes, len(self.uses))
                        self.uses.append(entry.node)
                    work += [
                        (Constraint(one.node, one.around, closes + one.closes), (*via, id(target)))
                        for one in reversed(target.said)
                    ]
            else:
                out.append(entry)
        return out if good else None

    def target(self, entry: Constraint, vertex: ValueNode) -> ValueNode | None:
        node, around = entry.node, entry.around
        first = node.labels[0]
        while around is not None:
            known = around.record.declares(first) if around.record else first in around.vertex.children
            if known:
                break
            around = around.outer
        if around is None:
            self.wrong(node.place, vertex, f"found a reference to '{first}', which nothing here defines")
            return None
        found = around.vertex.child(first)
        for label in node.labels[1:]:
            self.grow(found, self.flat(found, found.said) or [])
            if label not in found.children:
                self.wrong(
                    node.place,
                    vertex,
                    f"found a reference to '{'.'.join(node.labels)}': '{found.path}' has no key '{label}'",
                )
                return None
            found = found.children[label]
        return found

    def grow(self, vertex: ValueNode, flat: list[Constraint]) -> None:
        """The keys under it, with all that its records say of each."""
        records = [entry for entry in flat if isinstance(entry.node, Record)]
        vertex.children = {label: kept for label, kept in vertex.children.items() if kept.said}
        for kept in vertex.children.values():
            kept.said, kept.places, kept.optional = [], [], True
        for entry in records:
            around = Scope(vertex, entry.node, entry.around)
            if not vertex.path and entry.around.vertex is vertex:
                around = entry.around  # the top: names of all files are in view
            for one in entry.node.fields:
                self.step()
                child = vertex.child(one.label)
                child.said.append(Constraint(one.value, around, entry.closes))
                child.places.append(one.place)
                child.optional &= one.optional
        for entry in records:
            if entry.node.pattern is None:
                continue
            around = Scope(vertex, entry.node, entry.around)
            for label, child in vertex.children.items():
                if not entry.node.declares(label) and not label.startswith("#"):
                    child.said.append(Constraint(entry.node.pattern[1], around, entry.closes))

    # -- values

    def value(self, vertex: ValueNode, extra: list[Constraint] | None = None) -> Any:
        """Plain data; ABSENT where there is none, with the reason among the problems."""
        if vertex.depth > MOST_DEPTH:
            raise TooMuchError(f"keys nested deeper than {MOST_DEPTH}")
        flat = self.flat(vertex, vertex.said if extra is None else extra)
        if flat is None:
            return ABSENT
        if any(isinstance(entry.node, InvalidNode) for entry in flat):
            return ABSENT
        choices = [entry for entry in flat if isinstance(entry.node, Choice)]
        plain = [entry for entry in flat if not isinstance(entry.node, Choice | Anything)]
        if choices:
            return self.chosen(vertex, plain, choices)
        sorts = {Record: "a record", Items: "a list"}
        first: dict[str, Constraint] = {}
        for entry in plain:
            first.setdefault(sorts.get(type(entry.node), "a single value"), entry)
        if len(first) > 1:
            (one, here), (two, there) = sorted(first.items(), key=lambda item: len(item[1].closes))[:2]
            return self.wrong(
                here.node.place,
                vertex,
                f"found {said_of(here.node, one)}; "
                f"allowed: {said_of(there.node, two)} (by {there.node.place})",
            )
        if not plain:
            return self.wrong(
                vertex.place(self.schema) or flat[0].node.place, vertex, "has no value; allowed: any"
            )
        if "a record" in first:
            return self.record(vertex, plain)
        if "a list" in first:
            return self.items(vertex, plain)
        return self.scalar(vertex, plain)

    def scalar(self, vertex: ValueNode, plain: list[Constraint]) -> Any:
        nodes = [entry.node for entry in plain]
        known = [node for node in nodes if isinstance(node, values.Known)]
        limits = [node for node in nodes if not isinstance(node, values.Known)]
        if not known:
            kinds = [node for node in limits if isinstance(node, values.Kind)]
            for kind in kinds[1:]:
                if values.meet(kinds[0].kind, kind.kind) is None:
                    return self.wrong(
                        kind.place,
                        vertex,
                        f"{values.described([kind])} conflicts with "
                        f"{values.described([kinds[0]])} at {kinds[0].place}",
                    )
            place = vertex.place(self.schema) or limits[0].place
            return self.wrong(place, vertex, f"is missing; allowed: {values.described(limits)}")
        known.sort(key=lambda node: isinstance(node.value, float))
        for other in known[1:]:
            alike = values.meet(known[0].kind, other.kind) is not None
            if not alike or known[0].value != other.value:
                return self.wrong(
                    known[0].place,
                    vertex,
                    f"{known[0].text} conflicts with {other.text} at {other.place}",
                )
        broken = [limit for limit in limits if not self.allows(limit, known[0])]
        if broken:
            return self.wrong(
                known[0].place,
                vertex,
                f"found {known[0].text}; allowed: {values.described(limits)} (by {broken[0].place})",
            )
        return known[0].value

    def allows(self, limit: Any, known: values.Known) -> bool:
        return (
            values.is_a(known, limit.kind) if isinstance(limit, values.Kind) else values.keeps(known, limit)
        )

    def record(self, vertex: ValueNode, plain: list[Constraint]) -> Any:
        self.grow(vertex, plain)
        closed = self.closed(vertex, plain)
        out, good = {}, True
        for label, child in vertex.children.items():
            if label.startswith("#"):
                continue
            by = max((use for use, allowed in closed.items() if label not in allowed), default=None)
            if by is not None:
                good = False
                written = next((place for place in child.places if place.file != self.schema), None)
                if written is not None:
                    near = difflib.get_close_matches(label, closed[by], 1)
                    meant = f" (did you mean '{near[0]}'?)" if near else ""
                    some, use = ", ".join(sorted(closed[by])) or "none", self.uses[by]
                    self.wrong(
                        written,
                        child,
                        f"found the unknown key '{label}'{meant}; allowed: {some} "
                        f"(by {use.labels[0]} at {use.place})",
                    )
                continue
            if child.optional:  # only declared, by the records that allow it
                continue
            value = self.value(child)
            if value is ABSENT:
                good = False
            else:
                out[label] = value
        return out if good else ABSENT

    def closed(self, vertex: ValueNode, plain: list[Constraint]) -> dict[int, set[str]]:
        """The keys that each use of a definition allows; without those that `...` leaves open."""
        by_use: dict[int, list[Record]] = {}
        for entry in plain:
            for use in entry.closes:
                by_use.setdefault(use, []).append(entry.node)
        allowed: dict[int, set[str]] = {}
        for use, records in by_use.items():
            if any(record.open for record in records):
                continue
            names = allowed[use] = {one.label for record in records for one in record.fields}
            kinds = {record.pattern[0] for record in records if record.pattern is not None}
            for label, child in vertex.children.items():
                known = values.Known("string", label, child.places[0], label)
                if any(values.is_a(known, kind) for kind in kinds):
                    names.add(label)
        return allowed

    def items(self, vertex: ValueNode, plain: list[Constraint]) -> Any:
        length = max(len(entry.node.items) for entry in plain)
        for entry in plain:
            if len(entry.node.items) < length and entry.node.rest is None:
                short, other = entry.node, next(o.node for o in plain if len(o.node.items) == length)
                if short.place.file == self.schema:
                    text = f"found a list of {length}; allowed: {len(short.items)} (by {short.place})"
                    return self.wrong(other.place, vertex, text)
                more = " or more" if other.rest is not None else ""
                text = f"found a list of {len(short.items)}; allowed: {length}{more} (by {other.place})"
                return self.wrong(short.place, vertex, text)
        out, good = [], True
        for at in range(length):
            child = ValueNode(f"{vertex.path}[{at}]", vertex.depth + 1, up=vertex)
            for entry in plain:
                items = entry.node.items
                node = items[at] if at < len(items) else entry.node.rest
                child.said.append(Constraint(node, entry.around, entry.closes))
            value = self.value(child)
            good &= value is not ABSENT
            out.append(value)
        return out if good else ABSENT

    def chosen(self, vertex: ValueNode, plain: list[Constraint], choices: list[Constraint]) -> Any:
        """Each way through the choices is tried; what is wrong with those that fail is told if all do."""
        before = self.problems
        left: list[tuple[Any, tuple[bool, ...], ValueNode]] = []
        ranks = [self.ranks.get(entry.node.place.file, -1) for entry in choices]
        stronger = sorted(set(ranks), reverse=True)
        failed: list[list[Problem]] = []
        for way in itertools.product(*(entry.node.options for entry in choices)):
            self.step()
            trial = ValueNode(vertex.path, vertex.depth, places=vertex.places, up=vertex.up)
            said = plain + [
                Constraint(option, entry.around, entry.closes)
                for (option, _), entry in zip(way, choices, strict=True)
            ]
            trial.said, self.problems = said, []
            value = self.value(trial)
            if value is ABSENT:
                failed.append(self.problems)
            else:
                flags = [default for _, default in way]
                usual = tuple(
                    all(flag for flag, rank in zip(flags, ranks, strict=True) if rank == level)
                    for level in stronger
                )
                left.append((value, usual, trial))
        self.problems = before
        best = max((usual for _, usual, _ in left), default=())
        left = [entry for entry in left if entry[1] == best]
        first = [value for value, _, _ in left]
        if first:
            if all(value == first[0] and type(value) is type(first[0]) for value in first):
                vertex.children = left[0][2].children
                return first[0]
            return self.wrong(
                choices[0].node.place,
                vertex,
                f"is not decided: several values remain ({', '.join(map(repr, first[:4]))})",
            )
        return self.none_fits(vertex, plain, choices, failed)

    def none_fits(
        self,
        vertex: ValueNode,
        plain: list[Constraint],
        choices: list[Constraint],
        failed: list[list[Problem]],
    ) -> Any:
        deep = [each for each in failed if all(problem.path != vertex.path for problem in each)]
        if len(deep) == 1:  # one was of the right sort: what is wrong is inside it
            self.problems += deep[0]
            return ABSENT
        found = [entry.node for entry in plain if isinstance(entry.node, values.Known | Record | Items)]
        options = [node for entry in choices for node, _ in entry.node.options]
        allowed = [self.words(node, choices[0].around, vertex) for node in options]
        said = " or ".join(dict.fromkeys(word for word in allowed if word))
        if not found:
            place = vertex.place(self.schema) or choices[0].node.place
            follows = any(
                isinstance(node, Reference)
                for entry in choices
                for node, default in entry.node.options
                if default
            )
            if follows:
                self.followed.append(Problem(place, vertex.path, f"is missing; allowed: {said}"))
                return ABSENT
            return self.wrong(place, vertex, f"is missing; allowed: {said}")
        text = found[0].text if isinstance(found[0], values.Known) else said_of(found[0], "a record or list")
        return self.wrong(found[0].place, vertex, f"found {text}; allowed: {said}")

    def words(self, node: Node, around: Scope, vertex: ValueNode) -> str:
        kept, self.problems = self.problems, []
        flat = self.flat(ValueNode(vertex.path, vertex.depth), [Constraint(node, around)]) or []
        self.problems = kept
        scalars = [
            entry.node for entry in flat if isinstance(entry.node, values.Known | values.Kind | values.Bound)
        ]
        if scalars:
            return values.described(scalars)
        return said_of(flat[0].node, "a value") if flat else ""


def said_of(node: Node, sort: str) -> str:
    if isinstance(node, Record):
        return "a record {...}"
    if isinstance(node, Items):
        return "a list [...]"
    if isinstance(node, values.Known):
        return node.text
    if isinstance(node, values.Kind | values.Bound):
        return values.described([node])
    return sort
