"""Race tests of commands that a broken link to the worker pool may have lost. Cases: docs/crossings.md.

In each test the pool reads a command and confirms nothing before the link ends.
"""

import base64
import contextlib
import signal
import socket
from unittest.mock import Mock

import pytest
from helpers import SETTINGS, Recorder, ServerProcess
from rpc_values import IDEMPOTENCY_KEY, content

from testkit.faults.waiting import wait_until
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.sockets import shut_down
from vetchford.server.worker_pool import WorkerPoolClient
from vetchford.server.worker_pool_command import CommandKind, WorkerPoolCommand

FAILED = -32051
READ, PAY, ORDER = "read", "pay", "order"
ORDER_CLASS = {
    "name": ORDER,
    "worth": 2.0,
    "promise": 50_000_000_000,
    "deadline": 60_000_000_000,
    "effect": "non_idempotent",
}
EFFECT_CLASSES = (PAY, ORDER)
OTHER_KEY = IDEMPOTENCY_KEY[::-1]


@pytest.fixture
def server(tmp_path):
    """Run a server with a class of each effect."""
    classes = [*SETTINGS["requestClasses"], ORDER_CLASS]
    # With a share of under one call, a call would be cut off after 0.1 s, and its reply not passed on.
    family = {**SETTINGS["familyInfo"], "classSkipWorth": [0.3, 0.0, 0.0], "depShare": 3.0}
    with ServerProcess(tmp_path, requestClasses=classes, familyInfo=family) as running:
        yield running


def key_fields(method, key=IDEMPOTENCY_KEY):
    return {"unique": key} if method == PAY else {}


def send_unconfirmed_start(server, client, rpc_id, method, key=IDEMPOTENCY_KEY):
    """Send a request whose start the pool reads without confirming it; return its id."""
    server.pool.ignore_polls()
    job = client.request(rpc_id, method, **key_fields(method, key))
    assert server.pool.take("spawn")[1]["job"] == job
    return job


def receive_answer(client):
    """Return the next answer; in a drain, the notification `closing` may come before it."""
    return next(message for message in iter(client.receive, None) if "id" in message)


def break_link(server):
    server.pool.disconnect()


def move_pool(server):
    server.move_services()


def drain_and_break_link(server):
    server.process.send_signal(signal.SIGTERM)
    wait_until(lambda: "shutdown_started" in "".join(server.log), "the shutdown has started")
    server.pool.disconnect()


def wait_until_ready(server):
    """Wait until the server has handled the commands of the lost link."""
    server.pool.take("bind")
    wait_until(lambda: "pool_commands_unconfirmed" in "".join(server.log), "the new link is ready")


@pytest.mark.parametrize("end_link", [break_link, move_pool, drain_and_break_link])
@pytest.mark.parametrize("method", EFFECT_CLASSES)
def test_a_run_with_effects_whose_start_is_unconfirmed_is_not_started_again(server, method, end_link):
    # Guards against a second charge: the run could end just before the start that was sent again arrived.
    client = server.connect_client()
    job = send_unconfirmed_start(server, client, 1, method)
    end_link(server)
    wait_until_ready(server)
    assert server.pool.received_none_of("spawn")
    server.pool.finish(job, b"once")
    assert content(receive_answer(client)) == b"once"
    server.stop()
    assert server.pool.received_none_of("spawn")


def test_an_idempotent_run_whose_start_is_unconfirmed_is_started_again(server):
    # Guards against giving up requests that may run twice.
    client = server.connect_client()
    job = send_unconfirmed_start(server, client, 1, READ)
    server.pool.disconnect()
    assert server.pool.take("spawn")[1]["job"] == job
    server.pool.finish(job)
    assert client.receive()["id"] == 1


@pytest.mark.parametrize("method", EFFECT_CLASSES)
def test_lost_starts_are_failed_in_time_and_free_their_cores(server, method):
    # Guards against cores that stay occupied by runs that never started, until the server ends.
    client = server.connect_client()
    for rpc_id, key in ((1, IDEMPOTENCY_KEY), (2, OTHER_KEY)):  # on both cores
        send_unconfirmed_start(server, client, rpc_id, method, key)
    server.pool.disconnect()
    wait_until_ready(server)
    queued_job = client.request(3, READ)
    failed = [client.receive() for _ in range(2)]
    assert {(message["id"], message["error"]["code"]) for message in failed} == {(1, FAILED), (2, FAILED)}
    assert server.pool.take("spawn")[1]["job"] == queued_job
    server.pool.finish(queued_job)
    assert client.receive()["id"] == 3
    log = server.stop()
    assert "runs_abandoned=2" in log and "must_hold_broken" not in log
    assert "rejected_stalled" not in log and log.count("readiness_changed") == 2  # at the start and the end


