"""Builds a `BulkheadSet` from the declared record of the operators and the server's request classes."""

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

REST_NAME = "rest"  # the bulkhead of the classes that no bulkhead of the file names
MIN_REST_SHARE = 0.1  # of all shares, where the named bulkheads leave less over
NO_BULKHEADS = "none"
STAGES_KEY = "stages"
FIELDS = {
    "share": "slot_share",
    "bytes": "byte_share",
    "calls": "call_share",
    "reserve": "reserve",
    "lends": "lends",
    "borrows": "borrows",
    "most_calls": "max_calls",
    "call_budget": "call_budget_ms",
}
"""Keys of a declared record, and the fields of `BulkheadSettings` that they set."""


def build(
    observer: BulkheadObserver,
    declared: str | Mapping[str, Mapping[str, Any]],
    names: Sequence[str],
    effects: Sequence[int],
    weights: Sequence[float],
) -> BulkheadSet | None:
    """The declared bulkheads; None where there are to be none.

    Args:
        observer: Notified when a limit acts.
        declared: The word for none, the word for derived ones, or a checked record by name.
        names: Of the request classes, by index; `effects` and priority `weights` alike.
    """
    if declared == NO_BULKHEADS or not declared:
        return None
    if isinstance(declared, str):
        return derived(observer, effects, weights)
    settings = [_settings(name, record) for name, record in declared.items()]
    owners = {
        class_name: bulkhead
        for bulkhead, record in enumerate(declared.values())
        for class_name in record[STAGES_KEY]
    }
    if any(name not in owners for name in names):
        settings.append(_rest(settings, declared))
    return BulkheadSet(observer, settings, [owners.get(name, len(settings) - 1) for name in names])


def _settings(name: str, record: Mapping[str, Any]) -> BulkheadSettings:
    given = {FIELDS[key]: value for key, value in record.items() if key != STAGES_KEY and value is not None}
    return BulkheadSettings(name=name, **given)


def _rest(settings: Sequence[BulkheadSettings], declared: Mapping[str, Any]) -> BulkheadSettings:
    """The bulkhead of all other classes; it has a share of each resource, so that no class is shut out."""
    return BulkheadSettings(
        name=REST_NAME if REST_NAME not in declared else REST_NAME + "-unnamed",
        slot_share=_rest_share(each.slot_share for each in settings),
        byte_share=_rest_share(each.byte_share for each in settings),
        call_share=_rest_share(each.call_share for each in settings),
    )


def _rest_share(shares: Iterable[float]) -> float:
    return max(MIN_REST_SHARE, 1.0 - sum(shares))


def derived(observer: BulkheadObserver, effects: Sequence[int], weights: Sequence[float]) -> BulkheadSet:
    """Light work, work with an effect, and the rest. What is light shows by its runs alone."""
    heavy_share = 1.0 - LIGHT_SHARE
    with_effect_share = heavy_share * effect_share(effects, weights)
    settings = [
        _evenly("light", LIGHT_SHARE, LIGHT_RESERVE),
        _evenly("effect", with_effect_share, 0),
        _evenly(REST_NAME, heavy_share - with_effect_share, 0),
    ]
    bulkhead_of_class = [WITH_EFFECT if effect else REST for effect in effects]
    return BulkheadSet(observer, settings, bulkhead_of_class, derive=True)


def _evenly(name: str, share: float, reserve: int) -> BulkheadSettings:
    return BulkheadSettings(name, slot_share=share, byte_share=share, call_share=share, reserve=reserve)
