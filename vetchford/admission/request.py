"""Plain types of the admission decisions: requests, their classes, arrivals and outcomes. No decisions.

All times are milliseconds with fractions on the controller's clock; durations are milliseconds.
"""

import math
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import NamedTuple

from vetchford.admission.concurrency_limits import (
    EQUAL_WEIGHT_RUNS,
    MAX_SAMPLE_RATIO,
    TimeWeightedAverage,
)
from vetchford.admission.settings import Effect, LoadSignal

UNKNOWN_WORK_MS = 1.0
"""Expected work of a request whose client gives none, so that the class's mean run time is expected.

Less work counts as this, as a run time over next to no work would dominate the mean.
"""
UNKNOWN_ORIGINAL = -1
"""Replaces the index of a repeat's original when this server no longer has the original."""
MIN_OFFERED_WEIGHT = 1e-9
"""Keeps the ratio of achieved to offered weight defined before the first request."""


class RequestState(IntEnum):
    """Where a request is between its arrival and the release of its memory."""

    QUEUED = 0
    EXECUTING = 1
    WAITING_FOR_CALL = 2
    """The run is blocked on a dependency call that has not started."""
    CALLING = 3
    SHARING = 4
    """The request waits for the result of the request that it repeats."""
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
    """A request as it was read from its client."""

    request_index: int
    """Index that identifies the request until `AdmissionActions.release`."""
    class_index: int
    tenant: int
    """Index of the request's tenant, or -1 for none."""
    client: int
    deadline_ms: float | None
    """Clock time after which the client no longer waits; None if the client gives no deadline."""
    work_ms: float | None
    """Expected work in ms on a standard core; None if the client gives none."""
    size_bytes: int
    is_retry: bool
    queued_for_ms: float
    """Time between the request's arrival at the machine and its reading."""
    original: int | None
    """Index of the request that this one repeats, or `UNKNOWN_ORIGINAL`; None if it is no repeat."""
    max_unread_ms: float = math.inf
    """Longest time for which the request can have waited unread, as the server itself knows."""

    def unread_for_ms(self) -> float:
        """Return how long the request waited unread, which its client can't overstate."""
        return min(self.queued_for_ms, self.max_unread_ms)


@dataclass(slots=True)
class RequestClass:
    """The settings and measurements of a request class."""

    latency_objective_ms: float
    timeout_ms: float
    priority_weight: float
    late_fraction: float
    """Fraction of the priority weight credited to an answer after the latency objective."""
    effect: Effect
    key_window_ms: float
    """Duration within which a request that is idempotent by key may be repeated."""
    skip_fraction: float
    """Fraction of the priority weight that remains if the dependency call is skipped; 0: never skipped."""
    service_time_per_unit: TimeWeightedAverage = field(
        default_factory=lambda: TimeWeightedAverage(EQUAL_WEIGHT_RUNS, MAX_SAMPLE_RATIO)
    )
    """Mean run time over expected work, of runs that did not compete for the cores."""
    dependency_wait_ms: float = 0.0
    """Recent mean time that a run waits for dependency calls."""
    last_completed_at_ms: float = -math.inf
    """Time at which a run last completed."""
    offered_weight: float = MIN_OFFERED_WEIGHT
    """Priority weight of recent first attempts."""
    achieved_weight: float = 0.0
    """Part of the offered weight that was answered within the latency objective."""
    queue_weight: float = 0.0
    """Priority weight that orders the queue, including the bonus of the worst-served class."""
    mean_run_time_ms: float = 0.0
    """Recent mean run time, by which derived bulkheads classify."""
    bulkhead: int = 0

    def forget_run_times(self) -> None:
        """Forget the measured run times."""
        self.service_time_per_unit = TimeWeightedAverage(EQUAL_WEIGHT_RUNS, MAX_SAMPLE_RATIO)
        self.mean_run_time_ms = 0.0

    def forget_measurements(self) -> None:
        """Forget the measured run times and waits for calls."""
        self.forget_run_times()
        self.dependency_wait_ms = 0.0


class AttemptTimes(NamedTuple):
    """The times of an attempt, in milliseconds of the controller's clock."""

    arrived_at_ms: float
    objective_at_ms: float
    """Time up to which an answer is credited with the full priority weight."""
    deadline_ms: float
    is_retry: bool


@dataclass(slots=True)
class Request:
    """A request from its arrival until its index is released."""

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
    """Runs and reads on the cores when the run started."""
    dependency_wait_ms: float = 0.0
    """Time waited for dependency calls; valid only between waits, see `wait_started`."""
    key_expires_at_ms: float = 0.0
    """Time at which the idempotency key is dropped; 0: no key is kept."""
    bulkhead: int = 0
    """Bulkhead of the request class when the request arrived."""

    @property
    def has_key(self) -> bool:
        """Whether repeats of the request are recognised by their idempotency key."""
        return self.request_class.effect == Effect.IDEMPOTENT_BY_KEY

    def wait_started(self, now_ms: float) -> None:
        """Begin a wait for a call.

        During the wait, `dependency_wait_ms` is the sum of earlier waits minus the start of this one.
        """
        self.dependency_wait_ms -= now_ms

    def wait_ended(self, now_ms: float) -> None:
        """End the wait that `wait_started` began, so that `dependency_wait_ms` includes it."""
        self.dependency_wait_ms += now_ms

    def has_waited(self) -> bool:
        """Return whether the run waits or has waited for a call; a wait of zero duration does not count."""
        return self.dependency_wait_ms != 0.0

    @classmethod
    def from_arrival(
        cls, arrival: RequestArrival, request_class: RequestClass, times: AttemptTimes
    ) -> "Request":
        """Return the request of an arrival, with the times that were computed for the attempt."""
        return cls(
            arrival.request_index,
            request_class,
            arrival.tenant,
            arrival.client,
            times.arrived_at_ms,
            times.objective_at_ms,
            times.deadline_ms,
            max(UNKNOWN_WORK_MS, arrival.work_ms or 0.0),
            arrival.size_bytes,
            times.is_retry,
            bulkhead=request_class.bulkhead,
        )


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings that several parts of the controller use."""

    cores: int
    survivable_concurrency: float
    """Concurrent runs per core that the server survives."""
    cold_fraction: float
    """Fraction of the survivable concurrency above one run per core that a cold server survives."""
    warm_up_ms: float
    """Duration from the start until the server is warm; 0: the server starts warm."""
    weight_by_work: bool
    """Whether the weight of a request in the service goal grows with its work."""
    can_stop: bool
    """Whether a run can be stopped."""
    drain_grace_ms: float
    """Duration after the termination notice within which arriving requests are still admitted."""
    worst_class_weight: float
    """Weight of the worst-served class in the service goal over that of the rest."""


@dataclass(frozen=True, slots=True)
class AdviceSettings:
    """Settings of the advice to clients: retry-after, published load, idle timeout."""

    seed: int
    """Seed of the retry-after jitter."""
    signal: LoadSignal
    max_retry_after_ms: float
    clients: int
    """Number of clients that hold connections to this server."""
    cores: int
    max_idle_timeout_ms: float
    """Longest duration for which an idle connection is kept open; 0: admission control sets no timeout."""
