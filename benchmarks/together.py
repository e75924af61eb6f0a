"""Servers that share load reports and leases compared to servers that do not, and gossip by fleet size.

Usage: python -m benchmarks.together [--quick] [--seeds N]

1. Processes: two fleets of eight servers, each with a records service, run at once under the same load. The
   records service slows to a tenth, stops answering, and recovers. Meanwhile the links of the fleet that
   shares load reports have seeded faults: loss, duplication, reordering, cuts and delays. Each run is made
   without and with bulkheads.
2. Virtual time: error, age and bytes of load gossip by number of servers at 0, 5 and 20 % loss, with faulty
   servers; leases under schedules of faults, with the holders counted by a checker, and mutations that must
   be detected.

All processes run on one machine and connect over loopback; worker pools simulate their cores, and each server
gets 45 requests a second.
"""

import json
import multiprocessing
import os
import pathlib
import sys
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from benchmarks.pools import CLIENT_TIMEOUT_MS, LATENCY_OBJECTIVE_MS, settings
from testkit.fakes.load_generator import LoadGenerator, TrafficClass
from testkit.faults.fault_schedule import FaultKind, FaultSchedule
from testkit.faults.server_cluster import RecordsSpeed, ServerCluster, max_concurrent_leases
from testkit.simulation import gossip, leases

SERVERS = 8  # of each fleet
RECORDS_SLOTS = 16
CALL_MS = 40.0  # of a call at full speed of the records service
TRAFFIC = [
    TrafficClass("session-check", 15.0, 4.0),
    TrafficClass("fee-quote", 15.0, 30.0, 1),
    TrafficClass("charge", 15.0, 40.0, 1, True),
]  # 240 calls a second; the records service can execute 400
UTILITIES = (1, 2, 3)
UTILITY_SUM = 6.0
SLOW_FACTOR = 0.1  # speed of the slow records service
STEADY_FROM_S = 2.0  # excluded at the start
RECOVERED_S = 8.0  # run after the records service is back at full speed
START_DELAY_S = 8.0  # for the start of all servers
PORT_SEARCH_DELAY_S = 0.3
LOAD_MARGIN_S = 0.2
SEEDS_PER_FLEET = 100
CONNECTIONS_PER_SERVER = 6
OUTCOME_PERIOD_S = 0.5
FULL_SERVICE_FRACTION = 0.9  # of the requests that succeed in time
MAX_REPORTED = 4  # violations
DRAWN_FAULTS = 40
PLAYED_FAULTS = 12
MAX_FAULT_S = 2.0

MAX_WASTED_CALLS = 0.5  # relative to the fleet that shares no load reports
SERVED_TOLERANCE = 0.02
RECOVERY_TOLERANCE_S = 0.5
MAX_PROBING_SERVERS = 2
MIN_LEASES_AFTER_HEALING = 3
MAX_ERROR = 0.05
MAX_ERROR_WITH_FAULTY = 0.1
MAX_AGE_MS = 2500.0
MAX_BYTES_GROWTH = 1.5  # from 10 servers to the largest fleet; logarithmic growth would exceed it
FIRST_SEED = 31
LEASE_SCHEDULES, QUICK_LEASE_SCHEDULES = 300, 28


def phases(quick: bool) -> dict[str, tuple[float, float]]:
    """Return the start and end of each phase of the records service, in seconds."""
    well_s, slow_s, dead_s = (5.0, 8.0, 5.0) if quick else (8.0, 20.0, 8.0)
    back_s = well_s + slow_s + dead_s
    return {
        "well": (STEADY_FROM_S, well_s),
        "slow": (well_s, well_s + slow_s),
        "dead": (well_s + slow_s, back_s),
        "back": (back_s, back_s + RECOVERED_S),
    }


