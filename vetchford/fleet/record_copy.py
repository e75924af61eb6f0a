"""One agent's durable copy of the fleet's record, with its vote. No I/O of its own.

Raft's persistent state (Raft, figure 2): what is here is on the disk before any message rests on it.
"""

from typing import Any, Protocol

from vetchford.fleet.consensus_messages import PersistentState, RecordBody, RecordVersion


class RecordStore(Protocol):
    """What the copy is written through."""

    def save_record(self, stored: dict[str, Any]) -> None:
        """Durable before it returns; OSError where the store fails, and then nothing was voted for."""

    def note(self, event: str, **fields: Any) -> None:
        """A log event."""


class RecordCopy:
    """The highest term voted in, and the record as it was written last, committed or not."""

    def __init__(self, store: RecordStore, founding: RecordBody) -> None:
        """Begins with the founding body, which is the same on all agents, and no vote."""
        self._store = store
        self.promised_term = 0
        self.version: RecordVersion = (0, 0)
        self.body = founding

    def restore(self, stored: dict[str, Any]) -> None:
        """Takes in what `save_record` was given last; KeyError where it is not that."""
        self._take(PersistentState.from_stored(stored))

    def save(self, promised_term: int, version: RecordVersion, body: RecordBody) -> bool:
        """Writes to the disk, then to memory; False where the disk failed, and nothing has changed.

        Invariant: memory is never ahead of the disk, so no message promises what a crash could take back.
        """
        state = PersistentState(promised_term, version, body)
        try:
            self._store.save_record(state.to_stored())
        except OSError as problem:
            self._store.note("record_not_stored", problem=str(problem))
            return False
        self._take(state)
        return True

    def save_term(self, promised_term: int) -> bool:
        """Writes a vote in a higher term, with the record as it is; False where the disk failed."""
        return self.save(promised_term, self.version, self.body)

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

    def _take(self, state: PersistentState) -> None:
        self.promised_term = state.promised_term
        self.version = state.version
        self.body = state.body
