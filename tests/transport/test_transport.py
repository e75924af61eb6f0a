"""Sessions: incarnations, sequence numbers, unresponsive peers, backoff, bounds; and the codec of frames."""

import random

import pytest
from helpers import ROOT

from vetchford.transport import framing, handshake
from vetchford.transport.backoff import MAX_BACKOFF_MS
from vetchford.transport.faults import FrameFault, LinkFailure, LoggedReason
from vetchford.transport.framing import Envelope, FrameError
from vetchford.transport.handshake import Handshake
from vetchford.transport.outbox import Outbox
from vetchford.transport.peers import Identity, LinkState
from vetchford.transport.replay_window import WINDOW_SIZE, ReplayWindow
from vetchford.transport.session_manager import SessionManager
from vetchford.transport.timing import (
    GIVE_UP_TIMEOUT_MS,
    HANDSHAKE_TIMEOUT_MS,
    SILENCE_TIMEOUT_MS,
)

# Terms under which link failures were logged before; they differed from the values.
FORMER_LOG_TERMS = {
    LinkFailure.NO_HANDSHAKE: "mute",
    LinkFailure.UNRESPONSIVE: "silent",
    LinkFailure.REPLACED: "replaced",
    LinkFailure.INCARNATION_CHANGED: "incarnation_changed",  # not logged before
}


class RecordedSessions:
    """The sessions of one process, with recorded actions; `receive_frame` delivers a frame from a peer."""

    def __init__(self, name="a", others=("b", "c"), incarnation=3, streams=True):
        self.written, self.closed_links, self.connections, self.counted = [], [], [], []
        self.delivered, self.peer_incarnations, self.later_incarnations = [], [], []
        identity = Identity("pay", name, incarnation, 77)
        addresses = {other: "10.0.0.1" for other in others}
        self.sessions = SessionManager(self, identity, addresses, 1, streams)
        self.sequences = {}

    def connect(self, peer, link):
        self.connections.append((peer, link))

    def write(self, link, kind, body, sequence):
        self.written.append((link, kind, body, sequence))
        return True

    def close_link(self, link):
        self.closed_links.append(link)

    def deliver(self, peer, kind, body):
        self.delivered.append((peer, kind, body))

    def on_link_state(self, peer, state):
        pass

    def on_peer_incarnation(self, peer, incarnation, nonce):
        self.peer_incarnations.append((peer, incarnation))

    def on_later_incarnation(self, incarnation, nonce):
        self.later_incarnations.append(incarnation)

    def count_event(self, name, **fields):
        self.counted.append((name, fields.get("why", "")))

    def receive_frame(
        self, now, link, kind, body=None, sender="b", incarnation=5, nonce=9, sequence=None, fleet="pay"
    ):
        if sequence is None:
            sequence = self.sequences[link] = self.sequences.get(link, 0) + 1
        self.sessions.receive(now, link, Envelope(fleet, sender, incarnation, nonce, sequence, kind, body))

    def tick_until(self, end_ms):
        while self.sessions.last_tick_at_ms < end_ms:
            self.sessions.tick(self.sessions.last_tick_at_ms + 100.0)

    def connect_to_b(self, now=0.0):
        """Establish a stream that this process opens to b; return its link number."""
        self.sessions.tick(now)
        link = next(link for peer, link in self.connections[::-1] if peer == "b")
        self.sessions.on_connected(now, link)
        self.receive_frame(now, link, "hello", {"to": self.sessions.identity.name, "knows": [0, 0]})
        return link


def test_a_pair_has_one_stream_which_the_process_whose_name_sorts_first_opens():
    first, second = RecordedSessions("a", ["b"]), RecordedSessions("b", ["a"])
    first.sessions.tick(0.0)
    second.sessions.tick(0.0)
    assert len(first.connections) == 1 and not second.connections
    link = second.sessions.on_accepted(0.0, "10.0.0.1")
    second.receive_frame(0.0, link, "hello", {"to": "b", "knows": [3, 77]}, sender="a")
    assert second.sessions.peers["a"].state is LinkState.UP and second.written[0][1] == "hello"
    newer = second.sessions.on_accepted(1.0, "10.0.0.1")
    second.receive_frame(1.0, newer, "hello", {"to": "b", "knows": [3, 77]}, sender="a")
    assert second.closed_links == [link] and second.sessions.peers["a"].link == newer


