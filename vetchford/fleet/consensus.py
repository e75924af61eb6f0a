"""State machine of the replicated record: leader election, replication and commit. No I/O; times in ms.

The record is one register, (term, revision, body), which each write replaces as a whole. An agent leads in a
term in which a majority of the voters has voted for it, and a record that it writes is committed once a
majority has the record on disk. The term is a fencing token: an agent that has voted in a term accepts no
record of a lower term. The votes that elect the next leader therefore contain every committed record
(Lamport, The part-time parliament, 1998; steady state of the leader and pre-vote as in Ongaro's thesis on
Raft, 2014, 9.6). Safety does not depend on clocks: times only decide when an agent acts.

    follower -> pre-candidate -> candidate -> elected -> leader
       ^              |              |           |          |
       +--------------+--------------+-----------+----------+
              higher term, timeout, no majority, failed store

The body lists the voters with the identity of each voter's store (`quorum.py`). Separate modules contain the
copy on disk (`record_copy.py`), election timeout, terms and votes (`election.py`), acknowledgements
(`replication.py`) and the rules for changing the voters (`voter_changes.py`).

This module is longer than most because the transitions of one state machine are kept together. They are
grouped by role: all roles, follower, pre-candidate and candidate, leader. Only the agent's thread calls them.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any, Protocol

from vetchford.fleet import voter_changes
from vetchford.fleet.consensus_messages import (
    Acknowledge,
    AppendRecord,
    EncodedMessage,
    Heartbeat,
    InstallSnapshot,
    Message,
    PreVoteRequest,
    PreVoteResponse,
    RecordBody,
    RecordVersion,
    Rejected,
    UnknownMessageError,
    VoteGranted,
    VoteRequest,
    decode_message,
    encode_message,
    sender_store,
)
from vetchford.fleet.election import ELECTION_TIMEOUT_MS, Ballot, ElectionTimer, next_own_term
from vetchford.fleet.quorum import StoreIdentities, is_majority
from vetchford.fleet.record_copy import RecordCopy, RecordStore
from vetchford.fleet.replication import ReplicationProgress

HEARTBEAT_INTERVAL_MS = 500.0  # between two messages from the leader to the same member
VOTE_TIMEOUT_MS = 1500.0  # from a pre-vote or vote request until the campaign ends without a majority
PRE_VOTE_SILENCE_MS = ELECTION_TIMEOUT_MS * 0.8  # without a leader's message before a pre-vote is granted


class Role(StrEnum):
    """Role of an agent in the election; the values are those of the tools' protocol."""

    FOLLOWER = "follows"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "standing"
    ELECTED = "taking over"  # has a majority of the votes; the record is not committed in its term yet
    LEADER = "drives"


LEADING_ROLES = frozenset((Role.ELECTED, Role.LEADER))
CAMPAIGNING_ROLES = frozenset((Role.PRE_CANDIDATE, Role.CANDIDATE))


class RecordActions(RecordStore, Protocol):
    """Operations that the state machine calls; `RecordStore` is the part that the copy on disk uses."""

    def send_to_record(self, to: str, message: EncodedMessage) -> None:
        """Send a message to the `ReplicatedRecord` of another agent; the message may be lost."""

    def on_elected(self, now_ms: float) -> None:
        """Start to lead: this agent was elected and has committed the record in its term."""

    def on_committed(self, now_ms: float) -> None:
        """Handle the commit of the record that this agent proposed."""

    def on_deposed(self, now_ms: float, reason: str) -> None:
        """Stop leading."""

    def on_appended(self, now_ms: float) -> None:
        """Handle a leader's message or a newer record; the record may not be committed yet."""


