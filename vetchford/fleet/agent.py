"""The agent: owns the processes of its instances, checks them, and carries out what `decide` says.

An actor with a mailbox, as the server's: one thread decides and writes the store; threads beside it wait for
ends of processes, ask for readiness and speak to tools. The agent's own end stops no instance.
"""

import contextlib
import fcntl
import json
import os
import re
import select
import signal
import socket
import threading
import time
import uuid
from functools import partial
from queue import Queue
from typing import Any

import structlog

from vetchford.fleet import supervisor
from vetchford.fleet.history_store import Store, StoreError
from vetchford.fleet.rollout import ALIVE, ENDED, RefusedError, Rollout, RolloutController, Terms
from vetchford.runtime.actor import Actor, ThreadPool
from vetchford.runtime.clock import clock
from vetchford.runtime.metrics import Metrics

log = structlog.get_logger()

TURN = 0.05  # s between looks at deadlines: a kill is late by this at most
CHECK = 0.2  # s between ready checks of one instance: three that fail take a drain's notice's time
CHECK_WAITS = 1.0  # s for an answer: a server that is only busy answers from store in a few ms
LOOK = 2.0  # s between two looks at logs and memory: both grow by the minute
CHECKERS = 8  # threads for checks: one that hangs holds up an eighth of them for a second
STACK = 512 * 1024  # bytes a thread: a few for each peer, and the store's calls nest deepest
MOST_LINE = 1 << 20  # bytes of a command
CLIENTS = 64  # tools at once; more wait in the backlog
SERVING_SAID = re.compile(rb'"serving":\s*(true|false)')
CHECK_BODY = b'{"jsonrpc":"2.0","id":1,"method":"check"}'
ASKED = ("status", "change", "pause", "resume", "abort", "history", "explain", "find")


