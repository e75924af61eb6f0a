"""Which lease server leads: the votes, terms and leader lease of one server. No I/O; times in ms.

Leader leases as of Gray and Cheriton (1989). The four steps of the protocol are in the docstring of the
package; this module is the first. Sections: timers, the voter, the candidate and leader, the follower.
"""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from vetchford.leases.messages import (
    ElectionMessage,
    LeaderAnnouncement,
    LeaseMessage,
    VoteDenied,
    VoteGranted,
    VoteRequest,
)
from vetchford.leases.timing import (
    ELECTION_DELAY_MS,
    ELECTION_JITTER_MS,
    ELECTION_TIMEOUT_MS,
    JITTER_STEPS,
    LEADER_LEASE_MS,
    RENEWAL_INTERVAL_MS,
    STEP_DOWN_JITTER_MS,
    TERMS_PER_ROUND,
    VOTE_MS,
)


class Role(StrEnum):
    """What a server is in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ElectionActions(Protocol):
    """What the election acts through."""

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        """Sends a datagram to another server or to this one; it may be lost, late or duplicated."""

    def on_elected(self, now_ms: float, term: int) -> None:
        """This server leads from now on."""

    def on_stepped_down(self, term: int, reason: str) -> None:
        """This server led under `term` and leads no more."""


@dataclass(slots=True)
class Ballot:
    """One round of vote requests."""

    asked_at_ms: float
    voters: set[str] = field(default_factory=set)


class LeaderElection:
    """The vote and the candidacy of one server. Not thread-safe: for one actor's thread."""

    def __init__(
        self,
        actions: ElectionActions,
        name: str,
        servers: Sequence[str],
        seed: int,
        epoch: int,
        now_ms: float,
    ) -> None:
        """Starts as a follower that gives no vote yet.

        Args:
            actions: What it acts through.
            name: Of this server, one of `servers`.
            servers: All lease servers; the same on all of them.
            seed: With `name` it chooses when the server stands for election.
            epoch: Tenths of a second of the time of day, from which terms are counted. A server stands for
                election less often than that, so terms grow also when all servers restart.
            now_ms: Monotonic time of this server.
        """
        self.actions = actions
        self.name = name
        self.servers = sorted(servers)
        self.seed = seed
        self.draws = 0
        self.highest_term = epoch * TERMS_PER_ROUND  # that was seen
        self.no_vote_until_ms = now_ms + VOTE_MS  # a vote given before our start may still bind
        self.voted_for = ""
        self.vote_expires_at_ms = 0.0
        self.leader = ""  # as last announced by another
        self.leader_term = 0
        self.term = 0  # of our own candidacy or lead; 0: follower
        self.leads_until_ms = 0.0  # of our leader lease; 0: not elected
        self.ballots: dict[int, Ballot] = {}  # by sequence; dropped with age
        self.sequence = 0
        self.next_ballot_at_ms = now_ms
        self.last_leader_contact_ms = now_ms
        self.election_delay_ms = 0.0
        self._restart_election_timer(now_ms, ELECTION_JITTER_MS)

    @property
    def role(self) -> Role:
        """The role, whether or not a leader lease has expired since the last tick; see `leads`."""
        if not self.term:
            return Role.FOLLOWER
        return Role.LEADER if self.leads_until_ms else Role.CANDIDATE

    def leads(self, now_ms: float) -> bool:
        """Whether this server holds the leader lease now. To be asked before each act as the leader."""
        return self.role is Role.LEADER and now_ms < self.leads_until_ms

    def receive(self, now_ms: float, sender: str, message: ElectionMessage) -> None:
        """Handles a message of another server, or of this one to itself."""
        match message:
            case VoteRequest():
                self.on_vote_request(now_ms, sender, message)
            case VoteDenied():
                self.on_vote_denied(now_ms, sender, message)
            case VoteGranted():
                self.on_vote_granted(now_ms, sender, message)
            case LeaderAnnouncement():
                self.on_leader_announcement(now_ms, sender, message)

    # -- timers

    def tick(self, now_ms: float) -> None:
        """Handles timers; to be called several times a second."""
        self._drop_old_ballots(now_ms)
        if self.role is Role.LEADER and now_ms >= self.leads_until_ms:
            self._step_down(now_ms, "its leader lease expired")
        if self.role is Role.CANDIDATE and now_ms - self.last_leader_contact_ms > ELECTION_TIMEOUT_MS:
            self._step_down(now_ms, "not elected")
        if self.role is not Role.FOLLOWER:
            if now_ms >= self.next_ballot_at_ms:
                self._request_votes(now_ms)
        elif self._is_election_due(now_ms):
            self._stand(now_ms)

    def _is_election_due(self, now_ms: float) -> bool:
        """Whether a follower stands for election: no leader for long enough, and its own vote is free."""
        no_leader_for_ms = now_ms - self.last_leader_contact_ms
        return no_leader_for_ms >= self.election_delay_ms and now_ms >= self.no_vote_until_ms

    def _restart_election_timer(self, now_ms: float, jitter_ms: float) -> None:
        """Waits for the expiry of the last vote, and for a random time, so that two seldom stand at once."""
        self.last_leader_contact_ms = now_ms
        self.election_delay_ms = VOTE_MS + ELECTION_DELAY_MS + self._draw_ms(jitter_ms)

    def _draw_ms(self, maximum_ms: float) -> float:
        """A reproducible pseudo-random time from 0 to `maximum_ms`."""
        self.draws += 1
        drawn = zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws))
        return drawn % JITTER_STEPS / JITTER_STEPS * maximum_ms

    # -- the voter

    def on_vote_request(self, now_ms: float, sender: str, request: VoteRequest) -> None:
        """Votes for `sender`, or denies it the vote."""
        if not self._may_vote_for(now_ms, sender, request.term):
            denial = VoteDenied(term=self.highest_term, requested_term=request.term)
            self.actions.send_lease_message(sender, denial)
            return
        if self.term and request.term > self.term:
            self._step_down(now_ms, f"{sender} stands for a higher term")
        self.highest_term = request.term
        self.voted_for = sender
        self.vote_expires_at_ms = now_ms + VOTE_MS
        if sender != self.name:
            self._restart_election_timer(now_ms, ELECTION_JITTER_MS)
        granted = VoteGranted(term=request.term, sequence=request.sequence)
        self.actions.send_lease_message(sender, granted)

    def _may_vote_for(self, now_ms: float, candidate: str, term: int) -> bool:
        """Whether a vote may be given: to one server at a time, and for no term below one that was seen.

        A vote binds for `VOTE_MS`, by which time the leader lease that rests on it has expired. After a start
        none is given for as long, as one that was given before may still bind.
        """
        is_free = not self.voted_for or now_ms >= self.vote_expires_at_ms or self.voted_for == candidate
        is_listed = candidate in self.servers
        return is_listed and is_free and term >= self.highest_term and now_ms >= self.no_vote_until_ms

    # -- the candidate and leader

    def on_vote_denied(self, now_ms: float, sender: str, denial: VoteDenied) -> None:
        """Steps down where the voter has seen a higher term than ours."""
        self.highest_term = max(self.highest_term, denial.term)
        if self.term and denial.requested_term == self.term and denial.term > self.term:
            self._step_down(now_ms, f"{sender} knows a higher term")

    def on_vote_granted(self, now_ms: float, sender: str, granted: VoteGranted) -> None:
        """Counts a vote; a majority begins or extends our leader lease."""
        ballot = self.ballots.get(granted.sequence)
        if ballot is None or granted.term != self.term or sender not in self.servers:
            return
        ballot.voters.add(sender)
        majority = len(self.servers) // 2 + 1
        if len(ballot.voters) < majority:
            return
        expires_at_ms = ballot.asked_at_ms + LEADER_LEASE_MS  # from when we asked: no vote was given earlier
        if self.role is Role.CANDIDATE:
            if now_ms >= expires_at_ms:
                return
            self.actions.on_elected(now_ms, self.term)
        self.leads_until_ms = max(self.leads_until_ms, expires_at_ms)
        self.last_leader_contact_ms = now_ms
        if len(ballot.voters) == majority:
            self._announce()

    def _stand(self, now_ms: float) -> None:
        """Becomes a candidate under a term that no other server uses."""
        round_number = self.highest_term // TERMS_PER_ROUND + 1
        self.highest_term = round_number * TERMS_PER_ROUND + self.servers.index(self.name)
        self.term = self.highest_term
        self.last_leader_contact_ms = now_ms
        self._request_votes(now_ms)

    def _request_votes(self, now_ms: float) -> None:
        self.next_ballot_at_ms = now_ms + RENEWAL_INTERVAL_MS
        self.sequence += 1
        self.ballots[self.sequence] = Ballot(now_ms)
        for server in self.servers:
            self.actions.send_lease_message(server, VoteRequest(term=self.term, sequence=self.sequence))

    def _announce(self) -> None:
        for server in self.servers:
            if server != self.name:
                self.actions.send_lease_message(server, LeaderAnnouncement(term=self.term))

    def _step_down(self, now_ms: float, reason: str) -> None:
        """Becomes a follower, which waits past the expiry of its voters' votes, its own among them.

        Servers that stood again while those bind would only block each other.
        """
        was_leader = self.role is Role.LEADER
        term = self.term
        self.term = 0
        self.leads_until_ms = 0.0
        self.ballots = {}
        if was_leader:
            self.actions.on_stepped_down(term, reason)
        self._restart_election_timer(now_ms, STEP_DOWN_JITTER_MS)

    def _drop_old_ballots(self, now_ms: float) -> None:
        self.ballots = {
            sequence: ballot
            for sequence, ballot in self.ballots.items()
            if now_ms - ballot.asked_at_ms <= LEADER_LEASE_MS
        }

    # -- the follower

    def on_leader_announcement(self, now_ms: float, sender: str, announcement: LeaderAnnouncement) -> None:
        """Remembers who leads, to refer clients to it."""
        if announcement.term >= self.leader_term and sender in self.servers:
            self.leader = sender
            self.leader_term = announcement.term
            self._restart_election_timer(now_ms, ELECTION_JITTER_MS)
