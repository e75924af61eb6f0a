"""The state that the admission decisions of one server share. No decisions."""

from dataclasses import dataclass, field

from vetchford.admission.concurrency_limits import DependencyConcurrencyLimit
from vetchford.admission.in_flight_bytes import InFlightBytes
from vetchford.admission.request import AdmissionSettings, Request, RequestClass
from vetchford.admission.tenant_quotas import TenantQuotas


@dataclass(eq=False)
class WorkloadState:
    """The requests of a server by state, and the recent means of completed ones."""

    settings: AdmissionSettings
    classes: list[RequestClass]
    in_flight: InFlightBytes
    dependency: DependencyConcurrencyLimit | None
    """None where there is nothing to call."""
    tenants: TenantQuotas
    requests: dict[int, Request] = field(default_factory=dict)
    """All by index; emptied as indices are released."""
    queued: dict[int, Request] = field(default_factory=dict)
    """Emptied as requests start, are answered or are cancelled."""
    waiting: dict[int, Request] = field(default_factory=dict)
    """Those that wait for a call that is not out; emptied as calls go out or answers do."""
    running: int = 0
    """Runs on the cores."""
    reading: float = 0.0
    """What is on the cores beside the runs."""
    slowdown: float = 1.0
    """Recent run time over that without contention."""
    mean_run_time_ms: float = 0.0
    mean_size_bytes: float = 0.0
    mean_work_ms: float = 0.0

    @property
    def calls_stopped(self) -> bool:
        """Whether the fleet has stopped all calls to the dependency."""
        return self.dependency is not None and self.dependency.usable_fraction == 0.0

    def __post_init__(self) -> None:
        """For what is computed from the settings."""
