"""The table of the requests that a server knows, by index."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol

from vetchford.server.index_allocator import IndexAllocator
from vetchford.server.worker_pool_command import WorkerPoolCommand

NO_ORIGINAL = -1  # index of the original, for a request that is no repeat


class Client(Protocol):
    """The connection that a request arrived on; its methods may be called from any thread."""

    def answer(self, rpc_id: int, parts: list[bytes]) -> None:
        """Send the final answer of a request, as parts of one message."""

    def is_gone(self) -> bool:
        """Return whether the connection broke, so that no answer can reach the client."""

    def stop_reading(self) -> None:
        """Stop reading, and close the connection once all open requests are answered."""

    def run_or_post(self, method: Callable[..., None], *arguments: Any) -> None:
        """Run `method`, one of the connection's methods, on the connection's actor."""


@dataclass(slots=True, eq=False)
class RequestEntry:
    """One request: where to send its answer, the last command to the worker pool, and its dependency call."""

    request_id: str
    method: str  # name of the request class on the wire
    client: Client
    rpc_id: int
    content: str  # request body in base64; emptied once the run has ended
    answer_due_ms: float  # by the server's clock
    idempotency_key: str | None = None  # from `qualified_key`; None: the request is not idempotent by key
    answered: bool = False
    ran_with_effects: bool = False  # a run that must not run twice was started, and did not prove unstarted
    command: WorkerPoolCommand | None = None  # last command to the worker pool, while it may not have arrived
    run_abandoned: bool = False  # the run's start is unconfirmed, and its end is not waited for any more
    blocked_notice: int = 0  # number of the notice that the run waits for a dependency call
    call_body: bytes = b""  # body of the dependency call that the run waits for
    call_number: int = 0  # number of the dependency call in flight; 0: none
    original: int = NO_ORIGINAL  # index of the original request, whose result this request shares


class RequestTable:
    """Entries by index, None for released indices. Used only on the admission actor's thread."""

    def __init__(self) -> None:
        """Start without requests."""
        self.indices = IndexAllocator()
        self.entries: list[RequestEntry | None] = []

    def __len__(self) -> int:
        """Return the number of known requests, including answered ones."""
        return len(self.indices.by_name)

    def __getitem__(self, index: int) -> RequestEntry:
        """Return the entry of an index that is in use."""
        entry = self.entries[index]
        assert entry is not None
        return entry

    def add(self, entry: RequestEntry) -> int:
        """Add a request whose `request_id` is not known yet; return its index."""
        index = self.indices.add(entry.request_id)
        if index == len(self.entries):
            self.entries.append(entry)
        else:
            self.entries[index] = entry
        return index

    def find(self, request_id: str) -> int | None:
        """Return the index of the request with this id, or None if the id is not known."""
        return self.indices.by_name.get(request_id)

    def is_unanswered(self, index: int) -> bool:
        """Return whether the index is in use and its request has no answer yet."""
        entry = self.entries[index]
        return entry is not None and not entry.answered

    def unanswered(self) -> Iterator[tuple[int, RequestEntry]]:
        """Yield index and entry of each unanswered request; entries are checked as the iteration proceeds."""
        for index, entry in enumerate(self.entries):
            if entry is not None and not entry.answered:
                yield index, entry

    def unanswered_entries(self) -> Iterator[RequestEntry]:
        """Yield the entries of `unanswered` without their indices, as every tick iterates over them."""
        for entry in self.entries:
            if entry is not None and not entry.answered:
                yield entry

    def release(self, index: int) -> None:
        """Remove the request; its index may be used again."""
        self.indices.release(index)
        self.entries[index] = None
