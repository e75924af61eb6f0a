"""The design's two counters: bytes read but not answered, of the server and of each client."""

import math

USABLE_MEMORY_FRACTION = 0.85
"""Leaves room for what is read but not yet decided on."""
LENDING_FRACTION = 0.5
"""Part of the node threshold below which spare room is lent to any client."""
CLIENT_PARTS = 1.5
"""Equal parts of the node threshold that one client may have."""


class InFlightBytes:
    """Bytes in memory and bytes unanswered, against the server's memory and its measured answer rate."""

    def __init__(self, memory_bytes: float, running_multiple: float, key_size_bytes: float) -> None:
        """Start with nothing in memory.

        Args:
            memory_bytes: Of the worker pool, for requests.
            running_multiple: Memory of an executing request over that of a queued one.
            key_size_bytes: Memory that a kept idempotency key takes.
        """
        self.memory_bytes = memory_bytes
        self.key_size_bytes = key_size_bytes
        self.usable_bytes = USABLE_MEMORY_FRACTION * memory_bytes
        self.running_extra = running_multiple - 1.0
        """Memory of a request, over its size, that is added once it runs."""
        self.used_bytes = 0.0
        """Of requests queued, of those executing at the multiple, and of kept keys."""
        self.unanswered_bytes = 0
        self.bytes_by_client: dict[int, int] = {}
        """Unanswered; a client leaves when its last request is answered."""
        self.clearable_bytes = math.inf
        """The node threshold: what the answer rate clears within a latency objective."""

    def add(self, client: int, size_bytes: int) -> None:
        """Count a request that was read."""
        self.used_bytes += size_bytes
        self.unanswered_bytes += size_bytes
        self.bytes_by_client[client] = self.bytes_by_client.get(client, 0) + size_bytes

    def answered(self, client: int, size_bytes: int) -> None:
        """Count a request back that got its answer; its memory may still be used."""
        self.unanswered_bytes -= size_bytes
        self.bytes_by_client[client] -= size_bytes
        if not self.bytes_by_client[client]:
            del self.bytes_by_client[client]

    def over_node_limit(self) -> bool:
        """Return whether the unanswered bytes exceed what the answer rate clears.

        The paper's native_transport_max_concurrent_requests_in_bytes, with a measured threshold.
        """
        return self.unanswered_bytes > self.clearable_bytes

    def over_client_limit(self, client: int, size_bytes: int) -> bool:
        """Return whether the client exceeds its part of the node threshold.

        The paper's native_transport_max_concurrent_requests_in_bytes_per_ip. A client that is alone has no
        limit. The limit binds above a fill level, below which spare room is lent (design). One request is
        always within it: with many clients a part is less than a request, and priority weights would no
        longer count.

        Args:
            client: Whose request has arrived.
            size_bytes: Of that request, which is counted already.
        """
        clients = len(self.bytes_by_client)
        if clients <= 1:
            return False
        room_is_lent = self.unanswered_bytes < LENDING_FRACTION * self.clearable_bytes
        if room_is_lent:
            return False
        client_part_bytes = CLIENT_PARTS * self.clearable_bytes / clients
        return self.bytes_by_client[client] > max(size_bytes, client_part_bytes)
