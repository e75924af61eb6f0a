"""Server process: requests, retries, configuration and shutdown."""

import base64
import re
import signal
import time
from pathlib import Path

import pytest
from helpers import SETTINGS, ScriptedClient, ServerOptions, ServerProcess
from rpc_values import IDEMPOTENCY_KEY, content


def test_a_request_with_a_dependency_call_is_served_with_all_bodies_unchanged(server):
    client = server.connect_client()
    job = client.request(1, content=base64.b64encode(bytes(range(256))).decode())
    spawned = server.pool.take("spawn")[1]
    assert (spawned["job"], spawned["kind"]) == (job, "read")
    assert base64.b64decode(spawned["data"]) == bytes(range(256))
    server.pool.block(job, b"\r\nask\0")
    _, name, body, connection = server.records.take("OP")
    assert (name, body) == (job, b"\r\nask\0")
    connection.sendall(b"%b DONE 6\r\n\r\nyes\0\r\n" % job.encode())
    assert base64.b64decode(server.pool.take("supply")[1]["data"]) == b"\r\nyes\0"
    server.pool.finish(job, b"\xff" * 4096)
    answer = client.receive()
    assert answer["id"] == 1 and content(answer) == b"\xff" * 4096
    log = server.stop()
    assert "must_hold_broken" not in log and "finished=1" in log


def test_answers_are_sent_as_runs_end_and_a_rejection_carries_a_retry_after(server):
    client = server.connect_client()
    jobs = [client.request(n) for n in (1, 2, 3)]
    # A request whose client waits only 10 ms is rejected at once and never runs.
    client.request(4, limit=10)
    rejection = client.receive()
    assert (
        rejection["id"] == 4
        and rejection["error"]["code"] == -32050
        and rejection["error"]["data"]["later"] > 0
    )
    for _ in jobs[:2]:
        server.pool.take("spawn")
    for index in (1, 0):
        server.pool.finish(jobs[index])
        assert client.receive()["id"] == index + 1
    server.pool.take("spawn")
    server.pool.finish(jobs[2], state="error")
    failure = client.receive()
    assert failure["id"] == 3 and failure["error"]["code"] != -32050


