"""The agent's persistent store in SQLite: the newest record of each kind and name, and a bounded history.

Each record has a checksum and the file a schema version. A store that is damaged, full or of another version
is reported and never repaired automatically: `StoreError` names the file and the remedy. A store is used by
one thread.
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
MAX_HISTORY_ENTRIES = 10_000  # a roll over 100 instances writes about 500
PRUNE_INTERVAL_WRITES = 500  # between deletions of the oldest entries, so that not every write deletes
BUSY_TIMEOUT_S = 2.0  # wait for a lock of another process, such as an operator's sqlite3
RESTORE_ADVICE = "move the file away to start with an empty store, or restore a backup"
TABLES = """
CREATE TABLE meta (version INTEGER NOT NULL);
CREATE TABLE newest
  (kind TEXT, name TEXT, body TEXT NOT NULL, sum INTEGER NOT NULL, PRIMARY KEY (kind, name));
CREATE TABLE history (at REAL NOT NULL, kind TEXT NOT NULL, name TEXT NOT NULL, body TEXT NOT NULL);
"""


class StoreError(VetchfordError):
    """The store at `path` cannot be used; `reason` says why and names the remedy."""

    def __init__(self, path: str, reason: str) -> None:
        """Initialize the error; `path`: of the store's file."""
        super().__init__(f"store {path}: {reason}")
        self.path = path
        self.reason = reason


class StoreAccessError(VetchfordError, OSError):
    """A read or write of the store at `path` failed with `problem`; its contents are unchanged."""

    def __init__(self, path: str, problem: sqlite3.Error) -> None:
        """Initialize the error; `path`: of the store's file; `problem`: the exception of SQLite."""
        super().__init__(f"store {path}: {problem}")
        self.path = path
        self.problem = problem


class StoredRecord(NamedTuple):
    """The newest record of a kind and name."""

    kind: str
    name: str
    body: dict[str, Any]


class Store:
    """The store; a record is durable when `put` returns (write-ahead log, synchronous=FULL)."""

    def __init__(self, path: str) -> None:
        """Open the file, or create it. Raises StoreError."""
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
        """Raise StoreError if the file is damaged or has another schema version."""
        version = self.connection.execute("SELECT version FROM meta").fetchone()
        check_result = self.connection.execute("PRAGMA quick_check").fetchone()
        if version is None or version[0] != SCHEMA_VERSION:
            found = "none" if version is None else version[0]
            reason = f"schema version {found}, expected {SCHEMA_VERSION}; use the release that wrote it"
            raise StoreError(self.path, reason)
        if check_result != ("ok",):
            raise StoreError(self.path, f"damaged ({check_result[0]}); {RESTORE_ADVICE}")

    def put(self, kind: str, name: str, body: dict[str, Any] | None, history: bool = True) -> None:
        """Write a record; None deletes it. `history`: whether to append it to the history as well.

        Raises StoreAccessError, an OSError, if the disk is full or fails; the write is then rolled back.
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
        row = (clock.unix_time_s(), kind, name, text)
        self.connection.execute("INSERT INTO history VALUES (?, ?, ?, ?)", row)
        self.history_writes += 1
        if self.history_writes % PRUNE_INTERVAL_WRITES == 0:
            oldest_kept = "(SELECT max(rowid) FROM history) - ?"
            self.connection.execute(
                f"DELETE FROM history WHERE rowid <= {oldest_kept}", (MAX_HISTORY_ENTRIES,)
            )

    def records(self) -> list[StoredRecord]:
        """Return the newest record of each kind and name, in the order of writing. Raises StoreError."""
        query = "SELECT kind, name, body, sum FROM newest ORDER BY rowid"
        try:
            rows = self.connection.execute(query).fetchall()
        except sqlite3.Error as problem:
            raise StoreError(self.path, f"{problem}; {RESTORE_ADVICE}") from None
        records = []
        for kind, name, text, stored_checksum in rows:
            if checksum(text) != stored_checksum:
                reason = f"checksum mismatch in the record of {kind} {name}; "
                raise StoreError(
                    self.path, reason + "move the file away to start with an empty store, or restore a backup"
                )
            records.append(StoredRecord(kind, name, json.loads(text)))
        return records

    def history(self, count: int) -> list[HistoryEntry]:
        """Return the last `count` entries, the newest first.

        Raises StoreAccessError, not StoreError, if the disk fails, so that only the tool's request fails.
        """
        query = "SELECT at, kind, name, body FROM history ORDER BY rowid DESC LIMIT ?"
        try:
            rows = self.connection.execute(query, (count,)).fetchall()
        except sqlite3.Error as problem:
            raise StoreAccessError(self.path, problem) from None
        return [HistoryEntry(at_s, kind, name, json.loads(body)) for at_s, kind, name, body in rows]

    def close(self) -> None:
        """Close the database connection."""
        self.connection.close()


def checksum(text: str) -> int:
    """Return the checksum that is stored with a record."""
    return zlib.crc32(text.encode())
