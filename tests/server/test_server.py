"""The whole server in a process of its own, against stand-ins for all it meets."""

import base64
import contextlib
import re
import signal
import socket
import time
from pathlib import Path

import pytest
from helpers import TOLD, Balancer, Running

MARK = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


@pytest.fixture
def server(tmp_path):
    with Running(tmp_path) as running:
        yield running


def content(message):
    return base64.b64decode(message["result"]["content"])


def test_a_task_with_a_call_goes_through_all_parts_with_its_bodies_unchanged(server):
    caller = server.balancer()
    job = caller.ask(1, content=base64.b64encode(bytes(range(256))).decode())
    spawned = server.pool.take("spawn")[1]
    assert (spawned["job"], spawned["kind"]) == (job, "read")
    assert base64.b64decode(spawned["data"]) == bytes(range(256))
    server.pool.block(job, b"\r\nask\0")
    _, name, body, line = server.records.take("OP")
    assert (name, body) == (job, b"\r\nask\0")
    line.sendall(b"%b DONE 6\r\n\r\nyes\0\r\n" % job.encode())
    assert base64.b64decode(server.pool.take("supply")[1]["data"]) == b"\r\nyes\0"
    server.pool.finish(job, b"\xff" * 4096)
    answer = caller.hear()
    assert answer["id"] == 1 and content(answer) == b"\xff" * 4096
    log = server.stop()
    assert "must_hold_broken" not in log and "finished=1" in log


def test_answers_come_in_the_order_of_their_runs_and_a_rejection_says_when_to_come_back(server):
    caller = server.balancer()
    jobs = [caller.ask(n) for n in (1, 2, 3)]
    # One whose caller has almost stopped waiting is rejected at once: nothing of it ran.
    caller.ask(4, limit=10)
    refused = caller.hear()
    assert refused["id"] == 4 and refused["error"]["code"] == -32050 and refused["error"]["data"]["later"] > 0
    for _ in jobs[:2]:
        server.pool.take("spawn")
    for at in (1, 0):
        server.pool.finish(jobs[at])
        assert caller.hear()["id"] == at + 1
    server.pool.take("spawn")
    server.pool.finish(jobs[2], state="error")
    failed = caller.hear()
    assert failed["id"] == 3 and failed["error"]["code"] != -32050


def test_a_repeat_while_its_task_runs_and_one_after_it_get_the_same_result_and_no_second_run(server):
    one, two = server.balancer(), server.balancer()
    job = one.ask(1, "pay", txn="a1", unique=MARK)
    server.pool.take("spawn")
    two.ask(1, "pay", txn="a2", unique=MARK)
    two.ask(2, "read", txn="a3")  # read behind the repeat, on the same connection
    server.pool.take("spawn")
    server.pool.finish(job, b"paid")
    assert content(one.hear()) == b"paid"
    assert content(two.hear()) == b"paid"
    two.ask(3, "pay", txn="a4", unique=MARK)
    assert content(two.hear()) == b"paid"
    server.pool.finish("a3")
    two.hear()
    assert server.pool.nothing_more("spawn")


def test_a_repeat_from_behind_the_window_by_its_door_is_a_task_of_its_own(server):
    caller = server.balancer()
    job = caller.ask(1, "pay", txn="b1", unique=MARK, door=time.time() * 1000.0 - 70_000.0)
    first = caller.hear()  # too old to be run: rejected, and its fingerprint forgotten
    assert first["error"]["code"] == -32050
    job = caller.ask(2, "pay", txn="b2", unique=MARK)
    assert server.pool.take("spawn")[1]["job"] == job
    server.pool.finish(job)
    caller.hear()


def test_a_repeat_of_a_run_that_failed_fails_with_it_and_is_not_run(server):
    caller = server.balancer()
    job = caller.ask(1, "pay", txn="c1", unique=MARK)
    server.pool.take("spawn")
    server.pool.finish(job, state="error")
    assert caller.hear()["error"]["code"] == -32051
    caller.ask(2, "pay", txn="c2", unique=MARK)
    assert caller.hear()["error"]["code"] == -32051
    assert server.pool.nothing_more("spawn")


