"""What outlives the agent: the newest record of each instance and change, and a bounded history, in SQLite.

Every record has a checksum, the file a version. What is torn, of another version or full is said, never
guessed: `StoreError` names the file and the mend. One thread uses it.
"""

import json
import sqlite3
import zlib
from pathlib import Path
from typing import Any

from vetchford.runtime.clock import clock

VERSION = 1
HISTORY = 10_000  # entries kept: a roll over a hundred instances writes some five hundred
PRUNE = 500  # entries beyond before the oldest go, so that not every write deletes
TABLES = """
CREATE TABLE meta (version INTEGER NOT NULL);
CREATE TABLE newest
  (kind TEXT, name TEXT, body TEXT NOT NULL, sum INTEGER NOT NULL, PRIMARY KEY (kind, name));
CREATE TABLE history (at REAL NOT NULL, kind TEXT NOT NULL, name TEXT NOT NULL, body TEXT NOT NULL);
"""


class StoreError(Exception):
    """The store can't be used as it is; says which file and what to do."""


class Store:
    """`put` is durable when it returns: write-ahead log, synchronous=FULL."""

    def __init__(self, path: str) -> None:
        self.path, self.puts = path, 0
        fresh = not Path(path).exists() or Path(path).stat().st_size == 0
        try:
            self.base = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=2.0)
            self.base.execute("PRAGMA journal_mode=WAL")
            self.base.execute("PRAGMA synchronous=FULL")
            if fresh:
                self.base.executescript(f"BEGIN; {TABLES} INSERT INTO meta VALUES ({VERSION}); COMMIT;")
            version = self.base.execute("SELECT version FROM meta").fetchone()
            sound = self.base.execute("PRAGMA quick_check").fetchone()
        except sqlite3.Error as problem:
            raise StoreError(
                f"store {path}: {problem}; move it away to begin anew, or restore a copy"
            ) from None
        if version is None or version[0] != VERSION:
            found = "none" if version is None else version[0]
            raise StoreError(
                f"store {path}: version {found}, this program reads {VERSION}; use the one that wrote it"
            )
        if sound != ("ok",):
            raise StoreError(
                f"store {path}: torn ({sound[0]}); move it away to begin anew, or restore a copy"
            )

    def put(self, kind: str, name: str, body: dict[str, Any] | None, history: bool = True) -> None:
        """None drops it; `history`: whether it is remembered beside the newest. OSError where the disk is
        full or fails: then nothing of it is kept.
        """
        text = json.dumps(body, sort_keys=True)
        try:
            self.base.execute("BEGIN IMMEDIATE")
            if body is None:
                self.base.execute("DELETE FROM newest WHERE kind = ? AND name = ?", (kind, name))
            else:
                self.base.execute(
                    "INSERT OR REPLACE INTO newest VALUES (?, ?, ?, ?)", (kind, name, text, summed(text))
                )
            if history:
                self.base.execute("INSERT INTO history VALUES (?, ?, ?, ?)", (clock.day(), kind, name, text))
                self.puts += 1
            if history and self.puts % PRUNE == 0:
                last = "SELECT max(rowid) FROM history"
                self.base.execute(f"DELETE FROM history WHERE rowid <= ({last}) - ?", (HISTORY,))
            self.base.execute("COMMIT")
        except sqlite3.Error as problem:
            if self.base.in_transaction:
                self.base.execute("ROLLBACK")
            raise OSError(f"store {self.path}: {problem}") from None

    def all(self) -> list[tuple[str, str, dict[str, Any]]]:
        """Kind, name and body of each, in the order they were first put."""
        out = []
        try:
            rows = self.base.execute("SELECT kind, name, body, sum FROM newest ORDER BY rowid").fetchall()
        except sqlite3.Error as problem:
            raise StoreError(
                f"store {self.path}: {problem}; move it away to begin anew, or restore a copy"
            ) from None
        for kind, name, text, total in rows:
            if summed(text) != total:
                raise StoreError(
                    f"store {self.path}: the record of {kind} {name} is not what was written; "
                    "move the store away to begin anew, or restore a copy"
                )
            out.append((kind, name, json.loads(text)))
        return out

    def history(self, most: int) -> list[dict[str, Any]]:
        """The last entries, the newest first. OSError where the disk fails."""
        wanted = "SELECT at, kind, name, body FROM history ORDER BY rowid DESC LIMIT ?"
        try:
            rows = self.base.execute(wanted, (most,)).fetchall()
        except sqlite3.Error as problem:  # a tool's question alone: no reason for the agent's thread to end
            raise OSError(f"store {self.path}: {problem}") from None
        return [
            {"at": at, "kind": kind, "name": name, "body": json.loads(body)} for at, kind, name, body in rows
        ]

    def close(self) -> None:
        self.base.close()


def summed(text: str) -> int:
    return zlib.crc32(text.encode())
