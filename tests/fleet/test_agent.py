"""The agent and the tool with real processes: hung drains, kills of the agent, strays, wrong stores."""

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
PATIENCE = 30.0  # s


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


class Machine:
    """One agent over a few instances, in a folder of its own."""

    def __init__(self, folder, behaviours, stop="1s", ready="8s", more=""):
        self.folder, self.socket, self.agent = folder, str(folder / "agent.sock"), None
        entries = []
        for at, behaviour in enumerate(behaviours):
            address = f"127.0.0.1:{free_port()}"
            command = json.dumps([sys.executable, "-S", "-m", "testkit.fakes.instance", address, behaviour])
            entries.append(
                f'n{at}: {{command: {command}, listen: "{address}", stop_ms: {stop}, '
                f"ready_ms: {ready}{more}}}"
            )
        (folder / "fleet.vet").write_text(f"""
version: 1
agent: {{
    socket: {json.dumps(self.socket)}
    store: {json.dumps(str(folder / "store"))}
    logs: {json.dumps(str(folder / "logs"))}
    instances: {{
        {chr(10).join(entries)}
    }}
    versions: {{
        v2: [{json.dumps(sys.executable)}, "-S", "-m", "testkit.fakes.instance", "{{listen}}", "good"]
        bad: [{json.dumps(sys.executable)}, "-S", "-m", "testkit.fakes.instance", "{{listen}}", "crash"]
    }}
}}
""")

    def begin(self):
        command = [sys.executable, "-m", "vetchford", "agent", "--with", str(self.folder / "fleet.vet")]
        self.log = (self.folder / "agent.log").open("a")
        self.agent = subprocess.Popen(command, cwd=ROOT, stderr=self.log)
        until = time.monotonic() + PATIENCE
        while time.monotonic() < until and self.agent.poll() is None:
            with socket.socket(socket.AF_UNIX) as sock:
                if sock.connect_ex(self.socket) == 0:
                    return self
            time.sleep(0.02)
        raise AssertionError((self.folder / "agent.log").read_text())

    def kill(self):
        self.agent.kill()
        self.agent.wait()

    def tool(self, *given, check=True):
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
            *given,
        ]
        ran = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
        assert not check or ran.returncode == 0, (
            ran.stdout,
            ran.stderr,
            (self.folder / "agent.log").read_text(),
        )
        return ran

    def status(self):
        answer = json.loads(self.tool("status").stdout)
        return {one["name"]: one for one in answer["instances"]}

    def __enter__(self):
        return self.begin()

    def __exit__(self, *problem):
        token = next(
            (
                body["token"]
                for kind, _, body in Store(str(self.folder / "store")).records()
                if kind == "agent"
            ),
            "",
        )
        if self.agent.poll() is None:
            self.kill()
        for several in supervisor.find_processes(token).values() if token else ():
            for process, _ in several:
                process.signal(signal.SIGKILL)
                process.reap()


def test_start_roll_and_stop_kill_and_report_an_instance_that_outlives_its_stop_timeout(tmp_path):
    with Machine(tmp_path, ["good", "good", "hang"]) as machine:
        machine.tool("start", "--batch", "3", "all")
        before = machine.status()
        assert {one["state"] for one in before.values()} == {"serving"}
        rolled = json.loads(machine.tool("roll", "--to", "v2", "--floor", "2", "all").stdout)
        assert rolled["state"] == "finished" and rolled["killed"] == ["n2"]
        after = machine.status()
        assert {one["version"] for one in after.values()} == {"v2"} and after["n2"]["killed"] == 1
        assert not {one["pid"] for one in before.values()} & {one["pid"] for one in after.values()}
        ran = machine.tool("stop", "--floor", "3", "n0", check=False)
        assert ran.returncode == 2 and "under the floor of 3" in ran.stderr
        machine.tool("stop", "n*")
        assert {one["state"] for one in machine.status().values()} == {"stopped"}


@pytest.mark.parametrize("after", [0.15, 0.6, 1.1])
def test_an_agent_killed_during_a_roll_adopts_running_instances_and_resumes_the_rollout(tmp_path, after):
    with Machine(tmp_path, ["good"] * 4) as machine:
        machine.tool("start", "--batch", "4", "all")
        machine.tool("roll", "--to", "v2", "--id", "r1", "--no-wait", "--floor", "2", "all")
        time.sleep(after)
        machine.kill()
        machine.begin()
        again = machine.tool(
            "roll", "--to", "v2", "--id", "r1", "--floor", "2", "all"
        )  # the same command: the same change
        assert json.loads(again.stdout)["state"] == "finished"
        status = machine.status()
        token = next(
            body["token"] for kind, _, body in Store(str(tmp_path / "store")).records() if kind == "agent"
        )
        found = supervisor.find_processes(token)
        assert {name: [process.pid for process, _ in several] for name, several in found.items()} == {
            name: [one["pid"]] for name, one in status.items()
        }
        assert {version for several in found.values() for _, version in several} == {"v2"}
        for several in found.values():
            os.close(several[0][0].pidfd)


