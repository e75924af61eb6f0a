"""The incarnation of an agent, which counts its starts, and the identity of its store. Times in ms.

Other agents tell this one where they know a later incarnation of its name: then its store is an old copy or
empty, or two machines use the name. In the latter case both would raise theirs for ever, so that is done a
few times a minute only. Lives on the agent's thread.
"""

import random
import uuid
from collections.abc import Iterable

import msgspec

from vetchford.fleet.history_store import Store, StoredRecord

DISPUTE_WINDOW_MS = 60_000.0
MAX_INCARNATIONS_RAISED = 5  # in that window; more means that two machines have one name
NONCE_BITS = 62
STORED_SELF = "self"  # the kind of the stored incarnation
STORED_SELF_NAME = "life"


class StoredIncarnation(msgspec.Struct, frozen=True):
    """The stored form of this agent's incarnation."""

    incarnation: int = msgspec.field(name="life")
    store: str


class OwnIncarnation:
    """The incarnation that this agent has begun, kept in its store."""

    def __init__(self, store: Store, stored: Iterable[StoredRecord]) -> None:
        """Begins the incarnation after the one among the `stored` records; `save` makes it durable."""
        self._store = store
        before = find_stored(stored)
        self.number = before.incarnation + 1 if before else 1
        self.store_identity = before.store if before else uuid.uuid4().hex
        self.nonce = draw_nonce()
        self.raised_at_ms: list[float] = []  # within DISPUTE_WINDOW_MS

    def save(self) -> None:
        """Stores the incarnation; OSError where the store fails."""
        body = msgspec.to_builtins(StoredIncarnation(self.number, self.store_identity))
        self._store.put(STORED_SELF, STORED_SELF_NAME, body)

    def is_disputed(self, now_ms: float) -> bool:
        """Whether it was raised so often of late that two machines must have this agent's name."""
        self.raised_at_ms = [
            raised_at_ms for raised_at_ms in self.raised_at_ms if now_ms - raised_at_ms < DISPUTE_WINDOW_MS
        ]
        return len(self.raised_at_ms) >= MAX_INCARNATIONS_RAISED

    def raise_above(self, now_ms: float, known: int, store_identity: str) -> None:
        """Begins an incarnation above `known`, under a new identity of the store.

        OSError where the store fails: then the number and the identity are those of before. The nonce is not,
        and the attempt counts for `is_disputed`.
        """
        self.raised_at_ms.append(now_ms)
        number_before = self.number
        identity_before = self.store_identity
        self.number = max(known, self.number) + 1
        self.nonce = draw_nonce()
        self.store_identity = store_identity
        try:
            self.save()
        except OSError:
            self.number = number_before
            self.store_identity = identity_before
            raise


def find_stored(stored: Iterable[StoredRecord]) -> StoredIncarnation | None:
    """The incarnation that was stored last; None in an empty store."""
    for kind, _, body in stored:
        if kind == STORED_SELF:
            return msgspec.convert(body, StoredIncarnation)
    return None


def draw_nonce() -> int:
    """Tells apart two programs that claim one incarnation of one name."""
    return random.SystemRandom().getrandbits(NONCE_BITS)
