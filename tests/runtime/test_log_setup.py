"""Log: sampling of events that peers can cause, a reader that blocks, and closing."""

import io
import socket
import time
from types import SimpleNamespace

from vetchford.runtime import log_setup
from vetchford.runtime.metrics import Metrics


def test_sampled_events_are_logged_at_powers_of_two_and_a_blocked_log_blocks_no_thread():
    reader, log_socket = socket.socketpair()
    writer = log_setup.start("info", "json", log_socket.makefile("w"))
    metrics = Metrics()
    for _ in range(1000):
        metrics.log_sampled("balancer_bad_message", code=1)
    assert metrics.by_name["balancer_bad_message"] == 1000 and writer.lines.qsize() <= 10
    for _ in range(20_000):
        metrics.log_summary(text="x" * 200)
    assert writer.lines.qsize() <= log_setup.MAX_QUEUED_LINES and writer.dropped > 0
    reader.close()
    log_socket.close()
    log_setup.start("error", "text", io.StringIO())


def test_closing_the_log_waits_no_longer_than_its_deadline():
    reader, log_socket = socket.socketpair()
    writer = log_setup.start("info", "json", log_socket.makefile("w"))
    join_timeouts = []
    writer.thread = SimpleNamespace(join=join_timeouts.append)
    writer.close()
    writer.end_by(time.time() - 1.0)
    writer.close()
    assert join_timeouts == [log_setup.FLUSH_TIMEOUT_S, 0.0]
    reader.close()
    log_socket.close()
    log_setup.start("error", "text", io.StringIO())


def test_the_summary_is_written_in_both_forms_if_a_counter_has_a_reason_in_its_name():
    # Guards against a summary that raises, and is then never logged again, in the text form of the log.
    metrics = Metrics()
    metrics.increment("peer_refused no_handshake")
    for log_format, expected in (
        ("text", "peer_refused_no_handshake=1"),
        ("json", '"peer_refused no_handshake": 1'),
    ):
        file = io.StringIO()
        writer = log_setup.start("info", log_format, file)
        metrics.log_summary(open=0)
        writer.close()
        assert expected in file.getvalue()
    log_setup.start("error", "text", io.StringIO())
