"""Idempotency keys with their windows, and the results kept for repeated requests."""

from typing import NamedTuple


class RunResult(NamedTuple):
    """How the run of a request ended."""

    completed: bool
    content: str  # base64; empty unless completed


class KeyEntry(NamedTuple):
    """The request that holds a key."""

    request_index: int
    until_unix_ms: float  # a request that arrives later is no repeat of it


class IdempotencyCache:
    """Which request holds a key, and which others wait for its result.

    Emptied by `forget` (it never ran) and by `release` (its window and one time limit are over). Used by the
    thread of the admission actor alone.
    """

    def __init__(self) -> None:
        """Start without keys."""
        self.entries: dict[str, KeyEntry] = {}
        self.keys: dict[int, str] = {}  # the same entries, key by index
        self.results: dict[int, RunResult] = {}  # of ended runs whose request holds a key
        self.followers: dict[int, list[int]] = {}  # requests that wait for the run of another

    def remember(self, key: str, index: int, until_unix_ms: float) -> None:
        """Let the request hold `key` until `until_unix_ms`, in place of whichever held it before."""
        previous = self.entries.get(key)
        if previous is not None:
            self.keys.pop(previous.request_index, None)
        self.entries[key] = KeyEntry(index, until_unix_ms)
        self.keys[index] = key

    def find_original(self, key: str, arrived_at_unix_ms: float) -> int | None:
        """Return the request that one which arrived then repeats, however late it is read."""
        entry = self.entries.get(key)
        return (
            entry.request_index if entry is not None and arrived_at_unix_ms <= entry.until_unix_ms else None
        )

    def forget(self, index: int) -> None:
        """Take its key from a request; later ones with this key are no repeats of it."""
        key = self.keys.pop(index, None)
        if key is not None and self.entries[key].request_index == index:
            del self.entries[key]

    def run_ended(self, index: int, result: RunResult) -> list[int]:
        """Keep the result for as long as it may be repeated; return the requests that wait for it."""
        if index in self.keys:
            self.results[index] = result
        return self.followers.pop(index, [])

    def add_follower(self, original: int, index: int) -> None:
        """Let a request wait for the run of `original`."""
        self.followers.setdefault(original, []).append(index)

    def remove_follower(self, original: int, index: int) -> None:
        """Let a request that may have waited for `original` wait no longer."""
        waiting = self.followers.get(original, [])
        if index in waiting:
            waiting.remove(index)
        if not waiting:
            self.followers.pop(original, None)

    def release(self, index: int) -> list[int]:
        """Forget all about a request; return those that still waited for it."""
        self.forget(index)
        self.results.pop(index, None)
        return self.followers.pop(index, [])
