"""Configuration, command line, counts, log; the fingerprints' table; events against the on-call page."""

import io
import json
import queue
import random
import re
import socket
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

import pytest
from helpers import GOOD, ROOT, TOLD, Recorder

import vetchford
from vetchford.errors import MalformedInputError
from vetchford.runtime import log_setup
from vetchford.runtime.actor import ThreadPool, start_thread
from vetchford.runtime.metrics import Metrics
from vetchford.server import client_connections, platform_config
from vetchford.server.admission_actor import AdmissionActor
from vetchford.server.idempotency_cache import IdempotencyCache


def command(*given, **environment):
    return subprocess.run(
        [sys.executable, "-m", "vetchford", *given],
        capture_output=True,
        text=True,
        timeout=60,
        env={"PATH": "/usr/bin", **environment},
        cwd=ROOT,
    )


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("name", None),
        ("name", "two words"),
        ("listen", "here"),
        ("listen", "127.0.0.1:x"),
        ("pool", None),
        ("records", "localhost:5"),
        ("members", 7),
        ("seed", "xyz"),
        ("seed", None),
        ("stop_ms", 0),
        ("stop_ms", "3200"),
        ("limits", None),
        ("limits.sockets", 3),
        ("settings", []),
        ("settings.requestClasses", []),
        ("settings.familyInfo.cores", 0),
        ("settings.requestClasses", [5]),
    ],
)
def test_a_wrong_configuration_is_named_by_its_key(key, value):
    told = json.loads(json.dumps(GOOD))
    inner, *path = told, *key.split(".")
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    with pytest.raises(MalformedInputError, match="settings" if key.startswith("settings") else key):
        platform_config.check(told)


def test_a_good_configuration_is_understood_and_the_environment_goes_before_it(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(GOOD))
    told = platform_config.load(
        {"ROUTER_CONFIG": str(file), "ROUTER_NAME": "n9", "ROUTER_LISTEN": "127.0.0.1:9"}
    )
    assert (told["name"], told["listen"]) == ("n9", "127.0.0.1:9")
    assert platform_config.understood(told)["stages"][1]["limit_ms"] == 60_000.0


@pytest.mark.parametrize("cold", [False, True])
def test_the_ramp_of_a_cold_pool_counts_from_the_pool_s_start(cold):
    told = {**TOLD, "rules": {"fallMultiple": 8.0, "coldFrom": 0.24, "rampTime": 18_000_000_000}}
    module = AdmissionActor(7, told, Metrics())
    peer = Recorder()
    module.attach(peer, peer, peer, peer, lambda: None)
    peer.mailbox = queue.SimpleQueue()
    module.bound(1, cold, 5000.0)
    assert module.now() >= 5000.0  # what is left of the ramp is told to the node by its clock
    assert module.controller.ramp == (18_000.0 if cold else 0.0)


def test_a_run_that_ended_since_the_poll_does_not_pass_for_reading():
    # It would be taken off the slots, and a core would stand idle for what nobody reads.
    module, peer = AdmissionActor(7, TOLD, Metrics()), Recorder()
    module.attach(peer, peer, peer, peer, lambda: None)
    peer.mailbox = queue.SimpleQueue()
    module.bound(1, False, 5000.0)
    module.controller.running = 2
    module.polled("1-1", [0.9, 3.0])
    module.controller.running = 1
    told = []
    module.controller.on_tick = lambda now, busy, on_cores: told.append((busy, on_cores))
    module.sweep()
    assert told == [(0.9, 2.0)]  # one reads, as at the poll


def test_figures_that_no_caller_can_mean_neither_hold_a_task_for_hours_nor_outweigh_the_others():
    module, peer = AdmissionActor(7, TOLD, Metrics()), Recorder()
    module.attach(peer, peer, peer, peer, lambda: None)
    peer.mailbox = queue.SimpleQueue()
    module.bound(1, False, 5000.0)
    module.request(peer, 1, "ab", 0, "read", -1, 0, module.origin + module.now(), 1e9, 1e9, 1.0, None, "")
    task = module.controller.tasks[0]
    assert task.work == 60_000.0 and task.limit - task.arrived <= 60_000.1


