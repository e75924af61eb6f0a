"""Several agents of one fleet: rollouts under faults, mutations that must be detected, and failure detection.

Usage: python -m benchmarks.fleets [--quick] [--schedules N] [--from SEED] [--at-once N] [--only-processes]

1. Virtual time: schedules of faults over five agents with four instances each. Each schedule has a rollout
   and must show no violation.
2. Mutations of the agents' decisions in virtual time: each must be detected.
3. Processes: five agents with four servers each, under load, with a rollout, a generated schedule of link and
   agent faults, and wrong clocks. A full run has 200 schedules, which take hours one after the other;
   `--schedules` sets their number, `--at-once` how many run in parallel.
4. Agent processes: the time until all detect a death, until all agree after a recovery and until an agent
   leads, and the messages and bytes sent per agent. Detection among 200 and 500 agents in virtual time.

All processes run on one machine and connect over loopback. A quick run has one schedule of processes, and 5
and 20 agents.
"""

import contextlib
import json
import multiprocessing
import os
import pathlib
import sys
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import Any

from benchmarks.pools import CLIENT_TIMEOUT_MS, LATENCY_OBJECTIVE_MS, settings
from testkit.fakes import worker_pool
from testkit.fakes.fake_process import FakeProcess
from testkit.fakes.load_generator import LoadGenerator, TrafficClass
from testkit.faults.fault_schedule import FaultSchedule
from testkit.faults.history_checker import violations
from testkit.faults.process_cluster import ProcessCluster
from testkit.simulation import agents
from testkit.simulation.agent_mutations import MUTATIONS, schedules_until_caught
from testkit.simulation.network import Network
from vetchford.fleet.agent_client import UnreachableError
from vetchford.fleet.membership import MemberState

AGENTS = 5
INSTANCES_PER_AGENT = 4
INSTANCES = AGENTS * INSTANCES_PER_AGENT
MINIMUM_AVAILABLE = 12  # instances
FIRST_VIRTUAL_SEED = 1000
VIRTUAL_SCHEDULES, QUICK_VIRTUAL_SCHEDULES = 4000, 28
MAX_REPORTED = 4  # violations
POOL_CORES = 2.0
SERVER_STOP_MS = 3200
CONNECTIONS_PER_SERVER = 4
LOAD_AFTER_FAULTS_S = 8.0
LOAD_START_DELAY_S = 0.5
ROLLOUT_START_DELAY_S = 1.0  # the load has begun
SOAK_MS = 500.0
REQUEST_TIMEOUT_S = 30.0
ROLLOUT_TIMEOUT_S = 60.0
RECOVERY_TIMEOUT_S = 30.0
HEALTH_CHECK_TIMEOUT_S = 20.0
MAX_ERROR_CHARACTERS = 2000
TRAFFIC = [TrafficClass("session-check", 11.0, 10.0), TrafficClass("charge", 5.0, 30.0, 0, True)]
MS_PER_S = 1000.0

CLUSTER_SEED = 3
SAMPLED_AGENTS = 8
START_TIMEOUT_S = 60.0
TRAFFIC_PERIOD_S = 2.0  # in which messages and bytes are counted
DETECTION_TIMEOUT_S = 90.0
# Aims by number of agents: three periods of suspicion for each doubling, and propagation.
MAX_DETECTION_S = {5: 20.0, 20: 30.0, 60: 40.0}

SETTLE_MS = 5_000.0  # before the death of an agent
DETECTION_TIMEOUT_MS = 120_000.0
DETECTION_POLL_MS = 500.0
FALSE_ALARM_AGENTS = 20
FALSE_ALARM_SEED = 7
LOSS_FRACTION = 0.05
DUPLICATE_FRACTION = 0.05
DELAY_MS = 1000.0
GAP_BETWEEN_DELAYS_MS = 500.0
FALSE_ALARM_S, QUICK_FALSE_ALARM_S = 600.0, 30.0


def play_virtual_schedule(seed: int) -> tuple[int, list[str], str, dict[str, int]]:
    """Play a schedule; return its seed, violations, final state of the rollout and fault counts."""
    try:
        world = agents.run_schedule(seed)
    except AssertionError as problem:
        return seed, [f"assertion: {problem}"], "", {}
    rollout = world.find_rollout("r1")
    return seed, world.violations(), rollout["state"] if rollout else "none", world.faults