def test_a_call_that_hangs_is_given_up_and_its_late_reply_reaches_no_later_call(server):
    caller = server.balancer()
    job = caller.ask(1)
    server.pool.take("spawn")
    server.pool.block(job, b"first")
    _, _, _, line = server.records.take("OP")
    assert server.records.take("UNOP")[1] == job  # cut long before the caller stops waiting
    passed = server.pool.take("pass")[1]
    assert (passed["job"], passed["n"]) == (job, 1)
    server.pool.block(job, b"second")
    _, _, body, other = server.records.take("OP")
    # On the same connection the reply to the first would pass for the second's.
    assert body == b"second" and other is not line
    line.sendall(b"%b DONE 4\r\nlate\r\n" % job.encode())
    other.sendall(b"%b DONE 4\r\ngood\r\n" % job.encode())
    assert base64.b64decode(server.pool.take("supply")[1]["data"]) == b"good"
    server.pool.finish(job)
    caller.hear()


@pytest.mark.parametrize("end", ["WAIT", "EMPTY", "ERROR", "PAST", "cut", "nonsense"])
def test_a_call_is_made_again_only_where_it_never_ran(server, end):
    caller = server.balancer()
    job = caller.ask(1, "pay", unique=MARK)
    server.pool.take("spawn")
    server.pool.block(job)
    _, _, _, line = server.records.take("OP")
    if end == "cut":
        line.shutdown(2)
    else:
        line.sendall(b"?\r\n" if end == "nonsense" else b"%b %b\r\n" % (job.encode(), end.encode()))
    if end in ("WAIT", "EMPTY"):
        assert server.records.take("OP")[1] == job
    else:
        assert caller.hear()["error"]["code"] == -32051  # may have had its effect: nothing is promised
        server.pool.finish(job, state="cancelled")
        assert server.records.nothing_more("OP")


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\xff\0?\r\n",
        b"x" * 999,
        b"%b DONE 2\r\nlonger\r\n",
        b"%b DONE 3000000000\r\n" + b"x" * 99_999,
        b"%b DONE -1\r\n\r\n",
    ],
)
def test_a_spoilt_reply_costs_its_own_call_and_no_other(server, spoilt):
    caller = server.balancer()
    jobs = [caller.ask(n, "pay", txn=f"s{n}", unique=f"{n:032x}") for n in (1, 2)]
    lines = []
    for job in jobs:
        server.pool.take("spawn")
        server.pool.block(job)
        lines.append(server.records.take("OP")[3])
    lines[0].sendall(spoilt.replace(b"%b", b"s1"))
    assert caller.hear()["error"]["code"] == -32051  # it may have had its effect
    lines[1].sendall(b"s2 DONE 1\r\n!\r\n")
    assert server.pool.take("supply")[1]["job"] == "s2"
    server.pool.finish("s2")
    assert caller.hear()["id"] == 2


@pytest.mark.parametrize("more", [b"t1 DONE 5\r\nfirst\r\n", b"other WAIT\r\n", b"t1 DO"])
def test_more_than_a_call_s_reply_reaches_no_later_call(server, more):
    caller = server.balancer()
    caller.ask(1, txn="t1")
    server.pool.take("spawn")
    server.pool.block("t1")
    line = server.records.take("OP")[3]
    line.sendall(b"other DONE 2\r\nno\r\nt1 DONE 5\r\nfirst\r\n" + more)
    assert base64.b64decode(server.pool.take("supply")[1]["data"]) == b"first"
    server.pool.block("t1")
    later = server.records.take("OP")[3]
    assert later is not line
    later.sendall(b"t1 DONE 6\r\nsecond\r\n")
    assert base64.b64decode(server.pool.take("supply")[1]["data"]) == b"second"


def test_a_connection_that_the_service_closed_early_is_not_used_again(server):
    caller = server.balancer()
    for job in ("v1", "v2"):
        caller.ask(int(job[1]), txn=job)
        server.pool.take("spawn")
        server.pool.block(job)
        _, name, _, line = server.records.take("OP")
        assert name == job
        line.sendall(b"%b DONE 1\r\n!\r\n" % job.encode())
        line.shutdown(socket.SHUT_RDWR)
        server.pool.take("supply")
        server.pool.finish(job)
        caller.hear()


