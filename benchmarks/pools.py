"""Class pools on real sockets, on against off in the same run: a slow ledger, stolen cores, one stage alone.

Usage: python -m benchmarks.pools [--quick]

One server a side, each with stand-ins of its own: two cores by time, a ledger of eight slots. Scaled down
to what one machine does: the pool's cores are simulated by time, and five times their capacity is some 340
tasks a second. `session-check` takes 4 ms and no call, `fee-quote` 30 and `charge` 40 with a call each;
utility 1, 2, 3.
"""

import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from testkit.fakes import records_service, worker_pool
from testkit.fakes.fake_process import FakeProcess
from testkit.fakes.load_generator import LoadGenerator, RequestCounts, TrafficClass

DUE, LIMIT = 1800.0, 4400.0  # ms, as the brief has them
CORES, SLOTS, CALL = 2, 8, 40.0  # cores, the ledger's slots, ms of a call at full speed
MIX = (
    ("session-check", 0.02, 4.0, 0, False),
    ("fee-quote", 0.49, 30.0, 1, False),
    ("charge", 0.49, 40.0, 1, True),
)  # part of the offered work, ms, calls, keyed
ROOT = pathlib.Path(__file__).parent.parent


@dataclass
class Case:
    name: str
    seconds: float
    flows: list[TrafficClass]
    speed: list[tuple[float, float]] = field(default_factory=lambda: [(0.0, 1.0)])
    taken: list[tuple[float, float]] = field(default_factory=lambda: [(0.0, 0.0)])
    change: float = 0.0  # s: when the mix begins, where it does not at once


def mix(times: float, begin: float = 0.0, end: float = 1e9) -> list[TrafficClass]:
    """So many times the cores' capacity."""
    return [
        TrafficClass(stage, times * CORES * part * 1000.0 / work, work, calls, keyed, begin, end)
        for stage, part, work, calls, keyed in MIX
    ]


def cases(quick: bool) -> list[Case]:
    slow = 8.0 if quick else 20.0
    dead = 2.0 if quick else 5.0
    back = 4.0 + slow + dead
    alone = 7.0 if quick else 20.0
    first = [TrafficClass("charge", 5.0 * CORES * 1000.0 / 40.0, 40.0, 1, True, 0.0, alone)]
    return [
        # Full speed, a tenth, nothing, and back at once.
        Case("ledger", back + 9.0, mix(5.0), speed=[(0.0, 1.0), (4.0, 0.1), (4.0 + slow, 0.0), (back, 1.0)]),
        Case(
            "stolen",
            12.0 if quick else 24.0,
            mix(5.0),
            taken=[(float(at), 0.72 if at // 3 % 2 else 0.0) for at in range(0, 24, 3)],
        ),
        # One stage alone, then the mix all at once.
        Case("alone", alone + (5.0 if quick else 10.0), first + mix(5.0, alone), change=alone),
    ]


def settings() -> dict[str, Any]:
    classes = [
        {
            "name": stage,
            "worth": worth,
            "promise": DUE * 1e6,
            "deadline": LIMIT * 1e6,
            "effect": "idempotency_key" if keyed else "read_like",
            "window": 13_212_000_000,
        }
        for (stage, _, _, _, keyed), worth in zip(MIX, (1.0, 2.0, 3.0), strict=True)
    ]
    return {
        "familyInfo": {
            "cores": CORES,
            "ramKb": 90_000.0,
            "blowup": 8.0,
            "keyKb": 0.5,
            "below": "shared",
            "depShare": float(SLOTS),
            "callsOver": 5_000_000_000,
            "callers": 24,
            "ownStats": ["core_use", "on_cores"],
            "classSkipWorth": [0.0, 0.5, 0.0],
        },
        "requestClasses": classes,
        "rules": {"fallMultiple": 8.0, "drainGrace": 2_000_000_000},
        "caps": {"retryAfter": True, "maxRetryAfter": 2_000_000_000},
    }


class Side:
    """One server with its stand-ins and its load."""

    def __init__(self, case: Case, pools: bool, folder: pathlib.Path) -> None:
        self.case, self.name = case, f"{case.name}-{'on' if pools else 'off'}"
        self.pool = FakeProcess(worker_pool.serve, CORES, case.taken)
        self.ledger = FakeProcess(records_service.serve, SLOTS, CALL, case.speed)
        self.members = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.members.bind(("127.0.0.1", 0))
        config = folder / f"{self.name}.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:0",
                    "pool": self.pool.address,
                    "records": self.ledger.address,
                    "members": f"127.0.0.1:{self.members.getsockname()[1]}",
                    "seed": "8c1f30d27a5be964",
                    "stop_ms": 3200,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                    "settings": settings(),
                }
            )
        )
        command = [sys.executable, "-O", "-m", "vetchford", "serve", "--config", str(config)]
        self.log = (folder / f"{self.name}.log").open("w+")
        self.process = subprocess.Popen(
            command + (["--with", "deploy/pools.vet"] if pools else []), cwd=ROOT, stderr=self.log
        )
        self.load = LoadGenerator(
            self.port(folder), case.flows, case.seconds, DUE, LIMIT, seed=7, repeat_fraction=0.02
        )

    def port(self, folder: pathlib.Path) -> int:
        for _ in range(400):
            for line in (folder / f"{self.name}.log").read_text().splitlines():
                if "event=serving" in line:
                    return int(line.rsplit(":", 1)[1].split()[0])
            time.sleep(0.05)
        raise RuntimeError("the server did not start")

    def run(self, begin: float) -> None:
        self.pool.start_schedules(begin)
        self.ledger.start_schedules(begin)
        self.tallies = self.load.run(begin)
        self.process.terminate()
        if self.process.wait(10.0) != 0:
            self.load.violations.append("the server did not end well")
        self.ran, self.calls = self.pool.stop(), self.ledger.stop()
        text = pathlib.Path(self.log.name).read_text()
        self.load.violations += [
            line for line in text.splitlines() if "must_hold_broken" in line or "part_broke" in line
        ]
        keyed = {sent.key for sent in self.load.plan if sent.traffic.keyed}
        twice = sum(count > 1 for key, count in self.ran["ran"].items() if key in keyed)
        if twice:
            self.load.violations.append(f"{twice} keyed tasks ran twice")
        self.summary = [line for line in text.splitlines() if "event=summary" in line][-1]


