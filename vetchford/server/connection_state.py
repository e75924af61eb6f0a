"""The state of one client connection: what it waits for, and when it can be closed without losing answers.

This module does no I/O. The connection's reader thread and its actor report events through the methods in
their sections below. `client_connection` and `client_messages` also set these fields directly:

- `open_requests`: the reader adds an id before it passes the request on, the actor removes the id in
  `answer_queued`
- `last_active_at_s`: the reader when a message is complete, the actor when it has written
- `writing`, `ends_after_answers`, `reading_done`: the actor
- `broken`: reader or actor, whichever first sees the connection fail; never cleared

The queries may be called on any thread. Times are monotonic seconds.
"""

from collections.abc import Callable
from enum import Enum, auto

from vetchford.server import connection_limits
from vetchford.server.connection_limits import Crowding


class Reading(Enum):
    """How the bytes that arrive next are handled."""

    BETWEEN_MESSAGES = auto()
    IN_MESSAGE = auto()
    """Part of a message was received; the message must be answered once it is complete."""
    DISCARDING = auto()
    """The stream can't be parsed any further. It is still read, as closing the socket with unread bytes would
    reset the connection and lose answers."""


class Waiting(Enum):
    """What a connection without an active reader waits for: the first member that applies."""

    ANSWERS = auto()
    """Requests are open."""
    END_OF_STREAM = auto()
    """No request is open, and further input is discarded."""
    FIRST_MESSAGE = auto()
    CLIENT_CLOSE = auto()
    """The client was asked to close the connection."""
    NEXT_MESSAGE = auto()


class TimeoutAction(Enum):
    """The action for a waiting connection when its timeouts are checked."""

    NONE = auto()
    REQUEST_CLOSE = auto()
    """Ask the client to close the connection."""
    CLOSE = auto()
    """Read once more, and close the connection if no message arrived."""


class CloseStep(Enum):
    """A step of closing the socket, executed by the actor."""

    STOP_SENDING = auto()
    CLOSE = auto()


# Module globals, as the timeouts of each connection are checked 20 times a second, and access to a member
# through its enum class costs as much as the rest of a check.
BETWEEN_MESSAGES = Reading.BETWEEN_MESSAGES
IN_MESSAGE = Reading.IN_MESSAGE
DISCARDING = Reading.DISCARDING
ANSWERS = Waiting.ANSWERS
END_OF_STREAM = Waiting.END_OF_STREAM
FIRST_MESSAGE = Waiting.FIRST_MESSAGE
CLIENT_CLOSE = Waiting.CLIENT_CLOSE
NEXT_MESSAGE = Waiting.NEXT_MESSAGE
NONE = TimeoutAction.NONE
REQUEST_CLOSE = TimeoutAction.REQUEST_CLOSE
CLOSE = TimeoutAction.CLOSE
NO_STEPS: tuple[CloseStep, ...] = ()


