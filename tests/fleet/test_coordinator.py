"""Changes over several agents in virtual time: real decisions, faults by seed, and mistakes planted to be
found.
"""

import random

import pytest

from testkit.simulation.agent_mutations import MUTATIONS, schedules_until_caught
from testkit.simulation.agents import World, run_schedule
from vetchford.fleet import rollout_controls
from vetchford.fleet.consensus import Role

FLOOR = 14


# 1167: steps in force, not begun; their machine is lost and back, another lost meanwhile, and a new leader.
@pytest.mark.parametrize("seed", [*range(25), 1167])
def test_rollouts_complete_without_violations_under_faults(seed):
    world = run_schedule(seed)
    assert not world.violations()
    assert world.has_ended("r1"), (
        world.find_rollout("r1"),
        [m.coordinator.wait_reasons for m in world.machines.values()],
    )
    span = world.find_rollout("r1")
    for machine in world.machines.values():
        for name, process in machine.processes.items():
            key = f"{name}@{machine.name}"
            if span["steps"][key] == "done" and not span["back"] and not process.draining:
                assert process.version == "v2", key
        assert (
            not machine.coordinator.controls.by_rollout and not machine.coordinator.tool_requests.pending
        )  # emptied as the change ended


def test_same_seed_gives_same_history():
    assert run_schedule(3, count=4).history == run_schedule(3, count=4).history


@pytest.mark.parametrize("mistake", sorted(MUTATIONS))
def test_each_mutation_is_detected_and_its_schedules_pass_without_it(mistake):
    assert schedules_until_caught(mistake)
    assert not schedules_until_caught(mistake, applied=False, seeds=range(3))


# -- single cases


def quiet(seed=1, **given):
    world = World(seed, minimum_available=given.pop("floor", FLOOR), **given)
    world.start_instances()
    return world


def leaders(world, among=None):
    return [
        name for name in among or world.names if world.machines[name].coordinator.record.role == Role.LEADER
    ]


def split(world, side):
    pairs = {(a, b) for a in world.names for b in world.names if (a in side) != (b in side)}
    world.cut |= pairs
    return pairs


def test_partition_stops_rollout_at_unproven_minimum_with_reason_until_it_heals():
    world = quiet()
    leader = leaders(world)[0]
    side = {leader, *[name for name in world.names if name != leader][:2]}
    world.request_rollout(leader, "r1", "roll", version="v2", batch=2, floor=FLOOR)
    world.run(world.now + 1500.0)
    split(world, side)
    away = sorted(set(world.names) - side)
    world.run(world.now + 20_000.0)
    span = world.find_rollout("r1")
    assert span["state"] == "running" and {
        span["steps"][f"n{n}@{name}"] for n in range(4) for name in away
    } != {"done"}
    said = world.machines[leaders(world, side)[0]].coordinator.wait_reasons["r1"]
    assert "proven to serve, the floor of r1 is 14" in said and away[0] in said
    out = []
    world.machines[away[0]].coordinator.request(
        world.now, {"ask": "span", "change": {"id": "r2", "kind": "restart", "targets": []}}, out.append
    )
    assert (
        world.run(world.now + 20_000.0, lambda: bool(out))
        and "nobody drives that can be seen" in out[0]["refused"]
    )
    world.heal()
    assert world.run(world.now + 60_000.0, lambda: world.has_ended("r1"))
    assert world.find_rollout("r1")["state"] == "finished" and not world.violations()


def test_minority_partition_starts_no_rollout_and_refuses_id_of_another_rollout():
    world = quiet()
    side = set(world.names[:3])
    split(world, side)
    world.run(world.now + 12_000.0)
    one = world.request_rollout(world.names[0], "r1", "roll", version="v2", batch=2, floor=4)
    other = world.request_rollout(world.names[4], "r1", "roll", version="v2", batch=2, floor=4)
    world.run(world.now + 9_000.0)
    assert "refused" in other[0] and not leaders(world, world.names[3:])
    assert one and "not seen: a3, a4" in one[0]["refused"]  # its targets are on both sides
    half = [f"n{n}@{name}" for name in sorted(side) for n in range(4)]
    one = world.request_rollout(world.names[0], "r1", "roll", half, version="v2", batch=2, floor=4)
    world.run(world.now + 8_000.0)
    world.heal()
    world.run(world.now + 12_000.0)
    again = world.request_rollout(world.names[4], "r1", "roll", version="v2", batch=2, floor=4)
    world.run(world.now + 8_000.0)
    assert "is another change's" in again[0]["refused"]
    assert world.run(world.now + 60_000.0, lambda: world.has_ended("r1")) and not world.violations()


