"""The command line and its exit statuses; log events against the on-call page; a listener that is filling."""

import json
import re
import socket
import subprocess
import sys

from helpers import GOOD, ROOT, Recorder

import vetchford
from vetchford.runtime.metrics import Metrics
from vetchford.server.client_connection import ClientConnection
from vetchford.server.listener import Listener


def command(*given, **environment):
    return subprocess.run(
        [sys.executable, "-m", "vetchford", *given],
        capture_output=True,
        text=True,
        timeout=60,
        env={"PATH": "/usr/bin", **environment},
        cwd=ROOT,
    )


def test_wrong_usage_or_configuration_exits_with_2_and_one_error_line(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**GOOD, "pool": "?"}))
    for given in (
        ["serve"],
        ["start"],
        [],
        ["serve", "--config", str(tmp_path / "none")],
        ["serve", "--config", str(file)],
        ["--log-level", "loud", "version"],
    ):
        ran = command(*given)
        assert (ran.returncode, ran.stdout, ran.stderr.count("\n")) == (2, "", 1), (given, ran.stderr)
    assert "pool" in command("check", ROUTER_CONFIG=str(file)).stderr


def test_an_address_in_use_exits_with_1_and_logs_listen_failed(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        file = tmp_path / "config.json"
        file.write_text(json.dumps({**GOOD, "listen": f"127.0.0.1:{taken.getsockname()[1]}"}))
        ran = command("--log-form", "json", "serve", "--config", str(file))
    assert ran.returncode == 1 and json.loads(ran.stderr)["event"] == "listen_failed"


def test_successful_commands_exit_with_0(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(GOOD))
    assert command("version").stdout == vetchford.__version__ + "\n"
    assert command("check", "--config", str(file)).returncode == 0
    assert json.loads(command("settings", "--config", str(file)).stdout)["tenants"] == ["acme"]
    assert "Usage" in command("--help").stdout
    assert command("--version").stdout == command("--log-form", "json", "version").stdout


def test_deeply_nested_json_is_refused_with_one_error_line(tmp_path):
    file = tmp_path / "config.json"
    file.write_text("[" * 200_000)
    out = command("check", "--config", str(file))
    assert out.returncode == 2 and out.stderr.count("\n") == 1 and "no JSON" in out.stderr


def test_the_code_and_the_on_call_page_name_the_same_log_events():
    code = "".join(path.read_text() for path in sorted((ROOT / "vetchford").rglob("*.py")))
    calls = r"(?:log\.\w+|\.log_sampled|\.log_event|\.count_event|\.note|host\.count|talk\.count|self\.count)"
    said = set(re.findall(calls + r"\(\s*\"(\w+)\"", code))
    table = (ROOT / "docs" / "on-call.md").read_text().split("## Log events")[1].split("\n## ")[0]
    assert said == set(re.findall(r"^\| `(\w+)`", table, re.M)) and len(said) > 15


def test_silent_connections_time_out_sooner_in_a_fuller_table():
    # Hundreds connect at once: balancers that wait behind them would wait past their time limits.
    doors = Listener(("127.0.0.1", 0), 10, {}, {}, Recorder(), Metrics())
    ours, theirs = socket.socketpair()
    connection = ClientConnection(ours, doors, Metrics())
    for held, stays in ((2, 0.9), (6, 0.18), (9, 0.08)):
        doors.connections.open = set(range(held))
        assert not connection.check_timeouts(connection.state.last_active_at_s + stays)
        assert connection.check_timeouts(connection.state.last_active_at_s + stays + 0.15)
    for part in (ours, theirs, doors.sock):
        part.close()