class ConnectionState:
    """The state of reading, answering and closing one connection.

    A connection is closed once its reader is done, its actor has no entries left, and either every open
    request is answered or no answer can reach the client.
    """

    def __init__(self, now_s: float, mailbox_is_empty: Callable[[], bool]) -> None:
        """Create the state of a new connection.

        `mailbox_is_empty` returns whether the mailbox of the connection's actor has no entries.
        """
        self.mailbox_is_empty = mailbox_is_empty
        self.open_requests: set[int | str] = set()  # ids of requests that were read and are not answered yet
        self.last_active_at_s = now_s

        self.reading = BETWEEN_MESSAGES
        self.message_started_at_s = now_s  # meaningful while `reading` is IN_MESSAGE
        self.has_sent_message = False  # whether the client has sent a complete message
        self.discarded_bytes = 0
        self.reading_done = False  # nothing more will be read

        self.has_answered = False
        self.writing = False  # an answer was removed from `open_requests` and is not written yet

        self.broken = False  # no answer can reach the client any more
        self.close_requested_at_s: float | None = None  # when the client was asked to close
        self.ends_after_answers = False  # shut down the sending side after the last open request is answered
        self.closed = False

    # -- reported by the reader, on its thread

    def message_received(self, now_s: float) -> None:
        """Record that a complete message was received."""
        self.last_active_at_s = now_s
        self.has_sent_message = True

    def message_handled(self) -> None:
        """Record that the message was handled; the bytes after it belong to the next message."""
        self.reading = BETWEEN_MESSAGES

    def message_continues(self, now_s: float) -> None:
        """Record that part of a message was received and the rest has not arrived yet."""
        if self.reading is not IN_MESSAGE:
            self.message_started_at_s = now_s
            self.reading = IN_MESSAGE

    def parsing_failed(self, now_s: float) -> None:
        """Record that the stream can't be parsed any further."""
        self.reading = DISCARDING
        self.last_active_at_s = now_s

    def bytes_discarded(self, count: int) -> bool:
        """Record discarded bytes; return whether to read on: up to a limit, unless requests are open."""
        self.discarded_bytes += count
        return bool(self.open_requests) or self.discarded_bytes <= connection_limits.MAX_DISCARDED_BYTES

    # -- reported by the actor, on the thread that runs its entries

    def answer_queued(self, rpc_id: int) -> None:
        """Record that the answer to an open request is about to be written."""
        self.writing = True
        self.has_answered = True
        # Before the answer is sent, as the client may reuse the id as soon as it receives the answer.
        self.open_requests.discard(rpc_id)

    def close_requested(self, now_s: float) -> None:
        """Record that the client is asked to close the connection."""
        self.close_requested_at_s = now_s

    def close_steps(self) -> tuple[CloseStep, ...]:
        """Return the steps to execute on the socket now, in order; each step is returned only once."""
        if not self.mailbox_is_empty() or (self.open_requests and not self.broken):
            return NO_STEPS
        steps = NO_STEPS
        if self.ends_after_answers:
            self.ends_after_answers = False
            steps += (CloseStep.STOP_SENDING,)
        if self.reading_done and not self.closed:
            self.closed = True
            steps += (CloseStep.CLOSE,)
        return steps

    # -- queries

    def message_has_started(self) -> bool:
        """Return whether an incomplete message was received that must be answered once it is complete."""
        return self.reading is IN_MESSAGE

    def ignores_input(self) -> bool:
        """Return whether further input will not be answered."""
        return self.reading is DISCARDING or self.reading_done or self.broken

    def has_sent_since_timeout(self, had_sent_no_message: bool) -> bool:
        """Return whether, since the connection timed out, the client has sent input that must be answered.

        `had_sent_no_message`: the client had not sent a complete message when the connection timed out.
        """
        sent_first_message = had_sent_no_message and self.has_sent_message
        return sent_first_message or bool(self.open_requests) or self.message_has_started()

    def is_finished(self, now_s: float, close_timeout_s: float) -> bool:
        """Return whether the client was asked to close `close_timeout_s` ago and nothing is left to do.

        A broken connection is always finished.
        """
        # A started message must be answered once it is complete; MESSAGE_TIMEOUT_S bounds the wait for it.
        nothing_pending = (
            not self.open_requests
            and not self.writing
            and self.reading is not IN_MESSAGE
            and self.mailbox_is_empty()
        )
        if self.broken:
            return True
        requested_at_s = self.close_requested_at_s
        return nothing_pending and requested_at_s is not None and requested_at_s < now_s - close_timeout_s

    def is_idle_since(self, since_s: float) -> bool:
        """Return whether no request is open and the connection was last active before `since_s`."""
        return not self.open_requests and self.last_active_at_s < since_s

    def waits_for(self) -> Waiting:
        """Return what the connection waits for."""
        if self.open_requests:
            return ANSWERS
        if self.reading is DISCARDING:
            return END_OF_STREAM
        if not self.has_sent_message:
            return FIRST_MESSAGE
        if self.close_requested_at_s is not None:
            return CLIENT_CLOSE
        return NEXT_MESSAGE

    def timeout_action(self, now_s: float, crowding: Callable[[], Crowding]) -> TimeoutAction:
        """Return the action for the connection at `now_s`; `crowding` returns that of the connection table.

        For a connection that is idle for too long, a later check closes it if the client has not.
        """
        message_age_s = now_s - self.message_started_at_s
        if self.reading is IN_MESSAGE and message_age_s > connection_limits.MESSAGE_TIMEOUT_S:
            return CLOSE
        waits_for = self.waits_for()
        if waits_for is ANSWERS:
            return NONE
        if waits_for is CLIENT_CLOSE:
            finished = self.is_finished(now_s, connection_limits.close_timeout_s(crowding()))
            return CLOSE if finished else NONE
        if waits_for is END_OF_STREAM:
            timeout_s = connection_limits.DISCARD_TIMEOUT_S
        elif waits_for is FIRST_MESSAGE:
            timeout_s = connection_limits.first_message_timeout_s(crowding())
        else:
            timeout_s = connection_limits.IDLE_TIMEOUT_S
        if now_s - self.last_active_at_s <= timeout_s:
            return NONE
        is_idle = waits_for is NEXT_MESSAGE
        return REQUEST_CLOSE if is_idle else CLOSE
