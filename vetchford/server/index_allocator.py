"""Small indices for ids."""


class IndexAllocator:
    """Handed out anew once released, so the table is as long as the most ids known at once."""

    def __init__(self) -> None:
        self.by_name: dict[str, int] = {}  # emptied by `release`
        self.names: list[str] = []  # by index; reused through `spare`
        self.spare: list[int] = []

    def add(self, name: str) -> int:
        if self.spare:
            q = self.spare.pop()
            self.names[q] = name
        else:
            q = len(self.names)
            self.names.append(name)
        self.by_name[name] = q
        return q

    def release(self, q: int) -> None:
        del self.by_name[self.names[q]]
        self.spare.append(q)
