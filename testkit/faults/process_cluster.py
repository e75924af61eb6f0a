"""A cluster of agent processes with links that a test can break, and one history of all events."""

import datetime
import functools
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any, Self

from testkit.faults.cluster import PROJECT_ROOT, Cluster, free_ports
from testkit.faults.relay import Links
from vetchford.fleet import supervisor
from vetchford.fleet.agent_client import UnreachableError, send_request
from vetchford.fleet.history_store import Store

InstanceCommand = Callable[[str, str, str], list[str]]
"""Returns the command of an instance from its agent, name and address."""

FINAL_STATES = ("finished", "broken", "aborted")
STORE_FILES = ("store", "store-wal", "store-shm")
SAVED_SUFFIX = ".old"

START_TIMEOUT_S = 20.0
ELECTION_TIMEOUT_S = 25.0
ROLLOUT_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 10.0
QUICK_REQUEST_TIMEOUT_S = 2.0
STATUS_TIMEOUT_S = 1.0
LOG_TAIL_CHARACTERS = 2000
START_BATCH = 100
"""More than the instances of any cluster, so that all are started at once."""


def _fake_instance(behaviour: str) -> InstanceCommand:
    def command(agent: str, instance: str, address: str) -> list[str]:
        return [sys.executable, "-S", "-m", "testkit.fakes.instance", address, behaviour]

    return command


