"""Load gossip under loss, duplication, splits, liars and departures; what a server concludes from it.

Reports are written here in their encoded form and go through the codec.
"""

import random

import msgspec
import pytest

from testkit.simulation import gossip
from vetchford.gossip.fleet_signals import (
    MAX_RETRY_AFTER_FACTOR,
    PROBE_TIMEOUT_MS,
    FleetSignalPolicy,
)
from vetchford.gossip.load_gossip import MAX_REPORTS, REPORT_LIFETIME_MS, LoadGossip
from vetchford.gossip.messages import MAX_REPORTS_PER_MESSAGE, decode_reports
from vetchford.gossip.metrics import METRICS, MetricDefinition


class RecordedActions:
    def __init__(self):
        self.sent, self.notes, self.wanted, self.mine = [], [], 0, False

    def send_load_reports(self, to, reports):
        self.sent.append((to, msgspec.msgpack.decode(msgspec.msgpack.encode(reports))))

    def log_event(self, event, **fields):
        self.notes.append((event, fields))

    def request_probe_lease(self):
        self.wanted = True

    def release_probe_lease(self):
        self.wanted = self.mine = False

    def holds_probe_lease(self):
        return self.mine


FULL = (MetricDefinition("full", 1.0),)


def receive(gossip, now, sender, rows):
    """Delivers a message in its encoded form, as `FleetMember` does."""
    gossip.receive(now, sender, decode_reports(rows, len(gossip.metrics)))


def samples(gossip, now, metric):
    return [(sample.value, sample.age_ms) for sample in gossip.samples(now, metric)]


def signals(names, me="a", figures=FULL):
    host = RecordedActions()
    made = LoadGossip(host, me, 1, figures, 3)
    made.set_members(names, names[:3])
    return made, host


def test_a_report_counts_once_by_incarnation_and_sequence_and_expires():
    one, _ = signals(["b", "c", "d"])
    receive(one, 0.0, "b", [["b", 1, 5, 100, [500]]])
    receive(one, 1.0, "c", [["b", 1, 4, 0, [900]]])  # late
    receive(one, 2.0, "c", [["b", 1, 5, 0, [900]]])  # doubled
    assert samples(one, 2.0, "full") == [(0.5, 102.0)]
    receive(one, 3.0, "c", [["b", 2, 1, 50, [700]]])  # a new life
    assert samples(one, 3.0, "full") == [(0.7, 50.0)]
    receive(one, 4.0, "b", [["b", 1, 99, 0, [100]]])
    assert samples(one, 4.0, "full")[0][0] == 0.7
    assert samples(one, 3.0 + REPORT_LIFETIME_MS, "full") == []
    receive(
        one,
        5.0,
        "b",
        [["c", 1, 1, REPORT_LIFETIME_MS, [100]], ["a", 1, 9, 0, [100]], ["stranger", 1, 1, 0, [100]]],
    )
    assert len(samples(one, 5.0, "full")) == 1  # too old, our own name, not of the fleet


def test_reports_of_members_that_left_are_dropped_and_table_and_message_are_bounded():
    names = [f"n{n:03}" for n in range(400)]
    one, host = signals(names)
    for at, name in enumerate(names):
        receive(one, float(at), name, [[name, 1, 1, 0, [10]]])
    assert len(one.reports) == MAX_REPORTS and "n399" in one.reports and "n000" not in one.reports
    one.report_own(400.0, {"full": 2.0})
    one.tick(400.0)
    assert len(host.sent) == 2 and all(
        len(rows) == MAX_REPORTS_PER_MESSAGE and rows[0][0] == "a" for _, rows in host.sent
    )
    assert host.sent[0][1][0][4] == [1000]  # bounded
    one.set_members(names[:390], names[:3])
    assert not {"n390", "n399"} & set(one.reports)
    one.report_own(401.0, {"full": float("nan")})
    assert one.reports["a"].values == [-1]


