"""Parts of the leader election of the record: timeout, terms and votes. No I/O; times in ms.

The state machine in `consensus.py` uses them.
"""

import zlib
from collections.abc import Iterable

from vetchford.fleet.consensus_messages import RecordBody, RecordVersion

# Without a leader's message; six heartbeats, so that one stall does not depose the leader.
ELECTION_TIMEOUT_MS = 3000.0
ELECTION_JITTER_MS = 2000.0  # random addition to the timeout, so that few agents become candidates at once
JITTER_STEPS = 10_000  # number of distinct timeouts within the jitter
TERMS_PER_ROUND = 64  # members that have a term of their own in each round of terms


class ElectionTimer:
    """Randomized timer after which a follower without a leader starts an election.

    Each timeout is drawn again (Raft, 5.2), so that two candidates do not split the votes repeatedly.
    """

    def __init__(self, seed: int, name: str, now_ms: float) -> None:
        """Start with a full timeout; `seed` and `name` determine all draws, so that simulations repeat."""
        self.seed = seed
        self.name = name
        self.draws = 0
        self.restarted_at_ms = now_ms
        self.timeout_ms = self.draw_timeout()

    def draw_timeout(self) -> float:
        """Return a timeout from `ELECTION_TIMEOUT_MS` up to `ELECTION_JITTER_MS` more."""
        self.draws += 1
        step = zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % JITTER_STEPS
        return ELECTION_TIMEOUT_MS + step / JITTER_STEPS * ELECTION_JITTER_MS

    def restart(self, now_ms: float) -> None:
        """Start a new timeout, as a leader was heard or an election begins."""
        self.restarted_at_ms = now_ms
        self.timeout_ms = self.draw_timeout()

    def postpone(self, gap_ms: float) -> None:
        """Exclude `gap_ms`, in which this process did not run, from the leader's silence."""
        self.restarted_at_ms += gap_ms

    def silence_ms(self, now_ms: float) -> float:
        """Return how long no leader was heard."""
        return now_ms - self.restarted_at_ms

    def is_expired(self, now_ms: float) -> bool:
        """Return whether the timeout has passed."""
        return self.silence_ms(now_ms) >= self.timeout_ms


class Ballot:
    """The votes of one pre-vote or election, and the newest record received with them."""

    def __init__(self, own_name: str, version: RecordVersion, body: RecordBody) -> None:
        """Start with the candidate's own vote and its own copy of the record."""
        self.names = {own_name}
        self.newest_version = version
        self.newest_body = body

    def add(self, name: str) -> None:
        """Count a vote; a duplicate vote counts once."""
        self.names.add(name)

    def add_record(self, version: RecordVersion, body: RecordBody) -> None:
        """Keep a voter's copy of the record if it is newer than all copies before.

        Invariant: every committed record is on a majority of disks, and any two majorities share a voter, so
        the newest copy among a majority of votes is the committed record or a later one.
        """
        if version > self.newest_version:
            self.newest_version = version
            self.newest_body = body


def next_own_term(name: str, members: Iterable[str], highest_seen_term: int) -> int:
    """Return this agent's own term in the round after that of `highest_seen_term`.

    A round has `TERMS_PER_ROUND` terms, one for each index in the sorted list of members. Two agents with the
    same list, of `TERMS_PER_ROUND` members at most, are therefore never candidates in the same term.
    """
    completed_rounds = highest_seen_term // TERMS_PER_ROUND
    member_index = sorted(members).index(name) % TERMS_PER_ROUND
    return (completed_rounds + 1) * TERMS_PER_ROUND + member_index
