"""The settings that the platform gives a server, as plain data.

`vetchford.protocol.platform_settings` decodes the settings from the protocol, and
`vetchford.admission.factory` builds the admission controller from them. Times are milliseconds, sizes are
bytes.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(IntEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 0
    IDEMPOTENT_BY_KEY = 1
    """A repeat is recognised by its idempotency key within the key window of its class."""
    NON_IDEMPOTENT = 2


class LoadSignal(Enum):
    """The meaning to balancers of the load value that is published with each answer."""

    NONE = 0
    UTILIZATION = 1
    CREDIT = 2
    WEIGHT = 3


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """The settings of one request class."""

    name: str
    effect: Effect
    latency_objective_ms: float
    """Age of a request up to which an answer is credited with the full priority weight."""
    timeout_ms: float
    """Age of a request at which a client that gives no deadline stops waiting."""
    priority_weight: float
    late_fraction: float
    """Fraction of the priority weight credited to an answer after the latency objective."""
    key_window_ms: float
    """Duration within which a request that is idempotent by key may be repeated."""
    skip_fraction: float
    """Fraction of the priority weight that remains if the dependency call is skipped; 0: never skipped."""


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """A customer on whose behalf requests are made."""

    name: str
    quota_per_s: float
    """First attempts per second over the whole fleet."""


@dataclass(frozen=True, slots=True)
class DependencySettings:
    """The service that executing requests may call."""

    share: float | None
    """This server's share: mean concurrent calls over `share_period_ms`; None if the platform states none."""
    share_period_ms: float
    linger_ms: float
    """How long an abandoned call may continue to load the dependency."""


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """All settings of one server, the same at each of its starts."""

    request_classes: tuple[RequestClassSettings, ...]
    tenants: tuple[TenantSettings, ...]
    gauges: tuple[str, ...]
    """Names of the worker pool's gauges, in the order in which their values are reported."""
    dependency: DependencySettings | None
    """None if the server has no dependency."""
    cores: int
    memory_bytes: float
    """Memory of the worker pool for requests; infinite if the platform states none."""
    running_memory_multiple: float
    """Memory of an executing request over that of a queued request."""
    idempotency_key_bytes: float
    """Memory that a kept idempotency key takes."""
    starts_cold: bool
    """Whether the server starts cold; the platform sets this only for a simulated server."""
    survivable_concurrency: float
    """Concurrent runs per core that the server survives."""
    cold_fraction: float
    """Fraction of the survivable concurrency above one run per core that a cold server survives."""
    warm_up_ms: float
    """Duration from a cold start until the server is warm."""
    weight_by_work: bool
    """Whether the weight of a request in the service goal grows with its work."""
    can_stop_runs: bool
    """Whether a run can be stopped."""
    drain_grace_ms: float
    """Duration after the termination notice within which arriving requests are still admitted."""
    worst_class_weight: float
    """Weight of the worst-served class in the service goal over that of the rest."""
    fleet_size: int
    """Number of servers among which the tenants' quotas are divided."""
    over_quota_weight: float
    """Factor on the priority weight of requests that a tenant sends beyond its quota."""
    load_signal: LoadSignal
    max_retry_after_ms: float
    """Longest retry-after that a client may be asked to wait; 0: no retry-after may be asked."""
    clients: int
    """Number of clients that hold connections to this server."""
    idle_timeout_ms: float
    """Longest duration for which an idle connection is kept open; 0: no connection is closed."""

    def class_indices(self) -> dict[str, int]:
        """Return the index of each request class by its name."""
        return {each.name: index for index, each in enumerate(self.request_classes)}

    def tenant_indices(self) -> dict[str, int]:
        """Return the index of each tenant by its name."""
        return {each.name: index for index, each in enumerate(self.tenants)}

    def gauge_indices(self) -> dict[str, int]:
        """Return the index of each gauge by its name."""
        return {name: index for index, name in enumerate(self.gauges)}
