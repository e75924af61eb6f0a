"""Unifies single values: equal literals that satisfy all kinds and bounds."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from vetchford.configuration import values
from vetchford.configuration.errors import SourceLocation
from vetchford.configuration.values import Bound, Kind, Literal, Scalar

PlainScalar: TypeAlias = bool | int | float | str | None


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The reason why values do not unify."""

    location: SourceLocation
    message: str


def unify_scalars(scalars: Sequence[Scalar], key_location: SourceLocation | None) -> PlainScalar | Mismatch:
    """Return the value that satisfies all scalars; `key_location` is reported for a missing value."""
    literals = [scalar for scalar in scalars if isinstance(scalar, Literal)]
    limits = [scalar for scalar in scalars if not isinstance(scalar, Literal)]
    if not literals:
        return _conflict_of_kinds(limits) or Mismatch(
            key_location or limits[0].location, f"is missing; allowed: {values.describe(limits)}"
        )
    literals.sort(key=lambda literal: isinstance(literal.value, float))  # 1 before 1.0
    first = literals[0]
    for other in literals[1:]:
        if values.common_kind(first.kind, other.kind) is None or first.value != other.value:
            return Mismatch(first.location, f"{first.text} conflicts with {other.text} at {other.location}")
    for limit in limits:
        if not _allows(limit, first):
            allowed = values.describe(limits)
            return Mismatch(first.location, f"found {first.text}; allowed: {allowed} (by {limit.location})")
    value: PlainScalar = first.value
    return value


def _conflict_of_kinds(limits: Sequence[Kind | Bound]) -> Mismatch | None:
    """Return a mismatch for the first kind that has no values in common with the first one."""
    kinds = [limit for limit in limits if isinstance(limit, Kind)]
    for other in kinds[1:]:
        if values.common_kind(kinds[0].kind, other.kind) is None:
            return Mismatch(
                other.location,
                f"{values.describe([other])} conflicts with "
                f"{values.describe([kinds[0]])} at {kinds[0].location}",
            )
    return None


def _allows(limit: Kind | Bound, literal: Literal) -> bool:
    if isinstance(limit, Kind):
        return values.is_of_kind(literal, limit.kind)
    return values.is_within(literal, limit)
