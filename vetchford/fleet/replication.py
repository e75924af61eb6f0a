"""What a leader knows of the copies that the members have of its record. No I/O; times in ms."""

from collections.abc import Iterable, Mapping, Sequence

from vetchford.fleet.consensus_messages import RecordVersion
from vetchford.fleet.quorum import StoreIdentities


class ReplicationProgress:
    """Acknowledgements since this agent was elected; a new one is made for each term that it leads."""

    def __init__(self, own_name: str, identities: StoreIdentities) -> None:
        """Starts with no acknowledgement; `identities`: of the stores, as the members have stated them."""
        self.own_name = own_name
        self.identities = identities
        self.acknowledged: dict[str, RecordVersion] = {}  # newest version on the disk of each member
        self.last_answer_at_ms: dict[str, float] = {}
        self.required_electorates: Sequence[Mapping[str, str]] = ()  # each must have a majority of its own

    def require(self, *electorates: Mapping[str, str]) -> None:
        """The record that is about to be written needs a majority of each of these lists of voters.

        While voters change there are two, the old and the new one.
        """
        self.required_electorates = electorates

    def record_answer(self, now_ms: float, name: str, version: RecordVersion) -> None:
        """A member answered under this leader's term and has `version`."""
        self.last_answer_at_ms[name] = now_ms
        self.acknowledged[name] = version

    def has(self, name: str, version: RecordVersion) -> bool:
        """Whether a member has acknowledged exactly `version`."""
        return self.acknowledged.get(name) == version

    def is_committed(self, version: RecordVersion) -> bool:
        """Whether every required electorate has `version` on a majority of its disks, ours included."""
        holders = [name for name, acknowledged in self.acknowledged.items() if acknowledged == version]
        return self.have_quorum([*holders, self.own_name])

    def have_quorum(self, names: Iterable[str]) -> bool:
        """Whether `names` are a majority of every required electorate."""
        listed = list(names)
        return all(self.identities.is_quorum(listed, voters) for voters in self.required_electorates)

    def answering(self, now_ms: float, within_ms: float) -> set[str]:
        """This agent and the members that answered less than `within_ms` ago."""
        recent = {
            name
            for name, answered_at_ms in self.last_answer_at_ms.items()
            if now_ms - answered_at_ms < within_ms
        }
        return recent | {self.own_name}