class ReplicatedRecord:
    """The state machine of one agent: its part in elections and in replicating the record."""

    def __init__(
        self,
        actions: RecordActions,
        name: str,
        seed: int,
        store: str,
        founding_body: RecordBody,
        now_ms: float = 0.0,
    ) -> None:
        """Start as a follower with the founding body, which is the same on all agents.

        `store` is the identity of the store that `save_record` writes to; `seed` determines the random
        election timeouts.
        """
        self.actions = actions
        self.name = name
        self.identities = StoreIdentities(name, store)
        self.copy = RecordCopy(actions, founding_body)
        self.committed: RecordVersion = (0, 0)  # newest version that this agent knows to be committed
        self.role = Role.FOLLOWER
        self.role_since_ms = now_ms
        self.leader = ""  # the agent that leads, which may be this agent; empty if not known
        self.timer = ElectionTimer(seed, name, now_ms)
        self.highest_seen_term = 0
        self.campaign_term = 0  # of this agent's last candidacy; while it leads, the term in which it leads
        self.ballot = Ballot(name, self.copy.version, self.copy.body)  # of the last pre-vote or election
        self.progress = ReplicationProgress(name, self.identities)  # since this agent was last elected
        self.next_heartbeat_at_ms = 0.0

    def restore(self, stored: dict[str, Any]) -> None:
        """Load what `save_record` stored last, at the start of the agent; KeyError if a key is missing."""
        self.copy.restore(stored)

    def replace_store(self, now_ms: float, store: str) -> None:
        """Step down after the store was emptied or restored and may have lost votes.

        `store` is the new identity of the store.
        """
        self.step_down(now_ms, "the store is not what it was")
        self.identities.replace_own(store)

    # -- queries

    @property
    def promised_term(self) -> int:
        """The highest term that this agent has voted in; messages of lower terms are rejected."""
        return self.copy.promised_term

    @property
    def version(self) -> RecordVersion:
        """The version of the copy on disk."""
        return self.copy.version

    @property
    def body(self) -> RecordBody:
        """The body of the copy on disk, committed or not."""
        return self.copy.body

    @property
    def store(self) -> str:
        """The identity of this agent's store."""
        return self.identities.own_store

    @property
    def leader_heard_at_ms(self) -> float:
        """The time of the last leader's message or the start of the last election, by the clock of `tick`."""
        return self.timer.restarted_at_ms

    def voters(self) -> dict[str, str]:
        """Return the voters, with the store identity that the record lists for each."""
        return self.copy.voters()

    def members(self) -> list[str]:
        """Return the members' names, sorted."""
        return self.copy.members()

    def is_member(self, name: str) -> bool:
        """Return whether the record lists an agent as a member."""
        return self.copy.is_member(name)

    def has_valid_vote(self, name: str) -> bool:
        """Return whether votes of an agent count: it is a voter and its store is the one listed."""
        return self.identities.has_valid_vote(name, self.voters())

    # -- all roles: time, messages, stepping down

    def tick(self, now_ms: float) -> None:
        """Act on timeouts; called about 20 times a second."""
        if self.role in LEADING_ROLES:
            self.tick_leader(now_ms)
        elif self.role in CAMPAIGNING_ROLES:
            if now_ms - self.role_since_ms >= VOTE_TIMEOUT_MS:
                self.become_follower(now_ms, "")
        elif self.timer.is_expired(now_ms):
            self.start_pre_vote(now_ms)

    def on_process_stall(self, now_ms: float, gap_ms: float) -> None:
        """Account for `gap_ms` in which this process did not run.

        The leader was not silent in that time, and a campaign or leadership of this agent is out of date.
        """
        self.timer.postpone(gap_ms)
        if self.role != Role.FOLLOWER:
            self.step_down(now_ms, "this process was stopped")

    def receive(self, now_ms: float, sender: str, encoded: EncodedMessage) -> None:
        """Handle a message of another agent's `ReplicatedRecord`; MalformedMessageError if not decodable."""
        self.identities.reported[sender] = sender_store(encoded)
        try:
            message = decode_message(sender, encoded)
        except UnknownMessageError:
            self.actions.log_event("record_message_unknown", sender=sender)
            return
        match message:
            case PreVoteRequest():
                self.on_pre_vote_request(now_ms, sender)
            case PreVoteResponse():
                self.on_pre_vote_response(now_ms, sender, message)
            case VoteRequest():
                self.on_vote_request(now_ms, sender, message)
            case VoteGranted():
                self.on_vote_granted(now_ms, sender, message)
            case Rejected():
                self.on_rejected(now_ms, sender, message)
            case Heartbeat() | AppendRecord():
                self.on_append(now_ms, sender, message)
            case Acknowledge():
                self.on_acknowledge(now_ms, sender, message)
            case InstallSnapshot():
                self.on_install_snapshot(now_ms, sender, message)

    def send(self, to: str, message: Message) -> None:
        """Send one message, with the identity of this agent's store."""
        self.actions.send_to_record(to, encode_message(message, self.store))

    def send_to_other_voters(self, message: Message) -> None:
        """Send one message to every voter except this agent."""
        for name in self.voters():
            if name != self.name:
                self.send(name, message)

    def set_role(self, now_ms: float, role: Role, leader: str) -> None:
        """Change the role; `leader` is empty while no leader is known."""
        self.role = role
        self.role_since_ms = now_ms
        self.leader = leader

    def step_down(self, now_ms: float, reason: str) -> None:
        """End a candidacy or a leadership: become a follower without a leader, with a new timeout."""
        was_leading = self.role in LEADING_ROLES
        self.become_follower(now_ms, "")
        if was_leading:
            self.actions.log_event("leader_stepped_down", term=self.campaign_term, why=reason)
            self.actions.on_deposed(now_ms, reason)

    def on_rejected(self, now_ms: float, sender: str, message: Rejected) -> None:
        """Step down because a voter has voted in a higher term (Raft, 5.1)."""
        self.highest_seen_term = max(self.highest_seen_term, message.promised_term)
        if self.role != Role.FOLLOWER and message.term == self.campaign_term:
            self.step_down(now_ms, f"{sender} has voted in a higher term")

    # -- follower: votes, and stores the leader's record

    def become_follower(self, now_ms: float, leader: str) -> None:
        """Follow `leader`, or wait for a leader if that is empty."""
        self.set_role(now_ms, Role.FOLLOWER, leader)
        self.timer.restart(now_ms)

    def on_pre_vote_request(self, now_ms: float, sender: str) -> None:
        """Grant a pre-vote if no leader was heard for `PRE_VOTE_SILENCE_MS` (Ongaro's thesis, 9.6).

        An agent that was dismissed while it was unreachable is sent the record, which no longer lists it.
        """
        if not self.is_member(sender):
            self.send(sender, InstallSnapshot(self.version, self.body))
            return
        granted = self.role != Role.LEADER and self.timer.silence_ms(now_ms) >= PRE_VOTE_SILENCE_MS
        self.send(sender, PreVoteResponse(granted, self.promised_term))

    def on_vote_request(self, now_ms: float, sender: str, message: VoteRequest) -> None:
        """Vote in a higher term; a duplicate request is answered again.

        Invariant: one vote per term (Raft, 5.2). It rests on each term belonging to one agent
        (`next_own_term`): a repeated term then comes from the same candidate. The vote is on disk before it
        is sent.
        """
        if message.term < self.promised_term:
            self.send(sender, Rejected(message.term, self.promised_term))
            return
        if message.term > self.promised_term:
            if not self.copy.save_term(message.term):
                return
            if self.role != Role.FOLLOWER:
                self.step_down(now_ms, f"{sender} is a candidate in a higher term")
            self.become_follower(now_ms, "")
        self.send(sender, VoteGranted(message.term, self.version, self.body))

    def on_append(self, now_ms: float, sender: str, message: Heartbeat | AppendRecord) -> None:
        """Follow the leader of a term that is not lower than the one voted in, and acknowledge its record.

        Invariant: no record of a term lower than the one voted in is written (Raft, 5.1), and a record is on
        disk before it is acknowledged.
        """
        if message.term < self.promised_term:
            self.send(sender, Rejected(message.term, self.promised_term))
            return
        if not self.save_appended(message):
            return
        if self.role != Role.FOLLOWER:
            self.step_down(now_ms, f"{sender} leads in a higher term")
        if self.leader != sender:
            self.actions.log_event("leader_followed", driver=sender, term=message.term)
        self.become_follower(now_ms, sender)
        self.committed = message.committed
        self.actions.on_appended(now_ms)
        self.send(sender, Acknowledge(message.term, self.version))

    def save_appended(self, message: Heartbeat | AppendRecord) -> bool:
        """Store a new record or term from a leader's message; return False if the store failed."""
        if isinstance(message, AppendRecord) and message.version > self.version:
            return self.copy.save(message.term, message.version, message.body or self.body)
        if message.term > self.promised_term:
            return self.copy.save_term(message.term)
        return True

    def on_install_snapshot(self, now_ms: float, sender: str, message: InstallSnapshot) -> None:
        """Store the record of a voter whose record no longer lists this agent, if that record is newer."""
        if message.version <= self.version:
            return
        if self.copy.save(self.promised_term, message.version, message.body):
            self.actions.log_event("snapshot_installed", by=sender, member=self.is_member(self.name))
            self.actions.on_appended(now_ms)

    # -- pre-candidate and candidate: requests votes

    def start_pre_vote(self, now_ms: float) -> None:
        """Request pre-votes, which change no term: an isolated agent must not raise the terms of the others.

        An agent whose own vote does not count could not be elected and waits for a leader.
        """
        self.timer.restart(now_ms)
        if not self.has_valid_vote(self.name):
            return
        self.set_role(now_ms, Role.PRE_CANDIDATE, "")
        self.ballot = Ballot(self.name, self.version, self.body)
        self.send_to_other_voters(PreVoteRequest(self.version))
        self.count_pre_votes(now_ms)

    def on_pre_vote_response(self, now_ms: float, sender: str, message: PreVoteResponse) -> None:
        """Count a pre-vote, and note the voter's term so that the term of this candidacy is higher."""
        if self.role != Role.PRE_CANDIDATE or not message.granted or not self.has_valid_vote(sender):
            return
        self.ballot.add(sender)
        self.highest_seen_term = max(self.highest_seen_term, message.promised_term)
        self.count_pre_votes(now_ms)

    def count_pre_votes(self, now_ms: float) -> None:
        """Become a candidate once a majority has granted the pre-vote."""
        if is_majority(self.ballot.names, self.voters()):
            self.start_election(now_ms)

    def start_election(self, now_ms: float) -> None:
        """Vote for this agent in a new term, on disk first, and request the votes of the others."""
        highest_seen_term = max(self.promised_term, self.highest_seen_term)
        term = next_own_term(self.name, self.members(), highest_seen_term)
        if not self.copy.save_term(term):
            self.become_follower(now_ms, "")
            return
        self.set_role(now_ms, Role.CANDIDATE, "")
        self.campaign_term = term
        self.ballot = Ballot(self.name, self.version, self.body)
        self.send_to_other_voters(VoteRequest(term))
        self.count_votes(now_ms)

    def on_vote_granted(self, now_ms: float, sender: str, message: VoteGranted) -> None:
        """Count a vote, and keep the newest record received with the votes."""
        if self.role != Role.CANDIDATE or message.term != self.campaign_term:
            return
        self.ballot.add_record(message.version, message.body)
        self.ballot.add(sender)
        self.count_votes(now_ms)

    def count_votes(self, now_ms: float) -> None:
        """Given a majority, write the newest record received with the votes again, in this agent's term.

        If that record changes the voters, a majority of both lists is needed. The record is committed only in
        the new term: a majority that has it in an older term does not prove a commit (Raft, 5.4.2).
        """
        voter_lists = self.voters(), self.ballot.newest_body["voters"]
        if not all(self.identities.is_quorum(self.ballot.names, voters) for voters in voter_lists):
            return
        self.progress = ReplicationProgress(self.name, self.identities)
        self.progress.require_majorities(*voter_lists)
        if not self.copy.save(self.campaign_term, (self.campaign_term, 1), self.ballot.newest_body):
            self.become_follower(now_ms, "")
            return
        self.set_role(now_ms, Role.ELECTED, self.name)
        self.actions.on_appended(now_ms)
        self.replicate(now_ms)
        self.commit_if_replicated(now_ms)

    # -- leader: writes the record, and commits it once a majority has it

    def tick_leader(self, now_ms: float) -> None:
        """Send heartbeats, and step down if no majority answers (Ongaro's thesis, 6.2)."""
        if now_ms >= self.next_heartbeat_at_ms:
            self.replicate(now_ms)
        if now_ms - self.role_since_ms <= ELECTION_TIMEOUT_MS:
            return
        responding = self.progress.responding_members(now_ms, ELECTION_TIMEOUT_MS)
        if not self.identities.is_quorum(responding, self.voters()):
            self.step_down(now_ms, "no majority of the voters answers")

    def propose(self, now_ms: float, body: RecordBody) -> bool:
        """Write the next record; `on_committed` is called once a majority has it.

        Return False if this agent does not lead, its last proposal is not committed yet, or its store failed.
        Raise ValueError if `body` changes more than one voter.

        Invariant: at most one record is not committed, so the next leader only needs the newest copy among a
        majority.
        """
        if self.role != Role.LEADER or self.committed != self.version:
            return False
        voters_before = self.voters()
        voters_after = body["voters"]
        voter_changes.check_single_change(voters_before, voters_after)
        next_version = (self.campaign_term, self.version[1] + 1)
        if not self.copy.save(self.campaign_term, next_version, body):
            self.step_down(now_ms, "the store failed")  # an agent whose store works can lead
            return False
        self.progress.require_majorities(voters_before, voters_after)
        self.replicate(now_ms)
        self.commit_if_replicated(now_ms)
        return True

    def replicate(self, now_ms: float) -> None:
        """Send a heartbeat to every other member, with the record if the member has not acknowledged it."""
        self.next_heartbeat_at_ms = now_ms + HEARTBEAT_INTERVAL_MS
        heartbeat = Heartbeat(self.campaign_term, self.version, self.committed)
        append = AppendRecord(self.campaign_term, self.version, self.committed, self.body)
        for name in self.body["members"]:
            if name != self.name:
                self.send(name, heartbeat if self.progress.has_acknowledged(name, self.version) else append)

    def on_acknowledge(self, now_ms: float, sender: str, message: Acknowledge) -> None:
        """Count an acknowledgement: the member has a record of this agent's term on disk."""
        if self.role in LEADING_ROLES and message.term == self.campaign_term:
            self.progress.record_acknowledgement(now_ms, sender, message.version)
            self.commit_if_replicated(now_ms)

    def commit_if_replicated(self, now_ms: float) -> None:
        """Commit the last written record once a majority has it; the first commit completes the election."""
        if self.committed == self.version or not self.progress.is_committed(self.version):
            return
        self.committed = self.version
        self.actions.log_event("record_committed", term=self.version[0], revision=self.version[1])
        if self.role != Role.ELECTED:
            self.actions.on_committed(now_ms)
            return
        self.set_role(now_ms, Role.LEADER, self.name)
        self.actions.log_event(
            "leader_elected",
            term=self.campaign_term,
            took_over=list(self.ballot.newest_version),
            voters=len(self.voters()),
        )
        self.actions.on_elected(now_ms)

    def find_voter_update(self, voters: Mapping[str, str], members: Iterable[str]) -> tuple[str, str] | None:
        """Return the voter whose entry the next record is to update (`voter_changes.find_voter_update`)."""
        return voter_changes.find_voter_update(voters, members, self.version, self.identities, self.progress)

    # -- for tools

    def status(self) -> dict[str, Any]:
        """Return what `fleet peers` shows; the keys are those of the tools' protocol."""
        return {
            "role": self.role.value,
            "driver": self.leader,
            "promised": self.promised_term,
            "at": list(self.version),
            "voters": sorted(self.voters()),
            "members": self.members(),
            "member": self.is_member(self.name),
            "counted": self.has_valid_vote(self.name),
        }
