"""Guards the frames and messages between agents and between servers, as a fake peer receives and sends them.

The fakes encode and decode frames with `struct`, msgspec and xxhash and share no code with the program.
"""

import re
import socket
import struct
import threading
import time

import msgspec
import xxhash

from golden import harness
from golden.agent_under_test import AgentUnderTest
from golden.fakes import ServerUnderTest

FRAME_HEADER = struct.Struct(">2sBBIQ")
VARIABLE_KEYS = ("number", "life", "fence")
MAX_FIXED_NUMBER = 100_000  # larger numbers are incarnations or contain a time of day
IDENTITY = re.compile(r"[0-9a-f]{32}")


def encode_frame(sender, sequence, kind, body):
    data = msgspec.msgpack.encode(["pay", sender, 1, 77, sequence, kind, body])
    return FRAME_HEADER.pack(b"vf", 1, 0, len(data), xxhash.xxh3_64_intdigest(data)) + data


def decode_frame(data):
    magic, version, reserved, length, checksum = FRAME_HEADER.unpack_from(data)
    body = data[FRAME_HEADER.size : FRAME_HEADER.size + length]
    assert xxhash.xxh3_64_intdigest(body) == checksum
    return [magic.decode(), version, reserved], msgspec.msgpack.decode(body)


def normalise(message, key=""):
    """Return a message with identities, revisions, and random, counted or time-dependent numbers replaced."""
    if isinstance(message, dict):
        return {name: normalise(inner, name) for name, inner in message.items()}
    if key in ("at", "force") and message[1]:
        return [message[0], "<revision>"]
    if isinstance(message, list):
        return [normalise(inner) for inner in message]
    if isinstance(message, str):
        return IDENTITY.sub("<identity>", message)
    number = isinstance(message, int) and not isinstance(message, bool)
    return "<number>" if number and (key in VARIABLE_KEYS or message > MAX_FIXED_NUMBER) else message


def normalise_envelope(header, message):
    """Return the header and the fields of a frame with life, nonce and sequence replaced."""
    fleet, sender, life, nonce, sequence, kind, body = message
    assert life > 0 and nonce >= 0 and sequence > 0
    return [*header, fleet, sender, "<life>", "<nonce>", "<sequence>", kind, normalise(body)]


def normalise_membership(fields):
    """Return a membership datagram with its number and its updates replaced, which depend on timing."""
    body = fields[-1]
    assert all(len(update) == 3 for update in body[-1])
    return [*fields[:-1], [*body[:-3], "<number>", body[-2], [["<name>", "<state>", "<incarnation>"]]]]


class FakeAgent:
    """Agent b of three, which votes for a and stores its record; keeps the first message of each kind."""

    def __init__(self, port, candidate=False):
        self.candidate, self.sock = candidate, None
        self.listener = socket.create_server(("127.0.0.1", port))
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind(("127.0.0.1", port))
        self.datagrams.settimeout(harness.TIMEOUT_S)
        self.first_by_name, self.sequence, self.lock = {}, 0, threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        try:
            while True:
                sock, _ = self.listener.accept()
                self.sequence = 0
                threading.Thread(target=self.read, args=(sock, sock.makefile("rb")), daemon=True).start()
        except OSError:
            pass

    def send(self, sock, kind, body):
        self.sock = sock
        self.sequence += 1
        sock.sendall(encode_frame("b", self.sequence, kind, body))

    def read(self, sock, stream):
        try:
            while head := stream.read(FRAME_HEADER.size):
                header, message = decode_frame(head + stream.read(FRAME_HEADER.unpack(head)[3]))
                kind, body = message[5:]
                name = f"book: {body['do']}" if kind == "book" else kind
                self.first_by_name.setdefault(name, normalise_envelope(header, message))
                self.answer(sock, kind, body)
        except OSError:
            pass

    def answer(self, sock, kind, body):
        store = {"store": "b" * 32}
        if kind == "hello":
            self.send(sock, "hello", {"to": "a", "knows": [0, 0]})
        elif self.candidate:
            return  # the test sends the messages
        elif kind == "look":
            self.send(
                sock,
                "seen",
                {
                    "number": body["number"],
                    "term": body["term"],
                    "orders": {},
                    "report": {"instances": {}, "locals": {}, "versions": []},
                },
            )
        elif kind == "book":
            do = body["do"]
            if do == "would":
                self.send(sock, "book", {"do": "answer", "yes": True, "promised": 0, **store})
            elif do == "promise":
                held = {"at": [0, 0], "body": {}}
                self.send(sock, "book", {"do": "promised", "term": body["term"], **held, **store})
            elif do in ("beat", "hold"):
                self.send(sock, "book", {"do": "held", "term": body["term"], "at": body["at"], **store})

    def receive_datagram(self, kind):
        """Return the next datagram of a kind."""
        while True:
            header, message = decode_frame(self.datagrams.recv(2000))
            if message[6][0] == kind:
                return normalise_membership(normalise_envelope(header, message))

    def close(self):
        self.listener.close()
        self.datagrams.close()