class Agent(Actor):
    """The host of `RolloutController`."""

    def __init__(self, told: dict[str, Any], metrics: Metrics) -> None:
        """`told`: the checked record of the settings. StoreError where the store can't be used."""
        super().__init__("agent", metrics)
        self.told, self.specs = told, told["instances"]
        os.makedirs(told["logs"], exist_ok=True)
        # Held until the process ends.
        self.guard = open(told["store"] + ".lock", "a")  # noqa: SIM115
        try:
            fcntl.flock(self.guard, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise StoreError(f"store {told['store']}: another agent has it") from None
        self.store = Store(told["store"])
        self.fleet = RolloutController(self)
        self.ours: dict[str, supervisor.Process] = {}  # emptied as processes end
        self.token, self.next_turn, self.next_look = "", 0.0, 0.0
        self.joined: Any = None
        self.wake_read, self.wake_write = os.pipe()
        self.restore()
        if told.get("peers"):
            from vetchford.fleet.coordinator_actor import CoordinatorActor  # an agent alone does without it

            self.joined = CoordinatorActor(self, self, told["peers"], metrics)

    def now(self) -> float:
        return clock.now()  # no deadline of ours may depend on a time of day that is set

    # -- what outlives it

    def restore(self) -> None:
        kept = self.store.all()
        token = next((body["token"] for kind, _, body in kept if kind == "agent"), None)
        self.token = token or uuid.uuid4().hex
        if token is None:
            self.store.put("agent", "token", {"token": self.token})
        for name, spec in self.specs.items():
            terms = Terms(spec["group"], spec["stop_ms"], spec["ready_ms"], spec["restart"])
            self.fleet.declare(name, terms, spec["version"])
        for kind, name, body in kept:
            self.fleet.restore(kind, name, body)
        for change in list(self.fleet.changes.values()):
            gone = [name for name in change.targets if name not in self.specs]
            if gone and change.state not in ENDED:
                self.fleet.turn(change, "broken", f"no longer in the settings: {', '.join(gone)}")
        found = supervisor.find(self.token)
        for name, several in found.items():
            for process, _ in several[1:] if name in self.specs else several:
                log.warning("fleet_stray", instance=name, pid=process.pid)
                process.signal(signal.SIGTERM)
                process.ended()
        for name in self.specs:
            ours = found.get(name, [])
            if ours:
                self.ours[name] = ours[0][0]
            self.fleet.found(self.now(), name, ours[0][1] if ours else None)

    # -- the host

    def record(self, kind: str, name: str, body: dict[str, Any] | None) -> None:
        self.store.put(kind, name, body)

    def spawn(self, name: str, version: str) -> None:
        spec = self.specs[name]
        command = spec["command"] if version == spec["version"] else self.told["versions"].get(version)
        if command is None:
            self.post(self.spawn_failed, name, f"no command for version {version}")
            return
        told = [word.replace("{name}", name).replace("{listen}", spec["listen"]) for word in command]
        try:
            file = os.path.join(self.told["logs"], f"{name}.log")
            self.ours[name] = supervisor.start(
                told, name, version, self.token, spec["environment"], file, spec["descriptors"]
            )
        except OSError as problem:
            self.post(self.spawn_failed, name, str(problem))
            return
        os.write(self.wake_write, b"x")

    def spawn_failed(self, name: str, why: str) -> None:
        self.fleet.spawn_failed(self.now(), name, why)

    def term(self, name: str) -> None:
        if name in self.ours:
            self.ours[name].signal(signal.SIGTERM)

    def kill(self, name: str) -> None:
        if name in self.ours:
            self.ours[name].kill()

    def note(self, event: str, **fields: Any) -> None:
        log.info(event, **fields)

    def look_after(self) -> None:
        """Logs that have grown long, and instances that take more memory than they are to."""
        for name in self.specs:
            path = os.path.join(self.told["logs"], f"{name}.log")
            supervisor.turn_over(path, self.specs[name]["log_mb"] << 20)
        for name, process in self.ours.items():
            most = self.specs[name]["memory_mb"]
            if most is None or supervisor.memory_kb(process.pid) <= most << 10:
                continue
            for change in self.fleet.changes.values():
                if change.state in ("running", "back"):
                    with contextlib.suppress(OSError):  # the store can't: it pauses for that
                        self.fleet.pause(self.now(), change.id, f"{name} takes over {most} MB")

    # -- the actor

    def next_timeout(self) -> float | None:
        return max(0.0, self.next_turn - time.monotonic())

    def on_idle(self) -> None:
        if time.monotonic() >= self.next_turn:
            self.next_turn = time.monotonic() + TURN
            self.fleet.woke(self.now())
            if self.joined is not None:
                self.joined.tick()
        if time.monotonic() >= self.next_look:
            self.next_look = time.monotonic() + LOOK
            self.look_after()

    def run(self) -> None:
        if self.joined is not None:
            self.joined.start()
        for act in (self.watch, self.check_all):
            threading.Thread(target=act, daemon=True).start()
        super().run()

    def watch(self) -> None:
        """Waits for processes to end."""
        told: set[int] = set()  # of those that are still in the table; emptied as the actor takes them out
        while True:
            poll, by_fd = select.poll(), {}
            poll.register(self.wake_read, select.POLLIN)
            now = list(self.ours.items())
            told &= {id(process) for _, process in now}
            for name, process in now:
                if id(process) not in told:
                    poll.register(process.pidfd, select.POLLIN)
                    by_fd[process.pidfd] = (name, process)
            for fd, _ in poll.poll(1000 if not told else 20):
                if fd == self.wake_read:
                    os.read(self.wake_read, 4096)
                else:
                    name, process = by_fd[fd]
                    told.add(id(process))
                    self.post(self.gone, name, process)

    def gone(self, name: str, process: supervisor.Process) -> None:
        if self.ours.get(name) is process:
            del self.ours[name]
            self.fleet.exited(self.now(), name, process.ended())

    def check_all(self) -> None:
        # A crew of ours: where no thread is to be had, its work waits for one that is busy, and goes on.
        thread_pool, asked = (
            ThreadPool(self.metrics, CHECKERS),
            set[str](),
        )  # whose check is under way; emptied by its end
        thread_pool.start()

        def act(name: str, process: supervisor.Process) -> None:
            try:
                self.check(name, process)
            finally:
                asked.discard(name)

        while True:
            for name, process in list(self.ours.items()):
                if name not in asked:
                    asked.add(name)
                    thread_pool.run(partial(act, name, process))
            time.sleep(CHECK)

    def check(self, name: str, process: supervisor.Process) -> None:
        good = ready(self.specs[name]["listen"])
        if self.ours.get(name) is process:
            self.post(self.checked, name, process, good)

    def checked(self, name: str, process: supervisor.Process, good: bool) -> None:
        if self.ours.get(name) is process:  # else it has ended meanwhile: this is not its successor's
            self.fleet.checked(self.now(), name, good)

    # -- tools

    def answer(self, request: Any, reply: "Queue[dict[str, Any]]") -> None:
        try:
            if isinstance(request, dict) and request.get("ask") == "across":
                if self.joined is None:
                    raise RefusedError("this agent is of no fleet: its settings have no 'peers'")
                self.joined.request(request["request"], reply.put)
                return
            if not isinstance(request, dict) or request.get("ask") not in ASKED:
                raise RefusedError(f"'ask' must be one of {', '.join(ASKED)}")
            reply.put(getattr(self, "on_" + request["ask"])(request))
        except RefusedError as problem:
            reply.put({"refused": str(problem)})
        except OSError as problem:
            reply.put({"refused": str(problem)})
        except (TypeError, KeyError, ValueError, AttributeError) as problem:
            reply.put({"refused": f"a malformed command: {type(problem).__name__}: {problem}"})

    def on_status(self, request: dict[str, Any]) -> dict[str, Any]:
        now = self.now()
        return {
            "instances": [
                {
                    "name": one.name,
                    "state": one.state,
                    "version": one.runs or one.version,
                    "why": one.why,
                    "group": one.terms.group,
                    "labels": self.specs[one.name]["labels"],
                    "wanted": one.wanted,
                    "for_ms": round(now - one.since),
                    "restarts": one.restarts,
                    "killed": one.killed,
                    "pid": self.ours[one.name].pid if one.name in self.ours else 0,
                    "memory_kb": supervisor.memory_kb(self.ours[one.name].pid)
                    if one.name in self.ours
                    else 0,
                    "change": owner.id if (owner := self.fleet.owner(one.name)) else "",
                }
                for one in self.fleet.instances.values()
            ],
            "changes": [self.told_of(change) for change in self.fleet.changes.values()],
        }

    def told_of(self, change: Rollout) -> dict[str, Any]:
        return {
            "id": change.id,
            "kind": change.kind,
            "state": change.state,
            "why": change.why,
            "steps": change.steps,
            "killed": change.killed,
        }

    def on_change(self, request: dict[str, Any]) -> dict[str, Any]:
        fields = {key: value for key, value in request.items() if key not in ("ask", "dry_run")}
        change = Rollout(**{"id": uuid.uuid4().hex[:12], **fields})
        if change.kind == "roll":
            missing = [
                name
                for name in change.targets
                if name in self.specs and self.specs[name]["version"] != change.version
            ]
            if missing and change.version not in self.told["versions"]:
                raise RefusedError(f"no command for version '{change.version}' in the settings")
        if request.get("dry_run"):
            trial = RolloutController(Silent())
            trial.instances, trial.changes = dict(self.fleet.instances), dict(self.fleet.changes)
            trial.go_on = lambda now: None  # type: ignore[method-assign]
            change = trial.ask(self.now(), change)
            return {"plan": change.targets, "batch": change.batch, "floor": change.floor}
        return self.told_of(self.fleet.ask(self.now(), change))

    def on_pause(self, request: dict[str, Any]) -> dict[str, Any]:
        return self.told_of(self.fleet.pause(self.now(), request["id"]))

    def on_resume(self, request: dict[str, Any]) -> dict[str, Any]:
        return self.told_of(self.fleet.resume(self.now(), request["id"]))

    def on_abort(self, request: dict[str, Any]) -> dict[str, Any]:
        return self.told_of(self.fleet.abort(self.now(), request["id"]))

    def on_find(self, request: dict[str, Any]) -> dict[str, Any]:
        return self.told_of(self.fleet.known(request["id"]))

    def on_history(self, request: dict[str, Any]) -> dict[str, Any]:
        return {"history": self.store.history(min(1000, int(request.get("most", 50))))}

    def on_explain(self, request: dict[str, Any]) -> dict[str, Any]:
        name = request["name"]
        if name not in self.specs:
            raise RefusedError(f"no such instance: {name}")
        about = [
            entry
            for entry in self.store.history(1000)
            if entry["name"] == name or name in (entry["body"] or {}).get("steps", {})
        ]
        one = self.fleet.instances[name]
        said = f"{name} is {one.state} ({one.why}); it is{'' if one.wanted else ' not'} wanted"
        if one.again_at:
            said += f"; started again in {max(0, round(one.again_at - self.now()))} ms"
        if one.state not in ALIVE and one.wanted and not one.again_at:
            said += "; nothing will start it until somebody does"
        return {"said": said, "history": about[:20]}


class Silent:
    """A host that does nothing, for plans."""

    def __getattr__(self, name: str) -> Any:
        return lambda *given, **fields: None


def ready(address: str) -> bool:
    """Whether a server there says that it serves, within CHECK_WAITS, in however many pieces."""
    host, _, port = address.rpartition(":")
    until, heard, said = time.monotonic() + CHECK_WAITS, b"", None
    try:
        with socket.create_connection((host, int(port)), CHECK_WAITS) as sock:
            sock.sendall(b"Content-Length: %d\r\n\r\n%b" % (len(CHECK_BODY), CHECK_BODY))
            while said is None and len(heard) < 4096 and (left := until - time.monotonic()) > 0.0:
                sock.settimeout(left)  # for all of it: one that answers a byte a second holds up a checker
                more = sock.recv(4096)
                if not more:
                    break
                heard += more
                said = SERVING_SAID.search(heard)  # whole: half a word is no verdict yet
    except OSError:
        return False
    return said is not None and said[1] == b"true"


def listen(path: str) -> socket.socket:
    """The agent's socket, for its own user alone; in the place of one that nobody listens on any more."""
    with socket.socket(socket.AF_UNIX) as probe:
        if probe.connect_ex(path) == 0:
            raise OSError(f"somebody listens at {path}")
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)
    sock = socket.socket(socket.AF_UNIX)
    before = os.umask(0o177)
    try:
        sock.bind(path)
    finally:
        os.umask(before)
    sock.listen(128)
    return sock


