"""Server process: clients that leave with requests unread."""

import signal

from helpers import SETTINGS, ServerProcess

from testkit.fakes.steady_load import AnsweringWorkerPool, SteadyClient, share_served
from testkit.faults.waiting import wait_until

MANY_REQUESTS = 60  # fewer than a connection may have open


def test_requests_unread_as_their_client_resets_are_not_sent_on(tmp_path):
    # Guards against picture (c): what a client had written before it left was read and run afterwards.
    with ServerProcess(tmp_path, pool=AnsweringWorkerPool()) as server:
        steady = SteadyClient(server.port)
        steady.send_for(0.5)
        client = server.connect_client()
        server.process.send_signal(signal.SIGSTOP)
        jobs = [client.request(rpc_id, txn=f"aa{rpc_id:014x}") for rpc_id in range(1, MANY_REQUESTS + 1)]
        client.reset()
        server.process.send_signal(signal.SIGCONT)
        assert share_served(steady.send_for(2.0)) == 1.0
        assert not server.pool.started.keys() & set(jobs)


def test_few_requests_of_a_client_that_closed_are_sent_on(tmp_path):
    # Until an answer is written, a close can't be told from a half-close, whose requests must be answered.
    # Guards against a server that runs all requests of such a client.
    with ServerProcess(tmp_path, pool=AnsweringWorkerPool()) as server:
        steady = SteadyClient(server.port)
        steady.send_for(0.5)
        client = server.connect_client()
        jobs = [client.request(rpc_id, txn=f"aa{rpc_id:014x}") for rpc_id in range(1, MANY_REQUESTS + 1)]
        client.file.close()
        client.sock.close()
        assert share_served(steady.send_for(3.0)) >= 0.95
        slots = 2 * SETTINGS["familyInfo"]["cores"]
        assert len(server.pool.started.keys() & set(jobs)) <= 2 * slots


def test_a_shutdown_answers_the_others_after_a_client_reset_amid_its_requests(server):
    # Guards against a drain that waits for requests which were dropped with their client.
    client, leaving = server.connect_client(), server.connect_client()
    job = client.request(1)
    server.pool.take("spawn")
    server.process.send_signal(signal.SIGSTOP)
    for rpc_id in range(1, MANY_REQUESTS + 1):
        leaving.request(rpc_id, txn=f"aa{rpc_id:014x}")
    leaving.reset()
    server.process.send_signal(signal.SIGTERM)
    server.process.send_signal(signal.SIGCONT)
    wait_until(lambda: "shutdown_started" in "".join(server.log), "the shutdown has started")
    server.pool.finish(job)
    assert [message["id"] for message in iter(client.receive, None) if "id" in message] == [1]
    assert "must_hold_broken" not in server.stop()
