"""Parsers on generated splits and broken bytes against plain slow ones, and the writers."""

import base64
import json
import random
import socket
import threading

import pytest

from vetchford.protocol import json_rpc, records_lines, worker_pool_lines
from vetchford.protocol.receive_buffer import ReceiveBuffer, UnreadableStreamError
from vetchford.runtime.sockets import send_now, send_parts


def in_place(take, size, stream, chance):
    """What `take` finds in a stream that comes in pieces, and whether it could be followed to its end."""
    buffer, found, at = ReceiveBuffer(size), [], 0
    try:
        while at < len(stream):
            room = buffer.free_space()
            count = min(len(room), len(stream) - at, chance.choice((1, 2, 7, 100, 5000)))
            room[:count] = stream[at : at + count]
            buffer.add_received(count)
            at += count
            while (item := take(buffer)) is not None:
                found.append(
                    bytes(item) if isinstance(item, memoryview) else (*item[:2], bytes(item[2] or b""))
                )
    except UnreadableStreamError:
        return found, False
    return found, True


def plain_bodies(stream):
    found = []
    while True:
        if b"\r\n\r\n" not in stream[: json_rpc.MAX_HEADER_BYTES + 4]:
            return found, len(stream) < json_rpc.MAX_HEADER_BYTES + 4
        head, _, rest = stream.partition(b"\r\n\r\n")
        lengths = []
        for line in head.split(b"\r\n"):
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


def plain_lines(stream):
    found = []
    while b"\n" in stream[: worker_pool_lines.MAX_LINE_BYTES + 1]:
        line, _, stream = stream.partition(b"\n")
        found.append(line)
    return found, len(stream) < worker_pool_lines.MAX_LINE_BYTES + 1


def plain_replies(stream):
    found = []
    while b"\r\n" in stream[: records_lines.MAX_LINE_BYTES + 2]:
        line, _, rest = stream.partition(b"\r\n")
        words = line.split(b" ")
        if any(not word.isalnum() for word in words) or len(words) not in (2, 3):
            return found, False
        code = records_lines.OUTCOMES.get(words[1].decode("ascii", "replace"))
        if code is None or (len(words) == 3) is not (words[1] == b"DONE"):
            return found, False
        body = b""
        if len(words) == 3:
            if not words[2].isdigit() or len(words[2]) > 9 or int(words[2]) > records_lines.MAX_REPLY_BYTES:
                return found, False
            length = int(words[2])
            if len(rest) < length + 2:
                return found, True
            body, end, rest = rest[:length], rest[length : length + 2], rest[length + 2 :]
            if end != b"\r\n":
                return found, False
        found.append((words[0].decode("ascii", "replace"), code, body))
        stream = rest
    return found, len(stream) < records_lines.MAX_LINE_BYTES + 2


def some_bytes(chance, most):
    return chance.choice((bytes, lambda b: b.replace(b"\n", b"\r\n")))(
        chance.randbytes(chance.randrange(most))
    )


def rpc_message(chance):
    body = some_bytes(chance, chance.choice((3, 40, 3000, 8000)))
    head = chance.choice(
        (b"", b"", b"Content-Type: x\r\n", b"content-length : 1\r\n", b"odd\r\n", b"A:" + b"x" * 1200)
    )
    name = chance.choice((b"Content-Length", b"Content-Length", b"CONTENT-length"))
    length = chance.choice((b"%d", b"%d", b" %d ", b"0%d", b"-%d", b"+%d", b"99%d")) % len(body)
    return chance.choice((b"", head)) + name + b":" + length + b"\r\n\r\n" + body


def pool_message(chance):
    line = some_bytes(chance, chance.choice((50, 9000, 90_000)))
    return (line.replace(b"\n", b"") if len(line) > 9000 else line) + b"\n"


