"""Timeouts and closing of a client connection, decided without a socket: no close may lose an answer."""

import pytest

from vetchford.server import connection_limits
from vetchford.server.connection_limits import Crowding
from vetchford.server.connection_state import CloseStep, ConnectionState, Reading, TimeoutAction, Waiting

START_S = 1000.0


class Mailbox:
    """A mailbox whose number of entries the test sets."""

    def __init__(self):
        self.entries = 0

    def empty(self):
        return not self.entries


@pytest.fixture
def mailbox():
    return Mailbox()


@pytest.fixture
def state(mailbox):
    return ConnectionState(START_S, mailbox.empty)


def normal():
    return Crowding.NORMAL


def receive_request(state, rpc_id=1, now_s=START_S):
    state.message_received(now_s)
    state.open_requests.add(rpc_id)
    state.message_handled()


def answer(state, rpc_id=1, now_s=START_S):
    state.answer_queued(rpc_id)
    state.last_active_at_s = now_s
    state.writing = False


def test_a_new_connection_waits_for_its_first_message(state):
    assert state.waits_for() is Waiting.FIRST_MESSAGE
    assert not state.message_has_started() and not state.ignores_input() and state.close_steps() == ()


@pytest.mark.parametrize(
    ("crowding", "timeout_s"),
    [
        (Crowding.NORMAL, connection_limits.FIRST_MESSAGE_TIMEOUT_S),
        (Crowding.CROWDED, connection_limits.CROWDED_FIRST_MESSAGE_TIMEOUT_S),
        (Crowding.NEARLY_FULL, connection_limits.NEARLY_FULL_TIMEOUT_S),
    ],
)
def test_a_client_that_never_sends_is_closed_sooner_in_a_fuller_table(state, crowding, timeout_s):
    assert state.timeout_action(START_S + timeout_s - 0.01, lambda: crowding) is TimeoutAction.NONE
    assert state.timeout_action(START_S + timeout_s + 0.01, lambda: crowding) is TimeoutAction.CLOSE


def test_an_open_request_keeps_a_connection_open_however_long_it_takes(state):
    receive_request(state)
    assert state.waits_for() is Waiting.ANSWERS
    state.close_requested(START_S)
    assert state.timeout_action(START_S + 1e6, normal) is TimeoutAction.NONE
    assert not state.is_finished(START_S + 1e6, 0.0)
    state.reading_done = True
    state.ends_after_answers = True
    assert state.close_steps() == ()
    answer(state)
    assert state.close_steps() == (CloseStep.STOP_SENDING, CloseStep.CLOSE)
    assert state.close_steps() == ()


def test_an_idle_connection_is_asked_to_close_and_closed_at_a_later_check(state):
    receive_request(state)
    answer(state)
    idle_s = START_S + connection_limits.IDLE_TIMEOUT_S
    assert state.timeout_action(idle_s - 0.01, normal) is TimeoutAction.NONE
    assert state.timeout_action(idle_s + 0.01, normal) is TimeoutAction.REQUEST_CLOSE
    state.close_requested(idle_s)
    assert state.waits_for() is Waiting.CLIENT_CLOSE
    end_s = idle_s + connection_limits.CLOSE_TIMEOUT_S
    assert state.timeout_action(end_s - 0.01, normal) is TimeoutAction.NONE
    assert state.timeout_action(end_s + 0.01, normal) is TimeoutAction.CLOSE


def test_a_message_that_has_started_is_waited_for_up_to_its_timeout(state):
    state.message_received(START_S)
    state.message_handled()
    state.message_continues(START_S)
    state.message_continues(
        START_S + 1.0
    )  # more of the same message; the timeout counts from its first bytes
    state.close_requested(START_S)
    end_s = START_S + connection_limits.MESSAGE_TIMEOUT_S
    assert state.timeout_action(end_s - 0.01, normal) is TimeoutAction.NONE
    assert not state.is_finished(end_s - 0.01, 0.0)
    assert state.timeout_action(end_s + 0.01, normal) is TimeoutAction.CLOSE


def test_a_message_that_follows_another_is_timed_from_its_own_first_bytes(state):
    state.message_continues(START_S)
    state.message_received(START_S + 1.0)
    state.message_handled()
    state.message_continues(START_S + 1.0)
    end_s = START_S + 1.0 + connection_limits.MESSAGE_TIMEOUT_S
    assert state.timeout_action(end_s - 0.01, normal) is TimeoutAction.NONE
    assert state.timeout_action(end_s + 0.01, normal) is TimeoutAction.CLOSE


def test_a_discarded_stream_is_read_while_requests_are_open_and_then_up_to_its_limits(state):
    receive_request(state)
    state.parsing_failed(START_S)
    assert state.reading is Reading.DISCARDING and state.ignores_input()
    assert state.bytes_discarded(connection_limits.MAX_DISCARDED_BYTES)
    assert state.bytes_discarded(1)
    answer(state)
    assert state.waits_for() is Waiting.END_OF_STREAM
    assert not state.bytes_discarded(1)
    end_s = START_S + connection_limits.DISCARD_TIMEOUT_S
    assert state.timeout_action(end_s - 0.01, normal) is TimeoutAction.NONE
    assert state.timeout_action(end_s + 0.01, normal) is TimeoutAction.CLOSE


@pytest.mark.parametrize(
    "unfinished", ["open request", "half a message", "unwritten answer", "mailbox entry"]
)
def test_a_connection_with_unfinished_work_is_not_finished_at_the_end_of_the_close_timeout(
    state, mailbox, unfinished
):
    state.message_received(START_S)
    state.message_handled()
    state.close_requested(START_S)
    assert state.is_finished(START_S + 1.0, 0.5)
    assert not state.is_finished(START_S + 0.4, 0.5)
    if unfinished == "open request":
        state.open_requests.add(1)
    elif unfinished == "half a message":
        state.message_continues(START_S)
    elif unfinished == "unwritten answer":
        state.answer_queued(1)
    else:
        mailbox.entries = 1
    assert not state.is_finished(START_S + 1.0, 0.5)
    state.broken = True
    assert state.is_finished(START_S + 1.0, 0.5)


def test_a_mailbox_entry_delays_the_close_even_of_a_broken_connection(state, mailbox):
    receive_request(state)
    state.broken = True
    state.reading_done = True
    mailbox.entries = 1
    assert state.close_steps() == ()
    mailbox.entries = 0
    assert state.close_steps() == (CloseStep.CLOSE,)


@pytest.mark.parametrize(
    ("had_sent_no_message", "event", "has_sent"),
    [
        (True, None, False),
        (True, "message", True),
        (False, "message", False),  # not a first message, and no request is open
        (False, "request", True),
        (True, "half a message", True),
    ],
)
def test_a_client_that_sends_as_its_connection_times_out_is_read_further(
    state, had_sent_no_message, event, has_sent
):
    if event == "message":
        state.message_received(START_S)
        state.message_handled()
    elif event == "request":
        receive_request(state)
    elif event == "half a message":
        state.message_continues(START_S)
    assert state.has_sent_since_timeout(had_sent_no_message) == has_sent


def test_a_connection_is_idle_once_all_requests_are_answered_and_it_was_not_active_since(state):
    receive_request(state)
    assert not state.is_idle_since(START_S + 9.0)
    answer(state, now_s=START_S + 5.0)
    assert state.is_idle_since(START_S + 9.0) and not state.is_idle_since(START_S + 5.0)
