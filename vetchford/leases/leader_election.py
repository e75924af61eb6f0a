"""Which lease server leads: votes, terms and the leader lease of one server. No I/O; times in ms.

The four steps of the protocol are in the docstring of the package; this module is the first.
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
    LEADER_LEASE_MS,
    MAX_CLOCK_RATE_RATIO,
    RENEWAL_INTERVAL_MS,
    TERMS_PER_ROUND,
)

VOTE_MS = LEADER_LEASE_MS * MAX_CLOCK_RATE_RATIO  # for which a vote binds, by the voter's clock


class Role(StrEnum):
    """What a server is in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ElectionActions(Protocol):
    """What the election acts through."""

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        """Sends a datagram to another server or to this one; it may be lost, late or duplicated."""

    def on_elected(self, now: float, term: int) -> None:
        """This server leads from now on."""

    def on_stepped_down(self, term: int, reason: str) -> None:
        """This server led under `term` and leads no more."""


@dataclass(slots=True)
class Ballot:
    """One round of vote requests."""

    asked_at: float
    voters: set[str] = field(default_factory=set)


class LeaderElection:
    """The vote and the candidacy of one server."""

    def __init__(
        self, actions: ElectionActions, name: str, servers: Sequence[str], seed: int, epoch: int, now: float
    ) -> None:
        """Starts as a follower that gives no vote yet.

        `epoch`: tenths of a second of the day's clock, from which terms are counted. A server stands less
        often than that, so terms grow also when all servers restart.
        """
        self.actions, self.name, self.servers = actions, name, sorted(servers)
        self.seed, self.draws = seed, 0
        self.highest_term = epoch * TERMS_PER_ROUND  # that was seen
        self.no_vote_until = now + VOTE_MS  # a vote given before our start may still bind
        self.voted_for, self.vote_expires_at = "", 0.0
        self.leader, self.leader_term = "", 0  # as last announced by another
        self.term = 0  # of our own candidacy or lead; 0: follower
        self.leads_until = 0.0  # of our leader lease; 0: not elected
        self.ballots: dict[int, Ballot] = {}  # by sequence; dropped with age
        self.sequence, self.next_ballot_at = 0, now
        self.last_leader_contact, self.election_delay = now, 0.0
        self._restart_election_timer(now, ELECTION_JITTER_MS)

    @property
    def role(self) -> Role:
        """The role, whether or not a leader lease has expired since the last tick; see `leads`."""
        if not self.term:
            return Role.FOLLOWER
        return Role.LEADER if self.leads_until else Role.CANDIDATE

    def leads(self, now: float) -> bool:
        """Whether this server holds the leader lease now. To be asked before each act as the leader."""
        return self.role is Role.LEADER and now < self.leads_until

    def tick(self, now: float) -> None:
        """Handles timers; to be called several times a second."""
        self._drop_old_ballots(now)
        if self.role is Role.LEADER and now >= self.leads_until:
            self._step_down(now, "its lease ran out")
        if self.role is Role.CANDIDATE and now - self.last_leader_contact > ELECTION_TIMEOUT_MS:
            self._step_down(now, "not elected")
        if self.role is not Role.FOLLOWER:
            if now >= self.next_ballot_at:
                self._request_votes(now)
        elif now - self.last_leader_contact >= self.election_delay and now >= self.no_vote_until:
            self._stand(now)

    def receive(self, now: float, sender: str, message: ElectionMessage) -> None:
        """Handles a message of another server, or of this one to itself."""
        match message:
            case VoteRequest():
                self.on_vote_request(now, sender, message)
            case VoteDenied():
                self.on_vote_denied(now, sender, message)
            case VoteGranted():
                self.on_vote_granted(now, sender, message)
            case LeaderAnnouncement():
                self.on_leader_announcement(now, sender, message)

    def on_vote_request(self, now: float, sender: str, request: VoteRequest) -> None:
        """Votes for `sender` unless an earlier vote for another still binds."""
        free = not self.voted_for or now >= self.vote_expires_at or self.voted_for == sender
        known = sender in self.servers
        if not known or request.term < self.highest_term or now < self.no_vote_until or not free:
            denial = VoteDenied(term=self.highest_term, requested_term=request.term)
            self.actions.send_lease_message(sender, denial)
            return
        if self.term and request.term > self.term:
            self._step_down(now, f"{sender} stands for a higher term")
        self.highest_term = request.term
        self.voted_for, self.vote_expires_at = sender, now + VOTE_MS
        if sender != self.name:
            self._restart_election_timer(now, ELECTION_JITTER_MS)
        granted = VoteGranted(term=request.term, sequence=request.sequence)
        self.actions.send_lease_message(sender, granted)

    def on_vote_denied(self, now: float, sender: str, denial: VoteDenied) -> None:
        """Steps down where the voter has seen a higher term than ours."""
        self.highest_term = max(self.highest_term, denial.term)
        if self.term and denial.requested_term == self.term and denial.term > self.term:
            self._step_down(now, f"{sender} knows a higher term")

    def on_vote_granted(self, now: float, sender: str, granted: VoteGranted) -> None:
        """Counts a vote; a majority begins or extends our leader lease."""
        ballot = self.ballots.get(granted.sequence)
        if ballot is None or granted.term != self.term or sender not in self.servers:
            return
        ballot.voters.add(sender)
        majority = len(self.servers) // 2 + 1
        if len(ballot.voters) < majority:
            return
        expires_at = ballot.asked_at + LEADER_LEASE_MS  # from when we asked: no vote was given earlier
        if self.role is Role.CANDIDATE:
            if now >= expires_at:
                return
            self.actions.on_elected(now, self.term)
        self.leads_until = max(self.leads_until, expires_at)
        self.last_leader_contact = now
        if len(ballot.voters) == majority:
            self._announce()

    def on_leader_announcement(self, now: float, sender: str, announcement: LeaderAnnouncement) -> None:
        """Remembers who leads, to refer clients to it."""
        if announcement.term >= self.leader_term and sender in self.servers:
            self.leader, self.leader_term = sender, announcement.term
            self._restart_election_timer(now, ELECTION_JITTER_MS)

    def _stand(self, now: float) -> None:
        """Becomes a candidate under a term that no other server uses."""
        round_number = self.highest_term // TERMS_PER_ROUND + 1
        self.highest_term = round_number * TERMS_PER_ROUND + self.servers.index(self.name)
        self.term, self.last_leader_contact = self.highest_term, now
        self._request_votes(now)

    def _request_votes(self, now: float) -> None:
        self.next_ballot_at = now + RENEWAL_INTERVAL_MS
        self.sequence += 1
        self.ballots[self.sequence] = Ballot(now)
        for server in self.servers:
            self.actions.send_lease_message(server, VoteRequest(term=self.term, sequence=self.sequence))

    def _announce(self) -> None:
        for server in self.servers:
            if server != self.name:
                self.actions.send_lease_message(server, LeaderAnnouncement(term=self.term))

    def _step_down(self, now: float, reason: str) -> None:
        led, term = self.role is Role.LEADER, self.term
        self.term, self.leads_until = 0, 0.0
        self.ballots = {}
        if led:
            self.actions.on_stepped_down(term, reason)
        # Past the votes that we had, our own among them: servers that stand anew while those bind only
        # block each other.
        self._restart_election_timer(now, 2.0 * ELECTION_JITTER_MS)

    def _drop_old_ballots(self, now: float) -> None:
        self.ballots = {
            sequence: ballot
            for sequence, ballot in self.ballots.items()
            if now - ballot.asked_at <= LEADER_LEASE_MS
        }

    def _restart_election_timer(self, now: float, jitter: float) -> None:
        self.last_leader_contact = now
        self.election_delay = VOTE_MS + ELECTION_DELAY_MS + self._draw(jitter)

    def _draw(self, maximum: float) -> float:
        """A reproducible pseudo-random number from 0 to `maximum`."""
        self.draws += 1
        drawn = zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws))
        return drawn % 10_000 / 10_000.0 * maximum
