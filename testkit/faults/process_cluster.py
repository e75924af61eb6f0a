"""Several agents in processes of their own with links between them that break, and one history of it all.

`ProcessCluster` starts, kills, freezes and restarts; `Script` draws a schedule of faults from a seed (the
same seed, the same script), and how wrong each agent's clock goes; `wrong` reads the history and knows
nothing of how agents decide.
"""

import datetime
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from typing import Any

from testkit.faults.relay import Links
from vetchford.fleet import supervisor
from vetchford.fleet.agent_client import UnreachableError, ask
from vetchford.fleet.history_store import Store

ROOT = pathlib.Path(__file__).parent.parent.parent
LATE = 4.0  # s after which a fault must be known to who drives: a report's age and a check's


def free_ports(count: int) -> list[int]:
    """Below the range that the system hands out for outgoing connections, so that none of these takes one."""
    found: list[int] = []
    for port in range(21_000 + os.getpid() % 50 * 100, 32_000):
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


class ProcessCluster:
    """`commands(agent, instance, address)` gives an instance's command; without it, stand-in instances.

    Without `relays` agents speak to each other directly, and no link can be broken.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        agents: int = 3,
        instances: int = 2,
        seed: int = 1,
        commands: Any = None,
        stop: str = "1s",
        relays: bool = True,
    ) -> None:
        self.folder, self.names, self.seed = folder, [f"a{n}" for n in range(agents)], seed
        ports = free_ports(agents * (instances + 1))
        programs = {name: ("127.0.0.1", ports.pop()) for name in self.names}
        self.links = Links(programs if relays else {}, seed)
        self.running: dict[str, subprocess.Popen] = {}
        self.clocks: dict[str, str] = {}  # of agents begun from now on: offset and rate, see runtime/clock.py
        self.history: list[dict[str, Any]] = []
        self.addresses: dict[str, str] = {}
        for name in self.names:
            home = folder / name
            home.mkdir()
            entries = []
            for at in range(instances):
                address = f"127.0.0.1:{ports.pop()}"
                self.addresses[f"n{at}@{name}"] = address
                command = json.dumps(
                    commands(name, f"n{at}", address)
                    if commands
                    else [sys.executable, "-S", "-m", "testkit.fakes.instance", address, "good"]
                )
                entries.append(
                    f'n{at}: {{command: {command}, listen: "{address}", stop_ms: {stop}, group: "pay"}}'
                )
            roll = json.dumps(
                commands(name, "{name}", "{listen}")
                if commands
                else [sys.executable, "-S", "-m", "testkit.fakes.instance", "{listen}", "good"]
            )
            crash = json.dumps([sys.executable, "-S", "-m", "testkit.fakes.instance", "{listen}", "crash"])
            seen_at = {
                other: self.links.address(name, other) if relays else f"127.0.0.1:{programs[other][1]}"
                for other in self.names
                if other != name
            }
            others = ", ".join(f'{other}: "{address}"' for other, address in seen_at.items())
            listen = f"127.0.0.1:{programs[name][1]}"
            (home / "fleet.vet").write_text(f"""version: 1