@pytest.mark.parametrize("moment", [300.0, 700.0, 1100.0, 2500.0])
def test_new_leader_continues_rollout_and_counts_steps_in_progress_as_unavailable(moment):
    for fault in ("kill", "freeze"):
        world = quiet(seed=int(moment))
        leader = leaders(world)[0]
        world.request_rollout(leader, "r1", "roll", version="v2", batch=4, floor=16)
        world.minimum_available = 16
        world.run(world.now + moment)
        if fault == "kill":
            world.machines[leader].stop()
        else:
            world.machines[leader].frozen_until_ms = world.now + 30_000.0
        others = [name for name in world.names if name != leader]
        assert world.run(world.now + 15_000.0, lambda w=world, o=others: bool(leaders(w, o)))
        world.run(world.now + 35_000.0)
        world.heal()
        assert world.run(world.now + 90_000.0, lambda world=world: world.has_ended("r1"))
        assert world.find_rollout("r1")["state"] == "finished" and not world.violations()
        assert len({entry["term"] for entry in world.history if entry["event"] == "leader_elected"}) >= 2


@pytest.mark.parametrize("who", ["leader", "other"])
def test_rollout_completes_after_agent_crash_at_each_action(who):
    for at in range(1, 400):
        world = World(11, agents=3, instances=2, minimum_available=3)
        world.start_instances()
        name = leaders(world)[0]
        machine = world.machines[name if who == "leader" else next(n for n in world.names if n != name)]
        before = machine.actions_done
        machine.killed_at_action = before + at
        world.request_rollout(name, "r1", "roll", version="v2", batch=2, floor=3)
        world.run(world.now + 15_000.0, lambda w=world: w.has_ended("r1"))
        # It died before the rollout was in force anywhere: asked again, as the tool does.
        if world.find_rollout("r1") is None:
            world.request_rollout(world.names[0], "r1", "roll", version="v2", batch=2, floor=3)
        assert world.run(world.now + 60_000.0, lambda w=world: w.has_ended("r1")), at
        assert world.find_rollout("r1")["state"] == "finished" and not world.violations(), at
        assert {one.version for m in world.machines.values() for one in m.processes.values()} == {"v2"}
        if (
            machine.actions_done - before < at
            and machine.coordinator is not None
            and machine.incarnation == 1
        ):
            break  # the roll was over before
    assert at > (60 if who == "leader" else 20)


def test_rollout_stops_without_quorum_and_continues_once_quorum_returns():
    world = quiet()
    leader = leaders(world)[0]
    world.request_rollout(leader, "r1", "roll", version="v2", batch=2, floor=FLOOR)
    world.run(world.now + 1000.0)
    gone = [name for name in world.names if name != leader][:3]
    for name in gone:
        world.machines[name].stop()
    world.run(world.now + 15_000.0)
    assert not leaders(world, [name for name in world.names if name not in gone])
    steps = dict(world.find_rollout("r1")["steps"])
    world.run(world.now + 30_000.0)
    assert world.find_rollout("r1")["steps"] == steps
    for name in gone:
        world.machines[name].start()
    assert world.run(world.now + 90_000.0, lambda: world.has_ended("r1"))
    assert world.find_rollout("r1")["state"] == "finished" and not world.violations()


def test_pre_vote_keeps_isolated_follower_from_raising_term():
    world = quiet()
    leader = leaders(world)[0]
    deaf = next(name for name in world.names if name != leader)
    world.cut |= {(other, deaf) for other in world.names}
    before = world.machines[leader].coordinator.record.promised_term
    world.run(world.now + 60_000.0)
    world.heal()
    world.run(world.now + 10_000.0)
    assert leaders(world) == [leader] and world.machines[leader].coordinator.record.promised_term == before


def test_pause_in_partition_takes_effect_at_once_and_survives_concurrent_resume():
    world = quiet()
    leader = leaders(world)[0]
    away = next(name for name in world.names if name != leader)
    world.request_rollout(leader, "r1", "roll", version="v2", batch=1, floor=10)
    world.run(world.now + 1200.0)
    assert world.request(leader, "pause", id="r1")[0]["state"] == "paused"
    world.run(world.now + 1500.0)
    split(world, {away})
    assert world.request(away, "pause", id="r1")[0]["obeyed_by"] == away  # a second, known to it alone
    world.run(world.now + 1000.0)
    assert world.request(leader, "resume", id="r1")[0]["state"] == "running"
    world.run(world.now + 3000.0)
    world.heal()
    world.run(world.now + 8000.0)
    assert world.find_rollout("r1")["state"] == "paused"
    done = sum(step == "done" for step in world.find_rollout("r1")["steps"].values())
    world.run(world.now + 10_000.0)
    assert sum(step == "done" for step in world.find_rollout("r1")["steps"].values()) == done < 20
    assert world.request(away, "resume", id="r1")[0]["state"] == "running"
    assert (
        world.run(world.now + 90_000.0, lambda: world.has_ended("r1"))
        and world.find_rollout("r1")["state"] == "finished"
    )
    world.run(world.now + 2000.0)
    assert "change r1 is finished" in world.request(away, "pause", id="r1")[0]["refused"]


