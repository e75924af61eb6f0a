"""Failure detection by number of agents in virtual time, and one agent with 200 instances.

Usage: python -m benchmarks.agents [--quick]

Detection is the time from an agent's death until all others see it as unreachable. False alarms are live
agents seen as unreachable, with 5 % of the messages lost and 5 % duplicated. The agent with 200 fake
instances is measured by the response time of `status` and its memory. All processes run on one machine; a
quick run measures three sizes.
"""

import json
import pathlib
import signal
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
MAX_STATUS_MEDIAN_S = 0.3  # aim
MAX_DETECTION_S = 40.0  # aim for 200 agents: three periods for each of eight doublings, and propagation
SETTLE_MS = 5_000.0  # before the death of an agent
DETECTION_TIMEOUT_MS = 120_000.0
DETECTION_POLL_MS = 250.0
LOSS_FRACTION = 0.05
DUPLICATE_FRACTION = 0.05
MS_PER_S = 1000.0
KB_PER_MB = 1024
SOAK_MS = 100.0
START_TIMEOUT_S = 40.0
STATUS_REQUESTS = 40
FALSE_ALARM_AGENTS = 50
FALSE_ALARM_S = 600.0
QUICK_FALSE_ALARM_S = 60.0


def measure_detection(count: int, seed: int) -> float:
    """Return the seconds from the death of one of `count` agents until all others have detected it."""
    network = Network(count, seed)
    network.run(SETTLE_MS)
    network.dead.add("a001")
    while network.views("a001") != {MemberState.UNREACHABLE} and network.now < DETECTION_TIMEOUT_MS:
        network.run(network.now + DETECTION_POLL_MS)
    return round((network.now - SETTLE_MS) / MS_PER_S, 2)


def count_false_alarms(count: int, seed: int, seconds: float) -> int:
    """Return how often a live agent was seen as unreachable under message loss."""
    network = Network(count, seed, loss=LOSS_FRACTION, duplicate_rate=DUPLICATE_FRACTION)
    network.run(seconds * MS_PER_S)
    return sum(state == MemberState.UNREACHABLE for _, _, _, state in network.state_changes)


def measure_agent(folder: pathlib.Path) -> dict[str, Any]:
    """Return the figures of one agent with `INSTANCES` fake instances."""
    entries = []
    for number, port in enumerate(free_ports(INSTANCES)):
        address = f"127.0.0.1:{port}"
        command = json.dumps([sys.executable, "-S", "-m", "testkit.fakes.instance", address, "good"])
        entries.append(f'n{number:03}: {{command: {command}, listen: "{address}"}}')
    lines = [
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
    (folder / "fleet.vet").write_text("\n".join(lines))
    agent = Agent(folder)
    agent.start()
    try:
        names = [instance["name"] for instance in send_request(agent.path, {"ask": "status"})["instances"]]
        started_at_s = time.monotonic()
        rollout = {"id": "up", "kind": "start", "targets": names, "batch": INSTANCES, "soak": SOAK_MS}
        send_request(agent.path, {"ask": "change", **rollout})
        ended = agent.wait_for_rollout("up", START_TIMEOUT_S)
        start_s = time.monotonic() - started_at_s
        response_times_s = []
        for _ in range(STATUS_REQUESTS):
            started_at_s = time.monotonic()
            status = send_request(agent.path, {"ask": "status"})
            response_times_s.append(time.monotonic() - started_at_s)
        serving = sum(instance["state"] == "serving" for instance in status["instances"])
        median_s = sorted(response_times_s)[STATUS_REQUESTS // 2]
        figures = {"start_200_s": round(start_s, 1), "change": ended["state"], "serving": serving}
        figures |= {"status_median_s": round(median_s, 4), "status_worst_s": round(max(response_times_s), 4)}
        return figures | {"agent_memory_mb": read_memory_kb(agent.process.pid) // KB_PER_MB}
    finally:
        agent.kill()
        token = next(body["token"] for kind, _, body in Store(f"{folder}/store").records() if kind == "agent")
        for processes in supervisor.find_processes(token).values():
            for process, _ in processes:
                process.signal(signal.SIGKILL)


def main() -> int:
    """Print the figures and return the exit status."""
    quick = "--quick" in sys.argv
    sizes = (8, 40, 200) if quick else (8, 20, 40, 80, 120, 200)
    seeds = 1 if quick else 5
    detection_s = {count: max(measure_detection(count, seed) for seed in range(seeds)) for count in sizes}
    print("size and seconds until all see a death:", detection_s)
    seconds = QUICK_FALSE_ALARM_S if quick else FALSE_ALARM_S
    false_alarms = sum(
        count_false_alarms(FALSE_ALARM_AGENTS, seed, seconds) for seed in range(1 if quick else 3)
    )
    with tempfile.TemporaryDirectory() as name:
        agent = measure_agent(pathlib.Path(name))
    is_good = (
        max(detection_s.values()) <= MAX_DETECTION_S
        and not false_alarms
        and agent["status_median_s"] < MAX_STATUS_MEDIAN_S
    )
    is_good &= agent["serving"] == INSTANCES
    figures = {"good": is_good, "detection_s": detection_s, "false_alarms": false_alarms}
    print(json.dumps({**figures, **agent, "quick": quick}))
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
