"""Election of the lease server that leads: votes, terms and leader lease of one server. No I/O; times in ms.

Implements rule 1 of the protocol in the docstring of the package: leader leases as described by Gray and
Cheriton (1989).
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
    VOTE_VALIDITY_MS,
)


class Role(StrEnum):
    """The role of a server in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ElectionActions(Protocol):
    """The actions of the election."""

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        """Send a datagram to a server, which may be this one; it may be lost, delayed or duplicated."""

    def on_elected(self, now_ms: float, term: int) -> None:
        """Handle the election of this server as the leader under `term`."""

    def on_stepped_down(self, term: int, reason: str) -> None:
        """Handle the loss of the leadership that this server had under `term`."""


@dataclass(slots=True)
class Ballot:
    """One round of vote requests."""

    requested_at_ms: float
    voters: set[str] = field(default_factory=set)


class LeaderElection:
    """The votes and the candidacy of one server.

    Not thread-safe: only for the thread of the actor that owns it.
    """

    def __init__(
        self,
        actions: ElectionActions,
        name: str,
        servers: Sequence[str],
        seed: int,
        epoch: int,
        now_ms: float,
    ) -> None:
        """Start as a follower that does not vote yet.

        Args:
            actions: Sends messages and is notified of the leadership of this server.
            name: Name of this server, one of `servers`.
            servers: Names of all lease servers; the same on each of them.
            seed: Seed of the jitter of elections, together with `name`.
            epoch: Time of day in tenths of a second, at which terms start. Candidacies are less frequent than
                epochs, so terms increase even if all servers restart.
            now_ms: Monotonic time of this server.
        """
        self.actions = actions
        self.name = name
        self.servers = sorted(servers)
        self.seed = seed
        self.draw_count = 0
        self.highest_seen_term = epoch * TERMS_PER_ROUND
        self.may_vote_from_ms = now_ms + VOTE_VALIDITY_MS  # an earlier vote may still be valid
        self.voted_for = ""
        self.vote_expires_at_ms = 0.0
        self.leader = ""  # another server, by its latest announcement
        self.leader_term = 0
        self.term = 0  # of this server as candidate or leader; 0: follower
        self.leads_until_ms = 0.0  # expiry of the leader lease of this server; 0: not elected
        self.ballots: dict[int, Ballot] = {}  # by sequence; old ones are removed
        self.sequence = 0
        self.next_ballot_at_ms = now_ms
        self.last_leader_contact_ms = now_ms
        self.election_delay_ms = 0.0
        self._restart_election_timer(now_ms, ELECTION_JITTER_MS)

    @property
    def role(self) -> Role:
        """The role as of the last tick; the leader lease may have expired since, see `leads`."""
        if not self.term:
            return Role.FOLLOWER
        return Role.LEADER if self.leads_until_ms else Role.CANDIDATE

    def leads(self, now_ms: float) -> bool:
        """Return whether this server holds the leader lease now; check it before acting as the leader."""
        return self.role is Role.LEADER and now_ms < self.leads_until_ms

    def receive(self, now_ms: float, sender: str, message: ElectionMessage) -> None:
        """Handle a message from a server, which may be this one."""
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
        """Handle timers; call this several times a second."""
        self._drop_old_ballots(now_ms)
        if self.role is Role.LEADER and now_ms >= self.leads_until_ms:
            self._step_down(now_ms, "its leader lease expired")
        if self.role is Role.CANDIDATE and now_ms - self.last_leader_contact_ms > ELECTION_TIMEOUT_MS:
            self._step_down(now_ms, "not elected")
        if self.role is not Role.FOLLOWER:
            if now_ms >= self.next_ballot_at_ms:
                self._request_votes(now_ms)
        elif self._is_election_due(now_ms):
            self._become_candidate(now_ms)

    def _is_election_due(self, now_ms: float) -> bool:
        """Return whether a follower becomes a candidate: the election delay has passed and it may vote."""
        no_leader_for_ms = now_ms - self.last_leader_contact_ms
        return no_leader_for_ms >= self.election_delay_ms and now_ms >= self.may_vote_from_ms

    def _restart_election_timer(self, now_ms: float, jitter_ms: float) -> None:
        """Delay the candidacy past the expiry of the last vote; jitter makes competing candidates rare."""
        self.last_leader_contact_ms = now_ms
        self.election_delay_ms = VOTE_VALIDITY_MS + ELECTION_DELAY_MS + self._random_delay_ms(jitter_ms)

    def _random_delay_ms(self, maximum_ms: float) -> float:
        """Return a reproducible pseudo-random time from 0 to `maximum_ms`."""
        self.draw_count += 1
        checksum = zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draw_count))
        return checksum % JITTER_STEPS / JITTER_STEPS * maximum_ms

    # -- voter

    def on_vote_request(self, now_ms: float, sender: str, request: VoteRequest) -> None:
        """Vote for `sender`, or deny it the vote."""
        if not self._may_vote_for(now_ms, sender, request.term):
            denial = VoteDenied(term=self.highest_seen_term, requested_term=request.term)
            self.actions.send_lease_message(sender, denial)
            return
        if self.term and request.term > self.term:
            self._step_down(now_ms, f"{sender} stands for a higher term")
        self.highest_seen_term = request.term
        self.voted_for = sender
        self.vote_expires_at_ms = now_ms + VOTE_VALIDITY_MS
        if sender != self.name:
            self._restart_election_timer(now_ms, ELECTION_JITTER_MS)
        granted = VoteGranted(term=request.term, sequence=request.sequence)
        self.actions.send_lease_message(sender, granted)

    def _may_vote_for(self, now_ms: float, candidate: str, term: int) -> bool:
        """Return whether to vote: for one server at a time, and for no term below the highest one seen.

        A vote is valid for `VOTE_VALIDITY_MS`; by then the leader lease based on it has expired. After its
        start a server does not vote for that time either, because an earlier vote may still be valid.
        """
        is_vote_free = not self.voted_for or now_ms >= self.vote_expires_at_ms or self.voted_for == candidate
        is_lease_server = candidate in self.servers
        return (
            is_lease_server
            and is_vote_free
            and term >= self.highest_seen_term
            and now_ms >= self.may_vote_from_ms
        )

    # -- candidate and leader

    def on_vote_denied(self, now_ms: float, sender: str, denial: VoteDenied) -> None:
        """Step down if the voter has seen a higher term than that of this server."""
        self.highest_seen_term = max(self.highest_seen_term, denial.term)
        if self.term and denial.requested_term == self.term and denial.term > self.term:
            self._step_down(now_ms, f"{sender} knows a higher term")

    def on_vote_granted(self, now_ms: float, sender: str, granted: VoteGranted) -> None:
        """Count a vote; a majority starts or extends the leader lease of this server."""
        ballot = self.ballots.get(granted.sequence)
        if ballot is None or granted.term != self.term or sender not in self.servers:
            return
        ballot.voters.add(sender)
        majority = len(self.servers) // 2 + 1
        if len(ballot.voters) < majority:
            return
        expires_at_ms = ballot.requested_at_ms + LEADER_LEASE_MS  # votes are given after the request
        if self.role is Role.CANDIDATE:
            if now_ms >= expires_at_ms:
                return
            self.actions.on_elected(now_ms, self.term)
        self.leads_until_ms = max(self.leads_until_ms, expires_at_ms)
        self.last_leader_contact_ms = now_ms
        if len(ballot.voters) == majority:
            self._announce()

    def _become_candidate(self, now_ms: float) -> None:
        """Become a candidate under a term that no other server uses."""
        round_number = self.highest_seen_term // TERMS_PER_ROUND + 1
        self.highest_seen_term = round_number * TERMS_PER_ROUND + self.servers.index(self.name)
        self.term = self.highest_seen_term
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
        """Become a follower that does not become a candidate again before the votes for it have expired.

        Servers that compete again while these votes are valid would only block each other.
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
            if now_ms - ballot.requested_at_ms <= LEADER_LEASE_MS
        }

    # -- follower

    def on_leader_announcement(self, now_ms: float, sender: str, announcement: LeaderAnnouncement) -> None:
        """Store the leader, to refer clients to it."""
        if announcement.term >= self.leader_term and sender in self.servers:
            self.leader = sender
            self.leader_term = announcement.term
            self._restart_election_timer(now_ms, ELECTION_JITTER_MS)