def test_a_lost_start_is_failed_at_the_deadline_if_that_is_earlier(server):
    # Guards against an answer that waits for the end of the doubt.
    client = server.connect_client()
    server.pool.ignore_polls()
    job = client.request(1, PAY, unique=IDEMPOTENCY_KEY, limit=400)
    assert server.pool.take("spawn")[1]["job"] == job
    server.pool.disconnect()
    wait_until_ready(server)
    assert client.receive()["error"]["code"] == FAILED
    assert "runs_abandoned" not in server.stop()


def test_a_client_that_leaves_a_lost_start_frees_its_core_too(server):
    # Guards against cores that stay occupied where nobody waits for the answer.
    client = server.connect_client()
    for rpc_id, key in ((1, IDEMPOTENCY_KEY), (2, OTHER_KEY)):
        send_unconfirmed_start(server, client, rpc_id, PAY, key)
    client.reset()
    server.pool.disconnect()
    wait_until_ready(server)
    client = server.connect_client()
    job = client.request(3, READ)
    assert server.pool.take("spawn")[1]["job"] == job


def test_a_repeat_of_a_lost_start_does_not_run(server):
    # Guards against a second run by way of a repeat: the first one may have run all the same.
    client = server.connect_client()
    job = send_unconfirmed_start(server, client, 1, PAY)
    server.pool.disconnect()
    wait_until_ready(server)
    client.request(2, PAY, unique=IDEMPOTENCY_KEY)  # waits for the first run, and is failed with it
    failed = [client.receive() for _ in range(2)]
    assert {(message["id"], message["error"]["code"]) for message in failed} == {(1, FAILED), (2, FAILED)}
    client.request(3, PAY, unique=IDEMPOTENCY_KEY)
    assert client.receive()["error"]["code"] == FAILED
    server.pool.finish(job, b"paid late")  # the start did arrive
    polls_before = server.pool.answered_polls
    wait_until(lambda: server.pool.answered_polls >= polls_before + 3, "three answered polls")
    client.request(4, PAY, unique=IDEMPOTENCY_KEY)
    assert content(client.receive()) == b"paid late"
    assert server.pool.received_none_of("spawn")
    assert "must_hold_broken" not in server.stop()


def send_unconfirmed_reply(server, client, method):
    """Let a run make a call whose reply the pool reads without confirming it; return the request's id."""
    job = client.request(1, method, **key_fields(method))
    server.pool.take("spawn")
    server.pool.block(job, b"first call")
    connection = server.records.take("OP")[3]
    server.pool.ignore_polls()
    connection.sendall(b"%b DONE 2\r\nok\r\n" % job.encode())
    assert server.pool.take("supply")[1]["job"] == job
    return job


@pytest.mark.parametrize("end_link", [break_link, move_pool, drain_and_break_link])
@pytest.mark.parametrize("method", [READ, PAY, ORDER])
def test_an_unconfirmed_reply_is_not_sent_again(server, method, end_link):
    # Guards against a foreign reply: a second copy could be taken for the reply to the run's next call.
    client = server.connect_client()
    job = send_unconfirmed_reply(server, client, method)
    first_call = server.pool.last_number
    end_link(server)
    wait_until_ready(server)
    if method == READ:  # its run may continue without the call; the command is for that call only
        assert server.pool.take("supply", "pass")[1].get("n") == first_call
    server.pool.block(job, b"second call")
    call = server.records.take("OP")
    assert call[2] == b"second call"
    call[3].sendall(b"%b DONE 5\r\nother\r\n" % job.encode())
    command, message = server.pool.take("supply", "pass", "spawn")
    assert (command, message["data"]) == ("supply", base64.b64encode(b"other").decode())
    server.pool.finish(job, b"once")
    assert content(receive_answer(client)) == b"once"
    assert "must_hold_broken" not in server.stop()


