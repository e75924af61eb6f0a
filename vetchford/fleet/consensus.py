"""The replicated record's state machine: who leads the fleet, and what is committed. No I/O; times in ms.

One register, replaced whole: (term, revision, body). An agent leads under a term in which a majority of the
voters has voted for it, and what it writes is committed once a majority has it on disk. A term is a fencing
number: whoever has voted in a higher one accepts nothing of a lower. So the next leader finds in some vote
whatever was committed before (Lamport, The part-time parliament, 1998; the leader's steady state and the
pre-vote as in Ongaro's thesis on Raft, 2014, 9.6). Safety rests on no clock: times only say when to act.

    follower -> pre-candidate -> candidate -> elected -> leader
       ^              |              |           |          |
       +--------------+--------------+-----------+----------+
              higher term, timeout, no majority, failed store

The body names its voters with the identity of each one's store (`quorum.py`). Modules of their own have the
copy on the disk (`record_copy.py`), timeout, terms and votes (`election.py`), acknowledgements
(`replication.py`) and changes of the voters (`voter_changes.py`).

`ReplicatedRecord` is longer than most modules because its transitions are one thing, read together. They
stand by role: all, follower, pre-candidate and candidate, leader. The agent's thread alone calls it.
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

HEARTBEAT_INTERVAL_MS = 500.0  # between two messages of the leader to each member
VOTE_TIMEOUT_MS = 1500.0  # for the answers to a pre-vote or a vote request
PRE_VOTE_SILENCE_MS = ELECTION_TIMEOUT_MS * 0.8  # without a leader, from which on a pre-vote is granted


class Role(StrEnum):
    """What an agent is in the current election; the values are what tools are told."""

    FOLLOWER = "follows"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "standing"
    ELECTED = "taking over"  # has a majority of the votes, and has not committed the record in its term yet
    LEADER = "drives"


LEADING = frozenset((Role.ELECTED, Role.LEADER))
CAMPAIGNING = frozenset((Role.PRE_CANDIDATE, Role.CANDIDATE))


class RecordActions(RecordStore, Protocol):
    """What the state machine acts through; `RecordStore` is the part that the copy on the disk uses."""

    def send_to_record(self, to: str, message: EncodedMessage) -> None:
        """Sends a message to the `ReplicatedRecord` of another agent; it may be lost."""

    def on_elected(self, now_ms: float) -> None:
        """This agent leads from now on, and the record is committed under its term."""

    def on_committed(self, now_ms: float) -> None:
        """What was proposed is committed."""

    def on_deposed(self, now_ms: float, why: str) -> None:
        """This agent no longer leads."""

    def on_appended(self, now_ms: float) -> None:
        """A leader was heard, or a newer record arrived; it may not be committed yet."""


class ReplicatedRecord:
    """One agent's part in the elections and in the replication of the record."""

    def __init__(
        self,
        actions: RecordActions,
        name: str,
        seed: int,
        store: str,
        founding: RecordBody,
        now_ms: float = 0.0,
    ) -> None:
        """Starts as a follower with the founding body, which is the same on all agents.

        `store` is the identity of what `save_record` writes to; `seed` fixes the drawn timeouts.
        """
        self.actions = actions
        self.name = name
        self.identities = StoreIdentities(name, store)
        self.copy = RecordCopy(actions, founding)
        self.committed: RecordVersion = (0, 0)  # the newest that this agent knows to be committed
        self.role = Role.FOLLOWER
        self.role_since_ms = now_ms
        self.leader = ""  # whom a follower follows, or this agent; empty for nobody
        self.timer = ElectionTimer(seed, name, now_ms)
        self.highest_seen_term = 0
        self.campaign_term = 0  # of this agent's last candidacy; while it leads, its term
        self.ballot = Ballot(name, self.copy.version, self.copy.body)  # of the last pre-vote or vote
        self.progress = ReplicationProgress(name, self.identities)  # of the last term in which it was elected
        self.next_heartbeat_at_ms = 0.0

    def restore(self, stored: dict[str, Any]) -> None:
        """What `save_record` was given last, at the start of the agent; KeyError where it is not that."""
        self.copy.restore(stored)

    def replace_store(self, now_ms: float, store: str) -> None:
        """The store was emptied or restored, so its votes may be lost: `store` is its new identity."""
        self.step_down(now_ms, "the store is not what it was")
        self.identities.replace_own(store)

    # -- what is asked of it

    @property
    def promised_term(self) -> int:
        """The highest term that this agent has voted in: a lower one is obeyed no more."""
        return self.copy.promised_term

    @property
    def version(self) -> RecordVersion:
        """The version of the copy on the disk."""
        return self.copy.version

    @property
    def body(self) -> RecordBody:
        """The copy on the disk, committed or not."""
        return self.copy.body

    @property
    def store(self) -> str:
        """The identity of this agent's store."""
        return self.identities.own_store

    @property
    def leader_heard_at_ms(self) -> float:
        """When a leader was heard last, or an election began; by the clock of `tick`."""
        return self.timer.restarted_at_ms

    def voters(self) -> dict[str, str]:
        """The voters, and the store identity that the record lists for each."""
        return self.copy.voters()

    def members(self) -> list[str]:
        """The members' names, sorted."""
        return self.copy.members()

    def is_member(self, name: str) -> bool:
        """Whether the record lists an agent as a member."""
        return self.copy.is_member(name)

    def is_counted(self, name: str) -> bool:
        """Whether a vote of this agent counts, going by its store."""
        return self.identities.is_counted(name, self.voters())

    # -- all roles: time, messages, stepping down

    def tick(self, now_ms: float) -> None:
        """Called about ten times a second."""
        if self.role in LEADING:
            self.tick_leader(now_ms)
        elif self.role in CAMPAIGNING:
            if now_ms - self.role_since_ms >= VOTE_TIMEOUT_MS:
                self.become_follower(now_ms, "")
        elif self.timer.is_expired(now_ms):
            self.start_pre_vote(now_ms)

    def on_process_stopped(self, now_ms: float, gap_ms: float) -> None:
        """This process did not run for `gap_ms`: no leader was late, and what we were writing is old."""
        self.timer.postpone(gap_ms)
        if self.role != Role.FOLLOWER:
            self.step_down(now_ms, "this process was stopped")

    def receive(self, now_ms: float, sender: str, encoded: EncodedMessage) -> None:
        """A message of another agent's `ReplicatedRecord`; MalformedMessageError where it can't be read."""
        self.identities.stated[sender] = sender_store(encoded)
        try:
            message = decode_message(sender, encoded)
        except UnknownMessageError:
            self.actions.note("record_message_unknown", sender=sender)
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
        """Sends one message, with the identity of our store."""
        self.actions.send_to_record(to, encode_message(message, self.store))

    def send_to_other_voters(self, message: Message) -> None:
        """Sends one message to every voter but this agent."""
        for name in self.voters():
            if name != self.name:
                self.send(name, message)

    def set_role(self, now_ms: float, role: Role, leader: str) -> None:
        """Takes a role; `leader` is empty while nobody is known to lead."""
        self.role = role
        self.role_since_ms = now_ms
        self.leader = leader

    def step_down(self, now_ms: float, why: str) -> None:
        """Ends a candidacy or a leadership; as a follower of nobody, only restarts the election timer."""
        was_leading = self.role in LEADING
        self.become_follower(now_ms, "")
        if was_leading:
            self.actions.note("leader_stepped_down", term=self.campaign_term, why=why)
            self.actions.on_deposed(now_ms, why)

    def on_rejected(self, now_ms: float, sender: str, message: Rejected) -> None:
        """A voter has voted in a higher term than ours (Raft, 5.1: who is stale steps down)."""
        self.highest_seen_term = max(self.highest_seen_term, message.promised_term)
        if self.role != Role.FOLLOWER and message.term == self.campaign_term:
            self.step_down(now_ms, f"{sender} has voted in a higher term")

    # -- follower: votes, and keeps what the leader writes

    def become_follower(self, now_ms: float, leader: str) -> None:
        """Follows `leader`, or nobody yet where that is empty."""
        self.set_role(now_ms, Role.FOLLOWER, leader)
        self.timer.restart(now_ms)

    def on_pre_vote_request(self, now_ms: float, sender: str) -> None:
        """Granted where no leader was heard for `PRE_VOTE_SILENCE_MS` (Ongaro's thesis, 9.6).

        An agent that is no member here learns so from the record: it was dismissed while it was away.
        """
        if not self.is_member(sender):
            self.send(sender, InstallSnapshot(self.version, self.body))
            return
        granted = self.role != Role.LEADER and self.timer.silence_ms(now_ms) >= PRE_VOTE_SILENCE_MS
        self.send(sender, PreVoteResponse(granted, self.promised_term))

    def on_vote_request(self, now_ms: float, sender: str, message: VoteRequest) -> None:
        """Votes in a higher term; a request that came twice is answered twice.

        Invariant: one vote a term (Raft, 5.2). A term belongs to one agent (`next_own_term`), so the same
        term again is the same candidate. The vote is on the disk before it is sent.
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
        """Follows the leader of a term that is not lower than our vote, and acknowledges its record.

        Invariant: nothing of a term lower than our vote is written (Raft, 5.1), and the record is on the disk
        before it is acknowledged.
        """
        if message.term < self.promised_term:
            self.send(sender, Rejected(message.term, self.promised_term))
            return
        if not self.save_appended(message):
            return
        if self.role != Role.FOLLOWER:
            self.step_down(now_ms, f"{sender} leads in a higher term")
        if self.leader != sender:
            self.actions.note("leader_followed", driver=sender, term=message.term)
        self.become_follower(now_ms, sender)
        self.committed = message.committed
        self.actions.on_appended(now_ms)
        self.send(sender, Acknowledge(message.term, self.version))

    def save_appended(self, message: Heartbeat | AppendRecord) -> bool:
        """Writes what is new in a leader's message; False where the disk failed."""
        if isinstance(message, AppendRecord) and message.version > self.version:
            return self.copy.save(message.term, message.version, message.body or self.body)
        if message.term > self.promised_term:
            return self.copy.save_term(message.term)
        return True

    def on_install_snapshot(self, now_ms: float, sender: str, message: InstallSnapshot) -> None:
        """We asked for a pre-vote and are no member there: that record is newer, or we would be one."""
        if message.version <= self.version:
            return
        if self.copy.save(self.promised_term, message.version, message.body):
            self.actions.note("snapshot_installed", by=sender, member=self.is_member(self.name))
            self.actions.on_appended(now_ms)

    # -- pre-candidate and candidate: asks for votes

    def start_pre_vote(self, now_ms: float) -> None:
        """Asks first, which changes no term: an agent that hears nobody must not raise the terms.

        An agent whose own vote does not count waits for a leader: it could not be elected.
        """
        self.timer.restart(now_ms)
        if not self.is_counted(self.name):
            return
        self.set_role(now_ms, Role.PRE_CANDIDATE, "")
        self.ballot = Ballot(self.name, self.version, self.body)
        self.send_to_other_voters(PreVoteRequest(self.version))
        self.count_pre_votes(now_ms)

    def on_pre_vote_response(self, now_ms: float, sender: str, message: PreVoteResponse) -> None:
        """Counts a pre-vote, and remembers the voter's term so that ours will be higher."""
        if self.role != Role.PRE_CANDIDATE or not message.granted or not self.is_counted(sender):
            return
        self.ballot.add(sender)
        self.highest_seen_term = max(self.highest_seen_term, message.promised_term)
        self.count_pre_votes(now_ms)

    def count_pre_votes(self, now_ms: float) -> None:
        """Becomes a candidate once a majority would vote for this agent."""
        if is_majority(self.ballot.names, self.voters()):
            self.start_election(now_ms)

    def start_election(self, now_ms: float) -> None:
        """Votes for itself in a new term, on the disk first, and asks for the votes of the others."""
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
        """Counts a vote, and keeps the newest record among the votes."""
        if self.role != Role.CANDIDATE or message.term != self.campaign_term:
            return
        self.ballot.add_record(message.version, message.body)
        self.ballot.add(sender)
        self.count_votes(now_ms)

    def count_votes(self, now_ms: float) -> None:
        """With a majority, writes the newest record among the votes anew, under our term.

        Where that record changes the voters, a majority of both lists is needed. It counts as committed only
        under the new term: a majority that holds it under an older one proves nothing (Raft, 5.4.2).
        """
        electorates = self.voters(), self.ballot.newest_body["voters"]
        if not all(self.identities.is_quorum(self.ballot.names, voters) for voters in electorates):
            return
        self.progress = ReplicationProgress(self.name, self.identities)
        self.progress.require(*electorates)
        if not self.copy.save(self.campaign_term, (self.campaign_term, 1), self.ballot.newest_body):
            self.become_follower(now_ms, "")
            return
        self.set_role(now_ms, Role.ELECTED, self.name)
        self.actions.on_appended(now_ms)
        self.replicate(now_ms)
        self.commit_if_replicated(now_ms)

    # -- leader: writes the record, and commits what a majority has

    def tick_leader(self, now_ms: float) -> None:
        """Heartbeats, and the end of a leadership that no majority answers (Ongaro's thesis, 6.2)."""
        if now_ms >= self.next_heartbeat_at_ms:
            self.replicate(now_ms)
        if now_ms - self.role_since_ms <= ELECTION_TIMEOUT_MS:
            return
        answering = self.progress.answering(now_ms, ELECTION_TIMEOUT_MS)
        if not self.identities.is_quorum(answering, self.voters()):
            self.step_down(now_ms, "no majority of the voters answers")

    def propose(self, now_ms: float, body: RecordBody) -> bool:
        """Writes the next record; `on_committed` tells when a majority has it.

        False where this agent does not lead, its last proposal is not committed yet, or its store failed.
        ValueError where `body` changes more than one voter.

        Invariant: at most one record is not committed, so the newest copy among a majority is all that the
        next leader has to take over.
        """
        if self.role != Role.LEADER or self.committed != self.version:
            return False
        before = self.voters()
        after = body["voters"]
        voter_changes.check_single_change(before, after)
        next_version = (self.campaign_term, self.version[1] + 1)
        if not self.copy.save(self.campaign_term, next_version, body):
            self.step_down(now_ms, "the store failed")  # another agent's may work
            return False
        self.progress.require(before, after)
        self.replicate(now_ms)
        self.commit_if_replicated(now_ms)
        return True

    def replicate(self, now_ms: float) -> None:
        """A heartbeat to every other member, with the record for those that have not acknowledged it."""
        self.next_heartbeat_at_ms = now_ms + HEARTBEAT_INTERVAL_MS
        heartbeat = Heartbeat(self.campaign_term, self.version, self.committed)
        append = AppendRecord(self.campaign_term, self.version, self.committed, self.body)
        for name in self.body["members"]:
            if name != self.name:
                self.send(name, heartbeat if self.progress.has(name, self.version) else append)

    def on_acknowledge(self, now_ms: float, sender: str, message: Acknowledge) -> None:
        """A member has a record of our term on its disk."""
        if self.role in LEADING and message.term == self.campaign_term:
            self.progress.record_answer(now_ms, sender, message.version)
            self.commit_if_replicated(now_ms)

    def commit_if_replicated(self, now_ms: float) -> None:
        """Commits the record that was written last once a majority has it; the first in a term elects us."""
        if self.committed == self.version or not self.progress.is_committed(self.version):
            return
        self.committed = self.version
        self.actions.note("record_committed", term=self.version[0], revision=self.version[1])
        if self.role != Role.ELECTED:
            self.actions.on_committed(now_ms)
            return
        self.set_role(now_ms, Role.LEADER, self.name)
        self.actions.note(
            "leader_elected",
            term=self.campaign_term,
            took_over=list(self.ballot.newest_version),
            voters=len(self.voters()),
        )
        self.actions.on_elected(now_ms)

    def find_voter_update(self, voters: Mapping[str, str], members: Iterable[str]) -> tuple[str, str] | None:
        """The voter that the next record is to list anew (`voter_changes.find_voter_update`)."""
        return voter_changes.find_voter_update(voters, members, self.version, self.identities, self.progress)

    # -- for tools

    def status(self) -> dict[str, Any]:
        """What `fleet peers` shows; the keys are those of the tools' protocol."""
        return {
            "role": self.role.value,
            "driver": self.leader,
            "promised": self.promised_term,
            "at": list(self.version),
            "voters": sorted(self.voters()),
            "members": self.members(),
            "member": self.is_member(self.name),
            "counted": self.is_counted(self.name),
        }
