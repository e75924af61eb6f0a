"""Fleet rollouts in virtual time: the real decision modules, seeded faults, and mutations to be detected."""

import random

import pytest

from testkit.simulation.agent_mutations import MUTATIONS, schedules_until_caught
from testkit.simulation.agents import World, run_schedule
from vetchford.fleet import rollout_controls
from vetchford.fleet.consensus import Role
from vetchford.fleet.coordinator_messages import StepOrder
from vetchford.fleet.fleet_rollout_pass import ORDER_LAPSE_MS
from vetchford.fleet.member_changes import DISMISSAL_SILENCE_MS, has_steps_in_progress
from vetchford.fleet.tool_requests import REQUEST_TIMEOUT_MS

MINIMUM_AVAILABLE = 14  # of 20 instances


# Seed 1167: steps are committed and not begun; their machine stops and returns, another machine stops in
# between, and a new leader is elected.
@pytest.mark.parametrize("seed", [*range(25), 1167])
def test_rollouts_complete_without_violations_under_faults(seed):
    world = run_schedule(seed)
    assert not world.violations()
    assert world.has_ended("r1"), (
        world.find_rollout("r1"),
        [m.coordinator.wait_reasons for m in world.machines.values()],
    )
    rollout = world.find_rollout("r1")
    for machine in world.machines.values():
        for name, process in machine.processes.items():
            key = f"{name}@{machine.name}"
            if rollout["steps"][key] == "done" and not rollout["back"] and not process.draining:
                assert process.version == "v2", key
        assert (
            not machine.coordinator.controls.by_rollout and not machine.coordinator.tool_requests.pending
        )  # emptied once the rollout has ended


def test_same_seed_gives_same_history():
    assert run_schedule(3, count=4).history == run_schedule(3, count=4).history


@pytest.mark.parametrize("mutation", sorted(MUTATIONS))
def test_each_mutation_is_detected_and_its_schedules_pass_without_it(mutation):
    assert schedules_until_caught(mutation)
    assert not schedules_until_caught(mutation, applied=False, seeds=range(3))


# -- single cases, without random faults


def start_world_without_faults(seed=1, **options):
    world = World(seed, minimum_available=options.pop("floor", MINIMUM_AVAILABLE), **options)
    world.start_instances()
    return world


def current_leaders(world, candidates=None):
    return [
        name
        for name in candidates or world.names
        if world.machines[name].coordinator.record.role == Role.LEADER
    ]


def partition(world, side):
    severed_links = {(a, b) for a in world.names for b in world.names if (a in side) != (b in side)}
    world.cut |= severed_links
    return severed_links


def test_partition_stops_rollout_at_unproven_minimum_with_reason_until_it_heals():
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    side = {leader, *[name for name in world.names if name != leader][:2]}
    world.request_rollout(leader, "r1", "roll", version="v2", batch=2, floor=MINIMUM_AVAILABLE)
    world.run(world.now + 1500.0)
    partition(world, side)
    other_side = sorted(set(world.names) - side)
    world.run(world.now + 20_000.0)
    rollout = world.find_rollout("r1")
    assert rollout["state"] == "running" and {
        rollout["steps"][f"n{n}@{name}"] for n in range(4) for name in other_side
    } != {"done"}
    wait_reason = world.machines[current_leaders(world, side)[0]].coordinator.wait_reasons["r1"]
    assert "proven to serve, the floor of r1 is 14" in wait_reason and other_side[0] in wait_reason
    replies = []
    world.machines[other_side[0]].coordinator.request(
        world.now, {"ask": "span", "change": {"id": "r2", "kind": "restart", "targets": []}}, replies.append
    )
    assert (
        world.run(world.now + 20_000.0, lambda: bool(replies))
        and f"no leader is known to {other_side[0]}" in replies[0]["refused"]
    )
    world.heal()
    assert world.run(world.now + 60_000.0, lambda: world.has_ended("r1"))
    assert world.find_rollout("r1")["state"] == "finished" and not world.violations()


