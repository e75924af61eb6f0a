"""Logging: structlog events, written by a thread of their own, so that a stuck log stops nothing else."""

import contextlib
import logging
import math
import sys
import threading
import time
from queue import SimpleQueue
from typing import Any, TextIO

import structlog

MAX_QUEUED_LINES = 1000  # a few hundred bytes each; more are dropped, and counted in the next one
FLUSH_TIMEOUT_S = 0.2  # at the end: what the log's reader has not taken by then is dropped
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
FORMATS = ("text", "json")


class LogWriter:
    """The logger that structlog hands finished lines to, at any level and from any thread."""

    def __init__(self, file: TextIO) -> None:
        """Write to `file`, on a thread that runs until `close`."""
        self.file = file
        self.close_by_unix_s = math.inf
        self.lines: SimpleQueue[str | None] = SimpleQueue()
        self.dropped = 0
        self.thread = threading.Thread(target=self.write, name="log", daemon=True)
        self.thread.start()

    def line(self, text: str) -> None:
        """Queue one line; never blocks."""
        if self.lines.qsize() >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            text = f"{text} lines_dropped={self.dropped}"
            self.dropped = 0
        self.lines.put(text)

    debug = info = warning = error = msg = line

    def write(self) -> None:
        """Write lines until `close`; the body of the thread."""
        while (text := self.lines.get()) is not None:
            with contextlib.suppress(OSError, ValueError):  # nobody reads the log any more
                self.file.write(text + "\n")
                self.file.flush()

    def end_by(self, deadline_unix_s: float) -> None:
        """Let `close` not wait beyond this time, as a kill is next; may be called from any thread."""
        self.close_by_unix_s = deadline_unix_s

    def close(self) -> None:
        """Wait until all is written, for `FLUSH_TIMEOUT_S` at most."""
        self.lines.put(None)
        self.thread.join(max(0.0, min(FLUSH_TIMEOUT_S, self.close_by_unix_s - time.time())))


def start(level: str, log_format: str, file: TextIO = sys.stderr) -> LogWriter:
    """Send all structlog events of `level` and above to `file`, in one of `FORMATS`."""
    writer = LogWriter(file)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _renderer(log_format),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *arguments: writer,
        cache_logger_on_first_use=False,
    )
    return writer


def _renderer(log_format: str) -> Any:
    if log_format == "json":
        return structlog.processors.JSONRenderer()
    return structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], bool_as_flag=False)