def test_messages_of_an_agent_that_becomes_leader(tmp_path):
    ports = {name: harness.free_port() for name in "abc"}
    fake = FakeAgent(ports["b"])
    agents = ", ".join(f'{name}: "127.0.0.1:{port}"' for name, port in ports.items())
    extra_settings = (
        f'peers: {{fleet: "pay", name: "a", listen: "127.0.0.1:{ports["a"]}", agents: {{{agents}}}}}'
    )
    wanted = {"hello", "book: would", "book: promise", "book: hold", "book: beat", "look", "beat"}
    try:
        with AgentUnderTest(tmp_path, ["good"], extra_settings) as agent:
            first = fake.receive_datagram("ping")
            harness.wait_until(
                lambda: wanted <= set(fake.first_by_name), f"{wanted} of {set(fake.first_by_name)}"
            )
            harness.wait_until(
                lambda: agent.ask({"ask": "across", "request": {"ask": "peers"}})["book"]["role"] == "drives",
                "the agent leads",
            )
            answers = {
                request: sorted(agent.ask({"ask": "across", "request": {"ask": request}}))
                for request in ("peers", "all", "nothing")
            }
            refused = agent.ask({"ask": "across", "request": {"ask": "find", "id": "none"}})
            peers = agent.ask({"ask": "across", "request": {"ask": "peers"}})
            harness.compare(
                "peer_agent",
                {
                    "streams": {name: fake.first_by_name[name] for name in sorted(wanted)},
                    "datagram": first,
                    "keys of answers": answers,
                    "find, unknown": refused,
                    "record": {
                        key: normalise(value)
                        for key, value in peers["book"].items()
                        if key not in ("at", "voters")
                    },
                },
            )
    finally:
        fake.close()


def test_replies_of_an_agent_that_follows_a_leader(tmp_path):
    """Agent b stands for election, writes the record and sends an order; a's reply to each is compared."""
    ports = {name: harness.free_port() for name in "abc"}
    fake = FakeAgent(ports["b"], candidate=True)
    agents = ", ".join(f'{name}: "127.0.0.1:{port}"' for name, port in ports.items())
    extra_settings = (
        f'peers: {{fleet: "pay", name: "a", listen: "127.0.0.1:{ports["a"]}", agents: {{{agents}}}}}'
    )
    store, empty = {"store": "b" * 32}, {"log": [], "spans": {}}
    body = {"members": {"a": 0, "b": 0, "c": 0}, "voters": {"a": "", "b": "", "c": ""}, **empty}
    act = {"span": "s", "id": "s/1", "kind": "start", "name": "n0", "version": "", "soak": 100.0}
    script = [
        ("answer", "book", {"do": "would", "at": [0, 0], **store}),
        ("promised", "book", {"do": "promise", "term": 129, **store}),
        ("passed", "book", {"do": "promise", "term": 65, **store}),
        ("held", "book", {"do": "hold", "term": 129, "at": [129, 1], "force": [0, 0], "body": body, **store}),
        ("held", "book", {"do": "beat", "term": 129, "at": [129, 1], "force": [129, 1], **store}),
        ("passed", "book", {"do": "beat", "term": 65, "at": [65, 1], "force": [65, 1], **store}),
        ("seen", "look", {"number": 1, "term": 129, "orders": {}, "said": {}}),
    ]
    seen = []
    try:
        with AgentUnderTest(tmp_path, ["good"], extra_settings) as agent:
            harness.wait_until(lambda: "hello" in fake.first_by_name and fake.sock, "the agent greets")
            for expected, kind, sent in script:
                names = [expected, f"book: {expected}"]
                for name in names:
                    fake.first_by_name.pop(name, None)
                fake.send(fake.sock, kind, sent)
                harness.wait_until(
                    lambda names=names: any(name in fake.first_by_name for name in names), expected
                )
                answer = next(fake.first_by_name[name] for name in names if name in fake.first_by_name)
                seen.append({"to": normalise([kind, sent]), "answer": agent.rules.tree(answer)})
            order = {"number": 1, "term": 129, "revision": 1, "act": act}
            fake.send(fake.sock, "order", order)
            harness.wait_until(
                lambda: agent.instances()["n0"]["state"] == "serving", "the ordered instance serves"
            )
            seen.append(
                {"to": ["order", order], "change": agent.normalise(agent.wait_for("s/1", "finished"))}
            )
        harness.compare("peer_agent_follows", seen)
    finally:
        fake.close()


