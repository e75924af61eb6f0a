"""Many servers that act on what all see, against the same servers alone, in one run; and signals and turns
by size.

Usage: python -m benchmarks.together [--quick] [--seeds N]

1. Processes: eight servers a side before one ledger a side, at once and under the same load. The ledger
   slows to a tenth, then answers nothing, then is back. Between the servers that speak to each other links
   lose, double, reorder, are cut and slow by a seeded script meanwhile. Once without class pools, once with.
2. Virtual time: error, age and bytes of the signals by number of servers at 0, 5 and 20 % loss, with liars;
   turns under schedules of faults, with the holders counted by a checker, and planted mistakes that must be
   found.

Scaled down: one machine, all on loopback; a pool's cores are by time; 45 tasks a second a server.
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

from benchmarks.pools import DUE, LIMIT, settings
from testkit.fakes.load_generator import LoadGenerator, TrafficClass
from testkit.faults.fault_schedule import FaultKind, FaultSchedule
from testkit.faults.server_cluster import RecordsSpeed, ServerCluster, max_concurrent_leases
from testkit.simulation import gossip, leases

COUNT, SLOTS, CALL = 8, 16, 40.0  # servers a side; the ledger's slots, ms of a call
FLOWS = [
    TrafficClass("session-check", 15.0, 4.0),
    TrafficClass("fee-quote", 15.0, 30.0, 1),
    TrafficClass("charge", 15.0, 40.0, 1, True),
]  # 240 calls a second of 400 that the ledger makes


def phases(quick: bool) -> dict[str, tuple[float, float]]:
    well, slow, dead = (5.0, 8.0, 5.0) if quick else (8.0, 20.0, 8.0)
    back = well + slow + dead
    return {
        "well": (2.0, well),
        "slow": (well, well + slow),
        "dead": (well + slow, back),
        "back": (back, back + 8.0),
    }


def side(together: bool, quick: bool, seed: int, at: float, offset: int, pools: str) -> dict[str, Any]:
    """One fleet; `at`: Unix seconds when the load begins."""
    time.sleep(offset * 0.3)  # so that both sides don't look for the same ports
    when = phases(quick)
    seconds = when["back"][1]
    speed = [(0.0, 1.0), (when["slow"][0], 0.1), (when["dead"][0], 0.0), (when["back"][0], 1.0)]
    told = settings()
    told["familyInfo"]["depShare"] = float(SLOTS) / COUNT * 2.0
    with tempfile.TemporaryDirectory() as name:
        several = ServerCluster(
            pathlib.Path(name),
            COUNT,
            told,
            RecordsSpeed(SLOTS, CALL, speed),
            together,
            seed=seed,
            pools_file=pools,
            records=True,
        )
        with several:
            several.start()
            loads = {
                one: LoadGenerator(port, FLOWS, seconds, DUE, LIMIT, seed=seed * 100 + n, connections=6)
                for n, (one, port) in enumerate(several.ports.items())
            }
            time.sleep(max(0.0, at - 0.2 - time.time()))
            late = time.time() > at
            several.records_service.start_schedules(at)
            threads = [threading.Thread(target=load.run, args=(at,)) for load in loads.values()]
            for thread in threads:
                thread.start()
            faults = break_links(several, seed, at, seconds) if together else {}
            for thread in threads:
                thread.join()
            ran = several.worker_pools.stop()["ran"]
            below = several.records_service.stop()
            several.stop()
            stages: dict[str, dict[str, float]] = {}
            tries: dict[float, list[bool]] = {}
            for flow in FLOWS:
                tried = [one for load in loads.values() for one in load.counts[flow.request_class].outcomes]
                stages[flow.request_class] = {
                    phase: round(part([good for when, good in tried if begin <= when < end]), 4)
                    for phase, (begin, end) in when.items()
                }
                for moment, good in tried:
                    tries.setdefault(moment // 0.5 * 0.5, []).append(good)
            back = when["back"][0]
            full = next((t for t in sorted(tries) if t >= back and part(tries[t]) >= 0.9), seconds) - back
            # A call of a task that was given up on, or that was turned away below: work for nothing.
            return {
                "served": stages,
                "calls_made": len(below["done"]),
                "calls_wasted": below["given_up"] + below["turned_away"],
                "full_service_after_s": full,
                "late": late,
                "faults": faults,
                "met_on_links": several.links.met(),
                "ran_twice": sum(count > 1 for count in ran.values()),
                "wrong": [line for load in loads.values() for line in load.violations][:4]
                + several.internal_errors()[:4],
                "cut": sum(len(load.lost) for load in loads.values()),
                "states": [
                    [e["server"], e["state"], e["why"]] for e in several.events("records_state_changed")
                ],
                "turns": len(several.events("lease_acquired")),
                "probed_at_once": max_concurrent_leases(several),
            }


LINK_FAULTS = {
    FaultKind.CUT,
    FaultKind.ONE_WAY,
    FaultKind.LOSE,
    FaultKind.SLOW,
    FaultKind.DOUBLE,
    FaultKind.REORDER,
}


def break_links(several: ServerCluster, seed: int, at: float, seconds: float) -> dict[str, int]:
    """Link faults by a script; two of eight servers at a time at most, so that most still see each other."""
    met: dict[str, int] = {}
    chosen = [
        step for step in FaultSchedule(several.names, seed, seconds, 40).steps if step.kind in LINK_FAULTS
    ]
    for step in chosen[:12]:
        kind = step.kind.value
        time.sleep(max(0.0, at + step.at_s - time.time()))
        links = several.links.between({step.agent}) if kind == "cut" else several.links.of(step.agent)
        if kind == "one_way":
            links = [link for link in links if link.source == step.agent]
        several.links.fault(kind, links)
        met[kind] = met.get(kind, 0) + 1
        time.sleep(min(step.duration_s, 2.0))
        several.links.fault("heal", links)
    return met


def part(outcomes: list[bool]) -> float:
    return sum(outcomes) / max(1, len(outcomes))


def sides(quick: bool, seed: int, pools: str) -> dict[str, Any]:
    at = time.time() + 8.0
    with ProcessPoolExecutor(2, multiprocessing.get_context("spawn")) as thread_pool:
        on = thread_pool.submit(side, True, quick, seed, at, 0, pools)
        off = thread_pool.submit(side, False, quick, seed, at, 1, pools)
        return {"seed": seed, "on": on.result(), "off": off.result()}


def served(one: dict[str, Any], phase: str) -> float:
    """By utility: 1, 2, 3."""
    return (
        sum(
            worth * one["served"][flow.request_class][phase]
            for worth, flow in zip((1, 2, 3), FLOWS, strict=True)
        )
        / 6.0
    )


def holds(pair: dict[str, Any]) -> dict[str, bool]:
    on, off = pair["on"], pair["off"]
    return {
        "half of the calls wasted": on["calls_wasted"] <= 0.5 * off["calls_wasted"],
        "no less served while it is slow": served(on, "slow") >= served(off, "slow") - 0.02,
        "no less served while it is dead": served(on, "dead") >= served(off, "dead") - 0.02,
        "no less served once it is back": served(on, "back") >= served(off, "back") - 0.02,
        "full service no later": on["full_service_after_s"] <= off["full_service_after_s"] + 0.5,
        "two probe at once at most": on["probed_at_once"] <= 2,
        "rules": not (on["ran_twice"] or off["ran_twice"] or on["wrong"] or off["wrong"]),
    }


def turns(count: int) -> dict[str, Any]:
    with multiprocessing.Pool(max(1, (os.cpu_count() or 2) - 1)) as thread_pool:
        played = thread_pool.map(leases.run_schedule, range(1, count + 1))
        mutations = sorted(leases.MUTATIONS)
        found = dict(zip(mutations, thread_pool.map(leases.schedules_until_caught, mutations), strict=True))
    return {
        "schedules": count,
        "wrong": [one["violations"] for one in played if one["violations"]][:3],
        "turns": sum(one["acquired"] for one in played),
        "stuck": sum(one["acquired_after_healing"] < 3 for one in played),
        "planted_found_after": found,
    }


def main() -> int:
    quick = "--quick" in sys.argv
    seeds = int(sys.argv[sys.argv.index("--seeds") + 1]) if "--seeds" in sys.argv else 1 if quick else 3
    out: dict[str, Any] = {"quick": quick, "pairs": []}
    for seed in range(31, 31 + seeds):
        for pools in ("", "deploy/pools.vet"):
            pair = {"class_pools": bool(pools), **sides(quick, seed, pools)}
            pair["holds"] = holds(pair)
            out["pairs"].append(pair)
            print("servers:", json.dumps(pair), flush=True)
    out["turns"] = turns(28 if quick else 300)
    print("turns:", out["turns"], flush=True)
    cases = [
        (n, loss) for n in ((3, 10, 100) if quick else (3, 10, 100, 300, 1000)) for loss in (0.0, 0.05, 0.2)
    ]
    with multiprocessing.Pool(max(1, (os.cpu_count() or 2) - 1)) as thread_pool:
        out["signals"] = thread_pool.starmap(gossip.measure_fleet, cases)
    for one in out["signals"]:
        print("signals:", one, flush=True)
    bytes_at = {one["servers"]: one["bytes_per_s"] for one in out["signals"] if not one["loss"]}
    good = (
        all(all(pair["holds"].values()) for pair in out["pairs"])
        and not out["turns"]["wrong"]
        and not out["turns"]["stuck"]
        and all(out["turns"]["planted_found_after"].values())
        and all(
            one["error"] <= 0.05 and one["with_liars"] <= 0.1 and one["age_ms"] <= 2500.0
            for one in out["signals"]
        )
        and bytes_at[max(bytes_at)]
        <= 1.5 * bytes_at[10]  # the logarithm of ten times as many is over 1.5 of it
    )
    print(json.dumps({"good": good, **out}))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
