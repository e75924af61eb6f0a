"""What the platform tells a server of itself and its work, as typed records in the field's terms.

Plain data. `vetchford.protocol.platform_settings` reads it from the protocol's form, and
`vetchford.admission.factory` builds the decisions from it. Times are milliseconds, sizes are bytes.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(IntEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 0
    IDEMPOTENT_BY_KEY = 1
    """A repeat is recognised by its idempotency key, within the key window of its class."""
    NON_IDEMPOTENT = 2


class LoadSignal(Enum):
    """What the value that is published with each answer means to the balancers."""

    NONE = 0
    UTILIZATION = 1
    CREDIT = 2
    WEIGHT = 3


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """What the settings say of one class of requests."""

    name: str
    effect: Effect
    latency_objective_ms: float
    """Age up to which an answer earns the full priority weight."""
    timeout_ms: float
    """Age at which the client gives up where it names no deadline."""
    priority_weight: float
    late_fraction: float
    """Fraction of the priority weight that an answer after the latency objective still earns."""
    key_window_ms: float
    """How long a request that is idempotent by key may be repeated."""
    skip_fraction: float
    """Fraction of the priority weight left when its dependency call is skipped; 0: it may not be skipped."""


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """A customer on whose behalf requests are made."""

    name: str
    quota_per_s: float
    """First attempts a second over the whole fleet."""


@dataclass(frozen=True, slots=True)
class DependencySettings:
    """The service that executing requests may call."""

    share: float | None
    """This server's share: mean concurrent calls over `share_period_ms`; None where none is stated."""
    share_period_ms: float
    linger_ms: float
    """How long an abandoned call may go on to load the dependency."""


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """All that one server is told; the same for every start of it."""

    request_classes: tuple[RequestClassSettings, ...]
    tenants: tuple[TenantSettings, ...]
    gauges: tuple[str, ...]
    """Names of the worker pool's gauges, in the order in which their values are reported."""
    dependency: DependencySettings | None
    """None where requests have nothing to call."""
    cores: int
    memory_bytes: float
    """Memory of the worker pool for requests; infinite where none is stated."""
    running_memory_multiple: float
    """Memory of an executing request over that of a queued one."""
    idempotency_key_bytes: float
    """Memory that a kept idempotency key takes."""
    starts_cold: bool
    """Whether the server's speed still rises from the start; a simulated server alone is told so here."""
    survivable_concurrency: float
    """Runs for each core that the server survives."""
    cold_fraction: float
    """Fraction of the survivable concurrency above one run a core that a cold server survives."""
    warm_up_ms: float
    """Time from a cold start after which the server is warm."""
    weight_by_work: bool
    """Whether a request's value grows with its work."""
    can_stop_runs: bool
    """Whether a run can be stopped."""
    drain_grace_ms: float
    """Time after the termination notice in which arrivals are still admitted."""
    worst_class_weight: float
    """Weight of the worst-served class in the service goal over that of the rest."""
    fleet_size: int
    """Servers that the tenants' quotas are divided among."""
    over_quota_weight: float
    """Factor on the priority weight of what a tenant sends beyond its quota."""
    load_signal: LoadSignal
    max_retry_after_ms: float
    """Longest retry-after that may be asked of a client; 0: none may be."""
    clients: int
    """Clients that hold connections to this server."""
    idle_timeout_ms: float
    """Longest time for which an idle connection is kept open; 0: none is closed."""

    def class_indices(self) -> dict[str, int]:
        """Return the index of each request class by its name."""
        return {each.name: index for index, each in enumerate(self.request_classes)}

    def tenant_indices(self) -> dict[str, int]:
        """Return the index of each tenant by its name."""
        return {each.name: index for index, each in enumerate(self.tenants)}

    def gauge_indices(self) -> dict[str, int]:
        """Return the index of each gauge by its name."""
        return {name: index for index, name in enumerate(self.gauges)}