class ProcessCluster(Cluster):
    """A fleet of agents and their instances."""

    def __init__(
        self,
        folder: pathlib.Path,
        agents: int = 3,
        instances: int = 2,
        seed: int = 1,
        commands: InstanceCommand | None = None,
        stop: str = "1s",
        relays: bool = True,
    ) -> None:
        """Write the configurations without starting an agent.

        Args:
            folder: has a directory for each agent, with its configuration, store and logs.
            agents: number of agents, named a0, a1, ...
            instances: number of instances of each agent, named n0, n1, ...
            seed: determines which datagrams are lost.
            commands: returns the command of an instance; by default `testkit.fakes.instance`.
            stop: `stop_ms` of the instances.
            relays: whether agents connect through relays; links without relays cannot be broken.
        """
        super().__init__(folder, [f"a{n}" for n in range(agents)])
        self.seed = seed
        self.commands = commands or _fake_instance("good")
        self.stop = stop
        self.ports = free_ports(agents * (instances + 1))
        self.programs = {name: ("127.0.0.1", self.ports.pop()) for name in self.names}
        self.links = Links(self.programs if relays else {}, seed)
        self.clocks: dict[str, str] = {}
        """Offset and rate of each agent's clock, applied when the agent starts; see `runtime/clock.py`."""
        self.history: list[dict[str, Any]] = []
        self.addresses: dict[str, str] = {}
        """Instance addresses by `instance@agent`."""
        for name in self.names:
            self._write_configuration(name, instances, relays)

    # -- configuration

    def _write_configuration(self, name: str, instances: int, relays: bool) -> None:
        home = self.folder / name
        home.mkdir()
        entries = [self._instance_entry(name, f"n{number}") for number in range(instances)]
        next_version = json.dumps(self.commands(name, "{name}", "{listen}"))
        crashing = json.dumps(_fake_instance("crash")(name, "{name}", "{listen}"))
        others = ", ".join(self._peer_entry(name, other, relays) for other in self.names if other != name)
        listen = f"127.0.0.1:{self.programs[name][1]}"
        (home / "fleet.vet").write_text(f"""version: 1
agent: {{
  socket: {json.dumps(str(home / "s"))}
  store: {json.dumps(str(home / "store"))}
  logs: {json.dumps(str(home / "logs"))}
  instances: {{
    {chr(10).join(entries)}
  }}
  versions: {{v2: {next_version}, v3: {next_version}, bad: {crashing}}}
  peers: {{fleet: "pay", name: "{name}", listen: "{listen}", agents: {{{name}: "{listen}", {others}}}}}
}}
""")

    def _instance_entry(self, agent: str, instance: str) -> str:
        address = f"127.0.0.1:{self.ports.pop()}"
        self.addresses[f"{instance}@{agent}"] = address
        command = json.dumps(self.commands(agent, instance, address))
        return f'{instance}: {{command: {command}, listen: "{address}", stop_ms: {self.stop}, group: "pay"}}'

    def _peer_entry(self, agent: str, other: str, relays: bool) -> str:
        direct = f"127.0.0.1:{self.programs[other][1]}"
        address = self.links.address(agent, other) if relays else direct
        return f'{other}: "{address}"'

    # -- agents

    def socket_path(self, name: str) -> str:
        """Return the path of the Unix socket on which an agent answers requests."""
        return str(self.folder / name / "s")

    def start(self, *names: str) -> Self:
        """Start these agents, by default all, and wait until they answer."""
        for name in names or self.names:
            self._start_agent(name)
        for name in names or self.names:
            self.wait_until(
                functools.partial(self._is_answering, name), START_TIMEOUT_S, f"agent {name} does not answer"
            )
        return self

    def _start_agent(self, name: str) -> None:
        home = self.folder / name
        command = [sys.executable, "-m", "vetchford", "--log-form", "json", "agent"]
        command += ["--with", str(home / "fleet.vet")]
        environment = {**os.environ, "VETCHFORD_CLOCK": self.clocks.get(name, "")}
        with (home / "agent.log").open("a") as log:
            process = subprocess.Popen(command, cwd=PROJECT_ROOT, stderr=log, env=environment)
        self.running[name] = process
        self.record_event("agent_begun", agent=name)

    def _is_answering(self, name: str) -> bool:
        if self.running[name].poll() is not None:
            log = (self.folder / name / "agent.log").read_text()
            raise RuntimeError(f"agent {name} exited before it answered: {log[-LOG_TAIL_CHARACTERS:]}")
        try:
            send_request(self.socket_path(name), {"ask": "status"}, STATUS_TIMEOUT_S)
        except UnreachableError:
            return False
        return True

    def kill(self, name: str) -> None:
        """Kill an agent; its instances keep running."""
        self.record_event("agent_killed", agent=name)
        super().kill(name)

    def freeze(self, name: str) -> None:
        """Suspend an agent (SIGSTOP)."""
        self.record_event("agent_frozen", agent=name)
        super().freeze(name)

    def thaw(self, name: str) -> None:
        """Resume a frozen agent (SIGCONT)."""
        super().thaw(name)
        self.record_event("agent_thawed", agent=name)

    def has_saved_store(self, name: str) -> bool:
        """Return whether a saved store of the agent exists."""
        return (self.folder / name / ("store" + SAVED_SUFFIX)).exists()

    def save_store(self, name: str) -> None:
        """Save the store of a stopped agent for `restore_store`."""
        for part in STORE_FILES:
            current = self.folder / name / part
            if current.exists():
                shutil.copyfile(current, self.folder / name / (part + SAVED_SUFFIX))

    def restore_store(self, name: str) -> None:
        """Replace the agent's store by the saved one, as restoring a backup does."""
        for part in STORE_FILES:
            current = self.folder / name / part
            current.unlink(missing_ok=True)
            saved = self.folder / name / (part + SAVED_SUFFIX)
            if saved.exists():
                shutil.copyfile(saved, current)

    # -- requests

    def ask(self, name: str, request: dict[str, Any], timeout_s: float = REQUEST_TIMEOUT_S) -> dict[str, Any]:
        """Return an agent's reply to a request about the fleet.

        Raises:
            UnreachableError: the agent did not reply within `timeout_s`.
        """
        return send_request(self.socket_path(name), {"ask": "across", "request": request}, timeout_s)

    def peers(self, name: str) -> dict[str, Any]:
        """Return an agent's view of the other agents and of the replicated record."""
        return self.ask(name, {"ask": "peers"}, QUICK_REQUEST_TIMEOUT_S)

    def leader(self, among: list[str] | None = None) -> str:
        """Return the agent that reports itself as leader; empty if there is none."""
        for name in among or self.names:
            if name in self.running and self._leads(name):
                return name
        return ""

    def _leads(self, name: str) -> bool:
        try:
            return bool(self.peers(name)["book"]["role"] == "drives")
        except UnreachableError:
            return False

    def wait_for_leader(self, among: list[str] | None = None, timeout_s: float = ELECTION_TIMEOUT_S) -> str:
        """Wait until an agent leads and return it."""
        self.wait_until(lambda: self.leader(among), timeout_s, "no agent leads")
        return self.leader(among)

    def request_rollout(
        self, name: str, id: str, kind: str, targets: list[str] | None = None, **fields: Any
    ) -> dict[str, Any]:
        """Ask an agent for a fleet rollout and return its reply.

        Args:
            name: the agent.
            id: of the rollout; a repeated request with the same id is allowed.
            kind: start, stop, restart or roll.
            targets: instances as `instance@agent`; by default all.
            fields: fields of the request that replace the defaults below.
        """
        rollout = {
            "id": id,
            "kind": kind,
            "targets": targets or list(self.addresses),
            "version": "",
            "batch": 1,
            "floor": 0,
            "spacing": 0.0,
            "soak": 200.0,
            "on_failure": "pause",
            **fields,
        }
        return self.ask(name, {"ask": "span", "change": rollout})

    def find_rollout(self, id: str, among: list[str] | None = None) -> dict[str, Any]:
        """Return the newest record of a rollout on any agent; its state is empty if no agent has one."""
        found: list[dict[str, Any]] = []
        for name in among or self.names:
            if name not in self.running:
                continue
            try:
                answer = self.ask(name, {"ask": "find", "id": id}, QUICK_REQUEST_TIMEOUT_S)
            except UnreachableError:
                continue
            if "state" in answer:
                found.append(answer)
        return max(
            found, key=lambda record: (record["term"], record["revision"]), default={"state": "", "steps": {}}
        )

    def wait_for_rollout(
        self, id: str, timeout_s: float, states: tuple[str, ...] = FINAL_STATES
    ) -> dict[str, Any]:
        """Wait until a rollout is in one of these states and return its record."""
        try:
            self.wait_until(lambda: self.find_rollout(id)["state"] in states, timeout_s)
        except AssertionError:
            raise AssertionError(
                f"rollout {id} not in {states} within {timeout_s} s: {self.find_rollout(id)}"
            ) from None
        return self.find_rollout(id)

    def start_instances(self) -> None:
        """Start all instances by a rollout and wait until it has finished."""
        self.wait_until(self._accepts_start, ROLLOUT_TIMEOUT_S, "up")
        self.wait_for_rollout("up", ROLLOUT_TIMEOUT_S, ("finished",))

    def _accepts_start(self) -> bool:
        return "refused" not in self.request_rollout(self.names[0], "up", "start", batch=START_BATCH)

    # -- processes of instances

    def process_table(self) -> dict[str, list[int]]:
        """Return the process ids of each running instance, by `instance@agent`."""
        table: dict[str, list[int]] = {}
        for name in self.names:
            for instance, processes in self.find_processes(name).items():
                table[f"{instance}@{name}"] = [process.pid for process, _ in processes]
                for process, _ in processes:
                    os.close(process.pidfd)
        return table

    def find_processes(self, name: str) -> dict[str, list[supervisor.FoundProcess]]:
        """Return the processes of an agent's instances, by instance; the caller closes their `pidfd`."""
        store = Store(str(self.folder / name / "store"))
        token = next((body["token"] for kind, _, body in store.records() if kind == "agent"), "")
        store.close()
        return supervisor.find_processes(token) if token else {}

    def close(self) -> None:
        """Kill all agents and instances and close the links."""
        self.kill_all()
        for name in self.names:
            for processes in self.find_processes(name).values():
                for process, _ in processes:
                    process.signal(signal.SIGKILL)
                    os.close(process.pidfd)
        self.links.close()

    def __enter__(self) -> Self:
        """Return the cluster without starting a process."""
        return self

    def __exit__(self, *problem: object) -> None:
        """Close the cluster."""
        self.close()

    # -- history

    def record_event(self, event: str, **fields: Any) -> None:
        """Add an event of the test itself to the history."""
        self.history.append({"at": time.time(), "event": event, **fields})

    def events(self) -> list[dict[str, Any]]:
        """Return the events of the test and the log events of all agents, in order of time.

        Log timestamps of all agents come from the machine's clock, so that they can be compared.
        """
        events = list(self.history)
        for name in self.names:
            events += self._log_events(name)
        return sorted(events, key=lambda entry: entry["at"])

    def _log_events(self, name: str) -> list[dict[str, Any]]:
        entries = []
        for line in (self.folder / name / "agent.log").read_text().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            timestamp = entry.pop("timestamp").replace("Z", "+00:00")
            at = datetime.datetime.fromisoformat(timestamp).timestamp()
            entries.append({**entry, "at": at, "agent": name})
        return entries
