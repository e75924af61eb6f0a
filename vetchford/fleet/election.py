"""Parts of an election of the record's leader: timeout, terms and votes. No I/O; times in ms.

`consensus.py` has the state machine that uses them.
"""

import zlib
from collections.abc import Iterable

from vetchford.fleet.consensus_messages import RecordBody, RecordVersion

ELECTION_TIMEOUT_MS = (
    3000.0  # without a leader's message; six heartbeats, so that one stall deposes no leader
)
ELECTION_JITTER_MS = 2000.0  # by which chance spreads the candidates
JITTER_STEPS = 10_000  # distinct timeouts within the jitter
TERMS_PER_ROUND = 64  # members for which each round has a term of their own


class ElectionTimer:
    """Says when a follower has been without a leader for so long that it asks for an election.

    Each timeout is drawn anew (Raft, 5.2), so that two candidates that split the votes do not do so again.
    """

    def __init__(self, seed: int, name: str, now_ms: float) -> None:
        """Starts with a full timeout; `seed` and `name` fix all draws, as a simulation must be repeatable."""
        self.seed = seed
        self.name = name
        self.draws = 0
        self.restarted_at_ms = now_ms
        self.timeout_ms = self.draw_timeout()

    def draw_timeout(self) -> float:
        """A timeout between `ELECTION_TIMEOUT_MS` and that plus `ELECTION_JITTER_MS`."""
        self.draws += 1
        step = zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % JITTER_STEPS
        return ELECTION_TIMEOUT_MS + step / JITTER_STEPS * ELECTION_JITTER_MS

    def restart(self, now_ms: float) -> None:
        """A leader was heard, or an election begins: the next one is a freshly drawn timeout away."""
        self.restarted_at_ms = now_ms
        self.timeout_ms = self.draw_timeout()

    def postpone(self, gap_ms: float) -> None:
        """This process did not run for `gap_ms`, which counts as no silence of the leader."""
        self.restarted_at_ms += gap_ms

    def silence_ms(self, now_ms: float) -> float:
        """How long no leader was heard."""
        return now_ms - self.restarted_at_ms

    def is_expired(self, now_ms: float) -> bool:
        """Whether it is time for an election."""
        return self.silence_ms(now_ms) >= self.timeout_ms


class Ballot:
    """The votes of one pre-vote or one vote, and the newest record among them."""

    def __init__(self, own_name: str, version: RecordVersion, body: RecordBody) -> None:
        """Begins with the candidate's own vote and its own copy of the record."""
        self.names = {own_name}
        self.newest_version = version
        self.newest_body = body

    def add(self, name: str) -> None:
        """Counts a vote; one that came twice counts once."""
        self.names.add(name)

    def add_record(self, version: RecordVersion, body: RecordBody) -> None:
        """Keeps a voter's copy of the record where it is newer than all before.

        Invariant: every committed record is on a majority of disks, and two majorities meet in some voter, so
        the newest copy among a majority of votes is the committed one or a later one.
        """
        if version > self.newest_version:
            self.newest_version = version
            self.newest_body = body


def next_own_term(name: str, members: Iterable[str], highest_seen_term: int) -> int:
    """The lowest term above all that were seen which only this agent may use.

    A round is `TERMS_PER_ROUND` terms, one for each place in the sorted list of members. So no two agents are
    ever candidates in one term, and two leaders of one term cannot be, whatever the votes.
    """
    completed_rounds = highest_seen_term // TERMS_PER_ROUND
    place = sorted(members).index(name) % TERMS_PER_ROUND
    return (completed_rounds + 1) * TERMS_PER_ROUND + place
