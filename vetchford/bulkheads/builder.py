"""A `BulkheadSet` from the checked record and the stages that a server was told."""

from collections.abc import Sequence
from typing import Any

from vetchford.bulkheads import bulkheads

REST = "rest"  # the pool of stages that no pool of the file names
LEAST_REST = 0.1  # of all parts, where the named pools' parts leave less over: nothing is shut out


def build(
    host: bulkheads.PoolHost,
    pools: str | dict[str, dict[str, Any]],
    names: Sequence[str],
    effects: Sequence[int],
    utilities: Sequence[float],
) -> bulkheads.BulkheadSet | None:
    """`names`, `effects` and `utilities` of the stages, by index. None where there are to be no pools."""
    if pools == "none" or not pools:
        return None
    if isinstance(pools, str):
        return derived(host, effects, utilities)
    terms, owner = [], {}
    for at, (name, told) in enumerate(pools.items()):
        given = {key: value for key, value in told.items() if key != "stages" and value is not None}
        terms.append(bulkheads.Terms(name=name, **given))
        owner |= dict.fromkeys(told["stages"], at)
    if any(name not in owner for name in names):
        left = {
            key: max(LEAST_REST, 1.0 - sum(getattr(each, key) for each in terms))
            for key in ("share", "bytes", "calls")
        }
        terms.append(bulkheads.Terms(name=REST if REST not in pools else REST + "-unnamed", **left))
    return bulkheads.BulkheadSet(host, terms, [owner.get(name, len(terms) - 1) for name in names])


def derived(
    host: bulkheads.PoolHost, effects: Sequence[int], utilities: Sequence[float]
) -> bulkheads.BulkheadSet:
    """Light work, work with an effect, and the rest. What is light shows by its runs alone (`regroup`)."""
    total = sum(utilities) or 1.0
    heavy = 1.0 - bulkheads.LIGHT_SHARE
    with_effect = sum(utility for utility, effect in zip(utilities, effects, strict=True) if effect) / total
    parts = (bulkheads.LIGHT_SHARE, heavy * min(0.9, max(0.1, with_effect)), 0.0)
    parts = (*parts[:2], heavy - parts[1])
    terms = [
        bulkheads.Terms(name, part, part, part, reserve)
        for name, part, reserve in zip(
            ("light", "effect", REST), parts, (bulkheads.LIGHT_RESERVE, 0, 0), strict=True
        )
    ]
    return bulkheads.BulkheadSet(host, terms, [1 if effect else 2 for effect in effects], derive=True)
