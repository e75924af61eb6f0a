"""Server process: client connections and client messages."""

import base64
import contextlib
import socket
import time

import pytest
from helpers import SETTINGS, ServerOptions, ServerProcess
from rpc_values import IDEMPOTENCY_KEY, content


def test_a_client_that_does_not_read_delays_no_other_client(server):
    unread_client = server.connect_client()
    unread_client.sock.settimeout(0.2)  # s, for each write; the number of messages sent does not matter
    health_check = b'{"jsonrpc":"2.0","id":1,"method":"check"}'
    with contextlib.suppress(OSError):
        for _ in range(400):
            unread_client.send_bytes(
                (b"Content-Length: %d\r\n\r\n%b" % (len(health_check), health_check)) * 1000
            )
    client = server.connect_client()
    job = client.request(1)
    server.pool.take("spawn")
    server.pool.finish(job)
    assert client.receive()["id"] == 1


def test_a_half_closed_connection_still_gets_its_answers(server):
    client = server.connect_client()
    job = client.request(1)
    client.sock.shutdown(socket.SHUT_WR)
    server.pool.take("spawn")
    server.pool.finish(job)
    assert client.receive()["id"] == 1 and client.receive() is None


def test_a_connection_reset_loses_no_answer_of_other_clients(server):
    reset_client, other_client = server.connect_client(), server.connect_client()
    reset_job = reset_client.request(1, "pay", txn="f1", unique=IDEMPOTENCY_KEY)
    other_job = other_client.request(1, txn="f2")
    for _ in range(2):
        server.pool.take("spawn")
    reset_client.reset()
    server.pool.finish(reset_job, b"kept for its retry")
    server.pool.finish(other_job)
    assert other_client.receive()["id"] == 1
    other_client.request(2, "pay", txn="f3", unique=IDEMPOTENCY_KEY)
    assert content(other_client.receive()) == b"kept for its retry"


def test_idle_connections_are_asked_to_close_and_those_with_open_requests_are_not(tmp_path):
    # With 1000 clients and a `callerIdle` of 20 ms, an idle connection is hardly used again.
    info = {**SETTINGS["familyInfo"], "callerIdle": 20_000_000, "callers": 1000}
    with ServerProcess(tmp_path, familyInfo=info) as server:
        idle_client, waiting_client = server.connect_client(), server.connect_client()
        job = waiting_client.request(1)
        server.pool.take("spawn")
        assert idle_client.receive()["method"] == "closing" and idle_client.receive() is None
        server.pool.finish(job)
        assert waiting_client.receive()["id"] == 1
        assert waiting_client.receive()["method"] == "closing"