def run_fleet(
    together: bool, quick: bool, seed: int, load_starts_at_s: float, number: int, pools_file: str
) -> dict[str, Any]:
    """Run one fleet, whose load starts at the given Unix time, and return its figures."""
    time.sleep(number * PORT_SEARCH_DELAY_S)  # the fleets must not search for the same ports at once
    phase_times = phases(quick)
    seconds = phase_times["back"][1]
    speed = [
        (0.0, 1.0),
        (phase_times["slow"][0], SLOW_FACTOR),
        (phase_times["dead"][0], 0.0),
        (phase_times["back"][0], 1.0),
    ]
    server_settings = settings()
    server_settings["familyInfo"]["depShare"] = float(RECORDS_SLOTS) / SERVERS * 2.0
    with tempfile.TemporaryDirectory() as name:
        cluster = ServerCluster(
            pathlib.Path(name),
            SERVERS,
            server_settings,
            RecordsSpeed(RECORDS_SLOTS, CALL_MS, speed),
            together,
            seed=seed,
            pools_file=pools_file,
            records=True,
        )
        with cluster:
            cluster.start()
            loads = {
                name: LoadGenerator(
                    port,
                    TRAFFIC,
                    seconds,
                    LATENCY_OBJECTIVE_MS,
                    CLIENT_TIMEOUT_MS,
                    seed=seed * SEEDS_PER_FLEET + n,
                    connections=CONNECTIONS_PER_SERVER,
                )
                for n, (name, port) in enumerate(cluster.ports.items())
            }
            time.sleep(max(0.0, load_starts_at_s - LOAD_MARGIN_S - time.time()))
            started_late = time.time() > load_starts_at_s
            cluster.records_service.start_schedules(load_starts_at_s)
            threads = [threading.Thread(target=load.run, args=(load_starts_at_s,)) for load in loads.values()]
            for thread in threads:
                thread.start()
            fault_counts = inject_link_faults(cluster, seed, load_starts_at_s, seconds) if together else {}
            for thread in threads:
                thread.join()
            ran = cluster.worker_pools.stop()["ran"]
            records_counts = cluster.records_service.stop()
            cluster.stop()
            served: dict[str, dict[str, float]] = {}
            outcomes_by_period: dict[float, list[bool]] = {}
            for traffic_class in TRAFFIC:
                request_class = traffic_class.request_class
                outcomes = [
                    outcome for load in loads.values() for outcome in load.counts[request_class].outcomes
                ]
                served[request_class] = {
                    phase: round(
                        fraction_true([in_time for at_s, in_time in outcomes if start_s <= at_s < end_s]), 4
                    )
                    for phase, (start_s, end_s) in phase_times.items()
                }
                for at_s, in_time in outcomes:
                    period_s = at_s // OUTCOME_PERIOD_S * OUTCOME_PERIOD_S
                    outcomes_by_period.setdefault(period_s, []).append(in_time)
            back_s = phase_times["back"][0]
            full_service_at_s = next(
                (
                    period_s
                    for period_s in sorted(outcomes_by_period)
                    if period_s >= back_s
                    and fraction_true(outcomes_by_period[period_s]) >= FULL_SERVICE_FRACTION
                ),
                seconds,
            )
            return {
                "served": served,
                "calls_made": len(records_counts["done"]),
                # Calls whose request was given up, and calls that the records service rejected.
                "calls_wasted": records_counts["given_up"] + records_counts["turned_away"],
                "full_service_after_s": full_service_at_s - back_s,
                "late": started_late,
                "faults": fault_counts,
                "met_on_links": cluster.links.fault_counts(),
                "ran_twice": sum(count > 1 for count in ran.values()),
                "wrong": [violation for load in loads.values() for violation in load.violations][
                    :MAX_REPORTED
                ]
                + cluster.internal_errors()[:MAX_REPORTED],
                "cut": sum(len(load.lost) for load in loads.values()),
                "states": [
                    [entry["server"], entry["state"], entry["why"]]
                    for entry in cluster.events("records_state_changed")
                ],
                "turns": len(cluster.events("lease_acquired")),
                "probed_at_once": max_concurrent_leases(cluster),
            }


LINK_FAULTS = {
    FaultKind.CUT,
    FaultKind.ONE_WAY,
    FaultKind.LOSE,
    FaultKind.SLOW,
    FaultKind.DOUBLE,
    FaultKind.REORDER,
}


def inject_link_faults(
    cluster: ServerCluster, seed: int, load_starts_at_s: float, seconds: float
) -> dict[str, int]:
    """Inject the link faults of a schedule, one after the other, and return how often each was injected.

    Each fault affects the links of at most two of the eight servers, so that most servers see each other.
    """
    fault_counts: dict[str, int] = {}
    steps = [
        step
        for step in FaultSchedule(cluster.names, seed, seconds, DRAWN_FAULTS).steps
        if step.kind in LINK_FAULTS
    ]
    for step in steps[:PLAYED_FAULTS]:
        kind = step.kind.value
        time.sleep(max(0.0, load_starts_at_s + step.at_s - time.time()))
        links = cluster.links.between({step.agent}) if kind == "cut" else cluster.links.of(step.agent)
        if kind == "one_way":
            links = [link for link in links if link.source == step.agent]
        cluster.links.fault(kind, links)
        fault_counts[kind] = fault_counts.get(kind, 0) + 1
        time.sleep(min(step.duration_s, MAX_FAULT_S))
        cluster.links.fault("heal", links)
    return fault_counts


def fraction_true(outcomes: list[bool]) -> float:
    """Return the fraction of true outcomes."""
    return sum(outcomes) / max(1, len(outcomes))


