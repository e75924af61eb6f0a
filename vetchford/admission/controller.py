"""All of vetchford's decisions, for one server's life.

An adapter builds the parts below, hands them to an `AdmissionController` and calls a method of it for each
event, in ms since the start; the controller acts through `AdmissionActions` (actions.py). Beside the
design (docs/design.md: byte counters with prompt rejections, a latency-gradient limit) stand these six:
  1. answer clock: one final answer by the time limit; drain, kill, callers that are gone; a further try's age
  2. repeat table: fingerprints kept for their window, repeats answered by sharing, never by a second run
  3. call bound: calls below stay under this server's slice; waiting ones skip the call where that is worth it
  4. due-time gate: what can't finish in time by the measured speed is answered at once, not held
  5. tenant share: utility beyond a tenant's share counts for less
  6. advice: pause, terminal, free value, fitness and stall, how long connections stay open idle
Where pools are set (vetchford/bulkheads/bulkheads.py), they say whose task is next, has room or gives way.
"""

import heapq
import math
import zlib
from dataclasses import dataclass, field
from typing import Any

from vetchford.admission.actions import AdmissionActions

RESTARTABLE, FINGERPRINTED, SIDE_EFFECTING = range(3)
HELD, RUNNING, PARKED, CALLING, SHARING, DONE = range(6)


class TimeWeightedAverage:
    """The long window: a minute by time, lest a slow spell pass for the normal; the first `few` by count."""

    def __init__(self, few: int) -> None:
        self.few, self.value, self.seen, self.at = few, 0.0, 0, 0.0

    def add(self, now: float, new: float) -> None:
        self.seen += 1
        weight = 1.0 / self.seen if self.seen <= self.few else min(1.0, (now - self.at) / 60_000.0)
        self.value, self.at = self.value + weight * (new - self.value), now


@dataclass(slots=True)
class Stage:
    due: float
    limit: float
    utility: float
    late_utility: float  # share of the utility that an answer after the due time still earns
    effect: int
    window: float  # within which a fingerprinted task may come again
    skip_utility: float  # share of the utility left when the call below is skipped; 0: it may not be
    pace: TimeWeightedAverage = field(
        default_factory=lambda: TimeWeightedAverage(64)
    )  # uncrowded run time over expected work
    away: float = 0.0  # recent time that a run waits on calls
    learnt_at: float = -math.inf  # when a run last told of them
    asked: float = 1e-9  # utility, of late
    got: float = 0.0  # of it, served in time
    weight: float = 0.0  # utility as the hold orders by it
    mean: float = 0.0  # recent run time, for pools
    pool: int = 0


@dataclass(slots=True)
class Task:
    q: int
    stage: Stage
    tenant: int
    caller: int
    arrived: float
    due: float
    limit: float
    work: float  # told expected work, or 1
    size: int  # bytes
    again: bool
    state: int = HELD
    ran: bool = False
    answered: bool = False
    crowd: float = 0.0  # runs and reads on the cores when this one started
    away: float = 0.0  # waited on calls so far, less the time when it parked
    entry_until: float = 0.0  # when its fingerprint's entry runs out; 0: none
    pool: int = 0  # of its stage when it came


class GradientConcurrencyLimit:
    """The design's latency gradient: for running tasks and, with its own bounds, for calls below."""

    def __init__(self, floor: float, start: float) -> None:
        self.floor, self.limit = floor, start
        self.base, self.measured, self.seen, self.in_use, self.next = 0.0, 0.0, 0, False, 0.0  # of the period

    def observe(self, base: float, measured: float) -> None:
        self.base, self.measured, self.seen = self.base + base, self.measured + measured, self.seen + 1

    def step(self, now: float, ceiling: float, may_cut: bool, may_grow: bool) -> None:
        if now >= self.next and self.seen >= 4:  # fewer runs say nothing, and are carried on
            # Averaged by time: by count the shortest runs rule it where no work is told, and it never cuts.
            ratio = min(1.0, self.base / max(self.measured, 1e-9)) if may_cut else 1.0
            target = self.limit * ratio + math.sqrt(self.limit)
            if target < self.limit or self.in_use and may_grow:  # no growth into room that nobody used;
                self.limit += 0.5 * (target - self.limit)  # one odd period moves it by half only
            self.base, self.measured, self.seen, self.in_use = 0.0, 0.0, 0, False
            self.next = now + 500.0  # ms: some runs on every core, and many decisions in ten seconds
        self.limit = min(max(self.floor, self.limit), ceiling)


