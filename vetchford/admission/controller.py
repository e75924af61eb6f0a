"""Passes the events of one server to the modules that make the decisions (docs/design.md)."""

import math

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.admission_checks import AdmissionChecks
from vetchford.admission.capacity import Capacity
from vetchford.admission.completion_estimate import TICK_MS, CompletionEstimate, due_before_next_tick
from vetchford.admission.dependency_calls import DependencyCalls
from vetchford.admission.events import AdmissionEvents
from vetchford.admission.health import Health
from vetchford.admission.idle_refusals import IdleRefusals
from vetchford.admission.idle_timeout import IdleTimeout
from vetchford.admission.lifecycle import RequestLifecycle
from vetchford.admission.published_load import PublishedLoad
from vetchford.admission.rejection import RejectionReason
from vetchford.admission.request import AdviceSettings, Outcome, Request, RequestArrival, RequestState
from vetchford.admission.retry_after import RetryAfter, TerminalRejection
from vetchford.admission.retry_objective import RetryObjective
from vetchford.admission.scheduler import Scheduler
from vetchford.admission.traffic import RecentTraffic
from vetchford.admission.unconfirmed_commands import UnconfirmedCommands
from vetchford.admission.workload import Workload

BUSY_UTILIZATION = 0.8
"""Utilization of the cores above which the concurrency limit may be lowered (docs/design.md).

Below it, longer run times have other causes than contention for the cores.
"""
GROWTH_UTILIZATION = 0.5
"""Utilization below which the limit may grow: on busy cores, more runs only slow each other down."""
UNANSWERED_OUTCOMES = (Outcome.OVERDUE, Outcome.SEVERED)
"""Outcomes of a call that may still take effect."""
NEVER_RAN_OUTCOMES = (Outcome.SATURATED, Outcome.REFUSED_CONNECTION)
"""Outcomes of a call that the dependency did not run, so that the call may be made again."""


