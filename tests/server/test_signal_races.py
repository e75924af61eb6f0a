"""Signals between two lines, at the whole server. In both builds; docs/crossings.md."""

import base64
import os
import signal
import socket
import subprocess
import time
from pathlib import Path

import pytest
from helpers import SETTINGS, ServerOptions, ServerProcess
from rpc_values import IDEMPOTENCY_KEY

from testkit.fakes.peers import WAIT_TIMEOUT_S
from testkit.faults.checkpoints import run_in_thread


@pytest.fixture
def server(tmp_path):
    with ServerProcess(tmp_path) as running:
        yield running


def content(message):
    return base64.b64decode(message["result"]["content"])


def until_out(server):
    end = time.monotonic() + WAIT_TIMEOUT_S
    while server.receive_report()[2] != "OUT":
        assert time.monotonic() < end, "it is still reported as fit"


# -- start and signals


def opened_for_reading(path):
    """Returns the writing end: somebody is just reading it, and waits for what is written."""
    opening, ends = run_in_thread(lambda: open(path, "w"))  # noqa: SIM115
    opening.join(WAIT_TIMEOUT_S)
    assert ends, "nobody reads the configuration"
    return ends[0]


def test_sighup_before_the_configuration_is_read_does_not_end_the_process(tmp_path):
    with ServerProcess(tmp_path) as model:  # stand-ins, and a configuration that suits them
        text = model.config.read_text()
        pipe = tmp_path / "pipe.json"
        os.mkfifo(pipe)
        process = subprocess.Popen(
            model.COMMAND,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={**os.environ, "ROUTER_CONFIG": str(pipe)},
        )
        try:
            with opened_for_reading(pipe) as end:  # it is in the middle of its start
                process.send_signal(signal.SIGHUP)
                end.write(text)
            # Opened while the first reader is there still, the pipe would give it both texts.
            assert any("event=serving" in line for line in process.stdout)
            with opened_for_reading(pipe) as end:  # it serves, and reads anew as it was asked to
                end.write(text)
            assert any("event=configuration_renewed" in line for line in process.stdout)
            process.terminate()
            assert process.wait(WAIT_TIMEOUT_S) == 0, process.stdout.read()
        finally:
            process.kill()
            process.wait()


def test_sigterm_before_the_configuration_is_read_exits_with_0(tmp_path):
    pipe = tmp_path / "pipe.json"
    os.mkfifo(pipe)
    process = subprocess.Popen(
        ServerProcess.COMMAND,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env={**os.environ, "ROUTER_CONFIG": str(pipe)},
    )
    try:
        with opened_for_reading(pipe):  # it is in the middle of its start, and nothing is written there
            process.terminate()
            assert process.wait(WAIT_TIMEOUT_S) == 0, process.stdout.read()
        assert process.stdout.read() == ""
    finally:
        process.kill()
        process.wait()


def test_sigterm_during_a_slow_reload_is_handled_at_once(server):
    server.config.unlink()
    os.mkfifo(server.config)
    server.process.send_signal(signal.SIGHUP)
    with opened_for_reading(server.config):  # and nothing is written there
        server.process.terminate()
        until_out(server)
        assert server.process.wait(WAIT_TIMEOUT_S) == 0


def test_sigterm_before_the_worker_pool_is_bound_answers_a_started_message_and_never_reports_ready(tmp_path):
    with ServerProcess(tmp_path, ServerOptions(up=False)) as server:
        client = server.balancer()
        whole, send = [], client.sock.sendall
        client.send_bytes = whole.append
        client.request(7)
        send(whole[0][:60])
        server.process.terminate()
        until_out(server)
        server.pool.up.set()  # the pool comes up in the middle of it
        send(whole[0][60:])
        heard = {message.get("id"): message for message in (client.receive(), client.receive())}
        assert heard[7]["error"]["code"] == -32050 and None in heard  # and `closing`
        assert server.process.wait(WAIT_TIMEOUT_S) == 0
        server.members.setblocking(False)
        reports = []
        try:
            while True:
                reports.append(server.members.recv(64))
        except BlockingIOError:
            pass
        assert b"HB n1 UP" not in reports


# -- shutdown