def test_a_peer_without_a_handshake_and_one_that_refuses_connections_have_different_failures():
    local = RecordedSessions()
    local.sessions.tick(0.0)
    refused_link, silent_link = (link for _, link in local.connections)
    local.sessions.on_closed(1.0, refused_link, "no connection: Connection refused")
    local.sessions.on_connected(1.0, silent_link)
    assert local.sessions.peers["c"].state is LinkState.HANDSHAKING
    local.tick_until(HANDSHAKE_TIMEOUT_MS + 100.0)
    table = {name: peer.last_failure for name, peer in local.sessions.peers.items()}
    assert table["b"] == "no connection: Connection refused"
    assert table["c"] == "connected, and no word came" and ("peer_dropped", "no_handshake") in local.counted


def test_the_link_of_a_silent_peer_is_closed_only_after_the_give_up_timeout():
    local = RecordedSessions(others=["b"])
    link = local.connect_to_b()
    for now in range(100, int(SILENCE_TIMEOUT_MS) + 200, 100):
        local.sessions.tick(float(now))
    assert local.sessions.peers["b"].state is LinkState.SILENT
    local.receive_frame(2800.0, link, "beat")
    assert local.sessions.peers["b"].state is LinkState.UP
    for now in range(2900, int(2800 + GIVE_UP_TIMEOUT_MS) + 200, 100):
        local.sessions.tick(float(now))
    assert (
        local.sessions.peers["b"].state is LinkState.OFF and ("peer_dropped", "unresponsive") in local.counted
    )


def test_a_process_that_was_suspended_keeps_its_links():
    local = RecordedSessions(others=["b"])
    local.connect_to_b()
    local.sessions.tick(100.0)
    local.sessions.tick(31_000.0)
    assert local.sessions.peers["b"].state is LinkState.UP


@pytest.mark.parametrize(
    ("sender_fields", "why"),
    [
        ({"fleet": "other"}, "other_fleet"),
        ({"sender": "x"}, "unknown_peer"),
        ({"sender": "c"}, "wrong_sender"),
    ],
)
def test_frames_of_unknown_or_wrong_senders_are_refused_and_counted(sender_fields, why):
    local = RecordedSessions()
    link = local.connect_to_b()
    local.receive_frame(1.0, link, "news", **sender_fields)
    assert not local.delivered and ("peer_refused", why) in local.counted and link in local.closed_links


def test_an_unlisted_address_and_too_many_pending_connections_are_refused():
    local = RecordedSessions("z", ["b"])
    assert local.sessions.on_accepted(0.0, "10.9.9.9") == 0
    link_numbers = [local.sessions.on_accepted(0.0, "10.0.0.1") for _ in range(10)]
    assert link_numbers.count(0) == 6
    local.tick_until(HANDSHAKE_TIMEOUT_MS + 100.0)
    assert not local.sessions.links


def test_peers_with_a_stale_incarnation_or_duplicate_identity_are_refused_and_sent_the_known_one():
    local = RecordedSessions("z", ["b"])
    link = local.sessions.on_accepted(0.0, "10.0.0.1")
    local.receive_frame(0.0, link, "hello", {"to": "z", "knows": [0, 0]}, incarnation=5)
    assert local.peer_incarnations == [("b", 5)]
    for incarnation, nonce, why in ((4, 9, "stale_incarnation"), (5, 8, "duplicate_identity")):
        stale_link = local.sessions.on_accepted(1.0, "10.0.0.1")
        local.receive_frame(
            1.0, stale_link, "hello", {"to": "z", "knows": [0, 0]}, incarnation=incarnation, nonce=nonce
        )
        local.receive_frame(1.0, stale_link, "news", "old", incarnation=incarnation, nonce=nonce)
        assert ("peer_of_another_life", why) in local.counted and not local.delivered
        assert [message[2] for message in local.written if message[0] == stale_link] == [
            {"to": "b", "knows": [5, 9]}
        ]
    assert local.sessions.peers["b"].link == link
    local.receive_frame(2.0, link, "news", "of now")
    assert local.delivered == [("b", "news", "of now")]


