"""What a plain server imports, and that its `run` is one process that starts nothing."""

import ast
import json
import re
import subprocess
import sys
import tomllib

import pytest
from helpers import GOOD, ROOT

# Parts that a server does without, and the libraries that are theirs alone. structlog brings asyncio and
# with it subprocess, which nothing of ours uses, and would bring rich if it were there: hence blessed.
APART = (
    "vetchford.fleet",
    "vetchford.transport",
    "vetchford.subsetting",
    "vetchford.leases",
    "vetchford.gossip",
    "vetchford.coordination",
    "vetchford.configuration",
    "vetchford.bulkheads",
    "vetchford.bench_adapter",
    "testkit",
    "lark",
    "msgspec",
    "xxhash",
    "rich.console",
    "blessed",
    "sqlite3",
    "multiprocessing",
)


def imported(program, *given):
    ran = subprocess.run(
        [sys.executable, "-O", "-X", "importtime", *program, *given],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return ran, {
        line.rpartition("|")[2].strip() for line in ran.stderr.splitlines() if "import time:" in line
    }


def test_a_plain_server_imports_none_of_the_parts_that_it_does_not_use(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(GOOD))
    # As `serve` does, up to the sockets: all its modules are imported by then.
    program = (
        "import json, sys, threading\n"
        "from vetchford import cli\nfrom vetchford.server import server_process\n"
        "import signal\nheld = iter([signal.SIGTERM])\n"
        "signal.sigwait = lambda which: next(held, None) or threading.Event().wait()\n"
        f"sys.exit(cli.main(['--config', {str(file)!r}, 'serve']))"
    )
    ran, names = imported(["-c", program])
    assert ran.returncode == 0, ran.stderr[-2000:]
    assert "vetchford.server.listener" in names and "vetchford.server.admission_actor" in names
    wrong = {name for name in names for part in APART if name == part or name.startswith(part + ".")}
    assert not wrong


def test_run_is_one_process_by_exec_and_nothing_in_a_server_starts_another():
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert re.fullmatch(r"exec \.venv/bin/python -O -m vetchford serve", told["run"])
    files = [ROOT / name for name in told["node"]] + [ROOT / name for name in told["policy"]]
    code = "".join(
        path.read_text()
        for file in files
        for path in (sorted(file.rglob("*.py")) if file.is_dir() else [file])
    )
    assert not re.search(r"os\.fork|os\.exec|os\.spawn|subprocess|AF_UNIX|sendfile|splice|io_uring", code)


# A package or module and what it may import of ours beside itself; arrows run one way, from programs down to
# plain data. `errors` is open to all.
PEER_ACTORS = {"protocol", "runtime"}
ALLOWED_IMPORTS = {
    "admission": set(),
    "admission.actions": {"admission.rejection"},
    "admission.admission_checks": {
        "admission.capacity",
        "admission.completion_estimate",
        "admission.health",
        "admission.lifecycle",
        "admission.rejection",
        "admission.request",
        "admission.workload",
    },
    "admission.capacity": {"admission.request", "admission.workload"},
    "admission.completion_estimate": {"admission.capacity", "admission.request", "admission.workload"},
    "admission.concurrency_limits": set(),
    "admission.dependency_calls": {
        "admission.actions",
        "admission.capacity",
        "admission.health",
        "admission.request",
        "admission.workload",
    },
    "admission.events": {"admission.request"},
    "admission.health": {"admission.actions", "admission.workload"},
    "admission.idle_timeout": {"admission.actions", "admission.traffic"},
    "admission.in_flight_bytes": set(),
    "admission.lifecycle": {
        "admission.actions",
        "admission.capacity",
        "admission.rejection",
        "admission.request",
        "admission.retry_after",
        "admission.settings",
        "admission.traffic",
        "admission.workload",
    },
    "admission.published_load": {"admission.actions", "admission.settings"},
    "admission.client_waits": set(),
    "admission.rejection": set(),
    "admission.request": {"admission.concurrency_limits", "admission.settings"},
    "admission.retry_after": {"admission.request", "admission.traffic"},
    "admission.retry_objective": {"admission.client_waits", "admission.request", "admission.retry_after"},
    "admission.scheduler": {
        "admission.actions",
        "admission.capacity",
        "admission.completion_estimate",
        "admission.health",
        "admission.lifecycle",
        "admission.rejection",
        "admission.request",
        "admission.workload",
    },
    "admission.settings": set(),
    "admission.shared_capacity": {"admission.capacity", "admission.request", "admission.workload"},
    "admission.slow_start": {"admission.request"},
    "admission.tenant_quotas": set(),
    "admission.traffic": set(),
    "admission.workload": {
        "admission.concurrency_limits",
        "admission.in_flight_bytes",
        "admission.request",
        "admission.slow_start",
        "admission.tenant_quotas",
        "admission.worst_class",
    },
    "admission.worst_class": {"admission.request"},
    "bench_adapter": {"admission", "protocol.platform_settings", "server.index_allocator"},
    "bulkheads": {
        "admission.concurrency_limits",
        "admission.request",
        "admission.settings",
        "admission.workload",
        "runtime",
    },
    "configuration": set(),
    "coordination": {"fleet", "gossip", "leases", "runtime", "subsetting", "transport"},
    "fleet": {"runtime", "transport"},
    "gossip": set(),
    "leases": set(),
    "protocol": {"admission.request", "admission.settings"},
    "runtime": set(),
    "server": {"admission", "bulkheads", "configuration", "coordination", "protocol", "runtime"},
    "server.calls_in_flight": {"runtime", "server.records_client", "server.request_table"},
    "server.client_connection": {
        *PEER_ACTORS,
        "server.client_messages",
        "server.connection_limits",
        "server.connection_state",
        "server.idle_poller",
    },
    "server.connection_state": {"server.connection_limits"},
    "server.connection_table": {
        "runtime",
        "server.client_connection",
        "server.connection_limits",
    },
    "server.client_messages": {*PEER_ACTORS, "server.connection_limits"},
    "server.connection_limits": {"protocol"},
    "server.idempotency_cache": set(),
    "server.idle_poller": PEER_ACTORS,
    "server.index_allocator": set(),
    "server.listener": {
        *PEER_ACTORS,
        "server.client_connection",
        "server.client_messages",
        "server.connection_limits",
        "server.connection_table",
        "server.idle_poller",
    },
    "server.records_client": {*PEER_ACTORS, "server.records_connection"},
    "server.records_connection": {*PEER_ACTORS, "admission.request"},
    "server.registry_reporter": PEER_ACTORS,
    "server.request_answers": {*PEER_ACTORS, "admission.request", "server.request_table"},
    "server.request_table": {"server.index_allocator"},
    "server.server_clock": {"runtime"},
    "server.worker_pool": {*PEER_ACTORS, "admission.request"},
    "server.worker_pool_commands": {*PEER_ACTORS, "server.request_table", "server.worker_pool"},
    "server.worker_pool_gauges": {"protocol.platform_settings"},
    "subsetting": set(),
    "transport": {"runtime"},
}


def modules_imported(path):
    """Full names below `vetchford`, of packages or of modules in them."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        yield from (name.removeprefix("vetchford.") for name in names if name.startswith("vetchford."))


def test_every_package_has_its_rule():
    packages = {path.parent.name for path in (ROOT / "vetchford").glob("*/__init__.py")}
    assert packages == {name for name in ALLOWED_IMPORTS if "." not in name}


def test_every_module_of_admission_has_its_rule_but_those_that_wire_it():
    modules = {path.stem for path in (ROOT / "vetchford/admission").glob("*.py")}
    ruled = {name.removeprefix("admission.") for name in ALLOWED_IMPORTS if name.startswith("admission.")}
    assert ruled == modules - {"__init__", "controller", "factory"}


@pytest.mark.parametrize("part", sorted(ALLOWED_IMPORTS))
def test_imports_run_one_way(part):
    place = ROOT / "vetchford" / part.replace(".", "/")
    paths = sorted(place.rglob("*.py")) if place.is_dir() else [place.with_suffix(".py")]
    for path in paths:
        for name in modules_imported(path):
            allowed = any(
                f"{name}.".startswith(f"{other}.") for other in {*ALLOWED_IMPORTS[part], part, "errors"}
            )
            assert allowed, f"{path.name} of {part} imports {name}"