class InFlightBytes:
    """The design's two counters: bytes read but not answered, for the node and for each caller."""

    def __init__(self, memory: float, multiple: float, entry: float) -> None:
        self.memory, self.entry, self.extra = memory, entry, multiple - 1.0  # extra: on top, once it runs
        self.used, self.unanswered = 0.0, 0  # used: held, running at the multiple, and kept entries
        self.by_caller: dict[int, int] = {}  # a caller leaves when its last task is answered
        self.clears = math.inf  # bytes that the measured answer rate clears within a due time

    def add(self, caller: int, size: int) -> None:
        self.used, self.unanswered = self.used + size, self.unanswered + size
        self.by_caller[caller] = self.by_caller.get(caller, 0) + size

    def answered(self, caller: int, size: int) -> None:
        self.unanswered -= size
        self.by_caller[caller] -= size
        if not self.by_caller[caller]:
            del self.by_caller[caller]

    def fits(self, more: float) -> bool:
        return self.used + more <= 0.85 * self.memory  # leaves room for what is read but not yet decided on

    def over_caller(self, caller: int, size: int) -> bool:
        # Below half the threshold room is lent; above, a caller has one and a half equal parts of it, but one
        # task at least: with many callers a part is less, and utility would no longer count.
        callers, lent = len(self.by_caller), self.unanswered < 0.5 * self.clears
        return callers > 1 and not lent and self.by_caller[caller] > max(size, 1.5 * self.clears / callers)


class DependencyConcurrencyLimit:
    """Calls below: in hand and abandoned ones stay under this server's slice of what is survived."""

    def __init__(self, share: float | None, over: float, linger: float, cores: int) -> None:
        self.share = 2.0 * cores if share is None else share  # none told: two sets of runs may wait on calls
        self.over, self.linger, self.rest_until = over, linger, 0.0
        self.room, self.slow = 1.0, 0.0  # as the fleet tells: part of the slice; ms of a call at least
        self.longest = 0.5 * self.share * over if self.share < 1.0 else math.inf  # a hung one: half of it
        self.gradient = GradientConcurrencyLimit(1.0, max(1.0, self.share))
        self.base, self.in_hand = (
            TimeWeightedAverage(16),
            0,
        )  # calls differ little, and a slow spell may come early
        self.lingering: list[float] = []  # ends of abandoned calls; emptied as they pass

    def free(self, now: float) -> bool:
        self.lingering = [end for end in self.lingering if end > now]
        return self.room > 0.0 and now >= self.rest_until and self.out() + 1 <= self.bound()

    def out(self) -> int:
        return self.in_hand + len(self.lingering)

    def bound(self) -> float:
        return max(1.0, min(self.share * self.room, self.gradient.limit))

    def ended(self, now: float, took: float | None) -> None:
        self.in_hand -= 1
        if self.share < 1.0:  # one at a time, with rests that keep the mean under the slice
            self.rest_until = now + (self.over if took is None else took / self.share)
        if took is None:  # abandoned: it may linger below
            self.lingering.append(now + self.linger)
            return
        self.base.add(now, took)
        self.gradient.observe(self.base.value, took)
        self.gradient.in_use |= self.in_hand + 2 > self.gradient.limit
        self.gradient.step(now, max(1.0, self.share), True, True)


class TenantQuotas:
    """Utility of a tenant's tasks, by how far its first tries run beyond its share of the fleet."""

    MEMORY = 2000.0  # ms: a surge shows within a couple of seconds, chance clumps do not

    def __init__(self, quotas: list[float], servers: int, over_utility: float) -> None:
        self.quotas = [quota / max(1, servers) for quota in quotas] + [math.inf]  # a ms; index -1: no tenant
        self.over_utility = over_utility
        self.rates, self.at = [0.0] * len(self.quotas), [0.0] * len(self.quotas)

    def count(self, now: float, tenant: int) -> None:
        fade = math.exp((self.at[tenant] - now) / self.MEMORY)
        self.rates[tenant], self.at[tenant] = self.rates[tenant] * fade + 1.0 / self.MEMORY, now

    def factor(self, tenant: int) -> float:
        within = min(1.0, self.quotas[tenant] / max(1e-9, self.rates[tenant]))
        return within + (1.0 - within) * self.over_utility


