"""The events of one server's life, each with the decisions that follow from it (docs/design.md)."""

import math

from vetchford.admission.events import AdmissionEvents
from vetchford.admission.part import AdmissionPart
from vetchford.admission.queue_times import QueueTimeHistogram
from vetchford.admission.request import Outcome, Request, RequestArrival, RequestState
from vetchford.admission.scheduler import Scheduler
from vetchford.admission.workload import RECENT

TICK = 50.0  # ms: answers due before the next tick leave in this one, so they are early by this at most
BUSY, ROOM_TO_GROW = 0.8, 0.5  # utilization of the cores: the design's mark; more runs only slow all above


class AdmissionController(AdmissionPart, AdmissionEvents):
    """All admission decisions of one server; acts through `AdmissionActions`."""

    def __post_init__(self) -> None:
        self.queue_times, self.scheduler = QueueTimeHistogram(), Scheduler(*self.shared)
        self.lifecycle = self.scheduler.lifecycle
        self.capacity.attach(self.workload)
        self.actions.set_readiness(True)
        self.actions.schedule_tick(TICK)

    def request_arrived(self, now_ms: float, arrival: RequestArrival) -> None:
        request = self._enter(now_ms, arrival)
        drained = request.arrived_at_ms > self.health.notice_at_ms + self.workload.settings.drain_grace_ms
        late = drained or self.health.stalled or request.deadline_ms <= now_ms + TICK
        if arrival.original is not None and self.lifecycle.resolve_repeat(request, arrival.original, late):
            return
        if late:
            self.lifecycle.reject(request, False, self.advice.retry_after_ms(math.inf))
        elif self._admit(now_ms, request):
            self.workload.queued[request.index] = request
            if request.has_key:
                self.lifecycle.keep_key(now_ms, request, arrival.queued_for_ms)
            self.scheduler.dispatch(now_ms)

    def apply_fleet_signals(
        self, call_slowdown: float, call_capacity: float, is_full: bool, retry_after_factor: float
    ) -> None:
        self.advice.fleet_full = is_full
        self.advice.retry_after_factor = retry_after_factor
        dependency = self.workload.dependency
        if dependency is not None:
            dependency.usable_fraction = call_capacity
            usual_ms = dependency.base_time_ms.value
            slow_ms = usual_ms * call_slowdown if call_slowdown > 1.0 else 0.0
            dependency.min_call_time_ms = math.inf if call_capacity == 0.0 else slow_ms

    def start_draining(self, now_ms: float, kill_at_ms: float) -> None:
        self.health.start_draining(now_ms, kill_at_ms)
        for request in self.workload.requests.values():
            request.deadline_ms = min(request.deadline_ms, self.health.kill_at_ms)

    def client_gone(self, now_ms: float, index: int) -> None:
        request = self.workload.requests[index]
        if not request.answered:
            if not request.is_retry:  # a retry's client may leave for reasons of the first attempt
                self.queue_times.add((now_ms - request.arrived_at_ms) / request.request_class.timeout_ms)
            self.lifecycle.cancel(request)
            self.scheduler.dispatch(now_ms)

    def run_ended(self, now_ms: float, index: int, outcome: str, took_ms: float) -> None:
        load, request = self.workload, self.workload.requests[index]
        if request.state != RequestState.SHARING:
            self.capacity.run_ended(now_ms, request)
            if request.state == RequestState.EXECUTING:
                load.running -= 1
                if outcome == Outcome.COMPLETED:
                    load.learn(now_ms, request, took_ms)
            elif request.state == RequestState.CALLING and load.dependency is not None:
                load.dependency.ended(now_ms, None)
            self.health.run_left(now_ms)
            load.in_flight.used_bytes -= request.size_bytes * load.in_flight.running_extra
        if not request.answered:
            self.lifecycle.settle(request)
        self.lifecycle.finish(request)
        self.scheduler.dispatch(now_ms)

    def run_blocked(self, now_ms: float, index: int) -> None:
        request = self.workload.requests[index]
        self.workload.running -= 1
        self.capacity.run_blocked(now_ms, request)
        self.health.run_left(now_ms)
        request.state = RequestState.WAITING_FOR_CALL
        request.dependency_wait_ms -= now_ms
        if not request.answered:  # else it ends by itself
            self.workload.waiting[index] = request
            self.scheduler.start_calls(now_ms)
            waits = request.state == RequestState.WAITING_FOR_CALL and request.request_class.skip_fraction
            if waits and (self.workload.calls_stopped or self.capacity.should_skip(request)):
                self.scheduler.skip_call(now_ms, request)
        self.scheduler.dispatch(now_ms)

    def call_ended(self, now_ms: float, index: int, outcome: str, took_ms: float) -> None:
        request, dependency = self.workload.requests[index], self.workload.dependency
        answered_after = None if outcome in (Outcome.OVERDUE, Outcome.SEVERED) else took_ms
        never_ran = outcome in (Outcome.SATURATED, Outcome.REFUSED_CONNECTION)
        if dependency is not None:
            dependency.ended(now_ms, answered_after)
        self.capacity.call_ended(now_ms, request, answered_after, never_ran)
        request.state = RequestState.WAITING_FOR_CALL  # whatever follows: its call is counted back once
        if outcome == Outcome.COMPLETED:
            self.scheduler.resume(now_ms, request)
        elif not request.answered and request.request_class.skip_fraction > 0.0:
            self.scheduler.skip_call(now_ms, request)
        elif not request.answered and never_ran:
            self.workload.waiting[index] = request  # it may be made again, at the next tick
            return
        elif not request.answered:  # one given up on while its call was out ends by itself
            self.lifecycle.give_up(request)
        self.scheduler.start_calls(now_ms)
        self.scheduler.dispatch(now_ms)

    def on_tick(self, now_ms: float, utilization: float | None, on_cores: float | None) -> None:
        load = self.workload
        self.actions.schedule_tick(TICK)
        self.scheduler.cores_busy = utilization is None or utilization > BUSY
        load.reading += 0.3 * (min(max(0.0, (on_cores or 0.0) - load.running), load.cores) - load.reading)
        self.lifecycle.expire_keys(now_ms)
        load.slowdown += 0.0 if load.running else RECENT * (1.0 - load.slowdown)  # idle cores unlearn
        load.reweigh_classes()
        load.update_ceiling(now_ms)
        self.capacity.on_tick(now_ms)
        # More runs on busy cores only slow all, and at a few cores the root is a large part of the limit.
        may_grow = utilization is not None and utilization < ROOM_TO_GROW
        load.limit.step(now_ms, load.ceiling, self.scheduler.cores_busy, may_grow)
        self.health.on_tick(now_ms)
        for request in [request for request in load.requests.values() if not request.answered]:
            self._answer_if_due(now_ms, request)
        self.scheduler.start_calls(now_ms)
        self.advice.update_load(self.health.read_delay_ratio, load.speed())
        self.advice.update_idle_timeout(self.health.read_delay_ratio, load.reading / load.cores)
        self.scheduler.dispatch(now_ms)

    def _enter(self, now_ms: float, arrival: RequestArrival) -> Request:
        kind, given, is_retry = (
            self.workload.classes[arrival.class_index],
            arrival.deadline_ms,
            arrival.is_retry,
        )
        arrived_at_ms, usual = now_ms - arrival.queued_for_ms, self.queue_times.most_common()
        deadline_ms = min(arrived_at_ms + kind.timeout_ms if given is None else given, self.health.kill_at_ms)
        patience = kind.timeout_ms if given else 0.95 * usual * kind.timeout_ms
        objective_at_ms = arrived_at_ms + min(kind.latency_objective_ms, patience)
        if given is not None:
            age = self.queue_times.age((given - arrived_at_ms) / kind.timeout_ms)
            objective_at_ms -= age * kind.timeout_ms
            is_retry = is_retry or age > 0.05  # under a twentieth it only tried another server
        elif is_retry:
            objective_at_ms -= (
                0.5 * self.advice.mean_retry_after_ms
            )  # it backed off as asked, or not at all: half
        request = Request.of(
            arrival, kind, arrived_at_ms, min(objective_at_ms, deadline_ms), deadline_ms, is_retry
        )
        self.workload.requests[request.index] = request
        self.workload.in_flight.add(request.client, request.size_bytes)
        self.capacity.arrived(request)
        self.advice.arrivals, self.advice.retries = self.advice.arrivals + 1.0, self.advice.retries + is_retry
        if not is_retry:
            kind.offered += self.workload.value(request)
            self.workload.tenants.count(now_ms, request.tenant)
        delay_ms = arrival.queued_for_ms / max(1.0, kind.latency_objective_ms)
        self.health.read_delay_ratio += RECENT * (delay_ms - self.health.read_delay_ratio)
        return request

    def _admit(self, now_ms: float, request: Request) -> bool:
        load, in_flight = self.workload, self.workload.in_flight
        key = in_flight.key_size_bytes if request.has_key else 0.0
        delay_ms = self.capacity.queue_delay_ms(now_ms, request)
        fits = self.capacity.memory_fits(request, key + request.size_bytes * in_flight.running_extra)
        if not fits or not self.scheduler.in_time(now_ms, request, delay_ms):
            self.lifecycle.reject(request, False)
            return False
        over_client = in_flight.over_client_limit(request.client, request.size_bytes)
        if self.capacity.has_room(request) and not over_client:
            return True
        queued = [o for o in load.queued.values() if not over_client or o.client == request.client]
        candidates = self.capacity.eviction_candidates(request, queued)
        if not candidates:
            return True
        sizes = (
            in_flight.bytes_by_client
        )  # room goes to the higher priority; among equals the heaviest loses it
        lowest = min(
            candidates, key=lambda o: (load.priority(o), -sizes[o.client], -o.arrived_at_ms, o.index)
        )
        self.lifecycle.reject(lowest, False)
        return lowest is not request

    def _answer_if_due(self, now_ms: float, request: Request) -> None:
        useful_until_ms = (
            request.deadline_ms if request.request_class.late_fraction else request.objective_at_ms
        )
        finish = now_ms + 0.5 * self.workload.expected_run_time_ms(request)  # half a run follows a call
        if request.deadline_ms <= now_ms + TICK:
            self.lifecycle.give_up(request)
        elif request.state == RequestState.QUEUED:
            if self.health.stalled or not self.scheduler.in_time(now_ms, request, 0.0):
                self.lifecycle.reject(request, not self.health.stalled)
        elif request.index in self.workload.waiting and finish > useful_until_ms:
            may_skip = request.request_class.skip_fraction > 0.0
            self.scheduler.skip_call(now_ms, request) if may_skip else self.lifecycle.give_up(request)