def test_calls_that_nobody_takes_are_made_when_the_service_is_back(tmp_path):
    with Running(tmp_path, records_up=False) as server:
        caller = server.balancer()
        job = caller.ask(1, "pay", unique=MARK)
        server.pool.take("spawn")
        server.pool.block(job)
        server.records.come_up()
        _, name, _, line = server.records.take("OP")
        line.sendall(b"%b DONE 1\r\n!\r\n" % name.encode())
        server.pool.take("supply")
        server.pool.finish(job)
        assert "result" in caller.hear()


def test_a_lost_link_loses_no_notice_takes_none_twice_and_starts_nothing_twice(server):
    caller = server.balancer()
    done, runs = caller.ask(1, "pay", txn="d1", unique=MARK), caller.ask(2, txn="d2")
    for _ in range(2):
        server.pool.take("spawn")
    server.pool.cut()
    server.pool.finish(done, b"while nobody listened")
    assert server.pool.take("bind")[1]["n"] in (0, 1)
    assert content(caller.hear()) == b"while nobody listened"
    caller.ask(3, "pay", txn="d3", unique=MARK)
    assert content(caller.hear()) == b"while nobody listened"
    server.pool.say({**server.pool.notices[0], "data": "d3Jvbmc="})  # told again under its old number
    server.pool.cut()
    assert server.pool.take("bind")[1]["n"] == 1
    server.pool.finish(runs)
    assert caller.hear()["id"] == 2
    assert done not in [entry[1].get("job") for entry in list(server.pool.heard.queue)]
    assert "must_hold_broken" not in server.stop()


def test_commands_given_while_the_link_is_down_are_sent_once_it_is_back(tmp_path):
    with Running(tmp_path) as server:
        caller = server.balancer()
        server.pool.up.clear()  # links are taken, and nothing is answered on them
        server.pool.cut()
        job = caller.ask(1)
        # Sent before the replay was read it could start a run anew. The rejection shows that it is decided.
        caller.ask(2, limit=1)
        assert caller.hear()["id"] == 2 and server.pool.nothing_more("spawn")
        server.pool.up.set()
        assert server.pool.take("spawn")[1]["job"] == job
        server.pool.finish(job)
        assert caller.hear()["id"] == 1


def test_what_the_pool_says_amiss_is_counted_and_changes_nothing(server):
    caller = server.balancer()
    job = caller.ask(1)
    server.pool.take("spawn")
    for line in (
        b"{\n",
        b"[]\n",
        b'{"type":"finished","n":1}\n',
        b'{"type":"what"}\n',
        b"[" * 999 + b"\n",
        b'{"type":"finished","n":2,"job":"nobody","state":"complete","took":1,"data":""}\n',
        b'{"type":"unknown","state":"pass","job":"x"}\n',
        b'{"type":"chatter","n":3,"state":"hello"}\n',
    ):
        server.pool.say(None, raw=line)
    server.pool.number = 3
    server.pool.finish(job)
    assert caller.hear()["id"] == 1
    server.pool.finish(job)  # once more, under a new number
    caller.ask(2, txn="e2")
    server.pool.take("spawn")
    server.pool.say({"type": "unknown", "state": "spawn", "job": "e2"})
    assert caller.hear()["error"]["code"] == -32051  # no end of it will ever be told
    caller = server.balancer()
    caller.ask(3, txn="e3")
    server.pool.take("spawn")
    server.pool.notice("finished", "e3", state="complete", took="long", data=None)
    assert caller.hear()["error"]["code"] == -32051  # over, with nothing to be made of it
    server.pool.say(None, raw=b"x" * 200_000)
    assert server.pool.take("bind")
    log = server.stop()
    assert "pool_bad_line" in log and "pool_odd_notice" in log and "must_hold_broken" not in log


