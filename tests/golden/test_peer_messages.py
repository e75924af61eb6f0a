"""Frames, greetings and messages between our own processes, as a fake peer on loopback hears and says them.

The fake takes frames apart with `struct`, msgspec and xxhash alone: it shares nothing with the program.
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
from golden.fake_peers import ServerUnderTest

HEAD = struct.Struct(">2sBBIQ")
DRAWN = ("number", "life", "fence")
MOST_FIXED = 100_000  # numbers above it are incarnations or hold a time of the day
LONG = re.compile(r"[0-9a-f]{32}")


def frame(sender, sequence, kind, body):
    data = msgspec.msgpack.encode(["pay", sender, 1, 77, sequence, kind, body])
    return HEAD.pack(b"vf", 1, 0, len(data), xxhash.xxh3_64_intdigest(data)) + data


def opened(data):
    magic, version, reserved, length, checksum = HEAD.unpack_from(data)
    body = data[HEAD.size : HEAD.size + length]
    assert xxhash.xxh3_64_intdigest(body) == checksum
    return [magic.decode(), version, reserved], msgspec.msgpack.decode(body)


def shown(message, key=""):
    """Rules: identities, revisions, and numbers that are drawn, counted or of the time are replaced."""
    if isinstance(message, dict):
        return {name: shown(inner, name) for name, inner in message.items()}
    if key in ("at", "force") and message[1]:
        return [message[0], "<revision>"]
    if isinstance(message, list):
        return [shown(inner) for inner in message]
    if isinstance(message, str):
        return LONG.sub("<identity>", message)
    number = isinstance(message, int) and not isinstance(message, bool)
    return "<number>" if number and (key in DRAWN or message > MOST_FIXED) else message


def envelope(head, message):
    """Rule: life, nonce and sequence of the sender are replaced."""
    fleet, sender, life, nonce, sequence, kind, body = message
    assert life > 0 and nonce >= 0 and sequence > 0
    return [*head, fleet, sender, "<life>", "<nonce>", "<sequence>", kind, shown(body)]


def without_news(said):
    """Rule: what rides on a datagram of a membership view, and its number, depend on when it is sent."""
    body = said[-1]
    assert all(len(piece) == 3 for piece in body[-1])
    return [*said[:-1], [*body[:-3], "<number>", body[-2], [["<name>", "<state>", "<incarnation>"]]]]


class FakeAgent:
    """Agent b of three: answers a's greeting, votes for it, holds what it writes; keeps the first of each."""

    def __init__(self, port, candidate=False):
        self.candidate, self.sock = candidate, None
        self.listener = socket.create_server(("127.0.0.1", port))
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind(("127.0.0.1", port))
        self.datagrams.settimeout(harness.TIMEOUT)
        self.first, self.sequence, self.lock = {}, 0, threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        try:
            while True:
                sock, _ = self.listener.accept()
                self.sequence = 0
                threading.Thread(target=self.read, args=(sock, sock.makefile("rb")), daemon=True).start()
        except OSError:
            pass

    def say(self, sock, kind, body):
        self.sock = sock
        self.sequence += 1
        sock.sendall(frame("b", self.sequence, kind, body))

    def read(self, sock, stream):
        try:
            while head := stream.read(HEAD.size):
                parts, message = opened(head + stream.read(HEAD.unpack(head)[3]))
                kind, body = message[5:]
                name = f"book: {body['do']}" if kind == "book" else kind
                self.first.setdefault(name, envelope(parts, message))
                self.answer(sock, kind, body)
        except OSError:
            pass

    def answer(self, sock, kind, body):
        store = {"store": "b" * 32}
        if kind == "hello":
            self.say(sock, "hello", {"to": "a", "knows": [0, 0]})
        elif self.candidate:
            return  # says only what the test has it say
        elif kind == "look":
            self.say(
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
                self.say(sock, "book", {"do": "answer", "yes": True, "promised": 0, **store})
            elif do == "promise":
                held = {"at": [0, 0], "body": {}}
                self.say(sock, "book", {"do": "promised", "term": body["term"], **held, **store})
            elif do in ("beat", "hold"):
                self.say(sock, "book", {"do": "held", "term": body["term"], "at": body["at"], **store})

    def datagram(self, kind):
        """The first of a kind."""
        while True:
            head, message = opened(self.datagrams.recv(2000))
            if message[6][0] == kind:
                return without_news(envelope(head, message))

    def close(self):
        self.listener.close()
        self.datagrams.close()


def test_an_agent_greets_is_chosen_and_polls(tmp_path):
    ports = {name: harness.free_port() for name in "abc"}
    fake = FakeAgent(ports["b"])
    agents = ", ".join(f'{name}: "127.0.0.1:{port}"' for name, port in ports.items())
    more = f'peers: {{fleet: "pay", name: "a", listen: "127.0.0.1:{ports["a"]}", agents: {{{agents}}}}}'
    wanted = {"hello", "book: would", "book: promise", "book: hold", "book: beat", "look", "beat"}
    try:
        with AgentUnderTest(tmp_path, ["good"], more) as agent:
            first = fake.datagram("ping")
            harness.wait_until(lambda: wanted <= set(fake.first), f"{wanted} of {set(fake.first)}")
            harness.wait_until(
                lambda: agent.ask({"ask": "across", "request": {"ask": "peers"}})["book"]["role"] == "drives",
                "it drives",
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
                    "streams": {name: fake.first[name] for name in sorted(wanted)},
                    "datagram": first,
                    "keys of answers": answers,
                    "find, unknown": refused,
                    "record": {
                        key: shown(value)
                        for key, value in peers["book"].items()
                        if key not in ("at", "voters")
                    },
                },
            )
    finally:
        fake.close()


