"""Replication state of the leader: which members have acknowledged its record. No I/O; times in ms."""

from collections.abc import Iterable, Mapping, Sequence

from vetchford.fleet.consensus_messages import RecordVersion
from vetchford.fleet.quorum import StoreIdentities


class ReplicationProgress:
    """Acknowledgements since this agent was elected; created anew for each term in which it leads."""

    def __init__(self, own_name: str, identities: StoreIdentities) -> None:
        """Start with no acknowledgements; `identities`: those of the stores, as the members report them."""
        self.own_name = own_name
        self.identities = identities
        self.acknowledged: dict[str, RecordVersion] = {}  # newest version on disk, by member
        self.last_acknowledged_at_ms: dict[str, float] = {}
        self.required_voter_lists: Sequence[Mapping[str, str]] = ()  # a commit needs a majority of each

    def require_majorities(self, *voter_lists: Mapping[str, str]) -> None:
        """Set the lists of voters of which a majority each must acknowledge the next record.

        A record that changes the voters needs two majorities, of the old and of the new list.
        """
        self.required_voter_lists = voter_lists

    def record_acknowledgement(self, now_ms: float, name: str, version: RecordVersion) -> None:
        """Record that a member has acknowledged `version` in this leader's term."""
        self.last_acknowledged_at_ms[name] = now_ms
        self.acknowledged[name] = version

    def has_acknowledged(self, name: str, version: RecordVersion) -> bool:
        """Return whether the last version that a member acknowledged is `version`."""
        return self.acknowledged.get(name) == version

    def is_committed(self, version: RecordVersion) -> bool:
        """Return whether a majority of every required list has `version` on disk; this agent has it."""
        up_to_date = [name for name, acknowledged in self.acknowledged.items() if acknowledged == version]
        return self.have_quorum([*up_to_date, self.own_name])

    def have_quorum(self, names: Iterable[str]) -> bool:
        """Return whether `names` contain a majority of every required list of voters."""
        candidates = list(names)
        return all(self.identities.is_quorum(candidates, voters) for voters in self.required_voter_lists)

    def responding_members(self, now_ms: float, within_ms: float) -> set[str]:
        """Return this agent and the members that acknowledged a record less than `within_ms` ago."""
        recent = {
            name
            for name, acknowledged_at_ms in self.last_acknowledged_at_ms.items()
            if now_ms - acknowledged_at_ms < within_ms
        }
        return recent | {self.own_name}