def play_virtual_schedules(count: int) -> dict[str, Any]:
    """Play this many schedules in virtual time; return final states, fault counts and failed schedules."""
    fault_counts: dict[str, int] = {}
    failed, final_states = [], {}
    seeds = range(FIRST_VIRTUAL_SEED, FIRST_VIRTUAL_SEED + count)
    with multiprocessing.Pool(max(1, (os.cpu_count() or 2) - 1)) as process_pool:
        for seed, found, state, faults in process_pool.imap_unordered(play_virtual_schedule, seeds):
            final_states[state] = final_states.get(state, 0) + 1
            if found or state not in ("finished", "broken"):
                failed.append((seed, found[:2], state))
            for kind, times in faults.items():
                fault_counts[kind] = fault_counts.get(kind, 0) + times
    return {
        "schedules": count,
        "ends": final_states,
        "faults": fault_counts,
        "wrong": failed[:MAX_REPORTED],
    }


def detect_mutations() -> dict[str, int]:
    """Return the number of schedules until each mutation was detected; 0 if it was not."""
    names = sorted(MUTATIONS)
    with multiprocessing.Pool(len(MUTATIONS)) as process_pool:
        return dict(zip(names, process_pool.map(schedules_until_caught, names), strict=True))


# -- processes


def play_processes(seed: int, seconds: float, faults: int) -> dict[str, Any]:
    """Run a rollout over twenty servers under load with link, agent and store faults; return the figures."""
    pools = FakeProcess(worker_pool.serve_many, INSTANCES, POOL_CORES)
    server_settings = settings()
    server_settings["familyInfo"]["below"] = "silent"
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        pool_ports = iter(pools.ports)

        def command(agent: str, instance: str, address: str) -> list[str]:
            config = folder / f"{agent}-{instance}.json"
            if address != "{listen}":  # the placeholder stands in the command of the next version
                configuration = {"name": instance, "listen": address, "pool": f"127.0.0.1:{next(pool_ports)}"}
                configuration |= {"records": "127.0.0.1:9", "members": "127.0.0.1:9", "seed": "5e"}
                configuration |= {"stop_ms": SERVER_STOP_MS}
                configuration |= {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128}}
                configuration |= {"settings": server_settings}
                config.write_text(json.dumps(configuration))
            return [sys.executable, "-O", "-m", "vetchford", "serve", "--config", str(config)]

        with ProcessCluster(folder, AGENTS, INSTANCES_PER_AGENT, seed, command, stop="3500ms") as cluster:
            schedule = FaultSchedule(cluster.names, seed, seconds, faults)
            cluster.clocks = schedule.clocks
            cluster.start()
            cluster.wait_for_leader()
            cluster.start_instances()
            loads = {
                key: LoadGenerator(
                    int(address.rpartition(":")[2]),
                    TRAFFIC,
                    seconds + LOAD_AFTER_FAULTS_S,
                    LATENCY_OBJECTIVE_MS,
                    CLIENT_TIMEOUT_MS,
                    seed=number,
                    connections=CONNECTIONS_PER_SERVER,
                )
                for number, (key, address) in enumerate(cluster.addresses.items())
            }
            load_starts_at_s = time.time() + LOAD_START_DELAY_S
            threads = [threading.Thread(target=load.run, args=(load_starts_at_s,)) for load in loads.values()]
            for thread in threads:
                thread.start()
            time.sleep(ROLLOUT_START_DELAY_S)
            rollout = {
                "version": "v2",
                "batch": 3,
                "floor": MINIMUM_AVAILABLE,
                "on_failure": "go_on",
                "soak": SOAK_MS,
            }
            cluster.request_rollout(cluster.names[seed % AGENTS], "r1", "roll", **rollout)
            fault_counts = schedule.play(cluster)
            ended = cluster.find_rollout("r1")
            if not ended[
                "state"
            ]:  # the agent that received the request was cut off, or died before it was stored
                cluster.wait_until(
                    lambda: (
                        "refused"
                        not in cluster.request_rollout(cluster.wait_for_leader(), "r1", "roll", **rollout)
                    ),
                    REQUEST_TIMEOUT_S,
                )
            ended = cluster.wait_for_rollout("r1", ROLLOUT_TIMEOUT_S)
            for thread in threads:
                thread.join()
            cluster.wait_until(
                lambda: cluster.ask(cluster.wait_for_leader(), {"ask": "all"})["unknown"] == [],
                RECOVERY_TIMEOUT_S,
                "no instance has an unknown state",
            )
            # An agent that has just been restarted still checks the instances that it adopted.
            with contextlib.suppress(AssertionError):
                cluster.wait_until(
                    lambda: count_serving(cluster) == len(cluster.addresses), HEALTH_CHECK_TIMEOUT_S
                )
            instances = cluster.ask(cluster.wait_for_leader(), {"ask": "all"})["instances"]
            process_table = cluster.process_table()
            events = cluster.events()
            ran = pools.stop()["ran"]
            killed = set(ended["killed"])
            return {
                "seed": seed,
                "faults": fault_counts,
                "met_on_links": cluster.links.fault_counts(),
                "change": ended["state"],
                "why": ended["why"],
                "wrong": violations(events, MINIMUM_AVAILABLE)[:MAX_REPORTED],
                "drivers": sum(entry["event"] == "leader_elected" for entry in events),
                "orders": sum(entry["event"] == "order_accepted" for entry in events),
                "matches_process_table": all(
                    len(process_table.get(key, [])) == 1 for key in cluster.addresses
                ),
                "new_version": sum(instance["version"] == "v2" for instance in instances.values()),
                "serving": sum(instance["state"] == "serving" for instance in instances.values()),
                "tried": sum(
                    counts.sent - counts.unsent for load in loads.values() for counts in load.counts.values()
                ),
                "lost": sum(len(load.lost) for key, load in loads.items() if key not in killed),
                "lost_with_killed": sum(len(load.lost) for key, load in loads.items() if key in killed),
                "ran_twice": sum(count > 1 for count in ran.values()),
                "broken": sum(len(load.violations) for load in loads.values()),
            }