GOOD_PARAMS = {"txn": "ff", "door": 1.0, "team": "acme", "content": "", "ram": 1.0}
BAD_MESSAGES = [
    (b"{", -32700, None),
    (b"\xff\xfe", -32700, None),
    (b"[" * 4000, -32700, None),
    (b'{"jsonrpc":"2.0","id":NaN,"method":"read"}', -32700, None),
    ({"jsonrpc": "2.0", "method": "read", "params": GOOD_PARAMS}, -32600, None),
    ([], -32600, None),
    ([{"jsonrpc": "2.0", "id": 7, "method": "check"}], -32600, None),
    ({"jsonrpc": "2.0", "id": True, "method": "read"}, -32600, None),
    ({"jsonrpc": "1.0", "id": 7, "method": "read"}, -32600, 7),
    ({"jsonrpc": "2.0", "id": 7}, -32600, 7),
    ({"jsonrpc": "2.0", "id": "7", "method": "read", "params": GOOD_PARAMS}, -32600, "7"),
    ({"jsonrpc": "2.0", "id": 7, "method": "write"}, -32601, 7),
    ({"jsonrpc": "2.0", "id": 7, "method": "read", "params": []}, -32602, 7),
    *(
        ({"jsonrpc": "2.0", "id": 7, "method": "read", "params": {**GOOD_PARAMS, **wrong}}, -32602, 7)
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


def test_bad_messages_get_their_error_codes_and_the_connection_stays_open(server):
    for index, (message, code, rpc_id) in enumerate(BAD_MESSAGES):
        if index % 5 == 0:  # fewer on each connection than the number that closes it
            client = server.connect_client()
        if isinstance(message, dict) and message.get("params") and message["params"].get("door") == 1.0:
            message = {**message, "params": {**message["params"], "door": time.time() * 1000.0}}
        client.send(message)
        reply = client.receive()
        assert (reply["error"]["code"], reply["id"]) == (code, rpc_id), message
    client = server.connect_client()
    client.request(8)
    server.pool.take("spawn")
    client.request(8, txn="ab")  # an answer with this id would be taken for that of the open request
    assert client.receive()["id"] is None
    client.request(9, txn=f"{8:016x}")
    assert client.receive()["error"]["code"] == -32602
    server.pool.finish(f"{8:016x}")
    assert "result" in client.receive()


def test_a_connection_with_too_many_bad_messages_is_closed(server):
    client = server.connect_client()
    client.request(1)
    server.pool.take("spawn")
    for _ in range(20):
        client.send(b"{}")
    messages = [client.receive() for _ in range(10)]
    assert [message.get("method") for message in messages] == [None] * 9 + ["closing"]
    server.pool.finish(f"{1:016x}")
    assert client.receive()["id"] == 1 and client.receive() is None


def test_notifications_do_not_close_the_connection(server):
    client = server.connect_client()
    client.request(1)
    server.pool.take("spawn")
    for _ in range(30):
        client.send({"jsonrpc": "2.0", "method": "what"})
        client.send({"jsonrpc": "2.0", "method": "read"})
        assert client.receive()["error"]["code"] == -32600  # the reply to the second; the first gets none
    server.pool.finish(f"{1:016x}")
    assert client.receive()["id"] == 1
    client.request(2)
    assert server.pool.take("spawn")


def test_requests_over_the_limit_of_a_connection_are_rejected_and_it_stays_open(server):
    client = server.connect_client()
    for rpc_id in range(1, 65 + 20):  # the last 20 exceed the limit; counted as bad, they would close it
        client.request(rpc_id)
    rejections = [client.receive() for _ in range(20)]
    assert {message["error"]["code"] for message in rejections} == {-32050}
    server.pool.finish(server.pool.take("spawn")[1]["job"])
    assert "result" in client.receive()


def test_a_client_whose_requests_the_worker_pool_does_not_know_is_rejected_and_closed(server):
    client, unknown_client = server.connect_client(), server.connect_client()
    for rpc_id in range(1, 6):
        unknown_client.request(rpc_id, txn=f"b{rpc_id}")
    for _ in range(2):  # one run on each core; the other requests are queued
        server.pool.take("spawn")
    client.request(1, txn="c1")
    server.pool.send({"type": "unknown", "state": "spawn", "job": "b1"})
    messages = [unknown_client.receive() for _ in range(5)]
    assert sorted(message["error"]["code"] for message in messages if "id" in message) == [
        -32051,
        -32050,
        -32050,
        -32050,
    ]
    assert [message["method"] for message in messages if "method" in message] == ["closing"]
    assert server.pool.take("spawn")[1]["job"] == "c1"
    server.pool.send({"type": "unknown", "state": "spawn", "job": "b2"})
    assert unknown_client.receive()["error"]["code"] == -32051 and unknown_client.receive() is None


@pytest.mark.parametrize("sent", [b"", b"Content-Le", b"Content-Length: 70\r\n\r\n{"])
def test_a_silent_connection_or_an_incomplete_message_times_out(server, sent):
    client = server.connect_client()
    client.send_bytes(sent)
    while client.receive() is not None:
        pass


def test_silent_connections_do_not_lock_out_other_clients(tmp_path):
    with ServerProcess(tmp_path, ServerOptions(sockets=40)) as server:
        silent_clients = [server.connect_client() for _ in range(60)]  # more than may be open
        client = server.connect_client()
        client.request(1)
        server.pool.take("spawn")
        server.pool.finish(f"{1:016x}")
        assert client.receive()["id"] == 1
        del silent_clients


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
def test_an_unparsable_stream_is_closed_after_its_open_requests_are_answered(server, head):
    client = server.connect_client()
    job = client.request(1)
    server.pool.take("spawn")
    client.send_bytes(head)
    assert client.receive()["error"]["code"] == -32600
    assert client.receive()["method"] == "closing"
    server.pool.finish(job)
    assert client.receive()["id"] == 1
    assert client.receive() is None


@pytest.mark.parametrize(("sockets", "max_files"), [(40, None), (1024, 24)])
def test_a_full_connection_table_accepts_new_clients_as_others_leave(tmp_path, sockets, max_files):
    with ServerProcess(tmp_path, ServerOptions(sockets=sockets, max_files=max_files)) as server:
        clients = [
            server.connect_client() for _ in range(30)
        ]  # more than may be open: some wait in the backlog
        job = clients[0].request(1)
        server.pool.take("spawn")
        server.pool.finish(job)
        assert clients[0].receive()["id"] == 1
        clients[-1].request(1, txn="ab")
        for client in clients[:20]:  # including clients in the backlog
            client.reset()
        assert server.pool.take("spawn")[1]["job"] == "ab"
        server.pool.finish("ab")
        assert clients[-1].receive()["id"] == 1


def escaped(value):
    """Return a string in JSON with each character escaped, the longest form that JSON allows."""
    return '"' + "".join(f"\\u{ord(character):04x}" for character in value) + '"'


def test_a_request_of_the_greatest_length_in_its_longest_form_is_served_with_those_around_it(server):
    # Guards against a limit below what the protocol allows: all requests of the connection were lost with it.
    client = server.connect_client()
    content_value = base64.b64encode(b"x" * 2048).decode()
    params = {"txn": "e" * 16, "team": "acme", "unique": IDEMPOTENCY_KEY, "content": content_value}
    fields = [f"{escaped(key)}:{escaped(value)}" for key, value in params.items()]
    fields += [f"{escaped('door')}:{time.time() * 1000.0}", f"{escaped('ram')}:24.5"]
    first = client.request(1)
    body = f'{{"jsonrpc":"2.0","id":2,"method":{escaped("pay")},"params":{{{",".join(fields)}}}}}'
    client.send(body.encode())
    last = client.request(3)
    started = [server.pool.take("spawn")[1] for _ in range(2)]
    for job in (first, params["txn"], last):
        server.pool.finish(job)
    assert sorted(client.receive()["id"] for _ in range(3)) == [1, 2, 3]
    assert content_value in [message["data"] for message in started]


def test_a_repeat_of_a_request_that_ran_is_not_rejected_over_the_limit_on_open_requests(server):
    # Guards against review/6: with 64 open requests, a keyed request that had run was told that it never ran.
    client = server.connect_client()
    keys = [f"{number:032x}" for number in range(4)]
    ended, hanging = (client.request(number + 1, "pay", unique=keys[number]) for number in range(2))
    for _ in range(2):
        server.pool.take("spawn")
    server.pool.finish(ended, b"paid")
    assert content(client.receive()) == b"paid"
    for rpc_id in range(10, 73):  # with `hanging`, 64 requests are open
        client.request(rpc_id)
    client.request(100, "pay", txn="d1", unique=keys[0])
    assert content(client.receive()) == b"paid"  # the result of the first attempt
    client.request(101, "pay", txn="d2", unique=keys[2])  # it repeats nothing
    assert client.receive()["error"]["code"] == -32050
    client.request(102, "pay", txn="d3", unique=keys[1])  # waits for the run of its original
    client.request(103, txn="d4")
    answer = client.receive()
    assert (answer["id"], answer["error"]["code"]) == (103, -32050)
    server.pool.finish(hanging, b"paid late")
    assert sorted(client.receive()["id"] for _ in range(2)) == [2, 102]


def test_repeats_far_beyond_the_limit_on_open_requests_are_failed_which_promises_nothing(server):
    client = server.connect_client()
    client.request(1, "pay", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    for rpc_id in range(2, 65):
        client.request(rpc_id)
    for rpc_id in range(65, 130):
        client.request(rpc_id, "pay", txn=f"d{rpc_id}", unique=IDEMPOTENCY_KEY)
    answer = client.receive()
    assert (answer["id"], answer["error"]["code"]) == (129, -32051)
