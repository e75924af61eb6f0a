"""The tasks a server knows, by small index."""

from typing import Any

from vetchford.server.index_allocator import IndexAllocator


class RequestEntry:
    """What is kept of one task: where its answer goes, and what the worker pool was told last."""

    __slots__ = (
        "answered",
        "call",
        "caller",
        "commanded",
        "command",
        "content",
        "kind",
        "name",
        "need",
        "rpc_id",
        "until",
        "waits_for",
    )

    def __init__(self, name: str, kind: str, caller: Any, rpc_id: int, content: str, until: float) -> None:
        self.name, self.kind, self.caller, self.rpc_id, self.content = name, kind, caller, rpc_id, content
        self.until = until  # ms by the node's clock: its answer is due by then
        self.answered = False
        self.command: list[bytes] | None = None  # to the pool, which may not have arrived yet
        self.commanded: tuple[int, int] = (0, 0)  # link and poll that it was sent before
        self.need: tuple[int, bytes] = (0, b"")  # notice and body of the call it waits for
        self.call = 0  # number of the call that is out; 0: none
        self.waits_for = -1  # index of the task whose result it shares


class RequestTable(IndexAllocator):
    """Slots by index; a released index has none."""

    def __init__(self) -> None:
        super().__init__()
        self.slots: list[RequestEntry | None] = []

    def enter(self, slot: RequestEntry) -> int:
        q = self.add(slot.name)
        if q == len(self.slots):
            self.slots.append(slot)
        else:
            self.slots[q] = slot
        return q

    def __getitem__(self, q: int) -> RequestEntry:
        slot = self.slots[q]
        assert slot is not None
        return slot

    def release(self, q: int) -> None:
        super().release(q)
        self.slots[q] = None
