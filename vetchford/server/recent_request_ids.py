"""The ids of requests that ran, for as long as a client may send them again."""

from collections import deque


class RecentRequestIds:
    """Keeps each id for a fixed time after its request was released.

    An id is new with every attempt. A client that uses one again, on the same or another connection, must not
    start a second run of a request with effects. Ids are removed, once their time has passed, by every call.
    """

    def __init__(self) -> None:
        """Start without ids."""
        self.expiries: deque[tuple[float, str]] = deque()  # expiry in ms and id, the earliest first
        self.ids: set[str] = set()

    def add(self, request_id: str, now_ms: float, keep_for_ms: float) -> None:
        """Keep an id for `keep_for_ms`, which is the same in all calls."""
        self._remove_expired(now_ms)
        self.ids.add(request_id)
        self.expiries.append((now_ms + keep_for_ms, request_id))

    def contains(self, request_id: str, now_ms: float) -> bool:
        """Return whether the id is kept."""
        self._remove_expired(now_ms)
        return request_id in self.ids

    def _remove_expired(self, now_ms: float) -> None:
        while self.expiries and self.expiries[0][0] <= now_ms:
            self.ids.discard(self.expiries.popleft()[1])