def test_abort_in_partition_survives_healing():
    world = quiet()
    leader = leaders(world)[0]
    away = next(name for name in world.names if name != leader)
    world.request_rollout(leader, "r1", "roll", version="v2", batch=1, floor=10)
    world.run(world.now + 1200.0)
    split(world, {away})
    world.request(away, "abort", id="r1")
    world.run(world.now + 3000.0)
    world.heal()
    assert world.run(world.now + 30_000.0, lambda: world.has_ended("r1"))
    assert (
        world.find_rollout("r1")["state"] == "aborted"
        and "left" in world.find_rollout("r1")["steps"].values()
    )


def test_merging_rollout_controls_is_commutative_and_idempotent():
    chance = random.Random(5)
    sides = [rollout_controls.RolloutControls(name) for name in "abc"]
    for n in range(200):
        one, other = chance.sample(sides, 2)
        draw = chance.random()
        if draw < 0.1:
            one.add("c", "pause", "asked to", str(n))
        elif draw < 0.2:
            one.resume("c")
        else:
            other.merge(dict(one.by_rollout), {"c"})
    for _ in range(3):
        for one in sides:
            for other in sides:
                other.merge(dict(one.by_rollout), {"c"})
    assert sides[0].by_rollout == sides[1].by_rollout == sides[2].by_rollout
    lost = {id for id, _ in sides[0].of("c")["halts"].items()} - set(sides[0].of("c")["lifted"])
    assert (sides[0].active("c").kind == "pause") == bool(lost)
    assert sides[0].forget_all_but(set()) == ["c"] and not sides[0].by_rollout


def test_member_is_dismissed_and_admitted_by_request_only():
    world = quiet()
    leader = leaders(world)[0]
    gone = next(name for name in world.names if name != leader)
    world.machines[gone].stop()
    world.run(world.now + 20_000.0)
    assert gone in world.machines[leader].coordinator.record.body["members"]  # silence changes no list
    out = world.request(leader, "dismiss", name=gone, by="ops")
    world.run(world.now + 5000.0)
    body = world.machines[leader].coordinator.record.body
    assert (
        gone not in out[0]["members"]
        and gone not in body["voters"]
        and ["dismiss", gone, "ops"] in body["log"]
    )
    world.machines[gone].start()
    world.run(world.now + 15_000.0)
    back = world.machines[gone].coordinator
    assert (
        back.record.role == Role.FOLLOWER and gone not in back.record.body["members"]
    )  # it was told, and asks nobody
    world.request(leader, "admit", name=gone, by="ops")
    world.run(world.now + 8000.0)
    assert (
        gone in world.machines[leader].coordinator.record.body["voters"]
        and world.machines[gone].coordinator.record.leader == leader
    )


def test_majority_with_lost_stores_elects_no_leader():
    world = quiet()
    for name in world.names[:3]:
        world.machines[name].stop()
        world.machines[name].restart("no_disk")
    world.run(world.now + 60_000.0)
    assert not leaders(world)


def test_failed_version_pauses_rollout_across_leaders_or_reverts_it():
    world = quiet()
    leader = leaders(world)[0]
    world.request_rollout(leader, "r1", "roll", version="bad", batch=2, floor=16, on_failure="pause")
    world.minimum_available = 16
    assert world.run(world.now + 30_000.0, lambda: (world.find_rollout("r1") or {}).get("state") == "paused")
    world.machines[leader].stop()  # the pause stands in the record: who drives next does not go on
    world.run(world.now + 20_000.0)
    assert (
        leaders(world, [n for n in world.names if n != leader])
        and world.find_rollout("r1")["state"] == "paused"
    )
    world.machines[leader].start()
    world.request(world.names[0], "abort", id="r1")
    assert world.run(world.now + 30_000.0, lambda: world.has_ended("r1"))
    other = quiet(seed=9)
    other.request_rollout(
        leaders(other)[0], "r2", "roll", version="bad", batch=2, floor=14, on_failure="back"
    )
    assert (
        other.run(other.now + 60_000.0, lambda: other.has_ended("r2"))
        and "gone back" in other.find_rollout("r2")["why"]
    )
    other.run(other.now + 5000.0)
    assert other.serving() == 20 and not other.violations()
