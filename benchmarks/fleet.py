"""A rollout over twenty servers under load, with an agent that is killed repeatedly and two frozen servers.

Usage: python -m benchmarks.fleet [--quick]

Each server has a fake worker pool and a load of sixteen requests a second, a third of them with an
idempotency key. Two servers are frozen (SIGSTOP) when the rollout begins, so that they do not drain and are
killed at their stop time. All processes run on one machine and connect over loopback.
"""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

from benchmarks.pools import CLIENT_TIMEOUT_MS, LATENCY_OBJECTIVE_MS, settings
from testkit.fakes import worker_pool
from testkit.fakes.fake_process import FakeProcess
from testkit.fakes.load_generator import LoadGenerator, TrafficClass
from vetchford.fleet import supervisor
from vetchford.fleet.agent_client import send_request
from vetchford.fleet.health_checker import is_ready
from vetchford.fleet.history_store import Store

COUNT, BATCH, MINIMUM_AVAILABLE = 20, 4, 12  # instances
FROZEN = (5, 13)  # numbers of the frozen instances
FIRST_PORT = 21_000
LAST_PORT = 29_000
POOL_CORES = 2.0
SERVER_STOP_MS = 3200
START_ATTEMPTS = 500
START_POLL_S = 0.02
LOG_TAIL_CHARACTERS = 2000
ROLLOUT_POLL_S = 0.05
KILLS, QUICK_KILLS = 30, 5
KILL_SEED = 11
MIN_KILL_GAP_S = 0.1
MAX_KILL_GAP_S = 1.0
LOAD_S, QUICK_LOAD_S = 75.0, 20.0
CONNECTIONS_PER_SERVER = 4
START_SOAK_MS = 100.0
SOAK_MS, QUICK_SOAK_MS = 5000.0, 300.0
START_TIMEOUT_S = 30.0
ROLLOUT_TIMEOUT_S = 60.0
LOAD_START_DELAY_S = 0.5
ROLLOUT_START_DELAY_S = 1.5  # the load has begun
MINIMUM_POLL_S = 0.05
STATUS_REQUESTS = 30
MS_PER_S = 1000.0
TRAFFIC = [TrafficClass("session-check", 11.0, 10.0), TrafficClass("charge", 5.0, 30.0, 0, True)]
ROOT = pathlib.Path(__file__).parent.parent


def free_ports(count: int) -> list[int]:
    """Return `count` unused ports below the ephemeral range, so that no outgoing connection takes one.

    Raises:
        RuntimeError: fewer than `count` ports are unused.
    """
    found = []
    for port in range(FIRST_PORT, LAST_PORT):
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) != 0:
                found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError(f"only {len(found)} of {count} ports are free between {FIRST_PORT} and {LAST_PORT}")


def write_configuration(folder: pathlib.Path, ports: list[int], pool_ports: list[int]) -> None:
    """Write the configurations of the servers and of the agent."""
    server_settings, entries = settings(), []
    server_settings["familyInfo"]["below"] = "silent"
    for number, port in enumerate(ports):
        config = folder / f"n{number:02}.json"
        config.write_text(
            json.dumps(
                {
                    "name": f"n{number:02}",
                    "listen": f"127.0.0.1:{port}",
                    "pool": f"127.0.0.1:{pool_ports[number]}",
                    "records": "127.0.0.1:9",
                    "members": "127.0.0.1:9",
                    "seed": f"{number + 1:x}",
                    "stop_ms": SERVER_STOP_MS,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128},
                    "settings": server_settings,
                }
            )
        )
        command = json.dumps([sys.executable, "-O", "-m", "vetchford", "serve", "--config", str(config)])
        entries.append(f'n{number:02}: {{command: {command}, listen: "127.0.0.1:{port}", stop_ms: 3500ms}}')
    next_version = json.dumps(
        [sys.executable, "-O", "-m", "vetchford", "serve", "--config", str(folder / "{name}.json")]
    )
    (folder / "fleet.vet").write_text(
        "\n".join(
            [
                "version: 1",
                "agent: {",
                f'socket: "{folder}/s"',
                f'store: "{folder}/store"',
                f'logs: "{folder}/logs"',
                "instances: {",
                *entries,
                "}",
                f"versions: v2: {next_version}",
                "}",
            ]
        )
    )


