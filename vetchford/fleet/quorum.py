"""Majorities, counting only voters whose store is the one that the record lists. No I/O.

A store that was emptied or restored from an old copy has lost the votes written to it. The store gets a new
identity, and votes of its agent are not counted until a committed record lists that identity.
"""

from collections.abc import Iterable, Mapping

REPLACED_STORE_PREFIX = "~"  # of the identity of a store that replaced an earlier store of the same agent


def is_majority(votes: Iterable[str], voters: Iterable[str]) -> bool:
    """Return whether more than half of `voters` are among `votes`."""
    voter_set = set(voters)
    return 2 * len(voter_set & set(votes)) > len(voter_set)


class StoreIdentities:
    """The identities of the agents' stores, as each agent reports its own."""

    def __init__(self, own_name: str, own_store: str) -> None:
        """Start with the identity `own_store` of this agent's store; `own_name` is this agent."""
        self.own_name = own_name
        self.own_store = own_store
        self.reported: dict[str, str] = {}  # by agent; at most the agents that the settings list

    def identity_of(self, name: str) -> str:
        """Return the identity of an agent's store; empty if the agent has not reported it yet."""
        return self.own_store if name == self.own_name else self.reported.get(name, "")

    def replace_own(self, store: str) -> None:
        """Take the new identity `store` after this agent's store was emptied or restored."""
        self.own_store = REPLACED_STORE_PREFIX + store

    def has_valid_vote(self, name: str, voters: Mapping[str, str]) -> bool:
        """Return whether a vote of `name` counts in `voters`, which maps agents to listed store identities.

        The founding record lists no identities: any store counts then, except a replaced store, which may
        have lost a vote.
        """
        listed = voters.get(name)
        if listed is None:
            return False
        store = self.identity_of(name)
        is_unchanged_founding_store = listed == "" and not store.startswith(REPLACED_STORE_PREFIX)
        return listed == store or is_unchanged_founding_store

    def is_quorum(self, names: Iterable[str], voters: Mapping[str, str]) -> bool:
        """Return whether the agents among `names` whose votes count are a majority of `voters`."""
        return is_majority((name for name in names if self.has_valid_vote(name, voters)), voters)
