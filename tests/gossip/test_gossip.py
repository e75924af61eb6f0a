"""Load gossip under loss, duplication, splits, liars and departures; what a server concludes from it.

Reports are written here in their encoded form and go through the codec.
"""

import random

import msgspec
import pytest

from testkit.simulation import gossip
from vetchford.gossip.fleet_signals import MAX_RETRY_AFTER_FACTOR, FleetSignalPolicy, FleetSignals
from vetchford.gossip.load_gossip import MAX_REPORTS, REPORT_LIFETIME_MS, LoadGossip
from vetchford.gossip.messages import MAX_REPORTS_PER_MESSAGE, decode_reports
from vetchford.gossip.metrics import METRICS, MetricDefinition
from vetchford.gossip.records_health import PROBE_TIMEOUT_MS, RecordsState


class RecordedActions:
    def __init__(self):
        self.sent = []
        self.events = []
        self.wants_lease = False
        self.holds_lease = False

    def send_load_reports(self, to, reports):
        self.sent.append((to, msgspec.msgpack.decode(msgspec.msgpack.encode(reports))))

    def log_event(self, event, **fields):
        self.events.append((event, fields))

    def request_probe_lease(self):
        self.wants_lease = True

    def release_probe_lease(self):
        self.wants_lease = self.holds_lease = False

    def holds_probe_lease(self):
        return self.holds_lease


FULL = (MetricDefinition("full", 1.0),)


def receive(gossip, now, sender, reports):
    """Delivers a message in its encoded form, as `FleetMember` does."""
    gossip.receive(now, sender, decode_reports(reports, len(gossip.metrics)))


def samples(gossip, now, metric):
    return [(sample.value, sample.age_ms) for sample in gossip.samples(now, metric)]


def make_gossip(names, name="a", metrics=FULL):
    actions = RecordedActions()
    load_gossip = LoadGossip(actions, name, 1, metrics, 3)
    load_gossip.set_members(names, names[:3])
    return load_gossip, actions


def test_a_report_counts_once_by_incarnation_and_sequence_and_expires():
    load_gossip, _ = make_gossip(["b", "c", "d"])
    receive(load_gossip, 0.0, "b", [["b", 1, 5, 100, [500]]])
    receive(load_gossip, 1.0, "c", [["b", 1, 4, 0, [900]]])  # late
    receive(load_gossip, 2.0, "c", [["b", 1, 5, 0, [900]]])  # duplicate
    assert samples(load_gossip, 2.0, "full") == [(0.5, 102.0)]
    receive(load_gossip, 3.0, "c", [["b", 2, 1, 50, [700]]])  # a new incarnation
    assert samples(load_gossip, 3.0, "full") == [(0.7, 50.0)]
    receive(load_gossip, 4.0, "b", [["b", 1, 99, 0, [100]]])
    assert samples(load_gossip, 4.0, "full")[0][0] == 0.7
    assert samples(load_gossip, 3.0 + REPORT_LIFETIME_MS, "full") == []
    receive(
        load_gossip,
        5.0,
        "b",
        [["c", 1, 1, REPORT_LIFETIME_MS, [100]], ["a", 1, 9, 0, [100]], ["stranger", 1, 1, 0, [100]]],
    )
    assert len(samples(load_gossip, 5.0, "full")) == 1  # too old, our own name, not of the fleet


def test_reports_of_members_that_left_are_dropped_and_table_and_message_are_bounded():
    names = [f"n{n:03}" for n in range(400)]
    load_gossip, actions = make_gossip(names)
    for at, name in enumerate(names):
        receive(load_gossip, float(at), name, [[name, 1, 1, 0, [10]]])
    assert (
        len(load_gossip.reports) == MAX_REPORTS
        and "n399" in load_gossip.reports
        and "n000" not in load_gossip.reports
    )
    load_gossip.report_own(400.0, {"full": 2.0})
    load_gossip.tick(400.0)
    assert len(actions.sent) == 2 and all(
        len(reports) == MAX_REPORTS_PER_MESSAGE and reports[0][0] == "a" for _, reports in actions.sent
    )
    assert actions.sent[0][1][0][4] == [1000]  # bounded
    load_gossip.set_members(names[:390], names[:3])
    assert not {"n390", "n399"} & set(load_gossip.reports)
    load_gossip.report_own(401.0, {"full": float("nan")})
    assert load_gossip.reports["a"].values == [-1]