agent: {{
  socket: {json.dumps(str(home / "s"))}
  store: {json.dumps(str(home / "store"))}
  logs: {json.dumps(str(home / "logs"))}
  instances: {{
    {chr(10).join(entries)}
  }}
  versions: {{v2: {roll}, v3: {roll}, bad: {crash}}}
  peers: {{fleet: "pay", name: "{name}", listen: "{listen}", agents: {{{name}: "{listen}", {others}}}}}
}}
""")

    # -- agents

    def told(self, event: str, **fields: Any) -> None:
        self.history.append({"at": time.time(), "event": event, **fields})

    def path(self, name: str) -> str:
        return str(self.folder / name / "s")

    def begin(self, *names: str) -> "ProcessCluster":
        for name in names or self.names:
            home = self.folder / name
            command = [
                sys.executable,
                "-m",
                "vetchford",
                "--log-form",
                "json",
                "agent",
                "--with",
                str(home / "fleet.vet"),
            ]
            with (home / "agent.log").open("a") as log:
                self.running[name] = subprocess.Popen(
                    command,
                    cwd=ROOT,
                    stderr=log,
                    env={**os.environ, "VETCHFORD_CLOCK": self.clocks.get(name, "")},
                )
            self.told("agent_begun", agent=name)
        for name in names or self.names:
            self.until(lambda name=name: self.answers(name), 20.0, f"{name} does not answer")
        return self

    def answers(self, name: str) -> bool:
        if self.running[name].poll() is not None:
            raise RuntimeError(f"{name} ended: {(self.folder / name / 'agent.log').read_text()[-2000:]}")
        try:
            ask(self.path(name), {"ask": "status"}, 1.0)
        except UnreachableError:
            return False
        return True

    def until(self, holds: Any, seconds: float, what: str = "") -> None:
        end = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end:
                raise AssertionError(f"not within {seconds} s: {what}")
            time.sleep(0.05)

    def kill(self, name: str) -> None:
        self.told("agent_killed", agent=name)
        self.running[name].kill()
        self.running[name].wait()
        del self.running[name]

    def freeze(self, name: str) -> None:
        self.told("agent_frozen", agent=name)
        os.kill(self.running[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        os.kill(self.running[name].pid, signal.SIGCONT)
        self.told("agent_thawed", agent=name)

    def copy_store(self, name: str) -> None:
        """Of an agent that does not run: its store as it is, to be put back later."""
        for part in ("store", "store-wal", "store-shm"):
            kept = self.folder / name / part
            if kept.exists():
                shutil.copyfile(kept, self.folder / name / (part + ".old"))

    def old_store(self, name: str) -> None:
        for part in ("store", "store-wal", "store-shm"):
            kept = self.folder / name / part
            kept.unlink(missing_ok=True)
            if (self.folder / name / (part + ".old")).exists():
                shutil.copyfile(self.folder / name / (part + ".old"), kept)

    # -- what is asked

    def ask(self, name: str, request: dict[str, Any], waits: float = 10.0) -> dict[str, Any]:
        return ask(self.path(name), {"ask": "across", "request": request}, waits)

    def peers(self, name: str) -> dict[str, Any]:
        return self.ask(name, {"ask": "peers"}, 2.0)

    def driver(self, among: list[str] | None = None) -> str:
        """Who drives, as itself says; empty for nobody."""
        for name in among or self.names:
            if name in self.running:
                try:
                    if self.peers(name)["book"]["role"] == "drives":
                        return name
                except UnreachableError:
                    continue
        return ""

    def driven(self, among: list[str] | None = None, seconds: float = 25.0) -> str:
        self.until(lambda: self.driver(among), seconds, "nobody drives")
        return self.driver(among)

    def change(
        self, name: str, id: str, kind: str, targets: list[str] | None = None, **terms: Any
    ) -> dict[str, Any]:
        change = {
            "id": id,
            "kind": kind,
            "targets": targets or list(self.addresses),
            "version": "",
            "batch": 1,
            "floor": 0,
            "spacing": 0.0,
            "soak": 200.0,
            "on_failure": "pause",
            **terms,
        }
        return self.ask(name, {"ask": "span", "change": change})

    def find(self, id: str, among: list[str] | None = None) -> dict[str, Any]:
        """The newest that anybody tells of it."""
        found: list[dict[str, Any]] = []
        for name in among or self.names:
            if name in self.running:
                try:
                    answer = self.ask(name, {"ask": "find", "id": id}, 2.0)
                except UnreachableError:
                    continue
                found += [answer] if "state" in answer else []
        return max(found, key=lambda one: (one["term"], one["revision"]), default={"state": "", "steps": {}})

    def ended(
        self, id: str, seconds: float, states: tuple[str, ...] = ("finished", "broken", "aborted")
    ) -> dict[str, Any]:
        try:
            self.until(lambda: self.find(id)["state"] in states, seconds)
        except AssertionError:
            raise AssertionError(f"{id} is {self.find(id)}") from None
        return self.find(id)

    def up(self) -> None:
        self.until(lambda: "refused" not in self.change(self.names[0], "up", "start", batch=100), 30.0, "up")
        self.ended("up", 30.0, ("finished",))

    def table(self) -> dict[str, list[int]]:
        """The process table: instances by name, with their numbers."""
        out: dict[str, list[int]] = {}
        for name in self.names:
            for instance, several in self.found(name).items():
                out[f"{instance}@{name}"] = [process.pid for process, _ in several]
                for process, _ in several:
                    os.close(process.pidfd)
        return out

    def found(self, name: str) -> dict[str, Any]:
        store = Store(str(self.folder / name / "store"))
        token = next((body["token"] for kind, _, body in store.records() if kind == "agent"), "")
        store.close()
        return supervisor.find_processes(token) if token else {}

    def end(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()
        for name in self.names:
            for several in self.found(name).values():
                for process, _ in several:
                    process.signal(signal.SIGKILL)
                    os.close(process.pidfd)
        self.links.close()

    def __enter__(self) -> "ProcessCluster":
        return self

    def __exit__(self, *problem: Any) -> None:
        self.end()

    # -- one history

    def events(self) -> list[dict[str, Any]]:
        """Ours and all that the agents logged, in order of time: one machine, one clock."""
        out = list(self.history)
        for name in self.names:
            for line in (self.folder / name / "agent.log").read_text().splitlines():
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                at = datetime.datetime.fromisoformat(
                    entry.pop("timestamp").replace("Z", "+00:00")
                ).timestamp()
                out.append({**entry, "at": at, "agent": name})
        return sorted(out, key=lambda entry: entry["at"])


def wrong(events: list[dict[str, Any]], floor: int) -> list[str]:
    """What the history shows against the promises: fencing, one driver a term, the floor."""
    found: list[str] = []
    newest: dict[str, int] = {}
    drivers: dict[int, str] = {}
    serving: set[str] = set()
    fallen: list[float] = []  # when one fell by itself: nobody can know of it at once
    for entry in events:
        event, agent = entry["event"], entry.get("agent", "")
        if event == "leader_elected":
            if drivers.setdefault(entry["term"], agent) != agent:
                found.append(f"two drive under term {entry['term']}")
        elif event == "order_accepted":
            if entry["term"] < newest.get(agent, 0):
                found.append(f"{agent} obeyed term {entry['term']} after {newest[agent]}")
            newest[agent] = max(entry["term"], newest.get(agent, 0))
            if drivers.get(entry["term"], entry["driver"]) != entry["driver"]:
                found.append(f"an order of {entry['driver']} under another's term {entry['term']}")
        elif event == "instance_state_changed":
            key = f"{entry['instance']}@{agent}"
            if entry["now"] == "serving":
                serving.add(key)
            elif entry["now"] == "draining" and key in serving:
                serving.discard(key)
                late = sum(entry["at"] - at <= LATE for at in fallen)
                if "change" in entry["why"] and len(serving) + late < floor:
                    found.append(
                        f"{key} taken out with {len(serving)} others serving, floor {floor}: {entry['why']}"
                    )
            elif entry["now"] not in ("serving", "draining") and entry["why"] != "adopted" and key in serving:
                serving.discard(key)
                fallen.append(entry["at"])
    return found


class Script:
    """A schedule of faults: drawn before anything runs, so that the same seed is the same script."""

    KINDS = (
        "cut",
        "one_way",
        "stall",
        "slow",
        "lose",
        "double",
        "reorder",
        "torn",
        "freeze",
        "kill",
        "old_store",
    )

    def __init__(self, names: list[str], seed: int, seconds: float, count: int) -> None:
        chance = random.Random(seed)
        self.clocks = {
            name: f"{chance.uniform(-86_400.0, 86_400.0):.3f} {chance.uniform(0.9, 1.1):.4f}"
            for name in names
        }
        self.steps = []
        for at in sorted(chance.uniform(0.0, seconds) for _ in range(count)):
            kind, name = chance.choice(self.KINDS), chance.choice(names)
            side = {name, *(other for other in names if chance.random() < 0.25)}
            self.steps.append((at, kind, name, side, chance.uniform(0.5, 5.0)))

    def play(self, rig: ProcessCluster) -> dict[str, int]:
        """Runs it to its end and heals everything; how often each fault was brought about."""
        begun, heals, count = time.monotonic(), [], {}
        lost: set[str] = set()
        todo = [(at, self.do, step) for at, *step in self.steps]
        while todo or heals:
            todo.sort(key=lambda one: one[0])
            heals.sort(key=lambda one: one[0])
            at, act, given = (heals if heals and (not todo or heals[0][0] <= todo[0][0]) else todo).pop(0)
            time.sleep(max(0.0, begun + at - time.monotonic()))
            act(rig, at, heals, count, lost, *given)
        rig.links.heal()
        return count

    def do(
        self,
        rig: ProcessCluster,
        at: float,
        heals: list,
        count: dict[str, int],
        lost: set[str],
        kind: str,
        name: str,
        side: set[str],
        lasts: float,
    ) -> None:
        if kind in ("freeze", "kill", "old_store"):
            if name not in rig.running or any(name == step[2][0] for step in heals):
                return
            if kind == "old_store" and 2 * len(lost | {name}) >= len(rig.names):
                kind = "kill"  # a majority that lost its stores is a test of its own
            if kind == "freeze":
                rig.freeze(name)
            else:
                rig.kill(name)
                if kind == "old_store":
                    lost.add(name)
                    rig.copy_store(name) if not (rig.folder / name / "store.old").exists() else rig.old_store(
                        name
                    )
            heals.append((at + lasts, self.undo, (name, kind)))
        else:
            rig.told(kind, side=sorted(side))
            links = rig.links.between(side) if kind == "cut" else rig.links.of(name)
            if kind == "one_way":
                links = [link for link in links if link.source == name]
            rig.links.fault(kind, links)
            heals.append((at + lasts, self.mend, (links,)))
        count[kind] = count.get(kind, 0) + 1

    def undo(
        self, rig: ProcessCluster, at: float, heals: list, count: dict, lost: set, name: str, kind: str
    ) -> None:
        rig.thaw(name) if kind == "freeze" else rig.begin(name)

    def mend(self, rig: ProcessCluster, at: float, heals: list, count: dict, lost: set, links: list) -> None:
        rig.links.fault("heal", links)
