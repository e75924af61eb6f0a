"""Logging: structlog events, written by a thread of their own, so that a stuck log stops nothing else."""

import contextlib
import logging
import math
import sys
import threading
import time
from queue import SimpleQueue
from typing import TextIO

import structlog

MOST_WAITING = (
    1000  # lines; a few hundred bytes each. More than that are dropped, and counted in the next one
)
FLUSH = 0.2  # s at the end: what the log's reader has not taken by then is given up
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
FORMS = ("text", "json")


class LogWriter:
    """What structlog calls a logger: takes finished lines, at any level."""

    def __init__(self, file: TextIO) -> None:
        self.file = file
        self.ends_by = math.inf  # Unix s
        self.lines: SimpleQueue[str | None] = SimpleQueue()
        self.dropped = 0
        self.thread = threading.Thread(target=self.write, name="log", daemon=True)
        self.thread.start()

    def line(self, text: str) -> None:
        if self.lines.qsize() >= MOST_WAITING:
            self.dropped += 1
            return
        if self.dropped:
            text, self.dropped = f"{text} lines_dropped={self.dropped}", 0
        self.lines.put(text)

    debug = info = warning = error = msg = line

    def write(self) -> None:
        while (text := self.lines.get()) is not None:
            with contextlib.suppress(OSError, ValueError):  # nobody reads the log any more
                self.file.write(text + "\n")
                self.file.flush()

    def end_by(self, at: float) -> None:
        """Unix s: `close` does not wait beyond it, as a kill is next."""
        self.ends_by = at

    def close(self) -> None:
        self.lines.put(None)
        self.thread.join(max(0.0, min(FLUSH, self.ends_by - time.time())))


def start(level: str, form: str, file: TextIO = sys.stderr) -> LogWriter:
    writer = LogWriter(file)
    last = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.processors.LogfmtRenderer(
            key_order=["timestamp", "level", "event"], bool_as_flag=False
        )
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *given: writer,
        cache_logger_on_first_use=False,
    )
    return writer
