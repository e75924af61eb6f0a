"""Server process: what one hostile client does to the answers of a well-behaved one."""

import signal
import time

import pytest
from helpers import SETTINGS, ServerOptions, ServerProcess

from testkit.fakes.hostile_client import HostileClient, request
from testkit.fakes.steady_load import (
    KNOWN_PREFIX,
    AnsweringWorkerPool,
    SteadyClient,
    share_served,
)

LEAST_SHARE = 0.95  # of what was served before, after the hostile client
BEFORE_S = 1.0
JUDGED_S = 2.0  # of the 5 s within which others must be served again
FLOOD_S = 1.0
CLASSES = [
    {**each, "promise": 1_800_000_000, "deadline": 4_500_000_000} for each in SETTINGS["requestClasses"]
]
DEFAULT_OPTIONS = ServerOptions()
DERIVED_POOLS = 'version: 1\npools: "derived"\n'


def knows_only_the_steady_client(job):
    return job.startswith(KNOWN_PREFIX)


def start_server(folder, knows=None, options=DEFAULT_OPTIONS):
    return ServerProcess(folder, options, pool=AnsweringWorkerPool(knows=knows), requestClasses=CLASSES)


def reset_once(port):
    HostileClient(port).send_and_reset(request(1, cpu=300.0))


def reset_three_times(port):
    for _ in range(3):
        reset_once(port)


def reset_sixty_times(port):
    for _ in range(60):
        HostileClient(port).send_and_reset(request(1, cpu=20.0), after_s=0.001)


def half_close_many_times(port):
    for _ in range(20):
        HostileClient(port).send_and_half_close(request(1, cpu=20.0))


def flood_with_sound_requests(port):
    HostileClient(port).flood(lambda number: request(number), FLOOD_S)


def flood_with_limits(port):
    HostileClient(port).flood(lambda number: request(number, limit=4500 - number % 100), FLOOD_S)


def flood_with_tiny_figures(port):
    HostileClient(port).flood(lambda number: request(number, ram=0.001, cpu=0.001), FLOOD_S)


def flood_with_huge_figures(port):
    HostileClient(port).flood(lambda number: request(number, ram=1999.0, cpu=1e9), FLOOD_S)


def flood_with_old_arrivals(port):
    HostileClient(port).flood(lambda number: request(number, door=(time.time() - 100.0) * 1000.0), FLOOD_S)


def flood_with_keys(port):
    HostileClient(port).flood(lambda number: request(number, "pay", unique=f"{number:032x}"), FLOOD_S)


def flood_under_new_names(port):
    HostileClient(port).flood(lambda number: request(number, lb=number), FLOOD_S)


ATTACKS = (
    reset_once,
    reset_three_times,
    reset_sixty_times,
    half_close_many_times,
    flood_with_sound_requests,
    flood_with_limits,
    flood_with_tiny_figures,
    flood_with_huge_figures,
    flood_with_old_arrivals,
    flood_with_keys,
    flood_under_new_names,
)


@pytest.mark.parametrize("knows", [None, knows_only_the_steady_client], ids=["known", "unknown"])
@pytest.mark.parametrize("attack", ATTACKS)
def test_a_hostile_client_that_has_left_keeps_no_other_client_out(tmp_path, attack, knows):
    # Guards against issue 60: after one client that left at once, a server refused all requests for good.
    with start_server(tmp_path, knows) as server:
        steady = SteadyClient(server.port, limit=None)
        before = share_served(steady.send_for(BEFORE_S))
        attack(server.port)
        time.sleep(0.2)  # for requests that are still open
        assert before >= LEAST_SHARE
        assert share_served(steady.send_for(JUDGED_S)) >= LEAST_SHARE * before


@pytest.mark.parametrize("attack", [reset_once, flood_with_sound_requests, flood_with_tiny_figures])
@pytest.mark.parametrize("kind", ["warm", "cold", "class pools"])
def test_a_hostile_client_before_the_first_served_request_keeps_no_client_out(tmp_path, attack, kind):
    # The same, where nothing has been learned yet.
    pools = tmp_path / "pools.vet"
    pools.write_text(DERIVED_POOLS)
    arguments = ("--with", str(pools)) if kind == "class pools" else ()
    with start_server(tmp_path, options=ServerOptions(cold=kind == "cold", arguments=arguments)) as server:
        attack(server.port)
        time.sleep(0.2)
        for limit in (None, 2000):
            steady = SteadyClient(server.port, limit=limit)
            assert share_served(steady.send_for(JUDGED_S)) >= LEAST_SHARE


def test_a_hostile_client_in_a_drain_keeps_no_open_request_unanswered(tmp_path):
    # A client that leaves as the server drains, and one whose request is then still open.
    with start_server(tmp_path) as server:
        client = server.connect_client()
        client.request(1, limit=None, txn=f"{KNOWN_PREFIX}1")
        server.process.send_signal(signal.SIGTERM)
        reset_three_times(server.port)
        answers = [message for message in iter(client.receive, None) if "id" in message]
        assert ["result" in answer for answer in answers] == [True]
        assert "must_hold_broken" not in server.stop()


@pytest.mark.parametrize("connections", ["one", "each its own"])
def test_false_arrival_times_do_not_make_the_server_unready(tmp_path, connections):
    # Guards against a client whose `door` of long ago looked as if all requests were read too late.
    with start_server(tmp_path) as server:
        hostile = HostileClient(server.port)
        sock = hostile.connect()
        for number in range(1, 31):
            message = request(number, door=(time.time() - 100.0) * 1000.0)
            if connections == "one":
                sock.sendall(message)
            else:
                hostile.send_and_half_close(message)
            time.sleep(0.01)
        sock.close()
        assert "good=false" not in "".join(server.log)
        assert share_served(SteadyClient(server.port, limit=None).send_for(1.0)) == 1.0