def test_an_agent_follows_and_obeys(tmp_path):
    """The other part: b stands, writes and orders; what a answers to each of its messages."""
    ports = {name: harness.free_port() for name in "abc"}
    fake = FakeAgent(ports["b"], candidate=True)
    agents = ", ".join(f'{name}: "127.0.0.1:{port}"' for name, port in ports.items())
    more = f'peers: {{fleet: "pay", name: "a", listen: "127.0.0.1:{ports["a"]}", agents: {{{agents}}}}}'
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
        with AgentUnderTest(tmp_path, ["good"], more) as agent:
            harness.wait_until(lambda: "hello" in fake.first and fake.sock, "its greeting")
            for expected, kind, said in script:
                names = [expected, f"book: {expected}"]
                for name in names:
                    fake.first.pop(name, None)
                fake.say(fake.sock, kind, said)
                harness.wait_until(lambda names=names: any(name in fake.first for name in names), expected)
                answer = next(fake.first[name] for name in names if name in fake.first)
                seen.append({"to": shown([kind, said]), "answer": agent.rules.tree(answer)})
            order = {"number": 1, "term": 129, "revision": 1, "act": act}
            fake.say(fake.sock, "order", order)
            harness.wait_until(lambda: agent.instances()["n0"]["state"] == "serving", "the order is obeyed")
            seen.append({"to": ["order", order], "change": agent.shown(agent.wait_for("s/1", "finished"))})
        harness.compare("peer_agent_follows", seen)
    finally:
        fake.close()


class FakeServer:
    """Server s2 of three, by datagrams alone: votes for whoever asks; keeps the first of each kind."""

    def __init__(self, port, to):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", port))
        self.sock.settimeout(0.5)
        self.to, self.sequence, self.first, self.voted = ("127.0.0.1", to), 0, {}, ""

    def say(self, body):
        self.sequence += 1
        self.sock.sendto(frame("s2", self.sequence, "news", body), self.to)

    def listen(self, wanted):
        """Until each of `wanted` was heard; answers on the way."""
        deadline = time.monotonic() + harness.TIMEOUT
        while not wanted <= set(self.first) and time.monotonic() < deadline:
            try:
                head, message = opened(self.sock.recv(2000))
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
            said = envelope(head, message)
            if kind == "rows":  # rule: of a row the name and how many figures it has
                said[-1] = ["rows", [[row[0], len(row), len(row[4])] for row in rest[0]]]
            if kind == "view":
                said = without_news(said)
            self.first.setdefault(name, said)
            if kind == "view" and rest[0] == "ping":
                self.say(["view", "ack", rest[1], "s2", []])
            if name == "turn: vote":
                self.voted = rest[0]["term"]
                self.say(["turn", {"do": "voted", "term": self.voted, "number": rest[0]["number"]}])
            if name == "turn: leads":
                want = {"turn": "probe", "life": 1, "wish": 1, "zone": "all", "number": 1, "do": "want"}
                self.say(["turn", want])
        assert wanted <= set(self.first), set(self.first)


def together(folder, ports, name):
    servers = ", ".join(f'{one}: "127.0.0.1:{port}"' for one, port in ports.items())
    path = folder / "together.vet"
    path.write_text(
        f'version: 1\ntogether: {{fleet: "pay", name: "{name}", listen: "127.0.0.1:{ports[name]}", '
        f'servers: {{{servers}}}, keepers: ["s1", "s2", "s3"]}}\n'
    )
    return str(path)


def test_a_server_tells_its_load_and_stands_for_the_leases(tmp_path):
    ports = {name: harness.free_port() for name in ("s1", "s2", "s3")}
    fake = FakeServer(ports["s2"], ports["s1"])
    wanted = {"view: ping", "rows", "turn: vote", "turn: leads", "turn: wait"}
    try:
        with ServerUnderTest(tmp_path, "--with", together(tmp_path, ports, "s1")):
            fake.listen(wanted)
            harness.compare("peer_server", {name: fake.first[name] for name in sorted(wanted)})
    finally:
        fake.sock.close()
