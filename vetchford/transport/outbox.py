"""The queue of messages to be written to one stream, bounded by number and bytes."""

from collections import deque

MAX_QUEUED_MESSAGES = 512  # in the queue of one peer
MAX_QUEUED_BYTES = 4 << 20  # in the queue of one peer
# Kinds that are sent again periodically: the oldest message of these is dropped first. They are heartbeats,
# report requests and report responses of the fleet's coordinators, and datagrams.
REPEATED_KINDS = frozenset(("beat", "look", "seen", "news"))


class Outbox:
    """A queue that, when full, drops its oldest message of a repeated kind, or else its oldest message.

    Not thread-safe: `StreamConnection` guards it with a condition.
    """

    def __init__(self, max_messages: int = MAX_QUEUED_MESSAGES, max_bytes: int = MAX_QUEUED_BYTES) -> None:
        """Start with an empty queue."""
        self.max_messages = max_messages
        self.max_bytes = max_bytes
        self.bytes = 0
        self.messages: deque[tuple[str, bytes]] = deque()  # kind and frame
        self.dropped = 0

    def put(self, kind: str, frame: bytes) -> int:
        """Add a frame; return how many older ones were dropped. The added frame itself is never dropped."""
        self.messages.append((kind, frame))
        self.bytes += len(frame)
        before = self.dropped
        while len(self.messages) > 1 and self._is_over_bounds():
            self._drop_one()
        return self.dropped - before

    def take(self) -> bytes | None:
        """Remove and return the next frame; None if the queue is empty."""
        if not self.messages:
            return None
        _, frame = self.messages.popleft()
        self.bytes -= len(frame)
        return frame

    def _is_over_bounds(self) -> bool:
        return len(self.messages) > self.max_messages or self.bytes > self.max_bytes

    def _drop_one(self) -> None:
        repeated = (index for index, (kind, _) in enumerate(self.messages) if kind in REPEATED_KINDS)
        index = next(repeated, 0)
        self.bytes -= len(self.messages[index][1])
        del self.messages[index]
        self.dropped += 1
