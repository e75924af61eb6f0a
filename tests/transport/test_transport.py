"""Sessions: incarnations, sequences, unresponsive peers, backoff, bounds; and the codec of frames."""

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

# Why a link was given up was logged by words of its own, not by the value.
LOGGED_BEFORE = {
    LinkFailure.NO_HANDSHAKE: "mute",
    LinkFailure.UNRESPONSIVE: "silent",
    LinkFailure.REPLACED: "replaced",
    LinkFailure.INCARNATION_CHANGED: "incarnation_changed",  # was not logged
}


class Side:
    """A process whose actions are recorded; `give` delivers what the other side sends."""

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

    def give(
        self, now, link, kind, body=None, sender="b", incarnation=5, nonce=9, sequence=None, fleet="pay"
    ):
        if sequence is None:
            sequence = self.sequences[link] = self.sequences.get(link, 0) + 1
        self.sessions.receive(now, link, Envelope(fleet, sender, incarnation, nonce, sequence, kind, body))

    def wait(self, until):
        while self.sessions.last_tick_at_ms < until:
            self.sessions.tick(self.sessions.last_tick_at_ms + 100.0)

    def up(self, now=0.0):
        """A stream with b, called for by us."""
        self.sessions.tick(now)
        link = next(link for peer, link in self.connections[::-1] if peer == "b")
        self.sessions.on_connected(now, link)
        self.give(now, link, "hello", {"to": self.sessions.identity.name, "knows": [0, 0]})
        return link


def test_a_pair_has_one_stream_which_the_first_by_name_connects():
    first, second = Side("a", ["b"]), Side("b", ["a"])
    first.sessions.tick(0.0)
    second.sessions.tick(0.0)
    assert len(first.connections) == 1 and not second.connections
    link = second.sessions.on_accepted(0.0, "10.0.0.1")
    second.give(0.0, link, "hello", {"to": "b", "knows": [3, 77]}, sender="a")
    assert second.sessions.peers["a"].state is LinkState.UP and second.written[0][1] == "hello"
    newer = second.sessions.on_accepted(1.0, "10.0.0.1")
    second.give(1.0, newer, "hello", {"to": "b", "knows": [3, 77]}, sender="a")
    assert second.closed_links == [link] and second.sessions.peers["a"].link == newer


def test_a_peer_that_sends_no_handshake_is_told_apart_from_one_that_refuses_connections():
    side = Side()
    side.sessions.tick(0.0)
    gone, mute = (link for _, link in side.connections)
    side.sessions.on_closed(1.0, gone, "no connection: Connection refused")
    side.sessions.on_connected(1.0, mute)
    assert side.sessions.peers["c"].state is LinkState.HANDSHAKING
    side.wait(HANDSHAKE_TIMEOUT_MS + 100.0)
    table = {name: peer.last_failure for name, peer in side.sessions.peers.items()}
    assert table["b"] == "no connection: Connection refused"
    assert table["c"] == "connected, and no word came" and ("peer_dropped", "no_handshake") in side.counted


def test_a_silent_peer_keeps_its_stream_for_a_while_and_is_then_given_up():
    side = Side(others=["b"])
    link = side.up()
    for now in range(100, int(SILENCE_TIMEOUT_MS) + 200, 100):
        side.sessions.tick(float(now))
    assert side.sessions.peers["b"].state is LinkState.SILENT
    side.give(2800.0, link, "beat")
    assert side.sessions.peers["b"].state is LinkState.UP
    for now in range(2900, int(2800 + GIVE_UP_TIMEOUT_MS) + 200, 100):
        side.sessions.tick(float(now))
    assert (
        side.sessions.peers["b"].state is LinkState.OFF and ("peer_dropped", "unresponsive") in side.counted
    )


def test_a_process_that_was_suspended_gives_up_no_peer():
    side = Side(others=["b"])
    side.up()
    side.sessions.tick(100.0)
    side.sessions.tick(31_000.0)
    assert side.sessions.peers["b"].state is LinkState.UP


@pytest.mark.parametrize(
    ("given", "why"),
    [
        ({"fleet": "other"}, "other_fleet"),
        ({"sender": "x"}, "unknown_peer"),
        ({"sender": "c"}, "wrong_sender"),
    ],
)
def test_unknown_peers_are_refused_and_counted(given, why):
    side = Side()
    link = side.up()
    side.give(1.0, link, "news", **given)
    assert not side.delivered and ("peer_refused", why) in side.counted and link in side.closed_links