def test_until_the_pool_is_up_nothing_is_served_reported_or_run(tmp_path):
    with Running(tmp_path, up=False) as server:
        caller = server.balancer()
        caller.send({"jsonrpc": "2.0", "id": 1, "method": "check"})
        assert caller.hear()["result"] == {"serving": False}
        caller.ask(2)
        assert caller.hear()["error"]["code"] == -32050
        server.pool.up.set()
        assert server.heard_report() == ["HB", "n1", "UP"]
        caller.send({"jsonrpc": "2.0", "id": 3, "method": "check", "params": {"probe": True}})
        assert caller.hear()["result"] == {"serving": True}


def test_a_new_configuration_moves_all_peers_under_load_and_a_wrong_one_changes_nothing(server):
    caller = server.balancer()
    job = caller.ask(1, "pay", unique=MARK)
    old_pool = server.pool
    old_pool.take("spawn")
    for rpc_id in (2, 3):  # more than once
        old_pool, old_records, _ = server.move()
        assert server.pool.take("bind")[1]["n"] == old_pool.number  # the numbers go on
        assert server.heard_report() == ["HB", "n1", "UP"]
        server.pool.finish(job)
        assert caller.hear()["id"] == rpc_id - 1
        job = caller.ask(rpc_id)
        server.pool.take("spawn")
        server.pool.block(job)
        server.records.take("OP")[3].sendall(b"%b DONE 1\r\n!\r\n" % job.encode())
        server.pool.take("supply")
        server.config.write_text('{"name": "n1"}')
        server.process.send_signal(signal.SIGHUP)
        while "".join(server.log).count("event=configuration_refused") < rpc_id - 1:
            time.sleep(0.01)
        assert old_pool.nothing_more("spawn") and old_records.nothing_more("OP")
    server.pool.finish(job)
    assert caller.hear()["id"] == 3
    log = server.stop()
    assert log.count("event=configuration_refused") == 2 and "key 'listen'" in log
    assert log.count("moved=pool,records,members") == 2


def test_no_thread_lets_a_signal_end_the_program_while_the_one_before_is_served(server):
    held = {signal.SIGHUP, signal.SIGINT, signal.SIGTERM}
    for status in Path(f"/proc/{server.process.pid}/task").glob("*/status"):
        if status.parent.name == str(server.process.pid):  # the one that waits for them
            continue
        blocked = int(re.search(r"SigBlk:\s*(\w+)", status.read_text())[1], 16)
        assert held <= {number for number in held if blocked >> (number - 1) & 1}


def test_a_call_that_is_out_when_the_records_service_moves_ends_on_its_old_connection(server):
    caller = server.balancer()
    job = caller.ask(1, "pay", unique=MARK)
    server.pool.take("spawn")
    server.pool.block(job)
    line = server.records.take("OP")[3]
    server.move()
    server.pool.take("bind")
    line.sendall(b"%b DONE 1\r\n!\r\n" % job.encode())
    assert server.pool.take("supply")[1]["job"] == job
    server.pool.finish(job)
    assert "result" in caller.hear()


def test_a_drain_answers_all_takes_nothing_late_and_leaves_with_0(server):
    caller = server.balancer()
    job = caller.ask(1)
    server.pool.take("spawn")
    server.process.terminate()
    while server.heard_report()[2] != "OUT":
        pass
    assert caller.hear()["method"] == "closing"
    with pytest.raises(OSError):  # refused: nothing ran
        Balancer(server.port)
    server.pool.finish(job)
    assert caller.hear()["id"] == 1
    caller.sock.close()
    caller.file.close()
    assert server.process.wait(20) == 0


def test_a_drain_with_a_run_that_never_ends_answers_it_before_the_stop(tmp_path):
    with Running(tmp_path, stop_ms=1200) as server:
        caller = server.balancer()
        caller.ask(1)
        server.pool.take("spawn")
        server.process.terminate()
        heard = [caller.hear(), caller.hear()]
        assert sorted("error" in message for message in heard) == [False, True]
        assert server.process.wait(20) == 0


def test_after_a_kill_the_same_address_serves_again_at_once(server, tmp_path):
    caller = server.balancer()
    caller.ask(1, "pay", txn="k1", unique=MARK)
    server.pool.take("spawn")
    server.process.kill()
    server.process.wait()
    with Running(tmp_path, listen=f"127.0.0.1:{server.port}", cold=True) as again:
        caller = again.balancer()
        job = caller.ask(1, "pay", txn="k2", unique=MARK)  # nothing is known of the life before
        assert again.pool.take("spawn")[1]["job"] == job
        again.pool.finish(job)
        assert "result" in caller.hear()


