"""A fleet of agent processes with link and process faults: leadership, rollouts, refusals and output."""

import contextlib
import json
import os
import pty
import random
import select
import signal
import socket
import sqlite3
import subprocess
import sys
import time

import pytest

from testkit.faults.cluster import PROJECT_ROOT, free_ports
from testkit.faults.fault_schedule import FaultSchedule
from testkit.faults.history_checker import violations
from testkit.faults.process_cluster import ProcessCluster
from vetchford.fleet.agent_client import UnreachableError, send_request


@pytest.fixture
def cluster(tmp_path):
    with ProcessCluster(tmp_path, agents=3, instances=2) as running:
        running.start()
        running.wait_for_leader()
        running.start_instances()
        yield running


def run_tool(cluster, *arguments, sockets=None, timeout_s=60):
    socket_options = [
        option for name in sockets or cluster.names for option in ("--socket", cluster.socket_path(name))
    ]
    command = [sys.executable, "-m", "vetchford", "fleet", *socket_options, *arguments]
    return subprocess.run(command, cwd=PROJECT_ROOT, capture_output=True, text=True, timeout=timeout_s)


def check_finished_roll(cluster, id="r1", version="v2", floor=3):
    """Check that a roll finishes, all instances run its version, and the history has no violations."""
    rollout = cluster.wait_for_rollout(id, 60.0)
    assert rollout["state"] == "finished", rollout
    table = cluster.process_table()
    assert sorted(table) == sorted(cluster.addresses) and all(len(pids) == 1 for pids in table.values())
    cluster.wait_until(
        lambda: len(status(cluster)) == len(cluster.addresses), 10.0, "not all instances were reported"
    )
    assert {instance["version"] for instance in status(cluster).values()} == {version}
    assert not violations(cluster.events(), floor)
    return rollout


def status(cluster):
    reply = cluster.ask(cluster.wait_for_leader(), {"ask": "all"})
    return {} if reply["unknown"] else reply["instances"]


def test_a_leader_killed_during_a_rollout_is_replaced_and_the_tool_follows_another_agent(cluster):
    leader = cluster.leader()
    other = next(name for name in cluster.names if name != leader)
    submitted = cluster.request_rollout(other, "r1", "roll", version="v2", batch=1, floor=3, soak=400.0)
    assert submitted["state"] == "running"
    waiting_tool = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "vetchford",
            "fleet",
            "--across",
            "--json",
            "--socket",
            cluster.socket_path(leader),
            "--socket",
            cluster.socket_path(other),
            "wait",
            "r1",
        ],
        cwd=PROJECT_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    cluster.wait_until(
        lambda: "done" in cluster.find_rollout("r1")["steps"].values(), 20.0, "the first step is not done"
    )
    cluster.kill(leader)
    cluster.wait_for_leader([name for name in cluster.names if name != leader])
    cluster.start(leader)
    check_finished_roll(cluster)
    out, _ = waiting_tool.communicate(timeout=30)
    assert waiting_tool.returncode == 0 and json.loads(out)["state"] == "finished"
    assert len({entry["term"] for entry in cluster.events() if entry["event"] == "leader_elected"}) == 2


def test_a_partitioned_leader_stops_and_reports_it_and_the_rollout_completes_after_healing(cluster):
    leader = cluster.leader()
    others = [name for name in cluster.names if name != leader]
    cluster.request_rollout(leader, "r1", "roll", version="v2", batch=1, floor=4, soak=300.0)
    cluster.links.fault("cut", cluster.links.between({leader}))
    new_leader = cluster.wait_for_leader(others)
    cluster.wait_until(
        lambda: cluster.peers(leader)["book"]["role"] != "drives", 10.0, "the partitioned agent still leads"
    )
    refused = run_tool(cluster, "--across", "restart", f"n0@{leader}", sockets=[leader])
    assert (
        refused.returncode == 2
        and f"no leader is known to {leader}: electing one needs a majority of" in refused.stderr
    )
    # Depending on the steps in progress at the cut, the batch is full or the minimum cannot be proven.
    cluster.wait_until(
        lambda: leader in cluster.find_rollout("r1", [new_leader])["waits"],
        20.0,
        "the wait reason does not name the partitioned agent",
    )
    views = {row["name"]: row["view"] for row in cluster.peers(new_leader)["peers"]}
    assert views[leader] in ("may be there", "not seen")
    paused = cluster.ask(leader, {"ask": "pause", "id": "r1"})  # on the partitioned side
    assert paused["state"] == "paused" and paused["driver"] == ""
    cluster.links.heal()
    cluster.wait_until(
        lambda: cluster.find_rollout("r1", [new_leader])["state"] == "paused",
        20.0,
        "the pause did not arrive at the new leader",
    )
    assert cluster.ask(new_leader, {"ask": "resume", "id": "r1"})["state"] == "running"
    check_finished_roll(cluster, floor=4)
    assert cluster.links.fault_counts()["cut"] > 0


