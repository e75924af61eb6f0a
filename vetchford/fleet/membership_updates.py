"""Gossip of the failure detector: selects the updates piggybacked on the next message. No I/O."""

from typing import TypeAlias

MembershipUpdate: TypeAlias = tuple[str, str, int]
"""Name, state and incarnation of an agent, as they are sent."""


class UpdateQueue:
    """The agents whose newest update is still being spread, and how often it was sent."""

    def __init__(self) -> None:
        """Start empty."""
        self.times_sent: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of agents with an update to spread."""
        return len(self.times_sent)

    def add(self, name: str) -> None:
        """Add the newest update about an agent; it replaces an older one."""
        self.times_sent[name] = 0

    def remove(self, name: str) -> None:
        """Remove the update about a forgotten agent."""
        self.times_sent.pop(name, None)

    def take_next(self, limit: int, max_sends: int) -> list[str]:
        """Return at most `limit` agents whose updates are sent now, those sent least often first.

        An update that was sent `max_sends` times is removed.
        """
        names = sorted(self.times_sent, key=lambda name: (self.times_sent[name], name))[:limit]
        for name in names:
            self.times_sent[name] += 1
            if self.times_sent[name] >= max_sends:
                del self.times_sent[name]
        return names
