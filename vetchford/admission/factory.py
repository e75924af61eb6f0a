"""Builds an `AdmissionController` from the settings of a server."""

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.capacity import Capacity
from vetchford.admission.concurrency_limits import DependencyConcurrencyLimit
from vetchford.admission.controller import AdmissionController
from vetchford.admission.in_flight_bytes import InFlightBytes
from vetchford.admission.request import AdmissionSettings, AdviceSettings, RequestClass
from vetchford.admission.settings import RequestClassSettings, ServerSettings
from vetchford.admission.shared_capacity import SharedCapacity
from vetchford.admission.tenant_quotas import TenantQuotas
from vetchford.admission.workload import Workload

MS_PER_S = 1000.0


def build(
    actions: AdmissionActions,
    seed: int,
    settings: ServerSettings,
    cold: bool,
    capacity: Capacity | None = None,
) -> AdmissionController:
    """Return the controller for these settings.

    Args:
        actions: The actions that the controller calls.
        seed: Seed of the retry-after jitter.
        settings: Settings of the server.
        cold: Whether the server starts cold, so that its speed rises during the warm-up.
        capacity: Capacity divided into bulkheads for these request classes; None: shared capacity.
    """
    workload = Workload(
        classes=[_request_class(each) for each in settings.request_classes],
        dependency=_dependency(settings),
        tenants=_tenants(settings),
        settings=_admission_settings(settings, cold),
        in_flight=_in_flight_bytes(settings),
    )
    advice = _advice_settings(settings, seed)
    return AdmissionController(actions, workload, capacity or SharedCapacity(), advice)


def _request_class(settings: RequestClassSettings) -> RequestClass:
    return RequestClass(
        latency_objective_ms=settings.latency_objective_ms,
        timeout_ms=settings.timeout_ms,
        priority_weight=settings.priority_weight,
        late_fraction=settings.late_fraction,
        effect=settings.effect,
        key_window_ms=settings.key_window_ms,
        skip_fraction=settings.skip_fraction,
    )


def _admission_settings(settings: ServerSettings, cold: bool) -> AdmissionSettings:
    return AdmissionSettings(
        cores=settings.cores,
        survivable_concurrency=settings.survivable_concurrency,
        cold_fraction=settings.cold_fraction,
        warm_up_ms=settings.warm_up_ms if cold else 0.0,
        weight_by_work=settings.weight_by_work,
        can_stop=settings.can_stop_runs,
        drain_grace_ms=settings.drain_grace_ms,
        worst_class_weight=settings.worst_class_weight,
    )


def _in_flight_bytes(settings: ServerSettings) -> InFlightBytes:
    return InFlightBytes(
        memory_bytes=settings.memory_bytes,
        running_multiple=settings.running_memory_multiple,
        key_size_bytes=settings.idempotency_key_bytes,
    )


def _dependency(settings: ServerSettings) -> DependencyConcurrencyLimit | None:
    dependency = settings.dependency
    if dependency is None:
        return None
    return DependencyConcurrencyLimit(
        share=dependency.share,
        share_period_ms=dependency.share_period_ms,
        linger_ms=dependency.linger_ms,
        cores=settings.cores,
    )


def _tenants(settings: ServerSettings) -> TenantQuotas:
    return TenantQuotas(
        quotas=[tenant.quota_per_s / MS_PER_S for tenant in settings.tenants],
        servers=settings.fleet_size,
        over_quota_weight=settings.over_quota_weight,
    )


def _advice_settings(settings: ServerSettings, seed: int) -> AdviceSettings:
    return AdviceSettings(
        seed=seed,
        signal=settings.load_signal,
        max_retry_after_ms=settings.max_retry_after_ms,
        clients=settings.clients,
        cores=settings.cores,
        max_idle_timeout_ms=settings.idle_timeout_ms,
    )
