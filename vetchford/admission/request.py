"""Plain types of the admission decisions: requests, their classes, arrivals and outcomes. No decisions.

All times are milliseconds with fractions on the controller's clock; durations are milliseconds.
"""

import math
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import NamedTuple

from vetchford.admission.concurrency_limits import RUNS_BY_COUNT, TimeWeightedAverage
from vetchford.admission.settings import Effect, LoadSignal

UNKNOWN_WORK_MS = 1.0
"""Expected work of a request whose client gives none: the class's mean run time then stands for it."""
UNKNOWN_ORIGINAL = -1
"""In place of the index of the request that another repeats: this server does not hold it any more."""
NOTHING_OFFERED = 1e-9
"""Keeps the achieved part of what was offered defined before the first request."""


class RequestState(IntEnum):
    """Where a request is between its arrival and the release of its memory."""

    QUEUED = 0
    EXECUTING = 1
    WAITING_FOR_CALL = 2
    """Its run is blocked on a call to the dependency that is not out."""
    CALLING = 3
    SHARING = 4
    """It waits for the result of the request that it repeats."""
    DONE = 5


class Outcome(StrEnum):
    """How a run or a call to the dependency ended."""

    COMPLETED = "completed"
    ERRORED = "errored"
    SATURATED = "saturated"
    OVERDUE = "overdue"
    REFUSED_CONNECTION = "refused_conn"
    SEVERED = "severed"
    RECALLED = "recalled"
    SUPERSEDED = "superseded"


class RequestArrival(NamedTuple):
    """One request as it was read from its client."""

    request_index: int
    """Small index that names the request until `AdmissionActions.release`."""
    class_index: int
    tenant: int
    """Index of its tenant, or -1."""
    client: int
    deadline_ms: float | None
    """Clock time after which the client no longer waits; None where it does not say."""
    work_ms: float | None
    """Expected work in ms on a standard core; None where the client does not say."""
    size_bytes: int
    """Bytes."""
    is_retry: bool
    queued_for_ms: float
    """Time between its arrival at the machine and now."""
    original: int | None
    """Index of the request it repeats, or `UNKNOWN_ORIGINAL`; None for no repeat."""


@dataclass(slots=True)
class RequestClass:
    """What the settings say of a class of requests, and what was measured of it."""

    latency_objective_ms: float
    timeout_ms: float
    priority_weight: float
    late_fraction: float
    """Fraction of the priority weight that an answer after the latency objective still earns."""
    effect: Effect
    key_window_ms: float
    """Duration within which a request that is idempotent by key may be repeated."""
    skip_fraction: float
    """Fraction of the priority weight left when its call is skipped; 0: it may not be skipped."""
    service_time_per_unit: TimeWeightedAverage = field(
        default_factory=lambda: TimeWeightedAverage(RUNS_BY_COUNT)
    )
    """Run time over expected work, of runs that did not compete for the cores."""
    dependency_wait_ms: float = 0.0
    """Recent time that a run waits on calls."""
    learnt_at_ms: float = -math.inf
    """When a run last completed."""
    offered: float = NOTHING_OFFERED
    """Priority weight of recent first attempts."""
    achieved: float = 0.0
    """Part of it that was answered within the latency objective."""
    queue_weight: float = 0.0
    """Priority weight by which the queue is ordered."""
    mean_run_time_ms: float = 0.0
    """Recent mean, for bulkheads."""
    bulkhead: int = 0


class AttemptTimes(NamedTuple):
    """Until when an attempt is useful; times are milliseconds of the controller's clock."""

    arrived_at_ms: float
    objective_at_ms: float
    """Up to which an answer earns the full priority weight."""
    deadline_ms: float
    is_retry: bool


@dataclass(slots=True)
class Request:
    """One request from its arrival until its index is released."""

    index: int
    request_class: RequestClass
    tenant: int
    client: int
    arrived_at_ms: float
    objective_at_ms: float
    deadline_ms: float
    work_ms: float
    size_bytes: int
    is_retry: bool
    state: RequestState = RequestState.QUEUED
    started: bool = False
    answered: bool = False
    concurrency_at_start: float = 0.0
    """Runs and reads on the cores when its run started."""
    dependency_wait_ms: float = 0.0
    """Time waited on calls; meaningful between waits only, see `wait_started`."""
    key_expires_at_ms: float = 0.0
    """When its idempotency key is dropped; 0: it has none."""
    bulkhead: int = 0
    """Bulkhead of its class when it arrived."""

    @property
    def has_key(self) -> bool:
        """Whether repeats of it are recognised by their idempotency key."""
        return self.request_class.effect == Effect.IDEMPOTENT_BY_KEY

    def wait_started(self, now_ms: float) -> None:
        """Begin to wait on a call.

        While the wait lasts, `dependency_wait_ms` is the sum of earlier waits less this start.
        """
        self.dependency_wait_ms -= now_ms

    def wait_ended(self, now_ms: float) -> None:
        """End the wait that `wait_started` began, and add it to `dependency_wait_ms`."""
        self.dependency_wait_ms += now_ms

    def has_waited(self) -> bool:
        """Return whether it waits on a call or has waited on one; a wait that took no time is none."""
        return self.dependency_wait_ms != 0.0

    @classmethod
    def of(cls, arrival: RequestArrival, request_class: RequestClass, times: AttemptTimes) -> "Request":
        """Return the request of an arrival, with the times that were decided for it."""
        return cls(
            arrival.request_index,
            request_class,
            arrival.tenant,
            arrival.client,
            times.arrived_at_ms,
            times.objective_at_ms,
            times.deadline_ms,
            arrival.work_ms or UNKNOWN_WORK_MS,
            arrival.size_bytes,
            times.is_retry,
            bulkhead=request_class.bulkhead,
        )


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of the controller that belong to none of its parts."""

    cores: int
    survivable_concurrency: float
    """Runs for each core that the server survives."""
    cold_fraction: float
    """Fraction of the survivable concurrency above one run a core that a cold server survives."""
    warm_up_ms: float
    """Duration from the start after which the server is warm; 0: it is warm."""
    weight_by_work: bool
    """Whether a request's value grows with its work."""
    can_stop: bool
    """Whether a run can be stopped."""
    drain_grace_ms: float
    """Duration after the termination notice in which arrivals are still admitted."""
    worst_class_weight: float
    """Weight of the worst-served class in the service goal over that of the rest."""


@dataclass(frozen=True, slots=True)
class AdviceSettings:
    """Settings of what clients are advised: retry-after, published load, idle timeout."""

    seed: int
    """Of the jitter of retry-afters."""
    signal: LoadSignal
    max_retry_after_ms: float
    clients: int
    """That hold connections to this server."""
    cores: int
    max_idle_timeout_ms: float
    """Longest duration for which an idle connection is kept open; 0: nothing is closed."""
