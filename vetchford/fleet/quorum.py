"""Which votes count: majorities of voters whose store is the one that the record lists. No I/O.

A store that was emptied or restored from an old copy has lost the votes written to it. It takes a new
identity, and votes resting on it are not counted until a committed record lists that identity.
"""

from collections.abc import Iterable, Mapping

REPLACED_STORE_PREFIX = "~"  # begins the identity of a store that replaced another one of the same agent


def is_majority(votes: Iterable[str], voters: Iterable[str]) -> bool:
    """Whether more than half of `voters` are among `votes`."""
    electorate = set(voters)
    return 2 * len(electorate & set(votes)) > len(electorate)


class StoreIdentities:
    """The identities of the agents' stores, as each agent has stated its own."""

    def __init__(self, own_name: str, own_store: str) -> None:
        """`own_store`: the identity of the store of this agent, `own_name`."""
        self.own_name = own_name
        self.own_store = own_store
        self.stated: dict[str, str] = {}  # by agent; bounded by the agents that the settings list

    def of(self, name: str) -> str:
        """The identity of an agent's store; empty while it has stated none."""
        return self.own_store if name == self.own_name else self.stated.get(name, "")

    def replace_own(self, store: str) -> None:
        """This agent's store was emptied or restored; `store` is drawn anew."""
        self.own_store = REPLACED_STORE_PREFIX + store

    def is_counted(self, name: str, voters: Mapping[str, str]) -> bool:
        """Whether a vote of `name` counts in `voters`, which maps agents to the store identities listed.

        The founding record lists agents without an identity: any counts then but one of a replaced store,
        which may have forgotten a vote.
        """
        listed = voters.get(name)
        if listed is None:
            return False
        store = self.of(name)
        is_founder = listed == "" and not store.startswith(REPLACED_STORE_PREFIX)
        return listed == store or is_founder

    def is_quorum(self, names: Iterable[str], voters: Mapping[str, str]) -> bool:
        """Whether the counted ones among `names` are a majority of `voters`."""
        return is_majority((name for name in names if self.is_counted(name, voters)), voters)
