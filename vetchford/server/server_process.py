"""Start, signals and end of one server."""

import gc
import threading
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import structlog

from vetchford.admission import factory
from vetchford.runtime.actor import start_thread
from vetchford.runtime.metrics import Metrics
from vetchford.server import platform_config, signals
from vetchford.server.admission_actor import AdmissionActor
from vetchford.server.listener import Listener
from vetchford.server.records_client import RecordsClient
from vetchford.server.registry_reporter import RegistryReporter
from vetchford.server.reload import ConfigurationReloader
from vetchford.server.worker_pool import WorkerPoolClient

log = structlog.get_logger()

STACK = 256 * 1024  # bytes a thread; no call here nests deeply, and untouched pages cost nothing
OTHERS = 8  # descriptors for listening, waiting, the pool's link, reports and the standard three
FOR_NEIGHBOURS = 4  # descriptors: datagrams, a door that takes nobody in, one that knocks there, one spare
MOST_CALLS = 56  # descriptors for calls: three times the calls that a server of twelve cores may have out
EXITS_IN = 0.02  # s from the last line of the log to the process's end; half of drain.LEAVE_BEFORE
MOVABLE = ("pool", "records", "members")  # keys of addresses that a running server can go over to
# Keys that it can't change; they wait for the next start.
FIXED = ("name", "listen", "limits", "settings", "declared")


def serve(
    told: dict[str, Any], reread: Callable[[], dict[str, Any]], log_ends_by: Callable[[float], None]
) -> int:
    """Runs until a signal asks it to leave and all is answered; `reread` gives the configuration anew.

    `log_ends_by` is told until when, in Unix s, the log may hold up the end.
    """
    threading.stack_size(STACK)
    metrics = Metrics()
    module = AdmissionActor(platform_config.seed(told), told["settings"], metrics, pools_from(told, metrics))
    pool = WorkerPoolClient(platform_config.address(told, "pool"), module, metrics)
    sockets = int(told["limits"]["sockets"])
    for_calls = min(MOST_CALLS, max(8, sockets // 4 - OTHERS))  # the rest is for balancers
    records = RecordsClient(platform_config.records(told), for_calls, module, metrics)
    members = RegistryReporter(platform_config.address(told, "members"), told["name"], metrics)
    stages, tenants, _ = factory.indices(told["settings"])
    try:
        neighbours = neighbours_from(told, module, metrics)
    except OSError as problem:
        log.error("cannot_listen", address=told["declared"]["together"]["listen"], problem=problem.strerror)
        return 1
    try:
        doors = Listener(
            platform_config.address(told, "listen"),
            sockets - for_calls - OTHERS - (FOR_NEIGHBOURS if neighbours else 0),
            stages,
            tenants,
            module,
            metrics,
        )
    except OSError as problem:
        log.error("cannot_listen", address=told["listen"], problem=problem.strerror)
        return 1
    stopped = threading.Event()
    module.attach(pool, records, members, doors, stopped.set)
    gc.collect()
    gc.freeze()
    for part in (module, members, pool, records, doors, *neighbours):
        part.start()
    log.info("serving", name=told["name"], listen=":".join(map(str, doors.sock.getsockname())))
    moves = {
        "pool": partial(pool.post, pool.change_address),
        "records": records.change_address,
        "members": partial(members.post, members.change_address),
    }
    renewals = ConfigurationReloader(
        told,
        lambda before: renew(before, reread, moves, neighbours),
        lambda act: start_thread(act, "renewal", metrics),
    )
    caught = signals.until_told_to_leave(renewals.ask)
    at = time.time() * 1000.0
    log.info("signal", number=caught)
    stop_ms = float(renewals.told["stop_ms"])
    log_ends_by((at + stop_ms) / 1000.0 - EXITS_IN)
    grace = (told["settings"].get("rules") or {}).get("drainGrace") or 0
    for part in neighbours:
        part.post(part.leave)
    module.post(module.notice, at, stop_ms, grace / factory.NS_PER_MS)
    try:
        threading.Thread(
            target=partial(signals.heed_for_good, renewals.ask), name="signals", daemon=True
        ).start()
    except RuntimeError as problem:  # the end goes before what may still move
        metrics.log_sampled("no_thread", part="signals", problem=str(problem))
    if not stopped.wait(max(0.0, (at + stop_ms) / 1000.0 - time.time())):
        log.error("stop_overrun", stop_ms=stop_ms)  # the module's thread is stuck; a kill is next
        return 1
    log.info("stopped")
    return 0


def pools_from(told: dict[str, Any], metrics: Metrics) -> Callable[[], Any] | None:
    declared = told.get("declared") or {}
    if not declared.get("pools") or declared["pools"] == "none":
        return None
    from vetchford.bulkheads import bulkhead_metrics  # a server without pools does without it

    return partial(bulkhead_metrics.pools, told["settings"], declared["pools"], metrics)


def neighbours_from(told: dict[str, Any], module: AdmissionActor, metrics: Metrics) -> list[Any]:
    """The actor that speaks to the other servers; none where they are not told of."""
    together = (told.get("declared") or {}).get("together")
    if not together:
        return []
    from vetchford.coordination import fleet_member  # a server alone does without it

    module.watch = fleet_member.measure()
    return [
        fleet_member.FleetMember(
            together,
            platform_config.seed(told),
            metrics,
            partial(module.post, module.survey),
            partial(module.post, module.fleet),
        )
    ]


def renew(
    told: dict[str, Any],
    reread: Callable[[], dict[str, Any]],
    moves: dict[str, Callable[..., None]],
    neighbours: Sequence[Any] = (),
) -> dict[str, Any]:
    """Goes over to the addresses of the file as it is now; one that is wrong leaves all as it was."""
    try:
        fresh = reread()
        moved = [key for key in MOVABLE if fresh.get(key) != told.get(key)]
        addresses = {
            key: platform_config.records(fresh) if key == "records" else platform_config.address(fresh, key)
            for key in moved
        }
    except Exception as problem:  # whatever is wrong with the file, the server goes on
        log.error("configuration_refused", problem=str(problem))
        return told
    for key in moved:
        moves[key](addresses[key])
    together = (fresh.get("declared") or {}).get("together")
    for part in neighbours if together else ():
        part.post(part.allow, together)
    kept = [key for key in FIXED if fresh.get(key) != told.get(key)]
    log.info("configuration_renewed", moved=",".join(moved), not_changed=",".join(kept))
    return {**told, "stop_ms": fresh["stop_ms"], **{key: fresh.get(key) for key in MOVABLE}}