def test_an_agent_suspended_during_its_batch_continues_after_it_resumes(cluster):
    leader = cluster.leader()
    suspended = next(name for name in cluster.names if name != leader)
    cluster.request_rollout(leader, "r1", "roll", version="v2", batch=2, floor=3, soak=300.0)
    cluster.wait_until(
        lambda: any(
            step == "out" and suspended in key for key, step in cluster.find_rollout("r1")["steps"].items()
        ),
        20.0,
        "no step of the agent to suspend is in progress",
    )
    cluster.freeze(suspended)
    cluster.wait_until(
        lambda: suspended in cluster.find_rollout("r1", [leader])["waits"],
        20.0,
        "the wait reason does not name the suspended agent",
    )
    started_s = time.monotonic()
    shown = run_tool(cluster, "status")  # the suspended agent must not delay the others
    assert (
        time.monotonic() - started_s < 8.0
        and shown.returncode == 4
        and "the agent's state is unknown" in shown.stderr
    )
    assert shown.stdout.count("NAME") == 2  # one table for each agent that replied
    cluster.thaw(suspended)
    check_finished_roll(cluster)
    assert any(entry["event"] == "process_stalled" for entry in cluster.events())


def test_an_agent_with_a_stale_store_takes_a_new_incarnation_and_regains_its_vote(cluster):
    stale = next(name for name in cluster.names if name != cluster.leader())
    cluster.kill(stale)
    cluster.save_store(stale)
    others = [name for name in cluster.names if name != stale]
    for incarnation in (2, 3):  # both others must learn it before the kill, as only they can report it
        cluster.start(stale)
        cluster.wait_until(
            lambda incarnation=incarnation: all(
                row["life"] == incarnation
                for name in others
                for row in cluster.peers(name)["peers"]
                if row["name"] == stale
            ),
            20.0,
            f"incarnation {incarnation} is not known to the others",
        )
        cluster.kill(stale)
    cluster.restore_store(stale)
    cluster.start(stale)
    cluster.wait_until(lambda: cluster.peers(stale)["life"] > 3, 20.0, "the incarnation was not raised")
    cluster.wait_until(lambda: cluster.peers(stale)["book"]["counted"], 20.0, "the vote does not count again")
    assert any(entry["event"] == "life_raised" and entry["agent"] == stale for entry in cluster.events())
    submitted = cluster.request_rollout(stale, "r1", "roll", version="v2", batch=2, floor=3)
    assert "refused" not in submitted, submitted
    check_finished_roll(cluster)


def test_a_machine_that_lost_its_disk_and_processes_rejoins_empty_and_regains_its_vote(cluster):
    leader = cluster.leader()
    lost = next(name for name in cluster.names if name != leader)
    cluster.request_rollout(leader, "r1", "roll", version="v2", batch=1, floor=3, on_failure="go_on")
    cluster.kill(lost)
    for processes in cluster.find_processes(lost).values():
        for process, _ in processes:
            process.signal(signal.SIGKILL)
            os.close(process.pidfd)
    cluster.restore_store(lost)  # no copy was saved, so the store is empty
    cluster.start(lost)
    cluster.wait_until(
        lambda: cluster.peers(lost)["book"]["counted"] and cluster.peers(lost)["life"] > 1,
        30.0,
        "the vote does not count again",
    )
    assert cluster.wait_for_rollout("r1", 60.0)["state"] in ("finished", "broken")
    cluster.wait_for_leader()
    submitted = cluster.request_rollout(leader, "r2", "start", batch=6)
    assert "refused" not in submitted, submitted
    assert cluster.wait_for_rollout("r2", 40.0)["state"] == "finished"
    cluster.request_rollout(leader, "r3", "roll", version="v3", batch=2, floor=3)
    check_finished_roll(cluster, "r3", "v3")


