"""The whole server with bulkheads, in a process of its own, against fake peers."""

import re
import signal
import subprocess
import sys

import pytest
from helpers import ServerOptions, ServerProcess

from testkit.faults.waiting import wait_until

POOLS = """
version: 1
pools: {
    light: {stages: ["read"], share: 20%, reserve: 1}
    heavy: {stages: ["pay"], share: 80%}
}
"""


@pytest.fixture
def server(tmp_path):
    file = tmp_path / "pools.vet"
    file.write_text(POOLS)
    with ServerProcess(tmp_path, ServerOptions(arguments=("--with", str(file)))) as running:
        running.file = file
        yield running


def test_a_light_request_starts_on_its_reserve_and_the_log_counts_it(server):
    caller = server.balancer()
    pays = [caller.request(n, "pay", unique=f"{n:032x}") for n in range(1, 7)]
    server.pool.take("spawn")
    server.pool.take("spawn")
    read = caller.request(10, "read")
    assert server.pool.take("spawn")[1]["job"] == read
    server.pool.finish(read)
    assert caller.receive()["id"] == 10
    for n in range(6):
        server.pool.finish(pays[n])
        assert caller.receive()["id"] == n + 1
        if n < 4:
            server.pool.take("spawn")
    log = server.stop()
    assert "event=pools" in log and "pool_light_reserve_used=1" in log and "must_hold_broken" not in log


def test_sighup_with_full_bulkheads_keeps_them_and_logs_that_changes_wait_for_the_next_start(server):
    caller = server.balancer()
    jobs = [caller.request(n, "pay", unique=f"{n:032x}") for n in range(1, 7)]
    server.pool.take("spawn")
    server.pool.take("spawn")
    server.file.write_text(POOLS.replace("20%", "50%").replace("80%", "50%"))
    server.process.send_signal(signal.SIGHUP)
    server.file.write_text(POOLS.replace("80%", '"most"'))
    server.process.send_signal(signal.SIGHUP)
    for n, job in enumerate(jobs):
        server.pool.finish(job)
        assert caller.receive()["id"] == n + 1
        if n < 4:
            server.pool.take("spawn")
    reloaded = re.compile("configuration_(renewed.*declared|refused.*pools.heavy.share)")
    wait_until(lambda: reloaded.search("".join(server.log)), "the reload")  # a shutdown does not wait for it
    assert reloaded.search(server.stop())


def test_draining_with_full_bulkheads_answers_everything(server):
    caller = server.balancer()
    for n in range(1, 9):
        caller.request(n, "pay", unique=f"{n:032x}", limit=3000)
    for _ in range(2):
        server.pool.finish(server.pool.take("spawn")[1]["job"])
    server.process.send_signal(signal.SIGTERM)
    while server.process.poll() is None:
        try:
            server.pool.finish(server.pool.received.get(timeout=0.2)[1]["job"])
        except Exception:
            continue
    heard = {caller.receive()["id"] for _ in range(8)}
    assert heard == set(range(1, 9)) and server.process.returncode == 0


def test_a_server_without_declared_files_imports_no_part_of_their_reader():
    code = (
        "import sys, vetchford.cli, vetchford.server.server_process\n"
        "parts = ('vetchford.bulkheads', 'vetchford.configuration', 'lark', 'msgspec')\n"
        "print([name for name in sys.modules if name.startswith(parts)])"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"