def share(tally: RequestCounts, begin: float = 0.0, end: float = 1e9) -> float:
    """Served in time of the first tries that were due to leave within these seconds."""
    tries = [good for at, good in tally.outcomes if begin <= at < end]
    return sum(tries) / max(1, len(tries))


def rate(tally: RequestCounts, begin: float, end: float) -> float:
    """Served in time a second."""
    return sum(begin <= at < end for at in tally.succeeded_at_s) / (end - begin)


def figures(side: Side) -> dict[str, Any]:
    case, tallies = side.case, side.tallies
    violations = side.load.violations
    out: dict[str, Any] = {"rules_broken": len(violations), "what": sorted(set(violations))[:5]}
    for stage, tally in tallies.items():
        out[stage] = {
            "tried": tally.sent,
            "share": round(share(tally), 4),
            "p50_ms": round(tally.response_times_us.get_value_at_percentile(50) / 1000.0, 1),
            "p99_ms": round(tally.response_times_us.get_value_at_percentile(99) / 1000.0, 1),
            "told_later": round(tally.with_retry_after / max(1, tally.rejected), 3),
        }
    if case.name == "ledger":
        slow, dead, back = (at for at, _ in case.speed[1:])
        gives = SLOTS / (CALL / 0.1) * 1000.0  # calls a second at a tenth
        done = sum(slow + 1.0 <= at < dead for at in side.calls["done"]) / (dead - slow - 1.0)
        charges = rate(tallies["charge"], slow + 1.0, dead)
        out |= {
            "charge_of_slow_ledger": round(charges / gives, 3),
            "calls_of_slow_ledger": round(done / gives, 3),
            "served_before": round(sum(rate(t, 1.0, slow) for t in tallies.values()), 1),
            "served_after": round(sum(rate(t, back + 5.0, back + 9.0) for t in tallies.values()), 1),
        }
    if case.name == "alone":
        out["served_a_second"] = round(rate(tallies["charge"], 1.0, case.change), 2)
    return out


def main() -> int:
    quick, found = "--quick" in sys.argv, {}
    wanted = cases(quick)
    with tempfile.TemporaryDirectory() as folder:
        sides = [Side(case, pools, pathlib.Path(folder)) for case in wanted for pools in (True, False)]
        begin = time.time() + 1.0
        threads = [threading.Thread(target=side.run, args=(begin,)) for side in sides]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for side in sides:
            found[side.name] = figures(side)
            print(side.name, json.dumps(found[side.name]), "\n  ", side.summary.split("event=summary ")[1])
    on, off = found["ledger-on"], found["ledger-off"]
    aims = {
        "session_check_served_0.99": min(
            found[f"{name}-on"]["session-check"]["share"] for name in ("ledger", "stolen", "alone")
        ),
        "charge_of_slow_ledger_0.85": on["charge_of_slow_ledger"],
        "after_return_0.95": round(on["served_after"] / max(0.1, on["served_before"]), 3),
        "alone_0.97": round(
            found["alone-on"]["served_a_second"] / max(0.1, found["alone-off"]["served_a_second"]), 3
        ),
    }
    broken = sum(found[side.name]["rules_broken"] for side in sides)
    good = broken == 0 and all(value >= float(name.rsplit("_", 1)[1]) for name, value in aims.items())
    without = {
        "session_check": min(
            found[f"{name}-off"]["session-check"]["share"] for name in ("ledger", "stolen", "alone")
        ),
        "charge_of_slow_ledger": off["charge_of_slow_ledger"],
        "after_return": round(off["served_after"] / max(0.1, off["served_before"]), 3),
    }
    print(
        json.dumps({"good": good, "rules_broken": broken, **aims, "without_pools": without, "quick": quick})
    )
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
