"""Agents in processes of their own, with links that break: who drives, what goes on, what is told."""

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
from vetchford.fleet.agent_client import UnreachableError, ask


@pytest.fixture
def rig(tmp_path):
    with ProcessCluster(tmp_path, agents=3, instances=2) as made:
        made.start()
        made.wait_for_leader()
        made.start_instances()
        yield made


def tool(rig, *given, sockets=None, waits=60):
    named = [word for name in sockets or rig.names for word in ("--socket", rig.socket_path(name))]
    command = [sys.executable, "-m", "vetchford", "fleet", *named, *given]
    return subprocess.run(command, cwd=PROJECT_ROOT, capture_output=True, text=True, timeout=waits)


def rolled(rig, id="r1", version="v2", floor=3):
    """It ended well, the record is what runs, and the history shows nothing wrong."""
    ended = rig.wait_for_rollout(id, 60.0)
    assert ended["state"] == "finished", ended
    table = rig.process_table()
    assert sorted(table) == sorted(rig.addresses) and all(len(pids) == 1 for pids in table.values())
    rig.wait_until(lambda: len(status(rig)) == len(rig.addresses), 10.0, "all seen")
    assert {one["version"] for one in status(rig).values()} == {version}
    assert not violations(rig.events(), floor)
    return ended


def status(rig):
    answer = rig.ask(rig.wait_for_leader(), {"ask": "all"})
    return {} if answer["unknown"] else answer["instances"]


def test_a_leader_killed_during_a_rollout_is_replaced_and_the_tool_follows_another_agent(rig):
    driver = rig.leader()
    other = next(name for name in rig.names if name != driver)
    began = rig.request_rollout(other, "r1", "roll", version="v2", batch=1, floor=3, soak=400.0)
    assert began["state"] == "running"
    waiting = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "vetchford",
            "fleet",
            "--across",
            "--json",
            "--socket",
            rig.socket_path(driver),
            "--socket",
            rig.socket_path(other),
            "wait",
            "r1",
        ],
        cwd=PROJECT_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    rig.wait_until(lambda: "done" in rig.find_rollout("r1")["steps"].values(), 20.0, "the first step")
    rig.kill(driver)
    rig.wait_for_leader([name for name in rig.names if name != driver])
    rig.start(driver)
    rolled(rig)
    out, _ = waiting.communicate(timeout=30)
    assert waiting.returncode == 0 and json.loads(out)["state"] == "finished"
    assert len({entry["term"] for entry in rig.events() if entry["event"] == "leader_elected"}) == 2


def test_a_partitioned_leader_stops_and_reports_it_and_the_rollout_completes_after_healing(rig):
    driver = rig.leader()
    others = [name for name in rig.names if name != driver]
    rig.request_rollout(driver, "r1", "roll", version="v2", batch=1, floor=4, soak=300.0)
    rig.links.fault("cut", rig.links.between({driver}))
    new = rig.wait_for_leader(others)
    rig.wait_until(lambda: rig.peers(driver)["book"]["role"] != "drives", 10.0, "it still drives")
    refused = tool(rig, "--across", "restart", f"n0@{driver}", sockets=[driver])
    assert refused.returncode == 2 and "nobody drives that can be seen" in refused.stderr
    # By what was out when the link went: the batch is full, or the floor is not proven.
    rig.wait_until(
        lambda: driver in rig.find_rollout("r1", [new])["waits"], 20.0, "it does not say why it waits"
    )
    seen = {row["name"]: row["view"] for row in rig.peers(new)["peers"]}
    assert seen[driver] in ("may be there", "not seen")
    paused = rig.ask(driver, {"ask": "pause", "id": "r1"})  # from the side that is cut off
    assert paused["state"] == "paused" and paused["driver"] == ""
    rig.links.heal()
    rig.wait_until(
        lambda: rig.find_rollout("r1", [new])["state"] == "paused", 20.0, "the pause did not arrive"
    )
    assert rig.ask(new, {"ask": "resume", "id": "r1"})["state"] == "running"
    rolled(rig, floor=4)
    assert rig.links.fault_counts()["cut"] > 0


def test_an_agent_suspended_during_its_batch_continues_after_it_resumes(rig):
    driver = rig.leader()
    frozen = next(name for name in rig.names if name != driver)
    rig.request_rollout(driver, "r1", "roll", version="v2", batch=2, floor=3, soak=300.0)
    rig.wait_until(
        lambda: any(step == "out" and frozen in key for key, step in rig.find_rollout("r1")["steps"].items()),
        20.0,
        "a step of its own",
    )
    rig.freeze(frozen)
    rig.wait_until(
        lambda: frozen in rig.find_rollout("r1", [driver])["waits"], 20.0, "its silence is not told"
    )
    began = time.monotonic()
    shown = tool(rig, "status")  # it holds up nobody
    assert (
        time.monotonic() - began < 8.0 and shown.returncode == 4 and "what it does is unknown" in shown.stderr
    )
    assert shown.stdout.count("NAME") == 2  # each table once
    rig.thaw(frozen)
    rolled(rig)
    assert any(entry["event"] == "process_stalled" for entry in rig.events())


