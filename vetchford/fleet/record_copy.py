"""One agent's durable copy of the fleet's record, with its vote. I/O only through `RecordStore`.

This is the persistent state of Raft (Raft, figure 2): it is on disk before a message depends on it.
"""

from typing import Any, Protocol

from vetchford.fleet.consensus_messages import PersistentState, RecordBody, RecordVersion


class RecordStore(Protocol):
    """Operations through which the copy is written."""

    def save_record(self, stored: dict[str, Any]) -> None:
        """Make the copy durable before returning; OSError if the store fails, and then no vote was cast."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Write a log event."""


class RecordCopy:
    """The highest term voted in, and the last written record, committed or not."""

    def __init__(self, store: RecordStore, founding_body: RecordBody) -> None:
        """Start with the founding body, which is the same on all agents, and no vote."""
        self._store = store
        self.promised_term = 0
        self.version: RecordVersion = (0, 0)
        self.body = founding_body

    def restore(self, stored: dict[str, Any]) -> None:
        """Load what `save_record` stored last; KeyError if a key is missing."""
        self._set_state(PersistentState.from_stored(stored))

    def save(self, promised_term: int, version: RecordVersion, body: RecordBody) -> bool:
        """Write to disk, then to memory; return False, with nothing changed, if the store failed.

        Invariant: memory is never ahead of the disk, so a crash cannot undo what a message has promised.
        """
        state = PersistentState(promised_term, version, body)
        try:
            self._store.save_record(state.to_stored())
        except OSError as problem:
            self._store.log_event("record_not_stored", problem=str(problem))
            return False
        self._set_state(state)
        return True

    def save_term(self, promised_term: int) -> bool:
        """Write a vote in a higher term, with the record unchanged; return False if the store failed."""
        return self.save(promised_term, self.version, self.body)

    def voters(self) -> dict[str, str]:
        """Return the voters, with the store identity that the record lists for each."""
        voters: dict[str, str] = self.body["voters"]
        return voters

    def members(self) -> list[str]:
        """Return the members' names, sorted."""
        return sorted(self.body["members"])

    def is_member(self, name: str) -> bool:
        """Return whether the record lists an agent as a member."""
        return name in self.body["members"]

    def _set_state(self, state: PersistentState) -> None:
        self.promised_term = state.promised_term
        self.version = state.version
        self.body = state.body
