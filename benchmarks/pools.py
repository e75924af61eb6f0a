"""Servers with bulkheads compared to servers without, in the same run.

Usage: python -m benchmarks.pools [--quick]

The cases are a slow records service, a worker pool that loses cores to another program, and one request
class alone. Each server has fakes of its own: a worker pool of two simulated cores and a records service of
eight slots. The load of five times the cores' capacity is about 340 requests a second, which one machine can
send. `session-check` takes 4 ms and no call, `fee-quote` 30 ms and `charge` 40 ms with one call each; their
utilities are 1, 2 and 3.
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

LATENCY_OBJECTIVE_MS, CLIENT_TIMEOUT_MS = 1800.0, 4400.0
CORES = 2
RECORDS_SLOTS = 8
CALL_MS = 40.0  # of a call at full speed of the records service
MIX = (
    ("session-check", 0.02, 4.0, 0, False),
    ("fee-quote", 0.49, 30.0, 1, False),
    ("charge", 0.49, 40.0, 1, True),
)  # request class, fraction of the offered work, ms on a core, calls, keyed
UTILITIES = (1.0, 2.0, 3.0)
OVERLOAD = 5.0  # offered work, relative to the capacity of the cores
MS_PER_S = 1000.0
US_PER_MS = 1000.0
NS_PER_MS = 1e6
SLOW_FACTOR = 0.1  # speed of the slow records service
FULL_SPEED_S = 4.0  # before the records service slows down
RECOVERED_S = 9.0  # run after the records service is back at full speed
STOLEN_FRACTION = 0.72  # of the cores
STOLEN_PERIOD_S = 3  # the cores are taken in every second period
STOLEN_S = 24
REPEAT_FRACTION = 0.02
LOAD_SEED = 7
SERVER_STOP_MS = 3200
START_ATTEMPTS = 400
START_POLL_S = 0.05
DRAIN_TIMEOUT_S = 10.0
LOAD_START_DELAY_S = 1.0
SETTLE_S = 1.0  # excluded at the beginning of a phase
RECOVERY_S = 5.0  # excluded after the records service is back
MIN_RATE_PER_S = 0.1  # lower bound of a divisor
ROOT = pathlib.Path(__file__).parent.parent


@dataclass
class Case:
    """A load and the behaviour of the fakes.

    `records_speed` and `stolen_cores` have steps (seconds from the start, value).
    """

    name: str
    seconds: float
    traffic: list[TrafficClass]
    records_speed: list[tuple[float, float]] = field(default_factory=lambda: [(0.0, 1.0)])
    stolen_cores: list[tuple[float, float]] = field(default_factory=lambda: [(0.0, 0.0)])
    mix_starts_at_s: float = 0.0


def traffic_mix(load: float, start_s: float = 0.0, end_s: float = 1e9) -> list[TrafficClass]:
    """Return the mix of all request classes at `load` times the capacity of the cores."""
    return [
        TrafficClass(
            name, load * CORES * fraction * MS_PER_S / work_ms, work_ms, calls, keyed, start_s, end_s
        )
        for name, fraction, work_ms, calls, keyed in MIX
    ]


def cases(quick: bool) -> list[Case]:
    """Return the cases of the benchmark."""
    slow_s = 8.0 if quick else 20.0
    dead_s = 2.0 if quick else 5.0
    recovers_at_s = FULL_SPEED_S + slow_s + dead_s
    alone_s = 7.0 if quick else 20.0
    charge_ms = 40.0
    charge_alone = [
        TrafficClass("charge", OVERLOAD * CORES * MS_PER_S / charge_ms, charge_ms, 1, True, 0.0, alone_s)
    ]
    return [
        # The records service runs at full speed, at a tenth, not at all, and at full speed again.
        Case(
            "ledger",
            recovers_at_s + RECOVERED_S,
            traffic_mix(OVERLOAD),
            records_speed=[
                (0.0, 1.0),
                (FULL_SPEED_S, SLOW_FACTOR),
                (FULL_SPEED_S + slow_s, 0.0),
                (recovers_at_s, 1.0),
            ],
        ),
        Case(
            "stolen",
            12.0 if quick else 24.0,
            traffic_mix(OVERLOAD),
            stolen_cores=[
                (float(at_s), STOLEN_FRACTION if at_s // STOLEN_PERIOD_S % 2 else 0.0)
                for at_s in range(0, STOLEN_S, STOLEN_PERIOD_S)
            ],
        ),
        # One request class alone, then the mix in addition.
        Case(
            "alone",
            alone_s + (5.0 if quick else 10.0),
            charge_alone + traffic_mix(OVERLOAD, alone_s),
            mix_starts_at_s=alone_s,
        ),
    ]


def settings() -> dict[str, Any]:
    """Return the platform settings of the servers."""
    classes = [
        {
            "name": name,
            "worth": utility,
            "promise": LATENCY_OBJECTIVE_MS * NS_PER_MS,
            "deadline": CLIENT_TIMEOUT_MS * NS_PER_MS,
            "effect": "idempotency_key" if keyed else "read_like",
            "window": 13_212_000_000,
        }
        for (name, _, _, _, keyed), utility in zip(MIX, UTILITIES, strict=True)
    ]
    return {
        "familyInfo": {
            "cores": CORES,
            "ramKb": 90_000.0,
            "blowup": 8.0,
            "keyKb": 0.5,
            "below": "shared",
            "depShare": float(RECORDS_SLOTS),
            "callsOver": 5_000_000_000,
            "callers": 24,
            "ownStats": ["core_use", "on_cores"],
            "classSkipWorth": [0.0, 0.5, 0.0],
        },
        "requestClasses": classes,
        "rules": {"fallMultiple": 8.0, "drainGrace": 2_000_000_000},
        "caps": {"retryAfter": True, "maxRetryAfter": 2_000_000_000},
    }


class ServerUnderLoad:
    """One server with its fakes and its load."""

    def __init__(self, case: Case, has_bulkheads: bool, folder: pathlib.Path) -> None:
        """Start the server and its fakes; the load starts with `run`."""
        self.case, self.name = case, f"{case.name}-{'on' if has_bulkheads else 'off'}"
        self.pool = FakeProcess(worker_pool.serve, CORES, case.stolen_cores)
        self.records = FakeProcess(records_service.serve, RECORDS_SLOTS, CALL_MS, case.records_speed)
        self.members = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.members.bind(("127.0.0.1", 0))
        config = folder / f"{self.name}.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:0",
                    "pool": self.pool.address,
                    "records": self.records.address,
                    "members": f"127.0.0.1:{self.members.getsockname()[1]}",
                    "seed": "8c1f30d27a5be964",
                    "stop_ms": SERVER_STOP_MS,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                    "settings": settings(),
                }
            )
        )
        command = [sys.executable, "-O", "-m", "vetchford", "serve", "--config", str(config)]
        self.log = (folder / f"{self.name}.log").open("w+")
        self.process = subprocess.Popen(
            command + (["--with", "deploy/pools.vet"] if has_bulkheads else []), cwd=ROOT, stderr=self.log
        )
        self.load = LoadGenerator(
            self.wait_for_port(folder),
            case.traffic,
            case.seconds,
            LATENCY_OBJECTIVE_MS,
            CLIENT_TIMEOUT_MS,
            seed=LOAD_SEED,
            repeat_fraction=REPEAT_FRACTION,
        )

    def wait_for_port(self, folder: pathlib.Path) -> int:
        """Return the port of the server once its log says that it serves.

        Raises:
            RuntimeError: the server did not start in time.
        """
        for _ in range(START_ATTEMPTS):
            for line in (folder / f"{self.name}.log").read_text().splitlines():
                if "event=serving" in line:
                    return int(line.rsplit(":", 1)[1].split()[0])
            time.sleep(START_POLL_S)
        raise RuntimeError(f"server {self.name} did not start within {START_ATTEMPTS * START_POLL_S:.0f} s")

    def run(self, start_at_s: float) -> None:
        """Run the load, beginning at this Unix time, stop the server and collect counts and violations."""
        self.pool.start_schedules(start_at_s)
        self.records.start_schedules(start_at_s)
        self.counts = self.load.run(start_at_s)
        self.process.terminate()
        if self.process.wait(DRAIN_TIMEOUT_S) != 0:
            self.load.violations.append("the server exited with a status other than 0")
        self.pool_counts, self.records_counts = self.pool.stop(), self.records.stop()
        log = pathlib.Path(self.log.name).read_text()
        self.load.violations += [
            line for line in log.splitlines() if "must_hold_broken" in line or "part_broke" in line
        ]
        keys = {request.key for request in self.load.plan if request.traffic.keyed}
        ran_twice = sum(count > 1 for key, count in self.pool_counts["ran"].items() if key in keys)
        if ran_twice:
            self.load.violations.append(f"{ran_twice} requests with an idempotency key ran twice")
        self.summary = [line for line in log.splitlines() if "event=summary" in line][-1]


def fraction_in_time(counts: RequestCounts, start_s: float = 0.0, end_s: float = 1e9) -> float:
    """Return the fraction of the first attempts scheduled in this period that succeeded in time."""
    outcomes = [in_time for at_s, in_time in counts.outcomes if start_s <= at_s < end_s]
    return sum(outcomes) / max(1, len(outcomes))


def rate_in_time(counts: RequestCounts, start_s: float, end_s: float) -> float:
    """Return the requests per second that succeeded in time in this period."""
    return sum(start_s <= at_s < end_s for at_s in counts.succeeded_at_s) / (end_s - start_s)


def measure(server: ServerUnderLoad) -> dict[str, Any]:
    """Return the figures of a server whose load has ended."""
    case, counts_by_class = server.case, server.counts
    violations = server.load.violations
    figures: dict[str, Any] = {"rules_broken": len(violations), "what": sorted(set(violations))[:5]}
    for name, counts in counts_by_class.items():
        figures[name] = {
            "tried": counts.sent,
            "share": round(fraction_in_time(counts), 4),
            "p50_ms": round(counts.response_times_us.get_value_at_percentile(50) / US_PER_MS, 1),
            "p99_ms": round(counts.response_times_us.get_value_at_percentile(99) / US_PER_MS, 1),
            "told_later": round(counts.with_retry_after / max(1, counts.rejected), 3),
        }
    if case.name == "ledger":
        slow_s, dead_s, recovered_s = (at_s for at_s, _ in case.records_speed[1:])
        max_call_rate = RECORDS_SLOTS / (CALL_MS / SLOW_FACTOR) * MS_PER_S  # per second
        call_times_s = server.records_counts["done"]
        call_rate = sum(slow_s + SETTLE_S <= at_s < dead_s for at_s in call_times_s) / (
            dead_s - slow_s - SETTLE_S
        )
        charge_rate = rate_in_time(counts_by_class["charge"], slow_s + SETTLE_S, dead_s)
        rate_before = sum(rate_in_time(counts, SETTLE_S, slow_s) for counts in counts_by_class.values())
        rate_after = sum(
            rate_in_time(counts, recovered_s + RECOVERY_S, recovered_s + RECOVERED_S)
            for counts in counts_by_class.values()
        )
        figures |= {
            "charge_of_slow_ledger": round(charge_rate / max_call_rate, 3),
            "calls_of_slow_ledger": round(call_rate / max_call_rate, 3),
            "served_before": round(rate_before, 1),
            "served_after": round(rate_after, 1),
        }
    if case.name == "alone":
        charge_rate = rate_in_time(counts_by_class["charge"], SETTLE_S, case.mix_starts_at_s)
        figures["served_a_second"] = round(charge_rate, 2)
    return figures


def main() -> int:
    """Run all cases at once, print the figures and return the exit status."""
    quick, figures = "--quick" in sys.argv, {}
    all_cases = cases(quick)
    with tempfile.TemporaryDirectory() as folder:
        servers = [
            ServerUnderLoad(case, has_bulkheads, pathlib.Path(folder))
            for case in all_cases
            for has_bulkheads in (True, False)
        ]
        start_at_s = time.time() + LOAD_START_DELAY_S
        threads = [threading.Thread(target=server.run, args=(start_at_s,)) for server in servers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for server in servers:
            figures[server.name] = measure(server)
            summary = server.summary.split("event=summary ")[1]
            print(server.name, json.dumps(figures[server.name]), "\n  ", summary)
    with_bulkheads, without_bulkheads = figures["ledger-on"], figures["ledger-off"]
    aims = {
        "session_check_served_0.99": min(
            figures[f"{name}-on"]["session-check"]["share"] for name in ("ledger", "stolen", "alone")
        ),
        "charge_of_slow_ledger_0.85": with_bulkheads["charge_of_slow_ledger"],
        "after_return_0.95": round(
            with_bulkheads["served_after"] / max(MIN_RATE_PER_S, with_bulkheads["served_before"]), 3
        ),
        "alone_0.97": round(
            figures["alone-on"]["served_a_second"]
            / max(MIN_RATE_PER_S, figures["alone-off"]["served_a_second"]),
            3,
        ),
    }
    violations = sum(figures[server.name]["rules_broken"] for server in servers)
    is_good = violations == 0 and all(value >= float(name.rsplit("_", 1)[1]) for name, value in aims.items())
    aims_without = {
        "session_check": min(
            figures[f"{name}-off"]["session-check"]["share"] for name in ("ledger", "stolen", "alone")
        ),
        "charge_of_slow_ledger": without_bulkheads["charge_of_slow_ledger"],
        "after_return": round(
            without_bulkheads["served_after"] / max(MIN_RATE_PER_S, without_bulkheads["served_before"]), 3
        ),
    }
    print(
        json.dumps(
            {
                "good": is_good,
                "rules_broken": violations,
                **aims,
                "without_pools": aims_without,
                "quick": quick,
            }
        )
    )
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
