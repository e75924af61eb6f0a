"""The agent and `vetchford fleet` with real processes: hung drains, agent kills, stores and limits."""

import json
import os
import signal
import socket
import sqlite3
import subprocess
import sys
import time
from pathlib import Path

import pytest

from vetchford.fleet import supervisor
from vetchford.fleet.history_store import Store, StoreError

ROOT = Path(__file__).parent.parent.parent
WAIT_TIMEOUT_S = 30.0


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


class AgentUnderTest:
    """An agent process with a few instances, in its own directory."""

    def __init__(self, directory, behaviours, stop="1s", ready="8s", extra_settings=""):
        self.directory, self.socket, self.process = directory, str(directory / "agent.sock"), None
        entries = []
        for number, behaviour in enumerate(behaviours):
            address = f"127.0.0.1:{free_port()}"
            command = json.dumps([sys.executable, "-S", "-m", "testkit.fakes.instance", address, behaviour])
            entries.append(
                f'n{number}: {{command: {command}, listen: "{address}", stop_ms: {stop}, '
                f"ready_ms: {ready}{extra_settings}}}"
            )
        (directory / "fleet.vet").write_text(f"""
version: 1
agent: {{
    socket: {json.dumps(self.socket)}
    store: {json.dumps(str(directory / "store"))}
    logs: {json.dumps(str(directory / "logs"))}
    instances: {{
        {chr(10).join(entries)}
    }}
    versions: {{
        v2: [{json.dumps(sys.executable)}, "-S", "-m", "testkit.fakes.instance", "{{listen}}", "good"]
        bad: [{json.dumps(sys.executable)}, "-S", "-m", "testkit.fakes.instance", "{{listen}}", "crash"]
    }}
}}
""")

    def start(self):
        command = [sys.executable, "-m", "vetchford", "agent", "--with", str(self.directory / "fleet.vet")]
        self.log = (self.directory / "agent.log").open("a")
        self.process = subprocess.Popen(command, cwd=ROOT, stderr=self.log)
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline_s and self.process.poll() is None:
            with socket.socket(socket.AF_UNIX) as sock:
                if sock.connect_ex(self.socket) == 0:
                    return self
            time.sleep(0.02)
        raise AssertionError((self.directory / "agent.log").read_text())

    def kill(self):
        self.process.kill()
        self.process.wait()

    def run_tool(self, *arguments, check=True):
        command = [
            sys.executable,
            "-m",
            "vetchford",
            "fleet",
            "--socket",
            self.socket,
            "--json",
            "--soak",
            "200",
            "--patience",
            "40",
            *arguments,
        ]
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
        assert not check or completed.returncode == 0, (
            completed.stdout,
            completed.stderr,
            (self.directory / "agent.log").read_text(),
        )
        return completed

    def status(self):
        reply = json.loads(self.run_tool("status").stdout)
        return {instance["name"]: instance for instance in reply["instances"]}

    def __enter__(self):
        return self.start()

    def __exit__(self, *exception):
        token = next(
            (
                body["token"]
                for kind, _, body in Store(str(self.directory / "store")).records()
                if kind == "agent"
            ),
            "",
        )
        if self.process.poll() is None:
            self.kill()
        for processes in supervisor.find_processes(token).values() if token else ():
            for process, _ in processes:
                process.signal(signal.SIGKILL)
                process.reap()


def test_start_roll_and_stop_kill_and_report_an_instance_that_outlives_its_stop_timeout(tmp_path):
    with AgentUnderTest(tmp_path, ["good", "good", "hang"]) as agent:
        agent.run_tool("start", "--batch", "3", "all")
        before = agent.status()
        assert {instance["state"] for instance in before.values()} == {"serving"}
        rolled = json.loads(agent.run_tool("roll", "--to", "v2", "--floor", "2", "all").stdout)
        assert rolled["state"] == "finished" and rolled["killed"] == ["n2"]
        after = agent.status()
        assert {instance["version"] for instance in after.values()} == {"v2"} and after["n2"]["killed"] == 1
        assert not {instance["pid"] for instance in before.values()} & {
            instance["pid"] for instance in after.values()
        }
        completed = agent.run_tool("stop", "--floor", "3", "n0", check=False)
        assert completed.returncode == 2 and "under the floor of 3" in completed.stderr
        agent.run_tool("stop", "n*")
        assert {instance["state"] for instance in agent.status().values()} == {"stopped"}


