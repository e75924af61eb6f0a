"""Load gossip under loss, duplication, partitions, false reports and departures; the signals derived from it.

The reports of the tests are in their encoded form and pass through the codec.
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
    """Records the messages sent, the events and whether the probe lease is requested."""

    def __init__(self):
        self.sent = []
        self.events = []
        self.is_lease_requested = False
        self.holds_lease = False

    def send_load_reports(self, to, reports):
        self.sent.append((to, msgspec.msgpack.decode(msgspec.msgpack.encode(reports))))

    def log_event(self, event, **fields):
        self.events.append((event, fields))

    def request_probe_lease(self):
        self.is_lease_requested = True

    def release_probe_lease(self):
        self.is_lease_requested = self.holds_lease = False

    def holds_probe_lease(self):
        return self.holds_lease


FULL_METRIC = (MetricDefinition("full", 1.0),)


def deliver(load_gossip, now, sender, reports):
    """Deliver a message in its encoded form, as `FleetMember` does."""
    load_gossip.receive(now, sender, decode_reports(reports, len(load_gossip.metrics)))


def sample_values(load_gossip, now, metric):
    return [(sample.value, sample.age_ms) for sample in load_gossip.samples(now, metric)]


def make_gossip(names, name="a", metrics=FULL_METRIC):
    actions = RecordedActions()
    load_gossip = LoadGossip(actions, name, 1, metrics, 3)
    load_gossip.set_members(names, names[:3])
    return load_gossip, actions


def test_only_the_newest_report_of_an_origin_by_incarnation_and_sequence_counts_until_it_expires():
    load_gossip, _ = make_gossip(["b", "c", "d"])
    deliver(load_gossip, 0.0, "b", [["b", 1, 5, 100, [500]]])
    deliver(load_gossip, 1.0, "c", [["b", 1, 4, 0, [900]]])  # late
    deliver(load_gossip, 2.0, "c", [["b", 1, 5, 0, [900]]])  # duplicate
    assert sample_values(load_gossip, 2.0, "full") == [(0.5, 102.0)]
    deliver(load_gossip, 3.0, "c", [["b", 2, 1, 50, [700]]])  # a new incarnation
    assert sample_values(load_gossip, 3.0, "full") == [(0.7, 50.0)]
    deliver(load_gossip, 4.0, "b", [["b", 1, 99, 0, [100]]])
    assert sample_values(load_gossip, 4.0, "full")[0][0] == 0.7
    assert sample_values(load_gossip, 3.0 + REPORT_LIFETIME_MS, "full") == []
    deliver(
        load_gossip,
        5.0,
        "b",
        [["c", 1, 1, REPORT_LIFETIME_MS, [100]], ["a", 1, 9, 0, [100]], ["stranger", 1, 1, 0, [100]]],
    )
    assert len(sample_values(load_gossip, 5.0, "full")) == 1  # expired, own name, not a member


def test_reports_of_members_that_left_are_dropped_and_the_table_and_messages_are_bounded():
    names = [f"n{n:03}" for n in range(400)]
    load_gossip, actions = make_gossip(names)
    for index, name in enumerate(names):
        deliver(load_gossip, float(index), name, [[name, 1, 1, 0, [10]]])
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
    assert actions.sent[0][1][0][4] == [1000]  # clamped
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
        deliver(load_gossip, 0.0, "b", reports)
    assert not load_gossip.reports


def test_false_reports_do_not_move_an_aggregate_out_of_the_range_of_correct_reports():
    rng = random.Random(5)
    for _ in range(300):
        count = rng.randint(3, 40)
        false_count = (count - 1) // 6 if count > 6 else 1
        names = [f"n{n}" for n in range(count)]
        load_gossip, _ = make_gossip(names)
        correct_values = []
        for index, name in enumerate(names):
            value = rng.choice((0, 1000)) if index < false_count else rng.randint(200, 400)
            correct_values += [value / 1000.0] if index >= false_count else []
            deliver(load_gossip, 0.0, name, [[name, 1, 1, rng.randint(0, 900), [value]]])
        aggregate = load_gossip.aggregate(0.0, "full")
        assert (
            min(correct_values) <= aggregate.value <= max(correct_values) and aggregate.report_count == count
        )
    load_gossip, _ = make_gossip(["b", "c"])
    deliver(load_gossip, 0.0, "b", [["b", 1, 1, 0, [1000]], ["c", 1, 1, 0, [1000]]])
    assert load_gossip.aggregate(0.0, "full") is None  # fewer than MIN_REPORTS


@pytest.mark.parametrize(("count", "loss"), [(3, 0.2), (10, 0.05), (60, 0.2)])
def test_a_change_reaches_all_servers_within_seconds_in_messages_of_bounded_size(count, loss):
    measured = gossip.measure_fleet(count, loss)
    assert measured["error"] < 0.05 and 0.0 < measured["jump_ms"] <= 6000.0 and measured["with_liars"] < 0.1
    assert measured["bytes_per_s"] < 2500 and measured["age_ms"] < 2500


def test_each_side_of_a_partition_keeps_only_its_own_reports_until_the_partition_heals():
    world = gossip.make_world(12, 0.05, False, lambda now: 0.2)
    world.run(5_000.0)
    half = sorted(world.programs)[:6]
    world.split(half)
    world.run(5_000.0 + REPORT_LIFETIME_MS + 3_000.0)
    for name, program in world.programs.items():
        sides = {origin in half for origin in program.gossip.reports}
        assert sides == {name in half}
    world.heal()
    world.run(world.now + 5_000.0)
    assert all(len(program.gossip.reports) >= 11 for program in world.programs.values())


def make_policy(count=5):
    names = [f"n{n}" for n in range(count)]
    load_gossip, actions = make_gossip(names, "a", METRICS)
    return load_gossip, FleetSignalPolicy(actions, "a", 1, load_gossip), actions


def report_from_all(load_gossip, now_ms, sequence, **values):
    """Deliver a report with the same values from each other server."""
    for name in load_gossip.members:
        quantized = [-1] * len(METRICS)
        for metric, value in values.items():
            index = [definition.name for definition in METRICS].index(metric)
            quantized[index] = round(1000 * min(value, METRICS[index].maximum) / METRICS[index].maximum)
        deliver(load_gossip, now_ms, name, [[name, 1, sequence, 0, quantized]])


def test_a_server_that_has_not_called_yet_acts_on_the_slowdown_that_others_report():
    load_gossip, policy, _ = make_policy()
    assert policy.update(0.0) == policy.update(1.0) and policy.update(2.0).call_slowdown == 1.0
    report_from_all(load_gossip, 100.0, 1, pace=10.0, lost=0.2, well=0.0)
    assert policy.update(100.0).call_slowdown == pytest.approx(10.0, 0.01)
    assert policy.records_health.state is RecordsState.SLOW
    report_from_all(load_gossip, 200.0, 2, pace=2.0, lost=0.0, well=0.0)
    assert policy.update(200.0).call_slowdown == pytest.approx(2.0, 0.02)  # still slower than usual
    report_from_all(load_gossip, 300.0, 3, pace=1.2, lost=0.0, well=0.0)
    assert policy.update(300.0).call_slowdown == 1.0 and policy.records_health.state is RecordsState.HEALTHY


def test_without_live_reports_the_signals_are_those_of_a_server_without_a_fleet():
    load_gossip, policy, _ = make_policy()
    report_from_all(load_gossip, 0.0, 1, pace=10.0, full=0.9)
    assert policy.update(0.0).is_full
    assert policy.update(REPORT_LIFETIME_MS + 1.0) == FleetSignals(1.0, 1.0, False, 1.0)


def test_only_holders_of_the_probe_lease_call_an_unavailable_service_and_all_servers_once_it_answers():
    load_gossip, policy, actions = make_policy()
    report_from_all(load_gossip, 0.0, 1, lost=1.0, well=400.0)
    assert policy.update(0.0).call_capacity == 1.0  # a call was answered recently
    report_from_all(load_gossip, 1000.0, 2, lost=1.0, well=1400.0)
    assert policy.update(1000.0).call_capacity == 0.0 and actions.is_lease_requested
    assert policy.records_health.state == "unavailable"  # the value in the log
    actions.holds_lease = True
    assert 0.0 < policy.update(1100.0).call_capacity < 0.01
    actions.holds_lease = False
    report_from_all(load_gossip, 2000.0, 3, lost=1.0, well=2400.0)
    assert policy.update(2000.0).call_capacity == 0.0
    report_from_all(load_gossip, 2500.0, 4, lost=0.5, well=10.0)
    policy.update(2500.0)
    assert policy.records_health.state is RecordsState.RECOVERING and not actions.is_lease_requested
    capacities = []
    for now_ms in range(2500, 2600, 5):
        report_from_all(load_gossip, float(now_ms), now_ms, lost=0.0, well=1.0)
        capacities.append(policy.update(float(now_ms)).call_capacity)
    assert capacities == sorted(capacities) and capacities[0] < 0.5 and capacities[-1] == 1.0
    assert policy.records_health.state is RecordsState.HEALTHY


class OutageSimulation:
    """Five servers without a network between them but their reports, and an outage of the records service.

    A server calls as its signals allow; one call at a time is the probe of whoever holds the only lease. A
    call is answered once the outage has ended, else it is lost.
    """

    STEP_MS = 100.0
    REPORT_DELAY_MS = 300.0
    NAMES = tuple(f"n{n}" for n in range(5))

    def __init__(self, outage_ms):
        self.outage_ms = outage_ms
        self.now_ms = 0.0
        self.servers = {}
        self.last_answer_at_ms = dict.fromkeys(self.NAMES, 0.0)
        for name in self.NAMES:
            load_gossip, actions = make_gossip(list(self.NAMES), name, METRICS)
            self.servers[name] = (load_gossip, FleetSignalPolicy(actions, name, 1, load_gossip), actions)
        self.in_flight = []  # (time of arrival, sender, report)

    def step(self):
        """Advance by `STEP_MS`; return the servers that call in this step."""
        self.now_ms += self.STEP_MS
        self._deliver_reports()
        callers = []
        for name, (load_gossip, policy, actions) in self.servers.items():
            actions.holds_lease = actions.is_lease_requested and name == self._lease_holder()
            calls = policy.update(self.now_ms).call_capacity > 0.0
            if calls:
                callers.append(name)
                if self.now_ms > self.outage_ms:
                    self.last_answer_at_ms[name] = self.now_ms
            self._report(name, load_gossip, calls)
        return callers

    def states(self):
        return {policy.records_health.state for _, policy, _ in self.servers.values()}

    def _lease_holder(self):
        return next((name for name, server in self.servers.items() if server[2].is_lease_requested), None)

    def _report(self, name, load_gossip, calls):
        values = {"well": self.now_ms - self.last_answer_at_ms[name]}
        if calls:
            values["lost"] = 1.0 if self.now_ms <= self.outage_ms else 0.0
        load_gossip.report_own(self.now_ms, values)
        report = load_gossip.reports[name]
        encoded = [[name, report.incarnation, report.sequence, self.REPORT_DELAY_MS, report.values]]
        self.in_flight.append((self.now_ms + self.REPORT_DELAY_MS, name, encoded))

    def _deliver_reports(self):
        due = [entry for entry in self.in_flight if entry[0] <= self.now_ms]
        self.in_flight = [entry for entry in self.in_flight if entry[0] > self.now_ms]
        for _, sender, encoded in due:
            for name, (load_gossip, _, _) in self.servers.items():
                if name != sender:
                    deliver(load_gossip, self.now_ms, sender, encoded)


@pytest.mark.parametrize("outage_s", [5, 11, 20, 120])
def test_one_server_probes_in_an_outage_of_any_length(outage_s):
    # Guards against an outage that all servers take for over after some 10 s, the most that a report can say.
    simulation = OutageSimulation(1000.0 * outage_s)
    while simulation.states() != {RecordsState.UNAVAILABLE}:
        simulation.step()
    assert simulation.now_ms <= 2000.0
    while simulation.now_ms < simulation.outage_ms:
        assert len(simulation.step()) == 1
    ended_at_ms = simulation.now_ms
    while simulation.states() != {RecordsState.HEALTHY}:
        simulation.step()
        assert simulation.now_ms - ended_at_ms < 3000.0


def test_a_server_tests_the_service_itself_if_no_server_reports_a_probe():
    load_gossip, policy, _ = make_policy()
    report_from_all(load_gossip, 0.0, 1, lost=1.0, well=2000.0)
    assert policy.update(0.0).call_capacity == 0.0
    assert policy.update(PROBE_TIMEOUT_MS - 1.0).call_capacity == 0.0
    policy.update(PROBE_TIMEOUT_MS + 1.0)
    assert policy.records_health.state is RecordsState.RECOVERING


def test_a_full_fleet_is_signalled_with_hysteresis_and_its_retry_after_factor_is_bounded():
    load_gossip, policy, _ = make_policy()
    report_from_all(load_gossip, 0.0, 1, full=0.4)
    assert not policy.update(0.0).is_full
    for index, (share, factor) in enumerate(((0.6, 2.5), (0.4, 1.67), (0.99, MAX_RETRY_AFTER_FACTOR)), 2):
        report_from_all(load_gossip, float(index), index, full=share)
        signals = policy.update(float(index))
        assert signals.is_full and signals.retry_after_factor == pytest.approx(factor, 0.02)
    report_from_all(load_gossip, 9.0, 9, full=0.1)
    assert not policy.update(9.0).is_full


def test_servers_resume_calls_to_a_recovering_service_at_different_times():
    delays = set()
    for name in ("s1", "s2", "s3", "s11", "s12"):
        load_gossip = LoadGossip(RecordedActions(), name, 1, METRICS, 3)
        load_gossip.set_members([f"n{n}" for n in range(200)], [])
        policy = FleetSignalPolicy(RecordedActions(), name, 1, load_gossip)
        delays.add(round(policy.records_health.start_delay_ms()))
    assert len(delays) == 5 and max(delays) <= 402
