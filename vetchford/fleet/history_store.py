"""What outlives the agent: the newest record of each kind and name, and a bounded history, in SQLite.

Every record has a checksum, the file a version. A store that is damaged, of another version or full is
reported and never repaired by guessing: `StoreError` names the file and what to do. One thread uses a store.
"""

import json
import sqlite3
import zlib
from pathlib import Path
from typing import Any, NamedTuple

from vetchford.errors import VetchfordError
from vetchford.fleet.agent_messages import HistoryEntry
from vetchford.runtime.clock import clock

SCHEMA_VERSION = 1
MAX_HISTORY_ENTRIES = 10_000  # a roll over a hundred instances writes some five hundred
PRUNE_INTERVAL = 500  # writes between two deletions of the oldest entries, so that not every write deletes
BUSY_TIMEOUT_S = 2.0  # to wait for a lock that another process holds, such as an operator's sqlite3
RESTORE_ADVICE = "move it away to begin anew, or restore a copy"
TABLES = """
CREATE TABLE meta (version INTEGER NOT NULL);
CREATE TABLE newest
  (kind TEXT, name TEXT, body TEXT NOT NULL, sum INTEGER NOT NULL, PRIMARY KEY (kind, name));
CREATE TABLE history (at REAL NOT NULL, kind TEXT NOT NULL, name TEXT NOT NULL, body TEXT NOT NULL);
"""


class StoreError(VetchfordError):
    """The store at `path` cannot be used as it is, for `reason`, which says what to do."""

    def __init__(self, path: str, reason: str) -> None:
        """`path`: of the store's file."""
        super().__init__(f"store {path}: {reason}")
        self.path = path
        self.reason = reason


class StoreAccessError(VetchfordError, OSError):
    """One reading or writing of the store at `path` failed with `problem`; the store holds what it held."""

    def __init__(self, path: str, problem: sqlite3.Error) -> None:
        """`path`: of the store's file; `problem`: what SQLite raised."""
        super().__init__(f"store {path}: {problem}")
        self.path = path
        self.problem = problem


class StoredRecord(NamedTuple):
    """The newest record of a kind and name."""

    kind: str
    name: str
    body: dict[str, Any]


class Store:
    """A record is durable when `put` returns: write-ahead log, synchronous=FULL."""

    def __init__(self, path: str) -> None:
        """Open the file, or make a new one. Raises StoreError."""
        self.path = path
        self.history_writes = 0
        is_new = not Path(path).exists() or Path(path).stat().st_size == 0
        try:
            self.connection = sqlite3.connect(
                path, isolation_level=None, check_same_thread=False, timeout=BUSY_TIMEOUT_S
            )
            self.connection.execute("PRAGMA journal_mode=WAL")
            self.connection.execute("PRAGMA synchronous=FULL")
            if is_new:
                self._create_tables()
            self._check()
        except sqlite3.Error as problem:
            raise StoreError(path, f"{problem}; {RESTORE_ADVICE}") from None

    def _create_tables(self) -> None:
        self.connection.executescript(f"BEGIN; {TABLES} INSERT INTO meta VALUES ({SCHEMA_VERSION}); COMMIT;")

    def _check(self) -> None:
        """Raise StoreError if the file is of another version or damaged."""
        version = self.connection.execute("SELECT version FROM meta").fetchone()
        check_result = self.connection.execute("PRAGMA quick_check").fetchone()
        if version is None or version[0] != SCHEMA_VERSION:
            found = "none" if version is None else version[0]
            reason = f"version {found}, this program reads {SCHEMA_VERSION}; use the one that wrote it"
            raise StoreError(self.path, reason)
        if check_result != ("ok",):
            raise StoreError(self.path, f"torn ({check_result[0]}); {RESTORE_ADVICE}")

    def put(self, kind: str, name: str, body: dict[str, Any] | None, history: bool = True) -> None:
        """Write a record; None deletes it. `history`: whether to append it to the history, too.

        Raises StoreAccessError, an OSError, if the disk is full or fails; then nothing of it is kept.
        """
        text = json.dumps(body, sort_keys=True)
        try:
            self.connection.execute("BEGIN IMMEDIATE")
            if body is None:
                self.connection.execute("DELETE FROM newest WHERE kind = ? AND name = ?", (kind, name))
            else:
                row = (kind, name, text, checksum(text))
                self.connection.execute("INSERT OR REPLACE INTO newest VALUES (?, ?, ?, ?)", row)
            if history:
                self._append_history(kind, name, text)
            self.connection.execute("COMMIT")
        except sqlite3.Error as problem:
            if self.connection.in_transaction:
                self.connection.execute("ROLLBACK")
            raise StoreAccessError(self.path, problem) from None

    def _append_history(self, kind: str, name: str, text: str) -> None:
        row = (clock.day(), kind, name, text)
        self.connection.execute("INSERT INTO history VALUES (?, ?, ?, ?)", row)
        self.history_writes += 1
        if self.history_writes % PRUNE_INTERVAL == 0:
            oldest_kept = "(SELECT max(rowid) FROM history) - ?"
            self.connection.execute(
                f"DELETE FROM history WHERE rowid <= {oldest_kept}", (MAX_HISTORY_ENTRIES,)
            )

    def records(self) -> list[StoredRecord]:
        """Return the newest record of each kind and name, in the order of the table. Raises StoreError."""
        query = "SELECT kind, name, body, sum FROM newest ORDER BY rowid"
        try:
            rows = self.connection.execute(query).fetchall()
        except sqlite3.Error as problem:
            raise StoreError(self.path, f"{problem}; {RESTORE_ADVICE}") from None
        records = []
        for kind, name, text, stored_checksum in rows:
            if checksum(text) != stored_checksum:
                reason = f"the record of {kind} {name} is not what was written; "
                raise StoreError(self.path, reason + "move the store away to begin anew, or restore a copy")
            records.append(StoredRecord(kind, name, json.loads(text)))
        return records

    def history(self, count: int) -> list[HistoryEntry]:
        """Return the last entries, the newest first.

        Raises StoreAccessError if the disk fails: only the request of a tool fails then.
        """
        query = "SELECT at, kind, name, body FROM history ORDER BY rowid DESC LIMIT ?"
        try:
            rows = self.connection.execute(query, (count,)).fetchall()
        except sqlite3.Error as problem:
            raise StoreAccessError(self.path, problem) from None
        return [HistoryEntry(at_s, kind, name, json.loads(body)) for at_s, kind, name, body in rows]

    def close(self) -> None:
        """Close the file."""
        self.connection.close()


def checksum(text: str) -> int:
    """Return the checksum that is stored with a record."""
    return zlib.crc32(text.encode())
