"""Rules for changing the voters of the record. No I/O.

Voters change one at a time, as in Raft's single-server changes (Ongaro's thesis, 4.1): the majorities of two
lists that differ in one voter overlap. In addition, a record that changes the voters needs a majority of both
lists.
"""

from collections.abc import Iterable, Mapping

from vetchford.fleet.consensus_messages import RecordVersion
from vetchford.fleet.quorum import StoreIdentities
from vetchford.fleet.replication import ReplicationProgress

MAX_VOTERS = 7  # tolerates three unreachable voters; each further voter slows every write


def check_single_change(before: Mapping[str, str], after: Mapping[str, str]) -> None:
    """Raise ValueError if two lists of voters, with store identities, differ in more than one voter."""
    if sum(before.get(name) != after.get(name) for name in before.keys() | after.keys()) > 1:
        raise ValueError(f"a record may change one voter at most: {dict(before)} became {dict(after)}")


def find_voter_update(
    voters: Mapping[str, str],
    members: Iterable[str],
    version: RecordVersion,
    identities: StoreIdentities,
    progress: ReplicationProgress,
) -> tuple[str, str] | None:
    """Return the voter to update in the next record, and the identity of its store; None for no change.

    A voter whose store is not the one listed in `voters` comes first, so that its votes count again;
    otherwise, below `MAX_VOTERS`, a member that is not a voter yet. Only agents that have `version`, the
    newest record, on disk are eligible: any other voter would lack the committed record.
    """
    for name in sorted(voters):
        store = identities.identity_of(name)
        is_up_to_date = name == identities.own_name or progress.has_acknowledged(name, version)
        if store and store != voters[name] and is_up_to_date:
            return name, store
    if len(voters) >= MAX_VOTERS:
        return None
    for name in sorted(members):
        if name not in voters and progress.has_acknowledged(name, version):
            return name, identities.reported.get(name, "")
    return None
