"""The requests that a server knows, by small index."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol

from vetchford.server.index_allocator import IndexAllocator

NO_ORIGINAL = -1  # in place of the index, for a request that is no repeat


class Client(Protocol):
    """The connection that a request came by; its methods may be called from any thread."""

    def answer(self, rpc_id: int, parts: list[bytes]) -> None:
        """Send the final answer of a request, as parts of one message."""

    def stop_reading(self) -> None:
        """Read nothing more, and close once all is answered."""

    def run_or_post(self, method: Callable[..., None], *arguments: Any) -> None:
        """Run one of its methods on the actor of the connection."""


@dataclass(slots=True, eq=False)
class RequestEntry:
    """What is kept of one request: where its answer goes, and what the worker pool was sent for it last."""

    request_id: str
    method: str  # name of the request class on the wire
    client: Client
    rpc_id: int
    content: str  # base64; emptied once the run has ended
    answer_due_ms: float  # by the server's clock
    idempotency_key: str | None = None  # with its class and a digest of the body; None: not idempotent by key
    answered: bool = False
    command: list[bytes] | None = None  # last command to the worker pool, while it may not have arrived
    command_link: int = 0  # number of the link that the command was sent on; 0: not sent
    command_poll: int = 0  # number of the last poll sent before it
    blocked_notice: int = 0  # number of the notice that the run waits for a dependency call
    call_body: bytes = b""  # body of that call
    call_number: int = 0  # number of the dependency call in flight; 0: none
    original: int = NO_ORIGINAL  # index of the request whose result this one shares


class RequestTable:
    """Entries by index; a released index has none. Used by the thread of the admission actor alone."""

    def __init__(self) -> None:
        """Start without requests."""
        self.indices = IndexAllocator()
        self.entries: list[RequestEntry | None] = []

    def __len__(self) -> int:
        """Return the number of requests that are known, answered ones included."""
        return len(self.indices.by_name)

    def __getitem__(self, index: int) -> RequestEntry:
        """Return the entry of an index that is in use."""
        entry = self.entries[index]
        assert entry is not None
        return entry

    def add(self, entry: RequestEntry) -> int:
        """Return the index of a request whose `request_id` is not known yet."""
        index = self.indices.add(entry.request_id)
        if index == len(self.entries):
            self.entries.append(entry)
        else:
            self.entries[index] = entry
        return index

    def find(self, request_id: str) -> int | None:
        """Return the index of a request by its id; None where it is not known."""
        return self.indices.by_name.get(request_id)

    def is_unanswered(self, index: int) -> bool:
        """Whether the index is in use and its request has no answer yet."""
        entry = self.entries[index]
        return entry is not None and not entry.answered

    def unanswered(self) -> Iterator[tuple[int, RequestEntry]]:
        """Yield the requests without an answer, each looked at as its turn comes."""
        for index, entry in enumerate(self.entries):
            if entry is not None and not entry.answered:
                yield index, entry

    def unanswered_entries(self) -> Iterator[RequestEntry]:
        """Yield what `unanswered` does, without the indices; each tick looks at all entries."""
        for entry in self.entries:
            if entry is not None and not entry.answered:
                yield entry

    def release(self, index: int) -> None:
        """Forget the request; its index may be given to another."""
        self.indices.release(index)
        self.entries[index] = None
