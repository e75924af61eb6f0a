"""The incarnation of this agent, which counts its starts, and the identity of its store. Times in ms.

Another agent that knows a later incarnation of this agent's name reports it. Then this agent's store is empty
or an old copy, or two machines use the name. Two machines would raise their incarnations endlessly, so
raises are limited to a few per minute. Used by the agent's thread only.
"""

import random
import uuid
from collections.abc import Iterable

import msgspec

from vetchford.fleet.history_store import Store, StoredRecord

DISPUTE_WINDOW_MS = 60_000.0
MAX_INCARNATIONS_RAISED = 5  # per window; more means that two machines use one name
NONCE_BITS = 62
STORED_SELF = "self"  # kind of the stored record
STORED_SELF_NAME = "life"  # name of the stored record


class StoredIncarnation(msgspec.Struct, frozen=True):
    """The stored form of this agent's incarnation."""

    incarnation: int = msgspec.field(name="life")
    store: str


class OwnIncarnation:
    """The current incarnation of this agent, persisted in its store."""

    def __init__(self, store: Store, stored: Iterable[StoredRecord]) -> None:
        """Begin the incarnation after the one in the `stored` records; `save` makes it durable."""
        self._store = store
        previous = find_stored_incarnation(stored)
        self.number = previous.incarnation + 1 if previous else 1
        self.store_identity = previous.store if previous else uuid.uuid4().hex
        self.nonce = draw_nonce()
        self.raised_at_ms: list[float] = []  # within DISPUTE_WINDOW_MS

    def save(self) -> None:
        """Write the incarnation to the store. Raises OSError if the store fails."""
        body = msgspec.to_builtins(StoredIncarnation(self.number, self.store_identity))
        self._store.put(STORED_SELF, STORED_SELF_NAME, body)

    def is_disputed(self, now_ms: float) -> bool:
        """Return whether the incarnation was raised so often that two machines must use this agent's name."""
        self.raised_at_ms = [
            raised_at_ms for raised_at_ms in self.raised_at_ms if now_ms - raised_at_ms < DISPUTE_WINDOW_MS
        ]
        return len(self.raised_at_ms) >= MAX_INCARNATIONS_RAISED

    def raise_above(self, now_ms: float, known: int, store_identity: str) -> None:
        """Begin an incarnation above `known` with a new identity of the store.

        Raises OSError if the store fails. Number and store identity are then restored, but not the nonce,
        and the raise still counts for `is_disputed`.
        """
        self.raised_at_ms.append(now_ms)
        previous_number = self.number
        previous_identity = self.store_identity
        self.number = max(known, self.number) + 1
        self.nonce = draw_nonce()
        self.store_identity = store_identity
        try:
            self.save()
        except OSError:
            self.number = previous_number
            self.store_identity = previous_identity
            raise


def find_stored_incarnation(stored: Iterable[StoredRecord]) -> StoredIncarnation | None:
    """Return the stored incarnation; None if the store has none."""
    for kind, _, body in stored:
        if kind == STORED_SELF:
            return msgspec.convert(body, StoredIncarnation)
    return None


def draw_nonce() -> int:
    """Return a random number that tells apart two processes with the same name and incarnation."""
    return random.SystemRandom().getrandbits(NONCE_BITS)