def test_an_agent_with_a_stale_store_takes_a_new_incarnation_and_regains_its_vote(rig):
    old = next(name for name in rig.names if name != rig.leader())
    rig.kill(old)
    rig.save_store(old)
    others = [name for name in rig.names if name != old]
    for life in (2, 3):  # known to both others before it ends: a life that nobody met can't be told of
        rig.start(old)
        rig.wait_until(
            lambda life=life: all(
                row["life"] == life
                for name in others
                for row in rig.peers(name)["peers"]
                if row["name"] == old
            ),
            20.0,
            f"life {life} is not known",
        )
        rig.kill(old)
    rig.restore_store(old)
    rig.start(old)
    rig.wait_until(lambda: rig.peers(old)["life"] > 3, 20.0, "its life was not raised")
    rig.wait_until(lambda: rig.peers(old)["book"]["counted"], 20.0, "it is not listed anew")
    assert any(entry["event"] == "life_raised" and entry["agent"] == old for entry in rig.events())
    begun = rig.request_rollout(old, "r1", "roll", version="v2", batch=2, floor=3)
    assert "refused" not in begun, begun
    rolled(rig)


def test_a_machine_that_lost_its_disk_and_processes_rejoins_empty_and_regains_its_vote(rig):
    driver = rig.leader()
    lost = next(name for name in rig.names if name != driver)
    rig.request_rollout(driver, "r1", "roll", version="v2", batch=1, floor=3, on_failure="go_on")
    rig.kill(lost)
    for several in rig.find_processes(lost).values():
        for process, _ in several:
            process.signal(signal.SIGKILL)
            os.close(process.pidfd)
    rig.restore_store(lost)  # there is no copy: it begins empty
    rig.start(lost)
    rig.wait_until(
        lambda: rig.peers(lost)["book"]["counted"] and rig.peers(lost)["life"] > 1, 30.0, "not listed anew"
    )
    assert rig.wait_for_rollout("r1", 60.0)["state"] in ("finished", "broken")
    rig.wait_for_leader()
    started = rig.request_rollout(driver, "r2", "start", batch=6)
    assert "refused" not in started, started
    assert rig.wait_for_rollout("r2", 40.0)["state"] == "finished"
    rig.request_rollout(driver, "r3", "roll", version="v3", batch=2, floor=3)
    rolled(rig, "r3", "v3")


def test_clock_skew_of_a_day_and_drift_of_a_tenth_keep_the_invariants(tmp_path):
    with ProcessCluster(tmp_path, agents=3, instances=2) as rig:
        rig.clocks = {"a0": "-86400 0.9", "a1": "86400 1.1", "a2": "3 1"}
        rig.start()
        rig.start_instances()
        driver = rig.wait_for_leader()
        other = next(name for name in rig.names if name != driver)
        rig.request_rollout(other, "r1", "roll", version="v2", batch=1, floor=3, soak=300.0)
        rig.wait_until(lambda: "done" in rig.find_rollout("r1")["steps"].values(), 20.0, "the first step")
        rig.kill(driver)
        rig.wait_for_leader([name for name in rig.names if name != driver])
        rig.start(driver)
        rolled(rig)
        with contextlib.closing(sqlite3.connect(tmp_path / "a1" / "store")) as base:
            ((first,),) = base.execute("SELECT min(at) FROM history")
        assert first > time.time() + 80_000.0  # its day is a day ahead, and nobody minded


def test_reset_stalled_and_slow_links_only_delay_a_rollout(rig):
    driver = rig.leader()
    rig.request_rollout(driver, "r1", "roll", version="v2", batch=2, floor=3)
    other = next(name for name in rig.names if name != driver)
    chance = random.Random(7)
    for kind in ("torn", "stall", "slow", "one_way", "double", "lose"):
        rig.links.fault(kind, rig.links.of(other))
        time.sleep(chance.uniform(0.3, 1.0))
        rig.links.heal()
    rolled(rig)
    assert sum(rig.links.fault_counts().values()) > 3


def test_a_fault_schedule_is_determined_by_its_seed_and_keeps_the_invariants(rig):
    one, same = (FaultSchedule(rig.names, 5, 8.0, 7) for _ in range(2))
    assert one.steps == same.steps
    rig.request_rollout(rig.leader(), "r1", "roll", version="v2", batch=1, floor=3, on_failure="go_on")
    one.play(rig)
    rolled(rig)