def test_dismissal_with_step_in_progress_is_refused_until_agent_was_silent():
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    agent = next(name for name in world.names if name != leader)
    world.request_rollout(leader, "r1", "roll", [f"n0@{agent}", f"n1@{agent}"], version="v2")
    key = f"n0@{agent}"
    controller = world.machines[leader].coordinator.controller
    assert world.run(world.now + 10_000.0, lambda: has_steps_in_progress(controller.record, agent))
    refused = world.request(leader, "dismiss", name=agent, by="ops")
    assert refused == [
        {
            "refused": f"{agent} has reported recently and has instances out of service: let them return to "
            "service, or stop its agent and repeat this after 5 s of silence; its steps in progress then "
            "count as failed"
        }
    ]
    world.machines[agent].stop()
    world.run(world.now + DISMISSAL_SILENCE_MS - 500.0)
    assert "refused" in world.request(leader, "dismiss", name=agent, by="ops")[0]
    world.run(world.now + 1000.0)
    replies = world.request(leader, "dismiss", name=agent, by="ops")
    assert world.run(world.now + 5000.0, lambda: bool(replies)) and agent not in replies[0]["members"]
    assert world.find_rollout("r1")["steps"] == {key: "lost", f"n1@{agent}": "lost"}


@pytest.mark.parametrize("ask", ["span", "dismiss"])
def test_request_without_answer_of_leader_is_refused_with_advice_for_each_command(ask):
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    agent = next(name for name in world.names if name != leader)
    world.cut = {(agent, leader)}  # the leader's messages still arrive, so the agent knows the leader
    if ask == "span":
        replies = world.request_rollout(agent, "r1", "roll", version="v2")
    else:
        replies = world.request(agent, "dismiss", name=agent, by="ops")
    assert world.run(world.now + REQUEST_TIMEOUT_MS + 500.0, lambda: bool(replies))
    assert replies == [
        {
            "refused": f"leader {leader} did not complete the request in time, but may still do so; repeat "
            "the command (a rollout with the same --id; if it had none, see first whether the fleet's status "
            "lists it)"
        }
    ]


def test_minority_partition_starts_no_rollout_and_refuses_id_of_another_rollout():
    world = start_world_without_faults()
    side = set(world.names[:3])
    partition(world, side)
    world.run(world.now + 12_000.0)
    majority_replies = world.request_rollout(world.names[0], "r1", "roll", version="v2", batch=2, floor=4)
    minority_replies = world.request_rollout(world.names[4], "r1", "roll", version="v2", batch=2, floor=4)
    world.run(world.now + 9_000.0)
    assert "refused" in minority_replies[0] and not current_leaders(world, world.names[3:])
    # The targets are on both sides of the partition.
    assert majority_replies and "agents not seen: a3, a4" in majority_replies[0]["refused"]
    majority_targets = [f"n{n}@{name}" for name in sorted(side) for n in range(4)]
    majority_replies = world.request_rollout(
        world.names[0], "r1", "roll", majority_targets, version="v2", batch=2, floor=4
    )
    world.run(world.now + 8_000.0)
    world.heal()
    world.run(world.now + 12_000.0)
    conflict_replies = world.request_rollout(world.names[4], "r1", "roll", version="v2", batch=2, floor=4)
    world.run(world.now + 8_000.0)
    assert "id r1 is already used by another change" in conflict_replies[0]["refused"]
    assert world.run(world.now + 60_000.0, lambda: world.has_ended("r1")) and not world.violations()


@pytest.mark.parametrize("fault_after_ms", [300.0, 700.0, 1100.0, 2500.0])
def test_new_leader_continues_rollout_and_counts_steps_in_progress_as_unavailable(fault_after_ms):
    for fault in ("kill", "freeze"):
        world = start_world_without_faults(seed=int(fault_after_ms))
        leader = current_leaders(world)[0]
        world.request_rollout(leader, "r1", "roll", version="v2", batch=4, floor=16)
        world.minimum_available = 16
        world.run(world.now + fault_after_ms)
        if fault == "kill":
            world.machines[leader].stop()
        else:
            world.machines[leader].frozen_until_ms = world.now + 30_000.0
        others = [name for name in world.names if name != leader]
        assert world.run(world.now + 15_000.0, lambda w=world, o=others: bool(current_leaders(w, o)))
        world.run(world.now + 35_000.0)
        world.heal()
        assert world.run(world.now + 90_000.0, lambda world=world: world.has_ended("r1"))
        assert world.find_rollout("r1")["state"] == "finished" and not world.violations()
        assert len({entry["term"] for entry in world.history if entry["event"] == "leader_elected"}) >= 2


