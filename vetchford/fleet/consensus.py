"""The record that the agents of a fleet replicate, and the election of the one that may write it. No I/O.

One register, replaced whole: (term, revision, body). An agent leads under a term in which a majority of the
voters has voted for it, and what it writes is committed once a majority has it on disk. A term is a fencing
number: whoever has voted in a higher one accepts nothing of a lower. So the next leader finds in some vote
whatever was committed before (Lamport, The part-time parliament, 1998; the leader's steady state and the
pre-vote as in Ongaro's thesis on Raft, 2014, 9.6). Safety rests on no clock: times, in ms, only say when to
act.

The body names its voters with the identity of each one's store (`quorum.py`). Voters change one at a time,
and such a record needs a majority of the old list and of the new one.

`ReplicatedRecord` is one state machine over five roles, hence longer than most modules: its transitions are
read together. The agent's thread alone calls it.
"""

import zlib
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any, Protocol

from vetchford.fleet.consensus_messages import (
    Acknowledge,
    AppendRecord,
    EncodedMessage,
    Heartbeat,
    InstallSnapshot,
    Message,
    PersistentState,
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
from vetchford.fleet.quorum import StoreIdentities, is_majority
from vetchford.fleet.replication import ReplicationProgress

HEARTBEAT_INTERVAL_MS = 500.0  # ms between two messages of the leader to each member
ELECTION_TIMEOUT_MS = 3000.0  # ms without one until an election: six, so that one stall deposes no leader
ELECTION_JITTER_MS = 2000.0  # ms by which chance spreads the candidates
VOTE_TIMEOUT_MS = 1500.0  # ms for the answers to a pre-vote or a vote request
PRE_VOTE_SILENCE_MS = ELECTION_TIMEOUT_MS * 0.8  # ms without a leader from which on a pre-vote is granted
TERMS_PER_ROUND = 64  # term = round * this + index of the agent: no two agents ever have one term
MAX_VOTERS = 7  # three may be away; more would only make each write dearer


class Role(StrEnum):
    """What an agent is in the current election; the values are what tools are told."""

    FOLLOWER = "follows"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "standing"
    ELECTED = "taking over"  # has a majority of the votes, and has not committed the record in its term yet
    LEADER = "drives"


LEADING = frozenset((Role.ELECTED, Role.LEADER))
CAMPAIGNING = frozenset((Role.PRE_CANDIDATE, Role.CANDIDATE))


class RecordActions(Protocol):
    """What the state machine acts through."""

    def send_to_record(self, to: str, message: EncodedMessage) -> None:
        """Sends a message to the `ReplicatedRecord` of another agent; it may be lost."""

    def save_record(self, stored: dict[str, Any]) -> None:
        """Durable before it returns; OSError where the store fails, and then nothing was voted for."""

    def on_elected(self, now_ms: float) -> None:
        """This agent leads from now on, and the record is committed under its term."""

    def on_committed(self, now_ms: float) -> None:
        """What was proposed is committed."""

    def on_deposed(self, now_ms: float, why: str) -> None:
        """This agent no longer leads."""

    def on_appended(self, now_ms: float) -> None:
        """A leader was heard, or a newer record arrived; it may not be committed yet."""

    def note(self, event: str, **fields: Any) -> None:
        """A log event."""


class ReplicatedRecord:
    """One agent's copy of the record, and its part in the elections."""

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

        `store` is the identity of what `save_record` writes to.
        """
        self.actions, self.name, self.seed, self.draws = actions, name, seed, 0
        self.identities = StoreIdentities(name, store)
        self.promised_term, self.version, self.body = 0, (0, 0), founding  # as on the disk
        self.committed: RecordVersion = (0, 0)  # the newest that this agent knows to be committed
        self.highest_seen_term = 0
        self.role, self.role_since_ms, self.leader = Role.FOLLOWER, now_ms, ""
        self.leader_heard_at_ms = now_ms
        self.election_timeout_ms = self.draw_election_timeout()
        self.campaign_term = 0  # of this agent's last candidacy; while it leads, its term
        self.votes: set[str] = set()  # of the current pre-vote or vote; replaced as the next begins
        self.newest_version, self.newest_body = self.version, self.body  # among the votes and our own
        self.progress = ReplicationProgress(name, self.identities)
        self.next_heartbeat_at_ms = 0.0

    def draw_election_timeout(self) -> float:
        """In ms; by seed, name and the number of draws alone, so that a simulation can be repeated."""
        self.draws += 1
        drawn = zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % 10_000
        return ELECTION_TIMEOUT_MS + drawn / 10_000.0 * ELECTION_JITTER_MS

    # -- the copy on the disk

    def restore(self, stored: dict[str, Any]) -> None:
        """What `save_record` was given last, at the start of the agent."""
        state = PersistentState.from_stored(stored)
        self.promised_term, self.version, self.body = state.promised_term, state.version, state.body

    def save(self, promised_term: int, version: RecordVersion, body: RecordBody) -> bool:
        """Writes to the disk, then to memory; False where the disk failed, and nothing has changed."""
        state = PersistentState(promised_term, version, body)
        try:
            self.actions.save_record(state.to_stored())
        except OSError as problem:
            self.actions.note("record_not_stored", problem=str(problem))
            return False
        self.promised_term, self.version, self.body = promised_term, version, body
        return True

    def replace_store(self, now_ms: float, store: str) -> None:
        """The store was emptied or restored, so its votes may be lost: `store` is its new identity."""
        self.step_down(now_ms, "the store is not what it was")
        self.identities.replace_own(store)

    @property
    def store(self) -> str:
        """The identity of this agent's store."""
        return self.identities.own_store

    # -- members and voters

    def voters(self) -> dict[str, str]:
        """The voters, and the store identity that the record lists for each."""
        voters: dict[str, str] = self.body["voters"]
        return voters

    def members(self) -> list[str]:
        """The members' names, sorted."""
        return sorted(self.body["members"])

    def is_member(self, name: str) -> bool:
        """Whether the record lists an agent as a member."""
        return name in self.body["members"]

    def is_counted(self, name: str) -> bool:
        """Whether a vote of this agent counts, going by its store."""
        return self.identities.is_counted(name, self.voters())

    def send(self, to: str, message: Message) -> None:
        """Sends one message, with the identity of our store."""
        self.actions.send_to_record(to, encode_message(message, self.store))

    def send_to_other_voters(self, message: Message) -> None:
        """Sends one message to every voter but this agent."""
        for name in self.voters():
            if name != self.name:
                self.send(name, message)

    # -- time

    def tick(self, now_ms: float) -> None:
        """Called about ten times a second."""
        if self.role in LEADING:
            self.tick_leader(now_ms)
        elif self.role in CAMPAIGNING:
            if now_ms - self.role_since_ms >= VOTE_TIMEOUT_MS:
                self.become_follower(now_ms, "")
        elif now_ms - self.leader_heard_at_ms >= self.election_timeout_ms:
            self.start_pre_vote(now_ms)

    def tick_leader(self, now_ms: float) -> None:
        """Heartbeats, and the end of a leadership that no majority answers."""
        if now_ms >= self.next_heartbeat_at_ms:
            self.replicate(now_ms)
        if now_ms - self.role_since_ms <= ELECTION_TIMEOUT_MS:
            return
        answering = self.progress.answering(now_ms, ELECTION_TIMEOUT_MS)
        if not self.identities.is_quorum(answering, self.voters()):
            self.step_down(now_ms, "no majority of the voters answers")

    def on_process_stopped(self, now_ms: float, gap_ms: float) -> None:
        """This process did not run for `gap` ms: no leader was late, and what we were writing is old."""
        self.leader_heard_at_ms += gap_ms
        if self.role != Role.FOLLOWER:
            self.step_down(now_ms, "was stopped meanwhile")

    # -- elections

    def become_follower(self, now_ms: float, leader: str) -> None:
        """Follows `leader`, or nobody yet where that is empty."""
        self.role, self.role_since_ms, self.leader = Role.FOLLOWER, now_ms, leader
        self.restart_election_timer(now_ms)

    def restart_election_timer(self, now_ms: float) -> None:
        """The next election is a freshly drawn timeout away."""
        self.leader_heard_at_ms = now_ms
        self.election_timeout_ms = self.draw_election_timeout()

    def step_down(self, now_ms: float, why: str) -> None:
        """Ends a candidacy or a leadership."""
        was_leading = self.role in LEADING
        self.become_follower(now_ms, "")
        if was_leading:
            self.actions.note("leader_stepped_down", term=self.campaign_term, why=why)
            self.actions.on_deposed(now_ms, why)

    def start_pre_vote(self, now_ms: float) -> None:
        """Asks first, which changes no term: an agent that hears nobody must not raise the terms."""
        self.restart_election_timer(now_ms)
        if not self.is_counted(self.name):
            return
        self.role, self.role_since_ms, self.leader = Role.PRE_CANDIDATE, now_ms, ""
        self.votes = {self.name}
        self.send_to_other_voters(PreVoteRequest(self.version))
        self.count_pre_votes(now_ms)

    def count_pre_votes(self, now_ms: float) -> None:
        """Becomes a candidate once a majority would vote for this agent."""
        if is_majority(self.votes, self.voters()):
            self.start_election(now_ms)

    def start_election(self, now_ms: float) -> None:
        """Votes for itself in a new term, on the disk first, and asks for the votes of the others."""
        term = self.next_own_term()
        if not self.save(term, self.version, self.body):
            self.become_follower(now_ms, "")
            return
        self.role, self.role_since_ms, self.campaign_term = Role.CANDIDATE, now_ms, term
        self.votes = {self.name}
        self.newest_version, self.newest_body = self.version, self.body
        self.send_to_other_voters(VoteRequest(term))
        self.count_votes(now_ms)

    def next_own_term(self) -> int:
        """The lowest term above all that were seen that only this agent may use."""
        completed_rounds = max(self.promised_term, self.highest_seen_term) // TERMS_PER_ROUND
        index = self.members().index(self.name) % TERMS_PER_ROUND
        return (completed_rounds + 1) * TERMS_PER_ROUND + index

    def count_votes(self, now_ms: float) -> None:
        """With a majority, writes the newest record among the votes anew, under our term."""
        electorates = self.voters(), self.newest_body["voters"]
        if not all(self.identities.is_quorum(self.votes, voters) for voters in electorates):
            return
        self.progress = ReplicationProgress(self.name, self.identities)
        self.progress.require(*electorates)
        if not self.save(self.campaign_term, (self.campaign_term, 1), self.newest_body):
            self.become_follower(now_ms, "")
            return
        self.role, self.role_since_ms, self.leader = Role.ELECTED, now_ms, self.name
        self.actions.on_appended(now_ms)
        self.replicate(now_ms)
        self.commit_if_replicated(now_ms)

    # -- leading

    def propose(self, now_ms: float, body: RecordBody) -> bool:
        """Writes the next record; `on_committed` tells when a majority has it.

        False where this agent does not lead, its last proposal is not committed yet, or its store failed.
        ValueError where `body` changes more than one voter.
        """
        if self.role != Role.LEADER or self.committed != self.version:
            return False
        before, after = self.voters(), body["voters"]
        if sum(before.get(name) != after.get(name) for name in before.keys() | after.keys()) > 1:
            raise ValueError("voters change one at a time")
        if not self.save(self.campaign_term, (self.campaign_term, self.version[1] + 1), body):
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

    def commit_if_replicated(self, now_ms: float) -> None:
        """Whether the record that was written last is committed now; once, the first in a term elects us."""
        if self.committed == self.version or not self.progress.is_committed(self.version):
            return
        self.committed = self.version
        self.actions.note("record_committed", term=self.version[0], revision=self.version[1])
        if self.role != Role.ELECTED:
            self.actions.on_committed(now_ms)
            return
        self.role, self.role_since_ms = Role.LEADER, now_ms
        self.actions.note(
            "leader_elected",
            term=self.campaign_term,
            took_over=list(self.newest_version),
            voters=len(self.voters()),
        )
        self.actions.on_elected(now_ms)

    def find_voter_update(self, voters: Mapping[str, str], members: Iterable[str]) -> tuple[str, str] | None:
        """One voter whose store is not the one listed in `voters`, or one member that may become a voter.

        Returns its name and the identity of its store; only agents that have the newest record are taken.
        """
        for name in sorted(voters):
            store = self.identities.of(name)
            up_to_date = name == self.name or self.progress.has(name, self.version)
            if store and store != voters[name] and up_to_date:
                return name, store
        if len(voters) >= MAX_VOTERS:
            return None
        for name in sorted(members):
            if name not in voters and self.progress.has(name, self.version):
                return name, self.identities.stated.get(name, "")
        return None

    # -- messages

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

    def on_pre_vote_request(self, now_ms: float, sender: str) -> None:
        """Granted where no leader was heard for a while; whoever is no member learns so from the record."""
        if not self.is_member(sender):
            self.send(sender, InstallSnapshot(self.version, self.body))
            return
        granted = self.role != Role.LEADER and now_ms - self.leader_heard_at_ms >= PRE_VOTE_SILENCE_MS
        self.send(sender, PreVoteResponse(granted, self.promised_term))

    def on_pre_vote_response(self, now_ms: float, sender: str, message: PreVoteResponse) -> None:
        """Counts a pre-vote, and remembers the voter's term so that ours will be higher."""
        if self.role != Role.PRE_CANDIDATE or not message.granted or not self.is_counted(sender):
            return
        self.votes.add(sender)
        self.highest_seen_term = max(self.highest_seen_term, message.promised_term)
        self.count_pre_votes(now_ms)

    def on_vote_request(self, now_ms: float, sender: str, message: VoteRequest) -> None:
        """Votes in a higher term; a request that came twice is answered twice."""
        if message.term < self.promised_term:
            self.send(sender, Rejected(message.term, self.promised_term))
            return
        if message.term > self.promised_term:
            if not self.save(message.term, self.version, self.body):
                return
            if self.role != Role.FOLLOWER:
                self.step_down(now_ms, f"{sender} stands for a higher term")
            self.become_follower(now_ms, "")
        self.send(sender, VoteGranted(message.term, self.version, self.body))

    def on_vote_granted(self, now_ms: float, sender: str, message: VoteGranted) -> None:
        """Counts a vote, and keeps the newest record among the votes."""
        if self.role != Role.CANDIDATE or message.term != self.campaign_term:
            return
        if message.version > self.newest_version:
            self.newest_version, self.newest_body = message.version, message.body
        self.votes.add(sender)
        self.count_votes(now_ms)

    def on_rejected(self, now_ms: float, sender: str, message: Rejected) -> None:
        """A voter has voted in a higher term than ours."""
        self.highest_seen_term = max(self.highest_seen_term, message.promised_term)
        if self.role != Role.FOLLOWER and message.term == self.campaign_term:
            self.step_down(now_ms, f"{sender} has promised a higher term")

    def on_append(self, now_ms: float, sender: str, message: Heartbeat | AppendRecord) -> None:
        """Follows the leader of a term that is not lower than our vote, and acknowledges its record."""
        if message.term < self.promised_term:
            self.send(sender, Rejected(message.term, self.promised_term))
            return
        if not self.save_appended(message):
            return
        if self.role != Role.FOLLOWER:
            self.step_down(now_ms, f"{sender} drives under a higher term")
        if self.leader != sender:
            self.actions.note("leader_followed", driver=sender, term=message.term)
        self.become_follower(now_ms, sender)
        self.committed = message.committed
        self.actions.on_appended(now_ms)
        self.send(sender, Acknowledge(message.term, self.version))

    def save_appended(self, message: Heartbeat | AppendRecord) -> bool:
        """Writes what is new in a leader's message; False where the disk failed."""
        if isinstance(message, AppendRecord) and message.version > self.version:
            return self.save(message.term, message.version, message.body or self.body)
        if message.term > self.promised_term:
            return self.save(message.term, self.version, self.body)
        return True

    def on_acknowledge(self, now_ms: float, sender: str, message: Acknowledge) -> None:
        """A member has a record of our term on its disk."""
        if self.role in LEADING and message.term == self.campaign_term:
            self.progress.record_answer(now_ms, sender, message.version)
            self.commit_if_replicated(now_ms)

    def on_install_snapshot(self, now_ms: float, sender: str, message: InstallSnapshot) -> None:
        """We asked for a pre-vote and are no member there: that record is newer, or we would be one."""
        if message.version > self.version and self.save(self.promised_term, message.version, message.body):
            self.actions.note("snapshot_installed", by=sender, member=self.is_member(self.name))
            self.actions.on_appended(now_ms)

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
