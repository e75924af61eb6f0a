"""The design's two counters: bytes read but not answered, of the server and of each client."""

import math


class InFlightBytes:
    """Bytes in memory and bytes unanswered, against the server's memory and its measured answer rate."""

    def __init__(self, memory_bytes: float, running_multiple: float, key_size_bytes: float) -> None:
        self.memory_bytes, self.key_size_bytes = memory_bytes, key_size_bytes
        self.usable_bytes = 0.85 * memory_bytes  # leaves room for what is read but not yet decided on
        self.running_extra = running_multiple - 1.0  # times its size, on top, once a request runs
        self.used_bytes, self.unanswered_bytes = (
            0.0,
            0,
        )  # used: queued, running at the multiple, and kept keys
        self.bytes_by_client: dict[int, int] = {}  # a client leaves when its last request is answered
        self.clearable_bytes = math.inf  # what the answer rate clears within a latency objective

    def add(self, client: int, size_bytes: int) -> None:
        self.used_bytes, self.unanswered_bytes = (
            self.used_bytes + size_bytes,
            self.unanswered_bytes + size_bytes,
        )
        self.bytes_by_client[client] = self.bytes_by_client.get(client, 0) + size_bytes

    def answered(self, client: int, size_bytes: int) -> None:
        self.unanswered_bytes -= size_bytes
        self.bytes_by_client[client] -= size_bytes
        if not self.bytes_by_client[client]:
            del self.bytes_by_client[client]

    def over_client_limit(self, client: int, size_bytes: int) -> bool:
        """Whether the client exceeds its part; `size` is that of its newest request, counted already."""
        # Below half the threshold room is lent; above, a client has one and a half equal parts of it, but one
        # request at least: with many clients a part is less, and priority weights would no longer count.
        clients, clearable = len(self.bytes_by_client), self.clearable_bytes
        if clients <= 1 or self.unanswered_bytes < 0.5 * clearable:
            return False
        return self.bytes_by_client[client] > max(size_bytes, 1.5 * clearable / clients)