def test_retries_with_one_idempotency_key_get_one_result_of_one_run(server):
    client, retrying_client = server.connect_client(), server.connect_client()
    job = client.request(1, "pay", txn="a1", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    retrying_client.request(1, "pay", txn="a2", unique=IDEMPOTENCY_KEY)
    retrying_client.request(2, "read", txn="a3")  # its spawn shows that the retry before it was read
    server.pool.take("spawn")
    server.pool.finish(job, b"paid")
    assert content(client.receive()) == b"paid"
    assert content(retrying_client.receive()) == b"paid"
    retrying_client.request(3, "pay", txn="a4", unique=IDEMPOTENCY_KEY)
    assert content(retrying_client.receive()) == b"paid"
    server.pool.finish("a3")
    retrying_client.receive()
    assert server.pool.received_none_of("spawn")


def test_a_retry_after_the_key_window_runs_as_a_new_request(server):
    client = server.connect_client()
    job = client.request(1, "pay", txn="b1", unique=IDEMPOTENCY_KEY, door=time.time() * 1000.0 - 70_000.0)
    rejection = client.receive()  # too old to run; its idempotency key is dropped
    assert rejection["error"]["code"] == -32050
    job = client.request(2, "pay", txn="b2", unique=IDEMPOTENCY_KEY)
    assert server.pool.take("spawn")[1]["job"] == job
    server.pool.finish(job)
    client.receive()


def test_a_retry_of_a_failed_run_fails_and_does_not_run(server):
    client = server.connect_client()
    job = client.request(1, "pay", txn="c1", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.pool.finish(job, state="error")
    assert client.receive()["error"]["code"] == -32051
    client.request(2, "pay", txn="c2", unique=IDEMPOTENCY_KEY)
    assert client.receive()["error"]["code"] == -32051
    assert server.pool.received_none_of("spawn")


def test_before_the_worker_pool_is_bound_the_server_is_not_ready_and_rejects(tmp_path):
    with ServerProcess(tmp_path, ServerOptions(up=False)) as server:
        client = server.connect_client()
        client.send({"jsonrpc": "2.0", "id": 1, "method": "check"})
        assert client.receive()["result"] == {"serving": False}
        client.request(2)
        assert client.receive()["error"]["code"] == -32050
        server.pool.up.set()
        assert server.receive_report() == ["HB", "n1", "UP"]
        client.send({"jsonrpc": "2.0", "id": 3, "method": "check", "params": {"probe": True}})
        assert client.receive()["result"] == {"serving": True}


def test_a_reload_moves_all_peers_under_load_and_a_wrong_configuration_changes_nothing(server):
    client = server.connect_client()
    job = client.request(1, "pay", unique=IDEMPOTENCY_KEY)
    old_pool = server.pool
    old_pool.take("spawn")
    for rpc_id in (2, 3):  # two reloads
        old_pool, old_records, _ = server.move_services()
        assert server.pool.take("bind")[1]["n"] == old_pool.last_number  # notice numbers continue
        assert server.receive_report() == ["HB", "n1", "UP"]
        server.pool.finish(job)
        assert client.receive()["id"] == rpc_id - 1
        job = client.request(rpc_id)
        server.pool.take("spawn")
        server.pool.block(job)
        server.records.take("OP")[3].sendall(b"%b DONE 1\r\n!\r\n" % job.encode())
        server.pool.take("supply")
        server.config.write_text('{"name": "n1"}')
        server.process.send_signal(signal.SIGHUP)
        while "".join(server.log).count("event=configuration_refused") < rpc_id - 1:
            time.sleep(0.01)
        assert old_pool.received_none_of("spawn") and old_records.received_none_of("OP")
    server.pool.finish(job)
    assert client.receive()["id"] == 3
    log = server.stop()
    assert log.count("event=configuration_refused") == 2 and "key 'listen'" in log
    assert log.count("moved=pool,records,members") == 2


def test_every_thread_blocks_the_signals_that_the_main_thread_waits_for(server):
    signals = {signal.SIGHUP, signal.SIGINT, signal.SIGTERM}
    for status in Path(f"/proc/{server.process.pid}/task").glob("*/status"):
        if status.parent.name == str(server.process.pid):  # the main thread
            continue
        blocked_mask = int(re.search(r"SigBlk:\s*(\w+)", status.read_text())[1], 16)
        assert signals <= {number for number in signals if blocked_mask >> (number - 1) & 1}


def test_a_graceful_shutdown_answers_open_requests_rejects_late_ones_and_exits_with_0(server):
    client = server.connect_client()
    job = client.request(1)
    server.pool.take("spawn")
    server.process.terminate()
    while server.receive_report()[2] != "OUT":
        pass
    assert client.receive()["method"] == "closing"
    with pytest.raises(OSError):  # new connections are refused
        ScriptedClient(server.port)
    server.pool.finish(job)
    assert client.receive()["id"] == 1
    client.sock.close()
    client.file.close()
    assert server.process.wait(20) == 0


def test_a_graceful_shutdown_fails_a_run_that_never_ends_before_the_kill(tmp_path):
    with ServerProcess(tmp_path, ServerOptions(stop_ms=1200)) as server:
        client = server.connect_client()
        client.request(1)
        server.pool.take("spawn")
        server.process.terminate()
        messages = [client.receive(), client.receive()]
        assert sorted("error" in message for message in messages) == [False, True]
        assert server.process.wait(20) == 0


def test_a_killed_server_can_restart_on_its_address_at_once(server, tmp_path):
    client = server.connect_client()
    client.request(1, "pay", txn="k1", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.process.kill()
    server.process.wait()
    with ServerProcess(tmp_path, ServerOptions(listen=f"127.0.0.1:{server.port}", cold=True)) as restarted:
        client = restarted.connect_client()
        # The restarted server knows no requests of its previous incarnation.
        job = client.request(1, "pay", txn="k2", unique=IDEMPOTENCY_KEY)
        assert restarted.pool.take("spawn")[1]["job"] == job
        restarted.pool.finish(job)
        assert "result" in client.receive()


def test_a_run_that_never_ends_is_failed_at_its_deadline(server):
    client = server.connect_client()
    client.request(1, limit=700)
    server.pool.take("spawn")
    assert client.receive()["error"]["code"] == -32051  # the request may have had an effect


def test_a_paused_process_loses_no_answer(server):
    client = server.connect_client()
    job = client.request(1)
    server.pool.take("spawn")
    server.process.send_signal(signal.SIGSTOP)
    server.pool.finish(job)
    client.request(2, txn="p2")
    server.process.send_signal(signal.SIGCONT)
    assert client.receive()["id"] == 1
    server.pool.take("spawn")
    server.pool.finish("p2")
    assert client.receive()["id"] == 2


def test_an_idempotency_key_with_another_body_is_another_request(server):
    client, unknown_client = server.connect_client(), server.connect_client()
    job = client.request(1, "pay", txn="a1", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    unknown_client.request(1, "pay", txn="a2", unique=IDEMPOTENCY_KEY, content="YmFk")
    assert server.pool.take("spawn")[1]["job"] == "a2"  # no retry; the worker pool does not know the request
    server.pool.send({"type": "unknown", "state": "spawn", "job": "a2"})
    assert unknown_client.receive()["error"]["code"] == -32051
    server.pool.finish(job, b"paid")
    assert content(client.receive()) == b"paid"
    server.connect_client().request(1, "pay", txn="a3", unique=IDEMPOTENCY_KEY, content="YmFk")
    assert server.pool.take("spawn")[1]["job"] == "a3"  # "a2" never ran, so it left no result to share


def test_a_server_without_a_records_service_serves_reloads_and_survives_a_stray_call(tmp_path):
    info = {**SETTINGS["familyInfo"], "below": "silent"}
    with ServerProcess(tmp_path, ServerOptions(has_records=False), familyInfo=info) as server:
        client = server.connect_client()
        calling_job = client.request(1, txn="o1", limit=900)
        job = client.request(2, "pay", txn="o2", unique=IDEMPOTENCY_KEY)
        for _ in range(2):
            server.pool.take("spawn")
        server.pool.block(calling_job)  # without a service, this request alone fails at its deadline
        server.move_services()
        server.pool.take("bind")
        server.pool.finish(job, b"done")
        assert content(client.receive()) == b"done"
        assert client.receive()["error"]["code"] == -32051
        server.pool.finish(calling_job, state="cancelled")
        log = server.stop()
        assert "moved=pool,members" in log and "must_hold_broken" not in log
