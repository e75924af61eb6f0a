"""Failure detector in virtual time: stopped agents, lost, late and duplicate messages, and a partition."""

import pytest

from testkit.simulation.network import Network
from vetchford.fleet import failure_detector
from vetchford.fleet.membership import MemberState, describe_unseen

ALIVE, SUSPECT, UNREACHABLE = MemberState


@pytest.mark.parametrize("count", [2, 8, 40, 200])
def test_stopped_agent_alone_becomes_unreachable_for_all(count):
    net = Network(count, seed=count)
    net.run(5_000.0)
    net.dead.add("a001")
    bound = 5_000.0 + 2_000.0 * count**0.5 + failure_detector.SUSPICION_PERIODS * 1000.0 * 9 + 20_000.0
    while net.views("a001") != {UNREACHABLE}:
        net.run(net.now + 500.0)
        assert net.now < bound, net.views("a001")
    assert {name for _, _, name, state in net.state_changes if state == UNREACHABLE} == {"a001"}


@pytest.mark.parametrize("seed", range(3))
def test_no_live_agent_becomes_unreachable_at_five_percent_loss_and_duplication(seed):
    net = Network(50, seed, loss=0.05, duplicate_rate=0.05)
    net.run(120_000.0)
    assert not [entry for entry in net.state_changes if entry[3] == UNREACHABLE]
    assert net.sent < 50 * 120 * 2 * 1.5 + 2000  # a probe and its ack per period, and a few indirect probes


def test_slow_agent_never_becomes_unreachable():
    net = Network(20, 4)
    net.slow["a003"] = 200.0
    net.run(120_000.0)
    assert not [entry for entry in net.state_changes if entry[3] == UNREACHABLE]


def test_isolated_agent_suspects_others_later_than_they_suspect_it():
    net = Network(20, 5)
    net.run(3_000.0)
    net.side["a007"] = 1
    net.run(18_000.0)
    states = [net.agents["a007"].membership.state(name) for name in net.agents]
    assert states.count(UNREACHABLE) <= 1
    assert net.agents["a007"].health_penalty == failure_detector.MAX_HEALTH_PENALTY
    net.run(60_000.0)
    assert net.views("a007") == {UNREACHABLE}


def test_flapping_link_and_one_second_stalls_make_nobody_unreachable():
    net = Network(20, 8)
    for second in range(60):
        net.side["a003"] = second % 2  # connected and separated in turn
        net.slow["a005"] = 1000.0 if second % 5 == 0 else 0.0
        net.run(net.now + 1000.0)
    assert not [entry for entry in net.state_changes if entry[3] == UNREACHABLE]


def test_fixed_members_stay_fixed_and_own_stall_makes_nobody_unreachable():
    net = Network(5, 9)
    detector = failure_detector.FailureDetector(
        net.agents["a000"].actions, "a000", net.agents, 9, fixed_members=True
    )
    assert {member.state for member in detector.membership.members.values()} == {SUSPECT}  # no message yet
    detector.membership.apply_update(1.0, ("unlisted", ALIVE, 3))
    detector.receive(1.0, "other", "ping", 1, "", [])
    assert sorted(detector.membership.members) == ["a001", "a002", "a003", "a004"]
    detector.tick(100.0)
    detector.tick(60_000.0)
    assert {member.state for member in detector.membership.members.values()} == {SUSPECT}


def test_all_agents_are_alive_again_after_partition_heals():
    net = Network(30, 6)
    net.run(3_000.0)
    for n in range(12):
        net.side[f"a{n:03}"] = 1
    net.run(60_000.0)
    assert net.views("a000") == {ALIVE, UNREACHABLE}
    assert describe_unseen(
        {name: net.agents["a020"].membership.state(name) for name in net.agents}, ["a019", "a000"]
    )
    net.side.clear()
    net.run(160_000.0)
    for name in net.agents:
        assert net.views(name) == {ALIVE}, name


def test_refuted_suspicion_ends_and_stale_updates_are_ignored():
    net = Network(3, 1)
    agent = net.agents["a000"]
    agent.membership.apply_update(0.0, ("a001", SUSPECT, 0))
    agent.membership.apply_update(1.0, ("a001", ALIVE, 1))
    assert agent.membership.state("a001") == ALIVE
    for stale_update in (("a001", SUSPECT, 0), ("a001", UNREACHABLE, 0)):
        agent.membership.apply_update(2.0, stale_update)
        assert agent.membership.state("a001") == ALIVE
    agent.membership.apply_update(3.0, ("a000", SUSPECT, 4))
    assert agent.membership.incarnation == 5 and ("a000", ALIVE, 5) in agent.membership.piggyback("a002")


def test_unreachable_agents_are_forgotten_and_tables_are_emptied():
    net = Network(5, 2)
    net.run(2_000.0)
    net.dead.add("a004")
    net.run(60_000.0 + failure_detector.UNREACHABLE_RETENTION_MS)
    for name, agent in net.agents.items():
        if name != "a004":
            assert (
                "a004" not in agent.membership.members
                and len(agent.probes) <= 2
                and len(agent.membership.updates) <= 1
            )


def test_unseen_agents_of_a_rollout_are_named():
    assert describe_unseen({"a": ALIVE, "b": ALIVE, "c": UNREACHABLE}, ["a", "b"]) == ""
    assert describe_unseen({"a": ALIVE, "b": SUSPECT}, ["a", "b", "z"]) == "agents not seen: b, z"