@pytest.mark.parametrize(
    "reports",
    [
        [["b", 1, 1, 0, [5, 5]]],
        [["b", 1, 1, -5, [5]]],
        [["b", 1, 1, 0, [2000]]],
        [["b"]],
        7,
        [["b", "x", 1, 0, [1]]],
        [["b", 1, 1, 0, ["x"]]],
    ],
)
def test_a_malformed_report_is_rejected(reports):
    load_gossip, _ = make_gossip(["b"])
    with pytest.raises((ValueError, TypeError)):
        receive(load_gossip, 0.0, "b", reports)
    assert not load_gossip.reports


def test_false_reports_do_not_move_an_aggregate_past_what_honest_servers_report():
    chance = random.Random(5)
    for _ in range(300):
        count = chance.randint(3, 40)
        liars = (count - 1) // 6 if count > 6 else 1
        names = [f"n{n}" for n in range(count)]
        load_gossip, _ = make_gossip(names)
        honest = []
        for at, name in enumerate(names):
            value = chance.choice((0, 1000)) if at < liars else chance.randint(200, 400)
            honest += [value / 1000.0] if at >= liars else []
            receive(load_gossip, 0.0, name, [[name, 1, 1, chance.randint(0, 900), [value]]])
        aggregate = load_gossip.aggregate(0.0, "full")
        assert min(honest) <= aggregate.value <= max(honest) and aggregate.report_count == count
    load_gossip, _ = make_gossip(["b", "c"])
    receive(load_gossip, 0.0, "b", [["b", 1, 1, 0, [1000]], ["c", 1, 1, 0, [1000]]])
    assert load_gossip.aggregate(0.0, "full") is None  # two say too little


@pytest.mark.parametrize(("count", "loss"), [(3, 0.2), (10, 0.05), (60, 0.2)])
def test_a_change_reaches_all_servers_within_seconds_in_messages_of_bounded_size(count, loss):
    found = gossip.measure_fleet(count, loss)
    assert found["error"] < 0.05 and 0.0 < found["jump_ms"] <= 6000.0 and found["with_liars"] < 0.1
    assert found["bytes_per_s"] < 2500 and found["age_ms"] < 2500


def test_a_partition_leaves_each_side_its_own_reports_and_healing_brings_the_others():
    world = gossip.make_world(12, 0.05, False, lambda now: 0.2)
    world.run(5_000.0)
    half = sorted(world.programs)[:6]
    world.split(half)
    world.run(5_000.0 + REPORT_LIFETIME_MS + 3_000.0)
    for name, program in world.programs.items():
        side = {origin in half for origin in program.gossip.reports}
        assert side == {name in half}
    world.heal()
    world.run(world.now + 5_000.0)
    assert all(len(program.gossip.reports) >= 11 for program in world.programs.values())


def make_policy(count=5):
    names = [f"n{n}" for n in range(count)]
    load_gossip, actions = make_gossip(names, "a", METRICS)
    return load_gossip, FleetSignalPolicy(actions, "a", 1, load_gossip), actions


def report_from_all(load_gossip, now_ms, sequence, **values):
    """All other servers report the same."""
    for name in load_gossip.members:
        quantized = [-1] * len(METRICS)
        for metric, value in values.items():
            index = [known.name for known in METRICS].index(metric)
            quantized[index] = round(1000 * min(value, METRICS[index].maximum) / METRICS[index].maximum)
        receive(load_gossip, now_ms, name, [[name, 1, sequence, 0, quantized]])


