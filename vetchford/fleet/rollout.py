"""What becomes of each instance, and of a change over many. No I/O; times in ms, from whoever tells.

An instance is a small state machine, moved by what is seen of its process and its ready check:

    absent -> starting -> serving -> draining -> stopped
                 |           |          | (past its stop time) stopping -> stopped
                 +-- failed <+ (exits on its own, again and again)          unknown: not yet looked for

A change (start, stop, restart, roll) is a record with an id that goes on from where it stands, also after the
agent was killed: everything that it needs is in the record, which is written before each act (`Host.record`).
Whatever is asked for is checked before it begins; what would break the floor is refused or waits.
"""

import contextlib
from dataclasses import asdict, dataclass, field
from typing import Any, Protocol

ABSENT, STARTING, SERVING, DRAINING = "absent", "starting", "serving", "draining"
STOPPING, STOPPED, FAILED, UNKNOWN = "stopping", "stopped", "failed", "unknown"
ALIVE = frozenset((STARTING, SERVING, DRAINING, STOPPING))  # there is a process
PENDING, OUT, COMING, SOAKING, DONE, LOST = "pending", "out", "coming", "soaking", "done", "lost"
RUNNING, PAUSED, BACK, FINISHED, BROKEN, ABORTED = (
    "running",
    "paused",
    "back",
    "finished",
    "broken",
    "aborted",
)
ENDED = frozenset((FINISHED, BROKEN, ABORTED))
KINDS = ("start", "stop", "restart", "roll")
ON_FAILURE = ("pause", "back", "go_on")

BACK_OFF = 500.0  # ms before the first restart of one that exits by itself; doubles with each
BACK_OFF_MOST = 30_000.0  # ms: what is mended after an hour must not wait an hour more
STABLE = 60_000.0  # ms of serving after which its restarts are forgotten
LOOP = 6  # restarts in a row, half a minute of them: then it stays down until somebody says otherwise
KILL_AGAIN = (
    1000.0  # ms: one that SIGKILL has not ended hangs in the kernel; asked again, told as unknown by then
)
STORE_AGAIN = 1000.0  # ms until a restart is tried again that the store could not take
CHANGES_KEPT = 50  # ended ones in the table; older ones are in the store's history


class Host(Protocol):
    """What the decisions act through."""

    def record(self, kind: str, name: str, body: dict[str, Any] | None) -> None:
        """Durable before it returns; None: dropped. OSError where the store can't: nothing was done."""

    def spawn(self, name: str, version: str) -> None: ...

    def term(self, name: str) -> None: ...

    def kill(self, name: str) -> None: ...

    def note(self, event: str, **fields: Any) -> None: ...


class RefusedError(Exception):
    """A command that was not begun, and why."""


@dataclass(slots=True)
class Terms:
    """What the operators say of one instance; durations in ms."""

    group: str = ""
    stop_ms: float = 3200.0
    ready_ms: float = 30_000.0  # from its start to its first good check
    restart: bool = True  # whether one that exits by itself is started again


@dataclass(slots=True)
class Instance:
    name: str
    terms: Terms
    version: str  # that it is to run
    state: str = UNKNOWN
    wanted: bool = False
    runs: str = ""  # the version of its process
    since: float = 0.0  # when the state began
    deadline: float = 0.0  # of starting, draining or stopping
    restarts: int = 0  # in a row
    again_at: float = 0.0  # of a restart that waits; 0: none
    checks_failed: int = 0
    why: str = ""  # of the last change of state
    killed: int = 0  # times that it did not end in its stop time
    unseen: bool = False  # adopted, and not checked yet: it may be one of those that hold the floor

    def kept(self) -> dict[str, Any]:
        """What must outlive the agent."""
        return {"wanted": self.wanted, "version": self.version, "killed": self.killed}


@dataclass(slots=True)
class Rollout:
    id: str
    kind: str
    targets: list[str]
    version: str = ""
    batch: int = 1
    floor: int = 0  # instances of those groups that serve at all times
    spacing: float = 0.0  # ms between two that come up: each is cold for a while
    soak: float = 2000.0  # ms of good checks before an instance counts as done
    on_failure: str = "pause"
    state: str = RUNNING
    steps: dict[str, str] = field(default_factory=dict)
    before: dict[str, str] = field(default_factory=dict)  # versions to go back to
    was_up: dict[str, bool] = field(default_factory=dict)
    why: str = ""
    killed: list[str] = field(default_factory=list)  # those that had to be
    back: bool = False  # it goes back, also after a pause

    def kept(self) -> dict[str, Any]:
        """What must outlive the agent."""
        body = asdict(self)
        if not self.back:
            del body["back"]  # programs of before it was there read all other records
        return body