def test_a_balancer_that_reads_nothing_holds_up_itself_alone(server):
    mute = server.balancer()
    mute.sock.settimeout(0.2)  # s: for each write; how many fit does not matter
    check = b'{"jsonrpc":"2.0","id":1,"method":"check"}'
    with contextlib.suppress(OSError):
        for _ in range(400):
            mute.raw((b"Content-Length: %d\r\n\r\n%b" % (len(check), check)) * 1000)
    caller = server.balancer()
    job = caller.ask(1)
    server.pool.take("spawn")
    server.pool.finish(job)
    assert caller.hear()["id"] == 1


def test_a_run_that_never_ends_is_answered_when_its_caller_stops_waiting(server):
    caller = server.balancer()
    caller.ask(1, limit=700)
    server.pool.take("spawn")
    assert caller.hear()["error"]["code"] == -32051  # it may have had its effect


def test_a_pause_of_the_machine_loses_no_answer(server):
    caller = server.balancer()
    job = caller.ask(1)
    server.pool.take("spawn")
    server.process.send_signal(signal.SIGSTOP)
    server.pool.finish(job)
    caller.ask(2, txn="p2")
    server.process.send_signal(signal.SIGCONT)
    assert caller.hear()["id"] == 1
    server.pool.take("spawn")
    server.pool.finish("p2")
    assert caller.hear()["id"] == 2


def test_a_balancer_that_has_said_all_it_will_still_gets_its_answers(server):
    caller = server.balancer()
    job = caller.ask(1)
    caller.sock.shutdown(socket.SHUT_WR)
    server.pool.take("spawn")
    server.pool.finish(job)
    assert caller.hear()["id"] == 1 and caller.hear() is None


def test_a_caller_that_resets_its_connection_costs_nobody_else_an_answer(server):
    gone, stays = server.balancer(), server.balancer()
    lost, kept = gone.ask(1, "pay", txn="f1", unique=MARK), stays.ask(1, txn="f2")
    for _ in range(2):
        server.pool.take("spawn")
    gone.gone()
    server.pool.finish(lost, b"kept for its repeat")
    server.pool.finish(kept)
    assert stays.hear()["id"] == 1
    stays.ask(2, "pay", txn="f3", unique=MARK)
    assert content(stays.hear()) == b"kept for its repeat"


def test_idle_connections_are_asked_to_close_and_those_with_open_tasks_are_not(tmp_path):
    told = {**TOLD["familyInfo"], "callerIdle": 20_000_000, "callers": 1000}  # callers that hardly come back
    with Running(tmp_path, familyInfo=told) as server:
        idle, busy = server.balancer(), server.balancer()
        job = busy.ask(1)
        server.pool.take("spawn")
        assert idle.hear()["method"] == "closing" and idle.hear() is None
        server.pool.finish(job)
        assert busy.hear()["id"] == 1
        assert busy.hear()["method"] == "closing"


GOOD = {"txn": "ff", "door": 1.0, "team": "acme", "content": "", "ram": 1.0}
BAD = [
    (b"{", -32700, None),
    (b"\xff\xfe", -32700, None),
    (b"[" * 4000, -32700, None),
    (b'{"jsonrpc":"2.0","id":NaN,"method":"read"}', -32700, None),
    ({"jsonrpc": "2.0", "method": "read", "params": GOOD}, -32600, None),
    ([], -32600, None),
    ([{"jsonrpc": "2.0", "id": 7, "method": "check"}], -32600, None),
    ({"jsonrpc": "2.0", "id": True, "method": "read"}, -32600, None),
    ({"jsonrpc": "1.0", "id": 7, "method": "read"}, -32600, 7),
    ({"jsonrpc": "2.0", "id": 7}, -32600, 7),
    ({"jsonrpc": "2.0", "id": "7", "method": "read", "params": GOOD}, -32600, "7"),
    ({"jsonrpc": "2.0", "id": 7, "method": "write"}, -32601, 7),
    ({"jsonrpc": "2.0", "id": 7, "method": "read", "params": []}, -32602, 7),
    *(
        ({"jsonrpc": "2.0", "id": 7, "method": "read", "params": {**GOOD, **wrong}}, -32602, 7)
        for wrong in (
            {"txn": None},
            {"txn": "a b"},
            {"door": "1"},
            {"door": None},
            {"team": "nobody"},
            {"content": "?"},
            {"content": None},
            {"content": "A" * 4000},
            {"ram": -1},
            {"limit": 1e99},
            {"unique": 5},
            {"cpu": True},
            {"lb": []},
            {"ram": None},
            {"ram": 0},
            {"ram": 2500},
            {"standing": -0.5},
            {"standing": "0"},
            {"door": -1},
            {"door": 9e14},
        )
    ),
]