class Agent:
    """An agent process."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Create the agent of the configuration in `folder` without starting it."""
        self.folder, self.path, self.process = folder, f"{folder}/s", None

    def start(self) -> None:
        """Start the agent and wait until it answers.

        Raises:
            RuntimeError: the agent does not answer in time; the message is the end of its log.
        """
        command = [sys.executable, "-m", "vetchford", "agent", "--with", str(self.folder / "fleet.vet")]
        with (self.folder / "agent.log").open("a") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stderr=log)
        for _ in range(START_ATTEMPTS):
            try:
                return send_request(self.path, {"ask": "status"})
            except Exception:
                time.sleep(START_POLL_S)
        raise RuntimeError((self.folder / "agent.log").read_text()[-LOG_TAIL_CHARACTERS:])

    def kill(self) -> None:
        """Kill the agent; its instances keep running."""
        self.process.kill()
        self.process.wait()

    def wait_for_rollout(self, id: str, timeout_s: float) -> dict[str, Any]:
        """Wait until a rollout has ended or is paused, at most `timeout_s`, and return its record."""
        deadline = time.monotonic() + timeout_s
        while (rollout := send_request(self.path, {"ask": "find", "id": id}))["state"] in ("running", "back"):
            if time.monotonic() > deadline:
                break
            time.sleep(ROLLOUT_POLL_S)
        return rollout


def main() -> int:
    """Run the benchmark and return the exit status."""
    quick = "--quick" in sys.argv
    kills, rng = (QUICK_KILLS if quick else KILLS), random.Random(KILL_SEED)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        pools = FakeProcess(worker_pool.serve_many, COUNT, POOL_CORES)
        ports = free_ports(COUNT)
        write_configuration(folder, ports, pools.ports)
        agent = Agent(folder)
        agent.start()
        names = [f"n{number:02}" for number in range(COUNT)]
        try:
            return measure(agent, names, ports, pools, kills, rng, quick)
        finally:
            agent.kill()
            store = Store(str(folder / "store"))
            token = next(body["token"] for kind, _, body in store.records() if kind == "agent")
            for processes in supervisor.find_processes(token).values():
                for process, _ in processes:
                    process.signal(signal.SIGKILL)


