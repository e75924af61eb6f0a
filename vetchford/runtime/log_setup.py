"""Logging: a separate thread writes structlog events, so a blocked log file blocks no other thread."""

import contextlib
import logging
import math
import sys
import threading
import time
from queue import SimpleQueue
from typing import Any, TextIO

import structlog
from structlog.typing import EventDict

MAX_QUEUED_LINES = 1000  # a few hundred bytes each; more are dropped, and the next line has their number
FLUSH_TIMEOUT_S = 0.2  # at the end; lines that the reader of the log has not accepted by then are dropped
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
FORMATS = ("text", "json")


class LogWriter:
    """The logger that receives rendered lines from structlog, of all levels and from any thread."""

    def __init__(self, file: TextIO) -> None:
        """Start a thread that writes to `file` until `close`."""
        self.file = file
        self.close_by_unix_s = math.inf
        self.lines: SimpleQueue[str | None] = SimpleQueue()
        self.dropped = 0
        self.thread = threading.Thread(target=self.write, name="log", daemon=True)
        self.thread.start()

    def line(self, text: str) -> None:
        """Queue one line, or drop it if the queue is full; never blocks."""
        if self.lines.qsize() >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            text = f"{text} lines_dropped={self.dropped}"
            self.dropped = 0
        self.lines.put(text)

    debug = info = warning = error = msg = line

    def write(self) -> None:
        """Write queued lines until `close`; the target of the thread."""
        while (text := self.lines.get()) is not None:
            with contextlib.suppress(OSError, ValueError):  # the log file is closed or has no reader any more
                self.file.write(text + "\n")
                self.file.flush()

    def end_by(self, deadline_unix_s: float) -> None:
        """Limit the wait of `close` to this time, as the process is killed then; callable from any thread."""
        self.close_by_unix_s = deadline_unix_s

    def close(self) -> None:
        """Wait until all lines are written, at most `FLUSH_TIMEOUT_S`."""
        self.lines.put(None)
        self.thread.join(max(0.0, min(FLUSH_TIMEOUT_S, self.close_by_unix_s - time.time())))


def start(level: str, log_format: str, file: TextIO = sys.stderr) -> LogWriter:
    """Write all structlog events of `level` and above to `file`; `log_format` is one of `FORMATS`."""
    writer = LogWriter(file)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *_renderers(log_format),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *arguments: writer,
        cache_logger_on_first_use=False,
    )
    return writer


def _renderers(log_format: str) -> list[Any]:
    if log_format == "json":
        return [structlog.processors.JSONRenderer()]
    key_order = ["timestamp", "level", "event"]
    return [
        _join_words_of_keys,
        structlog.processors.LogfmtRenderer(key_order=key_order, bool_as_flag=False),
    ]


def _join_words_of_keys(_logger: Any, _method: str, fields: EventDict) -> EventDict:
    """Replace spaces in keys, for which the text form has no place: a counter by reason has one."""
    return {key.replace(" ", "_"): value for key, value in fields.items()}
