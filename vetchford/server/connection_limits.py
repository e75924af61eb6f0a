"""Limits and timeouts of client connections.

Callers read the values through this module, so that a test can replace one.
"""

from enum import Enum, auto

from vetchford.protocol import json_rpc

# Twice the 32 that a client may have open: a request whose client gave it up stays open until its answer.
MAX_OPEN_REQUESTS = 64
# Replies to health checks and bad messages that wait to be written; past it the client is not reading.
MAX_UNWRITTEN_REPLIES = 64
# On one connection. Balancers send none, and each costs as much to read as a good message.
MAX_BAD_MESSAGES = 8
# Two of the longest messages: one that is parsed and the next one behind it.
RECEIVE_BUFFER_BYTES = 2 * (json_rpc.MAX_HEADER_BYTES + json_rpc.MAX_BODY_BYTES)

# A stream that can't be parsed any further is read and discarded until its open requests are answered. With
# none open, it is closed after this time or these bytes.
DISCARD_TIMEOUT_S = 0.5
MAX_DISCARDED_BYTES = 1 << 20

# A reader holds a thread only for the time of a message, so a burst of connections needs no more.
MAX_READER_THREADS = 24
# A writer needs a thread only where the client is slow to read, each for WRITE_TIMEOUT_S at most.
MAX_WRITER_THREADS = 64

# How long a reader waits for the next message of a client that was answered before, which saves the hand-over
# to the poller and back. Only while reader threads are plenty.
READ_WAIT_TIMEOUT_S = 0.03
# From accepting a connection to its first message. Balancers connect in order to send at once.
FIRST_MESSAGE_TIMEOUT_S = 1.0
# The same above CROWDED_SHARE. A balancer whose first message is cut off has lost no request.
CROWDED_FIRST_MESSAGE_TIMEOUT_S = 0.2
# From the first byte of a message to its last. Balancers write a message in one piece.
MESSAGE_TIMEOUT_S = 1.5
# How long a client may leave answers unread; far more than a pause of its machine takes.
WRITE_TIMEOUT_S = 10.0
# After the last activity, with no request open; the admission policy may ask for less, never for more.
IDLE_TIMEOUT_S = 10.0
# From the `closing` notification until the server closes by itself. Balancers close on their own, and one
# that was paused reads the notification late.
CLOSE_TIMEOUT_S = 2.0
# The same during shutdown or above CROWDED_SHARE: messages that cross the notification take up to 0.05 s.
DRAIN_CLOSE_TIMEOUT_S = 0.5
# For the first message, and from `closing` on, above NEARLY_FULL_SHARE: twice those 0.05 s.
NEARLY_FULL_TIMEOUT_S = 0.1

# Of the connection table. Hundreds of clients may connect at once; above this share balancers would wait in
# the backlog until the others have timed out.
NEARLY_FULL_SHARE = 0.8
# Above this share idle connections are asked to close. Balancers may open as many connections as that.
CROWDED_SHARE = 0.5
# For how long a connection must have been idle to be asked so.
CROWDED_IDLE_TIMEOUT_S = 0.2

# Connections that the system accepts and holds until the listener takes them.
LISTEN_BACKLOG = 512
# How often a full table looks for connections that can be closed.
FULL_TABLE_CHECK_INTERVAL_S = 0.05
# After a failed accept, for want of descriptors or memory, until other connections have closed.
ACCEPT_RETRY_DELAY_S = 0.05


class Crowding(Enum):
    """How full the connection table is."""

    NORMAL = auto()
    CROWDED = auto()
    """Above CROWDED_SHARE."""
    NEARLY_FULL = auto()
    """Above NEARLY_FULL_SHARE."""


# Bound once, as in connection_state.
NORMAL = Crowding.NORMAL
CROWDED = Crowding.CROWDED
NEARLY_FULL = Crowding.NEARLY_FULL


def first_message_timeout_s(crowding: Crowding) -> float:
    """Return how long a new connection may send nothing."""
    if crowding is NEARLY_FULL:
        return NEARLY_FULL_TIMEOUT_S
    if crowding is CROWDED:
        return CROWDED_FIRST_MESSAGE_TIMEOUT_S
    return FIRST_MESSAGE_TIMEOUT_S


def close_timeout_s(crowding: Crowding) -> float:
    """Return how long a client may take to close a connection that it was asked to close."""
    if crowding is NEARLY_FULL:
        return NEARLY_FULL_TIMEOUT_S
    if crowding is CROWDED:
        return DRAIN_CLOSE_TIMEOUT_S
    return CLOSE_TIMEOUT_S