def test_an_unlisted_address_and_too_many_pending_connections_are_refused():
    side = Side("z", ["b"])
    assert side.sessions.on_accepted(0.0, "10.9.9.9") == 0
    taken = [side.sessions.on_accepted(0.0, "10.0.0.1") for _ in range(10)]
    assert taken.count(0) == 6
    side.wait(HANDSHAKE_TIMEOUT_MS + 100.0)
    assert not side.sessions.links


def test_stale_incarnations_and_duplicate_identities_are_refused_and_told_which_is_known():
    side = Side("z", ["b"])
    link = side.sessions.on_accepted(0.0, "10.0.0.1")
    side.give(0.0, link, "hello", {"to": "z", "knows": [0, 0]}, incarnation=5)
    assert side.peer_incarnations == [("b", 5)]
    for incarnation, nonce, why in ((4, 9, "stale_incarnation"), (5, 8, "duplicate_identity")):
        late = side.sessions.on_accepted(1.0, "10.0.0.1")
        side.give(1.0, late, "hello", {"to": "z", "knows": [0, 0]}, incarnation=incarnation, nonce=nonce)
        side.give(1.0, late, "news", "old", incarnation=incarnation, nonce=nonce)
        assert ("peer_of_another_life", why) in side.counted and not side.delivered
        assert [said[2] for said in side.written if said[0] == late] == [{"to": "b", "knows": [5, 9]}]
    assert side.sessions.peers["b"].link == link
    side.give(2.0, link, "news", "of now")
    assert side.delivered == [("b", "news", "of now")]


def test_a_later_incarnation_of_ours_that_a_peer_knows_is_reported():
    side = Side(others=["b"], incarnation=3)
    side.sessions.tick(0.0)
    link = side.connections[0][1]
    side.sessions.on_connected(0.0, link)
    side.give(0.0, link, "hello", {"to": "a", "knows": [3, 77]})
    assert not side.later_incarnations  # that is us
    side.sessions.compare_incarnation(3, 78)
    side.sessions.compare_incarnation(7, 1)
    assert side.later_incarnations == [3, 7]


def test_duplicate_messages_are_dropped_and_gaps_are_counted():
    side = Side(others=["b"])
    link = side.up()
    side.give(1.0, link, "news", 1, sequence=2)
    side.give(1.0, link, "news", 1, sequence=2)
    side.give(1.0, link, "news", 2, sequence=9)
    assert [body for _, _, body in side.delivered] == [1, 2]
    assert {why for name, why in side.counted if name == "peer_out_of_sequence"} == {"duplicate", "gap"}


def test_backoff_doubles_to_its_bound_with_jitter():
    waits = []
    side = Side(others=["b"])
    for n in range(12):
        side.sessions.tick(1e6 * n)
        side.sessions.on_closed(1e6 * n, side.connections[-1][1], "refused")
        waits.append(side.sessions.peers["b"].next_attempt_at_ms - 1e6 * n)
    assert waits[0] < 400.0 and 0.5 * MAX_BACKOFF_MS <= waits[-1] <= 1.5 * MAX_BACKOFF_MS
    assert len({round(wait, 3) for wait in waits}) == 12
    assert len(side.connections) == 12 and not side.sessions.links


def test_a_replay_window_takes_each_datagram_once_in_any_order_like_a_plain_set():
    chance, window, seen = random.Random(4), ReplayWindow(), set()
    newest = 0
    for _ in range(20_000):
        sequence = max(1, newest + chance.randint(-WINDOW_SIZE - 20, 6))
        wants = "late" if newest - sequence >= WINDOW_SIZE else "doubled" if sequence in seen else ""
        assert (window.take(sequence) or "") == wants
        if not wants:
            seen.add(sequence)
        newest = max(newest, sequence)


def test_an_outbox_is_bounded_and_drops_its_oldest_repeated_message_first():
    box = Outbox(max_messages=4, max_bytes=100)
    for n, kind in enumerate(("look", "book", "look", "book")):
        box.put(kind, b"%d" % n)
    assert box.put("order", b"4") == 1 and [data for _, data in box.messages] == [b"1", b"2", b"3", b"4"]
    box.put("order", b"5")
    assert [data for _, data in box.messages] == [b"1", b"3", b"4", b"5"]
    box.put("order", b"6")  # no news is left: the oldest
    assert box.take() == b"3" and box.dropped == 3
    assert box.put("book", b"x" * 200) == 3 and box.bytes == 200  # the last is never dropped for its length
    assert box.take() and box.bytes == 0 and box.take() is None