@pytest.mark.parametrize(
    "rows",
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
def test_a_malformed_report_is_refused(rows):
    one, _ = signals(["b"])
    with pytest.raises((ValueError, TypeError)):
        receive(one, 0.0, "b", rows)
    assert not one.reports


def test_no_liar_moves_an_aggregate_past_what_honest_servers_see():
    chance = random.Random(5)
    for _ in range(300):
        count = chance.randint(3, 40)
        liars = (count - 1) // 6 if count > 6 else 1
        names = [f"n{n}" for n in range(count)]
        one, _ = signals(names)
        honest = []
        for at, name in enumerate(names):
            value = chance.choice((0, 1000)) if at < liars else chance.randint(200, 400)
            honest += [value / 1000.0] if at >= liars else []
            receive(one, 0.0, name, [[name, 1, 1, chance.randint(0, 900), [value]]])
        aggregate = one.aggregate(0.0, "full")
        assert min(honest) <= aggregate.value <= max(honest) and aggregate.report_count == count
    one, _ = signals(["b", "c"])
    receive(one, 0.0, "b", [["b", 1, 1, 0, [1000]], ["c", 1, 1, 0, [1000]]])
    assert one.aggregate(0.0, "full") is None  # two say too little


@pytest.mark.parametrize(("count", "loss"), [(3, 0.2), (10, 0.05), (60, 0.2)])
def test_all_see_a_jump_within_seconds_in_messages_of_one_size(count, loss):
    found = gossip.measure_fleet(count, loss)
    assert found["error"] < 0.05 and 0.0 < found["jump_ms"] <= 6000.0 and found["with_liars"] < 0.1
    assert found["bytes_per_s"] < 2500 and found["age_ms"] < 2500


def test_a_split_leaves_each_side_its_own_and_healing_brings_the_rest():
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


def concluding(count=5):
    names = [f"n{n}" for n in range(count)]
    one, host = signals(names, "a", METRICS)
    return one, FleetSignalPolicy(host, "a", 1, one), host


def say(one, now, sequence, **figures):
    """All others tell the same."""
    for name in one.members:
        values = [-1] * len(METRICS)
        for figure, value in figures.items():
            at = [known.name for known in METRICS].index(figure)
            values[at] = round(1000 * min(value, METRICS[at].maximum) / METRICS[at].maximum)
        receive(one, now, name, [[name, 1, sequence, 0, values]])


def test_a_server_that_has_not_called_yet_acts_on_what_the_others_see():
    one, concludes, host = concluding()
    assert concludes.update(0.0) == concludes.update(1.0) and concludes.update(2.0).call_slowdown == 1.0
    say(one, 100.0, 1, pace=10.0, lost=0.2, well=0.0)
    assert concludes.update(100.0).call_slowdown == pytest.approx(10.0, 0.01) and concludes.state == "slow"
    say(one, 200.0, 2, pace=2.0, lost=0.0, well=0.0)
    assert concludes.update(200.0).call_slowdown == pytest.approx(2.0, 0.02)  # not yet usual
    say(one, 300.0, 3, pace=1.2, lost=0.0, well=0.0)
    assert concludes.update(300.0).call_slowdown == 1.0 and concludes.state == "well"


def test_without_recent_reports_a_server_decides_alone():
    one, concludes, _ = concluding()
    say(one, 0.0, 1, pace=10.0, full=0.9)
    assert concludes.update(0.0).is_full
    numbers = concludes.update(REPORT_LIFETIME_MS + 1.0)
    assert (numbers.call_slowdown, numbers.call_capacity, numbers.is_full, numbers.retry_after_factor) == (
        1.0,
        1.0,
        False,
        1.0,
    )


def test_a_dead_service_is_called_by_holders_of_the_lease_alone_and_by_all_once_it_answers():
    one, concludes, host = concluding()
    say(one, 0.0, 1, lost=1.0, well=400.0)
    assert (
        concludes.update(0.0).call_capacity == 1.0
    )  # somebody was answered just now: no service is dead then
    say(one, 1000.0, 2, lost=1.0, well=1400.0)
    assert concludes.update(1000.0).call_capacity == 0.0 and host.wanted
    host.mine = True
    assert 0.0 < concludes.update(1100.0).call_capacity < 0.01
    host.mine = False
    say(one, 2000.0, 3, lost=1.0, well=2400.0)
    assert concludes.update(2000.0).call_capacity == 0.0
    say(one, 2500.0, 4, lost=0.5, well=10.0)
    concludes.update(2500.0)
    assert concludes.state == "opening" and not host.wanted
    rooms = []
    for at in range(2500, 2600, 5):
        say(one, float(at), at, lost=0.0, well=1.0)
        rooms.append(concludes.update(float(at)).call_capacity)
    assert rooms == sorted(rooms) and rooms[0] < 0.5 and rooms[-1] == 1.0 and concludes.state == "well"


def test_where_nobody_reports_a_probe_a_server_calls_by_itself():
    one, concludes, host = concluding()
    say(one, 0.0, 1, lost=1.0, well=2000.0)
    assert concludes.update(0.0).call_capacity == 0.0
    assert concludes.update(PROBE_TIMEOUT_MS - 1.0).call_capacity == 0.0
    concludes.update(PROBE_TIMEOUT_MS + 1.0)
    assert concludes.state == "opening"


def test_a_full_fleet_is_told_and_its_retry_after_factor_is_bounded():
    one, concludes, _ = concluding()
    say(one, 0.0, 1, full=0.4)
    assert not concludes.update(0.0).is_full
    for at, (share, stretch) in enumerate(((0.6, 2.5), (0.4, 1.67), (0.99, MAX_RETRY_AFTER_FACTOR)), 2):
        say(one, float(at), at, full=share)
        numbers = concludes.update(float(at))
        assert numbers.is_full and numbers.retry_after_factor == pytest.approx(stretch, 0.02)
    say(one, 9.0, 9, full=0.1)
    assert not concludes.update(9.0).is_full


def test_servers_begin_to_recover_apart_by_their_names():
    starts = set()
    for name in ("s1", "s2", "s3", "s11", "s12"):
        one = LoadGossip(RecordedActions(), name, 1, METRICS, 3)
        one.set_members([f"n{n}" for n in range(200)], [])
        starts.add(round(FleetSignalPolicy(RecordedActions(), name, 1, one).start_delay()))
    assert len(starts) == 5 and max(starts) <= 402
