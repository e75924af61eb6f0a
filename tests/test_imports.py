"""Imports of a server and of each package, and that the `run` command is a single process."""

import ast
import json
import re
import subprocess
import sys
import tomllib

import pytest
from helpers import ROOT, VALID_CONFIGURATION

# Packages that a server with a basic configuration does not use, and the libraries that only they use.
# structlog imports asyncio, and with it subprocess, which such a server does not use. It would also import
# rich if that were installed, so commands use blessed.
NOT_IMPORTED_BY_SERVER = (
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


def run_and_list_imports(program, *arguments):
    result = subprocess.run(
        [sys.executable, "-O", "-X", "importtime", *program, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return result, {
        line.rpartition("|")[2].strip() for line in result.stderr.splitlines() if "import time:" in line
    }


def test_a_server_with_a_basic_configuration_imports_no_unused_packages(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(VALID_CONFIGURATION))
    # Runs `serve` until its sockets are open, when all its modules are imported; then SIGTERM ends it.
    program = (
        "import json, sys, threading\n"
        "from vetchford import cli\nfrom vetchford.server import server_process\n"
        "import signal\nheld = iter([signal.SIGTERM])\n"
        "signal.sigwait = lambda which: next(held, None) or threading.Event().wait()\n"
        f"sys.exit(cli.main(['--config', {str(file)!r}, 'serve']))"
    )
    result, names = run_and_list_imports(["-c", program])
    assert result.returncode == 0, result.stderr[-2000:]
    assert "vetchford.server.listener" in names and "vetchford.server.admission_actor" in names
    unused = {
        name
        for name in names
        for package in NOT_IMPORTED_BY_SERVER
        if name == package or name.startswith(package + ".")
    }
    assert not unused


def test_the_run_command_is_one_process_and_server_modules_start_no_other():
    configuration = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert re.fullmatch(r"exec \.venv/bin/python -O -m vetchford serve", configuration["run"])
    files = [ROOT / name for name in configuration["node"]] + [
        ROOT / name for name in configuration["policy"]
    ]
    code = "".join(
        path.read_text()
        for file in files
        for path in (sorted(file.rglob("*.py")) if file.is_dir() else [file])
    )
    assert not re.search(r"os\.fork|os\.exec|os\.spawn|subprocess|AF_UNIX|sendfile|splice|io_uring", code)


# Packages and modules with the packages and modules of this project that each may import, besides itself.
# Imports go in one direction, from programs to plain data. All may import `errors`.
PROTOCOL_AND_RUNTIME = {"protocol", "runtime"}
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
    "admission.idle_refusals": {
        "admission.actions",
        "admission.health",
        "admission.rejection",
        "admission.retry_objective",
        "admission.workload",
    },
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
    "admission.unconfirmed_commands": {"admission.health"},
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
        *PROTOCOL_AND_RUNTIME,
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
    "server.client_messages": {*PROTOCOL_AND_RUNTIME, "server.connection_limits"},
    "server.connection_limits": {"protocol"},
    "server.idempotency_cache": set(),
    "server.idle_poller": PROTOCOL_AND_RUNTIME,
    "server.index_allocator": set(),
    "server.listener": {
        *PROTOCOL_AND_RUNTIME,
        "server.client_connection",
        "server.client_messages",
        "server.connection_limits",
        "server.connection_table",
        "server.idle_poller",
    },
    "server.records_client": {*PROTOCOL_AND_RUNTIME, "server.records_connection"},
    "server.records_connection": {*PROTOCOL_AND_RUNTIME, "admission.request"},
    "server.registry_reporter": PROTOCOL_AND_RUNTIME,
    "server.request_answers": {*PROTOCOL_AND_RUNTIME, "admission.request", "server.request_table"},
    "server.request_table": {"server.index_allocator", "server.worker_pool_command"},
    "server.server_clock": {"runtime"},
    "server.worker_pool": {*PROTOCOL_AND_RUNTIME, "admission.request", "server.worker_pool_command"},
    "server.worker_pool_command": set(),
    "server.worker_pool_commands": {
        *PROTOCOL_AND_RUNTIME,
        "server.request_table",
        "server.worker_pool",
        "server.worker_pool_command",
    },
    "server.worker_pool_gauges": {"protocol.platform_settings"},
    "subsetting": set(),
    "transport": {"runtime"},
}


def modules_imported(path):
    """Yield the names of imported packages and modules of `vetchford`, without that prefix."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        yield from (name.removeprefix("vetchford.") for name in names if name.startswith("vetchford."))


def test_every_package_has_an_import_rule():
    packages = {path.parent.name for path in (ROOT / "vetchford").glob("*/__init__.py")}
    assert packages == {name for name in ALLOWED_IMPORTS if "." not in name}


def test_every_admission_module_except_controller_and_factory_has_an_import_rule():
    modules = {path.stem for path in (ROOT / "vetchford/admission").glob("*.py")}
    modules_with_rule = {
        name.removeprefix("admission.") for name in ALLOWED_IMPORTS if name.startswith("admission.")
    }
    assert modules_with_rule == modules - {"__init__", "controller", "factory"}


@pytest.mark.parametrize("importer", sorted(ALLOWED_IMPORTS))
def test_packages_and_modules_import_only_what_their_rule_allows(importer):
    location = ROOT / "vetchford" / importer.replace(".", "/")
    paths = sorted(location.rglob("*.py")) if location.is_dir() else [location.with_suffix(".py")]
    for path in paths:
        for name in modules_imported(path):
            allowed = any(
                f"{name}.".startswith(f"{other}.")
                for other in {*ALLOWED_IMPORTS[importer], importer, "errors"}
            )
            assert allowed, f"{path.name} of {importer} imports {name}"
