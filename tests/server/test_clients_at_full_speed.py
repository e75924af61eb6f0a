"""Server process: answers to others while one client sends at full speed, and memory under many clients."""

import threading

import pytest
from helpers import SETTINGS, ServerOptions, ServerProcess

from testkit.fakes.hostile_client import HostileClient, framed, request
from testkit.fakes.steady_load import (
    KNOWN_PREFIX,
    AnsweringWorkerPool,
    SteadyClient,
    share_served,
    slowest_answer_s,
)

LEAST_SHARE = 0.95
FLOOD_S = 1.0
LATENCY_OBJECTIVE_S = 1.8
CLASSES = [
    {**each, "promise": 1_800_000_000, "deadline": 4_500_000_000} for each in SETTINGS["requestClasses"]
]


def knows_only_the_steady_client(job):
    return job.startswith(KNOWN_PREFIX)


def start_server(folder, knows=None, **options):
    pool = AnsweringWorkerPool(knows=knows)
    return ServerProcess(folder, ServerOptions(**options), pool=pool, requestClasses=CLASSES)


CHEAP_FLOODS = {
    "health checks": lambda number: framed(b'{"jsonrpc":"2.0","id":%d,"method":"check"}' % number),
    "new method names": lambda number: framed(b'{"jsonrpc":"2.0","method":"name %d"}' % number),
    "requests without an id": lambda number: framed(b'{"jsonrpc":"2.0","method":"read"}'),
    "no JSON": lambda number: framed(b"{"),
    "figures out of range": lambda number: request(number, ram=-1.0),
    "unknown tenants": lambda number: request(number, team=f"tenant {number}"),
    "long bodies": lambda number: framed(b"x" * 8000),
    "sound requests, unknown to the pool": lambda number: request(number),
    "the same, under new names": lambda number: request(number, lb=number),
}


@pytest.mark.parametrize("reads", [True, False])
@pytest.mark.parametrize("kind", CHEAP_FLOODS)
def test_a_client_at_full_speed_delays_no_other_client_beyond_its_objective(tmp_path, kind, reads):
    # Picture (b): while one client sent at full speed, others were answered late or never.
    with start_server(tmp_path, knows_only_the_steady_client) as server:
        steady = SteadyClient(server.port, limit=None)
        steady.send_for(FLOOD_S)
        hostile = HostileClient(server.port)
        flood = threading.Thread(target=hostile.flood, args=(CHEAP_FLOODS[kind], FLOOD_S, reads))
        flood.start()
        during = steady.send_for(FLOOD_S)
        flood.join()
        assert share_served(during) >= LEAST_SHARE
        assert slowest_answer_s(during) <= LATENCY_OBJECTIVE_S


MEMORY_LIMIT_MB = 64
"""The smallest limit that the platform gives a server in this language (docs/gap.md)."""
SOCKETS = 512
MANY_CLIENTS = 2 * SOCKETS
HOLD_S = 2.0


def peak_memory_mb(process_id):
    with open(f"/proc/{process_id}/status") as status:
        peak_kb = next(line.split()[1] for line in status if line.startswith("VmHWM"))
    return int(peak_kb) / 1024.0


HALF_A_LARGE_REQUEST = b"Content-Length: 24000\r\n\r\n" + b"x" * 23_900
SLOW_CLIENTS = {
    "stopped half way through a large request": (HALF_A_LARGE_REQUEST, b""),
    "half a large request, then slowly": (HALF_A_LARGE_REQUEST, b"x"),
    "a head written slowly": (b"Content-Length:", b" "),
    "heads of very many short fields": (b"A:\r\n" * 250, b"A:\r\n"),
    "heads without an end": (b"A:\r\n" * 5000, b"A:\r\n" * 500),
}


@pytest.mark.parametrize("kind", SLOW_CLIENTS)
def test_hundreds_of_slow_clients_take_little_memory_and_delay_no_other(tmp_path, kind):
    # Picture (a): a process passed its memory limit while hundreds of clients wrote slowly.
    first_bytes, more_bytes = SLOW_CLIENTS[kind]
    with start_server(tmp_path, sockets=SOCKETS) as server:
        steady = SteadyClient(server.port, limit=None)
        steady.send_for(FLOOD_S)
        hostile = HostileClient(server.port)
        crowd = threading.Thread(
            target=hostile.write_slowly, args=(MANY_CLIENTS, first_bytes, more_bytes, HOLD_S)
        )
        crowd.start()
        during = steady.send_for(HOLD_S)
        crowd.join()
        assert share_served(during) >= LEAST_SHARE
        assert slowest_answer_s(during) <= LATENCY_OBJECTIVE_S
        assert peak_memory_mb(server.process.pid) < MEMORY_LIMIT_MB


def test_hundreds_of_clients_with_many_requests_of_next_to_no_declared_size_take_little_memory(tmp_path):
    # Picture (a) beside: requests that the limits on bytes and time let pass, as they declare nearly none.
    with start_server(tmp_path, sockets=SOCKETS) as server:
        hostile = HostileClient(server.port)
        content = "eHh4" * 600

        def many_requests():
            return b"".join(request(number, ram=0.001, cpu=0.001, content=content) for number in range(1, 65))

        hostile.write_slowly(MANY_CLIENTS // 4, many_requests, b"", HOLD_S)
        assert peak_memory_mb(server.process.pid) < MEMORY_LIMIT_MB