@pytest.mark.parametrize("crashed_role", ["leader", "other"])
def test_rollout_completes_after_agent_crash_at_each_action(crashed_role):
    for crash_at in range(1, 400):
        world = World(11, agents=3, instances=2, minimum_available=3)
        world.start_instances()
        name = current_leaders(world)[0]
        machine = world.machines[
            name if crashed_role == "leader" else next(n for n in world.names if n != name)
        ]
        acts_before = machine.actions_done
        machine.killed_at_action = acts_before + crash_at
        world.request_rollout(name, "r1", "roll", version="v2", batch=2, floor=3)
        world.run(world.now + 15_000.0, lambda w=world: w.has_ended("r1"))
        # The agent crashed before the rollout was committed: the request is repeated, as the tool does.
        if world.find_rollout("r1") is None:
            world.request_rollout(world.names[0], "r1", "roll", version="v2", batch=2, floor=3)
        assert world.run(world.now + 60_000.0, lambda w=world: w.has_ended("r1")), crash_at
        assert world.find_rollout("r1")["state"] == "finished" and not world.violations(), crash_at
        assert {one.version for m in world.machines.values() for one in m.processes.values()} == {"v2"}
        if (
            machine.actions_done - acts_before < crash_at
            and machine.coordinator is not None
            and machine.incarnation == 1
        ):
            break  # the rollout ended before the crash
    assert crash_at > (60 if crashed_role == "leader" else 20)


def test_rollout_stops_without_quorum_and_continues_once_quorum_returns():
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    world.request_rollout(leader, "r1", "roll", version="v2", batch=2, floor=MINIMUM_AVAILABLE)
    world.run(world.now + 1000.0)
    stopped = [name for name in world.names if name != leader][:3]
    for name in stopped:
        world.machines[name].stop()
    world.run(world.now + 15_000.0)
    assert not current_leaders(world, [name for name in world.names if name not in stopped])
    steps = dict(world.find_rollout("r1")["steps"])
    world.run(world.now + 30_000.0)
    assert world.find_rollout("r1")["steps"] == steps
    for name in stopped:
        world.machines[name].start()
    assert world.run(world.now + 90_000.0, lambda: world.has_ended("r1"))
    assert world.find_rollout("r1")["state"] == "finished" and not world.violations()


def test_pre_vote_keeps_isolated_follower_from_raising_term():
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    isolated = next(name for name in world.names if name != leader)
    world.cut |= {(other, isolated) for other in world.names}
    term_before = world.machines[leader].coordinator.record.promised_term
    world.run(world.now + 60_000.0)
    world.heal()
    world.run(world.now + 10_000.0)
    assert (
        current_leaders(world) == [leader]
        and world.machines[leader].coordinator.record.promised_term == term_before
    )


def test_pause_in_partition_takes_effect_at_once_and_survives_concurrent_resume():
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    isolated = next(name for name in world.names if name != leader)
    world.request_rollout(leader, "r1", "roll", version="v2", batch=1, floor=10)
    world.run(world.now + 1200.0)
    assert world.request(leader, "pause", id="r1")[0]["state"] == "paused"
    world.run(world.now + 1500.0)
    partition(world, {isolated})
    assert world.request(isolated, "pause", id="r1")[0]["obeyed_by"] == isolated  # known to this agent alone
    world.run(world.now + 1000.0)
    assert world.request(leader, "resume", id="r1")[0]["state"] == "running"
    world.run(world.now + 3000.0)
    world.heal()
    world.run(world.now + 8000.0)
    assert world.find_rollout("r1")["state"] == "paused"
    done = sum(step == "done" for step in world.find_rollout("r1")["steps"].values())
    world.run(world.now + 10_000.0)
    assert sum(step == "done" for step in world.find_rollout("r1")["steps"].values()) == done < 20
    assert world.request(isolated, "resume", id="r1")[0]["state"] == "running"
    assert (
        world.run(world.now + 90_000.0, lambda: world.has_ended("r1"))
        and world.find_rollout("r1")["state"] == "finished"
    )
    world.run(world.now + 2000.0)
    assert "change r1 is finished" in world.request(isolated, "pause", id="r1")[0]["refused"]


