"""Idempotency keys with their expiry, and the results kept for repeated requests."""

from typing import NamedTuple


class RunResult(NamedTuple):
    """The result of a request's run."""

    completed: bool
    content: str  # base64; empty unless completed


class KeyEntry(NamedTuple):
    """The request that an idempotency key refers to, and the key's expiry."""

    request_index: int
    expires_unix_ms: float  # a request that arrives later is no repeat


class IdempotencyCache:
    """Maps each idempotency key to its original requests, and an original to the requests that wait for it.

    A key has several originals where its window has passed and the client used it again. An earlier original
    is kept, as a repeat that arrived within its window may be read after the next original.

    Entries are removed by `forget` (the original never ran) and by `release` (the key's window and one
    request timeout have passed). Used only on the admission actor's thread.
    """

    def __init__(self) -> None:
        """Create an empty cache."""
        self.entries: dict[str, list[KeyEntry]] = {}  # the earliest original of a key first
        self.keys: dict[int, str] = {}  # key of each entry, by request index
        self.results: dict[int, RunResult] = {}  # results of ended originals, by request index
        self.followers: dict[int, list[int]] = {}  # requests that wait for an original's run, by its index

    def remember(self, key: str, index: int, expires_unix_ms: float) -> None:
        """Make the request the original for `key` until `expires_unix_ms`, behind its earlier originals."""
        self.entries.setdefault(key, []).append(KeyEntry(index, expires_unix_ms))
        self.keys[index] = key

    def find_original(self, key: str, arrived_at_unix_ms: float) -> int | None:
        """Return the index of the original that a request repeats; None if it repeats none.

        The arrival time decides, not the time at which the request is read.
        """
        for entry in self.entries.get(key, ()):
            if arrived_at_unix_ms <= entry.expires_unix_ms:
                return entry.request_index
        return None

    def forget(self, index: int) -> None:
        """Drop the key of a request; later requests with this key are no repeats of it."""
        key = self.keys.pop(index, None)
        if key is None:
            return
        kept = [entry for entry in self.entries[key] if entry.request_index != index]
        if kept:
            self.entries[key] = kept
        else:
            del self.entries[key]

    def run_ended(self, index: int, result: RunResult) -> list[int]:
        """Keep the result while the request has a key; return the requests that waited for the run."""
        if index in self.keys:
            self.results[index] = result
        return self.followers.pop(index, [])

    def add_follower(self, original: int, index: int) -> None:
        """Make the request `index` wait for the run of `original`."""
        self.followers.setdefault(original, []).append(index)

    def remove_follower(self, original: int, index: int) -> None:
        """Remove the request `index` from those that wait for `original`, if it is among them."""
        waiting = self.followers.get(original, [])
        if index in waiting:
            waiting.remove(index)
        if not waiting:
            self.followers.pop(original, None)

    def release(self, index: int) -> list[int]:
        """Remove a request's key and result; return the requests that still waited for its run."""
        self.forget(index)
        self.results.pop(index, None)
        return self.followers.pop(index, [])
