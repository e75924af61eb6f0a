"""Leases in virtual time under faults: one elected server, slots and fencing tokens.

The messages of the tests are in their encoded form, and pass through the codec in both directions.
"""

import msgspec
import pytest

from testkit.simulation.leases import MUTATIONS, SERVERS, LeaseSimulation, schedules_until_caught
from vetchford.leases import messages
from vetchford.leases.lease_client import LeaseClient
from vetchford.leases.lease_server import LeaseServer
from vetchford.leases.timing import LEADER_LEASE_MS, LEASE_MS, MAX_CLOCK_RATE_RATIO


def wire_form(message):
    """Return the map that the receiver decodes."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(messages.encode(message)))


class RecordedActions:
    """Records the messages sent, in their encoded form, and the events."""

    def __init__(self):
        self.sent, self.events = [], []

    def send_lease_message(self, to, message):
        self.sent.append((to, wire_form(message)))

    def log_event(self, event, **fields):
        self.events.append(event)

    def take(self, kind):
        messages_of_kind = [(to, body) for to, body in self.sent if body["do"] == kind]
        self.sent = []
        return messages_of_kind


def deliver(process, now, sender, body):
    """Deliver a message in its encoded form, as `FleetMember` does."""
    message = messages.decode(body)
    if message is not None:
        process.receive(now, sender, message)


def make_leader(now=10_000.0, capacity=2):
    """Return a leader that is the only lease server and may grant leases, and its recorded actions."""
    actions = RecordedActions()
    server = LeaseServer(actions, "k", ["k"], {"deep": capacity}, 1, 100, 0.0)
    server.tick(now)
    for _ in range(2):  # the request for its own vote, then the vote
        sent, actions.sent = actions.sent, []
        for _, message in sent:
            deliver(server, now, "k", message)
    assert server.leads(now)
    server.grants_from_ms = now
    actions.sent = []
    return server, actions


def acquire_request(sequence=1, request_number=1, incarnation=1, zone=""):
    return {
        "do": "want",
        "turn": "deep",
        "life": incarnation,
        "wish": request_number,
        "zone": zone,
        "number": sequence,
    }


def test_under_faults_at_most_k_clients_hold_leases_and_tokens_increase_and_granting_resumes_after_healing():
    fault_counts = {}
    for seed in range(1, 13):
        simulation = LeaseSimulation(seed, loss=0.05, duplicate_rate=0.1)
        simulation.run_with_faults(90.0)
        acquired_before = sum(simulation.acquired.values())
        simulation.heal()
        simulation.world.run(simulation.world.now + 30_000.0)
        assert not simulation.violations, (seed, simulation.violations[:3])
        assert sum(simulation.acquired.values()) >= acquired_before + 3, (
            seed,
            "no lease was granted after the faults ended",
        )
        for kind, count in simulation.faults.items():
            fault_counts[kind] = fault_counts.get(kind, 0) + count
    assert len(fault_counts) == 10 and min(fault_counts.values()) >= 10  # each kind of fault occurred


@pytest.mark.parametrize("mutation", sorted(MUTATIONS))
def test_the_checker_detects_a_mutation_of_the_protocol(mutation):
    assert schedules_until_caught(mutation)


def test_two_simulations_with_the_same_seed_are_identical():
    first_run, second_run = LeaseSimulation(3, loss=0.05), LeaseSimulation(3, loss=0.05)
    first_run.run_with_faults(60.0)
    second_run.run_with_faults(60.0)
    assert (
        first_run.world.sent == second_run.world.sent
        and first_run.acquired == second_run.acquired
        and first_run.newest_token == second_run.newest_token
    )


def test_without_faults_all_clients_are_granted_similar_numbers_of_leases():
    simulation = LeaseSimulation(5, count=9, capacity=1, zones=3)
    simulation.world.run(300_000.0)
    assert (
        not simulation.violations
        and len(simulation.acquired) == 9
        and max(simulation.acquired.values()) <= 1.5 * min(simulation.acquired.values())
    )


def test_a_server_that_has_just_started_does_not_vote_and_does_not_become_a_candidate():
    actions = RecordedActions()
    server = LeaseServer(actions, "k1", ["k1", "k2", "k3"], {"deep": 1}, 1, 100, 0.0)
    vote = {"do": "vote", "term": 100_000, "number": 1}
    deliver(server, LEADER_LEASE_MS * MAX_CLOCK_RATE_RATIO - 1.0, "k2", vote)
    server.tick(LEADER_LEASE_MS * MAX_CLOCK_RATE_RATIO - 1.0)
    assert [body["do"] for _, body in actions.sent] == ["no_vote"]
    deliver(server, LEADER_LEASE_MS * MAX_CLOCK_RATE_RATIO, "k2", vote)
    assert actions.sent[-1][1]["do"] == "voted"
    deliver(
        server, LEADER_LEASE_MS * MAX_CLOCK_RATE_RATIO + 1.0, "k3", {**vote, "term": 200_000}
    )  # while the other candidate's leader lease may be valid
    assert actions.sent[-1][1]["do"] == "no_vote"


def test_the_slot_of_a_holder_that_died_is_granted_again_once_its_lease_expires():
    server, actions = make_leader(capacity=1)
    deliver(server, 10_000.0, "a", acquire_request())
    deliver(server, 10_001.0, "b", acquire_request())
    assert [to for to, _ in actions.take("yours")] == ["a"]
    server.election.leads_until_ms = 1e9
    for at in range(10_500, 13_751, 250):  # b keeps polling
        deliver(server, float(at), "b", acquire_request(sequence=at))
        server.tick(float(at))
    leases_of_b = [body for to, body in actions.take("yours") if to == "b"]
    assert leases_of_b and "lease_expired" in actions.events


def test_zones_are_granted_leases_in_rotation_and_clients_of_a_zone_in_order_of_request():
    server, actions = make_leader(capacity=1)
    for at, (name, zone) in enumerate((("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("c1", "c"))):
        deliver(server, 10_000.0 + at, name, acquire_request(zone=zone))
    order = []
    for at in range(5):
        ((to, body),) = actions.take("yours")
        order.append(to)
        deliver(
            server,
            10_010.0 + at,
            to,
            {"do": "done", "turn": "deep", "fence": body["fence"], "life": 1, "wish": 1},
        )
    assert order == ["a1", "b1", "c1", "a2", "a3"]


def test_a_request_that_overtakes_the_release_of_the_previous_lease_gets_a_new_lease():
    # Renewal, release and the next request arrive in the wrong order, 2 s late (simulated schedule 15): a
    # leader that answers the new request with the old lease takes it away at the release.
    server, actions = make_leader(capacity=1)
    deliver(server, 10_000.0, "a", acquire_request(sequence=1, request_number=1))
    ((_, first),) = actions.take("yours")
    deliver(server, 10_100.0, "a", acquire_request(sequence=9, request_number=5))
    ((_, second),) = actions.take("yours")
    assert second["fence"] > first["fence"] and second["mark"] == [1, 5]
    deliver(
        server, 10_200.0, "a", {"do": "done", "turn": "deep", "fence": first["fence"], "life": 1, "wish": 1}
    )
    deliver(server, 10_300.0, "b", acquire_request())
    assert not actions.take("yours")  # the slot is still held under the second request


def test_a_holder_that_was_suspended_detects_the_expiry_of_its_lease_before_it_uses_the_lease():
    actions = RecordedActions()
    client = LeaseClient(actions, "a", SERVERS, "", 1)
    client.acquire(0.0, "deep")
    ((to, message),) = actions.take("want")
    deliver(
        client,
        900.0,
        to,
        {
            "do": "yours",
            "turn": "deep",
            "slot": 0,
            "fence": 7,
            "term": 1,
            "number": message["number"],
            "mark": [1, message["wish"]],
        },
    )
    assert client.fencing_token(LEASE_MS - 1.0, "deep") == 7
    assert client.fencing_token(LEASE_MS, "deep") == 0  # counted from the request, not from the answer
    client.tick(LEASE_MS)
    assert "lease_lost" in actions.events and actions.take("want")  # requests another lease
    deliver(
        client,
        LEASE_MS + 1.0,
        to,
        {
            "do": "yours",
            "turn": "deep",
            "slot": 0,
            "fence": 7,
            "term": 1,
            "number": message["number"],
            "mark": [1, message["wish"]],
        },
    )
    assert client.fencing_token(LEASE_MS + 1.0, "deep") == 0  # a repetition of the old answer grants nothing


def test_messages_of_another_request_or_term_or_lease_name_or_of_an_unknown_kind_are_ignored():
    server, actions = make_leader(capacity=1)
    deliver(server, 10_000.0, "a", acquire_request(request_number=2))
    ((_, granted),) = actions.take("yours")
    for message in (
        acquire_request(request_number=1),
        {
            **acquire_request(),
            "do": "renew",
            "slot": 0,
            "fence": granted["fence"],
            "term": server.election.term - 1,
        },
        {**acquire_request(), "do": "renew", "slot": 5, "fence": 1, "term": server.election.term},
        {**acquire_request(), "turn": "unknown"},
        {"do": "no such word", "turn": "deep"},
    ):
        deliver(server, 10_001.0, "a", message)
    assert not actions.take("yours")
    assert [lease.fencing_token for lease in server.pools["deep"].leases.values()] == [granted["fence"]]