def test_a_server_that_has_not_called_yet_acts_on_the_slowdown_that_others_report():
    load_gossip, policy, _ = make_policy()
    assert policy.update(0.0) == policy.update(1.0) and policy.update(2.0).call_slowdown == 1.0
    report_from_all(load_gossip, 100.0, 1, pace=10.0, lost=0.2, well=0.0)
    assert policy.update(100.0).call_slowdown == pytest.approx(10.0, 0.01)
    assert policy.records.state is RecordsState.SLOW
    report_from_all(load_gossip, 200.0, 2, pace=2.0, lost=0.0, well=0.0)
    assert policy.update(200.0).call_slowdown == pytest.approx(2.0, 0.02)  # not yet usual
    report_from_all(load_gossip, 300.0, 3, pace=1.2, lost=0.0, well=0.0)
    assert policy.update(300.0).call_slowdown == 1.0 and policy.records.state is RecordsState.HEALTHY


def test_without_live_reports_the_signals_are_those_of_a_server_without_a_fleet():
    load_gossip, policy, _ = make_policy()
    report_from_all(load_gossip, 0.0, 1, pace=10.0, full=0.9)
    assert policy.update(0.0).is_full
    assert policy.update(REPORT_LIFETIME_MS + 1.0) == FleetSignals(1.0, 1.0, False, 1.0)


def test_an_unavailable_service_is_called_by_holders_of_the_probe_lease_and_by_all_once_it_answers():
    load_gossip, policy, actions = make_policy()
    report_from_all(load_gossip, 0.0, 1, lost=1.0, well=400.0)
    assert policy.update(0.0).call_capacity == 1.0  # a call was answered just now
    report_from_all(load_gossip, 1000.0, 2, lost=1.0, well=1400.0)
    assert policy.update(1000.0).call_capacity == 0.0 and actions.wants_lease
    assert policy.records.state == "unavailable"  # as it is logged
    actions.holds_lease = True
    assert 0.0 < policy.update(1100.0).call_capacity < 0.01
    actions.holds_lease = False
    report_from_all(load_gossip, 2000.0, 3, lost=1.0, well=2400.0)
    assert policy.update(2000.0).call_capacity == 0.0
    report_from_all(load_gossip, 2500.0, 4, lost=0.5, well=10.0)
    policy.update(2500.0)
    assert policy.records.state is RecordsState.RECOVERING and not actions.wants_lease
    capacities = []
    for now_ms in range(2500, 2600, 5):
        report_from_all(load_gossip, float(now_ms), now_ms, lost=0.0, well=1.0)
        capacities.append(policy.update(float(now_ms)).call_capacity)
    assert capacities == sorted(capacities) and capacities[0] < 0.5 and capacities[-1] == 1.0
    assert policy.records.state is RecordsState.HEALTHY


def test_where_no_server_reports_a_probe_a_server_calls_by_itself():
    load_gossip, policy, _ = make_policy()
    report_from_all(load_gossip, 0.0, 1, lost=1.0, well=2000.0)
    assert policy.update(0.0).call_capacity == 0.0
    assert policy.update(PROBE_TIMEOUT_MS - 1.0).call_capacity == 0.0
    policy.update(PROBE_TIMEOUT_MS + 1.0)
    assert policy.records.state is RecordsState.RECOVERING


def test_a_full_fleet_is_signalled_with_hysteresis_and_its_retry_after_factor_is_bounded():
    load_gossip, policy, _ = make_policy()
    report_from_all(load_gossip, 0.0, 1, full=0.4)
    assert not policy.update(0.0).is_full
    for at, (share, factor) in enumerate(((0.6, 2.5), (0.4, 1.67), (0.99, MAX_RETRY_AFTER_FACTOR)), 2):
        report_from_all(load_gossip, float(at), at, full=share)
        signals = policy.update(float(at))
        assert signals.is_full and signals.retry_after_factor == pytest.approx(factor, 0.02)
    report_from_all(load_gossip, 9.0, 9, full=0.1)
    assert not policy.update(9.0).is_full


def test_servers_begin_to_recover_at_different_times_by_their_names():
    delays = set()
    for name in ("s1", "s2", "s3", "s11", "s12"):
        load_gossip = LoadGossip(RecordedActions(), name, 1, METRICS, 3)
        load_gossip.set_members([f"n{n}" for n in range(200)], [])
        policy = FleetSignalPolicy(RecordedActions(), name, 1, load_gossip)
        delays.add(round(policy.records.start_delay_ms()))
    assert len(delays) == 5 and max(delays) <= 402
