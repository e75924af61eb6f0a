"""Race tests of the server process and its signals. Cases: docs/crossings.md."""

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


def wait_until_reported_not_ready(server):
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while server.receive_report()[2] != "OUT":
        assert time.monotonic() < deadline_s, "the server still reports that it is ready"


# -- start and signals


def open_once_read(fifo):
    """Return the writing end of a FIFO as soon as the server has opened it for reading."""
    opening_thread, files = run_in_thread(lambda: open(fifo, "w"))  # noqa: SIM115
    opening_thread.join(WAIT_TIMEOUT_S)
    assert files, "the server does not read the configuration"
    return files[0]


def test_sighup_before_the_configuration_is_read_does_not_end_the_process(tmp_path):
    with ServerProcess(tmp_path) as template:  # only its fakes and its configuration are used
        text = template.config.read_text()
        pipe = tmp_path / "pipe.json"
        os.mkfifo(pipe)
        process = subprocess.Popen(
            template.COMMAND,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={**os.environ, "ROUTER_CONFIG": str(pipe)},
        )
        try:
            with open_once_read(pipe) as file:  # the server is starting and reads its configuration
                process.send_signal(signal.SIGHUP)
                file.write(text)
            # Opened again before the first reader has closed it, the FIFO would give that reader both texts.
            assert any("event=serving" in line for line in process.stdout)
            with open_once_read(pipe) as file:  # the server has started and handles the SIGHUP
                file.write(text)
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
        with open_once_read(pipe):  # the server is starting and waits for its configuration
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
    with open_once_read(server.config):  # nothing is written, so the reload does not end
        server.process.terminate()
        wait_until_reported_not_ready(server)
        assert server.process.wait(WAIT_TIMEOUT_S) == 0


