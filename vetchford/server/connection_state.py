"""The state of one client connection: what it waits for, and when a close loses no answer. No I/O.

The connection's reader thread and its actor report what happened, each by the methods that are marked as its
own, and by fields that `client_connection` and `client_messages` set themselves:

- `open_requests`: the reader adds an id as it hands the request on, the actor takes it out (`answer_queued`)
- `last_active_at_s`: the reader as a message is whole, the actor as it has written
- `writing`, `ends_after_answers`, `reading_done`: the actor
- `broken`: either of them, whichever first sees the connection fail; it is never cleared

The questions may be asked from any thread. Times are monotonic seconds.
"""

from collections.abc import Callable
from enum import Enum, auto

from vetchford.server import connection_limits
from vetchford.server.connection_limits import Crowding


class Reading(Enum):
    """What the bytes that arrive next belong to."""

    BETWEEN_MESSAGES = auto()
    IN_MESSAGE = auto()
    """Part of a message was received; it is owed an answer once it is whole."""
    DISCARDING = auto()
    """The stream can't be parsed any further. It is still read, as a close with bytes unread would reset the
    connection, and answers would be lost."""


class Waiting(Enum):
    """What a connection that no reader is busy with waits for: the first of these that applies."""

    ANSWERS = auto()
    END_OF_STREAM = auto()
    """All is answered, and what still arrives is discarded."""
    FIRST_MESSAGE = auto()
    CLIENT_CLOSE = auto()
    """The client was asked to close the connection."""
    NEXT_MESSAGE = auto()


class TimeoutAction(Enum):
    """What is to be done about a connection that waits."""

    NONE = auto()
    REQUEST_CLOSE = auto()
    """Ask the client to close it."""
    CLOSE = auto()
    """Read once more and close it if nothing came."""


class CloseStep(Enum):
    """What the actor does to the socket at the end."""

    STOP_SENDING = auto()
    CLOSE = auto()


# Bound once: the timeouts of each connection are checked 20 times a second, and a member that is read through
# its class costs as much as the rest of a check.
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
    """Reading, answering and closing of one connection.

    A connection is closed once its reader is done, its actor has no entries left, and either every open
    request is answered or no answer can reach the client.
    """

    def __init__(self, now_s: float, mailbox_is_empty: Callable[[], bool]) -> None:
        """Start with nothing received; `mailbox_is_empty`: no entry waits for the connection's actor."""
        self.mailbox_is_empty = mailbox_is_empty
        self.open_requests: set[int | str] = set()  # ids that were read and whose answers haven't been sent
        self.last_active_at_s = now_s

        self.reading = BETWEEN_MESSAGES
        self.message_started_at_s = now_s  # holds in a message only
        self.has_sent_message = False  # whether the client ever sent a whole message
        self.discarded_bytes = 0
        self.reading_done = False  # nothing more is read

        self.has_answered = False
        self.writing = False  # an answer is no open request any more, and not written yet

        self.broken = False  # no answer can reach the client any more
        self.close_requested_at_s: float | None = None  # when the client was asked to close
        self.ends_after_answers = False  # the sending side is shut down behind the last open answer
        self.closed = False

    # -- reported by the reader, on its thread

    def message_received(self, now_s: float) -> None:
        """Take that a message is whole."""
        self.last_active_at_s = now_s
        self.has_sent_message = True

    def message_handled(self) -> None:
        """Take that the message was handed on: the bytes behind it are the next one."""
        self.reading = BETWEEN_MESSAGES

    def message_continues(self, now_s: float) -> None:
        """Take that part of a message was received, and no more has arrived."""
        if self.reading is not IN_MESSAGE:
            self.message_started_at_s = now_s
            self.reading = IN_MESSAGE

    def parsing_failed(self, now_s: float) -> None:
        """Take that the stream can't be parsed any further."""
        self.reading = DISCARDING
        self.last_active_at_s = now_s

    def bytes_discarded(self, count: int) -> bool:
        """Take that bytes were discarded; return whether to read on, for the sake of open requests."""
        self.discarded_bytes += count
        return bool(self.open_requests) or self.discarded_bytes <= connection_limits.MAX_DISCARDED_BYTES

    # -- reported by the actor, on the thread that runs its entries

    def answer_queued(self, rpc_id: int) -> None:
        """Take that the answer to an open request is about to be written."""
        self.writing = True
        self.has_answered = True
        # Before it is sent: the client may use the id again at once.
        self.open_requests.discard(rpc_id)

    def close_requested(self, now_s: float) -> None:
        """Take that the client is asked to close the connection."""
        self.close_requested_at_s = now_s

    def close_steps(self) -> tuple[CloseStep, ...]:
        """Return what to do to the socket now, in this order; each step is returned once."""
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

    # -- questions

    def message_has_started(self) -> bool:
        """Return whether part of a message was received that will be answered once it is whole."""
        return self.reading is IN_MESSAGE

    def ignores_input(self) -> bool:
        """Return whether what still arrives is not answered."""
        return self.reading is DISCARDING or self.reading_done or self.broken

    def has_spoken(self, was_silent: bool) -> bool:
        """Return whether the client has sent something since it timed out that is owed an answer.

        `was_silent`: it had never sent a whole message by then.
        """
        sent_first_message = was_silent and self.has_sent_message
        return sent_first_message or bool(self.open_requests) or self.message_has_started()

    def is_finished(self, now_s: float, close_timeout_s: float) -> bool:
        """Return whether it was asked to close `close_timeout_s` ago, and nothing is left to do."""
        # A message that has started is owed an answer once it is whole; MESSAGE_TIMEOUT_S bounds the wait.
        quiet = (
            not self.open_requests
            and not self.writing
            and self.reading is not IN_MESSAGE
            and self.mailbox_is_empty()
        )
        if self.broken:
            return True
        requested_at_s = self.close_requested_at_s
        return quiet and requested_at_s is not None and requested_at_s < now_s - close_timeout_s

    def is_idle_since(self, since_s: float) -> bool:
        """Return whether nothing is open on it, and nothing happened since `since_s`."""
        return not self.open_requests and self.last_active_at_s < since_s

    def waits_for(self) -> Waiting:
        """Return what it waits for."""
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
        """Return what to do about the connection at `now_s`; `crowding` is that of the connection table.

        One that is idle for too long is first asked to close, which takes effect at a later check.
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
        is_next = waits_for is NEXT_MESSAGE
        return REQUEST_CLOSE if is_next else CLOSE
