"""Server process: the link to the worker pool."""

import json
import signal

import pytest
from helpers import ServerProcess
from rpc_values import IDEMPOTENCY_KEY, content

from testkit.faults.waiting import wait_until


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


def remark(server, text, type_first=True):
    """Return the next notice, a remark, as a line; the pool keeps it for later links."""
    server.pool.last_number += 1
    notice = {"type": "chatter", "n": server.pool.last_number, "state": text}
    server.pool.notices.append(notice)
    ordered = notice if type_first else dict(reversed(notice.items()))
    return json.dumps(ordered).encode() + b"\n"


@pytest.mark.parametrize("type_first", [True, False])
@pytest.mark.parametrize(
    "text",
    [
        pytest.param("x" * 70_000, id="70 KB"),
        pytest.param("x" * 5_000_000, id="5 MB"),
        pytest.param('\\"]},' * 20_000, id="marks"),
        pytest.param("[" * 40, id="brackets"),
    ],
)
def test_a_remark_of_any_length_ends_no_link_and_delays_no_run(server, text, type_first):
    # Guards against review/7: the remark was refused on each link, for ever, and nothing was served.
    client = server.connect_client()
    job = client.request(1)
    server.pool.take("spawn")
    server.pool.send(None, raw=remark(server, text, type_first))
    server.pool.finish(job)
    assert client.receive()["id"] == 1
    client.request(2)
    server.pool.take("spawn")
    assert server.pool.received_none_of("bind")
    assert "pool_link_lost" not in "".join(server.log)


def test_a_long_remark_that_a_broken_link_cuts_is_read_on_the_next(server):
    # Guards against a long line that is remembered over the end of its link.
    client = server.connect_client()
    job = client.request(1)
    server.pool.take("spawn")
    line = remark(server, "x" * 300_000)
    server.pool.send(None, raw=line[:200_000])
    server.pool.disconnect()
    server.pool.take("bind")  # the pool repeats the whole remark
    server.pool.finish(job)
    assert client.receive()["id"] == 1
    assert server.pool.received_none_of("bind")


def test_a_long_line_that_is_no_message_ends_one_link_only(server):
    # Guards against a link that ends at the same line again and again; it may have been a notice.
    client = server.connect_client()
    job = client.request(1)
    server.pool.take("spawn")
    server.pool.send(None, raw=b"{" + b"x" * 100_000 + b"\n")
    server.pool.take("bind")
    server.pool.send(None, raw=b"{" + b"x" * 100_000 + b"\n")
    server.pool.finish(job)
    assert client.receive()["id"] == 1
    assert server.pool.received_none_of("bind")


def test_a_call_that_is_too_long_to_read_is_skipped_or_fails_only_its_request(server):
    # Guards against a call body of over 48 KiB that ends each link, as the remark of review/7 did.
    client = server.connect_client()
    failing = client.request(1, "pay", unique=IDEMPOTENCY_KEY)
    server.pool.take("spawn")
    skipping = client.request(2)
    server.pool.take("spawn")
    for job in (failing, skipping):
        server.pool.block(job, b"x" * 60_000)
    assert client.receive()["error"]["code"] == -32051  # at once: the class may not skip its call
    assert server.pool.take("pass")[1] == {"type": "pass", "job": skipping, "n": 2}
    server.pool.finish(skipping)
    assert client.receive()["id"] == 2
    server.pool.finish(failing, state="cancelled")
    for rpc_id in (3, 4):  # both cores are free
        client.request(rpc_id)
        server.pool.take("spawn")
    assert server.pool.received_none_of("bind")


def test_a_shutdown_amid_a_long_line_answers_all(server):
    # Guards against a drain that waits for the end of a line.
    client = server.connect_client()
    job = client.request(1)
    server.pool.take("spawn")
    line = remark(server, "x" * 300_000)
    server.pool.send(None, raw=line[:200_000])
    server.process.send_signal(signal.SIGTERM)
    wait_until(lambda: "shutdown_started" in "".join(server.log), "the shutdown has started")
    server.pool.send(None, raw=line[200_000:])
    server.pool.finish(job)
    answers = [message for message in iter(client.receive, None) if "id" in message]
    assert [answer["id"] for answer in answers] == [1]
    assert "must_hold_broken" not in server.stop()