@pytest.mark.parametrize("kill_after_s", [0.15, 0.6, 1.1])
def test_an_agent_killed_during_a_roll_adopts_running_instances_and_resumes_the_rollout(
    tmp_path, kill_after_s
):
    with AgentUnderTest(tmp_path, ["good"] * 4) as agent:
        agent.run_tool("start", "--batch", "4", "all")
        agent.run_tool("roll", "--to", "v2", "--id", "r1", "--no-wait", "--floor", "2", "all")
        time.sleep(kill_after_s)
        agent.kill()
        agent.start()
        repeated = agent.run_tool(
            "roll", "--to", "v2", "--id", "r1", "--floor", "2", "all"
        )  # the same id: the same rollout
        assert json.loads(repeated.stdout)["state"] == "finished"
        status = agent.status()
        token = next(
            body["token"] for kind, _, body in Store(str(tmp_path / "store")).records() if kind == "agent"
        )
        found = supervisor.find_processes(token)
        assert {name: [process.pid for process, _ in processes] for name, processes in found.items()} == {
            name: [instance["pid"]] for name, instance in status.items()
        }
        assert {version for processes in found.values() for _, version in processes} == {"v2"}
        for processes in found.values():
            os.close(processes[0][0].pidfd)


def test_a_crashing_version_is_rolled_back_and_the_tool_exits_with_partly_done(tmp_path):
    with AgentUnderTest(tmp_path, ["good"] * 3) as agent:
        agent.run_tool("start", "--batch", "3", "all")
        completed = agent.run_tool("roll", "--to", "bad", "--on-failure", "back", "all", check=False)
        assert completed.returncode == 3 and json.loads(completed.stdout)["why"] == "gone back"
        assert {(instance["state"], instance["version"]) for instance in agent.status().values()} == {
            ("serving", "1")
        }
        assert (
            "exited by itself" in agent.run_tool("history").stdout
            or "gone back" in agent.run_tool("history").stdout
        )


def test_an_instance_that_exits_is_restarted_and_a_second_agent_on_the_store_is_refused(tmp_path):
    with AgentUnderTest(tmp_path, ["good"]) as agent:
        agent.run_tool("start", "all")
        pid = agent.status()["n0"]["pid"]
        os.kill(pid, signal.SIGKILL)
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while (instance := agent.status()["n0"])["pid"] in (0, pid) or instance["state"] != "serving":
            assert time.monotonic() < deadline_s
            time.sleep(0.1)
        assert instance["restarts"] == 1
        second_agent = subprocess.run(
            [sys.executable, "-m", "vetchford", "agent", "--with", str(tmp_path / "fleet.vet")],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=WAIT_TIMEOUT_S,
        )
        assert second_agent.returncode == 1 and "another agent has it open" in second_agent.stderr


def test_an_agent_whose_socket_file_was_removed_shuts_down_normally(tmp_path):
    agent = AgentUnderTest(tmp_path, ["good"]).start()
    try:
        os.unlink(agent.socket)
        agent.process.terminate()
        assert agent.process.wait(WAIT_TIMEOUT_S) == 0, (tmp_path / "agent.log").read_text()
    finally:
        agent.kill()