class AdmissionController(AdmissionEvents):
    """Makes all admission decisions of one server, and acts through `AdmissionActions`.

    Each event updates the counts; then `dependency_calls` and `scheduler` use the capacity that it freed.
    """

    def __init__(
        self, actions: AdmissionActions, workload: Workload, capacity: Capacity, advice: AdviceSettings
    ) -> None:
        """Publish readiness and schedule the first tick; no other controller may use `capacity`."""
        self.actions = actions
        self.workload = workload
        self.capacity = capacity
        self.traffic = RecentTraffic()
        self.health = Health(actions, workload)
        self.retry_after = RetryAfter(advice.seed, advice.max_retry_after_ms)
        self.terminal_rejection = TerminalRejection(self.traffic)
        self.retry_objective = RetryObjective(self.retry_after)
        self.published_load = PublishedLoad(actions, advice.signal, advice.cores, advice.clients)
        self.idle_timeout = IdleTimeout(actions, self.traffic, advice.max_idle_timeout_ms, advice.clients)
        self.lifecycle = RequestLifecycle(
            actions, workload, capacity, self.traffic, self.retry_after, self.terminal_rejection
        )
        self.estimate = CompletionEstimate(workload, capacity)
        self.checks = AdmissionChecks(workload, capacity, self.health, self.estimate, self.lifecycle)
        self.dependency_calls = DependencyCalls(actions, workload, capacity, self.health)
        self.scheduler = Scheduler(actions, workload, capacity, self.health, self.estimate, self.lifecycle)
        self.unconfirmed_commands = UnconfirmedCommands(self.health)
        self.idle_refusals = IdleRefusals(actions, workload, self.health, self.retry_objective)
        self.capacity.attach(workload)
        self.actions.set_readiness(True)
        self.actions.schedule_tick(TICK_MS)

    def request_arrived(self, now_ms: float, arrival: RequestArrival) -> None:
        """Admit an arriving request, reject it, or answer a repeat with the result of its original."""
        self.idle_refusals.forget_if_overdue(now_ms, arrival.class_index, self.estimate.cores_busy)
        request = self._count_arrival(now_ms, arrival)
        reason = self.checks.reason_not_to_serve(now_ms, request)
        original = arrival.original
        if original is not None and self.lifecycle.resolve_repeat(request, original, reason is not None):
            return
        if reason is not None:
            longest_ms = self.retry_after.draw_ms(math.inf)
            self.lifecycle.reject(request, reason, retry_after_ms=longest_ms)
        elif (refusal := self.checks.admit(now_ms, request)) is not None:
            self.idle_refusals.refused(now_ms, arrival.class_index, refusal)
        else:
            self.idle_refusals.admitted(arrival.class_index)
            self.workload.queued[request.index] = request
            if request.has_key:
                self.lifecycle.keep_key(now_ms, request, arrival.queued_for_ms)
            self.scheduler.dispatch(now_ms)

    def apply_fleet_signals(
        self, call_slowdown: float, call_capacity: float, is_full: bool, retry_after_factor: float
    ) -> None:
        """Apply what the servers of the fleet measure together."""
        self.terminal_rejection.fleet_full = is_full
        self.retry_after.factor = retry_after_factor
        if self.workload.dependency is not None:
            self.workload.dependency.apply_fleet_signals(call_slowdown, call_capacity)

    def start_draining(self, now_ms: float, answers_due_at_ms: float) -> None:
        """Shorten all deadlines, so that every request is answered by `answers_due_at_ms`."""
        self.health.start_draining(now_ms, answers_due_at_ms)
        for request in self.workload.requests.values():
            request.deadline_ms = min(request.deadline_ms, self.health.latest_deadline_ms)

    def client_disconnected(self, now_ms: float, index: int) -> None:
        """Cancel a request whose connection to the client broke; that says nothing about its patience."""
        request = self.workload.requests[index]
        if request.answered:
            return
        self.lifecycle.cancel(request)
        self.scheduler.dispatch(now_ms)

    def client_gave_up(self, now_ms: float, index: int) -> None:
        """Cancel a request whose client no longer waits for an answer, and learn how long clients wait."""
        request = self.workload.requests[index]
        if not request.answered:
            self.retry_objective.client_gave_up(now_ms, request)
        self.client_disconnected(now_ms, index)

    def run_ended(self, now_ms: float, index: int, outcome: str, took_ms: float) -> None:
        """Update the measured means from a completed run, and free its slot and memory."""
        request = self.workload.requests[index]
        self.unconfirmed_commands.run_reported(index)
        if request.state != RequestState.SHARING:
            self._release_run(now_ms, request, outcome, took_ms)
        if outcome == Outcome.SUPERSEDED:
            request.started = False  # proven: so its idempotency key is dropped
        if not request.answered:
            self.lifecycle.mark_answered(request)
        self.lifecycle.finish(request)
        self.scheduler.dispatch(now_ms)

    def run_blocked(self, now_ms: float, index: int) -> None:
        """Make the call that a run waits for, queue the call, or resume the run without it."""
        request = self._leave_cores(now_ms, index)
        if not request.answered:  # the run of an answered request ends without its call
            self.workload.waiting[index] = request
            self.dependency_calls.start_calls(now_ms)
            if self.dependency_calls.should_skip(request):
                self.dependency_calls.skip(now_ms, request)
        self.scheduler.dispatch(now_ms)

    def call_impossible(self, now_ms: float, index: int) -> None:
        """Resume a run without the call that it waits for, or fail its request at once."""
        request = self._leave_cores(now_ms, index)
        if not request.answered:
            self._continue_without_call(now_ms, request)
        self.scheduler.dispatch(now_ms)

    def call_ended(self, now_ms: float, index: int, outcome: str, took_ms: float) -> None:
        """Resume the run, queue its call again if the dependency never ran it, or fail the request."""
        request = self.workload.requests[index]
        answered_after_ms = None if outcome in UNANSWERED_OUTCOMES else took_ms
        never_ran = outcome in NEVER_RAN_OUTCOMES
        self._release_call(now_ms, request, answered_after_ms, never_ran)
        if outcome == Outcome.COMPLETED:
            self.dependency_calls.resume(now_ms, request)
        elif not request.answered:  # the run of an answered request ends without its call
            if never_ran and not _may_skip(request):
                self.workload.waiting[index] = request
                return  # the call may be made again from the next tick on
            self._continue_without_call(now_ms, request)
        self.dependency_calls.start_calls(now_ms)
        self.scheduler.dispatch(now_ms)

    def start_unconfirmed(self, now_ms: float, index: int) -> None:
        """Keep the slot of a run that may have started, until the run reports or is given up."""
        self.unconfirmed_commands.watch_start(now_ms, index)

    def reply_unconfirmed(self, now_ms: float, index: int) -> None:
        """Let the run skip the call that it may still wait for, or else give it up unless it reports in time.

        A skip has no effect on a run that got its reply, as it is for one call only.
        """
        request = self.workload.requests[index]
        if request.answered:
            return  # the run ends with its call
        if _may_skip(request):
            self.actions.skip(index)
        else:
            self.unconfirmed_commands.watch_reply(now_ms, index)

    def on_tick(self, now_ms: float, utilization: float | None, on_cores: float | None) -> None:
        """Read the gauges, answer the requests that are due, and update the advice to clients."""
        self.actions.schedule_tick(TICK_MS)
        self.lifecycle.expire_keys(now_ms)
        self._update_workload(now_ms, utilization, on_cores)
        self._give_up_unconfirmed_runs(now_ms)
        self.health.on_tick(now_ms)
        for request in [each for each in self.workload.requests.values() if not each.answered]:
            self._answer_if_due(now_ms, request)
        self.dependency_calls.start_calls(now_ms)
        self._update_advice()
        self.scheduler.dispatch(now_ms)

    def _count_arrival(self, now_ms: float, arrival: RequestArrival) -> Request:
        request_class = self.workload.classes[arrival.class_index]
        times = self.retry_objective.times(now_ms, arrival, request_class, self.health.latest_deadline_ms)
        request = Request.from_arrival(arrival, request_class, times)
        self.workload.requests[request.index] = request
        self.workload.in_flight.add(request.client, request.size_bytes)
        self.capacity.arrived(request)
        self.traffic.arrived(request.is_retry)
        if not request.is_retry:
            request_class.offered_weight += self.workload.value(request)
            self.workload.tenants.count(now_ms, request.tenant)
        self.health.request_read(arrival.unread_for_ms(), request_class.latency_objective_ms)
        return request

    def _leave_cores(self, now_ms: float, index: int) -> Request:
        """Count a run as waiting for a call, and return its request."""
        request = self.workload.requests[index]
        self.unconfirmed_commands.run_reported(index)
        self.workload.running -= 1
        self.capacity.run_blocked(now_ms, request)
        self.health.run_left_cores(now_ms)
        request.state = RequestState.WAITING_FOR_CALL
        request.wait_started(now_ms)
        return request

    def _release_run(self, now_ms: float, request: Request, outcome: str, took_ms: float) -> None:
        workload = self.workload
        self.capacity.run_ended(now_ms, request)
        if request.state == RequestState.EXECUTING:
            workload.running -= 1
            if outcome == Outcome.COMPLETED:
                workload.add_completed_run(now_ms, request, took_ms)
        elif request.state == RequestState.CALLING and workload.dependency is not None:
            workload.dependency.call_ended(now_ms, None)
        self.health.run_left_cores(now_ms)
        workload.in_flight.used_bytes -= request.size_bytes * workload.in_flight.running_extra_factor

    def _release_call(
        self, now_ms: float, request: Request, answered_after_ms: float | None, never_ran: bool
    ) -> None:
        """Count a call as ended; `answered_after_ms` is None if no answer came."""
        if self.workload.dependency is not None:
            self.workload.dependency.call_ended(now_ms, answered_after_ms)
        self.capacity.call_ended(now_ms, request, answered_after_ms, never_ran)
        request.state = RequestState.WAITING_FOR_CALL  # so that the call is counted as ended only once

    def _give_up_unconfirmed_runs(self, now_ms: float) -> None:
        """Fail the requests whose runs report nothing, and free the slots of those that may never end.

        The idempotency key of such a request is kept: a repeat within its window may not run.
        """
        for index, give_up in self.unconfirmed_commands.take_overdue(now_ms):
            request = self.workload.requests[index]
            if not request.answered:
                self.lifecycle.reject_or_fail(request)
            if give_up.may_never_end:
                self.actions.abandon_run(index)
                self._release_run(now_ms, request, Outcome.SEVERED, 0.0)
                self.lifecycle.finish(request)

    def _continue_without_call(self, now_ms: float, request: Request) -> None:
        """Resume a run without its call if its class allows that; otherwise fail the request."""
        if _may_skip(request):
            self.dependency_calls.skip(now_ms, request)
        else:
            self.lifecycle.reject_or_fail(request)

    def _update_workload(self, now_ms: float, utilization: float | None, on_cores: float | None) -> None:
        workload = self.workload
        cores_busy = utilization is None or utilization > BUSY_UTILIZATION
        self.estimate.cores_busy = cores_busy
        workload.update_cores_reading(on_cores)
        workload.decay_slowdown_if_idle()
        workload.update_queue_weights()
        workload.update_ceiling(now_ms)
        self.capacity.on_tick(now_ms)
        may_grow = utilization is not None and utilization < GROWTH_UTILIZATION
        workload.limit.step(now_ms, workload.ceiling, cores_busy, may_grow)

    def _update_advice(self) -> None:
        read_delay_ratio = self.health.read_delay_ratio
        self.published_load.update_wanted_fraction(read_delay_ratio, self.traffic.rejected_fraction())
        self.traffic.on_tick()
        self.published_load.publish(self.workload.speed())
        self.idle_timeout.update(read_delay_ratio, self.workload.cores_reading / self.workload.cores)

    def _answer_if_due(self, now_ms: float, request: Request) -> None:
        """Answer a request that can no longer succeed, so that its client can act."""
        if due_before_next_tick(now_ms, request):
            self.lifecycle.reject_or_fail(request)
        elif request.state == RequestState.QUEUED:
            self._reject_if_late_or_stalled(now_ms, request)
        elif request.index in self.workload.waiting and self.estimate.is_call_too_late(now_ms, request):
            self._continue_without_call(now_ms, request)

    def _reject_if_late_or_stalled(self, now_ms: float, request: Request) -> None:
        """Reject a queued request that would be late; terminal only if it would be late on any server."""
        if self.health.stalled:
            self.lifecycle.reject(request, RejectionReason.STALLED)
        elif not self.estimate.is_in_time(now_ms, request, 0.0):
            self.lifecycle.reject(request, RejectionReason.LATENCY_OBJECTIVE, terminal=True)


def _may_skip(request: Request) -> bool:
    return request.request_class.skip_fraction > 0.0
