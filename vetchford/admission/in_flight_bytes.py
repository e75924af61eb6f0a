"""The design's two counters: bytes read but not answered, of the server and of each client."""

import math


class InFlightBytes:
    """Bytes in memory and bytes unanswered, against the server's memory and its measured answer rate."""

    def __init__(self, memory: float, running_multiple: float, key_size: float) -> None:
        self.memory, self.key_size = memory, key_size
        self.usable = 0.85 * memory  # leaves room for what is read but not yet decided on
        self.running_extra = running_multiple - 1.0  # times its size, on top, once a request runs
        self.used, self.unanswered = 0.0, 0  # used: queued, running at the multiple, and kept keys
        self.by_client: dict[int, int] = {}  # a client leaves when its last request is answered
        self.clearable_bytes = math.inf  # what the answer rate clears within a latency objective

    def add(self, client: int, size: int) -> None:
        self.used, self.unanswered = self.used + size, self.unanswered + size
        self.by_client[client] = self.by_client.get(client, 0) + size

    def answered(self, client: int, size: int) -> None:
        self.unanswered -= size
        self.by_client[client] -= size
        if not self.by_client[client]:
            del self.by_client[client]

    def over_client_limit(self, client: int, size: int) -> bool:
        """Whether the client exceeds its part; `size` is that of its newest request, counted already."""
        # Below half the threshold room is lent; above, a client has one and a half equal parts of it, but one
        # request at least: with many clients a part is less, and priority weights would no longer count.
        clients, clearable = len(self.by_client), self.clearable_bytes
        if clients <= 1 or self.unanswered < 0.5 * clearable:
            return False
        return self.by_client[client] > max(size, 1.5 * clearable / clients)
