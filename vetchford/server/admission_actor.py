"""The actor that owns the admission controller, and carries out its actions on sockets.

It alone touches the controller, the request table and the idempotency cache. The actors of the peers
post events to it, one method each. Nothing here blocks on a socket.
"""

import contextlib
import hashlib
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import structlog

from vetchford.admission import controller, factory
from vetchford.protocol import json_rpc, worker_pool_lines
from vetchford.runtime.actor import Actor
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.timers import Timers
from vetchford.server.idempotency_cache import IdempotencyCache
from vetchford.server.request_table import RequestEntry, RequestTable
from vetchford.server.shutdown import ShutdownSchedule

log = structlog.get_logger()

POLL_AHEAD = 6.0  # ms before a wake: the gauges come back in under one, a busy machine takes a few
MOST_BEHIND = 64  # entries in the pool's mailbox: far more than a sweep brings
OVERDUE = 30.0  # ms past a task's limit: the sweep before it has answered, and the page allows 150
SUMMARY = 10_000.0  # ms between summary lines
Act, Given = Callable[..., None], tuple[Any, ...]
RUNS, BEGUN = (controller.RUNNING,), (controller.RUNNING, controller.PARKED, controller.CALLING)


class AdmissionActor(Actor):
    def __init__(
        self, seed: int, told: dict[str, Any], metrics: Metrics, pools: Callable[[], Any] | None = None
    ) -> None:
        """`pools` makes the class pools; without it there are none."""
        super().__init__("module", metrics)
        self.seed, self.told, self.make_pools = seed, told, pools
        self.gauge_places = factory.indices(told)[2]
        self.tasks, self.prints = RequestTable(), IdempotencyCache()
        self.marks: dict[int, str] = {}  # fingerprints of tasks; emptied by `release`
        self.calls: dict[int, int] = {}  # tasks by the number of their call; emptied as calls end or are cut
        self.begun: dict[int, float] = {}  # when they went out; emptied alike
        self.call_count = 0
        self.timers, self.drain = Timers(), ShutdownSchedule()
        self.later: deque[tuple[Act, Given]] = deque()  # until the node's method returns
        self.controller: controller.AdmissionController | None = None
        self.origin = 0.0  # Unix ms that the node's clock starts at
        self.link, self.ready = 0, False  # the pool's link; whether its replay was read
        self.arriving = -1  # the task that the node is told of just now
        self.polls, self.confirmed = 0, (0, 0)  # sent; link and number of the last that was answered
        self.gauges: list[float] = []
        self.running_then = 0  # the module's runs when the gauges were read
        self.idle_for = math.inf
        self.stopped = False
        self.watch: Any = None  # measures for the fleet, where neighbours are told of

    def attach(self, pool: Any, records: Any, members: Any, doors: Any, stopped: Callable[[], None]) -> None:
        self.pool, self.records, self.members, self.doors = pool, records, members, doors
        self.when_stopped = stopped

    # -- the clock and its timers

    def now(self) -> float:
        return time.time() * 1000.0 - self.origin

    def next_timeout(self) -> float | None:
        return self.timers.next_timeout()

    def on_idle(self) -> None:
        self.timers.fire(self.run_guarded)

    def run_guarded(self, act: Callable[..., None], *given: Any) -> None:
        super().run_guarded(act, *given)
        while self.later:
            later, its = self.later.popleft()
            super().run_guarded(later, *its)

    # -- what can happen

    def request(
        self,
        caller: Any,
        rpc_id: int,
        name: str,
        stage: int,
        kind: str,
        tenant: int,
        lb: int,
        door: float,
        limit: float | None,
        work: float | None,
        kb: float,
        mark: str | None,
        content: str,
    ) -> None:
        if self.controller is None:  # the pool is not up: it never ran
            self.metrics.increment("rejected_no_pool")
            caller.answer(rpc_id, json_rpc.rejected(rpc_id, False, 0.0))
            return
        if name in self.tasks.by_name:
            self.metrics.log_sampled(
                "balancer_bad_message", code=json_rpc.INVALID_PARAMS, problem="field 'txn' is in use"
            )
            caller.answer(rpc_id, json_rpc.error(rpc_id, json_rpc.INVALID_PARAMS, "field 'txn' is in use"))
            return
        now, arrived, told = self.now(), door - self.origin, self.controller.stages[stage]
        # No caller waits for longer than the time limit, nor asks for more work than fits into it: one that
        # says so must neither be held for hours nor outweigh all others in what is learnt.
        until = None if limit is None else arrived + min(limit, told.limit)
        work = None if work is None else min(work, told.limit)
        limit = max(now, arrived + told.limit if until is None else until)
        q = self.tasks.enter(RequestEntry(name, kind, caller, rpc_id, content, limit))
        original = None
        if mark is not None and told.effect == controller.FINGERPRINTED:
            # All tries of a task carry the same body: under its key with another one this is no repeat of it.
            mark = f"{stage} {mark} {hashlib.blake2b(content.encode(), digest_size=16).hexdigest()}"
            original = self.prints.find(mark, door)
            self.marks[q] = mark
            if original is not None:
                self.tasks[q].waits_for = original
        self.metrics.increment("read")
        self.arriving = q
        self.controller.request_arrived(
            now,
            q,
            stage,
            tenant,
            lb,
            until,
            work,
            max(1, round(kb * factory.BYTES_PER_KB)),
            False,
            max(0.0, now - arrived),
            original,
        )
        self.arriving = -1

    def caller_gone(self, caller: Any) -> None:
        for q in [q for q, slot in enumerate(self.tasks.slots) if slot and slot.caller is caller]:
            slot = self.tasks.slots[q]
            if slot is not None and not slot.answered:
                slot.answered = True
                self.metrics.increment("callers_gone")
                self.controller.client_gone(self.now(), q)

    def bound(self, link: int, cold: bool, ago: float) -> None:
        self.link, self.ready = link, False
        if self.controller is None and self.drain.begun():
            return  # it leaves: a node would report itself fit, and what came before was turned away
        if self.controller is None:
            self.origin = time.time() * 1000.0 - ago
            pools = self.make_pools() if self.make_pools else None
            self.controller = factory.build(self, self.seed, self.told, cold, pools)
            log.info("pool_bound", cold=cold, started_ms_ago=round(ago))
            self.timers.at(time.time() * 1000.0 + SUMMARY, self.summarise)
        self.poll()  # what is read before its answer is the replay

    def pool_lost(self) -> None:
        self.ready = False

    def polled(self, ref: str, gauges: list[float]) -> None:
        link, _, number = ref.partition("-")
        if link != str(self.link) or not number.isdigit():
            return
        self.gauges, self.running_then = gauges, self.controller.running
        if not self.ready:  # the first answer on a link comes behind the replay
            self.ready = True
            self.send_again()
        self.confirmed = (self.link, int(number))

    def send_again(self) -> None:
        """What may not have arrived on the last link, and is answered by no notice.

        An answered poll proves that all before it arrived. A reply sent twice would pass for a later call's.
        """
        for slot in self.tasks.slots:
            if slot is None or slot.command is None:
                continue
            link, polls = slot.commanded
            if link == self.confirmed[0] and polls < self.confirmed[1]:
                slot.command = None  # it arrived: the link after the next knows nothing of this one's polls
                continue
            self.metrics.increment("commands_sent_again")
            self.command(slot, slot.command)

    def known(self, name: str, states: tuple[int, ...]) -> int | None:
        """The task of a notice; none where it can't be about its run: that is counted and changes nothing."""
        q = self.tasks.by_name.get(name)
        if q is None or q not in self.controller.tasks or self.controller.tasks[q].state not in states:
            self.metrics.log_sampled("pool_odd_notice", task=name[:64], known=q is not None)
            return None
        return q

    def command_unknown(self, command: str, name: str) -> None:
        self.metrics.log_sampled("pool_unknown", command=command, task=name)
        q = self.tasks.by_name.get(name)
        if command == "spawn" and q is not None:  # no end of this run will ever be told
            caller = self.tasks[q].caller
            self.refuse_held(caller)  # before this end frees a core for the next of its like
            self.run_ended(name, "superseded", 0.0, "")
            caller.run_or_post(caller.distrust)

    def refuse_held(self, caller: Any) -> None:
        """It sent what never came by the balancers: the rest of it is held for nobody."""
        for q, slot in enumerate(self.tasks.slots):
            if slot is not None and slot.caller is caller and not slot.answered and q in self.controller.held:
                self.answer(slot, json_rpc.rejected(slot.rpc_id, True, 0.0), "rejected_distrusted")
                self.controller.client_gone(self.now(), q)

    def run_blocked(self, name: str, notice: int, body: bytes) -> None:
        q = self.known(name, RUNS)
        if q is None:
            return
        slot = self.tasks[q]
        slot.command, slot.need = None, (notice, body)
        if (
            self.controller.calls is None
        ):  # nothing is below: told of a call, the node would fail in each sweep
            self.metrics.log_sampled("pool_odd_notice", task=name[:64], known=True)
            return
        self.controller.run_blocked(self.now(), q)

    def call_ended(self, number: int, code: str, reply: bytes) -> None:
        q = self.calls.pop(number, None)
        if q is None:
            self.metrics.increment("calls_late")
            return
        slot, took = self.tasks[q], self.now() - self.begun.pop(number)
        slot.call = 0
        self.metrics.increment("calls_" + code)
        if self.watch is not None:
            self.watch.call_ended(self.now(), code, took)
        if code == "completed":
            self.command(slot, worker_pool_lines.supply(slot.name, reply))
        self.controller.call_ended(self.now(), q, code, took)

    def call_cut(self, number: int) -> None:
        q = self.calls.get(number)
        if q is not None:
            self.records.unop(self.tasks[q].name, number)
            self.call_ended(number, "overdue", b"")

    def run_ended(self, name: str, code: str, took: float, content: str) -> None:
        q = self.known(name, BEGUN)
        if q is None:
            return
        slot = self.tasks[q]
        slot.command, slot.content = None, ""
        if slot.call:
            self.records.unop(name, slot.call)
            del self.calls[slot.call], self.begun[slot.call]
            slot.call = 0
        if code == "superseded":  # never ran: a true task under its fingerprint is no repeat of it
            self.prints.drop(q)
        self.finish(q, code, content)
        followers = self.prints.end(q, code == "completed", content)
        self.controller.run_ended(self.now(), q, code, took)
        for follower in followers:
            self.share_ended(follower, code == "completed", content)

    def share_ended(self, q: int, completed: bool, content: str) -> None:
        slot = self.tasks.slots[q]
        if slot is None or slot.answered:
            return
        self.finish(q, "completed" if completed else "errored", content)
        self.controller.run_ended(self.now(), q, "completed" if completed else "errored", 0.0)

    def finish(self, q: int, code: str, content: str) -> None:
        slot = self.tasks[q]
        if slot.answered:
            self.metrics.increment("runs_unwanted")
        elif code == "completed":
            self.answer(slot, json_rpc.finished(slot.rpc_id, content), "finished")
        else:
            self.answer(slot, json_rpc.abandoned(slot.rpc_id), "abandoned")

    def sweep(self) -> None:
        places = self.gauge_places

        def gauge(name: str) -> float | None:
            at = places.get(name, len(self.gauges))
            return self.gauges[at] if at < len(self.gauges) else None

        on_cores = gauge("on_cores")
        if on_cores is not None:
            # Told as of now: a run that ended since the poll would pass for reading, and leave its core idle.
            on_cores += self.controller.running - self.running_then
        with contextlib.ExitStack() as whatever_it_does:  # called from the last to the first
            whatever_it_does.callback(self.leave_when_due)
            whatever_it_does.callback(self.let_idle_go)
            whatever_it_does.callback(self.last_resort, self.now() - OVERDUE)
            self.controller.on_tick(self.now(), gauge("core_use"), on_cores)

    def let_idle_go(self) -> None:
        if self.idle_for < math.inf:
            self.doors.close_idle(self.idle_for)

    def leave_when_due(self) -> None:
        if self.drain.closes(time.time() * 1000.0):
            self.leave_step()

    def last_resort(self, before: float) -> None:
        """Whatever went wrong above, no task is left without an answer."""
        for slot in self.tasks.slots:
            if slot is not None and not slot.answered and min(slot.until, self.controller.kill) < before:
                self.metrics.log_sampled("must_hold_broken", what="answered_in_time", task=slot.name)
                self.answer(slot, json_rpc.abandoned(slot.rpc_id), "abandoned")

    # -- the fleet

    def survey(self, tell: Callable[[dict[str, float]], None]) -> None:
        """Figures for the others; see `neighbours.measure`."""
        node = self.controller
        if node is None or self.watch is None:
            return
        usual = node.calls.base.value if node.calls is not None else 0.0
        counters = node.counters
        metrics = self.metrics.by_name.copy()
        begun = self.begun.values()
        tell(self.watch.figures(self.now(), begun, usual, metrics, counters.used, counters.memory))

    def fleet(self, numbers: Any) -> None:
        if self.controller is not None:
            self.controller.apply_fleet_signals(
                numbers.call_slowdown, numbers.call_capacity, numbers.is_full, numbers.retry_after_factor
            )

    # -- drain

    def notice(self, at: float, stop_ms: float, grace: float) -> None:
        """`at`: Unix ms of the signal; grace and kill count from there, however far the mailbox is behind."""
        log.info("drain_begins", stop_ms=stop_ms, open=self.open_tasks())
        until = self.drain.begin(at, stop_ms, grace)
        self.timers.at(self.drain.last_moment(), self.leave_step)  # sweeps may fall around it
        if (
            self.controller is None
        ):  # no sweeps come, and nothing could be run: only what is read is to be answered
            self.members.post(self.members.judge, False)
            self.leave_without_pool()
            return
        self.controller.start_draining(at - self.origin, until - self.origin)

    def leave_without_pool(self) -> None:
        self.leave_step()
        if not self.stopped:
            self.timers.at(
                time.time() * 1000.0 + controller.AdmissionController.SWEEP, self.leave_without_pool
            )

    def leave_step(self) -> None:
        """Past the grace nothing new is taken; once all is answered and written, the end."""
        last = self.drain.ends(time.time() * 1000.0, False)
        try:
            if last:
                self.last_resort(math.inf)  # a program that was paused past its sweeps still says what it can
            self.doors.close()
        finally:
            # Whatever goes wrong on the way, the program ends before it is killed.
            if last or self.doors.done() and not self.open_tasks():
                self.end()

    def end(self) -> None:
        if not self.stopped:
            self.stopped = True
            try:
                self.metrics.check_invariant(not self.open_tasks(), "answered_before_the_stop")
                self.summarise()
            finally:
                self.when_stopped()

    def open_tasks(self) -> int:
        return sum(slot is not None and not slot.answered for slot in self.tasks.slots)

    def summarise(self) -> None:
        self.metrics.log_summary(
            open=self.open_tasks(), connections=len(self.doors.connections), known=len(self.tasks.by_name)
        )
        self.timers.at(time.time() * 1000.0 + SUMMARY, self.summarise)

    # -- the host

    def answer(self, slot: RequestEntry, parts: list[bytes], outcome: str) -> None:
        if self.metrics.check_invariant(not slot.answered, "one_answer", task=slot.name):
            slot.answered = True
            self.metrics.increment(outcome)
            slot.caller.answer(slot.rpc_id, parts)

    def command(self, slot: RequestEntry, parts: list[bytes], once: bool = False) -> None:
        slot.command, slot.commanded = parts, (0, 0)  # not sent
        if self.ready:
            slot.commanded = (self.link, self.polls)
            if once:
                # A poll behind it is answered in well under a ms. What is not confirmed when a link breaks is
                # sent again, and might start anew a run that ends just then; others may run anew.
                self.polls += 1
                parts = parts + worker_pool_lines.poll(f"{self.link}-{self.polls}")
            self.pool.run_or_post(self.pool.send, self.link, parts)

    def poll(self) -> None:
        if self.pool.mailbox.qsize() > MOST_BEHIND:  # a paused pool gets no heap of polls
            return
        self.polls += 1
        self.pool.run_or_post(self.pool.send, self.link, worker_pool_lines.poll(f"{self.link}-{self.polls}"))

    def start(self, q: int) -> None:
        slot = self.tasks[q]
        once = self.controller.tasks[q].stage.effect != controller.RESTARTABLE
        self.command(slot, worker_pool_lines.spawn(slot.name, slot.kind, slot.content), once)

    def stop(self, q: int) -> None:
        """The protocol has no command for it yet: the run goes on to its end, which changes no answer."""
        self.metrics.increment("stops_not_sent")

    def reject(self, q: int, terminal: bool, pause: float) -> None:
        slot = self.tasks[q]
        if self.controller.notice < math.inf:
            why = "draining"
        elif self.controller.stalled:
            why = "stalled"
        else:
            why = "at_door" if q == self.arriving else "held"
        self.answer(slot, json_rpc.rejected(slot.rpc_id, terminal, pause), "rejected_" + why)

    def fail(self, q: int) -> None:
        slot = self.tasks[q]
        self.answer(slot, json_rpc.abandoned(slot.rpc_id), "abandoned")

    def share(self, q: int) -> None:
        first = self.tasks[q].waits_for
        if first in self.prints.results:
            self.later.append((self.share_ended, (q, *self.prints.results[first])))
        else:
            self.prints.wait(first, q)

    def call(self, q: int, cut_at: float) -> None:
        slot = self.tasks[q]
        self.call_count += 1
        slot.call = self.call_count
        self.calls[slot.call], self.begun[slot.call] = q, self.now()
        until = self.origin + cut_at
        once = self.controller.tasks[q].stage.effect != controller.RESTARTABLE
        self.records.op(slot.name, slot.call, until, slot.need[1], once)
        self.timers.at(until, self.call_cut, slot.call)

    def skip(self, q: int) -> None:
        slot = self.tasks[q]
        self.command(slot, worker_pool_lines.skip(slot.name, slot.need[0]))

    def remember(self, q: int, keep_for: float) -> None:
        mark = self.marks.get(q)
        if mark is not None:
            self.prints.keep(mark, q, math.ceil(self.origin + self.now() + keep_for))

    def forget(self, q: int) -> None:
        self.prints.drop(q)

    def release(self, q: int) -> None:
        slot = self.tasks[q]
        self.metrics.check_invariant(slot.answered, "released_after_its_answer", task=slot.name)
        self.marks.pop(q, None)
        if slot.waits_for >= 0:
            self.prints.leave(slot.waits_for, q)
        for follower in self.prints.release(q):
            self.later.append((self.share_ended, (follower, False, "")))
        self.tasks.release(q)

    def set_readiness(self, good: bool) -> None:
        self.doors.fit = good
        self.members.post(self.members.judge, good)
        log.info("fitness", good=good)

    def publish_load(self, value: float) -> None:
        """The protocol has no place for a free value."""

    def set_idle_timeout(self, keep_for: float) -> None:
        self.idle_for = keep_for

    def schedule_tick(self, delay: float) -> None:
        when = time.time() * 1000.0 + delay
        self.timers.at(when - POLL_AHEAD, self.poll)
        self.timers.at(when, self.sweep)
