"""Builds an `AdmissionController` from the settings a server is given."""

import math
from typing import Any

from vetchford.admission import controller
from vetchford.admission.actions import AdmissionActions
from vetchford.errors import MalformedInputError

NS_PER_MS = 1_000_000
BYTES_PER_KB = 1024
EFFECTS = {
    "read_like": controller.RESTARTABLE,
    "idempotency_key": controller.FINGERPRINTED,
    "non_idempotent": controller.SIDE_EFFECTING,
}


def indices(told: dict[str, Any]) -> tuple[dict[str, int], dict[str, int], dict[str, int]]:
    """The small index of each stage, tenant and gauge by its name on the wire."""
    stages, tenants = told.get("requestClasses") or [], told.get("customers") or []
    gauges = (told.get("familyInfo") or {}).get("ownStats") or []
    return (
        {entry.get("name") or "": at for at, entry in enumerate(stages)},
        {entry.get("name") or "": at for at, entry in enumerate(tenants)},
        {name: at for at, name in enumerate(gauges)},
    )


def calls_below(told: Any) -> bool:
    """Whether runs may call what lies below; anything but an object is named elsewhere."""
    info = (told.get("familyInfo") if isinstance(told, dict) else None) or {}
    return not isinstance(info, dict) or (info.get("below") or "silent") != "silent"


def build(
    host: AdmissionActions, seed: int, told: dict[str, Any], cold: bool, pools: Any = None
) -> controller.AdmissionController:
    """The module's parts, each from its own few settings; `cold`: its speed still rises from the start.

    `pools`: a `vetchford.bulkheads.bulkheads.PoolSet` for these stages, where there are to be pools.
    """
    info = told.get("familyInfo") or {}
    limits = told.get("rules") or {}
    goal = told.get("goal") or {}
    rest = ((goal.get("whole") or 0.0) + (goal.get("worstWindow") or 0.0)) or 1.0
    caps = told.get("caps") or {}
    cores = info.get("cores") or 0
    if cores < 1:
        raise MalformedInputError("key 'settings.familyInfo.cores' must be 1 or more")
    classes = told.get("requestClasses") or []
    if not classes:
        raise MalformedInputError("key 'settings.requestClasses' names no stage")
    skips = info.get("classSkipWorth") or []
    stages = []
    for at, entry in enumerate(classes):
        if entry.get("effect") not in EFFECTS:
            known = ", ".join(EFFECTS)
            raise MalformedInputError(f"key 'settings.requestClasses[{at}].effect' must be one of {known}")
        if not entry.get("deadline"):
            raise MalformedInputError(f"key 'settings.requestClasses[{at}].deadline' must be above 0")
        limit = entry["deadline"] / NS_PER_MS
        stages.append(
            controller.Stage(
                due=(entry.get("promise") or entry["deadline"]) / NS_PER_MS,
                limit=limit,
                utility=entry.get("worth") or 0.0,
                late_utility=entry.get("lateWorth") or 0.0,
                effect=EFFECTS[entry["effect"]],
                window=(entry.get("window") or 0) / NS_PER_MS,
                skip_utility=skips[at] if at < len(skips) else 0.0,
            )
        )
    customers = told.get("customers") or []
    bound = None
    if calls_below(told):
        bound = controller.DependencyConcurrencyLimit(
            share=info.get("depShare") if info["below"] == "shared" else None,
            over=(info.get("callsOver") or 0) / NS_PER_MS,
            linger=(info.get("linger") or 0) / NS_PER_MS,
            cores=cores,
        )
    tenants = controller.TenantQuotas(
        quotas=[(entry.get("quotaPerS") or 0.0) / 1000.0 for entry in customers],
        servers=told.get("servers") or 1,
        over_utility=told.get("overShareWorth") or 0.0,
    )
    pauses = (caps.get("maxRetryAfter") or 0) / NS_PER_MS if caps.get("retryAfter") else 0.0
    return controller.AdmissionController(
        host=host,
        stages=stages,
        cores=cores,
        survives=limits.get("fallMultiple") or 1.0,
        cold_from=limits.get("coldFrom") or 1.0,
        ramp=(limits.get("rampTime") or 0) / NS_PER_MS if cold else 0.0,
        counters=controller.InFlightBytes(
            memory=(info.get("ramKb") or math.inf) * BYTES_PER_KB,
            multiple=info.get("blowup") or 1.0,
            entry=(info.get("keyKb") or 0.0) * BYTES_PER_KB,
        ),
        calls=bound,
        tenants=tenants,
        advice=controller.LoadAdvice(
            host=host,
            seed=seed,
            say=info.get("say") or "silent",
            longest=pauses,
            callers=info.get("callers") or 1,
            cores=cores,
            idle=(info.get("callerIdle") or 0) / NS_PER_MS,
        ),
        by_work=told.get("valueBy") == "work",
        can_stop=info.get("halt") in ("drop", "pause"),
        worst_weight=(goal.get("worstClass") or 0.0) / rest,
        grace=(limits.get("drainGrace") or 0) / NS_PER_MS,
        pools=pools,
    )