def test_a_later_incarnation_of_this_process_that_a_peer_knows_is_reported():
    local = RecordedSessions(others=["b"], incarnation=3)
    local.sessions.tick(0.0)
    link = local.connections[0][1]
    local.sessions.on_connected(0.0, link)
    local.receive_frame(0.0, link, "hello", {"to": "a", "knows": [3, 77]})
    assert not local.later_incarnations  # the incarnation of this process
    local.sessions.compare_incarnation(3, 78)
    local.sessions.compare_incarnation(7, 1)
    assert local.later_incarnations == [3, 7]


def test_duplicate_messages_are_dropped_and_gaps_are_counted():
    local = RecordedSessions(others=["b"])
    link = local.connect_to_b()
    local.receive_frame(1.0, link, "news", 1, sequence=2)
    local.receive_frame(1.0, link, "news", 1, sequence=2)
    local.receive_frame(1.0, link, "news", 2, sequence=9)
    assert [body for _, _, body in local.delivered] == [1, 2]
    assert {why for name, why in local.counted if name == "peer_out_of_sequence"} == {"duplicate", "gap"}


def test_backoff_doubles_to_its_bound_with_jitter():
    backoffs_ms = []
    local = RecordedSessions(others=["b"])
    for n in range(12):
        local.sessions.tick(1e6 * n)
        local.sessions.on_closed(1e6 * n, local.connections[-1][1], "refused")
        backoffs_ms.append(local.sessions.peers["b"].next_contact_at_ms - 1e6 * n)
    assert backoffs_ms[0] < 400.0 and 0.5 * MAX_BACKOFF_MS <= backoffs_ms[-1] <= 1.5 * MAX_BACKOFF_MS
    assert len({round(backoff, 3) for backoff in backoffs_ms}) == 12
    assert len(local.connections) == 12 and not local.sessions.links


def test_a_replay_window_accepts_each_number_once_in_any_order_like_a_set():
    rng, replay_window, seen = random.Random(4), ReplayWindow(), set()
    newest = 0
    for _ in range(20_000):
        sequence = max(1, newest + rng.randint(-WINDOW_SIZE - 20, 6))
        expected = "late" if newest - sequence >= WINDOW_SIZE else "doubled" if sequence in seen else ""
        assert (replay_window.check_and_mark(sequence) or "") == expected
        if not expected:
            seen.add(sequence)
        newest = max(newest, sequence)


def test_an_outbox_is_bounded_and_drops_its_oldest_repeated_message_first():
    outbox = Outbox(max_messages=4, max_bytes=100)
    for n, kind in enumerate(("look", "book", "look", "book")):
        outbox.put(kind, b"%d" % n)
    assert outbox.put("order", b"4") == 1 and [data for _, data in outbox.messages] == [
        b"1",
        b"2",
        b"3",
        b"4",
    ]
    outbox.put("order", b"5")
    assert [data for _, data in outbox.messages] == [b"1", b"3", b"4", b"5"]
    outbox.put("order", b"6")  # no repeated kind is left: the oldest
    assert outbox.take() == b"3" and outbox.dropped == 3
    assert outbox.put("book", b"x" * 200) == 3 and outbox.bytes == 200  # the added message is never dropped
    assert outbox.take() and outbox.bytes == 0 and outbox.take() is None


def test_frames_are_decoded_from_a_stream_split_at_any_position():
    stream, rng = framing.StreamDecoder(), random.Random(2)
    envelopes = [Envelope("pay", "a", 1, 2, n, "news", {"x": ["y" * n, None, 1.5]}) for n in range(60)]
    data = b"".join(map(framing.encode_frame, envelopes))
    decoded, position = [], 0
    while position < len(data):
        step = rng.randint(1, 200)
        decoded += stream.feed(data[position : position + step])
        position += step
    assert decoded == envelopes and not stream.unread


