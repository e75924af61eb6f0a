"""A cluster of server processes of one fleet.

A test can break the links between the servers; all servers call one records service.
"""

import functools
import json
import pathlib
import re
import signal
import subprocess
import sys
from dataclasses import dataclass
from typing import Any, Self

from testkit.fakes import records_service, worker_pool
from testkit.fakes.fake_process import FakeProcess
from testkit.faults.cluster import PROJECT_ROOT, Cluster, free_ports
from testkit.faults.relay import Links

MAX_LEASE_SERVERS = 3
START_TIMEOUT_S = 30.0
DRAIN_TIMEOUT_S = 10.0
STOP_MS = 3200
WORKER_POOL_CORES = 2.0
LOG_LINE_CHARACTERS = 400
INTERNAL_ERRORS = re.compile(r"part_broke|must_hold_broken|Traceback|peer_malformed")
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 128}


@dataclass(frozen=True, slots=True)
class RecordsSpeed:
    """Number of calls that a records service executes at once, their duration, and how its speed changes.

    `factors` has steps (seconds from the start, factor of the full speed).
    """

    slots: int
    call_ms: float
    factors: list[tuple[float, float]]


class ServerCluster(Cluster):
    """A fleet of servers, each with a worker pool of its own."""

    def __init__(
        self,
        folder: pathlib.Path,
        count: int,
        settings: dict[str, Any],
        records_speed: RecordsSpeed,
        together: bool = True,
        seed: int = 1,
        pools_file: str = "",
        **fleet_settings: Any,
    ) -> None:
        """Start the fakes and write the configurations without starting a server.

        Args:
            folder: for configurations and logs.
            count: number of servers, named s0, s1, ...
            settings: platform settings of each server.
            records_speed: of the records service.
            together: whether the servers connect to each other.
            seed: determines which datagrams are lost.
            pools_file: configuration of bulkheads, if any.
            fleet_settings: keys of the record `together` besides names and addresses.
        """
        super().__init__(folder, [f"s{n}" for n in range(count)])
        self.settings = settings
        self.together = together
        self.pools_file = pools_file
        self.fleet_settings = fleet_settings
        self.lease_servers = self.names[:MAX_LEASE_SERVERS]
        folder.mkdir(exist_ok=True)
        ports = free_ports(2 * count)
        self.ports = {name: ports.pop() for name in self.names}
        self.programs = {name: ("127.0.0.1", ports.pop()) for name in self.names}
        self.links = Links(self.programs if together else {}, seed)
        self.worker_pools = FakeProcess(worker_pool.serve_many, count, WORKER_POOL_CORES)
        self.records_service = FakeProcess(
            records_service.serve, records_speed.slots, records_speed.call_ms, records_speed.factors
        )
        for number, name in enumerate(self.names):
            self._write_configuration(number, name)

    def _write_configuration(self, number: int, name: str) -> None:
        configuration = {
            "name": name,
            "listen": f"127.0.0.1:{self.ports[name]}",
            "pool": f"127.0.0.1:{self.worker_pools.ports[number]}",
            "records": self.records_service.address,
            "members": "127.0.0.1:9",
            "seed": f"{number + 1:x}5e",
            "stop_ms": STOP_MS,
            "limits": LIMITS,
            "settings": self.settings,
        }
        (self.folder / f"{name}.json").write_text(json.dumps(configuration))
        self.write_fleet_settings(name)

    def write_fleet_settings(self, name: str, **changed: Any) -> None:
        """Write the file for `--with`; a running server rereads the file on SIGHUP."""
        listen = f"127.0.0.1:{self.programs[name][1]}"
        servers = {
            other: self.links.address(name, other) if self.together and other != name else listen
            for other in self.names
        }
        record = {
            "fleet": "pay",
            "name": name,
            "listen": listen,
            "servers": servers,
            "keepers": self.lease_servers,
        }
        record |= self.fleet_settings
        record |= changed
        lines = [f"{key}: {json.dumps(value)}" for key, value in record.items()]
        (self.folder / f"{name}.vet").write_text("version: 1\ntogether: {\n" + "\n".join(lines) + "\n}\n")

    def start(self, *names: str) -> Self:
        """Start these servers, by default all, and wait until they accept requests."""
        for name in names or self.names:
            with (self.folder / f"{name}.log").open("a") as log:
                self.running[name] = subprocess.Popen(self._command(name), cwd=PROJECT_ROOT, stderr=log)
        for name in names or self.names:
            is_serving = functools.partial(self.events, "serving", name)
            self.wait_until(is_serving, START_TIMEOUT_S, f"server {name} does not serve")
        return self

    def _command(self, name: str) -> list[str]:
        command = [sys.executable, "-O", "-m", "vetchford", "--log-form", "json", "serve"]
        command += ["--config", str(self.folder / f"{name}.json")]
        if self.together:
            command += ["--with", str(self.folder / f"{name}.vet")]
        if self.pools_file:
            command += ["--with", self.pools_file]
        return command

    def events(self, event: str, *names: str) -> list[dict[str, Any]]:
        """Return the log entries of this event of these servers, by default all, in order of time."""
        found = []
        for name in names or self.names:
            for line in self._log_lines(name):
                if f'"{event}"' not in line:
                    continue
                entry = json.loads(line)
                if entry["event"] == event:
                    found.append({**entry, "server": name})
        return sorted(found, key=lambda entry: entry["timestamp"])

    def _log_lines(self, name: str) -> list[str]:
        path = self.folder / f"{name}.log"
        return path.read_text().splitlines() if path.exists() else []

    def stop(self, *names: str) -> None:
        """Drain these servers, by default all running ones, and check that each exits with status 0."""
        stopping = names or tuple(self.running)
        for name in stopping:
            self.running[name].send_signal(signal.SIGTERM)
        for name in stopping:
            assert self.running.pop(name).wait(DRAIN_TIMEOUT_S) == 0, f"server {name} failed to drain"

    def internal_errors(self) -> list[str]:
        """Return the log lines that report internal errors of servers."""
        return [
            line[:LOG_LINE_CHARACTERS]
            for name in self.names
            for line in (self.folder / f"{name}.log").read_text().splitlines()
            if INTERNAL_ERRORS.search(line)
        ]

    def __enter__(self) -> Self:
        """Return the cluster without starting a server."""
        return self

    def __exit__(self, *problem: object) -> None:
        """Kill the running servers, close the links and stop the fakes."""
        self.kill_all()
        self.links.close()
        for fake in (self.worker_pools, self.records_service):
            if fake.process.is_alive():
                fake.process.terminate()


def max_concurrent_leases(cluster: ServerCluster) -> int:
    """Return the largest number of leases held at once, according to the log events of all servers.

    All servers run on one machine, so that their log timestamps can be compared.
    """
    changes = [(entry["timestamp"], 1) for entry in cluster.events("lease_acquired")]
    for event in ("lease_released", "lease_lost"):
        changes += [(entry["timestamp"], -1) for entry in cluster.events(event)]
    held = maximum = 0
    for _, change in sorted(changes):
        held += change
        maximum = max(maximum, held)
    return maximum