def test_clock_skew_of_a_day_and_drift_of_a_tenth_keep_the_invariants(tmp_path):
    with ProcessCluster(tmp_path, agents=3, instances=2) as cluster:
        cluster.clocks = {"a0": "-86400 0.9", "a1": "86400 1.1", "a2": "3 1"}
        cluster.start()
        cluster.start_instances()
        leader = cluster.wait_for_leader()
        other = next(name for name in cluster.names if name != leader)
        cluster.request_rollout(other, "r1", "roll", version="v2", batch=1, floor=3, soak=300.0)
        cluster.wait_until(
            lambda: "done" in cluster.find_rollout("r1")["steps"].values(), 20.0, "the first step is not done"
        )
        cluster.kill(leader)
        cluster.wait_for_leader([name for name in cluster.names if name != leader])
        cluster.start(leader)
        check_finished_roll(cluster)
        with contextlib.closing(sqlite3.connect(tmp_path / "a1" / "store")) as database:
            ((first_entry_s,),) = database.execute("SELECT min(at) FROM history")
        assert first_entry_s > time.time() + 80_000.0  # the wall clock of a1 is a day ahead


def test_reset_stalled_and_slow_links_only_delay_a_rollout(cluster):
    leader = cluster.leader()
    cluster.request_rollout(leader, "r1", "roll", version="v2", batch=2, floor=3)
    other = next(name for name in cluster.names if name != leader)
    rng = random.Random(7)
    for kind in ("torn", "stall", "slow", "one_way", "double", "lose"):
        cluster.links.fault(kind, cluster.links.of(other))
        time.sleep(rng.uniform(0.3, 1.0))
        cluster.links.heal()
    check_finished_roll(cluster)
    assert sum(cluster.links.fault_counts().values()) > 3


def test_a_fault_schedule_is_determined_by_its_seed_and_keeps_the_invariants(cluster):
    schedule, same_schedule = (FaultSchedule(cluster.names, 5, 8.0, 7) for _ in range(2))
    assert schedule.steps == same_schedule.steps
    cluster.request_rollout(
        cluster.leader(), "r1", "roll", version="v2", batch=1, floor=3, on_failure="go_on"
    )
    schedule.play(cluster)
    check_finished_roll(cluster)


def test_connections_that_are_not_from_peers_are_refused_and_logged_and_delay_no_rollout(cluster):
    name = cluster.leader()
    listen = cluster.links.links[next(other for other in cluster.names if other != name), name].target_address
    for data in (b"GET / HTTP/1.1\r\n\r\n", b"vf\x09" + b"\0" * 40, b"vf\x01\0\xff\xff\xff\xff" + b"\0" * 8):
        with socket.create_connection(listen) as sock:
            sock.sendall(data)
            sock.settimeout(10.0)
            assert sock.recv(100) == b""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, listen)
    silent_connections = [socket.create_connection(listen) for _ in range(20)]
    cluster.request_rollout(name, "r1", "restart", batch=2, floor=3)
    check_finished_roll(cluster, version="1")
    cluster.wait_until(
        lambda: (
            {entry.get("why") for entry in cluster.events() if entry["event"] == "peer_refused"}
            >= {"not_a_frame", "other_version", "too_long", "too_many_connections"}
        ),
        10.0,
        "not all refusals were logged",
    )
    for sock in silent_connections:
        sock.close()