def test_bad_messages_are_answered_by_their_codes_and_the_connection_goes_on(server):
    for at, (message, code, rpc_id) in enumerate(BAD):
        if at % 5 == 0:  # a few on each connection: it stands no more
            caller = server.balancer()
        if isinstance(message, dict) and message.get("params") and message["params"].get("door") == 1.0:
            message = {**message, "params": {**message["params"], "door": time.time() * 1000.0}}
        caller.send(message)
        heard = caller.hear()
        assert (heard["error"]["code"], heard["id"]) == (code, rpc_id), message
    caller = server.balancer()
    caller.ask(8)
    server.pool.take("spawn")
    caller.ask(8, txn="ab")  # under this id an answer would pass for the open task's
    assert caller.hear()["id"] is None
    caller.ask(9, txn=f"{8:016x}")
    assert caller.hear()["error"]["code"] == -32602
    server.pool.finish(f"{8:016x}")
    assert "result" in caller.hear()


def test_a_connection_that_brings_one_bad_message_after_another_is_closed(server):
    caller = server.balancer()
    caller.ask(1)
    server.pool.take("spawn")
    for _ in range(20):
        caller.send(b"{}")
    heard = [caller.hear() for _ in range(10)]
    assert [message.get("method") for message in heard] == [None] * 9 + ["closing"]
    server.pool.finish(f"{1:016x}")
    assert caller.hear()["id"] == 1 and caller.hear() is None


def test_messages_that_owe_no_answer_end_no_connection(server):
    caller = server.balancer()
    caller.ask(1)
    server.pool.take("spawn")
    for _ in range(30):
        caller.send({"jsonrpc": "2.0", "method": "what"})
        caller.send({"jsonrpc": "2.0", "method": "read"})
        assert caller.hear()["error"]["code"] == -32600  # to the second alone
    server.pool.finish(f"{1:016x}")
    assert caller.hear()["id"] == 1
    caller.ask(2)
    assert server.pool.take("spawn")


def test_the_key_of_another_body_brings_nobody_that_task_s_result(server):
    caller, bad = server.balancer(), server.balancer()
    job = caller.ask(1, "pay", txn="a1", unique=MARK)
    server.pool.take("spawn")
    bad.ask(1, "pay", txn="a2", unique=MARK, content="YmFk")
    assert server.pool.take("spawn")[1]["job"] == "a2"  # no repeat; the pool knows no such task
    server.pool.say({"type": "unknown", "state": "spawn", "job": "a2"})
    assert bad.hear()["error"]["code"] == -32051
    server.pool.finish(job, b"paid")
    assert content(caller.hear()) == b"paid"
    server.balancer().ask(1, "pay", txn="a3", unique=MARK, content="YmFk")
    assert server.pool.take("spawn")[1]["job"] == "a3"  # what never ran has left nothing to share


def test_a_balancer_with_more_open_than_it_waits_for_is_refused_and_keeps_its_connection(server):
    caller = server.balancer()
    for rpc_id in range(1, 65 + 20):  # the last twenty are too many; as bad messages they would end it
        caller.ask(rpc_id)
    refused = [caller.hear() for _ in range(20)]
    assert {message["error"]["code"] for message in refused} == {-32050}
    server.pool.finish(server.pool.take("spawn")[1]["job"])
    assert "result" in caller.hear()