def test_status_reports_an_unreachable_agent_as_unknown_without_delaying_the_others(tmp_path):
    with AgentUnderTest(tmp_path, ["good"]) as agent:
        completed = agent.run_tool("--socket", str(tmp_path / "nobody"), "status", check=False)
        assert completed.returncode == 4 and "the agent's state is unknown" in completed.stderr
        assert {"unknown", "instances"} <= {
            key for reply in json.loads(completed.stdout).values() for key in reply
        }


def test_a_corrupt_store_or_one_of_another_version_is_refused_and_the_history_is_bounded(
    tmp_path, monkeypatch
):
    path = str(tmp_path / "store")
    store = Store(path)
    monkeypatch.setattr("vetchford.fleet.history_store.MAX_HISTORY_ENTRIES", 20)
    monkeypatch.setattr("vetchford.fleet.history_store.PRUNE_INTERVAL_WRITES", 10)
    for number in range(100):
        store.put("instance", "n1", {"wanted": bool(number % 2)})
    assert len(store.history(1000)) <= 30 and store.records() == [("instance", "n1", {"wanted": True})]
    store.close()
    database = sqlite3.connect(path)
    database.execute("UPDATE newest SET body = '{}'")
    database.commit()
    with pytest.raises(StoreError, match="checksum mismatch in the record of instance n1"):
        Store(path).records()
    database.execute("UPDATE meta SET version = 9")
    database.commit()
    with pytest.raises(StoreError, match="schema version 9, expected 1"):
        Store(path)
    database.close()
    for file in tmp_path.iterdir():
        file.unlink()
    Path(path).write_bytes(b"no database at all, but long enough to look like one" * 100)
    with pytest.raises(StoreError, match="move the file away"):
        Store(path)


def test_a_failed_write_raises_and_leaves_the_store_unchanged(tmp_path):
    store = Store(str(tmp_path / "store"))
    store.put("instance", "n1", {"wanted": True})
    store.connection.execute("PRAGMA max_page_count = 1")
    with pytest.raises(OSError, match="full"):
        for number in range(1000):
            store.put("change", f"c{number}", {"text": "x" * 1000})
    store.connection.execute("PRAGMA max_page_count = 100000")
    assert ("instance", "n1", {"wanted": True}) in store.records()


def test_an_unreadable_history_fails_only_the_request_for_it(tmp_path):
    store = Store(str(tmp_path / "store"))
    store.put("instance", "n0", {"wanted": True})
    store.connection.execute("DROP TABLE history")
    with pytest.raises(OSError, match="no such table"):
        store.history(5)
    assert [name for _, name, _ in store.records()] == ["n0"]
    store.connection.execute("DROP TABLE newest")
    with pytest.raises(StoreError, match="move the file away"):
        store.records()


def test_a_long_log_is_rotated_and_its_writer_continues(tmp_path):
    path = str(tmp_path / "n1.log")
    assert not supervisor.rotate_log(path, 100)  # no log yet
    with open(path, "ab", buffering=0) as writer:
        writer.write(b"a" * 100)
        assert not supervisor.rotate_log(path, 100)
        writer.write(b"b")
        assert supervisor.rotate_log(path, 100)
        writer.write(b"c")
    assert Path(path).read_bytes() == b"c" and Path(path + ".1").read_bytes() == b"a" * 100 + b"b"


def test_instance_limits_are_applied_and_exceeding_the_memory_limit_pauses_rollouts(tmp_path):
    with AgentUnderTest(
        tmp_path, ["good", "good"], extra_settings=", descriptors: 77, memory_mb: 1"
    ) as agent:
        completed = agent.run_tool("start", "--batch", "1", "--spacing", "9000", "all", check=False)
        reply = json.loads(completed.stdout)
        assert completed.returncode == 1 and reply["state"] == "paused" and "takes over 1 MB" in reply["why"]
        pid = next(instance["pid"] for instance in agent.status().values() if instance["pid"])
        limit = next(
            line for line in Path(f"/proc/{pid}/limits").read_text().splitlines() if "open files" in line
        )
        assert limit.split()[3:5] == ["77", "77"]
