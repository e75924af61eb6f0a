"""Server process: request ids that come again after their run."""

import socket

import pytest
from helpers import SETTINGS, ServerProcess
from rpc_values import IDEMPOTENCY_KEY

from vetchford.server.recent_request_ids import RecentRequestIds

INVALID_PARAMS = -32602
ORDER_CLASS = {
    "name": "order",
    "worth": 2.0,
    "promise": 50_000_000_000,
    "deadline": 60_000_000_000,
    "effect": "non_idempotent",
}


@pytest.fixture
def server_with_orders(tmp_path):
    classes = [*SETTINGS["requestClasses"], ORDER_CLASS]
    family = {**SETTINGS["familyInfo"], "classSkipWorth": [0.3, 0.0, 0.0]}
    with ServerProcess(tmp_path, requestClasses=classes, familyInfo=family) as running:
        yield running


def leave_by_reset(client):
    client.reset()


def leave_by_close(client):
    client.file.close()
    client.sock.close()


def leave_by_half_close(client):
    client.sock.shutdown(socket.SHUT_WR)


def stay(client):
    pass


@pytest.mark.parametrize("leave", [leave_by_reset, leave_by_close, leave_by_half_close, stay])
@pytest.mark.parametrize("method", ["order", "pay"])
def test_an_id_that_comes_again_after_its_run_has_ended_does_not_run_twice(server_with_orders, leave, method):
    # Guards against picture (c): the id was forgotten with the end of its run.
    server = server_with_orders
    key = {"unique": IDEMPOTENCY_KEY} if method == "pay" else {}
    other_key = {"unique": IDEMPOTENCY_KEY[::-1]} if method == "pay" else {}
    client = server.connect_client()
    job = client.request(1, method, **key)
    server.pool.take("spawn")
    leave(client)
    server.pool.finish(job)
    other = server.connect_client()
    other.request(7)
    server.pool.take("spawn")  # so the end of the first run has been read
    for fields in (key, other_key):
        returned = server.connect_client()
        returned.request(1, method, txn=job, **fields)
        assert returned.receive()["error"]["code"] == INVALID_PARAMS
    assert server.pool.received_none_of("spawn")


def test_an_id_that_never_ran_may_come_again(server_with_orders):
    # The pool's word that nothing was started ends the memory of an id, and so does its time.
    server = server_with_orders
    client = server.connect_client()
    job = client.request(1, "order")
    server.pool.take("spawn")
    server.pool.finish(job, state="unknown")
    assert "error" in client.receive()
    client.request(2, "order", txn=job)
    assert server.pool.take("spawn")[1]["job"] == job


def test_ids_are_kept_for_their_time_only():
    recent = RecentRequestIds()
    for number in range(1000):
        recent.add(f"id{number}", float(number), 100.0)
        assert len(recent.expiries) <= 101
    assert recent.contains("id999", 1098.0) and not recent.contains("id999", 1099.0)
    assert not recent.ids and not recent.expiries