def test_a_reload_and_a_second_sigterm_during_shutdown_change_only_addresses(server):
    client = server.balancer()
    job = client.request(1, "pay", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.process.terminate()
    assert client.receive()["method"] == "closing"
    old = server.move_peers()  # SIGHUP
    assert server.pool.take("bind")[1]["n"] == 0
    assert server.receive_report() == ["HB", "n1", "OUT"]
    server.process.terminate()
    server.pool.finish(job, b"paid")
    assert content(client.receive()) == b"paid"
    assert server.process.wait(WAIT_TIMEOUT_S) == 0
    assert old[0].received_none_of("spawn") and server.pool.received_none_of("spawn")


def test_a_shutdown_without_worker_pool_link_and_registry_answers_all_requests(server):
    client = server.balancer()
    job = client.request(1, "pay", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.members.close()  # nobody takes reports any more
    server.process.terminate()
    assert client.receive()["method"] == "closing"
    server.pool.disconnect()
    server.pool.finish(job, b"told on the next link")
    assert content(client.receive()) == b"told on the next link"
    assert server.process.wait(WAIT_TIMEOUT_S) == 0


def test_a_retry_during_shutdown_gets_the_result_of_the_first_attempt(server):
    one, two = server.balancer(), server.balancer()
    job = one.request(1, "pay", txn="a1", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.process.terminate()
    assert one.receive()["method"] == two.receive()["method"] == "closing"  # past the grace
    two.request(1, "pay", txn="a2", unique=IDEMPOTENCY_KEY)
    two.request(2, txn="a3")  # nothing new is run; its answer shows that the repeat before it was read
    assert two.receive()["error"]["code"] == -32050
    server.pool.finish(job, b"paid")
    assert content(one.receive()) == content(two.receive()) == b"paid"
    assert server.process.wait(WAIT_TIMEOUT_S) == 0
    assert server.pool.received_none_of("spawn")


def test_a_blocked_log_pipe_does_not_delay_the_exit(tmp_path):
    """Its pipe is full from the first line on, so the thread that writes it is stuck as the program ends."""
    with ServerProcess(tmp_path) as model:  # stand-ins, and a port
        model.stop()
        model.write_config(f"127.0.0.1:{model.port}")
        model.members.setblocking(False)
        try:
            while True:
                model.members.recv(64)
        except BlockingIOError:
            model.members.settimeout(WAIT_TIMEOUT_S)
        read, write = os.pipe()
        os.set_blocking(write, False)
        try:
            while True:
                os.write(write, b"x" * 4096)
        except BlockingIOError:
            os.set_blocking(write, True)
        process = subprocess.Popen(
            model.COMMAND, stderr=write, env={**os.environ, "ROUTER_CONFIG": str(model.config)}
        )
        try:
            assert model.receive_report() == ["HB", "n1", "UP"]
            client = model.balancer()
            job = client.request(1)
            model.pool.take("spawn")
            process.terminate()
            assert client.receive()["method"] == "closing"
            model.pool.finish(job, b"done")
            assert content(client.receive()) == b"done"
            assert process.wait(WAIT_TIMEOUT_S) == 0
            assert os.read(read, 1 << 20).strip(b"x") == b""  # it was stuck from before its first line
        finally:
            process.kill()
            process.wait()
            os.close(read)
            os.close(write)


def narrow(server):
    """A balancer whose machine takes little in for it before it reads."""
    client = server.balancer()
    client.sock.close()
    client.sock = socket.socket()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.sock.settimeout(WAIT_TIMEOUT_S)
    client.sock.connect(("127.0.0.1", server.port))
    client.file = client.sock.makefile("rb")
    return client


def in_the_system(port):
    """Bytes on their way through connections of that port: unread, or not yet taken by the other side."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        if f":{port:04X}" in (words[1][-5:], words[2][-5:]):
            total += sum(int(part, 16) for part in words[4].split(":"))
    return total


def half_written(server, client, count=100, size=40_000):
    """Answers that nobody reads, until the server has more for the connection than its system takes.

    Returns another balancer, whose answer came behind them.
    """
    for number in range(1, count + 1):
        job = client.request(number)
        assert server.pool.take("spawn")[1]["job"] == job
        server.pool.finish(job, os.urandom(size))
    other = server.balancer()  # its turn comes behind all of them
    other.request(1, txn="ff")
    server.pool.finish(server.pool.take("spawn")[1]["job"])
    assert other.receive()["id"] == 1
    # The rest is with the server, and one is half written.
    assert in_the_system(server.port) < count * size * 4 // 3
    return other


def test_partly_written_answers_are_completed_during_shutdown(server):
    client = narrow(server)
    other = half_written(server, client)
    server.process.terminate()
    assert other.receive()["method"] == "closing" and other.receive() is None  # past all other waits
    heard = [client.receive() for _ in range(101)]
    assert sorted(message["id"] for message in heard if "id" in message) == list(range(1, 101))
    assert [message["method"] for message in heard if "id" not in message] == ["closing"]
    assert server.process.wait(WAIT_TIMEOUT_S) == 0


def test_a_client_that_never_reads_does_not_prevent_the_end_of_a_shutdown(tmp_path):
    with ServerProcess(tmp_path, ServerOptions(stop_ms=1500)) as server:
        client = narrow(server)
        half_written(server, client)
        server.process.terminate()
        assert server.process.wait(WAIT_TIMEOUT_S) == 0
        server.log_reader.join(WAIT_TIMEOUT_S)
        assert any("event=stopped" in line for line in server.log), server.log


# -- settings


def test_a_reload_with_other_settings_applies_only_addresses(server):
    client = server.balancer()
    server.settings = {
        "requestClasses": [{**SETTINGS["requestClasses"][1], "effect": "read_like", "name": "read"}],
        "customers": [{"name": "other", "quotaPerS": 1.0}],
    }
    server.move_peers()
    server.pool.take("bind")
    assert server.receive_report() == ["HB", "n1", "UP"]
    job = client.request(1, "pay", unique=IDEMPOTENCY_KEY)  # stage and tenant of the start
    server.pool.take("spawn")
    server.pool.finish(job, b"paid")
    assert content(client.receive()) == b"paid"
    client.request(2, "pay", txn="b2", unique=IDEMPOTENCY_KEY)
    assert content(client.receive()) == b"paid"  # still fingerprinted
    assert "not_changed=" in server.stop()