def test_abort_in_partition_survives_healing():
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    isolated = next(name for name in world.names if name != leader)
    world.request_rollout(leader, "r1", "roll", version="v2", batch=1, floor=10)
    world.run(world.now + 1200.0)
    partition(world, {isolated})
    world.request(isolated, "abort", id="r1")
    world.run(world.now + 3000.0)
    world.heal()
    assert world.run(world.now + 30_000.0, lambda: world.has_ended("r1"))
    assert (
        world.find_rollout("r1")["state"] == "aborted"
        and "left" in world.find_rollout("r1")["steps"].values()
    )


def abort_with_undelivered_order(world, leader, agent):
    """Abort a roll of one instance whose step is committed, and whose order does not arrive."""
    world.cut = {(leader, agent)}  # the agent's last report is fresh for 2 s
    world.request_rollout(leader, "r1", "roll", [f"n0@{agent}"], version="v2")
    controller = world.machines[leader].coordinator.controller
    assert world.run(world.now + 1500.0, lambda: has_steps_in_progress(controller.record, agent))
    world.run(world.now + 100.0)  # until the order was sent
    world.request(leader, "abort", id="r1")


def check_that_the_abort_ends(world, leader, agent, within_ms, steps):
    assert world.run(world.now + within_ms, lambda: world.has_ended("r1")), world.find_rollout("r1")
    rollout = world.find_rollout("r1")
    assert rollout["state"] == "aborted" and rollout["steps"][f"n0@{agent}"] in steps
    world.run(world.now + 1000.0)  # until this is committed
    assert world.serving() == 20 and not world.violations()
    world.request_rollout(leader, "r2", "roll", [f"n0@{agent}"], version="v2")
    assert world.run(world.now + 30_000.0, lambda: world.has_ended("r2"))
    assert world.find_rollout("r2")["state"] == "finished"


def test_an_abort_ends_a_step_whose_order_did_not_arrive():
    # Guards against an aborted change that is ordered for ever by its leader and refused by its agent.
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    agent = next(name for name in world.names if name != leader)
    abort_with_undelivered_order(world, leader, agent)
    world.run(world.now + 3000.0)
    world.heal()
    check_that_the_abort_ends(world, leader, agent, within_ms=ORDER_LAPSE_MS + 2000.0, steps={"left"})


def test_an_abort_ends_a_step_that_an_earlier_leader_had_committed():
    # Guards against the same under a leader that has not sent the order itself.
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    agent = next(name for name in world.names if name != leader)
    abort_with_undelivered_order(world, leader, agent)
    world.run(world.now + 500.0)
    world.machines[leader].stop()
    world.heal()
    assert world.run(world.now + 20_000.0, lambda: bool(current_leaders(world)))
    new_leader = current_leaders(world)[0]
    world.machines[leader].start()
    # "done": the new leader had not heard of the abort yet, and the step had begun.
    check_that_the_abort_ends(world, new_leader, agent, within_ms=10_000.0, steps={"left", "done"})


def test_an_abort_lets_a_step_go_on_that_its_store_had_paused():
    # Guards against an instance that stays out of service, as its step is never resumed.
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    agent = next(name for name in world.names if name != leader)
    machine = world.machines[agent]
    world.request_rollout(leader, "r1", "roll", [f"n0@{agent}"], version="v2")
    local_rollout = "r1/n0/1"
    assert world.run(world.now + 5000.0, lambda: local_rollout in machine.rollouts.rollouts)
    machine.rollouts.table.pause_without_record(machine.rollouts.rollouts[local_rollout], "the store failed")
    world.request(leader, "abort", id="r1")
    assert world.run(world.now + 10_000.0, lambda: world.has_ended("r1")), world.find_rollout("r1")
    assert world.find_rollout("r1")["state"] == "aborted"
    assert world.run(world.now + 5000.0, lambda: world.serving() == 20) and not world.violations()


def test_a_late_order_is_refused_after_an_abort_has_skipped_its_step():
    # Guards against an instance that is taken out of service by a change that has ended.
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    agent = next(name for name in world.names if name != leader)
    sent_orders = []
    leader_machine = world.machines[leader]
    post = leader_machine.post

    def hold_orders(to, kind, body):
        if kind == StepOrder.KIND:
            sent_orders.append((to, kind, body))
            return True
        return post(to, kind, body)

    leader_machine.post = hold_orders
    world.request_rollout(leader, "r1", "roll", [f"n0@{agent}"], version="v2")
    assert world.run(world.now + 5000.0, lambda: bool(sent_orders))
    leader_machine.post = post
    world.request(leader, "abort", id="r1")
    world.machines[agent].coordinator.controls.by_rollout.clear()  # as if it did not know the abort
    assert world.run(world.now + ORDER_LAPSE_MS + 2000.0, lambda: world.has_ended("r1"))
    for order in sent_orders:
        post(*order)
    world.run(world.now + 2000.0)
    refusals = [entry["why"] for entry in world.history if entry["event"] == "order_refused"]
    assert refusals and set(refusals) == {"it rests on a report that is old"}
    assert world.serving() == 20 and not world.violations()


