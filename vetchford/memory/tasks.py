"""The tasks a server knows, by small index."""

from typing import Any


class Slot:
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
        "waits_for",
    )

    def __init__(self, name: str, kind: str, caller: Any, rpc_id: int, content: str) -> None:
        self.name, self.kind, self.caller, self.rpc_id, self.content = name, kind, caller, rpc_id, content
        self.answered = False
        self.command: list[bytes] | None = None  # to the pool, which may not have arrived yet
        self.commanded: tuple[int, int] = (0, 0)  # link and poll that it was sent before
        self.need: tuple[int, bytes] = (0, b"")  # notice and body of the call it waits for
        self.call = 0  # number of the call that is out; 0: none
        self.waits_for = -1  # index of the task whose result it shares


class Tasks:
    """Indices are handed out anew once released, so the table is as long as the most tasks known at once."""

    def __init__(self) -> None:
        self.slots: list[Slot | None] = []
        self.spare: list[int] = []
        self.by_name: dict[str, int] = {}  # emptied by `release`

    def add(self, slot: Slot) -> int:
        if self.spare:
            q = self.spare.pop()
            self.slots[q] = slot
        else:
            q = len(self.slots)
            self.slots.append(slot)
        self.by_name[slot.name] = q
        return q

    def __getitem__(self, q: int) -> Slot:
        slot = self.slots[q]
        assert slot is not None
        return slot

    def release(self, q: int) -> None:
        del self.by_name[self[q].name]
        self.slots[q] = None
        self.spare.append(q)