class QueueTimeHistogram:
    """How long first tries wait, in hundredths of their time limit: as callers tell, or as they leave."""

    def __init__(self) -> None:
        self.counts = [0.0] * 100 + [1.0]

    def add(self, share: float) -> int:
        at = min(100, max(0, round(100.0 * share)))
        self.counts[at] += 1.0
        if sum(self.counts) > 400.0:  # halved: what callers did some hundreds of tasks ago fades
            self.counts = [0.5 * count for count in self.counts]
        return at

    def age(self, share: float) -> float:
        """How much is missing to the next wait that first tries tell, which are one in twenty or more."""
        at, often = self.add(share), 0.05 * sum(self.counts)
        return (next((n for n in range(at, 100) if self.counts[n] > often), 100) - at) / 100.0


class LoadAdvice:
    """What callers are told: how long to stay away, and the free value where there is one."""

    def __init__(
        self,
        host: AdmissionActions,
        seed: int,
        say: str,
        longest: float,
        callers: int,
        cores: int,
        idle: float,
    ) -> None:
        self.host, self.seed, self.say, self.longest = host, seed, say, longest
        self.callers, self.idle, self.kept = max(1, callers), idle, idle
        self.credit = 4.0 * cores / self.callers  # a caller's tasks at once: a core runs one, holds three
        self.read = self.further = self.rejected = 0.0  # of about a second; further tries among the read
        self.visits, self.sweeps, self.shut, self.wasted = 0.0, 0, 0.0, 0.0  # wasted: of the cores
        self.open, self.said, self.asked, self.counter = 1.0, -1.0, 0.0, 0  # traffic wanted; told; draws
        self.full, self.stretch = False, 1.0  # as the fleet tells: all refuse; times to stay away for longer

    def pause(self, wanted: float) -> float:
        self.counter += 1  # spread over half its length, so that callers do not come back in step
        chance = zlib.crc32(b"%d:%d" % (self.seed, self.counter)) / 2**32
        told = min(self.longest, wanted * self.stretch) * (0.5 + 0.5 * chance)
        self.asked += 0.05 * (told - self.asked)
        return told

    def tell(self, lag: float, speed: float, reading: float) -> None:
        share = max(lag, self.rejected / max(1.0, self.read))
        # A rejected share of 0.15 is left alone: it keeps the hold fed. Callers hear late: seconds a swing.
        move = 1.0 - 0.015 * min(1.0, share) if share > 0.15 else 1.0075
        self.open = min(1.0, max(0.02, self.open * move))
        self.sweeps = min(100, self.sweeps + 1)
        self.visits += (self.read - self.visits) / self.sweeps  # looks back some five seconds
        self.read, self.further, self.rejected = self.read * 0.95, self.further * 0.95, self.rejected * 0.95
        value = {"level": 1.0 - self.open, "credit": self.credit * self.open}.get(self.say, self.open * speed)
        if self.say != "silent" and abs(value - self.said) > 0.02:
            self.said = value
            self.host.publish_load(value)
        # A new connection costs some five seconds of an open one: idle ones of callers that come less often
        # just fill the table. A full one turns newcomers away unread, which helps while reads are too late or
        # six tenths of the cores read for nothing; it opens over ten seconds, lest the jam come back.
        self.wasted += 0.02 * (reading * self.rejected / max(1.0, self.read) - self.wasted)
        self.shut = max(0.995 * self.shut, 2.0 * lag - 0.2, 6.0 * self.wasted - 3.6)
        keep = max(10.0, self.idle * min(1.0, max(self.shut, (5.0 * self.visits / self.callers) ** 2)))
        if self.idle and not 0.8 < keep / self.kept < 1.25:
            self.kept = keep
            self.host.set_idle_timeout(keep)