def record_message(chance):
    body = some_bytes(chance, chance.choice((1, 20, 5000)))
    status = chance.choice(
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
    return chance.choice((b"9b1f", b"9b1f", b"9b1f", b"a" * 300, b"\xff")) + b" " + status + b"\r\n"


@pytest.mark.parametrize(
    ("take", "size", "plain", "message"),
    [
        (
            json_rpc.next_body,
            2 * (json_rpc.MAX_HEADER_BYTES + json_rpc.MAX_BODY_BYTES),
            plain_bodies,
            rpc_message,
        ),
        (worker_pool_lines.next_line, 2 * worker_pool_lines.MAX_LINE_BYTES, plain_lines, pool_message),
        (
            records_lines.next_reply,
            records_lines.MAX_REPLY_BYTES + 2 * records_lines.MAX_LINE_BYTES,
            plain_replies,
            record_message,
        ),
    ],
)
def test_parsers_match_reference_parsers_however_the_bytes_are_split(take, size, plain, message):
    followed = found = 0
    for seed in range(300):
        chance = random.Random(seed)
        stream = b"".join(message(chance) for _ in range(chance.randrange(1, 6)))
        if chance.random() < 0.3:
            broken = bytearray(stream)
            broken[chance.randrange(len(stream))] = chance.randrange(256)
            stream = bytes(broken)
        expected = plain(stream)
        assert in_place(take, size, stream, chance) == expected, seed
        found, followed = found + len(expected[0]), followed + expected[1]
    assert found > 60 and 20 < followed < 300  # both ends were reached


def test_broken_json_raises_only_the_errors_of_the_codec():
    rpc = (
        b'{"jsonrpc":"2.0","id":7,"method":"read","params":{"txn":"9b","door":1,"content":"aa==","ram":2.5}}'
    )
    lines = (
        b'{"type":"finished","n":1,"job":"9b","state":"complete","took":12.5,"data":"aa=="}',
        b'{"type":"blocked","n":2,"job":"9b","data":"aa=="}',
        b'{"type":"polled","ref":"1-2","gauges":[0.5,3]}',
        b'{"type":"bound","state":"hot","took":3}',
    )
    takers = (
        worker_pool_lines.decode_run_ended,
        worker_pool_lines.decode_run_blocked,
        worker_pool_lines.decode_poll_answer,
        worker_pool_lines.decode_pool_bound,
    )
    good = bad = 0
    for seed in range(4000):
        chance = random.Random(seed)
        pick = chance.randrange(5)
        text = bytearray(rpc if pick == 4 else lines[pick])
        for _ in range(chance.randrange(3)):
            at = chance.randrange(len(text))
            text[at : at + chance.randrange(3)] = chance.choice(
                (b"", b"9", b'"', b"[", b"\xff", b"null", b"1e999")
            )
        try:
            if pick == 4:
                _, rpc_id, params = json_rpc.decode(bytes(text))
                json_rpc.decode_request(params, rpc_id, 1.0)
            else:
                takers[pick](worker_pool_lines.decode(bytes(text))[1])
            good += 1
        except (json_rpc.BadMessageError, worker_pool_lines.BadLineError):
            bad += 1
    assert good > 500 and bad > 500


def test_a_run_time_that_is_no_finite_duration_is_refused():
    # One infinite run time would spoil every mean of the module for good.
    for wrong in ("1e999", "-1", "true", "null", '"5"'):
        line = b'{"type":"finished","n":1,"job":"a","state":"error","took":%b}' % wrong.encode()
        with pytest.raises(worker_pool_lines.BadLineError):
            worker_pool_lines.decode_run_ended(worker_pool_lines.decode(line)[1])


def test_encoded_messages_have_the_form_of_the_protocol_page():
    assert b"".join(json_rpc.completed(7, "QkFTRTY0")).split(b"\r\n\r\n")[1] == (
        b'{"jsonrpc":"2.0","id":7,"result":{"content":"QkFTRTY0"}}'
    )
    for terminal, pause, data in (
        (False, 0.0, None),
        (True, 0.0, {"giveup": 1}),
        (False, 12.2, {"later": 13}),
    ):
        head, body = b"".join(json_rpc.rejected(7, terminal, pause)).split(b"\r\n\r\n")
        error = json.loads(body)["error"]
        assert (error["code"], error.get("data")) == (-32050, data)
        assert head == b"Content-Length: %d" % len(body)
    assert b"".join(worker_pool_lines.spawn("9b", "read", "aa==")) == (
        b'{"type":"spawn","job":"9b","kind":"read","data":"aa=="}\n'
    )
    supply = json.loads(b"".join(worker_pool_lines.supply("9b", b"\0yes")))
    assert supply == {"type": "supply", "job": "9b", "data": base64.b64encode(b"\0yes").decode()}
    assert b"".join(records_lines.call("9b", 250, b"\r\n")) == b"OP 9b 250 2\r\n\r\n\r\n"


def test_a_partial_gathered_write_is_continued():
    near, far = socket.socketpair()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    near.settimeout(20)  # a socket with a limit takes what fits, and no more, at each call
    chance = random.Random(1)
    parts = [chance.randbytes(chance.choice((0, 1, 700, 9000))) for _ in range(1500)]
    heard = bytearray()

    def read():
        while piece := far.recv(3000):
            heard.extend(piece)

    reader = threading.Thread(target=read)
    reader.start()
    send_parts(near, list(parts))
    near.close()
    reader.join(20)
    far.close()
    assert heard == b"".join(parts)


def test_a_nonblocking_write_returns_the_unsent_rest():
    ours, theirs = socket.socketpair()
    parts = [bytes([n % 251]) * (n % 4000) for n in range(900)]
    left, got, want = list(parts), b"", b"".join(parts)
    while left:
        left = send_now(ours, left)
        got += theirs.recv(100_000)
    ours.close()
    while data := theirs.recv(100_000):
        got += data
    assert got == want
