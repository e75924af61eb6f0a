"""Guards the encoded bytes and the decoding of fixed messages."""

from golden import codecs, harness

FRAMES = {
    "hello": ["pay", "east", 3, 77, 1, "hello", {"to": "west", "knows": [2, 1 << 61]}],
    "beat": ["pay", "east", 3, 77, 2, "beat", None],
    "would": ["pay", "a", 1, 9, 3, "book", {"do": "would", "at": [129, 4], "store": "ab" * 16}],
    "promise": ["pay", "a", 1, 9, 4, "book", {"do": "promise", "term": 193, "store": ""}],
    "promised": [
        "pay",
        "b",
        1,
        9,
        5,
        "book",
        {
            "do": "promised",
            "term": 193,
            "at": [129, 4],
            "body": {"members": {"a": 0}, "voters": {"a": ""}, "log": [], "spans": {}},
            "store": "~x",
        },
    ],
    "held": ["pay", "b", 1, 9, 6, "book", {"do": "held", "term": 193, "at": [193, 1], "store": "~x"}],
    "passed": ["pay", "b", 1, 9, 7, "book", {"do": "passed", "term": 1, "promised": 193, "store": "~x"}],
    "ping": ["pay", "a", 1, 9, 8, "news", ["ping", 5, "", [["b", "suspect", 1 << 20], ["c", "dead", 0]]]],
    "view": ["pay", "s1", 1, 9, 9, "news", ["view", "ack", 5, "", [["s2", "alive", 3]]]],
    "rows": ["pay", "s1", 1, 9, 10, "news", ["rows", [["s1", 1, 4, 250, [0, 1000, -1]]]]],
    "vote": ["pay", "s1", 1, 9, 11, "news", ["turn", {"do": "vote", "term": 640, "number": 3}]],
    "yours": [
        "pay",
        "s1",
        1,
        9,
        12,
        "news",
        [
            "turn",
            {
                "do": "yours",
                "turn": "probe",
                "slot": 1,
                "fence": 1 << 40,
                "term": 640,
                "number": 3,
                "mark": [1, 2],
            },
        ],
    ],
    "long": ["p" * 300, "\u00e9", 1 << 40, (1 << 62) - 1, 1 << 33, "k", [1.5, -7, True, b"\0", {"a": [[]]}]],
}

REPLIES = [
    b"9b DONE 4\r\n\r\nok\r\n",
    b"9b WAIT\r\n",
    b"9b EMPTY\r\n",
    b"9b ERROR\r\n",
    b"9b PAST\r\n",
    b"9b DONE 4\r\nok",
    b"9b DO",
    b"9b NO\r\n",
    b"9b DONE\r\n",
    b"9b ERROR 3\r\n",
    b"9b DONE 99999\r\n",
    b"? WAIT\r\n",
    b"9b DONE 1\r\nxyz",
    b"x" * 300,
]


def text(data: bytes) -> str:
    return data.decode("latin-1")


def test_encoded_messages_are_unchanged():
    rejected = {
        f"{give_up} {wait}": text(codecs.rpc_rejected(7, give_up, wait))
        for give_up in (False, True)
        for wait in (0.0, 0.2, 12.2, 1000.0)
    }
    harness.compare(
        "codecs",
        {
            "heartbeats": [text(codecs.heartbeat_datagram("n1", ready)) for ready in (True, False)],
            "rejected": rejected,
            "failed": [text(codecs.rpc_failed(rpc_id)) for rpc_id in (7, 'a\u00e9"', None)],
            "finished": text(codecs.rpc_finished("x", "QkFTRTY0")),
            "closing": text(codecs.rpc_closing()),
            "pool": {name: text(line) for name, line in codecs.pool_lines().items()},
            "call": text(codecs.records_call("9b", 250, b"\r\n\0")),
            "cancel": text(codecs.records_cancel("9b")),
            "replies": [[text(data), codecs.records_reply(data)] for data in REPLIES],
            "frames": {name: codecs.frame_encoded(fields).hex() for name, fields in FRAMES.items()},
        },
    )


def test_frames_decode_to_their_fields_and_malformed_frames_are_refused():
    encoded = {name: codecs.frame_encoded(fields) for name, fields in FRAMES.items()}
    for name, fields in FRAMES.items():
        assert codecs.frame_decoded(encoded[name]) == fields, name
    stream = b"".join(encoded.values())
    pieces = [stream[at : at + 7] for at in range(0, len(stream), 7)]
    assert codecs.frames_of_stream(pieces) == list(FRAMES.values())
    valid = encoded["beat"]
    malformed = {
        "short": valid[:10],
        "cut": valid[:-1],
        "longer": valid + b"x",
        "another beginning": b"xx" + valid[2:],
        "another version": valid[:2] + b"\2" + valid[3:],
        "too long": valid[:4] + b"\x7f\0\0\0" + valid[8:],
        "a bit": valid[:-1] + bytes([valid[-1] ^ 1]),
    }
    harness.compare("frames_spoilt", {name: codecs.frame_decoded(data) for name, data in malformed.items()})
