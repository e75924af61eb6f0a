"""A roll over twenty real servers under load, the agent killed again and again and some instances stalled.

Usage: python -m benchmarks.fleet [--quick]

Each server has a worker pool by time and a load of its own, sixteen tasks a second, a third of them keyed.
Two servers are frozen (SIGSTOP) when the roll begins, so that they hang in their drain and are killed at
their stop time. Scaled down: one machine, and all parts on loopback.
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

from benchmarks.pools import LIMIT, settings
from testkit.fakes import worker_pool
from testkit.fakes.fake_process import FakeProcess
from testkit.fakes.load_generator import LoadGenerator, TrafficClass
from vetchford.fleet import supervisor
from vetchford.fleet.agent_client import send_request
from vetchford.fleet.health_checker import is_ready
from vetchford.fleet.history_store import Store

COUNT, BATCH, FLOOR, FROZEN = 20, 4, 12, (5, 13)
ROOT = pathlib.Path(__file__).parent.parent


def free_ports(count: int) -> list[int]:
    """Below the range that the system hands out for outgoing connections, so that none of these takes one."""
    found = []
    for port in range(21_000, 29_000):
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) != 0:
                found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


def written(folder: pathlib.Path, ports: list[int], pools: list[int]) -> None:
    told, entries = settings(), []
    told["familyInfo"]["below"] = "silent"
    for at, port in enumerate(ports):
        config = folder / f"n{at:02}.json"
        config.write_text(
            json.dumps(
                {
                    "name": f"n{at:02}",
                    "listen": f"127.0.0.1:{port}",
                    "pool": f"127.0.0.1:{pools[at]}",
                    "records": "127.0.0.1:9",
                    "members": "127.0.0.1:9",
                    "seed": f"{at + 1:x}",
                    "stop_ms": 3200,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128},
                    "settings": told,
                }
            )
        )
        command = json.dumps([sys.executable, "-O", "-m", "vetchford", "serve", "--config", str(config)])
        entries.append(f'n{at:02}: {{command: {command}, listen: "127.0.0.1:{port}", stop_ms: 3500ms}}')
    roll = json.dumps(
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
                f"versions: v2: {roll}",
                "}",
            ]
        )
    )


class Agent:
    def __init__(self, folder: pathlib.Path) -> None:
        self.folder, self.path, self.process = folder, f"{folder}/s", None

    def begin(self) -> None:
        command = [sys.executable, "-m", "vetchford", "agent", "--with", str(self.folder / "fleet.vet")]
        with (self.folder / "agent.log").open("a") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stderr=log)
        for _ in range(500):
            try:
                return send_request(self.path, {"ask": "status"})
            except Exception:
                time.sleep(0.02)
        raise RuntimeError((self.folder / "agent.log").read_text()[-2000:])

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def wait(self, change: str, patience: float) -> dict[str, Any]:
        until = time.monotonic() + patience
        while (found := send_request(self.path, {"ask": "find", "id": change}))["state"] in (
            "running",
            "back",
        ):
            if time.monotonic() > until:
                break
            time.sleep(0.05)
        return found


def main() -> int:
    quick = "--quick" in sys.argv
    kills, chance = (5 if quick else 30), random.Random(11)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        pools = FakeProcess(worker_pool.serve_many, COUNT, 2.0)
        ports = free_ports(COUNT)
        written(folder, ports, pools.ports)
        agent = Agent(folder)
        agent.begin()
        names = [f"n{at:02}" for at in range(COUNT)]
        try:
            return measured(agent, names, ports, pools, kills, chance, quick)
        finally:
            agent.kill()
            store = Store(str(folder / "store"))
            token = next(body["token"] for kind, _, body in store.records() if kind == "agent")
            for several in supervisor.find_processes(token).values():
                for process, _ in several:
                    process.signal(signal.SIGKILL)


def measured(
    agent: Agent,
    names: list[str],
    ports: list[int],
    pools: FakeProcess,
    kills: int,
    chance: random.Random,
    quick: bool,
) -> int:
    started = {"id": "up", "kind": "start", "targets": names, "batch": COUNT, "soak": 100.0}
    send_request(agent.path, {"ask": "change", **started})
    agent.wait("up", 30.0)
    seconds = 20.0 if quick else 75.0
    flows = [TrafficClass("session-check", 11.0, 10.0), TrafficClass("charge", 5.0, 30.0, 0, True)]
    loads = [
        LoadGenerator(port, flows, seconds, 1800.0, LIMIT, seed=at, connections=4)
        for at, port in enumerate(ports)
    ]
    begin = time.time() + 0.5
    threads = [threading.Thread(target=load.run, args=(begin,)) for load in loads]
    least, over = [COUNT], threading.Event()

    def floor() -> None:
        while not over.is_set():
            least[0] = min(
                least[0],
                sum(is_ready(f"127.0.0.1:{port}") for at, port in enumerate(ports) if at not in FROZEN),
            )
            time.sleep(0.05)

    for thread in threads:
        thread.start()
    time.sleep(1.5)
    watcher = threading.Thread(target=floor)
    watcher.start()
    before = {one["name"]: one for one in send_request(agent.path, {"ask": "status"})["instances"]}
    for at in FROZEN:
        os.kill(before[names[at]]["pid"], signal.SIGSTOP)
    roll = {
        "ask": "change",
        "id": "roll",
        "kind": "roll",
        "targets": names,
        "version": "v2",
        "batch": BATCH,
        "floor": FLOOR,
        "soak": 300.0 if quick else 5000.0,
        "on_failure": "go_on",
    }
    send_request(agent.path, roll)
    killed = within = 0
    while killed < kills:
        time.sleep(chance.uniform(0.1, 1.0))
        within += send_request(agent.path, {"ask": "find", "id": "roll"})["state"] == "running"
        agent.kill()
        killed += 1
        agent.begin()
        send_request(agent.path, roll)  # the tool's command once more: the same change
    ended = agent.wait("roll", 60.0)
    over.set()
    for thread in (*threads, watcher):
        thread.join()
    status = {one["name"]: one for one in send_request(agent.path, {"ask": "status"})["instances"]}
    token = next(
        body["token"] for kind, _, body in Store(f"{agent.folder}/store").records() if kind == "agent"
    )
    table = {
        name: [process.pid for process, _ in several]
        for name, several in supervisor.find_processes(token).items()
    }
    wrong = {word for load in loads for word in load.violations}
    times = []
    for _ in range(30):
        began = time.monotonic()
        send_request(agent.path, {"ask": "status"})
        times.append(time.monotonic() - began)
    ran = pools.stop()["ran"]
    allowed = {names.index(name) for name in ended["killed"]}
    lost = sum(len(load.lost) for at, load in enumerate(loads) if at not in allowed)
    out = {
        "instances": COUNT,
        "agent_killed": killed,
        "while_rolling": within,
        "change": ended["state"],
        "why": ended["why"],
        "killed_at_stop_time": ended["killed"],
        "known_states": sum(one["state"] == "serving" for one in status.values()),
        "matches_process_table": table == {name: [one["pid"]] for name, one in status.items()},
        "new_version": sum(one["version"] == "v2" for one in status.values()),
        "least_serving": least[0],
        "floor": FLOOR,
        "tried": sum(tally.sent - tally.unsent for load in loads for tally in load.counts.values()),
        "served": sum(tally.in_time + tally.late for load in loads for tally in load.counts.values()),
        "lost": lost,
        "lost_with_killed": sum(len(loads[at].lost) for at in allowed),
        "broken": sum(len(load.violations) for load in loads),
        "what": sorted(wrong)[:4],
        "ran_twice": sum(count > 1 for count in ran.values()),
        "status_median_ms": round(sorted(times)[15] * 1000.0, 2),
        "quick": quick,
    }
    good = (
        ended["state"] == "finished"
        and out["matches_process_table"]
        and out["new_version"] == COUNT
        and out["known_states"] == COUNT
        and least[0] >= FLOOR
        and not lost
        and not out["ran_twice"]
        and not out["broken"]
        and set(ended["killed"]) <= {names[at] for at in FROZEN}
    )
    print(json.dumps({"good": good, **out}))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
