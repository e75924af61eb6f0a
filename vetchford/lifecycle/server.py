"""Start, signals and end of one server."""

import gc
import signal
import threading
from collections.abc import Callable
from typing import Any

import structlog

from vetchford import startup
from vetchford.lifecycle import configuration
from vetchford.lifecycle.counts import Counts
from vetchford.module import ModuleActor
from vetchford.wire.balancers import Doors
from vetchford.wire.members import Members
from vetchford.wire.pool import Pool
from vetchford.wire.records import Records

log = structlog.get_logger()

STACK = 256 * 1024  # bytes a thread; no call here nests deeply, and untouched pages cost nothing
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
MOVABLE = ("pool", "records", "members")  # keys of addresses that a running server can go over to
FIXED = ("name", "listen", "limits", "settings")  # keys that it can't change; they wait for the next start


def serve(told: dict[str, Any], reread: Callable[[], dict[str, Any]]) -> int:
    """Runs until a signal asks it to leave and all is answered; `reread` gives the configuration anew."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # taken by `sigwait` below, in no other thread
    threading.stack_size(STACK)
    counts = Counts()
    module = ModuleActor(configuration.seed(told), told["settings"], counts)
    pool = Pool(configuration.address(told, "pool"), module, counts)
    records = Records(configuration.address(told, "records"), module, counts)
    members = Members(configuration.address(told, "members"), told["name"], counts)
    stages, tenants, _ = startup.indices(told["settings"])
    try:
        doors = Doors(
            configuration.address(told, "listen"), told["limits"]["sockets"], stages, tenants, module, counts
        )
    except OSError as problem:
        log.error("cannot_listen", address=told["listen"], problem=problem.strerror)
        return 1
    stopped = threading.Event()
    module.attach(pool, records, members, doors, stopped.set)
    gc.collect()
    gc.freeze()
    for part in (module, members, records, pool, doors):
        part.begin()
    log.info("serving", name=told["name"], listen=":".join(map(str, doors.sock.getsockname())))
    while (caught := signal.sigwait(SIGNALS)) == signal.SIGHUP:
        told = renew(told, reread, {"pool": pool, "records": records, "members": members})
    log.info("signal", number=int(caught))
    grace = (told["settings"].get("rules") or {}).get("drainGrace") or 0
    module.tell(module.notice, float(told["stop_ms"]), grace / startup.NS_PER_MS)
    stopped.wait(told["stop_ms"] / 1000.0)
    log.info("stopped")
    return 0


def renew(
    told: dict[str, Any], reread: Callable[[], dict[str, Any]], peers: dict[str, Any]
) -> dict[str, Any]:
    """Goes over to the addresses of the file as it is now; one that is wrong leaves all as it was."""
    try:
        fresh = reread()
    except Exception as problem:  # whatever is wrong with the file, the server goes on
        log.error("configuration_refused", problem=str(problem))
        return told
    moved = [key for key in MOVABLE if fresh[key] != told[key]]
    for key in moved:
        peers[key].tell(peers[key].move, configuration.address(fresh, key))
    kept = [key for key in FIXED if fresh[key] != told[key]]
    log.info("configuration_renewed", moved=",".join(moved), not_changed=",".join(kept))
    return {**told, "stop_ms": fresh["stop_ms"], **{key: fresh[key] for key in MOVABLE}}
