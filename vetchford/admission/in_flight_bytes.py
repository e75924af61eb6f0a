"""The counters of unanswered bytes, of the server and of each client (docs/design.md)."""

import math

USABLE_MEMORY_FRACTION = 0.85
"""The rest of the memory is for requests that are read but not yet admitted or rejected."""
LENDING_FRACTION = 0.5
"""Fraction of the node threshold below which a client may use bytes beyond its share."""
CLIENT_SHARE_FACTOR = 1.5
"""A client's share of the node threshold, in multiples of an equal share."""
MIN_REQUESTS = 2.0
"""Requests of its own size that an arriving request finds room for, whatever sizes were measured before."""


class InFlightBytes:
    """Counts bytes in memory and unanswered bytes, and compares them with the server's limits."""

    def __init__(self, memory_bytes: float, running_multiple: float, key_size_bytes: float) -> None:
        """Start with nothing in memory.

        Args:
            memory_bytes: Memory of the worker pool for requests.
            running_multiple: Memory of an executing request over that of a queued request.
            key_size_bytes: Memory that a kept idempotency key takes.
        """
        self.memory_bytes = memory_bytes
        self.key_size_bytes = key_size_bytes
        self.usable_bytes = USABLE_MEMORY_FRACTION * memory_bytes
        self.running_extra_factor = running_multiple - 1.0
        """Memory that a run adds to that of its queued request, over the request's size."""
        self.used_bytes = 0.0
        """Memory of queued requests, of executing requests at the multiple, and of kept idempotency keys."""
        self.unanswered_bytes = 0
        self.bytes_by_client: dict[int, int] = {}
        """Unanswered bytes by client; a client is removed when its last request is answered."""
        self.clearable_bytes = math.inf
        """The node threshold: bytes that can be answered within a latency objective at the recent rate."""

    def add(self, client: int, size_bytes: int) -> None:
        """Count a request that was read."""
        self.used_bytes += size_bytes
        self.unanswered_bytes += size_bytes
        self.bytes_by_client[client] = self.bytes_by_client.get(client, 0) + size_bytes

    def answered(self, client: int, size_bytes: int) -> None:
        """Count a request as answered; its memory may still be in use."""
        self.unanswered_bytes -= size_bytes
        self.bytes_by_client[client] -= size_bytes
        if not self.bytes_by_client[client]:
            del self.bytes_by_client[client]

    def node_limit_bytes(self, size_bytes: int) -> float:
        """Return the node threshold for an arriving request.

        The threshold follows the measured sizes, which clients declare. If small requests had made it lower
        than an ordinary request, none would be admitted any more, and no size would be measured.
        """
        return max(self.clearable_bytes, MIN_REQUESTS * size_bytes)

    def over_node_limit(self, size_bytes: int) -> bool:
        """Return whether the unanswered bytes exceed the node threshold for a request of `size_bytes`.

        The limit is named `native_transport_max_concurrent_requests_in_bytes` in Apache Cassandra
        (docs/design.md), where it is a setting; here it is computed from the measured answer rate.
        """
        return self.unanswered_bytes > self.node_limit_bytes(size_bytes)

    def over_client_limit(self, client: int, size_bytes: int) -> bool:
        """Return whether the client exceeds its share of the node threshold.

        The limit is named `native_transport_max_concurrent_requests_in_bytes_per_ip` in Apache Cassandra
        (docs/design.md). A sole client has no limit, and the limit applies only while at least
        `LENDING_FRACTION` of the node threshold is in use. One request is always within the limit: with many
        clients a share is smaller than a request, and requests would be evicted regardless of their priority.

        Args:
            client: Client whose request has arrived.
            size_bytes: Size of that request, which is already counted.
        """
        clients = len(self.bytes_by_client)
        if clients <= 1:
            return False
        has_spare_bytes = self.unanswered_bytes < LENDING_FRACTION * self.clearable_bytes
        if has_spare_bytes:
            return False
        client_share_bytes = CLIENT_SHARE_FACTOR * self.clearable_bytes / clients
        return self.bytes_by_client[client] > max(size_bytes, client_share_bytes)
