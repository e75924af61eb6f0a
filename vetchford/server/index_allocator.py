"""Small indices for names."""


class IndexAllocator:
    """Gives each name the index of a released one, or the next: as many as names were known at once."""

    def __init__(self) -> None:
        """Start without names."""
        self.by_name: dict[str, int] = {}  # emptied by `release`
        self.names: list[str] = []  # by index
        self.released: list[int] = []

    def add(self, name: str) -> int:
        """Return the index of a name that has none yet."""
        if self.released:
            index = self.released.pop()
            self.names[index] = name
        else:
            index = len(self.names)
            self.names.append(name)
        self.by_name[name] = index
        return index

    def release(self, index: int) -> None:
        """Forget the name; its index may be given to another."""
        del self.by_name[self.names[index]]
        self.released.append(index)
