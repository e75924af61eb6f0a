"""Command line and exit statuses; log events against the on-call page; timeouts of a filling listener."""

import json
import re
import socket
import subprocess
import sys

from helpers import ROOT, VALID_CONFIGURATION, Recorder

import vetchford
from vetchford.runtime.metrics import Metrics
from vetchford.server.client_connection import ClientConnection
from vetchford.server.listener import Listener


def run_command(*arguments, **environment):
    return subprocess.run(
        [sys.executable, "-m", "vetchford", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env={"PATH": "/usr/bin", **environment},
        cwd=ROOT,
    )


def test_wrong_usage_or_configuration_exits_with_2_and_one_error_line(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**VALID_CONFIGURATION, "pool": "?"}))
    for arguments in (
        ["serve"],
        ["start"],
        [],
        ["serve", "--config", str(tmp_path / "none")],
        ["serve", "--config", str(file)],
        ["--log-level", "loud", "version"],
    ):
        result = run_command(*arguments)
        assert (result.returncode, result.stdout, result.stderr.count("\n")) == (2, "", 1), (
            arguments,
            result.stderr,
        )
    assert "pool" in run_command("check", ROUTER_CONFIG=str(file)).stderr


def test_an_address_in_use_exits_with_1_and_logs_listen_failed(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        file = tmp_path / "config.json"
        file.write_text(json.dumps({**VALID_CONFIGURATION, "listen": f"127.0.0.1:{taken.getsockname()[1]}"}))
        result = run_command("--log-form", "json", "serve", "--config", str(file))
    assert result.returncode == 1 and json.loads(result.stderr)["event"] == "listen_failed"


def test_successful_commands_exit_with_0(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(VALID_CONFIGURATION))
    assert run_command("version").stdout == vetchford.__version__ + "\n"
    assert run_command("check", "--config", str(file)).returncode == 0
    assert json.loads(run_command("settings", "--config", str(file)).stdout)["tenants"] == ["acme"]
    assert "Usage" in run_command("--help").stdout
    assert run_command("--version").stdout == run_command("--log-form", "json", "version").stdout


def test_deeply_nested_json_is_refused_with_one_error_line(tmp_path):
    file = tmp_path / "config.json"
    file.write_text("[" * 200_000)
    result = run_command("check", "--config", str(file))
    assert result.returncode == 2 and result.stderr.count("\n") == 1 and "not valid JSON" in result.stderr


def test_the_code_and_the_on_call_page_name_the_same_log_events():
    code = "".join(path.read_text() for path in sorted((ROOT / "vetchford").rglob("*.py")))
    calls = r"(?:log\.\w+|\.log_sampled|\.log_event|\.count_event|host\.count|talk\.count|self\.count)"
    logged = set(re.findall(calls + r"\(\s*\"(\w+)\"", code))
    table = (ROOT / "docs" / "on-call.md").read_text().split("## Log events")[1].split("\n## ")[0]
    assert logged == set(re.findall(r"^\| `(\w+)`", table, re.M)) and len(logged) > 15


def test_silent_connections_time_out_sooner_in_a_fuller_table():
    # When hundreds of clients connect at once, the clients in the backlog would otherwise time out.
    listener = Listener(("127.0.0.1", 0), 10, {}, {}, Recorder(), Metrics())
    server_sock, client_sock = socket.socketpair()
    connection = ClientConnection(server_sock, listener, Metrics())
    for open_count, idle_s in ((2, 0.9), (6, 0.18), (9, 0.08)):
        listener.connections.open = set(range(open_count))
        assert not connection.check_timeouts(connection.state.last_active_at_s + idle_s)
        assert connection.check_timeouts(connection.state.last_active_at_s + idle_s + 0.15)
    for sock in (server_sock, client_sock, listener.sock):
        sock.close()
