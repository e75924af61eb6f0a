"""Sequence numbers of datagrams: each is taken once, the newest WINDOW_SIZE of them in any order.

The sliding window is that of IPsec (RFC 4303, section 3.4.3).
"""

from vetchford.transport.faults import SequenceFault

WINDOW_SIZE = 64  # datagrams that may overtake each other; older ones are refused unseen


class ReplayWindow:
    """The numbers that were seen from one incarnation of a peer."""

    def __init__(self) -> None:
        """Begins with no number seen; numbers count from 1."""
        self.newest = 0
        self.seen = 0  # bit n: newest - n was seen

    def take(self, sequence: int) -> SequenceFault | None:
        """Marks a number as seen; returns why it is refused, or None."""
        if sequence > self.newest:
            self._advance(sequence)
        elif self.newest - sequence >= WINDOW_SIZE:
            return SequenceFault.LATE
        bit = 1 << (self.newest - sequence)
        if self.seen & bit:
            return SequenceFault.DUPLICATE
        self.seen |= bit
        return None

    def _advance(self, sequence: int) -> None:
        step = sequence - self.newest
        kept = (self.seen << step) & ((1 << WINDOW_SIZE) - 1) if step < WINDOW_SIZE else 0
        self.newest = sequence
        self.seen = kept