class FakeServer:
    """Server s2 of three, which votes for each candidate; keeps the first datagram of each kind."""

    def __init__(self, port, to):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", port))
        self.sock.settimeout(0.5)
        self.to, self.sequence, self.first_by_name, self.voted = ("127.0.0.1", to), 0, {}, ""

    def send(self, body):
        self.sequence += 1
        self.sock.sendto(encode_frame("s2", self.sequence, "news", body), self.to)

    def receive_until(self, wanted):
        """Receive and answer datagrams until each name in `wanted` was received."""
        deadline = time.monotonic() + harness.TIMEOUT_S
        while not wanted <= set(self.first_by_name) and time.monotonic() < deadline:
            try:
                header, message = decode_frame(self.sock.recv(2000))
            except TimeoutError:
                continue
            kind, *rest = message[6]
            name = (
                f"turn: {rest[0]['do']}"
                if kind == "turn"
                else f"{kind}: {rest[0]}"
                if kind == "view"
                else kind
            )
            fields = normalise_envelope(header, message)
            if kind == "rows":  # the figures vary: only their number is compared
                fields[-1] = ["rows", [[row[0], len(row), len(row[4])] for row in rest[0]]]
            if kind == "view":
                fields = normalise_membership(fields)
            self.first_by_name.setdefault(name, fields)
            if kind == "view" and rest[0] == "ping":
                self.send(["view", "ack", rest[1], "s2", []])
            if name == "turn: vote":
                self.voted = rest[0]["term"]
                self.send(["turn", {"do": "voted", "term": self.voted, "number": rest[0]["number"]}])
            if name == "turn: leads":
                want = {"turn": "probe", "life": 1, "wish": 1, "zone": "all", "number": 1, "do": "want"}
                self.send(["turn", want])
        assert wanted <= set(self.first_by_name), set(self.first_by_name)


def write_fleet_settings(folder, ports, name):
    servers = ", ".join(f'{server}: "127.0.0.1:{port}"' for server, port in ports.items())
    path = folder / "together.vet"
    path.write_text(
        f'version: 1\ntogether: {{fleet: "pay", name: "{name}", listen: "127.0.0.1:{ports[name]}", '
        f'servers: {{{servers}}}, keepers: ["s1", "s2", "s3"]}}\n'
    )
    return str(path)


def test_messages_of_a_server_that_gossips_and_stands_for_lease_leader(tmp_path):
    ports = {name: harness.free_port() for name in ("s1", "s2", "s3")}
    fake = FakeServer(ports["s2"], ports["s1"])
    wanted = {"view: ping", "rows", "turn: vote", "turn: leads", "turn: wait"}
    try:
        with ServerUnderTest(tmp_path, "--with", write_fleet_settings(tmp_path, ports, "s1")):
            fake.receive_until(wanted)
            harness.compare("peer_server", {name: fake.first_by_name[name] for name in sorted(wanted)})
    finally:
        fake.sock.close()
