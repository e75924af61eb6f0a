"""Allocates small integer indices for names."""


class IndexAllocator:
    """Allocates released indices first, so that there are as few as names were known at the same time."""

    def __init__(self) -> None:
        """Create an allocator without names."""
        self.by_name: dict[str, int] = {}  # names are removed by `release`
        self.names: list[str] = []  # by index
        self.released: list[int] = []

    def add(self, name: str) -> int:
        """Allocate and return an index for a name that has none yet."""
        if self.released:
            index = self.released.pop()
            self.names[index] = name
        else:
            index = len(self.names)
            self.names.append(name)
        self.by_name[name] = index
        return index

    def release(self, index: int) -> None:
        """Remove the name with this index; the index may be used again."""
        del self.by_name[self.names[index]]
        self.released.append(index)
