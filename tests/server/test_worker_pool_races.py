"""Race tests of the link to the worker pool, at the whole server. In both builds; docs/crossings.md."""

import json

import pytest
from rpc_values import IDEMPOTENCY_KEY, content

from testkit.faults.waiting import wait_until


@pytest.mark.parametrize("way", ["no line", "no field", "missing"])
def test_an_incomplete_notice_is_replayed_on_a_new_link(server, way):
    client = server.balancer()
    job = client.request(1, "pay", txn="d1", unique=IDEMPOTENCY_KEY)
    other = client.request(2, txn="d2")
    for _ in range(2):
        server.pool.take("spawn")
    # Both spawns are confirmed before the link breaks: one that is not is rightly sent again on the next.
    polls = server.pool.answered_polls
    wait_until(lambda: server.pool.answered_polls >= polls + 3, "three answered polls")
    say, lost = server.pool.send, {"no line": b'{"type":"fini\xff\n', "no field": None}.get(way, b"")
    server.pool.send = lambda message, raw=None: None
    server.pool.finish(job, b"paid")
    server.pool.send = say
    if way == "no field":
        lost = json.dumps({**server.pool.notices[0], "took": "long"}).encode() + b"\n"
    if lost:
        say(None, raw=lost)
    else:
        server.pool.finish(other)
    assert server.pool.take("bind")[1]["n"] == 0
    assert content(client.receive()) == b"paid"
    if lost:
        server.pool.finish(other)
    assert client.receive()["id"] == 2
    client.request(3, txn="d3")
    server.pool.take("spawn")  # no run is left over on a core
    assert server.pool.received_none_of("spawn", "bind")
    server.pool.finish("d3")
    assert client.receive()["id"] == 3
    assert "must_hold_broken" not in server.stop()


def test_a_notice_unreadable_on_replay_fails_its_run_without_a_reconnect_loop(server):
    client = server.balancer()
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
    """A reply told twice would pass for a later call's; a spawn told twice could run anew what just ended."""
    client = server.balancer()
    client.request(1, "pay", txn="f1", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    server.pool.block("f1")
    server.records.take("OP")[3].sendall(b"f1 DONE 2\r\nok\r\n")
    server.pool.take("supply")

    def confirmed(n):
        # Of what must not run twice a poll stands behind the spawn: its answer confirms all before it.
        client.request(n, "pay", txn=f"g{n}", unique=f"{n:032x}")
        kind, message = server.pool.take("spawn", "supply")
        assert (kind, message["job"]) == ("spawn", f"g{n}")
        server.pool.finish(f"g{n}")
        assert client.receive()["id"] == n

    confirmed(2)
    for n in (3, 4):
        server.pool.disconnect()
        server.pool.take("bind")
        confirmed(n)  # sent only once the link is good again
    assert server.pool.received_none_of("supply", "spawn")
    server.pool.finish("f1")
    assert client.receive()["id"] == 1