class RolloutController:
    """All instances of one agent and the changes over them."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.instances: dict[str, Instance] = {}  # as the settings name them
        self.changes: dict[str, Rollout] = {}  # emptied by `prune`, the oldest ended first
        self.next_start: dict[str, float] = {}  # by change: when the next may come up; emptied as it ends

    # -- what there is, and what a restarted agent finds

    def declare(self, name: str, terms: Terms, version: str) -> Instance:
        """An instance of the settings; nothing is known of its process yet."""
        instance = self.instances[name] = Instance(name, terms, version)
        return instance

    def restore(self, kind: str, name: str, body: dict[str, Any]) -> None:
        """A record that the store had."""
        if kind == "instance" and name in self.instances:
            instance = self.instances[name]
            instance.wanted, instance.killed = body["wanted"], body["killed"]
            instance.version = body["version"] or instance.version
        elif kind == "change":
            self.changes[name] = Rollout(**{"back": body["state"] == BACK, **body})

    def found(self, now: float, name: str, version: str | None) -> None:
        """What the process table says of it: the version that runs, or None. Told once for each at first."""
        instance = self.instances[name]
        if version is None:
            self.moved(
                now,
                instance,
                STOPPED if not instance.wanted else ABSENT,
                "not running at the agent's start",
            )
            if instance.wanted and not self.owner(name):
                instance.again_at = now
            return
        instance.runs = version
        instance.unseen = True
        self.moved(now, instance, STARTING, "adopted")
        instance.deadline = now + instance.terms.ready_ms
        if not instance.wanted and not self.owner(name):  # it was told to leave, perhaps: told once more
            self.leave(now, instance, "adopted, and not wanted")

    # -- what happens to one

    def checked(self, now: float, name: str, good: bool) -> None:
        """The ready check's answer."""
        instance = self.instances[name]
        instance.unseen = False
        if instance.state == STARTING and good:
            self.moved(now, instance, SERVING, "ready")
        elif instance.state == SERVING:
            instance.checks_failed = 0 if good else instance.checks_failed + 1
            if instance.checks_failed >= 3:  # one may be lost, three are a second or more
                instance.checks_failed = 0
                self.moved(now, instance, STARTING, "checks fail")
                instance.deadline = now + instance.terms.ready_ms
            elif good and now - instance.since > STABLE:
                instance.restarts = 0
        self.go_on(now)

    def exited(self, now: float, name: str, status: int | None) -> None:
        """Its process is gone; None where the status is not known, as for one that was adopted."""
        instance = self.instances[name]
        before, instance.runs, instance.unseen = instance.state, "", False
        said = "status unknown" if status is None else f"status {status}"
        if before in (DRAINING, STOPPING):
            self.moved(now, instance, STOPPED, f"ended, {said}" if before == DRAINING else "killed")
        elif instance.wanted:
            self.crashed(now, instance, f"exited by itself, {said}")
        else:
            self.moved(now, instance, STOPPED, f"exited, {said}")
        self.go_on(now)

    def spawn_failed(self, now: float, name: str, why: str) -> None:
        self.crashed(now, self.instances[name], f"could not be started: {why}")
        self.go_on(now)

    def crashed(self, now: float, instance: Instance, why: str) -> None:
        instance.restarts += 1
        owner = self.owner(instance.name)
        if owner is not None or not instance.terms.restart or instance.restarts > LOOP:
            self.moved(
                now, instance, FAILED, why if instance.restarts <= LOOP else f"{why}, {LOOP} times in a row"
            )
            return
        self.moved(now, instance, ABSENT, why)
        instance.again_at = now + min(BACK_OFF_MOST, BACK_OFF * 2.0 ** (instance.restarts - 1))

    def woke(self, now: float) -> None:
        """Several times a second."""
        for instance in self.instances.values():
            # One that still runs comes later: while it hangs in its drain, its stop time is what counts.
            comes = instance.wanted and instance.state not in ALIVE
            if comes and instance.again_at and now >= instance.again_at:
                self.try_to_come(now, instance, "restarted")
            elif instance.state == STARTING and now >= instance.deadline:
                self.leave(now, instance, "not ready in its time")
                if instance.wanted and not self.owner(instance.name):
                    instance.restarts += 1
                    instance.again_at = (
                        now + instance.terms.stop_ms + BACK_OFF * 2.0 ** min(6, instance.restarts)
                    )
            elif instance.state == DRAINING and now >= instance.deadline:
                instance.killed += 1
                self.moved(now, instance, STOPPING, "did not end in its stop time")
                instance.deadline = now + KILL_AGAIN
                owner = self.owner(instance.name)
                if owner is not None and instance.name not in owner.killed:
                    owner.killed.append(instance.name)
                self.host.kill(instance.name)
                with contextlib.suppress(OSError):  # a count alone: what is due is done all the same
                    self.keep(instance)
            elif instance.state == STOPPING and now >= instance.deadline:
                instance.deadline = now + KILL_AGAIN
                self.host.kill(instance.name)
        self.go_on(now)

    def try_to_come(self, now: float, instance: Instance, why: str) -> None:
        try:
            self.come(now, instance, why)
        except OSError as problem:  # not on record, so not begun; asked again while the store can't
            instance.again_at, instance.why = now + STORE_AGAIN, f"the store failed: {problem}"

    def come(self, now: float, instance: Instance, why: str) -> None:
        if instance.state in ALIVE:
            return  # never a second process of it
        instance.wanted, instance.again_at = True, 0.0
        self.keep(instance)
        instance.runs = instance.version
        instance.deadline = now + instance.terms.ready_ms
        self.moved(now, instance, STARTING, why)
        self.host.spawn(instance.name, instance.version)

    def leave(self, now: float, instance: Instance, why: str) -> None:
        instance.again_at = 0.0
        if instance.state in (STARTING, SERVING):
            instance.deadline = now + instance.terms.stop_ms
            self.moved(now, instance, DRAINING, why)
            self.host.term(instance.name)
        elif instance.state not in ALIVE:
            self.moved(now, instance, STOPPED, why)

    def moved(self, now: float, instance: Instance, state: str, why: str) -> None:
        if state != instance.state:
            self.host.note("instance_moved", instance=instance.name, was=instance.state, now=state, why=why)
            instance.since = now
        instance.state, instance.why = state, why

    def keep(self, instance: Instance) -> None:
        self.host.record("instance", instance.name, instance.kept())

    # -- changes

    def owner(self, name: str) -> Rollout | None:
        """The change that an instance is in, if it is not ended."""
        return next((c for c in self.changes.values() if c.state not in ENDED and name in c.steps), None)

    def serving(self, among: set[str]) -> int:
        return sum(one.state == SERVING for one in self.instances.values() if one.name in among)

    def scope(self, change: Rollout) -> set[str]:
        """The instances that its floor counts: all of the groups it touches."""
        groups = {self.instances[name].terms.group for name in change.targets}
        return {one.name for one in self.instances.values() if one.terms.group in groups}

    def ask(self, now: float, change: Rollout) -> Rollout:
        """Begins it; RefusedError where it must not be. The same id again is the same change."""
        if change.id in self.changes:
            known = self.changes[change.id]
            if (known.kind, known.targets, known.version) != (change.kind, change.targets, change.version):
                raise RefusedError(
                    f"id {change.id} is another change's ({known.kind} of {len(known.targets)})"
                )
            return known
        if change.kind not in KINDS or change.on_failure not in ON_FAILURE:
            raise RefusedError(f"'{change.kind}' or '{change.on_failure}' is none that is known")
        unknown = [name for name in change.targets if name not in self.instances]
        if unknown or not change.targets:
            raise RefusedError(
                f"no such instance: {', '.join(unknown)}" if unknown else "it names no instance"
            )
        if len(set(change.targets)) < len(change.targets):
            raise RefusedError("an instance is named twice")
        busy = {name: owner.id for name in change.targets if (owner := self.owner(name)) is not None}
        if busy:
            name, other = next(iter(busy.items()))
            raise RefusedError(f"{name} is in change {other}, which is {self.changes[other].state}")
        if change.batch < 1 or change.floor < 0:
            raise RefusedError("batch must be 1 or more, floor 0 or more")
        self.check_floor(change)
        for name in change.targets:
            instance = self.instances[name]
            change.steps[name] = PENDING
            change.before[name] = instance.version
            change.was_up[name] = instance.wanted
        self.host.record("change", change.id, change.kept())
        self.changes[change.id] = change
        self.host.note("change_begins", change=change.id, kind=change.kind, targets=len(change.targets))
        self.go_on(now)
        self.prune()
        return change

    def check_floor(self, change: Rollout) -> None:
        scope = self.scope(change)
        up = self.serving(scope)
        if change.kind == "stop":
            left = up - sum(self.instances[name].state == SERVING for name in change.targets)
            if left < change.floor:
                raise RefusedError(f"{left} would be left serving, under the floor of {change.floor}")
        elif change.kind in ("restart", "roll") and change.floor and up <= change.floor:
            at_most = [name for name in change.targets if self.instances[name].state == SERVING]
            if at_most:
                raise RefusedError(f"{up} serve and the floor is {change.floor}: none may go out")

    def pause(self, now: float, id: str, why: str = "asked to") -> Rollout:
        change = self.known(id)
        if change.state in (RUNNING, BACK):
            self.turn(change, PAUSED, why)
        return change

    def resume(self, now: float, id: str) -> Rollout:
        change = self.known(id)
        if change.state == PAUSED:
            for name, step in change.steps.items():
                failed = self.instances[name].state in (FAILED, STOPPED) and step in (COMING, SOAKING)
                if step == LOST or failed:  # tried once more
                    change.steps[name] = PENDING
                    self.instances[name].restarts = 0
            self.turn(change, BACK if change.back else RUNNING, "asked to")
            self.go_on(now)
        return change

    def abort(self, now: float, id: str) -> Rollout:
        """What is out is brought back up as it is; nothing more goes out."""
        change = self.known(id)
        if change.state not in ENDED:
            up = [
                name for name, step in change.steps.items() if step in (OUT, COMING) and change.kind != "stop"
            ]
            self.turn(change, ABORTED, "asked to")
            for name in up:
                instance = self.instances[name]
                instance.wanted = True
                if instance.state not in ALIVE:
                    self.try_to_come(now, instance, "its change was aborted")
                    continue
                if instance.state in (DRAINING, STOPPING):
                    instance.again_at = now + 1.0  # as soon as it has ended
                with contextlib.suppress(OSError):  # the next of them must be brought back all the same
                    self.keep(instance)
        return change

    def known(self, id: str) -> Rollout:
        if id not in self.changes:
            raise RefusedError(f"no change {id}")
        return self.changes[id]

    def turn(self, change: Rollout, state: str, why: str) -> None:
        before = change.state, change.why, change.back
        change.state, change.why, change.back = state, why, change.back or state == BACK
        try:
            self.host.record("change", change.id, change.kept())
        except OSError:
            if state != PAUSED:  # what is not on record has not been decided
                change.state, change.why, change.back = before
            else:  # a pause holds all the same, and whoever reads the log must see it
                self.host.note("change_moved", change=change.id, was=before[0], now=state, why=why)
            raise
        self.host.note("change_moved", change=change.id, was=before[0], now=state, why=why)
        if state in ENDED:
            self.next_start.pop(change.id, None)

    def step(self, change: Rollout, name: str, step: str) -> None:
        before, change.steps[name] = change.steps[name], step
        try:
            self.host.record("change", change.id, change.kept())
        except OSError:
            change.steps[name] = before  # what is not on record has not been decided
            raise

    def go_on(self, now: float) -> None:
        for change in list(self.changes.values()):
            if change.state in (RUNNING, BACK):
                try:
                    self.advance(now, change)
                except OSError as problem:  # the store can't: nothing more is begun
                    was = change.state
                    change.state, change.why = PAUSED, f"the store failed: {problem}"
                    self.host.note("change_moved", change=change.id, was=was, now=PAUSED, why=change.why)

    def advance(self, now: float, change: Rollout) -> None:
        for name in change.targets:
            if change.steps[name] in (OUT, COMING, SOAKING):
                self.follow(now, change, self.instances[name])
        if change.state == PAUSED:
            return
        while self.next_out(now, change):
            pass
        if all(step in (DONE, LOST) for step in change.steps.values()):
            lost = [name for name, step in change.steps.items() if step == LOST]
            ended = BROKEN if lost or change.state == BACK else FINISHED
            why = f"lost: {', '.join(lost)}" if lost else "gone back" if change.state == BACK else "all done"
            self.turn(change, ended, why)

    def next_out(self, now: float, change: Rollout) -> bool:
        """Takes one more out, where batch, floor and spacing let it; whether it did."""
        going = [name for name, step in change.steps.items() if step in (OUT, COMING, SOAKING)]
        waiting = [name for name in change.targets if change.steps[name] == PENDING]
        if not waiting or len(going) >= change.batch or now < self.next_start.get(change.id, 0.0):
            return False
        scope = self.scope(change)
        if any(self.instances[name].unseen for name in scope):
            return False  # after a restart of the agent it is not known yet who serves
        # One that does not serve costs no floor, and is mended first.
        name = min(waiting, key=lambda one: (self.instances[one].state == SERVING, change.targets.index(one)))
        instance = self.instances[name]
        takes = instance.state == SERVING and change.kind in ("stop", "restart", "roll")
        if takes and self.serving(scope) - 1 < change.floor:
            return False
        if instance.state in (DRAINING, STOPPING):
            return False  # what ends it is under way
        if change.kind in ("restart", "roll", "start"):
            self.next_start[change.id] = now + change.spacing
        self.step(change, name, OUT)
        instance.restarts, instance.again_at = 0, 0.0
        wants = change.kind != "stop" and not (change.state == BACK and not change.was_up[name])
        if change.kind == "roll":
            instance.version = change.before[name] if change.state == BACK else change.version
        instance.wanted = wants
        self.keep(instance)
        if change.kind != "start" or (change.state == BACK and not wants):
            self.leave(now, instance, f"change {change.id}")
        self.follow(now, change, instance)
        return True

    def follow(self, now: float, change: Rollout, instance: Instance) -> None:
        """One that is on its way, as far as it has come."""
        step = change.steps[instance.name]
        if step == OUT and instance.state not in (DRAINING, STOPPING):
            if instance.state in ALIVE and not (change.kind == "start" and instance.wanted):
                # Recorded as out, and the agent died before or after it told it to leave. It has to be asked
                # anew whether the floor lets it go: others may have gone since.
                self.step(change, instance.name, PENDING)
                return
            if not instance.wanted:
                self.step(change, instance.name, DONE)
                return
            self.step(change, instance.name, COMING)
            step = COMING
            self.come(now, instance, f"change {change.id}")
        if step == COMING:
            if instance.state == SERVING:
                self.step(change, instance.name, SOAKING)
            elif instance.state in (FAILED, STOPPED):
                self.lose(now, change, instance)
            elif instance.state == ABSENT:  # the agent died between the record and the process
                self.come(now, instance, f"change {change.id}")
        elif step == SOAKING:
            if instance.state == SERVING and now - instance.since >= change.soak:
                self.step(change, instance.name, DONE)
            elif instance.state not in (SERVING, STARTING):
                self.lose(now, change, instance)

    def lose(self, now: float, change: Rollout, instance: Instance) -> None:
        self.step(change, instance.name, LOST)
        self.host.note("change_lost", change=change.id, instance=instance.name, why=instance.why)
        if change.state == BACK or change.on_failure == "go_on":
            return
        if change.on_failure == "pause":
            self.turn(change, PAUSED, f"{instance.name}: {instance.why}")
            return
        before = change.steps
        change.steps = {  # all that were touched go back
            name: DONE if step == PENDING else PENDING for name, step in before.items()
        }
        try:
            self.turn(change, BACK, f"{instance.name}: {instance.why}")
        except OSError:
            change.steps = before  # not on record: the way back would be taken for the way on
            raise

    def prune(self) -> None:
        ended = [change.id for change in self.changes.values() if change.state in ENDED]
        for id in ended[: max(0, len(ended) - CHANGES_KEPT)]:
            with contextlib.suppress(OSError):  # it stays, and is dropped with the next
                self.host.record("change", id, None)
                del self.changes[id]