def measure(
    agent: Agent,
    names: list[str],
    ports: list[int],
    pools: FakeProcess,
    kills: int,
    rng: random.Random,
    quick: bool,
) -> int:
    """Start all instances, run the rollout under load, print the figures and return the exit status."""
    start = {"id": "up", "kind": "start", "targets": names, "batch": COUNT, "soak": START_SOAK_MS}
    send_request(agent.path, {"ask": "change", **start})
    agent.wait_for_rollout("up", START_TIMEOUT_S)
    seconds = QUICK_LOAD_S if quick else LOAD_S
    loads = [
        LoadGenerator(
            port,
            TRAFFIC,
            seconds,
            LATENCY_OBJECTIVE_MS,
            CLIENT_TIMEOUT_MS,
            seed=number,
            connections=CONNECTIONS_PER_SERVER,
        )
        for number, port in enumerate(ports)
    ]
    load_starts_at_s = time.time() + LOAD_START_DELAY_S
    threads = [threading.Thread(target=load.run, args=(load_starts_at_s,)) for load in loads]
    min_serving, has_ended = [COUNT], threading.Event()

    def watch_minimum() -> None:
        while not has_ended.is_set():
            min_serving[0] = min(
                min_serving[0],
                sum(
                    is_ready(f"127.0.0.1:{port}") for number, port in enumerate(ports) if number not in FROZEN
                ),
            )
            time.sleep(MINIMUM_POLL_S)

    for thread in threads:
        thread.start()
    time.sleep(ROLLOUT_START_DELAY_S)
    watcher = threading.Thread(target=watch_minimum)
    watcher.start()
    before = {
        instance["name"]: instance for instance in send_request(agent.path, {"ask": "status"})["instances"]
    }
    for number in FROZEN:
        os.kill(before[names[number]]["pid"], signal.SIGSTOP)
    roll = {
        "ask": "change",
        "id": "roll",
        "kind": "roll",
        "targets": names,
        "version": "v2",
        "batch": BATCH,
        "floor": MINIMUM_AVAILABLE,
        "soak": QUICK_SOAK_MS if quick else SOAK_MS,
        "on_failure": "go_on",
    }
    send_request(agent.path, roll)
    killed = killed_while_running = 0
    while killed < kills:
        time.sleep(rng.uniform(MIN_KILL_GAP_S, MAX_KILL_GAP_S))
        killed_while_running += send_request(agent.path, {"ask": "find", "id": "roll"})["state"] == "running"
        agent.kill()
        killed += 1
        agent.start()
        send_request(agent.path, roll)  # a repeated request with the same id
    ended = agent.wait_for_rollout("roll", ROLLOUT_TIMEOUT_S)
    has_ended.set()
    for thread in (*threads, watcher):
        thread.join()
    status = {
        instance["name"]: instance for instance in send_request(agent.path, {"ask": "status"})["instances"]
    }
    token = next(
        body["token"] for kind, _, body in Store(f"{agent.folder}/store").records() if kind == "agent"
    )
    process_table = {
        name: [process.pid for process, _ in processes]
        for name, processes in supervisor.find_processes(token).items()
    }
    violations = {violation for load in loads for violation in load.violations}
    response_times_s = []
    for _ in range(STATUS_REQUESTS):
        started_at_s = time.monotonic()
        send_request(agent.path, {"ask": "status"})
        response_times_s.append(time.monotonic() - started_at_s)
    ran = pools.stop()["ran"]
    killed_servers = {names.index(name) for name in ended["killed"]}
    lost = sum(len(load.lost) for number, load in enumerate(loads) if number not in killed_servers)
    figures = {
        "instances": COUNT,
        "agent_killed": killed,
        "while_rolling": killed_while_running,
        "change": ended["state"],
        "why": ended["why"],
        "killed_at_stop_time": ended["killed"],
        "known_states": sum(instance["state"] == "serving" for instance in status.values()),
        "matches_process_table": process_table
        == {name: [instance["pid"]] for name, instance in status.items()},
        "new_version": sum(instance["version"] == "v2" for instance in status.values()),
        "least_serving": min_serving[0],
        "floor": MINIMUM_AVAILABLE,
        "tried": sum(counts.sent - counts.unsent for load in loads for counts in load.counts.values()),
        "served": sum(counts.in_time + counts.late for load in loads for counts in load.counts.values()),
        "lost": lost,
        "lost_with_killed": sum(len(loads[number].lost) for number in killed_servers),
        "broken": sum(len(load.violations) for load in loads),
        "what": sorted(violations)[:4],
        "ran_twice": sum(count > 1 for count in ran.values()),
        "status_median_ms": round(sorted(response_times_s)[STATUS_REQUESTS // 2] * MS_PER_S, 2),
        "quick": quick,
    }
    is_good = (
        ended["state"] == "finished"
        and figures["matches_process_table"]
        and figures["new_version"] == COUNT
        and figures["known_states"] == COUNT
        and min_serving[0] >= MINIMUM_AVAILABLE
        and not lost
        and not figures["ran_twice"]
        and not figures["broken"]
        and set(ended["killed"]) <= {names[number] for number in FROZEN}
    )
    print(json.dumps({"good": is_good, **figures}))
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
