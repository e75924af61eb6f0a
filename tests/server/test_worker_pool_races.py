"""Race tests of the server process and its link to the worker pool. Cases: docs/crossings.md."""

import json

import pytest
from rpc_values import IDEMPOTENCY_KEY, content

from testkit.faults.waiting import wait_until


@pytest.mark.parametrize("fault", ["unreadable line", "unreadable field", "missing"])
def test_an_incomplete_notice_is_replayed_on_a_new_link(server, fault):
    client = server.connect_client()
    job = client.request(1, "pay", txn="d1", unique=IDEMPOTENCY_KEY)
    other_job = client.request(2, txn="d2")
    for _ in range(2):
        server.pool.take("spawn")
    # Both spawns must be confirmed before the link breaks, as an unconfirmed spawn is rightly sent again.
    polls_before = server.pool.answered_polls
    wait_until(lambda: server.pool.answered_polls >= polls_before + 3, "three answered polls")
    send, bad_line = (
        server.pool.send,
        {"unreadable line": b'{"type":"fini\xff\n', "unreadable field": None}.get(fault, b""),
    )
    server.pool.send = lambda message, raw=None: None
    server.pool.finish(job, b"paid")
    server.pool.send = send
    if fault == "unreadable field":
        bad_line = json.dumps({**server.pool.notices[0], "took": "long"}).encode() + b"\n"
    if bad_line:
        send(None, raw=bad_line)
    else:
        server.pool.finish(other_job)
    assert server.pool.take("bind")[1]["n"] == 0
    assert content(client.receive()) == b"paid"
    if bad_line:
        server.pool.finish(other_job)
    assert client.receive()["id"] == 2
    client.request(3, txn="d3")
    server.pool.take("spawn")  # a core is free, as both runs have ended
    assert server.pool.received_none_of("spawn", "bind")
    server.pool.finish("d3")
    assert client.receive()["id"] == 3
    assert "must_hold_broken" not in server.stop()


def test_a_notice_unreadable_on_replay_fails_its_run_without_a_reconnect_loop(server):
    client = server.connect_client()
    job = client.request(1, txn="e1")
    server.pool.take("spawn")
    server.pool.notify("finished", job, state="complete", took="long", data=None)
    assert server.pool.take("bind")[1]["n"] == 0
    assert client.receive()["error"]["code"] == -32051
    client.request(2, txn="e2")
    server.pool.take("spawn")
    server.pool.finish("e2")
    assert client.receive()["id"] == 2 and server.pool.received_none_of("bind")


def test_a_command_confirmed_two_links_ago_is_not_resent(server):
    """A repeated reply would be taken for that of a later call; a repeated spawn could start a second run."""
    client = server.connect_client()
    client.request(1, "pay", txn="f1", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.pool.block("f1")
    server.records.take("OP")[3].sendall(b"f1 DONE 2\r\nok\r\n")
    server.pool.take("supply")

    def run_confirmed_request(rpc_id):
        # A spawn of a request that must not run twice is followed by a poll. The answer to the poll confirms
        # all earlier commands.
        client.request(rpc_id, "pay", txn=f"g{rpc_id}", unique=f"{rpc_id:032x}")
        command_type, message = server.pool.take("spawn", "supply")
        assert (command_type, message["job"]) == ("spawn", f"g{rpc_id}")
        server.pool.finish(f"g{rpc_id}")
        assert client.receive()["id"] == rpc_id

    run_confirmed_request(2)
    for rpc_id in (3, 4):
        server.pool.disconnect()
        server.pool.take("bind")
        run_confirmed_request(rpc_id)  # its spawn is sent only once the new link is ready
    assert server.pool.received_none_of("supply", "spawn")
    server.pool.finish("f1")
    assert client.receive()["id"] == 1
