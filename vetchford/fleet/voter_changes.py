"""The rules by which the voters of the record change. No I/O.

Voters change one at a time, as in Raft's single-server changes (Ongaro's thesis, 4.1): of two lists that
differ in one voter, any two majorities meet. Besides, a record that changes them needs a majority of both.
"""

from collections.abc import Iterable, Mapping

from vetchford.fleet.consensus_messages import RecordVersion
from vetchford.fleet.quorum import StoreIdentities
from vetchford.fleet.replication import ReplicationProgress

MAX_VOTERS = 7  # three may be away; each more makes every write dearer


def check_single_change(before: Mapping[str, str], after: Mapping[str, str]) -> None:
    """ValueError where two lists of voters, with their store identities, differ in more than one voter."""
    if sum(before.get(name) != after.get(name) for name in before.keys() | after.keys()) > 1:
        raise ValueError("voters change one at a time")


def find_voter_update(
    voters: Mapping[str, str],
    members: Iterable[str],
    version: RecordVersion,
    identities: StoreIdentities,
    progress: ReplicationProgress,
) -> tuple[str, str] | None:
    """The voter that the next record is to list anew, and the identity of its store; None for no change.

    First a voter whose store is not the one listed in `voters`, so that its votes count again; otherwise,
    below `MAX_VOTERS`, one of `members` that is none yet. Only agents that have `version`, the newest record,
    on their disk are taken: a voter without it would not hold what is committed.
    """
    for name in sorted(voters):
        store = identities.of(name)
        is_up_to_date = name == identities.own_name or progress.has(name, version)
        if store and store != voters[name] and is_up_to_date:
            return name, store
    if len(voters) >= MAX_VOTERS:
        return None
    for name in sorted(members):
        if name not in voters and progress.has(name, version):
            return name, identities.stated.get(name, "")
    return None