def test_frames_are_decoded_whole_however_the_stream_is_split():
    stream, chance = framing.StreamDecoder(), random.Random(2)
    said = [Envelope("pay", "a", 1, 2, n, "news", {"x": ["y" * n, None, 1.5]}) for n in range(60)]
    data = b"".join(map(framing.encode_frame, said))
    heard, at = [], 0
    while at < len(data):
        step = chance.randint(1, 200)
        heard += stream.feed(data[at : at + step])
        at += step
    assert heard == said and not stream.unread


def test_what_is_no_frame_raises_an_error_with_its_fault():
    good = framing.encode_frame(Envelope("pay", "a", 1, 2, 3, "news", None))
    assert framing.decode_datagram(good).sequence == 3
    wrong = {
        b"": "no_frame",
        b"GET / HTTP/1.1\r\n\r\n": "no_frame",
        good[:2] + b"\x09" + good[3:]: "other_version",
        good[:4] + b"\xff" * 4 + good[8:]: "too_long",
        good[:-1] + b"\x00": "spoilt",
        good + b"x": "malformed",
    }
    for data, word in wrong.items():
        with pytest.raises(FrameError, match=word):
            framing.decode_datagram(data)
    chance = random.Random(3)
    for _ in range(2000):
        spoilt = bytearray(good)
        spoilt[chance.randrange(len(good))] ^= 1 << chance.randrange(8)
        try:
            assert framing.decode_datagram(bytes(spoilt)).sequence == 3  # the reserved byte says nothing yet
        except FrameError as problem:
            assert str(problem) in set(FrameFault) and problem.fault == str(problem)


def test_without_streams_nobody_is_connected_and_a_stale_sender_is_told_its_known_incarnation_seldom():
    side = Side(streams=False)
    told = []
    side.send_known_incarnation = lambda *given: told.append(given)
    side.sessions.tick(0.0)
    assert not side.connections and not side.sessions.on_accepted(0.0, "10.0.0.1")
    assert side.sessions.accept_datagram(1000.0, "10.0.0.1", Envelope("pay", "b", 9, 4, 1, "news", None))
    for at in range(10):  # its clock went back, or its name is used twice
        assert not side.sessions.accept_datagram(
            1000.0 + at, "10.0.0.1", Envelope("pay", "b", 8, 5, at + 2, "news", 0)
        )
    assert told == [("b", 9, 4)]
    assert not side.sessions.accept_datagram(1300.0, "10.0.0.1", Envelope("pay", "b", 8, 5, 20, "news", None))
    assert len(told) == 2
    side.sessions.compare_incarnation(9, 4)
    assert side.later_incarnations == [9]


def test_the_bytes_of_a_handshake_in_its_frame_are_those_of_the_first_version():
    """Two versions talk to each other in a rolling upgrade; the bytes are what the first version wrote."""
    written = bytes.fromhex(
        "766601000000001fc8d45cca1538d2f397a3706179a161010203a568656c6c6f82a2746fa162a56b6e6f7773920509"
    )
    envelope = Envelope("pay", "a", 1, 2, 3, handshake.KIND, handshake.encode("b", 5, 9))
    assert framing.encode_frame(envelope) == written
    read = framing.decode_datagram(written)
    assert read == envelope and handshake.decode(read.body) == Handshake("b", (5, 9))


@pytest.mark.parametrize("body", [None, [], {}, {"to": None}, {"to": 5, "knows": [1, 2]}], ids=str)
def test_what_is_no_handshake_decodes_to_none(body):
    assert handshake.decode(body) is None


@pytest.mark.parametrize("knows", [None, [], [1], [1, 2, 3], ["1", 2], {"1": 2}], ids=str)
def test_an_unreadable_incarnation_in_a_handshake_is_left_out(knows):
    assert handshake.decode({"to": "b", "knows": knows}) == Handshake("b", None)


REASONS = [reason for kind in LoggedReason.__subclasses__() for reason in kind]


@pytest.mark.parametrize("reason", REASONS, ids=lambda reason: f"{type(reason).__name__}.{reason.name}")
def test_each_reason_is_logged_by_a_term_that_the_page_of_log_events_has_beside_the_one_before(reason):
    page = (ROOT / "docs" / "operate" / "log-events.md").read_text()
    term = reason.log_term
    assert term == term.lower() and " " not in term
    before = LOGGED_BEFORE.get(reason, reason.value)
    assert before == term or f"| `{before}` | `{term}` |" in page
