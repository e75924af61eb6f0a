"""Servers in separate processes that coordinate over links with faults."""

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
def cluster(tmp_path_factory):
    """Start one fleet for all tests of this module but one; each test leaves it complete and connected."""
    folder = tmp_path_factory.mktemp("fleet")
    fleet_settings = {"probes": 1, "turns": {"deep": 1}}
    with ServerCluster(
        folder, 4, settings(), RecordsSpeed(8, 40.0, [(0.0, 1.0)]), **fleet_settings
    ) as cluster:
        cluster.start()
        cluster.wait_until(
            lambda: all(len(seen_servers(cluster, name)) == 3 for name in cluster.names),
            20.0,
            "not all servers see each other",
        )
        yield cluster
        cluster.stop()
        assert not cluster.internal_errors()


def seen_servers(cluster, name):
    """Return the servers that a server sees as alive, by its log."""
    last = {}
    for entry in cluster.events("fleet_member_seen", name):
        last[entry["neighbour"]] = entry["there"]
    return {other for other, is_alive in last.items() if is_alive}


def leaders(cluster):
    return [entry["server"] for entry in cluster.events("lease_leader_elected")]


def steady_leader(cluster):
    """Return the leader if it was elected over 1 s ago: a server may step down right after its election."""
    elected = cluster.events("lease_leader_elected")
    if not elected:
        return None
    leader = elected[-1]["server"]
    elections = [entry for entry in elected if entry["server"] == leader]
    if len(cluster.events("lease_leader_stepped_down", leader)) >= len(elections):
        return None
    elected_at = datetime.fromisoformat(elected[-1]["timestamp"])
    return leader if datetime.now(UTC) - elected_at > timedelta(seconds=1.0) else None


def test_servers_detect_the_death_of_another_server_and_its_restart_in_a_new_incarnation(cluster):
    killed = cluster.names[3]
    cluster.kill(killed)
    cluster.wait_until(
        lambda: killed not in seen_servers(cluster, cluster.names[0]), 30.0, "the death is not detected"
    )
    cluster.start(killed)
    cluster.wait_until(
        lambda: killed in seen_servers(cluster, cluster.names[0]), 20.0, "the restart is not detected"
    )


def test_a_suspended_lease_leader_is_replaced_and_steps_down_when_it_resumes(cluster):
    observed = []
    cluster.wait_until(lambda: observed.append(steady_leader(cluster)) or observed[-1], 20.0, "no leader")
    first_leader = observed[-1]
    step_downs = len(cluster.events("lease_leader_stepped_down", first_leader))
    cluster.freeze(first_leader)
    cluster.wait_until(lambda: leaders(cluster)[-1] != first_leader, 30.0, "no other leader")
    cluster.thaw(first_leader)
    cluster.wait_until(
        lambda: len(cluster.events("lease_leader_stepped_down", first_leader)) > step_downs,
        10.0,
        "the resumed leader has not stepped down",
    )


def test_one_server_at_a_time_calls_an_unavailable_records_service_and_all_servers_once_it_answers(
    tmp_path,
):
    speed_factors = [(0.0, 1.0), (4.0, 0.0), (11.0, 1.0)]
    platform_settings = settings()
    platform_settings["familyInfo"]["depShare"] = 4.0
    with ServerCluster(
        tmp_path / "fleet", 4, platform_settings, RecordsSpeed(8, 40.0, speed_factors), probes=1, records=True
    ) as cluster:
        cluster.start()
        cluster.wait_until(lambda: leaders(cluster), 20.0, "no leader")
        traffic_classes = [
            TrafficClass("fee-quote", 10.0, 5.0, 1),
            TrafficClass("charge", 10.0, 5.0, 1, True),
        ]
        loads = [
            LoadGenerator(port, traffic_classes, 16.0, 1800.0, 4400.0, seed=n, connections=4)
            for n, port in enumerate(cluster.ports.values())
        ]
        start_at = time.time() + 0.5
        cluster.records_service.start_schedules(start_at)
        threads = [threading.Thread(target=load.run, args=(start_at,)) for load in loads]
        for thread in threads:
            thread.start()
        cluster.wait_until(
            lambda: (
                {
                    event["server"]
                    for event in cluster.events("records_state_changed")
                    if event["state"] == "unavailable"
                }
                == set(cluster.names)
            ),
            20.0,
            "not all servers find the records service unavailable",
        )
        cluster.wait_until(
            lambda: (
                {
                    event["server"]
                    for event in cluster.events("records_state_changed")
                    if event["state"] == "healthy" and event["was"] == "recovering"
                }
                == set(cluster.names)
            ),
            30.0,
            "not all servers have recovered",
        )
        for thread in threads:
            thread.join()
        assert cluster.events("lease_acquired") and max_concurrent_leases(cluster) == 1
        assert not [line for load in loads for line in load.violations]
        assert not any(load.lost for load in loads)
        cluster.stop()
        assert max(cluster.records_service.stop()["ran"].values()) == 1
        assert not cluster.internal_errors()


def test_servers_survive_cut_links_and_see_each_other_again_once_the_links_heal(cluster):
    isolated = cluster.names[0]
    for kind in ("cut", "one_way", "lose"):
        cluster.links.fault(kind, cluster.links.of(isolated))
    cluster.wait_until(
        lambda: not seen_servers(cluster, isolated), 40.0, "the isolated server still sees others"
    )
    cluster.links.heal()
    cluster.wait_until(
        lambda: len(seen_servers(cluster, isolated)) == 3, 40.0, "the server does not see all others again"
    )


def test_datagrams_that_are_not_frames_are_counted_and_ignored(cluster):
    address = cluster.programs[cluster.names[0]]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"", b"GET /", b"vf\x09" + b"\0" * 30, b"vf\x01\0" + b"\xff" * 40, b"\0" * 1400):
            sock.sendto(data, address)
    cluster.wait_until(
        lambda: cluster.events("peer_refused", cluster.names[0]), 10.0, "the refusal is not logged"
    )


def test_sighup_reloads_which_signals_a_running_server_acts_on(cluster):
    name = cluster.names[0]
    cluster.write_fleet_settings(name, records=False, full=False)
    cluster.running[name].send_signal(signal.SIGHUP)
    cluster.wait_until(
        lambda: cluster.events("fleet_settings_reloaded", name), 20.0, "the settings are not reloaded"
    )
    assert cluster.events("fleet_settings_reloaded", name)[0]["full"] is False
    (cluster.folder / f"{name}.vet").write_text("version: 1\ntogether: {fleet: 5}\n")
    cluster.running[name].send_signal(signal.SIGHUP)
    cluster.wait_until(
        lambda: cluster.events("configuration_refused", name), 20.0, "an invalid file is not refused"
    )


def test_a_file_with_inconsistent_fleet_settings_is_refused_with_the_file_and_key(tmp_path):
    from vetchford.configuration.isolated_reader import read
    from vetchford.errors import MalformedInputError

    base = {
        "fleet": "pay",
        "name": "s1",
        "listen": "127.0.0.1:1",
        "servers": {"s1": "127.0.0.1:1"},
        "keepers": ["s1"],
    }
    for key, value, path in (
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
        assert path in str(refused.value) and "wrong.vet:" in str(refused.value), str(refused.value)
