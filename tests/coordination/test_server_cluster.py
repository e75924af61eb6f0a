"""Servers in processes of their own that coordinate over links that fail."""

import json
import signal
import socket
import threading
import time
from datetime import UTC, datetime, timedelta

import pytest

from benchmarks.pools import settings
from testkit.fakes.load_generator import LoadGenerator, TrafficClass
from testkit.faults.server_cluster import RecordsSpeed, ServerCluster, max_concurrent_leases


@pytest.fixture(scope="module")
def several(tmp_path_factory):
    """One fleet for all tests here but one: each leaves it as a whole."""
    folder = tmp_path_factory.mktemp("fleet")
    told = {"probes": 1, "turns": {"deep": 1}}
    with ServerCluster(folder, 4, settings(), RecordsSpeed(8, 40.0, [(0.0, 1.0)]), **told) as made:
        made.start()
        made.wait_until(lambda: all(len(there(made, name)) == 3 for name in made.names), 20.0, "all see all")
        yield made
        made.stop()
        assert not made.internal_errors()


def there(several, name):
    """Whom it sees, by its log."""
    last = {}
    for entry in several.events("fleet_member_seen", name):
        last[entry["neighbour"]] = entry["there"]
    return {other for other, seen in last.items() if seen}


def leaders(several):
    return [entry["server"] for entry in several.events("lease_leader_elected")]


def steady_leader(several):
    """The server elected last, if it has led for a second: one may step down right after its election."""
    elected = several.events("lease_leader_elected")
    if not elected:
        return None
    leader = elected[-1]["server"]
    elections = [entry for entry in elected if entry["server"] == leader]
    if len(several.events("lease_leader_stepped_down", leader)) >= len(elections):
        return None
    elected_at = datetime.fromisoformat(elected[-1]["timestamp"])
    return leader if datetime.now(UTC) - elected_at > timedelta(seconds=1.0) else None


def test_servers_see_each_other_detect_one_that_dies_and_see_it_again_in_a_new_incarnation(several):
    gone = several.names[3]
    several.kill(gone)
    several.wait_until(lambda: gone not in there(several, several.names[0]), 30.0, "its death is seen")
    several.start(gone)
    several.wait_until(lambda: gone in there(several, several.names[0]), 20.0, "it is seen again")


def test_a_suspended_lease_leader_is_replaced_and_steps_down_when_it_resumes(several):
    seen = []
    several.wait_until(lambda: seen.append(steady_leader(several)) or seen[-1], 20.0, "nobody leads")
    first = seen[-1]
    left = len(several.events("lease_leader_stepped_down", first))
    several.freeze(first)
    several.wait_until(lambda: leaders(several)[-1] != first, 30.0, "no other leads")
    several.thaw(first)
    several.wait_until(
        lambda: len(several.events("lease_leader_stepped_down", first)) > left,
        10.0,
        "it still takes itself for leading",
    )


def test_an_unavailable_records_service_is_called_by_one_server_at_a_time_and_by_all_once_it_answers(
    tmp_path,
):
    speed = [(0.0, 1.0), (4.0, 0.0), (11.0, 1.0)]
    told = settings()
    told["familyInfo"]["depShare"] = 4.0
    with ServerCluster(
        tmp_path / "fleet", 4, told, RecordsSpeed(8, 40.0, speed), probes=1, records=True
    ) as several:
        several.start()
        several.wait_until(lambda: leaders(several), 20.0, "nobody leads")
        flows = [TrafficClass("fee-quote", 10.0, 5.0, 1), TrafficClass("charge", 10.0, 5.0, 1, True)]
        loads = [
            LoadGenerator(port, flows, 16.0, 1800.0, 4400.0, seed=n, connections=4)
            for n, port in enumerate(several.ports.values())
        ]
        at = time.time() + 0.5
        several.records_service.start_schedules(at)
        threads = [threading.Thread(target=load.run, args=(at,)) for load in loads]
        for thread in threads:
            thread.start()
        several.wait_until(
            lambda: (
                {
                    one["server"]
                    for one in several.events("records_state_changed")
                    if one["state"] == "unavailable"
                }
                == set(several.names)
            ),
            20.0,
            "not all find it unavailable",
        )
        several.wait_until(
            lambda: (
                {
                    one["server"]
                    for one in several.events("records_state_changed")
                    if one["state"] == "healthy" and one["was"] == "recovering"
                }
                == set(several.names)
            ),
            30.0,
            "not all have recovered",
        )
        for thread in threads:
            thread.join()
        assert several.events("lease_acquired") and max_concurrent_leases(several) == 1
        assert not [line for load in loads for line in load.violations]
        assert not any(load.lost for load in loads)
        several.stop()
        assert max(several.records_service.stop()["ran"].values()) == 1
        assert not several.internal_errors()


def test_servers_survive_links_that_are_cut_and_see_each_other_again_once_they_heal(several):
    one = several.names[0]
    for kind in ("cut", "one_way", "lose"):
        several.links.fault(kind, several.links.of(one))
    several.wait_until(lambda: not there(several, one), 40.0, "it sees nobody")
    several.links.heal()
    several.wait_until(lambda: len(there(several, one)) == 3, 40.0, "it sees all again")


def test_datagrams_that_are_no_frames_are_counted_and_change_nothing(several):
    address = several.programs[several.names[0]]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"", b"GET /", b"vf\x09" + b"\0" * 30, b"vf\x01\0" + b"\xff" * 40, b"\0" * 1400):
            sock.sendto(data, address)
    several.wait_until(lambda: several.events("peer_refused", several.names[0]), 10.0, "it was not told")


def test_acting_on_signals_is_turned_off_and_on_in_a_running_server_by_sighup(several):
    name = several.names[0]
    several.write_fleet_settings(name, records=False, full=False)
    several.running[name].send_signal(signal.SIGHUP)
    several.wait_until(lambda: several.events("fleet_settings_reloaded", name), 20.0, "not renewed")
    assert several.events("fleet_settings_reloaded", name)[0]["full"] is False
    (several.folder / f"{name}.vet").write_text("version: 1\ntogether: {fleet: 5}\n")
    several.running[name].send_signal(signal.SIGHUP)
    several.wait_until(lambda: several.events("configuration_refused", name), 20.0, "a wrong file was taken")


def test_a_file_with_inconsistent_servers_is_refused_in_one_line_with_its_place(tmp_path):
    from vetchford.configuration.isolated_reader import read
    from vetchford.errors import MalformedInputError

    base = {
        "fleet": "pay",
        "name": "s1",
        "listen": "127.0.0.1:1",
        "servers": {"s1": "127.0.0.1:1"},
        "keepers": ["s1"],
    }
    for key, value, text in (
        ("name", "s2", "together.name"),
        ("keepers", ["s1", "s9"], "together.keepers"),
        ("keepers", [], "together.keepers"),
        ("probes", 0, "together.probes"),
        ("surprise", 1, "together.surprise"),
    ):
        file = tmp_path / "wrong.vet"
        entries = "\n".join(f"{name}: {json.dumps(given)}" for name, given in (base | {key: value}).items())
        file.write_text(f"version: 1\ntogether: {{\n{entries}\n}}\n")
        with pytest.raises(MalformedInputError) as refused:
            read([str(file)], None)
        assert text in str(refused.value) and "wrong.vet:" in str(refused.value), str(refused.value)