def test_merging_rollout_controls_is_commutative_and_idempotent():
    generator = random.Random(5)
    copies = [rollout_controls.RolloutControls(name) for name in "abc"]
    for n in range(200):
        copy, other = generator.sample(copies, 2)
        draw = generator.random()
        if draw < 0.1:
            copy.add("c", "pause", "asked to", str(n))
        elif draw < 0.2:
            copy.resume("c")
        else:
            other.merge(dict(copy.by_rollout), {"c"})
    for _ in range(3):
        for copy in copies:
            for other in copies:
                other.merge(dict(copy.by_rollout), {"c"})
    assert copies[0].by_rollout == copies[1].by_rollout == copies[2].by_rollout
    active_pauses = {id for id, _ in copies[0].controls_of("c")["halts"].items()} - set(
        copies[0].controls_of("c")["lifted"]
    )
    assert (copies[0].active_control("c").kind == "pause") == bool(active_pauses)
    assert copies[0].discard_ended(set()) == ["c"] and not copies[0].by_rollout


def test_member_is_dismissed_and_admitted_by_request_only():
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    dismissed = next(name for name in world.names if name != leader)
    world.machines[dismissed].stop()
    world.run(world.now + 20_000.0)
    assert dismissed in world.machines[leader].coordinator.record.body["members"]  # in spite of its silence
    replies = world.request(leader, "dismiss", name=dismissed, by="ops")
    world.run(world.now + 5000.0)
    body = world.machines[leader].coordinator.record.body
    assert (
        dismissed not in replies[0]["members"]
        and dismissed not in body["voters"]
        and ["dismiss", dismissed, "ops"] in body["log"]
    )
    world.machines[dismissed].start()
    world.run(world.now + 15_000.0)
    returned = world.machines[dismissed].coordinator
    assert (
        returned.record.role == Role.FOLLOWER and dismissed not in returned.record.body["members"]
    )  # it has received the record that does not list it, and requests no votes
    world.request(leader, "admit", name=dismissed, by="ops")
    world.run(world.now + 8000.0)
    assert (
        dismissed in world.machines[leader].coordinator.record.body["voters"]
        and world.machines[dismissed].coordinator.record.leader == leader
    )


def test_majority_with_lost_stores_elects_no_leader():
    world = start_world_without_faults()
    for name in world.names[:3]:
        world.machines[name].stop()
        world.machines[name].restart("no_disk")
    world.run(world.now + 60_000.0)
    assert not current_leaders(world)


def test_failed_version_pauses_rollout_across_leaders_or_reverts_it():
    world = start_world_without_faults()
    leader = current_leaders(world)[0]
    world.request_rollout(leader, "r1", "roll", version="bad", batch=2, floor=16, on_failure="pause")
    world.minimum_available = 16
    assert world.run(world.now + 30_000.0, lambda: (world.find_rollout("r1") or {}).get("state") == "paused")
    world.machines[leader].stop()  # the pause is in the record, so the next leader does not continue
    world.run(world.now + 20_000.0)
    assert (
        current_leaders(world, [n for n in world.names if n != leader])
        and world.find_rollout("r1")["state"] == "paused"
    )
    world.machines[leader].start()
    world.request(world.names[0], "abort", id="r1")
    assert world.run(world.now + 30_000.0, lambda: world.has_ended("r1"))
    other = start_world_without_faults(seed=9)
    other.request_rollout(
        current_leaders(other)[0], "r2", "roll", version="bad", batch=2, floor=14, on_failure="back"
    )
    assert (
        other.run(other.now + 60_000.0, lambda: other.has_ended("r2"))
        and "gone back" in other.find_rollout("r2")["why"]
    )
    other.run(other.now + 5000.0)
    assert other.serving() == 20 and not other.violations()
