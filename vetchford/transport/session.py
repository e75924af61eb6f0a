"""Whom of our own programs to hear, to call and to give up. No I/O; times in ms, monotonic.

Each pair has one stream: the one whose name is first in order calls the other. Every frame names a life of
its sender (one higher at each start, kept on disk) and a sequence, so that what is late, doubled or of an
earlier life is known as such. Words:

    off       no connection; called again after a back-off that doubles, spread by chance
    calling   a connection is being made
    greeting  connected, and nothing heard yet: after GREETS it is given up as mute
    up        both have greeted
    silent    up, and nothing heard for SILENT: it accepts and says nothing; after GIVEN_UP it is closed

Mute and silent ones are frozen or cut one way; those that refuse connections are gone. Callers see the
difference.
"""

import zlib
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from vetchford.transport.peers import Identity, LinkState

BEAT = 500.0  # ms without a word of ours after which we say one: five fit into SILENT
SILENT = 2500.0  # ms: a machine that is only busy is heard within one
GIVEN_UP = 8000.0  # ms: a frozen peer that wakes within them keeps its connection and what is queued
GREETS = 2000.0  # ms for the first word of a new connection
BACK_OFF, BACK_OFF_MOST = 200.0, 5000.0  # ms: the first is a restart's time, the last bounds a healing
STABLE = 10_000.0  # ms up after which the back-off begins anew: a flapping link keeps its long one
WINDOW = 64  # datagrams that may overtake each other; older ones are refused unseen
MOST_QUEUED = 512  # messages for one peer: some seconds of a change's polls and answers
MOST_BYTES = 4 << 20  # of them: four of the longest
MOST_LINKS = 4  # for each listed peer, begun or up: the rest of a crowd is closed at once
ASLEEP = 1500.0  # ms between two calls of `tick` after which we ourselves were stopped


class Host(Protocol):
    """What the decisions act through."""

    def dial(self, peer: str, link: int) -> None:
        """Begins a connection; `opened` or `closed` tells what came of it."""

    def write(self, link: int, kind: str, body: Any, sequence: int) -> bool:
        """Puts it into the link's outbox; never blocks. Whether it could be."""

    def shut(self, link: int) -> None: ...

    def deliver(self, peer: str, kind: str, body: Any) -> None: ...

    def on_link_state(self, peer: str, state: LinkState) -> None:
        """The state of a peer's link has changed."""

    def on_peer_incarnation(self, peer: str, life: int, nonce: int) -> None:
        """A new life of a peer; to be kept, so that earlier ones stay known as such."""

    def on_later_incarnation(self, life: int, nonce: int) -> None:
        """Somebody knows a life of our name that is not ours and not earlier: our store is old, or a twin."""

    def tell_life(self, peer: str, life: int, nonce: int) -> None:
        """By a datagram: the life that we know of its name; see `compare`."""

    def count(self, name: str, **fields: Any) -> None: ...


class Outbox:
    """Messages that wait for a writer: bounded by number and bytes; the oldest news goes first.

    Kinds in `NEWS` are told anew anyway; only where there is none of them left does another go.
    """

    NEWS = frozenset(("beat", "look", "seen", "news"))

    def __init__(self, most: int = MOST_QUEUED, most_bytes: int = MOST_BYTES) -> None:
        self.most, self.most_bytes, self.bytes = most, most_bytes, 0
        self.items: deque[tuple[str, bytes]] = deque()  # emptied by `take`, and as the link ends
        self.dropped = 0

    def put(self, kind: str, data: bytes) -> int:
        """How many were dropped for it."""
        self.items.append((kind, data))
        self.bytes += len(data)
        before = self.dropped
        while len(self.items) > 1 and (len(self.items) > self.most or self.bytes > self.most_bytes):
            at = next((n for n, item in enumerate(self.items) if item[0] in self.NEWS), 0)
            self.bytes -= len(self.items[at][1])
            del self.items[at]
            self.dropped += 1
        return self.dropped - before

    def take(self) -> bytes | None:
        if not self.items:
            return None
        _, data = self.items.popleft()
        self.bytes -= len(data)
        return data


