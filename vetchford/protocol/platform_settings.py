"""The platform's `settings` object, decoded into typed records.

The one module that knows the protocol's names of settings: times come in nanoseconds, sizes in kilobytes,
and a key that is absent, null or zero stands for the same.
"""

import math
from typing import Any

from vetchford.admission.settings import (
    DependencySettings,
    Effect,
    LoadSignal,
    RequestClassSettings,
    ServerSettings,
    TenantSettings,
)
from vetchford.errors import MalformedInputError

NS_PER_MS = 1_000_000
BYTES_PER_KB = 1024
EFFECTS = {
    "read_like": Effect.IDEMPOTENT,
    "idempotency_key": Effect.IDEMPOTENT_BY_KEY,
    "non_idempotent": Effect.NON_IDEMPOTENT,
}
LOAD_SIGNALS = {
    "silent": LoadSignal.NONE,
    "level": LoadSignal.UTILIZATION,
    "credit": LoadSignal.CREDIT,
}
"""Every other word asks for a weight."""
STOPPABLE = ("drop", "pause")
NO_DEPENDENCY = "silent"
STATED_SHARE = "shared"

JsonObject = dict[str, Any]


def decode(settings: JsonObject) -> ServerSettings:
    """Return the settings as typed records.

    Raises:
        MalformedInputError: A setting is missing or has no value that is known.
    """
    server = settings.get("familyInfo") or {}
    if (server.get("cores") or 0) < 1:
        raise MalformedInputError("key 'settings.familyInfo.cores' must be 1 or more")
    rules = settings.get("rules") or {}
    caps = settings.get("caps") or {}
    may_ask_to_wait = bool(caps.get("retryAfter"))
    return ServerSettings(
        request_classes=_request_classes(settings),
        tenants=_tenants(settings),
        gauges=tuple(server.get("ownStats") or []),
        dependency=_dependency(settings),
        cores=server["cores"],
        memory_bytes=(server.get("ramKb") or math.inf) * BYTES_PER_KB,
        running_memory_multiple=server.get("blowup") or 1.0,
        idempotency_key_bytes=(server.get("keyKb") or 0.0) * BYTES_PER_KB,
        starts_cold=bool(server.get("cold")),
        survivable_concurrency=rules.get("fallMultiple") or 1.0,
        cold_fraction=rules.get("coldFrom") or 1.0,
        warm_up_ms=(rules.get("rampTime") or 0) / NS_PER_MS,
        weight_by_work=settings.get("valueBy") == "work",
        can_stop_runs=server.get("halt") in STOPPABLE,
        drain_grace_ms=(rules.get("drainGrace") or 0) / NS_PER_MS,
        worst_class_weight=_worst_class_weight(settings),
        fleet_size=settings.get("servers") or 1,
        over_quota_weight=settings.get("overShareWorth") or 0.0,
        load_signal=LOAD_SIGNALS.get(server.get("say") or "silent", LoadSignal.WEIGHT),
        max_retry_after_ms=(caps.get("maxRetryAfter") or 0) / NS_PER_MS if may_ask_to_wait else 0.0,
        clients=server.get("callers") or 1,
        idle_timeout_ms=(server.get("callerIdle") or 0) / NS_PER_MS,
    )


def has_dependency(settings: Any) -> bool:
    """Return whether runs may call a dependency; anything but an object is reported elsewhere."""
    server = (settings.get("familyInfo") if isinstance(settings, dict) else None) or {}
    return not isinstance(server, dict) or (server.get("below") or NO_DEPENDENCY) != NO_DEPENDENCY


def _request_classes(settings: JsonObject) -> tuple[RequestClassSettings, ...]:
    entries = settings.get("requestClasses") or []
    if not entries:
        raise MalformedInputError("key 'settings.requestClasses' names no stage")
    skip_fractions = (settings.get("familyInfo") or {}).get("classSkipWorth") or []
    return tuple(
        _request_class(index, entry, skip_fractions[index] if index < len(skip_fractions) else 0.0)
        for index, entry in enumerate(entries)
    )


def _request_class(index: int, entry: JsonObject, skip_fraction: float) -> RequestClassSettings:
    if entry.get("effect") not in EFFECTS:
        known = ", ".join(EFFECTS)
        raise MalformedInputError(f"key 'settings.requestClasses[{index}].effect' must be one of {known}")
    if not entry.get("deadline"):
        raise MalformedInputError(f"key 'settings.requestClasses[{index}].deadline' must be above 0")
    return RequestClassSettings(
        name=entry.get("name") or "",
        effect=EFFECTS[entry["effect"]],
        latency_objective_ms=(entry.get("promise") or entry["deadline"]) / NS_PER_MS,
        timeout_ms=entry["deadline"] / NS_PER_MS,
        priority_weight=entry.get("worth") or 0.0,
        late_fraction=entry.get("lateWorth") or 0.0,
        key_window_ms=(entry.get("window") or 0) / NS_PER_MS,
        skip_fraction=skip_fraction,
    )


def _tenants(settings: JsonObject) -> tuple[TenantSettings, ...]:
    entries = settings.get("customers") or []
    return tuple(
        TenantSettings(name=entry.get("name") or "", quota_per_s=entry.get("quotaPerS") or 0.0)
        for entry in entries
    )


def _dependency(settings: JsonObject) -> DependencySettings | None:
    if not has_dependency(settings):
        return None
    server = settings["familyInfo"]
    return DependencySettings(
        share=server.get("depShare") if server["below"] == STATED_SHARE else None,
        share_period_ms=(server.get("callsOver") or 0) / NS_PER_MS,
        linger_ms=(server.get("linger") or 0) / NS_PER_MS,
    )


def _worst_class_weight(settings: JsonObject) -> float:
    goal = settings.get("goal") or {}
    rest = ((goal.get("whole") or 0.0) + (goal.get("worstWindow") or 0.0)) or 1.0
    return float((goal.get("worstClass") or 0.0) / rest)