def test_a_task_that_the_decisions_lose_is_answered_all_the_same():
    module, peer = AdmissionActor(7, TOLD, Metrics()), Recorder()
    module.attach(peer, peer, peer, peer, lambda: None)
    peer.mailbox = queue.SimpleQueue()
    module.bound(1, False, 5000.0)
    module.request(peer, 1, "ab", 0, "read", -1, 0, module.origin + module.now(), 1000.0, 20.0, 1.0, None, "")
    module.controller.on_tick = lambda *given: None
    module.sweep()
    assert "answer" not in [act[0] for act in peer.acts]
    module.origin -= 2000.0  # its limit has passed
    module.sweep()
    module.sweep()
    assert [act[0] for act in peer.acts].count("answer") == 1
    assert module.metrics.by_name["must_hold_broken"] == 1


def test_wrong_usage_and_configuration_are_one_line_and_2_and_nothing_listens(tmp_path):
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


def test_an_address_in_use_is_a_failure_at_run_time_in_plain_words(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        file = tmp_path / "config.json"
        file.write_text(json.dumps({**GOOD, "listen": f"127.0.0.1:{taken.getsockname()[1]}"}))
        ran = command("--log-form", "json", "serve", "--config", str(file))
    assert ran.returncode == 1 and json.loads(ran.stderr)["event"] == "cannot_listen"


def test_good_commands_exit_with_0(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(GOOD))
    assert command("version").stdout == vetchford.__version__ + "\n"
    assert command("check", "--config", str(file)).returncode == 0
    assert json.loads(command("settings", "--config", str(file)).stdout)["tenants"] == ["acme"]
    assert "Usage" in command("--help").stdout
    assert command("--version").stdout == command("--log-form", "json", "version").stdout


def test_brackets_in_brackets_without_end_are_refused_in_one_line(tmp_path):
    file = tmp_path / "config.json"
    file.write_text("[" * 200_000)
    out = command("check", "--config", str(file))
    assert out.returncode == 2 and out.stderr.count("\n") == 1 and "no JSON" in out.stderr


def test_every_event_stands_on_the_on_call_page_and_the_other_way_round():
    code = "".join(path.read_text() for path in sorted((ROOT / "vetchford").rglob("*.py")))
    said = set(re.findall(r"(?:log\.\w+|\.note|\.log_sampled|\.log_event|\.count_event)\(\s*\"(\w+)\"", code))
    table = (ROOT / "docs" / "on-call.md").read_text().split("## Log events")[1].split("\n## ")[0]
    assert said == set(re.findall(r"^\| `(\w+)`", table, re.M)) and len(said) > 15


def test_what_a_peer_can_provoke_is_logged_ever_more_rarely_and_a_stuck_log_stops_nobody():
    read, write = socket.socketpair()
    writer = log_setup.start("info", "json", write.makefile("w"))
    metrics = Metrics()
    for _ in range(1000):
        metrics.log_sampled("balancer_bad_message", code=1)
    assert metrics.by_name["balancer_bad_message"] == 1000 and writer.lines.qsize() <= 10
    for _ in range(20_000):
        metrics.log_summary(text="x" * 200)
    assert writer.lines.qsize() <= log_setup.MOST_WAITING and writer.dropped > 0
    read.close()
    write.close()
    log_setup.start("error", "text", io.StringIO())


def test_the_log_s_end_is_waited_for_no_longer_than_it_was_told():
    read, write = socket.socketpair()
    writer = log_setup.start("info", "json", write.makefile("w"))
    waited = []
    writer.thread = SimpleNamespace(join=waited.append)
    writer.close()
    writer.end_by(time.time() - 1.0)
    writer.close()
    assert waited == [log_setup.FLUSH, 0.0]
    read.close()
    write.close()
    log_setup.start("error", "text", io.StringIO())


def test_where_there_is_no_thread_the_next_try_takes_the_connection(monkeypatch):
    metrics, begun, tries = Metrics(), [], []

    class Scarce(threading.Thread):
        def start(self):
            tries.append(self.name)
            if len(tries) < 3:
                raise RuntimeError("can't start new thread")
            begun.append(self.name)

    monkeypatch.setattr(threading, "Thread", Scarce)
    start_thread(lambda: None, "reader", metrics)
    assert begun == ["reader"] and metrics.by_name["no_thread"] == 2


def test_what_must_hold_is_asserted_in_debug_builds_and_counted_in_release_builds():
    with pytest.raises(AssertionError):
        Metrics().must(False, "one_answer")
    release = (
        "from vetchford.runtime.metrics import Counts\nc = Counts()\nc.must(False, 'one_answer')\n"
        "print(c.by_name)"
    )
    ran = subprocess.run([sys.executable, "-O", "-c", release], capture_output=True, text=True, cwd=ROOT)
    assert "'must_hold_broken': 1" in ran.stdout


def test_fingerprints_agree_with_a_plain_list_of_what_was_kept():
    for seed in range(50):
        chance, prints, plain, ended = random.Random(seed), IdempotencyCache(), [], {}
        for q in range(200):
            mark, door = chance.choice("abcde"), float(10 * q)
            live = [entry for entry in plain if entry[0] == mark]
            expected = live[-1][1] if live and door <= live[-1][2] else None
            assert prints.find(mark, door) == expected
            if expected is None:
                plain = [entry for entry in plain if entry[0] != mark]
                plain.append((mark, q, door + 45.0))
                prints.keep(mark, q, door + 45.0)
            else:
                if expected in ended:
                    assert prints.results[expected] == (True, str(expected))
                else:
                    prints.wait(expected, q)
            if chance.random() < 0.5:
                _, done, _ = chance.choice(plain)
                if done not in ended:
                    waiting = prints.end(done, True, str(done))
                    assert waiting == sorted(waiting) and done not in prints.sharing
                    ended[done] = True
            if chance.random() < 0.2:
                gone = chance.choice(plain)
                plain.remove(gone)
                chance.choice((prints.drop, prints.release))(gone[1])
        for _, q, _ in plain:
            prints.release(q)
        assert not prints.entries and not prints.marks


def test_in_a_fuller_table_those_who_owe_a_word_are_let_go_sooner():
    # Hundreds connect at once: balancers that wait behind them would wait past their time limits.
    doors = client_connections.Listener(("127.0.0.1", 0), 10, {}, {}, Recorder(), Metrics())
    ours, theirs = socket.socketpair()
    connection = client_connections.Connection(ours, doors, Metrics())
    for held, stays in ((2, 0.9), (6, 0.18), (9, 0.08)):
        doors.connections = set(range(held))
        assert not connection.overstays(connection.used + stays)
        assert connection.overstays(connection.used + stays + 0.15)
    for part in (ours, theirs, doors.sock):
        part.close()


def test_a_crew_takes_no_more_threads_than_it_may_and_does_all_it_is_given():
    thread_pool, done, hold = ThreadPool(Metrics(), 3), queue.Queue(), threading.Event()
    for n in range(50):
        thread_pool.run(lambda n=n: (hold.wait(20), done.put(n)))
    assert thread_pool.threads == 3
    hold.set()
    assert sorted(done.get(timeout=20) for _ in range(50)) == list(range(50))


def test_where_nothing_is_below_no_records_service_need_be_named():
    told = json.loads(json.dumps(GOOD))
    for records in (None, ""):
        told["records"] = records
        with pytest.raises(MalformedInputError, match="'records'"):
            platform_config.check(told)  # its runs may call
    told["settings"]["familyInfo"]["below"] = "silent"
    platform_config.check(told)
    del told["records"]
    platform_config.check(told)
    assert platform_config.records(told) is None and platform_config.understood(told)["records"] is None
    told["records"] = "nowhere"
    with pytest.raises(MalformedInputError, match="'records'"):
        platform_config.check(told)
