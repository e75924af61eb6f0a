"""Checks the platform's `settings` object and decodes it into typed records.

Only this module knows the names of settings on the wire. Each is defined once, as a `Key` with the schema of
its value. Times are in nanoseconds, sizes in kilobytes. Absent, null and zero mean the same. Keys that are
not listed are used by the platform only and are accepted.
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
from vetchford.protocol.value_schema import Array, Boolean, Choice, Key, Number, Object, String

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
"""Any other value selects `LoadSignal.WEIGHT`."""
NO_LOAD_SIGNAL = "silent"
SUPPORTED_STOP_KINDS = ("drop", "pause")
NO_DEPENDENCY = "silent"
CONFIGURED_SHARE = "shared"
CORE_USE_GAUGE = "core_use"
"""Share of the cores in use over the last half second."""
ON_CORES_GAUGE = "on_cores"
"""Number of tasks that need a core now: runs, reads, checks and new connections."""
VALUE_BY_WORK = "work"

JsonObject = dict[str, Any]

NOT_NEGATIVE = Number(0)

# -- keys of the server and its machine

CORES = Key("cores", Number(1))
MEMORY_KB = Key("ramKb", NOT_NEGATIVE)
RUNNING_MEMORY_MULTIPLE = Key("blowup", NOT_NEGATIVE)
IDEMPOTENCY_KEY_KB = Key("keyKb", NOT_NEGATIVE)
LOAD_SIGNAL = Key("say", String())
STOP_KIND = Key("halt", String())
DEPENDENCY_KIND = Key("below", String())
IDLE_TIMEOUT_NS = Key("callerIdle", NOT_NEGATIVE)
CLIENTS = Key("callers", NOT_NEGATIVE)
SHARE_PERIOD_NS = Key("callsOver", NOT_NEGATIVE)
LINGER_NS = Key("linger", NOT_NEGATIVE)
DEPENDENCY_SHARE = Key("depShare", NOT_NEGATIVE)
STARTS_COLD = Key("cold", Boolean())
SKIP_FRACTIONS = Key("classSkipWorth", Array(NOT_NEGATIVE))
GAUGES = Key("ownStats", Array(String()))
SERVER = Key(
    "familyInfo",
    Object(
        (
            CORES,
            MEMORY_KB,
            RUNNING_MEMORY_MULTIPLE,
            IDEMPOTENCY_KEY_KB,
            LOAD_SIGNAL,
            STOP_KIND,
            DEPENDENCY_KIND,
            IDLE_TIMEOUT_NS,
            CLIENTS,
            SHARE_PERIOD_NS,
            LINGER_NS,
            DEPENDENCY_SHARE,
            STARTS_COLD,
            SKIP_FRACTIONS,
            GAUGES,
        )
    ),
)

# -- keys of a request class and of a tenant

NAME = Key("name", String())
EFFECT = Key("effect", Choice(tuple(EFFECTS)))
TIMEOUT_NS = Key("deadline", NOT_NEGATIVE)
LATENCY_OBJECTIVE_NS = Key("promise", NOT_NEGATIVE)
PRIORITY_WEIGHT = Key("worth", NOT_NEGATIVE)
LATE_FRACTION = Key("lateWorth", NOT_NEGATIVE)
KEY_WINDOW_NS = Key("window", NOT_NEGATIVE)
REQUEST_CLASSES = Key(
    "requestClasses",
    Array(
        Object(
            (
                NAME,
                EFFECT,
                TIMEOUT_NS,
                LATENCY_OBJECTIVE_NS,
                PRIORITY_WEIGHT,
                LATE_FRACTION,
                KEY_WINDOW_NS,
            )
        )
    ),
)

QUOTA_PER_S = Key("quotaPerS", NOT_NEGATIVE)
TENANTS = Key("customers", Array(Object((NAME, QUOTA_PER_S))))

# -- keys of the rules, goal and limits of the service

SURVIVABLE_CONCURRENCY = Key("fallMultiple", NOT_NEGATIVE)
COLD_FRACTION = Key("coldFrom", NOT_NEGATIVE)
WARM_UP_NS = Key("rampTime", NOT_NEGATIVE)
DRAIN_GRACE_NS = Key("drainGrace", NOT_NEGATIVE)
RULES = Key("rules", Object((SURVIVABLE_CONCURRENCY, COLD_FRACTION, WARM_UP_NS, DRAIN_GRACE_NS)))

WHOLE_WEIGHT = Key("whole", NOT_NEGATIVE)
WORST_WINDOW_WEIGHT = Key("worstWindow", NOT_NEGATIVE)
WORST_CLASS_WEIGHT = Key("worstClass", NOT_NEGATIVE)
GOAL = Key("goal", Object((WHOLE_WEIGHT, WORST_WINDOW_WEIGHT, WORST_CLASS_WEIGHT)))

RETRY_AFTER_ALLOWED = Key("retryAfter", Boolean())
MAX_RETRY_AFTER_NS = Key("maxRetryAfter", NOT_NEGATIVE)
LIMITS = Key("caps", Object((RETRY_AFTER_ALLOWED, MAX_RETRY_AFTER_NS)))

VALUE_BY = Key("valueBy", String())
FLEET_SIZE = Key("servers", NOT_NEGATIVE)
OVER_QUOTA_WEIGHT = Key("overShareWorth", NOT_NEGATIVE)

SETTINGS = Object(
    (SERVER, REQUEST_CLASSES, TENANTS, RULES, GOAL, LIMITS, VALUE_BY, FLEET_SIZE, OVER_QUOTA_WEIGHT)
)


def check(settings: Any) -> None:
    """Check the type and the minimum of each setting.

    Raises:
        MalformedInputError: Settings are invalid; the message has a line for each.
    """
    problems = list(SETTINGS.problems(settings, "settings"))
    if problems:
        raise MalformedInputError("\n".join(problems))


def decode(settings: JsonObject) -> ServerSettings:
    """Return the settings as typed records.

    Raises:
        MalformedInputError: A setting is missing or has an unknown value.
    """
    server = SERVER.read(settings, {})
    if CORES.read(server, 0) < 1:
        raise MalformedInputError(f"key 'settings.{SERVER.name}.{CORES.name}' must be 1 or more")
    rules = RULES.read(settings, {})
    return ServerSettings(
        request_classes=_request_classes(settings),
        tenants=_tenants(settings),
        gauges=tuple(GAUGES.read(server, ())),
        dependency=_dependency(settings),
        cores=CORES.read(server),
        memory_bytes=MEMORY_KB.read(server, math.inf) * BYTES_PER_KB,
        running_memory_multiple=RUNNING_MEMORY_MULTIPLE.read(server, 1.0),
        idempotency_key_bytes=IDEMPOTENCY_KEY_KB.read(server, 0.0) * BYTES_PER_KB,
        starts_cold=bool(STARTS_COLD.read(server)),
        survivable_concurrency=SURVIVABLE_CONCURRENCY.read(rules, 1.0),
        cold_fraction=COLD_FRACTION.read(rules, 1.0),
        warm_up_ms=WARM_UP_NS.read(rules, 0) / NS_PER_MS,
        weight_by_work=VALUE_BY.read(settings) == VALUE_BY_WORK,
        can_stop_runs=STOP_KIND.read(server) in SUPPORTED_STOP_KINDS,
        drain_grace_ms=DRAIN_GRACE_NS.read(rules, 0) / NS_PER_MS,
        worst_class_weight=_worst_class_weight(settings),
        fleet_size=FLEET_SIZE.read(settings, 1),
        over_quota_weight=OVER_QUOTA_WEIGHT.read(settings, 0.0),
        load_signal=LOAD_SIGNALS.get(LOAD_SIGNAL.read(server, NO_LOAD_SIGNAL), LoadSignal.WEIGHT),
        max_retry_after_ms=_max_retry_after_ms(settings),
        clients=CLIENTS.read(server, 1),
        idle_timeout_ms=IDLE_TIMEOUT_NS.read(server, 0) / NS_PER_MS,
    )


def has_dependency(settings: Any) -> bool:
    """Return whether runs may make dependency calls; `check` reports settings of the wrong type."""
    server = SERVER.read(settings, {}) if isinstance(settings, dict) else {}
    return not isinstance(server, dict) or DEPENDENCY_KIND.read(server, NO_DEPENDENCY) != NO_DEPENDENCY


def summary(settings: JsonObject) -> JsonObject:
    """Return the settings that `vetchford settings` prints."""
    return {
        "tenants": list(decode(settings).tenant_indices()),
        "stages": [_request_class_summary(entry) for entry in REQUEST_CLASSES.read(settings, ())],
    }


def cores(settings: JsonObject) -> Any:
    """Return the number of cores of the worker pool as configured."""
    return SERVER.read(settings, {}).get(CORES.name)


def _request_class_summary(entry: JsonObject) -> JsonObject:
    timeout_ns = entry[TIMEOUT_NS.name]
    return {
        "name": entry.get(NAME.name),
        "effect": EFFECTS[entry[EFFECT.name]],
        "due_ms": LATENCY_OBJECTIVE_NS.read(entry, timeout_ns) / NS_PER_MS,
        "limit_ms": timeout_ns / NS_PER_MS,
        "utility": entry.get(PRIORITY_WEIGHT.name),
    }


def _request_classes(settings: JsonObject) -> tuple[RequestClassSettings, ...]:
    entries = REQUEST_CLASSES.read(settings, ())
    if not entries:
        raise MalformedInputError(f"key 'settings.{REQUEST_CLASSES.name}' must have at least one entry")
    skip_fractions = SKIP_FRACTIONS.read(SERVER.read(settings, {}), ())
    return tuple(
        _request_class(index, entry, skip_fractions[index] if index < len(skip_fractions) else 0.0)
        for index, entry in enumerate(entries)
    )


def _request_class(index: int, entry: JsonObject, skip_fraction: float) -> RequestClassSettings:
    path = f"settings.{REQUEST_CLASSES.name}[{index}]"
    effect = entry.get(EFFECT.name)
    if effect not in EFFECTS:
        raise MalformedInputError(f"key '{path}.{EFFECT.name}' must be one of {', '.join(EFFECTS)}")
    timeout_ns = TIMEOUT_NS.read(entry)
    if not timeout_ns:
        raise MalformedInputError(f"key '{path}.{TIMEOUT_NS.name}' must be above 0")
    return RequestClassSettings(
        name=NAME.read(entry, ""),
        effect=EFFECTS[effect],
        latency_objective_ms=LATENCY_OBJECTIVE_NS.read(entry, timeout_ns) / NS_PER_MS,
        timeout_ms=timeout_ns / NS_PER_MS,
        priority_weight=PRIORITY_WEIGHT.read(entry, 0.0),
        late_fraction=LATE_FRACTION.read(entry, 0.0),
        key_window_ms=KEY_WINDOW_NS.read(entry, 0) / NS_PER_MS,
        skip_fraction=skip_fraction,
    )


def _tenants(settings: JsonObject) -> tuple[TenantSettings, ...]:
    return tuple(
        TenantSettings(name=NAME.read(entry, ""), quota_per_s=QUOTA_PER_S.read(entry, 0.0))
        for entry in TENANTS.read(settings, ())
    )


def _dependency(settings: JsonObject) -> DependencySettings | None:
    if not has_dependency(settings):
        return None
    server = SERVER.read(settings, {})
    share_is_configured = DEPENDENCY_KIND.read(server) == CONFIGURED_SHARE
    return DependencySettings(
        share=server.get(DEPENDENCY_SHARE.name) if share_is_configured else None,
        share_period_ms=SHARE_PERIOD_NS.read(server, 0) / NS_PER_MS,
        linger_ms=LINGER_NS.read(server, 0) / NS_PER_MS,
    )


def _worst_class_weight(settings: JsonObject) -> float:
    """Return the weight of the worst-served class relative to the other weights of the goal."""
    goal = GOAL.read(settings, {})
    other_weights = WHOLE_WEIGHT.read(goal, 0.0) + WORST_WINDOW_WEIGHT.read(goal, 0.0)
    return float(WORST_CLASS_WEIGHT.read(goal, 0.0) / (other_weights or 1.0))


def _max_retry_after_ms(settings: JsonObject) -> float:
    limits = LIMITS.read(settings, {})
    if not RETRY_AFTER_ALLOWED.read(limits):
        return 0.0
    return float(MAX_RETRY_AFTER_NS.read(limits, 0) / NS_PER_MS)