def test_decoding_an_invalid_frame_raises_an_error_with_its_fault():
    valid = framing.encode_frame(Envelope("pay", "a", 1, 2, 3, "news", None))
    assert framing.decode_datagram(valid).sequence == 3
    fault_of_data = {
        b"": "no_frame",
        b"GET / HTTP/1.1\r\n\r\n": "no_frame",
        valid[:2] + b"\x09" + valid[3:]: "other_version",
        valid[:4] + b"\xff" * 4 + valid[8:]: "too_long",
        valid[:-1] + b"\x00": "spoilt",
        valid + b"x": "malformed",
    }
    for data, fault in fault_of_data.items():
        with pytest.raises(FrameError, match=fault):
            framing.decode_datagram(data)
    rng = random.Random(3)
    for _ in range(2000):
        corrupted = bytearray(valid)
        corrupted[rng.randrange(len(valid))] ^= 1 << rng.randrange(8)
        try:
            assert framing.decode_datagram(bytes(corrupted)).sequence == 3  # the reserved byte is ignored
        except FrameError as problem:
            assert str(problem) in set(FrameFault) and problem.fault == str(problem)


def test_without_streams_there_are_no_links_and_a_stale_sender_is_sent_its_known_incarnation_rarely():
    local = RecordedSessions(streams=False)
    notices = []
    local.send_known_incarnation = lambda *given: notices.append(given)
    local.sessions.tick(0.0)
    assert not local.connections and not local.sessions.on_accepted(0.0, "10.0.0.1")
    assert local.sessions.accept_datagram(1000.0, "10.0.0.1", Envelope("pay", "b", 9, 4, 1, "news", None))
    for offset_ms in range(10):  # the sender's clock went back, or two processes have its name
        assert not local.sessions.accept_datagram(
            1000.0 + offset_ms, "10.0.0.1", Envelope("pay", "b", 8, 5, offset_ms + 2, "news", 0)
        )
    assert notices == [("b", 9, 4)]
    assert not local.sessions.accept_datagram(
        1300.0, "10.0.0.1", Envelope("pay", "b", 8, 5, 20, "news", None)
    )
    assert len(notices) == 2
    local.sessions.compare_incarnation(9, 4)
    assert local.later_incarnations == [9]


def test_a_handshake_frame_has_the_bytes_of_the_first_version():
    """During a rolling upgrade two versions exchange handshakes; these bytes were written by the first."""
    written = bytes.fromhex(
        "766601000000001fc8d45cca1538d2f397a3706179a161010203a568656c6c6f82a2746fa162a56b6e6f7773920509"
    )
    envelope = Envelope("pay", "a", 1, 2, 3, handshake.KIND, handshake.encode("b", 5, 9))
    assert framing.encode_frame(envelope) == written
    read = framing.decode_datagram(written)
    assert read == envelope and handshake.decode(read.body) == Handshake("b", (5, 9))


@pytest.mark.parametrize("body", [None, [], {}, {"to": None}, {"to": 5, "knows": [1, 2]}], ids=str)
def test_a_body_that_is_not_a_handshake_decodes_to_none(body):
    assert handshake.decode(body) is None


@pytest.mark.parametrize("knows", [None, [], [1], [1, 2, 3], ["1", 2], {"1": 2}], ids=str)
def test_a_malformed_incarnation_in_a_handshake_decodes_to_none(knows):
    assert handshake.decode({"to": "b", "knows": knows}) == Handshake("b", None)


REASONS = [reason for kind in LoggedReason.__subclasses__() for reason in kind]


@pytest.mark.parametrize("reason", REASONS, ids=lambda reason: f"{type(reason).__name__}.{reason.name}")
def test_each_log_term_that_differs_from_the_former_one_is_on_the_page_of_log_events(reason):
    page = (ROOT / "docs" / "operate" / "log-events.md").read_text()
    term = reason.log_term
    assert term == term.lower() and " " not in term
    former_term = FORMER_LOG_TERMS.get(reason, reason.value)
    assert former_term == term or f"| `{former_term}` | `{term}` |" in page