def test_connections_that_are_no_peers_are_refused_and_counted_and_delay_nobody(rig):
    name = rig.leader()
    listen = rig.links.links[next(other for other in rig.names if other != name), name].target_address
    for data in (b"GET / HTTP/1.1\r\n\r\n", b"vf\x09" + b"\0" * 40, b"vf\x01\0\xff\xff\xff\xff" + b"\0" * 8):
        with socket.create_connection(listen) as sock:
            sock.sendall(data)
            sock.settimeout(10.0)
            assert sock.recv(100) == b""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, listen)
    held = [socket.create_connection(listen) for _ in range(20)]  # say nothing
    rig.request_rollout(name, "r1", "restart", batch=2, floor=3)
    rolled(rig, version="1")
    rig.wait_until(
        lambda: (
            {entry.get("why") for entry in rig.events() if entry["event"] == "peer_refused"}
            >= {"not_a_frame", "other_version", "too_long", "too_many_connections"}
        ),
        10.0,
        "not all were told",
    )
    for sock in held:
        sock.close()


def test_fleet_commands_report_results_and_refuse_in_one_line(rig):
    shown = tool(
        rig, "--across", "roll", "--to", "v2", "--floor", "3", "--batch", "2", "--soak", "200", "group=pay"
    )
    assert shown.returncode == 0 and "finished: all done" in shown.stdout and "n1@a2 done" in shown.stdout
    plan = tool(rig, "--across", "restart", "--dry-run", "agent=a1")
    assert plan.stdout == "would restart, 1 at once: n0@a1, n1@a1\n"
    for given, code, text in (
        (["--across", "roll", "--to", "v9", "all"], 2, "has no command for version 'v9'"),
        (["--across", "stop", "--floor", "6", "n0@a0"], 2, "5 would be left serving, under the floor of 6"),
        (["--across", "restart", "nobody"], 2, "it must name 1 to 1000 instances"),
        (["--across", "pause", "none"], 2, "no change none is known here"),
        (["admit", "a1"], 0, "a0, a1, a2"),
        (["--across", "explain", "none"], 2, "no change none is known here"),
    ):
        ran = tool(rig, *given)
        assert ran.returncode == code and text in ran.stdout + ran.stderr, (given, ran)
    for request in (
        {"ask": "span"},
        {"ask": "span", "change": {"id": 3, "targets": 4}},
        {"ask": "nothing"},
        {},
        7,
    ):
        for name in rig.names:  # the driver itself, and one that passes it on
            try:
                answer = ask(rig.socket_path(name), {"ask": "across", "request": request}, 20.0)
            except UnreachableError as problem:
                raise AssertionError(f"{name} did not answer {request}") from problem
            assert "refused" in answer, (name, request, answer)
    assert not [entry for entry in rig.events() if entry["event"] == "part_broke"]
    watched = tool(rig, "--patience", "1", "watch", "n0")
    assert watched.returncode == 0 and watched.stdout.count("serving") == 3
    ours, theirs = pty.openpty()
    drawn = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "vetchford",
            "fleet",
            "--socket",
            rig.socket_path("a0"),
            "--patience",
            "1",
            "watch",
        ],
        cwd=PROJECT_ROOT,
        stdin=theirs,
        stdout=theirs,
        env={**os.environ, "TERM": "xterm"},
    )
    os.close(theirs)
    shown = b""
    while b"n1@a2" not in shown:
        shown += os.read(ours, 65536)  # an error once it has ended
    assert b"n0@a0" in shown and b"serving" in shown
    while select.select([ours], [], [], 10.0)[0]:
        try:
            os.read(ours, 65536)
        except OSError:
            break
    assert drawn.wait(20) == 0
    os.close(ours)
    peers = json.loads(tool(rig, "--json", "peers", sockets=["a0"]).stdout)
    assert {row["view"] for row in peers["peers"]} == {"there"} and peers["book"]["counted"]


def test_a_second_machine_with_the_same_name_is_detected_and_keeps_the_invariants(rig, tmp_path):
    driver = rig.leader()
    name = next(other for other in rig.names if other != driver)
    home, port = tmp_path / "twin", free_ports(60)[-1]
    home.mkdir()
    text = (rig.folder / name / "fleet.vet").read_text().replace(str(rig.folder / name), str(home))
    listen = rig.links.links[driver, name].target_address
    text = text.replace(f"{listen[0]}:{listen[1]}", f"127.0.0.1:{port}")
    (home / "fleet.vet").write_text(text)
    command = [sys.executable, "-m", "vetchford", "agent", "--with", str(home / "fleet.vet")]
    with (home / "agent.log").open("w") as log:
        twin = subprocess.Popen(command, cwd=PROJECT_ROOT, stderr=log)
    try:
        others = [f"n{at}@{other}" for other in rig.names if other != name for at in range(2)]
        rig.wait_until(
            lambda: "state" in rig.request_rollout(driver, "r1", "roll", others, version="v2", floor=3), 30.0
        )
        assert rig.wait_for_rollout("r1", 60.0)["state"] == "finished"
        rig.wait_until(
            lambda: "life_raised" in (home / "agent.log").read_text() + str(rig.events()), 20.0, "not told"
        )
    finally:
        twin.kill()
        twin.wait()
    rig.wait_until(lambda: rig.peers(name)["book"]["counted"], 30.0, "the right one is not counted again")
    assert not violations(rig.events(), 3)