def test_a_lost_reply_fails_its_request_in_time_and_the_end_of_its_run_frees_its_core(server):
    # Guards against requests that wait for their deadline, and cores that stay occupied.
    client = server.connect_client()
    job = send_unconfirmed_reply(server, client, PAY)
    server.pool.disconnect()
    wait_until_ready(server)
    assert client.receive()["error"]["code"] == FAILED
    server.pool.finish(job, state="cancelled")  # the pool ends a blocked run once its request is answered
    jobs = [client.request(rpc_id, READ) for rpc_id in (2, 3)]  # on both cores
    assert [server.pool.take("spawn")[1]["job"] for _ in jobs] == jobs
    assert "must_hold_broken" not in server.stop()


def test_an_unconfirmed_skip_is_sent_again_for_the_same_call(server):
    # Guards against a run that waits for ever; the notice's number keeps it from skipping another call.
    client = server.connect_client()
    job = client.request(1, READ)
    server.pool.take("spawn")
    server.pool.block(job)
    connection = server.records.take("OP")[3]
    server.pool.ignore_polls()
    connection.sendall(b"%b ERROR\r\n" % job.encode())
    skipped = server.pool.take("pass")[1]
    server.pool.disconnect()
    assert server.pool.take("pass")[1] == skipped
    server.pool.finish(job, b"poorer")
    assert content(client.receive()) == b"poorer"


@pytest.fixture
def pool_client():
    """Return a client of the worker pool whose first link is a socket pair, and the pool's end of it."""
    client = WorkerPoolClient(("127.0.0.1", 0), Recorder(), Metrics())
    own_end, pool_end = socket.socketpair()
    client.link, client.sock = 1, own_end
    with own_end, pool_end:
        yield client, pool_end


def sent_command(client, link=1):
    """Return a command that was given to the client for the link with this number."""
    command = WorkerPoolCommand(CommandKind.START_RUN, [b"command\n"], repeatable=False)
    client.send(link, command.parts, command)
    return command


def test_a_command_is_marked_as_written_before_it_can_arrive(pool_client):
    # Guards against a start that is sent again because its mark came later than the run's end.
    client, pool_end = pool_client
    command = sent_command(client)
    sendmsg = Mock(side_effect=lambda *_: len(b"command\n") if command.written else 0)
    client.sock = Mock(sendmsg=sendmsg)
    client.flush_nonblocking()
    assert command.written and not client.has_unwritten()


@pytest.mark.parametrize("write", ["flush_nonblocking", "on_idle"])
def test_a_command_that_meets_a_broken_link_counts_as_not_written(pool_client, write):
    # Guards against giving up a request whose start provably did not arrive.
    client, _ = pool_client
    shut_down(client.sock)
    command = sent_command(client)
    getattr(client, write)()
    assert not command.written and not client.has_unwritten()


def test_a_command_for_a_lost_link_is_dropped_as_not_written(pool_client):
    # Guards against a command of the last link on the next one, and against giving up its request.
    client, pool_end = pool_client
    command = sent_command(client)
    client.link = 2
    client.flush_nonblocking()
    assert not command.written and not client.has_unwritten()
    later_command = sent_command(client, 2)
    client.flush_nonblocking()
    assert later_command.written and pool_end.recv(64) == b"command\n"


def test_a_command_that_waits_behind_a_full_buffer_is_marked_only_when_it_is_written(pool_client):
    # Guards against giving up requests whose starts never left the server.
    client, pool_end = pool_client
    pool_end.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            client.sock.send(b"x" * 65_536, socket.MSG_DONTWAIT)
    command = sent_command(client)
    client.flush_nonblocking()
    assert not command.written and client.has_unwritten()
    with contextlib.suppress(BlockingIOError):
        while pool_end.recv(1 << 20):
            pass
    client.flush_nonblocking()
    assert command.written and not client.has_unwritten()


def test_a_command_that_was_not_written_is_sent_on_the_next_link_whatever_its_effect(server):
    # Guards against failing requests that arrive while the link is down.
    client = server.connect_client()
    server.pool.up.clear()  # links are accepted, but nothing is answered on them
    server.pool.disconnect()
    # A command that meets the broken link before that may have been written to it, and is not sent again.
    wait_until(lambda: "pool_link_lost" in "".join(server.log), "the server knows that the link is down")
    jobs = {client.request(1, PAY, unique=IDEMPOTENCY_KEY), client.request(2, ORDER)}
    client.request(3, READ, limit=1)
    assert client.receive()["id"] == 3  # the first two were admitted by then
    server.pool.up.set()
    assert {server.pool.take("spawn")[1]["job"] for _ in jobs} == jobs
    for job in jobs:
        server.pool.finish(job)
    assert {client.receive()["id"] for _ in jobs} == {1, 2}
