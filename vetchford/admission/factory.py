"""Builds an `AdmissionController` from the settings a server is given.

The only reader of the settings' keys for admission: the names on the wire are translated here, times from
nanoseconds to milliseconds and sizes from kilobytes to bytes.
"""

import math
from typing import Any, NamedTuple

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.capacity import Capacity
from vetchford.admission.concurrency_limits import DependencyConcurrencyLimit
from vetchford.admission.controller import AdmissionController
from vetchford.admission.health import Health
from vetchford.admission.in_flight_bytes import InFlightBytes
from vetchford.admission.load_advice import LoadAdvice
from vetchford.admission.load_advice_state import AdviceSettings
from vetchford.admission.request import AdmissionSettings, Effect, LoadSignal, RequestClass
from vetchford.admission.shared_capacity import SharedCapacity
from vetchford.admission.tenant_quotas import TenantQuotas
from vetchford.admission.workload import Workload
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

Settings = dict[str, Any]


class WireIndices(NamedTuple):
    """The small index of each request class, tenant and gauge by its name on the wire."""

    classes: dict[str, int]
    tenants: dict[str, int]
    gauges: dict[str, int]


def indices(settings: Settings) -> WireIndices:
    """The indices by which the controller and its adapter name what the settings name."""
    classes, tenants = settings.get("requestClasses") or [], settings.get("customers") or []
    gauges = (settings.get("familyInfo") or {}).get("ownStats") or []
    return WireIndices(
        {entry.get("name") or "": at for at, entry in enumerate(classes)},
        {entry.get("name") or "": at for at, entry in enumerate(tenants)},
        {name: at for at, name in enumerate(gauges)},
    )


def calls_below(settings: Any) -> bool:
    """Whether runs may call a dependency; anything but an object is reported elsewhere."""
    info = (settings.get("familyInfo") if isinstance(settings, dict) else None) or {}
    return not isinstance(info, dict) or (info.get("below") or "silent") != "silent"


def build(
    actions: AdmissionActions, seed: int, settings: Settings, cold: bool, capacity: Capacity | None = None
) -> AdmissionController:
    """The controller for these settings.

    Args:
        actions: What it acts through.
        seed: Of the random spread of retry delays.
        settings: As they came on the wire.
        cold: Whether the server's speed still rises from the start.
        capacity: Bulkheads for these request classes, where there are to be any.

    Raises:
        MalformedInputError: A setting is missing or has no value that is known.
    """
    info = settings.get("familyInfo") or {}
    if (info.get("cores") or 0) < 1:
        raise MalformedInputError("key 'settings.familyInfo.cores' must be 1 or more")
    workload = Workload(
        classes=_request_classes(settings),
        dependency=_dependency(settings),
        tenants=_tenants(settings),
        settings=_admission_settings(settings, cold),
        in_flight=_in_flight_bytes(info),
    )
    advice = LoadAdvice(actions, _advice_settings(settings, seed))
    return AdmissionController(
        actions, workload, capacity or SharedCapacity(), advice, Health(actions, workload)
    )


def _request_classes(settings: Settings) -> list[RequestClass]:
    entries = settings.get("requestClasses") or []
    if not entries:
        raise MalformedInputError("key 'settings.requestClasses' names no stage")
    skips = (settings.get("familyInfo") or {}).get("classSkipWorth") or []
    return [
        _request_class(at, entry, skips[at] if at < len(skips) else 0.0) for at, entry in enumerate(entries)
    ]


def _request_class(at: int, entry: Settings, skip_fraction: float) -> RequestClass:
    if entry.get("effect") not in EFFECTS:
        known = ", ".join(EFFECTS)
        raise MalformedInputError(f"key 'settings.requestClasses[{at}].effect' must be one of {known}")
    if not entry.get("deadline"):
        raise MalformedInputError(f"key 'settings.requestClasses[{at}].deadline' must be above 0")
    return RequestClass(
        latency_objective=(entry.get("promise") or entry["deadline"]) / NS_PER_MS,
        timeout=entry["deadline"] / NS_PER_MS,
        priority_weight=entry.get("worth") or 0.0,
        late_fraction=entry.get("lateWorth") or 0.0,
        effect=EFFECTS[entry["effect"]],
        key_window=(entry.get("window") or 0) / NS_PER_MS,
        skip_fraction=skip_fraction,
    )


def _admission_settings(settings: Settings, cold: bool) -> AdmissionSettings:
    info = settings["familyInfo"]
    limits = settings.get("rules") or {}
    goal = settings.get("goal") or {}
    rest_of_goal = ((goal.get("whole") or 0.0) + (goal.get("worstWindow") or 0.0)) or 1.0
    return AdmissionSettings(
        cores=info["cores"],
        survivable_concurrency=limits.get("fallMultiple") or 1.0,
        cold_fraction=limits.get("coldFrom") or 1.0,
        warm_up=(limits.get("rampTime") or 0) / NS_PER_MS if cold else 0.0,
        weight_by_work=settings.get("valueBy") == "work",
        can_stop=info.get("halt") in STOPPABLE,
        drain_grace=(limits.get("drainGrace") or 0) / NS_PER_MS,
        worst_class_weight=(goal.get("worstClass") or 0.0) / rest_of_goal,
    )


def _in_flight_bytes(info: Settings) -> InFlightBytes:
    return InFlightBytes(
        memory=(info.get("ramKb") or math.inf) * BYTES_PER_KB,
        running_multiple=info.get("blowup") or 1.0,
        key_size=(info.get("keyKb") or 0.0) * BYTES_PER_KB,
    )


def _dependency(settings: Settings) -> DependencyConcurrencyLimit | None:
    if not calls_below(settings):
        return None
    info = settings["familyInfo"]
    return DependencyConcurrencyLimit(
        share=info.get("depShare") if info["below"] == "shared" else None,
        period=(info.get("callsOver") or 0) / NS_PER_MS,
        linger=(info.get("linger") or 0) / NS_PER_MS,
        cores=info["cores"],
    )


def _tenants(settings: Settings) -> TenantQuotas:
    entries = settings.get("customers") or []
    return TenantQuotas(
        quotas=[(entry.get("quotaPerS") or 0.0) / 1000.0 for entry in entries],
        servers=settings.get("servers") or 1,
        over_quota_weight=settings.get("overShareWorth") or 0.0,
    )


def _advice_settings(settings: Settings, seed: int) -> AdviceSettings:
    info, caps = settings["familyInfo"], settings.get("caps") or {}
    return AdviceSettings(
        seed=seed,
        signal=LOAD_SIGNALS.get(info.get("say") or "silent", LoadSignal.WEIGHT),
        max_retry_delay=(caps.get("maxRetryAfter") or 0) / NS_PER_MS if caps.get("retryAfter") else 0.0,
        clients=info.get("callers") or 1,
        cores=info["cores"],
        idle_timeout=(info.get("callerIdle") or 0) / NS_PER_MS,
    )
