"""Gossip of the failure detector: which updates ride on the next message. No I/O."""

from typing import TypeAlias

MembershipUpdate: TypeAlias = tuple[str, str, int]
"""Name, state and incarnation of an agent, as they are sent."""


class UpdateQueue:
    """The agents of which there is something new, and how often it was sent."""

    def __init__(self) -> None:
        """Empty."""
        self.times_sent: dict[str, int] = {}

    def __len__(self) -> int:
        """The number of agents of which there is something new."""
        return len(self.times_sent)

    def add(self, name: str) -> None:
        """There is something new of an agent; older news of it is replaced."""
        self.times_sent[name] = 0

    def remove(self, name: str) -> None:
        """An agent is forgotten."""
        self.times_sent.pop(name, None)

    def take(self, limit: int, max_sends: int) -> list[str]:
        """At most `limit` agents whose updates are sent now, first those that were sent least often.

        What was sent `max_sends` times is dropped.
        """
        names = sorted(self.times_sent, key=lambda name: (self.times_sent[name], name))[:limit]
        for name in names:
            self.times_sent[name] += 1
            if self.times_sent[name] >= max_sends:
                del self.times_sent[name]
        return names
