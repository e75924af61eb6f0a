"""Several agents and one fleet: rolls among faults, mistakes that must be found, how fast a death is seen.

Usage: python -m benchmarks.fleets [--quick] [--schedules N] [--from SEED] [--at-once N] [--only-processes]

1. Virtual time: schedules of faults over five agents of four instances; in each a roll, and nothing may
break. 2. Mistakes planted into the decisions: each must be found.
3. Processes: five agents, four real servers each, under load, a roll, and a generated schedule of faults
between
   them, with clocks that go wrong. In full 200 schedules, which takes hours on one machine one after the
   other;
   `--schedules` says how many, `--at-once` how many side by side.
4. The time until all see a death, agree after a healing and one drives, with agents in processes of their
own, and
   messages and bytes an agent sends; the view alone at 200 and 500 in virtual time.

Scaled down: one machine, all parts on loopback; in a quick run one schedule of processes, and 5 and 20
agents.
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

from benchmarks.pools import LIMIT, settings
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

AGENTS, EACH, FLOOR = 5, 4, 12


def schedule(seed: int) -> tuple[int, list[str], str, dict[str, int]]:
    try:
        world = agents.play(seed)
    except AssertionError as problem:
        return seed, [f"assertion: {problem}"], "", {}
    span = world.find_rollout("r1")
    return seed, world.violations(), span["state"] if span else "none", world.faults


def virtual(count: int) -> dict[str, Any]:
    faults: dict[str, int] = {}
    bad, ends = [], {}
    with multiprocessing.Pool(max(1, (os.cpu_count() or 2) - 1)) as thread_pool:
        for seed, found, end, met in thread_pool.imap_unordered(schedule, range(1000, 1000 + count)):
            ends[end] = ends.get(end, 0) + 1
            if found or end not in ("finished", "broken"):
                bad.append((seed, found[:2], end))
            for kind, times in met.items():
                faults[kind] = faults.get(kind, 0) + times
    return {"schedules": count, "ends": ends, "faults": faults, "wrong": bad[:4]}


def planted() -> dict[str, int]:
    with multiprocessing.Pool(len(MUTATIONS)) as thread_pool:
        return dict(
            zip(sorted(MUTATIONS), thread_pool.map(schedules_until_caught, sorted(MUTATIONS)), strict=True)
        )


# -- processes


def of_processes(seed: int, seconds: float, faults: int) -> dict[str, Any]:
    """One roll of twenty real servers under load while links, agents and stores break."""
    pools = FakeProcess(worker_pool.serve_many, AGENTS * EACH, 2.0)
    told = settings()
    told["familyInfo"]["below"] = "silent"
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        ports = iter(pools.ports)

        def command(agent: str, instance: str, address: str) -> list[str]:
            config = folder / f"{agent}-{instance}.json"
            if address != "{listen}":  # else the command that a roll goes to
                given = {"name": instance, "listen": address, "pool": f"127.0.0.1:{next(ports)}"}
                given |= {"records": "127.0.0.1:9", "members": "127.0.0.1:9", "seed": "5e", "stop_ms": 3200}
                given |= {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128}, "settings": told}
                config.write_text(json.dumps(given))
            return [sys.executable, "-O", "-m", "vetchford", "serve", "--config", str(config)]

        with ProcessCluster(folder, AGENTS, EACH, seed, command, stop="3500ms") as rig:
            script = FaultSchedule(rig.names, seed, seconds, faults)
            rig.clocks = script.clocks
            rig.start()
            rig.wait_for_leader()
            rig.start_instances()
            flows = [TrafficClass("session-check", 11.0, 10.0), TrafficClass("charge", 5.0, 30.0, 0, True)]
            loads = {
                key: LoadGenerator(
                    int(address.rpartition(":")[2]),
                    flows,
                    seconds + 8.0,
                    1800.0,
                    LIMIT,
                    seed=at,
                    connections=4,
                )
                for at, (key, address) in enumerate(rig.addresses.items())
            }
            begin = time.time() + 0.5
            threads = [threading.Thread(target=load.run, args=(begin,)) for load in loads.values()]
            for thread in threads:
                thread.start()
            time.sleep(1.0)
            roll = {"version": "v2", "batch": 3, "floor": FLOOR, "on_failure": "go_on", "soak": 500.0}
            rig.request_rollout(rig.names[seed % AGENTS], "r1", "roll", **roll)
            made = script.play(rig)
            ended = rig.find_rollout("r1")
            if not ended["state"]:  # it was asked of an agent that was cut off, or died with it
                rig.wait_until(
                    lambda: "refused" not in rig.request_rollout(rig.wait_for_leader(), "r1", "roll", **roll),
                    30.0,
                )
            ended = rig.wait_for_rollout("r1", 60.0)
            for thread in threads:
                thread.join()
            rig.wait_until(
                lambda: rig.ask(rig.wait_for_leader(), {"ask": "all"})["unknown"] == [],
                30.0,
                "all seen again",
            )
            # An agent that was begun anew just now still checks those that it took over.
            with contextlib.suppress(AssertionError):
                rig.wait_until(lambda: up(rig) == len(rig.addresses), 20.0)
            seen = rig.ask(rig.wait_for_leader(), {"ask": "all"})["instances"]
            table = rig.process_table()
            events = rig.events()
            ran = pools.stop()["ran"]
            killed = set(ended["killed"])
            return {
                "seed": seed,
                "faults": made,
                "met_on_links": rig.links.met(),
                "change": ended["state"],
                "why": ended["why"],
                "wrong": violations(events, FLOOR)[:4],
                "drivers": sum(entry["event"] == "leader_elected" for entry in events),
                "orders": sum(entry["event"] == "order_accepted" for entry in events),
                "matches_process_table": all(len(table.get(key, [])) == 1 for key in rig.addresses),
                "new_version": sum(one["version"] == "v2" for one in seen.values()),
                "serving": sum(one["state"] == "serving" for one in seen.values()),
                "tried": sum(t.sent - t.unsent for load in loads.values() for t in load.counts.values()),
                "lost": sum(len(load.lost) for key, load in loads.items() if key not in killed),
                "lost_with_killed": sum(len(load.lost) for key, load in loads.items() if key in killed),
                "ran_twice": sum(count > 1 for count in ran.values()),
                "broken": sum(len(load.violations) for load in loads.values()),
            }


def up(rig: ProcessCluster) -> int:
    seen = rig.ask(rig.wait_for_leader(), {"ask": "all"})["instances"]
    return sum(one["state"] == "serving" for one in seen.values())


def told(seed: int, seconds: float, faults: int) -> dict[str, Any]:
    """As `of_processes`; a schedule that could not be played to its end is told with its reason."""
    try:
        return of_processes(seed, seconds, faults)
    except Exception as problem:
        return {"seed": seed, "broke": f"{type(problem).__name__}: {problem}"[:2000]}


def sound(one: dict[str, Any]) -> bool:
    return "broke" not in one and (
        not one["wrong"]
        and one["matches_process_table"]
        and not one["lost"]
        and not one["ran_twice"]
        and not one["broken"]
        and one["serving"] == AGENTS * EACH
        and one["change"] == "finished"
        and one["new_version"] == AGENTS * EACH
    )


# -- the view and the driver, by number of agents


def sizes(count: int) -> dict[str, Any]:
    """Agents in processes of their own, started at once; one machine gone; then all agree again."""
    with (
        tempfile.TemporaryDirectory() as name,
        ProcessCluster(pathlib.Path(name), count, 1, 3, relays=False) as rig,
    ):
        began = time.monotonic()
        rig.start()
        rig.wait_for_leader(timeout_s=60.0)
        driven = time.monotonic() - began

        def views(of: str, among: list[str]) -> set[str]:
            found = set()
            for other in among:
                try:
                    found |= {row["view"] for row in rig.peers(other)["peers"] if row["name"] == of}
                except UnreachableError:
                    found.add("no answer")
            return found

        sampled = rig.names[:: max(1, count // 8)]
        rig.wait_until(lambda: all(views(name, sampled) <= {"there"} for name in sampled), 60.0, "all there")
        before = {name: rig.peers(name) for name in sampled}
        at = time.monotonic()
        time.sleep(2.0)
        after = {name: rig.peers(name) for name in sampled}
        passed = time.monotonic() - at
        sent = [after[name]["bytes_sent"] - before[name]["bytes_sent"] for name in sampled]
        messages = [after[name]["datagrams_sent"] - before[name]["datagrams_sent"] for name in sampled]
        driver = rig.leader()
        gone = next(name for name in reversed(rig.names) if name != driver)
        others = [name for name in sampled if name != gone]
        rig.kill(gone)
        at = time.monotonic()
        rig.wait_until(lambda: views(gone, others) == {"not seen"}, 90.0, "the death is seen")
        seen = time.monotonic() - at
        rig.start(gone)
        at = time.monotonic()
        rig.wait_until(lambda: views(gone, others) == {"there"}, 60.0, "it is seen again")
        return {
            "driven_s": round(driven, 1),
            "death_seen_s": round(seen, 1),
            "healed_s": round(time.monotonic() - at, 1),
            "bytes_per_s": round(sum(sent) / len(sent) / passed),
            "datagrams_per_s": round(sum(messages) / len(messages) / passed, 1),
        }


def view_alone(count: int) -> float:
    """Seconds until all of so many see a death, in virtual time."""
    net = Network(count, 1)
    net.run(5_000.0)
    net.dead.add("a001")
    while net.views("a001") != {MemberState.UNREACHABLE} and net.now < 120_000.0:
        net.run(net.now + 500.0)
    return round((net.now - 5_000.0) / 1000.0, 1)


def false_burials(seconds: float) -> int:
    """Among 20 alive at 5 % loss, each stopped for a second now and then."""
    net = Network(20, 7, loss=0.05, doubled=0.05)
    while net.now < seconds * 1000.0:
        name = f"a{net.rng.randrange(20):03}"
        net.slow[name] = 1000.0
        net.run(net.now + 1000.0)
        del net.slow[name]
        net.run(net.now + 500.0)
    return sum(state == MemberState.UNREACHABLE for _, _, _, state in net.state_changes)


def summed(played: list[dict[str, Any]]) -> dict[str, Any]:
    """All schedules together, and whole those that are not sound."""
    met: dict[str, int] = {}
    for one in [one for one in played if "broke" not in one]:
        met_there = {f"met {kind}": times for kind, times in one["met_on_links"].items()}
        for kind, times in (one["faults"] | met_there).items():
            met[kind] = met.get(kind, 0) + times
    keys = ("tried", "lost", "lost_with_killed", "ran_twice", "broken", "drivers", "orders")
    return {
        "schedules": len(played),
        "sound": sum(map(sound, played)),
        "faults": met,
        **{key: sum(one.get(key, 0) for one in played) for key in keys},
        "unsound": [one for one in played if not sound(one)],
    }


def given(option: str, default: str) -> str:
    return sys.argv[sys.argv.index(option) + 1] if option in sys.argv else default


def main() -> int:
    quick = "--quick" in sys.argv
    count = int(given("--schedules", "1" if quick else "200"))
    out: dict[str, Any] = {"quick": quick}
    if "--only-processes" not in sys.argv:
        out["virtual"] = virtual(28 if quick else 4000)
        print("virtual:", out["virtual"], flush=True)
        out["planted_found_after"] = planted()
        print("planted:", out["planted_found_after"], flush=True)
    out["processes"] = []
    begin = int(given("--from", "21"))
    seconds, faults = (8.0, 5) if quick else (20.0, 12)
    with ProcessPoolExecutor(
        int(given("--at-once", "1")), multiprocessing.get_context("spawn")
    ) as thread_pool:
        played = [thread_pool.submit(told, seed, seconds, faults) for seed in range(begin, begin + count)]
        for one in as_completed(played):
            out["processes"].append(one.result())
            print("processes:", out["processes"][-1], flush=True)
    out["schedules_sound"] = sum(map(sound, out["processes"]))
    if "--only-processes" in sys.argv:
        good = out["schedules_sound"] == count
        print(json.dumps({"good": good, **summed(out["processes"])}))
        return 0 if good else 1
    out["agents"] = {n: sizes(n) for n in ((5, 20) if quick else (5, 20, 60))}
    print("agents:", out["agents"], flush=True)
    out["view_alone_death_s"] = {n: view_alone(n) for n in ((60,) if quick else (200, 500))}
    out["false_burials"] = false_burials(30.0 if quick else 600.0)
    bound = {
        5: 20.0,
        20: 30.0,
        60: 40.0,
    }  # s: three periods of suspicion for each doubling, and the way there
    good = (
        not out["virtual"]["wrong"]
        and all(out["planted_found_after"].values())
        and all(map(sound, out["processes"]))
        and all(one["death_seen_s"] <= bound[n] for n, one in out["agents"].items())
        and not out["false_burials"]
    )
    print(json.dumps({"good": good, **out}))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
