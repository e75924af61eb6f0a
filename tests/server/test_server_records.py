"""Server process: calls to the records service."""

import base64
import socket

import pytest
from helpers import SETTINGS, ServerOptions, ServerProcess
from rpc_values import IDEMPOTENCY_KEY

# A call times out after half of its share (0.2) of `callsOver`: 40 s with this setting, 0.1 s in the other
# tests. A busy machine may take 0.1 s to move a server to other addresses.
LONG_CALL_TIMEOUT = {**SETTINGS["familyInfo"], "callsOver": 400_000_000_000}


def test_a_timed_out_call_is_cancelled_and_its_late_reply_is_dropped(server):
    client = server.connect_client()
    job = client.request(1)
    server.pool.take("spawn")
    server.pool.block(job, b"first")
    _, _, _, connection = server.records.take("OP")
    assert server.records.take("UNOP")[1] == job  # cancelled long before the client stops waiting
    skip_command = server.pool.take("pass")[1]
    assert (skip_command["job"], skip_command["n"]) == (job, 1)
    server.pool.block(job, b"second")
    _, _, body, second_connection = server.records.take("OP")
    # On the same connection, the late reply would be taken for the reply to the second call.
    assert body == b"second" and second_connection is not connection
    connection.sendall(b"%b DONE 4\r\nlate\r\n" % job.encode())
    second_connection.sendall(b"%b DONE 4\r\ngood\r\n" % job.encode())
    assert base64.b64decode(server.pool.take("supply")[1]["data"]) == b"good"
    server.pool.finish(job)
    client.receive()


@pytest.mark.parametrize("reply", ["WAIT", "EMPTY", "ERROR", "PAST", "cut", "nonsense"])
def test_a_call_is_retried_only_if_it_never_ran(server, reply):
    client = server.connect_client()
    job = client.request(1, "pay", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.pool.block(job)
    _, _, _, connection = server.records.take("OP")
    if reply == "cut":
        connection.shutdown(2)
    else:
        connection.sendall(b"?\r\n" if reply == "nonsense" else b"%b %b\r\n" % (job.encode(), reply.encode()))
    if reply in ("WAIT", "EMPTY"):
        assert server.records.take("OP")[1] == job
    else:
        assert client.receive()["error"]["code"] == -32051  # the call may have had an effect
        server.pool.finish(job, state="cancelled")
        assert server.records.received_none_of("OP")


@pytest.mark.parametrize(
    "unreadable",
    [
        b"\xff\0?\r\n",
        b"x" * 999,
        b"%b DONE 2\r\nlonger\r\n",
        b"%b DONE 3000000000\r\n" + b"x" * 99_999,
        b"%b DONE -1\r\n\r\n",
    ],
)
def test_an_unreadable_reply_fails_only_its_own_call(server, unreadable):
    client = server.connect_client()
    jobs = [client.request(n, "pay", txn=f"s{n}", unique=f"{n:032x}") for n in (1, 2)]
    connections = []
    for job in jobs:
        server.pool.take("spawn")
        server.pool.block(job)
        connections.append(server.records.take("OP")[3])
    connections[0].sendall(unreadable.replace(b"%b", b"s1"))
    assert client.receive()["error"]["code"] == -32051  # the call may have had an effect
    connections[1].sendall(b"s2 DONE 1\r\n!\r\n")
    assert server.pool.take("supply")[1]["job"] == "s2"
    server.pool.finish("s2")
    assert client.receive()["id"] == 2


@pytest.mark.parametrize("surplus", [b"t1 DONE 5\r\nfirst\r\n", b"other WAIT\r\n", b"t1 DO"])
def test_surplus_bytes_after_a_reply_are_not_read_as_the_next_reply(server, surplus):
    client = server.connect_client()
    client.request(1, txn="t1")
    server.pool.take("spawn")
    server.pool.block("t1")
    connection = server.records.take("OP")[3]
    connection.sendall(b"other DONE 2\r\nno\r\nt1 DONE 5\r\nfirst\r\n" + surplus)
    assert base64.b64decode(server.pool.take("supply")[1]["data"]) == b"first"
    server.pool.block("t1")
    second_connection = server.records.take("OP")[3]
    assert second_connection is not connection
    second_connection.sendall(b"t1 DONE 6\r\nsecond\r\n")
    assert base64.b64decode(server.pool.take("supply")[1]["data"]) == b"second"


def test_a_connection_closed_by_the_service_is_not_reused(server):
    client = server.connect_client()
    for job in ("v1", "v2"):
        client.request(int(job[1]), txn=job)
        server.pool.take("spawn")
        server.pool.block(job)
        _, name, _, connection = server.records.take("OP")
        assert name == job
        connection.sendall(b"%b DONE 1\r\n!\r\n" % job.encode())
        connection.shutdown(socket.SHUT_RDWR)
        server.pool.take("supply")
        server.pool.finish(job)
        client.receive()


def test_calls_refused_while_the_service_is_down_are_retried_once_it_is_up(tmp_path):
    with ServerProcess(tmp_path, ServerOptions(records_up=False)) as server:
        client = server.connect_client()
        job = client.request(1, "pay", unique=IDEMPOTENCY_KEY)
        server.pool.take("spawn")
        server.pool.block(job)
        server.records.listen()
        _, name, _, connection = server.records.take("OP")
        connection.sendall(b"%b DONE 1\r\n!\r\n" % name.encode())
        server.pool.take("supply")
        server.pool.finish(job)
        assert "result" in client.receive()


def test_a_call_in_flight_when_the_records_service_moves_ends_on_its_old_connection(tmp_path):
    with ServerProcess(tmp_path, familyInfo=LONG_CALL_TIMEOUT) as server:
        client = server.connect_client()
        job = client.request(1, "pay", unique=IDEMPOTENCY_KEY)
        server.pool.take("spawn")
        server.pool.block(job)
        connection = server.records.take("OP")[3]
        server.move_services()
        server.pool.take("bind")
        connection.sendall(b"%b DONE 1\r\n!\r\n" % job.encode())
        assert server.pool.take("supply")[1]["job"] == job
        server.pool.finish(job)
        assert "result" in client.receive()