def test_fleet_commands_report_results_and_refuse_in_one_line(cluster):
    rolled = run_tool(
        cluster,
        "--across",
        "roll",
        "--to",
        "v2",
        "--floor",
        "3",
        "--batch",
        "2",
        "--soak",
        "200",
        "group=pay",
    )
    assert rolled.returncode == 0 and "finished: all done" in rolled.stdout and "n1@a2 done" in rolled.stdout
    plan = run_tool(cluster, "--across", "restart", "--dry-run", "agent=a1")
    assert plan.stdout == "would restart, 1 at once: n0@a1, n1@a1\n"
    for arguments, exit_status, text in (
        (["--across", "roll", "--to", "v9", "all"], 2, "has no command for version 'v9'"),
        (
            ["--across", "stop", "--floor", "6", "n0@a0"],
            2,
            "5 of 6 instances would be left serving, under the floor of 6",
        ),
        (
            ["--across", "restart", "nobody"],
            2,
            "the change names 0 instances: it must name 1 to 1000, each once",
        ),
        (["--across", "pause", "none"], 2, "change none is unknown to this agent"),
        (["admit", "a1"], 0, "a0, a1, a2"),
        (["--across", "explain", "none"], 2, "change none is unknown to this agent"),
    ):
        completed = run_tool(cluster, *arguments)
        assert completed.returncode == exit_status and text in completed.stdout + completed.stderr, (
            arguments,
            completed,
        )
    for request in (
        {"ask": "span"},
        {"ask": "span", "change": {"id": 3, "targets": 4}},
        {"ask": "nothing"},
        {},
        7,
    ):
        for name in cluster.names:  # the leader itself, and agents that forward the request
            try:
                reply = send_request(cluster.socket_path(name), {"ask": "across", "request": request}, 20.0)
            except UnreachableError as problem:
                raise AssertionError(f"{name} did not answer {request}") from problem
            assert "refused" in reply, (name, request, reply)
    assert not [entry for entry in cluster.events() if entry["event"] == "part_broke"]
    watched = run_tool(cluster, "--patience", "1", "watch", "n0")
    assert watched.returncode == 0 and watched.stdout.count("serving") == 3
    terminal, tool_terminal = pty.openpty()
    watching_tool = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "vetchford",
            "fleet",
            "--socket",
            cluster.socket_path("a0"),
            "--patience",
            "1",
            "watch",
        ],
        cwd=PROJECT_ROOT,
        stdin=tool_terminal,
        stdout=tool_terminal,
        env={**os.environ, "TERM": "xterm"},
    )
    os.close(tool_terminal)
    drawn = b""
    while b"n1@a2" not in drawn:
        drawn += os.read(terminal, 65536)  # raises OSError once the tool has exited
    assert b"n0@a0" in drawn and b"serving" in drawn
    while select.select([terminal], [], [], 10.0)[0]:
        try:
            os.read(terminal, 65536)
        except OSError:
            break
    assert watching_tool.wait(20) == 0
    os.close(terminal)
    peers = json.loads(run_tool(cluster, "--json", "peers", sockets=["a0"]).stdout)
    assert {row["view"] for row in peers["peers"]} == {"there"} and peers["book"]["counted"]


def test_a_second_machine_with_the_same_name_is_detected_and_keeps_the_invariants(cluster, tmp_path):
    leader = cluster.leader()
    name = next(other for other in cluster.names if other != leader)
    directory, port = tmp_path / "twin", free_ports(60)[-1]
    directory.mkdir()
    text = (
        (cluster.folder / name / "fleet.vet").read_text().replace(str(cluster.folder / name), str(directory))
    )
    listen = cluster.links.links[leader, name].target_address
    text = text.replace(f"{listen[0]}:{listen[1]}", f"127.0.0.1:{port}")
    (directory / "fleet.vet").write_text(text)
    command = [sys.executable, "-m", "vetchford", "agent", "--with", str(directory / "fleet.vet")]
    with (directory / "agent.log").open("w") as log:
        second_agent = subprocess.Popen(command, cwd=PROJECT_ROOT, stderr=log)
    try:
        others = [f"n{number}@{other}" for other in cluster.names if other != name for number in range(2)]
        cluster.wait_until(
            lambda: "state" in cluster.request_rollout(leader, "r1", "roll", others, version="v2", floor=3),
            30.0,
        )
        assert cluster.wait_for_rollout("r1", 60.0)["state"] == "finished"
        cluster.wait_until(
            lambda: "life_raised" in (directory / "agent.log").read_text() + str(cluster.events()),
            20.0,
            "the second agent with the name was not detected",
        )
    finally:
        second_agent.kill()
        second_agent.wait()
    cluster.wait_until(
        lambda: cluster.peers(name)["book"]["counted"],
        30.0,
        "the vote of the original agent does not count again",
    )
    assert not violations(cluster.events(), 3)