def count_serving(cluster: ProcessCluster) -> int:
    """Return the number of instances that serve in the leader's view."""
    instances = cluster.ask(cluster.wait_for_leader(), {"ask": "all"})["instances"]
    return sum(instance["state"] == "serving" for instance in instances.values())


def play_processes_or_report(seed: int, seconds: float, faults: int) -> dict[str, Any]:
    """Return the figures of `play_processes`, or the error that ended the schedule."""
    try:
        return play_processes(seed, seconds, faults)
    except Exception as problem:
        return {"seed": seed, "broke": f"{type(problem).__name__}: {problem}"[:MAX_ERROR_CHARACTERS]}


def meets_aims(figures: dict[str, Any]) -> bool:
    """Return whether a schedule ended without violations and with all instances on the new version."""
    return "broke" not in figures and (
        not figures["wrong"]
        and figures["matches_process_table"]
        and not figures["lost"]
        and not figures["ran_twice"]
        and not figures["broken"]
        and figures["serving"] == INSTANCES
        and figures["change"] == "finished"
        and figures["new_version"] == INSTANCES
    )


# -- failure detection and election by number of agents


def measure_agents(count: int) -> dict[str, Any]:
    """Start agent processes, kill one and start it again; return the times and the traffic."""
    with (
        tempfile.TemporaryDirectory() as name,
        ProcessCluster(pathlib.Path(name), count, 1, CLUSTER_SEED, relays=False) as cluster,
    ):
        started_at_s = time.monotonic()
        cluster.start()
        cluster.wait_for_leader(timeout_s=START_TIMEOUT_S)
        election_s = time.monotonic() - started_at_s

        def views(agent: str, among: list[str]) -> set[str]:
            found = set()
            for other in among:
                try:
                    found |= {row["view"] for row in cluster.peers(other)["peers"] if row["name"] == agent}
                except UnreachableError:
                    found.add("no answer")
            return found

        sampled = cluster.names[:: max(1, count // SAMPLED_AGENTS)]
        cluster.wait_until(
            lambda: all(views(name, sampled) <= {"there"} for name in sampled),
            START_TIMEOUT_S,
            "all agents see each other",
        )
        before = {name: cluster.peers(name) for name in sampled}
        counted_from_s = time.monotonic()
        time.sleep(TRAFFIC_PERIOD_S)
        after = {name: cluster.peers(name) for name in sampled}
        period_s = time.monotonic() - counted_from_s
        bytes_sent = [after[name]["bytes_sent"] - before[name]["bytes_sent"] for name in sampled]
        datagrams_sent = [after[name]["datagrams_sent"] - before[name]["datagrams_sent"] for name in sampled]
        leader = cluster.leader()
        killed = next(name for name in reversed(cluster.names) if name != leader)
        others = [name for name in sampled if name != killed]
        cluster.kill(killed)
        killed_at_s = time.monotonic()
        cluster.wait_until(
            lambda: views(killed, others) == {"not seen"},
            DETECTION_TIMEOUT_S,
            f"the death of {killed} is detected",
        )
        detection_s = time.monotonic() - killed_at_s
        cluster.start(killed)
        restarted_at_s = time.monotonic()
        cluster.wait_until(
            lambda: views(killed, others) == {"there"},
            START_TIMEOUT_S,
            f"the restart of {killed} is detected",
        )
        return {
            "driven_s": round(election_s, 1),
            "death_seen_s": round(detection_s, 1),
            "healed_s": round(time.monotonic() - restarted_at_s, 1),
            "bytes_per_s": round(sum(bytes_sent) / len(bytes_sent) / period_s),
            "datagrams_per_s": round(sum(datagrams_sent) / len(datagrams_sent) / period_s, 1),
        }


def measure_detection(count: int) -> float:
    """Return the seconds in virtual time until all of `count` agents have detected a death."""
    network = Network(count, 1)
    network.run(SETTLE_MS)
    network.dead.add("a001")
    while network.views("a001") != {MemberState.UNREACHABLE} and network.now < DETECTION_TIMEOUT_MS:
        network.run(network.now + DETECTION_POLL_MS)
    return round((network.now - SETTLE_MS) / MS_PER_S, 1)


def count_false_alarms(seconds: float) -> int:
    """Return how often a live agent was seen as unreachable under loss and delays of one agent at a time."""
    network = Network(
        FALSE_ALARM_AGENTS, FALSE_ALARM_SEED, loss=LOSS_FRACTION, duplicate_rate=DUPLICATE_FRACTION
    )
    while network.now < seconds * MS_PER_S:
        name = f"a{network.rng.randrange(FALSE_ALARM_AGENTS):03}"
        network.slow[name] = DELAY_MS
        network.run(network.now + DELAY_MS)
        del network.slow[name]
        network.run(network.now + GAP_BETWEEN_DELAYS_MS)
    return sum(state == MemberState.UNREACHABLE for _, _, _, state in network.state_changes)


def summarize(schedules: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the sums over all schedules, and the figures of those that miss the aims."""
    fault_counts: dict[str, int] = {}
    for figures in [figures for figures in schedules if "broke" not in figures]:
        counts_on_links = {f"met {kind}": times for kind, times in figures["met_on_links"].items()}
        for kind, times in (figures["faults"] | counts_on_links).items():
            fault_counts[kind] = fault_counts.get(kind, 0) + times
    keys = ("tried", "lost", "lost_with_killed", "ran_twice", "broken", "drivers", "orders")
    return {
        "schedules": len(schedules),
        "sound": sum(map(meets_aims, schedules)),
        "faults": fault_counts,
        **{key: sum(figures.get(key, 0) for figures in schedules) for key in keys},
        "unsound": [figures for figures in schedules if not meets_aims(figures)],
    }


def read_option(option: str, default: str) -> str:
    """Return the argument that follows `option` on the command line."""
    return sys.argv[sys.argv.index(option) + 1] if option in sys.argv else default


def main() -> int:
    """Run the benchmark, print the figures and return the exit status."""
    quick = "--quick" in sys.argv
    count = int(read_option("--schedules", "1" if quick else "200"))
    results: dict[str, Any] = {"quick": quick}
    if "--only-processes" not in sys.argv:
        results["virtual"] = play_virtual_schedules(QUICK_VIRTUAL_SCHEDULES if quick else VIRTUAL_SCHEDULES)
        print("virtual:", results["virtual"], flush=True)
        results["planted_found_after"] = detect_mutations()
        print("planted:", results["planted_found_after"], flush=True)
    results["processes"] = []
    first_seed = int(read_option("--from", "21"))
    seconds, faults = (8.0, 5) if quick else (20.0, 12)
    with ProcessPoolExecutor(
        int(read_option("--at-once", "1")), multiprocessing.get_context("spawn")
    ) as process_pool:
        schedules = [
            process_pool.submit(play_processes_or_report, seed, seconds, faults)
            for seed in range(first_seed, first_seed + count)
        ]
        for schedule in as_completed(schedules):
            results["processes"].append(schedule.result())
            print("processes:", results["processes"][-1], flush=True)
    results["schedules_sound"] = sum(map(meets_aims, results["processes"]))
    if "--only-processes" in sys.argv:
        is_good = results["schedules_sound"] == count
        print(json.dumps({"good": is_good, **summarize(results["processes"])}))
        return 0 if is_good else 1
    results["agents"] = {n: measure_agents(n) for n in ((5, 20) if quick else (5, 20, 60))}
    print("agents:", results["agents"], flush=True)
    results["view_alone_death_s"] = {n: measure_detection(n) for n in ((60,) if quick else (200, 500))}
    results["false_burials"] = count_false_alarms(QUICK_FALSE_ALARM_S if quick else FALSE_ALARM_S)
    is_good = (
        not results["virtual"]["wrong"]
        and all(results["planted_found_after"].values())
        and all(map(meets_aims, results["processes"]))
        and all(figures["death_seen_s"] <= MAX_DETECTION_S[n] for n, figures in results["agents"].items())
        and not results["false_burials"]
    )
    print(json.dumps({"good": is_good, **results}))
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
