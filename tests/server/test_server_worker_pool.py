"""Server process: the link to the worker pool."""

from helpers import ServerProcess
from rpc_values import IDEMPOTENCY_KEY, content


def test_a_reconnect_delivers_each_notice_once_and_starts_no_run_twice(server):
    client = server.connect_client()
    ended_job = client.request(1, "pay", txn="d1", unique=IDEMPOTENCY_KEY)
    running_job = client.request(2, txn="d2")
    for _ in range(2):
        server.pool.take("spawn")
    server.pool.disconnect()
    server.pool.finish(ended_job, b"finished without a link")
    assert server.pool.take("bind")[1]["n"] in (0, 1)
    assert content(client.receive()) == b"finished without a link"
    client.request(3, "pay", txn="d3", unique=IDEMPOTENCY_KEY)
    assert content(client.receive()) == b"finished without a link"
    server.pool.send({**server.pool.notices[0], "data": "d3Jvbmc="})  # a second notice with the same number
    server.pool.disconnect()
    assert server.pool.take("bind")[1]["n"] == 1
    server.pool.finish(running_job)
    assert client.receive()["id"] == 2
    assert ended_job not in [entry[1].get("job") for entry in list(server.pool.received.queue)]
    assert "must_hold_broken" not in server.stop()


def test_commands_are_queued_while_the_link_is_down_and_sent_on_the_next(tmp_path):
    with ServerProcess(tmp_path) as server:
        client = server.connect_client()
        server.pool.up.clear()  # links are accepted, but nothing is answered on them
        server.pool.disconnect()
        job = client.request(1)
        # A command sent before the replay was read could start a run a second time. The rejection of the
        # second request shows that the first one was admitted by then.
        client.request(2, limit=1)
        assert client.receive()["id"] == 2 and server.pool.received_none_of("spawn")
        server.pool.up.set()
        assert server.pool.take("spawn")[1]["job"] == job
        server.pool.finish(job)
        assert client.receive()["id"] == 1


def test_malformed_messages_of_the_worker_pool_are_counted_and_ignored(server):
    client = server.connect_client()
    job = client.request(1)
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
        server.pool.send(None, raw=line)
    server.pool.last_number = 3
    server.pool.finish(job)
    assert client.receive()["id"] == 1
    server.pool.finish(job)  # the same end again, with a new notice number
    client.request(2, txn="e2")
    server.pool.take("spawn")
    server.pool.send({"type": "unknown", "state": "spawn", "job": "e2"})
    assert client.receive()["error"]["code"] == -32051  # the end of this run will never be reported
    client = server.connect_client()
    client.request(3, txn="e3")
    server.pool.take("spawn")
    server.pool.notify("finished", "e3", state="complete", took="long", data=None)
    assert client.receive()["error"]["code"] == -32051  # the run has ended with an unreadable result
    server.pool.send(None, raw=b"x" * 200_000)
    assert server.pool.take("bind")
    log = server.stop()
    assert "pool_bad_line" in log and "pool_odd_notice" in log and "must_hold_broken" not in log
