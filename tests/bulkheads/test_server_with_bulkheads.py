"""Runs a server process with bulkheads against fakes of its client, worker pool and services."""

import re
import signal
import subprocess
import sys

import pytest
from helpers import ServerOptions, ServerProcess

from testkit.faults.waiting import wait_until

BULKHEADS = """
version: 1
pools: {
    light: {stages: ["read"], share: 20%, reserve: 1}
    heavy: {stages: ["pay"], share: 80%}
}
"""


@pytest.fixture
def server(tmp_path):
    declared_file = tmp_path / "pools.vet"
    declared_file.write_text(BULKHEADS)
    with ServerProcess(tmp_path, ServerOptions(arguments=("--with", str(declared_file)))) as running:
        running.declared_file = declared_file
        yield running


def test_a_light_request_starts_on_a_reserved_slot_and_the_log_counts_it(server):
    client = server.connect_client()
    payment_jobs = [
        client.request(request_id, "pay", unique=f"{request_id:032x}") for request_id in range(1, 7)
    ]
    server.pool.take("spawn")
    server.pool.take("spawn")
    read_job = client.request(10, "read")
    assert server.pool.take("spawn")[1]["job"] == read_job
    server.pool.finish(read_job)
    assert client.receive()["id"] == 10
    for index in range(6):
        server.pool.finish(payment_jobs[index])
        assert client.receive()["id"] == index + 1
        if index < 4:
            server.pool.take("spawn")
    log = server.stop()
    assert "event=pools" in log and "pool_light_reserve_used=1" in log and "must_hold_broken" not in log


def test_sighup_with_full_bulkheads_keeps_them_and_logs_that_changes_wait_for_the_next_start(server):
    client = server.connect_client()
    jobs = [client.request(request_id, "pay", unique=f"{request_id:032x}") for request_id in range(1, 7)]
    server.pool.take("spawn")
    server.pool.take("spawn")
    server.declared_file.write_text(BULKHEADS.replace("20%", "50%").replace("80%", "50%"))
    server.process.send_signal(signal.SIGHUP)
    server.declared_file.write_text(BULKHEADS.replace("80%", '"most"'))
    server.process.send_signal(signal.SIGHUP)
    for index, job in enumerate(jobs):
        server.pool.finish(job)
        assert client.receive()["id"] == index + 1
        if index < 4:
            server.pool.take("spawn")
    reloaded = re.compile("configuration_(renewed.*declared|refused.*pools.heavy.share)")
    wait_until(
        lambda: reloaded.search("".join(server.log)), "the reload"
    )  # a shutdown does not wait for the reload
    assert reloaded.search(server.stop())


def test_draining_with_full_bulkheads_answers_every_request(server):
    client = server.connect_client()
    for request_id in range(1, 9):
        client.request(request_id, "pay", unique=f"{request_id:032x}", limit=3000)
    for _ in range(2):
        server.pool.finish(server.pool.take("spawn")[1]["job"])
    server.process.send_signal(signal.SIGTERM)
    while server.process.poll() is None:
        try:
            server.pool.finish(server.pool.received.get(timeout=0.2)[1]["job"])
        except Exception:
            continue
    answered = {client.receive()["id"] for _ in range(8)}
    assert answered == set(range(1, 9)) and server.process.returncode == 0


def test_a_server_without_declared_files_imports_neither_bulkheads_nor_the_reader_of_such_files():
    code = (
        "import sys, vetchford.cli, vetchford.server.server_process\n"
        "parts = ('vetchford.bulkheads', 'vetchford.configuration', 'lark', 'msgspec')\n"
        "print([name for name in sys.modules if name.startswith(parts)])"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"
