"""Agents at size: the membership view in virtual time, and one agent with 200 instances.

Usage: python -m benchmarks.agents [--quick]

Detection: from an agent's death to the moment at which all others see it as dead. False alarms: agents that
are alive and taken for dead, at 5 % of the messages lost and as many doubled. Then 200 stand-in instances on
this machine: the time of `status`, and what the agent holds. Scaled down: one machine, three sizes in a
quick run.
"""

import json
import pathlib
import sys
import tempfile
import time
from typing import Any

from benchmarks.fleet import Agent, free_ports
from testkit.simulation.network import Network
from vetchford.fleet import supervisor
from vetchford.fleet.agent_client import send_request
from vetchford.fleet.history_store import Store
from vetchford.fleet.membership import MemberState
from vetchford.fleet.process_table import read_memory_kb

INSTANCES = 200
STATUS = 0.3  # s at the median, by the aim


def detection(count: int, seed: int) -> float:
    """Seconds."""
    net = Network(count, seed)
    net.run(5_000.0)
    net.dead.add("a001")
    while net.views("a001") != {MemberState.UNREACHABLE} and net.now < 120_000.0:
        net.run(net.now + 250.0)
    return round((net.now - 5_000.0) / 1000.0, 2)


def false_alarms(count: int, seed: int, seconds: float) -> int:
    net = Network(count, seed, loss=0.05, doubled=0.05)
    net.run(seconds * 1000.0)
    return sum(state == MemberState.UNREACHABLE for _, _, _, state in net.state_changes)


def of_two_hundred(folder: pathlib.Path) -> dict[str, Any]:
    entries = []
    for at, port in enumerate(free_ports(INSTANCES)):
        address = f"127.0.0.1:{port}"
        command = json.dumps([sys.executable, "-S", "-m", "testkit.fakes.instance", address, "good"])
        entries.append(f'n{at:03}: {{command: {command}, listen: "{address}"}}')
    text = [
        "version: 1",
        "agent: {",
        f'socket: "{folder}/s"',
        f'store: "{folder}/store"',
        f'logs: "{folder}/logs"',
        "instances: {",
        *entries,
        "}",
        "}",
    ]
    (folder / "fleet.vet").write_text("\n".join(text))
    agent = Agent(folder)
    agent.begin()
    try:
        names = [one["name"] for one in send_request(agent.path, {"ask": "status"})["instances"]]
        began = time.monotonic()
        change = {"id": "up", "kind": "start", "targets": names, "batch": INSTANCES, "soak": 100.0}
        send_request(agent.path, {"ask": "change", **change})
        ended = agent.wait("up", 40.0)
        up = time.monotonic() - began
        times = []
        for _ in range(40):
            began = time.monotonic()
            status = send_request(agent.path, {"ask": "status"})
            times.append(time.monotonic() - began)
        serving = sum(one["state"] == "serving" for one in status["instances"])
        out = {"start_200_s": round(up, 1), "change": ended["state"], "serving": serving}
        out |= {"status_median_s": round(sorted(times)[20], 4), "status_worst_s": round(max(times), 4)}
        return out | {"agent_memory_mb": read_memory_kb(agent.process.pid) // 1024}
    finally:
        agent.kill()
        token = next(body["token"] for kind, _, body in Store(f"{folder}/store").records() if kind == "agent")
        for several in supervisor.find_processes(token).values():
            for process, _ in several:
                process.signal(9)


def main() -> int:
    quick = "--quick" in sys.argv
    sizes = (8, 40, 200) if quick else (8, 20, 40, 80, 120, 200)
    seeds = 1 if quick else 5
    found = {count: max(detection(count, seed) for seed in range(seeds)) for count in sizes}
    print("size and seconds until all see a death:", found)
    alarms = sum(false_alarms(50, seed, 60.0 if quick else 600.0) for seed in range(1 if quick else 3))
    with tempfile.TemporaryDirectory() as name:
        fleet = of_two_hundred(pathlib.Path(name))
    bound = 40.0  # s at 200: three periods for each of its eight doublings, and the news' way
    good = max(found.values()) <= bound and not alarms and fleet["status_median_s"] < STATUS
    good &= fleet["serving"] == INSTANCES
    print(json.dumps({"good": good, "detection_s": found, "false_alarms": alarms, **fleet, "quick": quick}))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
