"""Codecs: parsers compared with reference parsers, malformed messages, encoders and socket writes."""

import base64
import json
import random
import socket
import threading

import pytest

from vetchford.protocol import json_rpc, records_lines, worker_pool_lines
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError
from vetchford.runtime.sockets import send_nonblocking, send_parts
from vetchford.server import connection_limits


def parse_in_pieces(parse_next, size, stream, rng):
    """Return the messages found in a stream that is received in pieces, and whether all of it is valid."""
    buffer, found, position = ReceiveBuffer(size), [], 0
    try:
        while position < len(stream):
            free_space = buffer.free_space()
            count = min(len(free_space), len(stream) - position, rng.choice((1, 2, 7, 100, 5000)))
            free_space[:count] = stream[position : position + count]
            buffer.add_received(count)
            position += count
            while (item := parse_next(buffer)) is not None:
                found.append(
                    bytes(item) if isinstance(item, memoryview) else (*item[:2], bytes(item[2] or b""))
                )
    except UnreadableStreamError:
        return found, False
    return found, True


def reference_bodies(stream):
    found = []
    while True:
        if b"\r\n\r\n" not in stream[: json_rpc.MAX_HEADER_BYTES + 4]:
            return found, len(stream) < json_rpc.MAX_HEADER_BYTES + 4
        header, _, rest = stream.partition(b"\r\n\r\n")
        lengths = []
        for line in header.split(b"\r\n"):
            if b":" not in line:
                return found, False
            name, value = line.split(b":", 1)
            if name.strip().lower() == b"content-length":
                lengths.append(value.strip())
        if len(lengths) != 1 or not lengths[0].isdigit() or int(lengths[0]) > json_rpc.MAX_BODY_BYTES:
            return found, False
        length = int(lengths[0])
        if len(rest) < length:
            return found, True
        found.append(rest[:length])
        stream = rest[length:]


def reference_lines(stream):
    found = []
    while b"\n" in stream[: worker_pool_lines.MAX_LINE_BYTES + 1]:
        line, _, stream = stream.partition(b"\n")
        found.append(line)
    return found, len(stream) < worker_pool_lines.MAX_LINE_BYTES + 1


def reference_replies(stream):
    found = []
    while b"\r\n" in stream[: records_lines.MAX_LINE_BYTES + 2]:
        line, _, rest = stream.partition(b"\r\n")
        words = line.split(b" ")
        if any(not word.isalnum() for word in words) or len(words) not in (2, 3):
            return found, False
        outcome = records_lines.OUTCOMES.get(words[1].decode("ascii", "replace"))
        if outcome is None or (len(words) == 3) is not (words[1] == b"DONE"):
            return found, False
        body = b""
        if len(words) == 3:
            if not words[2].isdigit() or len(words[2]) > 9 or int(words[2]) > records_lines.MAX_REPLY_BYTES:
                return found, False
            length = int(words[2])
            if len(rest) < length + 2:
                return found, True
            body, terminator, rest = rest[:length], rest[length : length + 2], rest[length + 2 :]
            if terminator != b"\r\n":
                return found, False
        found.append((words[0].decode("ascii", "replace"), outcome, body))
        stream = rest
    return found, len(stream) < records_lines.MAX_LINE_BYTES + 2


def random_bytes(rng, max_length):
    return rng.choice((bytes, lambda b: b.replace(b"\n", b"\r\n")))(rng.randbytes(rng.randrange(max_length)))


def random_rpc_message(rng):
    body = random_bytes(rng, rng.choice((3, 40, 3000, 8000)))
    extra_header = rng.choice(
        (b"", b"", b"Content-Type: x\r\n", b"content-length : 1\r\n", b"odd\r\n", b"A:" + b"x" * 1200)
    )
    name = rng.choice((b"Content-Length", b"Content-Length", b"CONTENT-length"))
    length = rng.choice((b"%d", b"%d", b" %d ", b"0%d", b"-%d", b"+%d", b"99%d")) % len(body)
    return rng.choice((b"", extra_header)) + name + b":" + length + b"\r\n\r\n" + body


def random_pool_line(rng):
    line = random_bytes(rng, rng.choice((50, 9000, 90_000)))
    return (line.replace(b"\n", b"") if len(line) > 9000 else line) + b"\n"


def random_records_reply(rng):
    body = random_bytes(rng, rng.choice((1, 20, 5000)))
    status = rng.choice(
        (
            b"DONE %d\r\n%b" % (len(body), body),
            b"DONE",
            b"WAIT",
            b"PAST",
            b"EMPTY",
            b"ERROR 3",
            b"DONE 99999999",
            b"NO",
            b"x y z",
        )
    )
    return rng.choice((b"9b1f", b"9b1f", b"9b1f", b"a" * 300, b"\xff")) + b" " + status + b"\r\n"


