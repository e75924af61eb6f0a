"""Fingerprints with their windows, and the results kept for repeats."""


class IdempotencyCache:
    """Emptied by `drop` (never ran) and `release` (the window and a time limit are over); times in ms."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, float]] = {}  # index of the task and end of the window
        self.marks: dict[int, str] = {}  # the other way round
        self.results: dict[int, tuple[bool, str]] = {}  # of ended runs that have an entry
        self.sharing: dict[int, list[int]] = {}  # tasks that wait for another's run

    def keep(self, mark: str, q: int, until: float) -> None:
        before = self.entries.get(mark)
        if before is not None:
            self.marks.pop(before[0], None)
        self.entries[mark], self.marks[q] = (q, until), mark

    def find(self, mark: str, door: float) -> int | None:
        """The task that one which came at `door` repeats; however late it is read."""
        entry = self.entries.get(mark)
        return entry[0] if entry is not None and door <= entry[1] else None

    def drop(self, q: int) -> None:
        mark = self.marks.pop(q, None)
        if mark is not None and self.entries[mark][0] == q:
            del self.entries[mark]

    def end(self, q: int, completed: bool, content: str) -> list[int]:
        """Keeps the end of a run for as long as it may be repeated; returns those that wait for it."""
        if q in self.marks:
            self.results[q] = (completed, content)
        return self.sharing.pop(q, [])

    def wait(self, first: int, q: int) -> None:
        self.sharing.setdefault(first, []).append(q)

    def leave(self, first: int, q: int) -> None:
        """A task that waited has got another answer."""
        waiting = self.sharing.get(first, [])
        if q in waiting:
            waiting.remove(q)
        if not waiting:
            self.sharing.pop(first, None)

    def release(self, q: int) -> list[int]:
        self.drop(q)
        self.results.pop(q, None)
        return self.sharing.pop(q, [])