class Window:
    """Sequence numbers of datagrams: each once, the last WINDOW of them in any order."""

    def __init__(self) -> None:
        self.newest, self.seen = 0, 0

    def take(self, sequence: int) -> str:
        """Empty where it is new, else 'late' or 'doubled'."""
        if sequence > self.newest:
            self.seen = (
                (self.seen << (sequence - self.newest)) & ((1 << WINDOW) - 1)
                if (sequence - self.newest < WINDOW)
                else 0
            )
            self.newest = sequence
        elif self.newest - sequence >= WINDOW:
            return "late"
        bit = 1 << (self.newest - sequence)
        if self.seen & bit:
            return "doubled"
        self.seen |= bit
        return ""


@dataclass(slots=True)
class Link:
    """One connection, from its beginning to its end."""

    peer: str  # empty until the other side has greeted
    since: float
    state: LinkState
    heard: float
    said: float
    sent: int = 0
    taken: int = 0


@dataclass(slots=True)
class Peer:
    address: str
    state: LinkState = LinkState.OFF
    incarnation: int = 0  # the newest that was heard of; 0: none
    nonce: int = 0
    link: int = 0  # 0: none
    tries: int = 0
    again_at: float = 0.0
    up_since: float = 0.0
    window: Window = field(default_factory=Window)
    last: str = "not tried yet"  # why there is no link