@pytest.mark.parametrize(
    ("parse_next", "size", "reference_parser", "random_message"),
    [
        (
            json_rpc.next_body,
            connection_limits.RECEIVE_BUFFER_BYTES,
            reference_bodies,
            random_rpc_message,
        ),
        (
            worker_pool_lines.next_line,
            2 * worker_pool_lines.MAX_LINE_BYTES,
            reference_lines,
            random_pool_line,
        ),
        (
            records_lines.next_reply,
            records_lines.MAX_REPLY_BYTES + 2 * records_lines.MAX_LINE_BYTES,
            reference_replies,
            random_records_reply,
        ),
    ],
)
def test_parsers_match_reference_parsers_however_the_bytes_are_split(
    parse_next, size, reference_parser, random_message
):
    valid_streams = found = 0
    for seed in range(300):
        rng = random.Random(seed)
        stream = b"".join(random_message(rng) for _ in range(rng.randrange(1, 6)))
        if rng.random() < 0.3:
            corrupted = bytearray(stream)
            corrupted[rng.randrange(len(stream))] = rng.randrange(256)
            stream = bytes(corrupted)
        expected = reference_parser(stream)
        assert parse_in_pieces(parse_next, size, stream, rng) == expected, seed
        found, valid_streams = found + len(expected[0]), valid_streams + expected[1]
    assert found > 60 and 20 < valid_streams < 300  # both valid and invalid streams were parsed


def test_malformed_json_raises_only_the_errors_of_the_codec():
    request = (
        b'{"jsonrpc":"2.0","id":7,"method":"read","params":{"txn":"9b","door":1,"content":"aa==","ram":2.5}}'
    )
    lines = (
        b'{"type":"finished","n":1,"job":"9b","state":"complete","took":12.5,"data":"aa=="}',
        b'{"type":"blocked","n":2,"job":"9b","data":"aa=="}',
        b'{"type":"polled","ref":"1-2","gauges":[0.5,3]}',
        b'{"type":"bound","state":"hot","took":3}',
    )
    decoders = (
        worker_pool_lines.decode_run_ended,
        worker_pool_lines.decode_run_blocked,
        worker_pool_lines.decode_poll_answer,
        worker_pool_lines.decode_pool_bound,
    )
    accepted = refused = 0
    for seed in range(4000):
        rng = random.Random(seed)
        index = rng.randrange(5)
        text = bytearray(request if index == 4 else lines[index])
        for _ in range(rng.randrange(3)):
            position = rng.randrange(len(text))
            text[position : position + rng.randrange(3)] = rng.choice(
                (b"", b"9", b'"', b"[", b"\xff", b"null", b"1e999")
            )
        try:
            if index == 4:
                _, rpc_id, params = json_rpc.decode(bytes(text))
                json_rpc.decode_request(params, rpc_id, 1.0)
            else:
                decoders[index](worker_pool_lines.decode(bytes(text))[1])
            accepted += 1
        except (json_rpc.BadMessageError, worker_pool_lines.BadLineError):
            refused += 1
    assert accepted > 500 and refused > 500


def test_a_run_time_that_is_not_a_finite_duration_is_refused():
    # One infinite run time would make every mean of run times infinite, permanently.
    for took in ("1e999", "-1", "true", "null", '"5"'):
        line = b'{"type":"finished","n":1,"job":"a","state":"error","took":%b}' % took.encode()
        with pytest.raises(worker_pool_lines.BadLineError):
            worker_pool_lines.decode_run_ended(worker_pool_lines.decode(line)[1])


def test_encoded_messages_have_the_form_of_the_protocol_specification():
    assert b"".join(json_rpc.completed(7, "QkFTRTY0")).split(b"\r\n\r\n")[1] == (
        b'{"jsonrpc":"2.0","id":7,"result":{"content":"QkFTRTY0"}}'
    )
    for terminal, retry_after_ms, data in (
        (False, 0.0, None),
        (True, 0.0, {"giveup": 1}),
        (False, 12.2, {"later": 13}),
    ):
        header, body = b"".join(json_rpc.rejected(7, terminal, retry_after_ms)).split(b"\r\n\r\n")
        error = json.loads(body)["error"]
        assert (error["code"], error.get("data")) == (-32050, data)
        assert header == b"Content-Length: %d" % len(body)
    assert b"".join(worker_pool_lines.spawn("9b", "read", "aa==")) == (
        b'{"type":"spawn","job":"9b","kind":"read","data":"aa=="}\n'
    )
    supply = json.loads(b"".join(worker_pool_lines.supply("9b", b"\0yes")))
    assert supply == {"type": "supply", "job": "9b", "data": base64.b64encode(b"\0yes").decode()}
    assert b"".join(records_lines.call("9b", 250, b"\r\n")) == b"OP 9b 250 2\r\n\r\n\r\n"


def test_a_partial_gathered_write_is_continued():
    sender, receiver = socket.socketpair()
    sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    sender.settimeout(20)  # with a timeout, each call writes only what fits into the send buffer
    rng = random.Random(1)
    parts = [rng.randbytes(rng.choice((0, 1, 700, 9000))) for _ in range(1500)]
    received = bytearray()

    def read():
        while piece := receiver.recv(3000):
            received.extend(piece)

    reader = threading.Thread(target=read)
    reader.start()
    send_parts(sender, list(parts))
    sender.close()
    reader.join(20)
    receiver.close()
    assert received == b"".join(parts)


def test_a_nonblocking_write_returns_the_unsent_rest():
    sender, receiver = socket.socketpair()
    parts = [bytes([n % 251]) * (n % 4000) for n in range(900)]
    unsent, received, expected = list(parts), b"", b"".join(parts)
    while unsent:
        unsent = send_nonblocking(sender, unsent)
        received += receiver.recv(100_000)
    sender.close()
    while data := receiver.recv(100_000):
        received += data
    assert received == expected
