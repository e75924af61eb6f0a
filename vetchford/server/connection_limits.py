"""Limits and timeouts of client connections.

Other modules access the values as attributes of this module, so that tests can replace them.
"""

from enum import Enum, auto

from vetchford.protocol import json_rpc

# Twice the 32 that a client may have open, as a request that its client abandoned stays open until answered.
MAX_OPEN_REQUESTS = 64
# The same with repeats by key, whose originals are looked up: one that has run must not be rejected.
MAX_OPEN_WITH_REPEATS = 128
# Replies to health checks and bad messages that wait to be written. With more, the client is not reading.
MAX_UNWRITTEN_REPLIES = 64
# For each connection. Clients normally send none, and reading one costs as much as reading a good message.
MAX_BAD_MESSAGES = 8
# One message of maximum length. Hundreds of clients may each stop within one.
RECEIVE_BUFFER_BYTES = json_rpc.MAX_HEADER_BYTES + len(json_rpc.HEADER_END) + json_rpc.MAX_BODY_BYTES

# A stream that can't be parsed any further is read and discarded until its open requests are answered.
# Without open requests, the connection is closed after this time or this number of bytes.
DISCARD_TIMEOUT_S = 0.5
MAX_DISCARDED_BYTES = 1 << 20

# A reader occupies a thread only while it reads a message, so this suffices for a burst of connections.
MAX_READER_THREADS = 24
# A writer needs a thread only if the client reads slowly, and for WRITE_TIMEOUT_S at most.
MAX_WRITER_THREADS = 64

# How long a reader waits for the next message of a client that was answered before; this avoids the cost of
# passing the connection to the poller and back. Used only while enough reader threads are free.
READ_WAIT_TIMEOUT_S = 0.03
# From accepting a connection to its first message. Clients normally send as soon as they have connected.
FIRST_MESSAGE_TIMEOUT_S = 1.0
# The same above CROWDED_SHARE. A client whose first message is cut off by the close has lost no request.
CROWDED_FIRST_MESSAGE_TIMEOUT_S = 0.2
# From the first byte of a message to its last. Clients write a message in one piece.
MESSAGE_TIMEOUT_S = 1.5
# How long a client may leave answers unread; far longer than a pause of the client's machine.
WRITE_TIMEOUT_S = 10.0
# After the last activity, with no request open; the admission policy may lower this timeout, never raise it.
IDLE_TIMEOUT_S = 10.0
# From the `closing` notification until the server closes the connection. Clients normally close it earlier; a
# client that was paused reads the notification late.
CLOSE_TIMEOUT_S = 2.0
# The same during shutdown or above CROWDED_SHARE. Messages in transit when the notification is sent arrive
# within 0.05 s.
DRAIN_CLOSE_TIMEOUT_S = 0.5
# For the first message, and after `closing`, above NEARLY_FULL_SHARE: twice the time for messages in
# transit (see DRAIN_CLOSE_TIMEOUT_S).
NEARLY_FULL_TIMEOUT_S = 0.1

# Of the connection table. Hundreds of clients may connect at the same time; above this share, further clients
# would wait in the backlog until other connections have timed out.
NEARLY_FULL_SHARE = 0.8
# Of the connection table. Above this share, idle connections are asked to close; clients may open that many.
CROWDED_SHARE = 0.5
# Minimum idle time of a connection that is asked to close above CROWDED_SHARE.
CROWDED_IDLE_TIMEOUT_S = 0.2

# Connections that the kernel holds until the listener accepts them.
LISTEN_BACKLOG = 512
# How often a full table is searched for connections that can be closed.
FULL_TABLE_CHECK_INTERVAL_S = 0.05
# After an accept that failed for lack of descriptors or memory; other connections may close meanwhile.
ACCEPT_RETRY_DELAY_S = 0.05


class Crowding(Enum):
    """How full the connection table is."""

    NORMAL = auto()
    CROWDED = auto()
    """Above CROWDED_SHARE."""
    NEARLY_FULL = auto()
    """Above NEARLY_FULL_SHARE."""


# Module globals, as in connection_state.
NORMAL = Crowding.NORMAL
CROWDED = Crowding.CROWDED
NEARLY_FULL = Crowding.NEARLY_FULL


def first_message_timeout_s(crowding: Crowding) -> float:
    """Return how long a new connection may stay open without a message."""
    if crowding is NEARLY_FULL:
        return NEARLY_FULL_TIMEOUT_S
    if crowding is CROWDED:
        return CROWDED_FIRST_MESSAGE_TIMEOUT_S
    return FIRST_MESSAGE_TIMEOUT_S


def close_timeout_s(crowding: Crowding) -> float:
    """Return how long a client may take to close a connection after it was asked to."""
    if crowding is NEARLY_FULL:
        return NEARLY_FULL_TIMEOUT_S
    if crowding is CROWDED:
        return DRAIN_CLOSE_TIMEOUT_S
    return CLOSE_TIMEOUT_S