def test_who_sends_what_the_pool_does_not_know_is_refused_the_rest_and_closed(server):
    caller, bad = server.balancer(), server.balancer()
    for rpc_id in range(1, 6):
        bad.ask(rpc_id, txn=f"b{rpc_id}")
    for _ in range(2):  # one on each core, the others are held
        server.pool.take("spawn")
    caller.ask(1, txn="c1")
    server.pool.say({"type": "unknown", "state": "spawn", "job": "b1"})
    heard = [bad.hear() for _ in range(5)]
    assert sorted(m["error"]["code"] for m in heard if "id" in m) == [-32051, -32050, -32050, -32050]
    assert [m["method"] for m in heard if "method" in m] == ["closing"]
    assert server.pool.take("spawn")[1]["job"] == "c1"
    server.pool.say({"type": "unknown", "state": "spawn", "job": "b2"})
    assert bad.hear()["error"]["code"] == -32051 and bad.hear() is None


@pytest.mark.parametrize("said", [b"", b"Content-Le", b"Content-Length: 70\r\n\r\n{"])
def test_who_says_nothing_or_half_a_message_is_closed(server, said):
    caller = server.balancer()
    caller.raw(said)
    while caller.hear() is not None:
        pass


def test_silent_connections_shut_no_balancer_out(tmp_path):
    with Running(tmp_path, sockets=40) as server:
        silent = [server.balancer() for _ in range(60)]  # more than may be open
        caller = server.balancer()
        caller.ask(1)
        server.pool.take("spawn")
        server.pool.finish(f"{1:016x}")
        assert caller.hear()["id"] == 1
        del silent


@pytest.mark.parametrize(
    "head",
    [
        b"\r\n\r\n",
        b"Content-Type: x\r\n\r\n",
        b"Content-Length: -5\r\n\r\n",
        b"Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
        b"x" * 5000,
        b"Content-Length: 999999999999\r\n\r\n",
        b"Content-Length: 100000\r\n\r\n",
    ],
)
def test_a_stream_that_cannot_be_followed_is_closed_after_what_is_open_on_it(server, head):
    caller = server.balancer()
    job = caller.ask(1)
    server.pool.take("spawn")
    caller.raw(head)
    assert caller.hear()["error"]["code"] == -32600
    assert caller.hear()["method"] == "closing"
    server.pool.finish(job)
    assert caller.hear()["id"] == 1
    assert caller.hear() is None


@pytest.mark.parametrize(("sockets", "files"), [(40, None), (1024, 24)])
def test_a_full_table_serves_on_and_takes_newcomers_as_others_leave(tmp_path, sockets, files):
    with Running(tmp_path, sockets=sockets, files=files) as server:
        callers = [server.balancer() for _ in range(30)]  # more than may be open: some wait in the backlog
        job = callers[0].ask(1)
        server.pool.take("spawn")
        server.pool.finish(job)
        assert callers[0].hear()["id"] == 1
        callers[-1].ask(1, txn="ab")
        for caller in callers[:20]:  # those in the backlog leave with them
            caller.gone()
        assert server.pool.take("spawn")[1]["job"] == "ab"
        server.pool.finish("ab")
        assert callers[-1].hear()["id"] == 1


def test_a_server_with_nothing_below_starts_serves_moves_and_stands_a_call_that_cannot_be(tmp_path):
    info = {**TOLD["familyInfo"], "below": "silent"}
    with Running(tmp_path, no_records=True, familyInfo=info) as server:
        caller = server.balancer()
        odd, job = caller.ask(1, txn="o1", limit=900), caller.ask(2, "pay", txn="o2", unique=MARK)
        for _ in range(2):
            server.pool.take("spawn")
        server.pool.block(odd)  # there is nobody to call: it ends by its limit, and nobody else with it
        server.move()
        server.pool.take("bind")
        server.pool.finish(job, b"done")
        assert content(caller.hear()) == b"done"
        assert caller.hear()["error"]["code"] == -32051
        server.pool.finish(odd, state="cancelled")
        log = server.stop()
        assert "moved=pool,members" in log and "must_hold_broken" not in log