def test_sigterm_before_the_worker_pool_is_bound_answers_a_started_message_and_never_reports_ready(tmp_path):
    with ServerProcess(tmp_path, ServerOptions(up=False)) as server:
        client = server.connect_client()
        messages, send = [], client.sock.sendall
        client.send_bytes = messages.append
        client.request(7)
        send(messages[0][:60])
        server.process.terminate()
        wait_until_reported_not_ready(server)
        server.pool.up.set()  # the worker pool comes up during the shutdown
        send(messages[0][60:])
        replies = {message.get("id"): message for message in (client.receive(), client.receive())}
        assert replies[7]["error"]["code"] == -32050 and None in replies  # None: the `closing` notification
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
    client = server.connect_client()
    job = client.request(1, "pay", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.process.terminate()
    assert client.receive()["method"] == "closing"
    old_services = server.move_services()  # sends SIGHUP
    assert server.pool.take("bind")[1]["n"] == 0
    assert server.receive_report() == ["HB", "n1", "OUT"]
    server.process.terminate()
    server.pool.finish(job, b"paid")
    assert content(client.receive()) == b"paid"
    assert server.process.wait(WAIT_TIMEOUT_S) == 0
    assert old_services[0].received_none_of("spawn") and server.pool.received_none_of("spawn")


def test_a_shutdown_without_worker_pool_link_and_registry_answers_all_requests(server):
    client = server.connect_client()
    job = client.request(1, "pay", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.members.close()  # the registry receives no reports any more
    server.process.terminate()
    assert client.receive()["method"] == "closing"
    server.pool.disconnect()
    server.pool.finish(job, b"sent on the next link")
    assert content(client.receive()) == b"sent on the next link"
    assert server.process.wait(WAIT_TIMEOUT_S) == 0


def test_a_retry_during_shutdown_gets_the_result_of_the_first_attempt(server):
    client, retrying_client = server.connect_client(), server.connect_client()
    job = client.request(1, "pay", txn="a1", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.process.terminate()
    assert client.receive()["method"] == retrying_client.receive()["method"] == "closing"  # after the grace
    retrying_client.request(1, "pay", txn="a2", unique=IDEMPOTENCY_KEY)
    retrying_client.request(2, txn="a3")  # its rejection shows that the retry before it was read
    assert retrying_client.receive()["error"]["code"] == -32050
    server.pool.finish(job, b"paid")
    assert content(client.receive()) == content(retrying_client.receive()) == b"paid"
    assert server.process.wait(WAIT_TIMEOUT_S) == 0
    assert server.pool.received_none_of("spawn")


def test_a_blocked_log_pipe_does_not_delay_the_exit(tmp_path):
    """The pipe is full before the first log line, so the log's writer thread is blocked during the exit."""
    with ServerProcess(tmp_path) as template:  # only its fakes, its configuration and its port are used
        template.stop()
        template.write_config(f"127.0.0.1:{template.port}")
        template.members.setblocking(False)
        try:
            while True:
                template.members.recv(64)
        except BlockingIOError:
            template.members.settimeout(WAIT_TIMEOUT_S)
        read_end, write_end = os.pipe()
        os.set_blocking(write_end, False)
        try:
            while True:
                os.write(write_end, b"x" * 4096)
        except BlockingIOError:
            os.set_blocking(write_end, True)
        process = subprocess.Popen(
            template.COMMAND, stderr=write_end, env={**os.environ, "ROUTER_CONFIG": str(template.config)}
        )
        try:
            assert template.receive_report() == ["HB", "n1", "UP"]
            client = template.connect_client()
            job = client.request(1)
            template.pool.take("spawn")
            process.terminate()
            assert client.receive()["method"] == "closing"
            template.pool.finish(job, b"done")
            assert content(client.receive()) == b"done"
            assert process.wait(WAIT_TIMEOUT_S) == 0
            assert os.read(read_end, 1 << 20).strip(b"x") == b""  # no log line was ever written
        finally:
            process.kill()
            process.wait()
            os.close(read_end)
            os.close(write_end)


def client_with_small_receive_buffer(server):
    """Return a client whose kernel buffers few bytes that the client has not read."""
    client = server.connect_client()
    client.sock.close()
    client.sock = socket.socket()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.sock.settimeout(WAIT_TIMEOUT_S)
    client.sock.connect(("127.0.0.1", server.port))
    client.file = client.sock.makefile("rb")
    return client


def kernel_buffered_bytes(port):
    """Return the bytes in the kernel's send and receive queues of all connections of the port."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if f":{port:04X}" in (columns[1][-5:], columns[2][-5:]):
            total += sum(int(queue_size, 16) for queue_size in columns[4].split(":"))
    return total


def fill_send_buffer(server, client, count=100, size=40_000):
    """Have the server answer more than the kernel buffers for a client that does not read.

    Return another client, whose answer was sent after all of these answers.
    """
    for rpc_id in range(1, count + 1):
        job = client.request(rpc_id)
        assert server.pool.take("spawn")[1]["job"] == job
        server.pool.finish(job, os.urandom(size))
    other_client = server.connect_client()
    other_client.request(1, txn="ff")
    server.pool.finish(server.pool.take("spawn")[1]["job"])
    assert other_client.receive()["id"] == 1
    # The server still holds answers, one of them partly written: base64 makes an answer 4/3 of its size.
    assert kernel_buffered_bytes(server.port) < count * size * 4 // 3
    return other_client


def test_partly_written_answers_are_completed_during_shutdown(server):
    client = client_with_small_receive_buffer(server)
    other_client = fill_send_buffer(server, client)
    server.process.terminate()
    # The shutdown then waits for the unwritten answers only.
    assert other_client.receive()["method"] == "closing" and other_client.receive() is None
    messages = [client.receive() for _ in range(101)]
    assert sorted(message["id"] for message in messages if "id" in message) == list(range(1, 101))
    assert [message["method"] for message in messages if "id" not in message] == ["closing"]
    assert server.process.wait(WAIT_TIMEOUT_S) == 0


def test_a_client_that_never_reads_does_not_prevent_the_end_of_a_shutdown(tmp_path):
    with ServerProcess(tmp_path, ServerOptions(stop_ms=1500)) as server:
        client = client_with_small_receive_buffer(server)
        fill_send_buffer(server, client)
        server.process.terminate()
        assert server.process.wait(WAIT_TIMEOUT_S) == 0
        server.log_reader.join(WAIT_TIMEOUT_S)
        assert any("event=stopped" in line for line in server.log), server.log


# -- settings


def test_a_reload_with_other_settings_applies_only_addresses(server):
    client = server.connect_client()
    server.settings = {
        "requestClasses": [{**SETTINGS["requestClasses"][1], "effect": "read_like", "name": "read"}],
        "customers": [{"name": "other", "quotaPerS": 1.0}],
    }
    server.move_services()
    server.pool.take("bind")
    assert server.receive_report() == ["HB", "n1", "UP"]
    job = client.request(1, "pay", unique=IDEMPOTENCY_KEY)  # request class and tenant from before the reload
    server.pool.take("spawn")
    server.pool.finish(job, b"paid")
    assert content(client.receive()) == b"paid"
    client.request(2, "pay", txn="b2", unique=IDEMPOTENCY_KEY)
    assert content(client.receive()) == b"paid"  # the class is still idempotent by key
    assert "not_changed=" in server.stop()