class AdmissionController:
    SWEEP = 50.0  # ms: answers due before the next sweep leave in this one, so they are early by this at most
    RECENT = 0.05  # weight of a run in the recent means: about the last twenty

    def __init__(
        self,
        host: AdmissionActions,
        stages: list[Stage],
        cores: int,
        survives: float,
        cold_from: float,
        ramp: float,
        counters: InFlightBytes,
        calls: DependencyConcurrencyLimit | None,
        tenants: TenantQuotas,
        advice: LoadAdvice,
        by_work: bool,
        can_stop: bool,
        grace: float,
        worst_weight: float,
        pools: Any = None,
    ) -> None:
        self.host, self.stages, self.cores, self.due = host, stages, cores, max(kind.due for kind in stages)
        # At most half the crowd survived, warm or cold, is started: resumed calls and reading come on top.
        self.crowd_warm, self.ramp = max(1.0, 0.5 * cores * survives), ramp
        self.crowd_cold = max(1.0, 0.5 * cores * (1.0 + (survives - 1.0) * cold_from))
        self.counters, self.calls, self.tenants, self.advice = counters, calls, tenants, advice
        self.by_work, self.can_stop, self.grace, self.worst_weight = by_work, can_stop, grace, worst_weight
        self.limit = GradientConcurrencyLimit(cores, min(cores, self.crowd_cold))
        self.pools, self.ceiling = pools, min(cores, self.crowd_cold)  # runs at once, reserves included
        self.tasks: dict[int, Task] = {}  # emptied as answers leave, cores are left and entries run out
        self.held: dict[int, Task] = {}  # emptied by start, answer, departure
        self.waiting: dict[int, Task] = {}  # parked with no call out; emptied as calls go out or answers do
        self.entries: list[tuple[float, int]] = []  # heap, emptied as entries run out
        self.running, self.moved = 0, 0.0  # runs on the cores; when one last started or moved on
        self.stalled, self.fit, self.notice, self.kill = False, True, math.inf, math.inf
        self.stretch, self.lag = 1.0, 0.0  # recent run time over the base, wait to be read over the due time
        self.waits, self.busy, self.reading = (
            QueueTimeHistogram(),
            False,
            0.0,
        )  # reading: on the cores beside the runs
        self.mean_run = self.mean_size = self.mean_work = 0.0  # recent, of finished tasks
        if pools is not None:
            pools.attach(stages, calls)
        host.set_readiness(True)
        host.schedule_tick(self.SWEEP)

    def request_arrived(
        self,
        now: float,
        q: int,
        stage: int,
        tenant: int,
        caller: int,
        limit_at: float | None,
        work: float | None,
        size: int,
        again: bool,
        queued_for: float,
        original: int | None,
    ) -> None:
        kind, at = self.stages[stage], now - queued_for
        limit = min(at + kind.limit if limit_at is None else limit_at, self.kill)
        usual = max(range(101), key=self.waits.counts.__getitem__) / 100.0
        due = at + min(kind.due, kind.limit if limit_at else 0.95 * usual * kind.limit)
        if limit_at is not None:
            age = self.waits.age((limit_at - at) / kind.limit)
            due, again = due - age * kind.limit, again or age > 0.05  # under a twentieth it only walked on
        elif again:
            due -= 0.5 * self.advice.asked  # stayed away as this server asks, or walked on: half
        work, due = work or 1.0, min(due, limit)
        task = self.tasks[q] = Task(q, kind, tenant, caller, at, due, limit, work, size, again)
        task.pool = kind.pool
        self.counters.add(caller, size)
        if self.pools is not None:
            self.pools.entered(task.pool, size)
        self.advice.read, self.advice.further = self.advice.read + 1.0, self.advice.further + again
        if not again:
            kind.asked += kind.utility * (work if self.by_work else 1.0)
            self.tenants.count(now, tenant)
        self.lag += self.RECENT * (queued_for / max(1.0, kind.due) - self.lag)
        late = at > self.notice + self.grace or self.stalled or limit <= now + self.SWEEP
        if original is not None and self._repeat(task, original, late):
            return
        if late:
            self._turn_away(task, False, self.advice.pause(math.inf))
        elif self._admit(now, task):
            self.held[q] = task
            if kind.effect == FINGERPRINTED:
                keep_for = max(1.0, kind.window - queued_for)
                task.entry_until = now + keep_for + kind.limit  # a repeat in time may be read that much later
                self.counters.used += self.counters.entry
                heapq.heappush(self.entries, (task.entry_until, q))
                self.host.remember(q, keep_for)
            self._fill(now)

    def apply_fleet_signals(self, pace: float, room: float, full: bool, stretch: float) -> None:
        """What many servers see: how much longer calls take, part of the slice to use, fullness."""
        self.advice.full, self.advice.stretch = full, stretch
        if self.calls:
            self.calls.room, usual = room, self.calls.base.value
            self.calls.slow = math.inf if room == 0.0 else usual * pace if pace > 1.0 else 0.0

    def start_draining(self, now: float, kill: float) -> None:
        self.notice, self.kill = now, kill - 20.0  # ms: several rounds of events to spare before the kill
        self._judge_fitness()
        for task in self.tasks.values():
            task.limit = min(task.limit, self.kill)

    def client_gone(self, now: float, q: int) -> None:
        task = self.tasks[q]
        if not task.answered:
            if not task.again:  # a further try's client may leave for reasons of the first
                self.waits.add((now - task.arrived) / task.stage.limit)
            self._drop(task)
            self._fill(now)

    def run_ended(self, now: float, q: int, code: str, took: float) -> None:
        task = self.tasks[q]
        if self.pools is not None and task.state != SHARING:
            if task.state == RUNNING:
                self.pools.off_cores(now, task.pool)
            elif task.state == CALLING:
                self.pools.call_ended(now, task.pool, q, None, False)
            self.pools.ended(task.pool, task.away != 0.0, task.size * self.counters.extra)
        if task.state == RUNNING:
            self.running -= 1
            if code == "completed":
                if now <= task.due and not task.answered:
                    task.stage.got += task.stage.utility * (task.work if self.by_work else 1.0)
                self._learn(now, task, max(1.0, took - task.away))
        elif task.state == CALLING:
            self.calls.ended(now, None)
        if task.state != SHARING:
            self.moved, self.stalled = now, False
            self._judge_fitness()
            self.counters.used -= task.size * self.counters.extra
        if not task.answered:
            self._settle(task)
        self._leave(task)
        self._fill(now)

    def run_blocked(self, now: float, q: int) -> None:
        task = self.tasks[q]
        self.running -= 1
        if self.pools is not None:
            self.pools.off_cores(now, task.pool)
        self.moved, self.stalled = now, False
        self._judge_fitness()
        task.state, task.away = PARKED, task.away - now
        if not task.answered:  # else it ends by itself
            self.waiting[q] = task
            self._call_next(now)
            if task.state == PARKED and task.stage.skip_utility and self._over_line(task):
                self._skip(now, task)
        self._fill(now)

    def call_ended(self, now: float, q: int, code: str, took: float) -> None:
        task = self.tasks[q]
        lost, proven = code in ("overdue", "severed"), code in ("saturated", "refused_conn")
        self.calls.ended(now, None if lost else took)
        if self.pools is not None:
            self.pools.call_ended(now, task.pool, q, None if lost else took, proven)
        task.state = PARKED  # whatever follows: its call is counted back once
        if code == "completed":
            self._resume(now, task)
        elif not task.answered and task.stage.skip_utility > 0.0:
            self._skip(now, task)
        elif not task.answered and proven:  # that it never ran
            self.waiting[q] = task  # it may be made again, at the next sweep
            return
        elif not task.answered:  # one given up on while its call was out ends by itself, and is answered once
            self._give_up(task)
        self._call_next(now)
        self._fill(now)

    def on_tick(self, now: float, busy: float | None, on_cores: float | None) -> None:
        """The sweep, with the gauges: share of busy cores, and all that wants a core just now."""
        self.host.schedule_tick(self.SWEEP)
        self.busy = busy is None or busy > 0.8  # the design's mark
        self.reading += 0.3 * (min(max(0.0, (on_cores or 0.0) - self.running), self.cores) - self.reading)
        while self.entries and self.entries[0][0] <= now:
            until, q = heapq.heappop(self.entries)
            task = self.tasks.get(q)
            if task is not None and task.entry_until == until:
                task.entry_until = 0.0
                self.counters.used -= self.counters.entry
                self._release(task)
        self.stretch += 0.0 if self.running else self.RECENT * (1.0 - self.stretch)  # idle cores unlearn
        # The goal counts the worst-served stage on its own: it weighs more by that and by how little it asks.
        worst = min(self.stages, key=lambda stage: stage.got / stage.asked)
        bonus = min(4.0, 1.0 + self.worst_weight * sum(stage.asked for stage in self.stages) / worst.asked)
        for stage in self.stages:
            stage.weight = stage.utility * (bonus if stage is worst else 1.0)
            stage.asked, stage.got = stage.asked * 0.999, stage.got * 0.999  # look back about a minute
        warm = min(1.0, now / max(1.0, self.ramp))
        ceiling = self.ceiling = self.crowd_cold + (self.crowd_warm - self.crowd_cold) * warm
        if self.pools is not None:
            self.pools.woke(now)
        # More runs on busy cores only slow all, and at a few cores the root is a large part of the limit.
        self.limit.step(now, ceiling, self.busy, busy is not None and busy < 0.5)
        if now - self.moved > max(1500.0, 4.0 * self.mean_run):  # with all slots in use: far over chance
            self.stalled |= self.running >= min(self.limit.limit, self.cores)
        self.lag *= 1.0 if self.reading > 1.0 else 0.9  # nothing stands unread
        self._judge_fitness()
        for task in [task for task in self.tasks.values() if not task.answered]:
            finish = now + 0.5 * self._service(task)  # half a run is left where a call is waited for
            if task.limit <= now + self.SWEEP:
                self._give_up(task)
            elif task.state == HELD and (self.stalled or not self._in_time(now, task, 0.0)):
                self._turn_away(task, not self.stalled)
            elif task.q in self.waiting and finish > (task.limit if task.stage.late_utility else task.due):
                self._skip(now, task) if task.stage.skip_utility > 0.0 else self._give_up(task)
        self._call_next(now)
        # Told work is time on a standard core, whose server asks for half: odds choose between servers.
        speed = 0.5 * self.mean_work / self.mean_run if self.mean_work > 1.0 else 1.0 / self.stretch
        self.advice.tell(self.lag, min(1.0, speed), self.reading / self.cores)
        self._fill(now)

    def _density(self, task: Task) -> float:
        """Utility over expected work, which orders the hold; a first try sent away starts a walk."""
        utility = task.stage.weight * self.tenants.factor(task.tenant) * (0.4 if task.again else 1.0)
        return utility if self.by_work else utility / max(1.0, task.work * task.stage.pace.value)

    def _service(self, task: Task) -> float:
        return task.work * task.stage.pace.value * self.stretch

    def _admit(self, now: float, task: Task) -> bool:
        counters, density, ahead = self.counters, self._density(task), 0.0
        entry = counters.entry if task.stage.effect == FINGERPRINTED else 0.0
        if self.pools is not None:
            line = [o for o in self.held.values() if o.pool == task.pool and self._density(o) >= density]
            ahead = self.pools.ahead(
                now,
                task.pool,
                sum(map(self._service, line)),
                len(line),
                self._slots(),
                {o.pool for o in self.held.values()},
                self._lined(task.pool),
            )
        elif self.running + 0.2 > self._slots():
            ahead = sum(self._service(o) for o in self.held.values() if self._density(o) >= density)
            ahead = (ahead + 0.5 * self.mean_run * self.running) / max(1.0, self.limit.limit)
        if not self._fits(task, entry + task.size * counters.extra) or not self._in_time(now, task, ahead):
            self._turn_away(task, False)
            return False
        over_caller = counters.over_caller(task.caller, task.size)
        roomy = (
            counters.unanswered <= counters.clears
            if self.pools is None
            else self.pools.admits(task.pool, counters.unanswered, counters.clears)
        )
        if not over_caller and roomy:
            return True
        heavy = counters.by_caller  # room goes to the higher utility; among equals the heaviest loses it
        rivals = [o for o in self.held.values() if not over_caller or o.caller == task.caller]
        if self.pools is None or not self.pools.within(task.pool, counters.clears):
            rivals.append(task)
        if self.pools is not None:
            rivals = self.pools.gives_way(task.pool, rivals, counters.clears)
            if not rivals:
                return True
        lowest = min(rivals, key=lambda o: (self._density(o), -heavy[o.caller], -o.arrived, o.q))
        self._turn_away(lowest, False)
        return lowest is not task

    def _slots(self) -> float:
        # Reading starved by runs comes too late for any use; a third of the cores, one run at least, goes on.
        return max(1.0, self.cores / 3.0, self.limit.limit - self.reading)

    def _fits(self, task: Task, more: float) -> bool:
        if self.pools is not None:
            return self.pools.fits(task.pool, more, self.counters.used, 0.85 * self.counters.memory)
        return self.counters.fits(more)

    def _lined(self, pool: int) -> int:
        return sum(o.pool == pool for o in self.waiting.values())

    def _over_line(self, task: Task) -> bool:
        if self.pools is not None:
            return self.calls.room == 0.0 or self.pools.skips(task.pool, self.waiting.values())
        return len(self.waiting) > self.calls.bound() or self.calls.room == 0.0

    def _fill(self, now: float) -> None:
        shut: set[int] = set()  # pools whose next task has no room
        while self.held and not self.stalled:
            slots = self._slots()
            if self.running + 0.2 > slots:  # rounded up: a little reading must idle no core
                self.limit.in_use = True
                if self.pools is None:
                    return
            if self.pools is not None:
                ready = self.pools.ready(
                    now, self.held.values(), self.waiting.values(), self.running, slots, self.ceiling, shut
                )
            else:
                # What must call below is not started into a line of its like: it would only park and age.
                lined = sum(not o.stage.skip_utility for o in self.waiting.values())
                full = lined and lined >= self.calls.bound()
                ready = [o for o in self.held.values() if o.stage.skip_utility or not full]
            task = max(ready, default=None, key=lambda o: (self._density(o), -o.arrived, -o.q))
            if task is None or not self._fits(task, task.size * self.counters.extra):
                if task is not None and self.pools is not None:
                    shut.add(task.pool)
                    continue
                return
            if not self._in_time(now, task, 0.0):
                self._turn_away(task, True)
                continue
            del self.held[task.q]
            self.counters.used += task.size * self.counters.extra
            self.running += 1
            task.state, task.ran, task.crowd = RUNNING, True, self.running + self.reading
            if self.pools is not None:
                self.pools.started(now, task.pool, slots, task.size * self.counters.extra)
            self.moved = now if self.running == 1 else self.moved
            self.host.start(task.q)

    def _learn(self, now: float, task: Task, took: float) -> None:
        stage, task.stage.learnt_at = task.stage, now
        if task.crowd <= 1.2 * self.cores or stage.pace.seen < 8:  # one learnt crowded drifts upward
            stage.pace.add(now, took / task.work)
        stage.away += self.RECENT * (task.away - stage.away)
        stage.mean += (self.RECENT if stage.mean else 1.0) * (took - stage.mean)
        base = max(1.0, task.work * stage.pace.value)
        self.limit.observe(base, took)
        self.stretch += self.RECENT * (min(8.0, took / base) - self.stretch)
        part = self.RECENT if self.mean_run else 1.0
        self.mean_run += part * (took - self.mean_run)
        self.mean_size += part * (task.size - self.mean_size)
        self.mean_work += part * (task.work - self.mean_work)
        # Where no work is told a long run would hold a core against many short ones: one and a half share it.
        self.limit.floor = self.cores * (1.0 if self.mean_work > 1.0 else 1.5)
        self.counters.clears = self.limit.limit * self.mean_size * (1.0 + self.due / max(1.0, self.mean_run))

    def _give_up(self, task: Task) -> None:
        if task.state == HELD:  # never ran
            return self._turn_away(task, True)
        self.host.fail(task.q)
        return self._drop(task)

    def _drop(self, task: Task) -> None:
        self._settle(task)
        if task.state in (HELD, SHARING):
            self._leave(task)
        elif task.state == RUNNING and self.can_stop and task.stage.effect == RESTARTABLE:
            self.host.stop(task.q)  # a fingerprinted run goes on: its repeat may still share the result

    def _turn_away(self, task: Task, terminal: bool, pause: float | None = None) -> None:
        self.advice.rejected += 1.0
        self._settle(task)
        if pause is None:  # as long as the hold takes to empty
            if self.pools is not None:  # of its own pool
                line = [self._service(other) for other in self.held.values() if other.pool == task.pool]
                pause = self.advice.pause(
                    self.pools.ahead(
                        self.pools.slots.at,
                        task.pool,
                        sum(line),
                        len(line),
                        self._slots(),
                        {other.pool for other in self.held.values()},
                        self._lined(task.pool),
                    )
                )
            else:
                backlog = sum(self._service(other) for other in self.held.values())
                pause = self.advice.pause(backlog / max(1.0, self.limit.limit))
        # A further try that is rejected again has found two servers full: more only spread the overload, and
        # so would all others where a quarter of what comes was turned away elsewhere.
        terminal |= task.again or self.advice.full or self.advice.further > 0.25 * self.advice.read
        self.host.reject(task.q, terminal, pause)
        self._leave(task)

    def _settle(self, task: Task) -> None:
        task.answered = True
        self.held.pop(task.q, None)
        self.waiting.pop(task.q, None)
        self.counters.answered(task.caller, task.size)
        if self.pools is not None:
            self.pools.answered(task.pool, task.size)

    def _leave(self, task: Task) -> None:
        self.counters.used, task.state = self.counters.used - task.size, DONE
        if self.pools is not None:
            self.pools.left(task.pool, task.size)
        if task.entry_until and not task.ran:
            task.entry_until = 0.0
            self.counters.used -= self.counters.entry
            self.host.forget(task.q)
        self._release(task)

    def _release(self, task: Task) -> None:
        if task.state == DONE and not task.entry_until:
            del self.tasks[task.q]
            self.host.release(task.q)

    def _repeat(self, task: Task, original: int, late: bool) -> bool:
        """True where the repeat is dealt with; False where it takes the place of a try that never ran."""
        first = self.tasks.get(original)
        if first and first.state == HELD and not late and task.stage.effect == FINGERPRINTED:
            self._turn_away(first, True, 0.0)  # its caller has given up on it, the newer one has more time
            return False
        task.state = SHARING
        self.host.share(task.q) if first else self._give_up(task)  # one not known may have run
        return True

    def _call_next(self, now: float) -> None:
        while self.waiting and self.calls.free(now):
            # First the call whose loss costs most: what may skip it loses only a part of its utility.
            waiting, cut_at = list(self.waiting.values()), math.inf
            if self.pools is not None:
                waiting = self.pools.callable(now, waiting, self.calls.bound())
                if not waiting:
                    return
            task = max(
                waiting, key=lambda o: (self._density(o) * (1.0 - o.stage.skip_utility), -o.arrived, -o.q)
            )
            if self.pools is not None:
                self.pools.call_began(now, task.pool, task.q, self.calls.bound())
                cut_at = self.pools.call_until(now, task)
            del self.waiting[task.q]
            task.state = CALLING
            self.calls.in_hand += 1
            self.host.call(task.q, min(task.limit, now + self.calls.longest, cut_at))

    def _skip(self, now: float, task: Task) -> None:
        self.waiting.pop(task.q, None)
        self._resume(now, task)
        self.host.skip(task.q)

    def _resume(self, now: float, task: Task) -> None:
        task.state = RUNNING
        self.running += 1
        if self.pools is not None:
            self.pools.resumed(now, task.pool, self._slots())
        self.moved = now if self.running == 1 else self.moved
        task.away += now

    def _in_time(self, now: float, task: Task, ahead: float) -> bool:
        away = task.stage.away
        if self.pools is not None:
            away = self.pools.away(now, task.pool, self._lined(task.pool))
        if self.calls and self.calls.slow and task.stage.away and not task.stage.skip_utility:
            if self.calls.slow == math.inf:
                return False
            away = max(away, self.calls.slow)
        # What no run has told of for five seconds is let in to learn: a gate shut on a stage would stay shut.
        if now - task.stage.learnt_at > 5000.0:
            return now < task.due
        # Many runs take longer than expected, so 1.3 of it is kept; with room a try or late utility is cheap.
        finish = now + ahead + (1.3 if self.busy else 0.8) * self._service(task) + away
        return finish <= (task.limit if task.stage.late_utility and not self.busy else task.due)

    def _judge_fitness(self) -> None:
        swamped = self.lag > (0.8 if self.fit else 0.2)  # what is read then comes too late for any use
        fit = not self.stalled and not swamped and self.notice == math.inf
        if fit != self.fit:
            self.fit = fit
            self.host.set_readiness(fit)