class SessionManager:
    """All listed peers of one program."""

    def __init__(
        self,
        host: Host,
        identity: Identity,
        addresses: Mapping[str, str],
        seed: int,
        streams: bool = True,
    ) -> None:
        """`addresses`: host of each listed peer by name; nobody else is heard. Without `streams` none is
        called, and lives are told by datagrams.
        """
        self.host, self.identity, self.seed, self.draws, self.streams = host, identity, seed, 0, streams
        self.peers = {peer: Peer(address) for peer, address in addresses.items() if peer != identity.name}
        self.links: dict[int, Link] = {}  # emptied as connections end
        self.numbers, self.sequence, self.woken = 0, 0, 0.0

    def draw(self, count: int) -> int:
        self.draws += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.identity.name.encode(), self.draws)) % count

    def calls(self, peer: str) -> bool:
        return self.streams and self.identity.name < peer

    # -- time

    def tick(self, now: float) -> None:
        """Some ten times a second."""
        asleep, self.woken = now - self.woken - ASLEEP, now
        if asleep > 0.0 and self.links:  # we were frozen: nobody else is late because of it
            for link in self.links.values():
                link.since, link.heard, link.said = (
                    link.since + asleep,
                    link.heard + asleep,
                    link.said + asleep,
                )
        for name, peer in self.peers.items():
            if peer.state == LinkState.OFF and self.calls(name) and now >= peer.again_at:
                peer.link = self.begin(now, name, LinkState.CONNECTING)
                self.to(name, LinkState.CONNECTING)
                self.host.dial(name, peer.link)
        for number, link in list(self.links.items()):
            if link.state in (LinkState.UP, LinkState.SILENT):
                quiet = now - link.heard
                if quiet >= GIVEN_UP:
                    self.drop(now, number, "silent", "accepts and says nothing")
                    continue
                if quiet >= SILENT and link.state == LinkState.UP:
                    link.state = LinkState.SILENT
                    self.host.count("peer_silent", peer=link.peer)
                    self.to(link.peer, LinkState.SILENT)
                if now - link.said >= BEAT:
                    self.say(now, number, "beat", None)
            elif link.state == LinkState.HANDSHAKING and now - link.since >= GREETS:
                self.drop(now, number, "mute", "connected, and no word came")

    def begin(self, now: float, peer: str, state: LinkState) -> int:
        self.numbers += 1
        self.links[self.numbers] = Link(peer, now, state, now, now)
        return self.numbers

    # -- connections

    def opened(self, now: float, number: int) -> None:
        """A connection that we called for stands."""
        link = self.links.get(number)
        if link is None:
            self.host.shut(number)
            return
        link.state, link.since = LinkState.HANDSHAKING, now
        self.to(link.peer, LinkState.HANDSHAKING)
        self.greet(now, number, link.peer)

    def accepted(self, now: float, address: str) -> int:
        """A connection of somebody's; its number, or 0: to be closed at once."""
        if all(peer.address != address for peer in self.peers.values()):
            self.host.count("peer_refused", why="not listed", address=address)
            return 0
        if not self.streams:  # each would hold a descriptor that is somebody else's
            self.host.count("peer_refused", why="datagrams alone", address=address)
            return 0
        if sum(not link.peer for link in self.links.values()) >= MOST_LINKS * len(self.peers):
            self.host.count("peer_refused", why="crowd", address=address)
            return 0
        return self.begin(now, "", LinkState.HANDSHAKING)

    def closed(self, now: float, number: int, why: str) -> None:
        """It ended, or could not be made."""
        self.drop(now, number, "", why)

    def drop(self, now: float, number: int, counted: str, why: str) -> None:
        link = self.links.pop(number, None)
        if link is None:
            return
        self.host.shut(number)
        if counted:
            self.host.count("peer_dropped", peer=link.peer or "?", why=counted)
        peer = self.peers.get(link.peer)
        if peer is None or peer.link != number:
            return
        peer.link, peer.last = 0, why
        if peer.up_since and now - peer.up_since >= STABLE:
            peer.tries = 0
        peer.up_since = 0.0
        wait = min(BACK_OFF_MOST, BACK_OFF * 2.0 ** min(10, peer.tries))
        peer.tries += 1
        peer.again_at = now + wait * (0.5 + self.draw(1000) / 1000.0)  # apart: all lost theirs at once
        self.to(link.peer, LinkState.OFF)

    def greet(self, now: float, number: int, to: str) -> None:
        known = self.peers[to]
        self.say(now, number, "hello", {"to": to, "knows": [known.incarnation, known.nonce]})

    def to(self, name: str, state: LinkState) -> None:
        peer = self.peers[name]
        if peer.state != state:
            peer.state = state
            self.host.on_link_state(name, state)

    # -- words

    def say(self, now: float, number: int, kind: str, body: Any) -> bool:
        link = self.links[number]
        link.sent += 1
        link.said = now
        return self.host.write(number, kind, body, link.sent)

    def send(self, now: float, peer: str, kind: str, body: Any) -> bool:
        """A message on the pair's stream; False where there is none: whoever needs it asks again."""
        known = self.peers.get(peer)
        if (
            known is None
            or not known.link
            or self.links[known.link].state not in (LinkState.UP, LinkState.SILENT)
        ):
            return False
        return self.say(now, known.link, kind, body)

    def heard(self, now: float, number: int, envelope: Any) -> None:
        """A frame of a connection."""
        link = self.links.get(number)
        if link is None:
            return
        wrong = self.stranger(envelope)
        if not wrong and link.peer and envelope.sender != link.peer:
            wrong = "another's name"
        if wrong:
            self.host.count("peer_refused", why=wrong, peer=envelope.sender[:64])
            self.drop(now, number, "", wrong)
            return
        if envelope.sequence <= link.taken:
            self.host.count("peer_out_of_sequence", why="doubled", peer=envelope.sender)
            return
        if envelope.sequence != link.taken + 1:  # it was far behind, and its oldest news went
            self.host.count("peer_out_of_sequence", why="gap", peer=envelope.sender)
        link.taken, link.heard = envelope.sequence, now
        old = self.life_of(now, envelope)
        if old:
            if link.sent:
                self.drop(now, number, old, f"{old.replace('_', ' ')} of {envelope.sender}")
            else:  # it hears what is known of its name, so that it can begin a new life; closed as mute later
                self.host.count("peer_of_another_life", why=old, peer=envelope.sender)
                self.greet(now, number, envelope.sender)
            return
        if link.state == LinkState.HANDSHAKING:
            self.greeted(now, number, link, envelope)
        elif link.state == LinkState.SILENT:
            link.state = LinkState.UP
            self.to(link.peer, LinkState.UP)
        if envelope.kind not in ("hello", "beat") and number in self.links:
            self.host.deliver(envelope.sender, envelope.kind, envelope.body)

    def greeted(self, now: float, number: int, link: Link, envelope: Any) -> None:
        name, body = envelope.sender, envelope.body
        if envelope.kind != "hello" or not isinstance(body, dict) or body.get("to") != self.identity.name:
            self.host.count("peer_refused", why="no greeting", peer=name)
            self.drop(now, number, "", "no greeting")
            return
        peer, called = self.peers[name], bool(link.peer)
        if not called:
            if self.calls(name):  # it should have waited for ours: two streams would be a pair's
                self.host.count("peer_refused", why="called by the wrong side", peer=name)
                self.drop(now, number, "", "called by the wrong side")
                return
            link.peer = name
            if peer.link:
                self.drop(now, peer.link, "replaced", "a newer connection")
            peer.link = number
            self.greet(now, number, name)
        link.state, peer.up_since = LinkState.UP, now
        if peer.tries and not called:
            peer.tries = 0
        self.to(name, LinkState.UP)
        knows = body.get("knows")
        if isinstance(knows, list) and len(knows) == 2 and all(isinstance(part, int) for part in knows):
            self.compare(knows[0], knows[1])

    def compare(self, life: int, nonce: int) -> None:
        """What somebody has known of us: a life that we did not begin is another's."""
        if life > self.identity.incarnation or (
            life == self.identity.incarnation and nonce != self.identity.nonce
        ):
            self.host.on_later_incarnation(life, nonce)

    def stranger(self, envelope: Any) -> str:
        if envelope.fleet != self.identity.fleet:
            return "another fleet"
        return "" if envelope.sender in self.peers else "not listed"

    def life_of(self, now: float, envelope: Any) -> str:
        """Takes in a newer life; says what is wrong with an old one."""
        peer = self.peers[envelope.sender]
        if envelope.life < peer.incarnation:
            return "earlier_life"
        if envelope.life == peer.incarnation and envelope.nonce != peer.nonce:
            return "twin"  # another program by this name: whoever came second has to begin a new life
        if envelope.life > peer.incarnation:
            peer.incarnation, peer.nonce, peer.window = envelope.life, envelope.nonce, Window()
            self.host.on_peer_incarnation(envelope.sender, envelope.life, envelope.nonce)
        return ""

    # -- datagrams

    def next_datagram(self) -> int:
        self.sequence += 1
        return self.sequence

    def datagram(self, now: float, address: str, envelope: Any) -> bool:
        """Whether it is to be heard."""
        wrong = self.stranger(envelope)
        if not wrong and self.peers[envelope.sender].address != address:
            wrong = "not its address"
        if wrong:
            self.host.count("peer_refused", why=wrong, peer=envelope.sender[:64])
            return False
        old = self.life_of(now, envelope)
        late = old or self.peers[envelope.sender].window.take(envelope.sequence)
        if late:
            name = "peer_of_another_life" if old else "peer_out_of_sequence"
            self.host.count(name, why=late, peer=envelope.sender)
        peer = self.peers[envelope.sender]
        if old and not self.streams and now >= peer.again_at:
            peer.again_at = now + BACK_OFF  # it hears what is known of its name
            self.host.tell_life(envelope.sender, peer.incarnation, peer.nonce)
        return not late

    # -- what is told

    def table(self) -> list[dict[str, Any]]:
        return [
            {
                "name": name,
                "link": peer.state,
                "life": peer.incarnation,
                "why": "" if peer.link else peer.last,
            }
            for name, peer in sorted(self.peers.items())
        ]