def test_a_crashing_version_is_rolled_back_and_the_tool_exits_with_partly_done(tmp_path):
    with Machine(tmp_path, ["good"] * 3) as machine:
        machine.tool("start", "--batch", "3", "all")
        ran = machine.tool("roll", "--to", "bad", "--on-failure", "back", "all", check=False)
        assert ran.returncode == 3 and json.loads(ran.stdout)["why"] == "gone back"
        assert {(one["state"], one["version"]) for one in machine.status().values()} == {("serving", "1")}
        assert (
            "exited by itself" in machine.tool("history").stdout
            or "gone back" in machine.tool("history").stdout
        )


def test_an_instance_that_exits_is_restarted_and_a_second_agent_on_the_store_is_refused(tmp_path):
    with Machine(tmp_path, ["good"]) as machine:
        machine.tool("start", "all")
        pid = machine.status()["n0"]["pid"]
        os.kill(pid, signal.SIGKILL)
        until = time.monotonic() + PATIENCE
        while (now := machine.status()["n0"])["pid"] in (0, pid) or now["state"] != "serving":
            assert time.monotonic() < until
            time.sleep(0.1)
        assert now["restarts"] == 1
        other = subprocess.run(
            [sys.executable, "-m", "vetchford", "agent", "--with", str(tmp_path / "fleet.vet")],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=PATIENCE,
        )
        assert other.returncode == 1 and "another agent has it" in other.stderr


def test_an_agent_whose_socket_file_was_removed_shuts_down_normally(tmp_path):
    machine = Machine(tmp_path, ["good"]).begin()
    try:
        os.unlink(machine.socket)
        machine.agent.terminate()
        assert machine.agent.wait(PATIENCE) == 0, (tmp_path / "agent.log").read_text()
    finally:
        machine.kill()


def test_status_reports_an_unreachable_agent_as_unknown_without_delaying_the_others(tmp_path):
    with Machine(tmp_path, ["good"]) as machine:
        ran = machine.tool("--socket", str(tmp_path / "nobody"), "status", check=False)
        assert ran.returncode == 4 and "what it does is unknown" in ran.stderr
        assert {"unknown", "instances"} <= {key for part in json.loads(ran.stdout).values() for key in part}


def test_a_corrupt_store_or_one_of_another_version_is_refused_and_the_history_is_bounded(
    tmp_path, monkeypatch
):
    path = str(tmp_path / "store")
    store = Store(path)
    monkeypatch.setattr("vetchford.fleet.history_store.MAX_HISTORY_ENTRIES", 20)
    monkeypatch.setattr("vetchford.fleet.history_store.PRUNE_INTERVAL", 10)
    for n in range(100):
        store.put("instance", "n1", {"wanted": bool(n % 2)})
    assert len(store.history(1000)) <= 30 and store.records() == [("instance", "n1", {"wanted": True})]
    store.close()
    base = sqlite3.connect(path)
    base.execute("UPDATE newest SET body = '{}'")
    base.commit()
    with pytest.raises(StoreError, match="record of instance n1 is not what was written"):
        Store(path).records()
    base.execute("UPDATE meta SET version = 9")
    base.commit()
    with pytest.raises(StoreError, match="version 9, this program reads 1"):
        Store(path)
    base.close()
    for left in tmp_path.iterdir():
        left.unlink()
    Path(path).write_bytes(b"no database at all, but long enough to look like one" * 100)
    with pytest.raises(StoreError, match="move it away"):
        Store(path)


def test_a_failed_write_raises_and_leaves_the_store_unchanged(tmp_path):
    store = Store(str(tmp_path / "store"))
    store.put("instance", "n1", {"wanted": True})
    store.connection.execute("PRAGMA max_page_count = 1")
    with pytest.raises(OSError, match="full"):
        for n in range(1000):
            store.put("change", f"c{n}", {"text": "x" * 1000})
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
    with pytest.raises(StoreError, match="move it away"):
        store.records()


def test_a_long_log_is_rotated_and_its_writer_continues(tmp_path):
    path = str(tmp_path / "n1.log")
    assert not supervisor.rotate_log(path, 100)  # not there yet
    with open(path, "ab", buffering=0) as writer:
        writer.write(b"a" * 100)
        assert not supervisor.rotate_log(path, 100)
        writer.write(b"b")
        assert supervisor.rotate_log(path, 100)
        writer.write(b"c")
    assert Path(path).read_bytes() == b"c" and Path(path + ".1").read_bytes() == b"a" * 100 + b"b"


def test_instance_limits_are_applied_and_exceeding_the_memory_limit_pauses_rollouts(tmp_path):
    with Machine(tmp_path, ["good", "good"], more=", descriptors: 77, memory_mb: 1") as machine:
        ran = machine.tool("start", "--batch", "1", "--spacing", "9000", "all", check=False)
        told = json.loads(ran.stdout)
        assert ran.returncode == 1 and told["state"] == "paused" and "takes over 1 MB" in told["why"]
        pid = next(one["pid"] for one in machine.status().values() if one["pid"])
        limit = next(
            line for line in Path(f"/proc/{pid}/limits").read_text().splitlines() if "open files" in line
        )
        assert limit.split()[3:5] == ["77", "77"]