def run_both_fleets(quick: bool, seed: int, pools_file: str) -> dict[str, Any]:
    """Run the fleet that shares load reports ("on") and the other ("off") at once; return the figures."""
    load_starts_at_s = time.time() + START_DELAY_S
    with ProcessPoolExecutor(2, multiprocessing.get_context("spawn")) as process_pool:
        on = process_pool.submit(run_fleet, True, quick, seed, load_starts_at_s, 0, pools_file)
        off = process_pool.submit(run_fleet, False, quick, seed, load_starts_at_s, 1, pools_file)
        return {"seed": seed, "on": on.result(), "off": off.result()}


def served_utility(figures: dict[str, Any], phase: str) -> float:
    """Return the fraction of requests served in time in a phase, weighted by utility."""
    return (
        sum(
            utility * figures["served"][traffic_class.request_class][phase]
            for utility, traffic_class in zip(UTILITIES, TRAFFIC, strict=True)
        )
        / UTILITY_SUM
    )


def check_aims(pair: dict[str, Any]) -> dict[str, bool]:
    """Return for each aim whether the two fleets meet it."""
    on, off = pair["on"], pair["off"]
    return {
        "half of the calls wasted": on["calls_wasted"] <= MAX_WASTED_CALLS * off["calls_wasted"],
        "no less served while it is slow": served_utility(on, "slow")
        >= served_utility(off, "slow") - SERVED_TOLERANCE,
        "no less served while it is dead": served_utility(on, "dead")
        >= served_utility(off, "dead") - SERVED_TOLERANCE,
        "no less served once it is back": served_utility(on, "back")
        >= served_utility(off, "back") - SERVED_TOLERANCE,
        "full service no later": on["full_service_after_s"]
        <= off["full_service_after_s"] + RECOVERY_TOLERANCE_S,
        "two probe at once at most": on["probed_at_once"] <= MAX_PROBING_SERVERS,
        "rules": not (on["ran_twice"] or off["ran_twice"] or on["wrong"] or off["wrong"]),
    }


def measure_leases(count: int) -> dict[str, Any]:
    """Play this many schedules of faults over leases, and the mutations; return the figures."""
    with multiprocessing.Pool(max(1, (os.cpu_count() or 2) - 1)) as process_pool:
        schedules = process_pool.map(leases.run_schedule, range(1, count + 1))
        mutations = sorted(leases.MUTATIONS)
        detected_after = dict(
            zip(mutations, process_pool.map(leases.schedules_until_caught, mutations), strict=True)
        )
    return {
        "schedules": count,
        "wrong": [schedule["violations"] for schedule in schedules if schedule["violations"]][:3],
        "turns": sum(schedule["acquired"] for schedule in schedules),
        "stuck": sum(schedule["acquired_after_healing"] < MIN_LEASES_AFTER_HEALING for schedule in schedules),
        "planted_found_after": detected_after,
    }


def main() -> int:
    """Run the benchmark, print the figures and return the exit status."""
    quick = "--quick" in sys.argv
    seeds = int(sys.argv[sys.argv.index("--seeds") + 1]) if "--seeds" in sys.argv else 1 if quick else 3
    results: dict[str, Any] = {"quick": quick, "pairs": []}
    for seed in range(FIRST_SEED, FIRST_SEED + seeds):
        for pools_file in ("", "deploy/pools.vet"):
            pair = {"class_pools": bool(pools_file), **run_both_fleets(quick, seed, pools_file)}
            pair["holds"] = check_aims(pair)
            results["pairs"].append(pair)
            print("servers:", json.dumps(pair), flush=True)
    results["turns"] = measure_leases(QUICK_LEASE_SCHEDULES if quick else LEASE_SCHEDULES)
    print("turns:", results["turns"], flush=True)
    cases = [
        (n, loss) for n in ((3, 10, 100) if quick else (3, 10, 100, 300, 1000)) for loss in (0.0, 0.05, 0.2)
    ]
    with multiprocessing.Pool(max(1, (os.cpu_count() or 2) - 1)) as process_pool:
        results["signals"] = process_pool.starmap(gossip.measure_fleet, cases)
    for figures in results["signals"]:
        print("signals:", figures, flush=True)
    bytes_by_size = {
        figures["servers"]: figures["bytes_per_s"] for figures in results["signals"] if not figures["loss"]
    }
    is_good = (
        all(all(pair["holds"].values()) for pair in results["pairs"])
        and not results["turns"]["wrong"]
        and not results["turns"]["stuck"]
        and all(results["turns"]["planted_found_after"].values())
        and all(
            figures["error"] <= MAX_ERROR
            and figures["with_liars"] <= MAX_ERROR_WITH_FAULTY
            and figures["age_ms"] <= MAX_AGE_MS
            for figures in results["signals"]
        )
        and bytes_by_size[max(bytes_by_size)] <= MAX_BYTES_GROWTH * bytes_by_size[10]
    )
    print(json.dumps({"good": is_good, **results}))
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