def talk(agent: Agent, sock: socket.socket, free: threading.Semaphore) -> None:
    """One tool: a JSON object a line, and its answers."""
    try:
        sock.settimeout(30.0)
        with sock, sock.makefile("rwb") as lines:
            while line := lines.readline(MOST_LINE):
                reply: Queue[dict[str, Any]] = Queue()
                try:
                    request = json.loads(line)
                except ValueError:
                    request = None
                agent.post(agent.answer, request, reply)
                lines.write(json.dumps(reply.get(timeout=30.0)).encode() + b"\n")
                lines.flush()
    except Exception as problem:  # a tool that goes away, or a line that is none: its own affair
        agent.metrics.log_sampled("fleet_tool_lost", problem=f"{type(problem).__name__}: {problem}")
    finally:
        free.release()


def serve(told: dict[str, Any]) -> int:
    """Runs until SIGTERM or SIGINT; the instances go on."""
    # Handled and not blocked: what is blocked here would be in the instances too, which then never leave.
    threading.stack_size(STACK)
    leaving = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *given: leaving.set())
    metrics = Metrics()
    try:
        agent = Agent(told, metrics)
        sock = listen(told["socket"])
    except (StoreError, OSError) as problem:
        log.error("agent_cannot_start", problem=str(problem))
        return 1
    free = threading.Semaphore(CLIENTS)

    def accept() -> None:
        while True:
            free.acquire()
            try:
                threading.Thread(target=talk, args=(agent, sock.accept()[0], free), daemon=True).start()
            except (OSError, RuntimeError) as problem:  # descriptors or threads ran out: tools wait
                free.release()
                metrics.log_sampled("accept_failed", problem=str(problem))
                time.sleep(0.1)

    agent.start()
    threading.Thread(target=accept, daemon=True).start()
    log.info(
        "agent_serving", socket=told["socket"], instances=len(told["instances"]), adopted=len(agent.ours)
    )
    if agent.joined is not None:
        log.info(
            "agent_joins", fleet=told["peers"]["fleet"], name=agent.joined.name, life=agent.joined.incarnation
        )
    while not leaving.wait(0.2):
        pass  # in short waits: a handler runs in this thread alone
    with contextlib.suppress(FileNotFoundError):  # somebody was sooner
        os.unlink(told["socket"])
    log.info("agent_stopped", left_running=len(agent.ours))
    return 0
