"""Builds a `BulkheadSet` from the operators' declared settings and the server's request classes."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from vetchford.bulkheads.bulkheads import BulkheadSet
from vetchford.bulkheads.classification import (
    LIGHT_RESERVE,
    LIGHT_SHARE,
    REST,
    WITH_EFFECT,
    effect_share,
)
from vetchford.bulkheads.settings import BulkheadObserver, BulkheadSettings

REST_NAME = "rest"
"""Name of the bulkhead of the classes that no declared bulkhead names."""
MIN_REST_SHARE = 0.1
"""Share of the rest bulkhead if the declared bulkheads leave less."""
NO_BULKHEADS = "none"
STAGES_KEY = "stages"
FIELD_BY_KEY = {
    "share": "slot_share",
    "bytes": "byte_share",
    "calls": "call_share",
    "reserve": "reserve",
    "lends": "lends",
    "borrows": "borrows",
    "most_calls": "max_calls",
    "call_budget": "call_budget_ms",
}
"""Keys of a declared bulkhead, and the fields of `BulkheadSettings` that they set."""


def build(
    observer: BulkheadObserver,
    declared: str | Mapping[str, Mapping[str, Any]],
    names: Sequence[str],
    effects: Sequence[int],
    weights: Sequence[float],
) -> BulkheadSet | None:
    """Return the declared bulkheads; None if there are none.

    Args:
        observer: Notified when a limit applies or changes.
        declared: `NO_BULKHEADS`, another word for derived bulkheads, or validated settings by bulkhead name.
        names: Names of the request classes, by class index.
        effects: Effects of the request classes, by class index.
        weights: Priority weights of the request classes, by class index.
    """
    if declared == NO_BULKHEADS or not declared:
        return None
    if isinstance(declared, str):
        return build_derived(observer, effects, weights)
    settings = [_declared_settings(name, declared_fields) for name, declared_fields in declared.items()]
    bulkhead_by_class_name = {
        class_name: bulkhead
        for bulkhead, declared_fields in enumerate(declared.values())
        for class_name in declared_fields[STAGES_KEY]
    }
    if any(name not in bulkhead_by_class_name for name in names):
        settings.append(_rest_settings(settings, declared))
    return BulkheadSet(
        observer, settings, [bulkhead_by_class_name.get(name, len(settings) - 1) for name in names]
    )


def _declared_settings(name: str, declared_fields: Mapping[str, Any]) -> BulkheadSettings:
    fields = {
        FIELD_BY_KEY[key]: value
        for key, value in declared_fields.items()
        if key != STAGES_KEY and value is not None
    }
    return BulkheadSettings(name=name, **fields)


def _rest_settings(settings: Sequence[BulkheadSettings], declared: Mapping[str, Any]) -> BulkheadSettings:
    """Return the settings of the rest bulkhead, whose shares are above 0 so that each class is served."""
    return BulkheadSettings(
        name=REST_NAME if REST_NAME not in declared else REST_NAME + "-unnamed",
        slot_share=_rest_share(each.slot_share for each in settings),
        byte_share=_rest_share(each.byte_share for each in settings),
        call_share=_rest_share(each.call_share for each in settings),
    )


def _rest_share(shares: Iterable[float]) -> float:
    return max(MIN_REST_SHARE, 1.0 - sum(shares))


def build_derived(
    observer: BulkheadObserver, effects: Sequence[int], weights: Sequence[float]
) -> BulkheadSet:
    """Return derived bulkheads: light classes, classes with an effect, and the rest.

    All classes without an effect start in the rest; runs show which classes are light.
    """
    heavy_share = 1.0 - LIGHT_SHARE
    with_effect_share = heavy_share * effect_share(effects, weights)
    settings = [
        _equal_shares("light", LIGHT_SHARE, LIGHT_RESERVE),
        _equal_shares("effect", with_effect_share, 0),
        _equal_shares(REST_NAME, heavy_share - with_effect_share, 0),
    ]
    bulkhead_of_class = [WITH_EFFECT if effect else REST for effect in effects]
    return BulkheadSet(observer, settings, bulkhead_of_class, derive=True)


def _equal_shares(name: str, share: float, reserve: int) -> BulkheadSettings:
    return BulkheadSettings(name, slot_share=share, byte_share=share, call_share=share, reserve=reserve)
