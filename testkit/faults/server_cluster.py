"""Several servers of one fleet in processes of their own, with links between them that break and one ledger
below.
"""

import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import time
from typing import Any

from testkit.fakes import records_service, worker_pool
from testkit.fakes.schedule import Apart
from testkit.faults.process_cluster import ROOT, free_ports
from testkit.faults.relay import Links


def most_at_once(several: "ServerCluster") -> int:
    """How many held a turn at once, by what they logged: one machine, one clock."""
    steps = [(entry["timestamp"], 1) for entry in several.events("lease_acquired")]
    steps += [
        (entry["timestamp"], -1)
        for event in ("lease_released", "lease_lost")
        for entry in several.events(event)
    ]
    inside = most = 0
    for _, step in sorted(steps):
        inside += step
        most = max(most, inside)
    return most


class ServerCluster:
    """`together`: whether they speak to each other; keys of the record `together` beside names and
    addresses.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        count: int,
        settings: dict[str, Any],
        slots: int,
        call: float,
        speed: list[tuple[float, float]],
        together: bool = True,
        cores: float = 2.0,
        seed: int = 1,
        pools_file: str = "",
        **told: Any,
    ) -> None:
        self.folder, self.names, self.told, self.settings = (
            folder,
            [f"s{n}" for n in range(count)],
            told,
            settings,
        )
        self.pools_file = pools_file
        self.together, self.keepers = together, [f"s{n}" for n in range(min(3, count))]
        folder.mkdir(exist_ok=True)
        ports = free_ports(2 * count)
        self.ports = {name: ports.pop() for name in self.names}
        programs = {name: ("127.0.0.1", ports.pop()) for name in self.names}
        self.links = Links(programs if together else {}, seed)
        self.programs = programs
        self.pools = Apart(worker_pool.serve_many, count, cores)
        self.ledger = Apart(records_service.serve, slots, call, speed)
        self.running: dict[str, subprocess.Popen] = {}
        for at, name in enumerate(self.names):
            self.write(at, name)

    def write(self, at: int, name: str) -> None:
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.ports[name]}",
            "pool": f"127.0.0.1:{self.pools.ports[at]}",
            "records": self.ledger.address,
            "members": "127.0.0.1:9",
            "seed": f"{at + 1:x}5e",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128},
            "settings": self.settings,
        }
        (self.folder / f"{name}.json").write_text(json.dumps(config))
        self.write_together(name)

    def write_together(self, name: str, **told: Any) -> None:
        """The file of `--with`; written anew for SIGHUP."""
        listen = f"127.0.0.1:{self.programs[name][1]}"
        seen_at = {
            other: self.links.address(name, other) if self.together and other != name else listen
            for other in self.names
        }
        record = {"fleet": "pay", "name": name, "listen": listen, "servers": seen_at, "keepers": self.keepers}
        lines = [f"{key}: {json.dumps(value)}" for key, value in (record | self.told | told).items()]
        (self.folder / f"{name}.vet").write_text("version: 1\ntogether: {\n" + "\n".join(lines) + "\n}\n")

    def begin(self, *names: str) -> "ServerCluster":
        for name in names or self.names:
            command = [sys.executable, "-O", "-m", "vetchford", "--log-form", "json", "serve"]
            command += ["--config", str(self.folder / f"{name}.json")]
            command += ["--with", str(self.folder / f"{name}.vet")] if self.together else []
            command += ["--with", self.pools_file] if self.pools_file else []
            with (self.folder / f"{name}.log").open("a") as log:
                self.running[name] = subprocess.Popen(command, cwd=ROOT, stderr=log)
        for name in names or self.names:
            self.until(lambda name=name: self.events("serving", name), 30.0, f"{name} does not serve")
        return self

    def until(self, holds: Any, seconds: float, what: str = "") -> None:
        end = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end:
                raise AssertionError(f"not within {seconds} s: {what}")
            time.sleep(0.05)

    def events(self, event: str, *names: str) -> list[dict[str, Any]]:
        """What was logged under that name, in order of time."""
        found = []
        for name in names or self.names:
            path = self.folder / f"{name}.log"
            for line in path.read_text().splitlines() if path.exists() else ():
                if f'"{event}"' in line:
                    entry = json.loads(line)
                    if entry["event"] == event:
                        found.append({**entry, "server": name})
        return sorted(found, key=lambda entry: entry["timestamp"])

    def kill(self, name: str) -> None:
        self.running[name].kill()
        self.running.pop(name).wait()

    def freeze(self, name: str) -> None:
        os.kill(self.running[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        os.kill(self.running[name].pid, signal.SIGCONT)

    def stop(self, *names: str) -> None:
        """Drains them; all must end with 0."""
        for name in names or list(self.running):
            self.running[name].send_signal(signal.SIGTERM)
        for name in names or list(self.running):
            assert self.running.pop(name).wait(10.0) == 0, name

    def broken(self) -> list[str]:
        """Lines of the logs that tell of our own mistakes."""
        return [
            line[:400]
            for name in self.names
            for line in (self.folder / f"{name}.log").read_text().splitlines()
            if re.search(r"part_broke|must_hold_broken|Traceback|peer_malformed", line)
        ]

    def __enter__(self) -> "ServerCluster":
        return self

    def __exit__(self, *problem: Any) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()
        self.links.close()
        for part in (self.pools, self.ledger):
            if part.process.is_alive():
                part.process.terminate()
