"""Detection of duplicate datagrams: each number is accepted once, the newest WINDOW_SIZE in any order.

The sliding window is that of IPsec (RFC 4303, section 3.4.3).
"""

from vetchford.transport.faults import SequenceFault

WINDOW_SIZE = 64  # datagrams that may arrive out of order; older ones are refused


class ReplayWindow:
    """The sequence numbers received from one incarnation of a peer."""

    def __init__(self) -> None:
        """Start without received numbers; the first number is 1."""
        self.newest_sequence = 0
        self.received_bits = 0  # bit n: number newest - n was received

    def check_and_mark(self, sequence: int) -> SequenceFault | None:
        """Mark a number as received; return why it is refused, or None."""
        if sequence > self.newest_sequence:
            self._advance(sequence)
        elif self.newest_sequence - sequence >= WINDOW_SIZE:
            return SequenceFault.LATE
        bit = 1 << (self.newest_sequence - sequence)
        if self.received_bits & bit:
            return SequenceFault.DUPLICATE
        self.received_bits |= bit
        return None

    def _advance(self, sequence: int) -> None:
        advance = sequence - self.newest_sequence
        bits_in_window = (
            (self.received_bits << advance) & ((1 << WINDOW_SIZE) - 1) if advance < WINDOW_SIZE else 0
        )
        self.newest_sequence = sequence
        self.received_bits = bits_in_window
