"""One agent's part in the fleet: it holds the record, obeys orders that are in force, and drives where it is
to.

Puts `consensus`, `fleet_rollout` and `rollout_controls` together. No I/O; times in ms, monotonic. What comes
from other agents is taken as it comes: late, doubled, or from one that no longer drives. An order is carried
out only
- under the newest term that was promised here,
- resting on a report that this agent itself sent GO ago at most, by its own clock, and
- where no pause or abort that is known here stands against it.
"""

import contextlib
from collections.abc import Callable
from typing import Any, Protocol

from vetchford.fleet.consensus import ReplicatedRecord, Role
from vetchford.fleet.fleet_record import ENDED_STATES, FleetRecord, agent_of
from vetchford.fleet.fleet_rollout import FleetRolloutController
from vetchford.fleet.rollout import RefusedError
from vetchford.fleet.rollout_controls import ABORT, PAUSE, RolloutControls
from vetchford.fleet.rollout_request import RolloutRequest

GO = 3000.0  # ms that a report of ours may be old when an order rests on it: six rounds of a busy site
ANSWERS = 6000.0  # ms for a tool's request: a new driver is found in less
LOOKS = 3000.0  # ms of that for agents that a change names to be seen: three idle polls
ASKS_AGAIN = 1000.0  # ms until a request is passed on once more
REPORTS = 16  # numbers of our reports that are known; older ones are over GO
MOST_JOBS = 256  # requests of tools at once; more are refused
ASLEEP = 1500.0  # ms between two calls of `woke` after which we were stopped, not busy

Body = dict[str, Any]


class Host(Protocol):
    """What the decisions act through."""

    def post(self, to: str, kind: str, body: Body) -> bool:
        """A message to another agent; False where it is known not to go."""

    def keep(self, kind: str, name: str, body: Body | None) -> None:
        """Durable before it returns; OSError where the store can't."""

    def report(self, spans: set[str]) -> Body:
        """What there is here: instances, the changes made for these spans, versions."""

    def begin_step(self, act: Body) -> str:
        """Begins a change over one instance; empty, or why not. The same id again is the same change."""

    def note(self, event: str, **fields: Any) -> None: ...


class Job:
    """A tool's request that only the driver can answer."""

    def __init__(self, request: Body, now: float, reply: Callable[[Body], None]) -> None:
        self.request, self.since, self.reply, self.sent_at = request, now, reply, -1e12
        self.until = now + ANSWERS


class FleetCoordinator:
    """The decisions of one agent about its fleet."""

    def __init__(
        self, host: Host, name: str, seed: int, store: str, founding: Body, now: float, life: int
    ) -> None:
        self.host, self.name, self.life = host, name, life
        self.record = ReplicatedRecord(self, name, seed, store, founding, now)
        self.orders = RolloutControls(name)
        self.driver: FleetRolloutController | None = None  # while we drive
        self.reports: dict[int, float] = {}  # when each was sent; the oldest go
        self.polls: dict[int, float] = {}  # when each was asked for; emptied as they come or grow old
        self.jobs: dict[int, Job] = {}  # emptied by answers and their time
        self.said: dict[str, str] = {}  # why spans wait, as the driver told last
        self.known: set[str] = set()  # spans of the record that have not ended
        self.numbers, self.woken = 0, now

    def restore(self, kind: str, name: str, body: Body) -> None:
        if kind == "book":
            self.record.restore(body)
            self.learn()
        elif kind == "orders":
            self.orders.by_rollout[name] = body

    def unended(self) -> set[str]:
        return {id for id, span in self.record.body["spans"].items() if span["state"] not in ENDED_STATES}

    # -- time

    def woke(self, now: float) -> None:
        gap, self.woken = now - self.woken, now
        if gap > ASLEEP:
            self.host.note("was_stopped", ms=round(gap))
            self.record.on_process_stopped(now, gap)
        self.record.tick(now)
        if self.driver is not None:
            self.driver.tick(now)
        for number in [number for number, at in self.polls.items() if now - at > GO]:
            del self.polls[number]
        for ref, job in list(self.jobs.items()):
            self.try_job(now, ref, job)

    # -- actions of the replicated record

    def send_to_record(self, to: str, message: Body) -> None:
        self.host.post(to, "book", message)

    def save_record(self, stored: Body) -> None:
        self.host.keep("book", "newest", stored)

    def on_elected(self, now: float) -> None:
        self.driver = FleetRolloutController(self, self.name, self.record.body, self.orders)
        self.driver.tick(now)

    def on_committed(self, now: float) -> None:
        self.learn()  # first: a pause that stands in the record is an order from now on
        if self.driver is not None:
            self.driver.on_committed(now, self.record.body)

    def on_deposed(self, now: float, why: str) -> None:
        self.driver = None
        self.polls.clear()

    def on_appended(self, now: float) -> None:
        self.learn()

    def learn(self) -> None:
        """What the record that is held says of changes: which there are, and the pauses that stand in it."""
        self.known = self.unended()
        for id in self.known:
            halts = self.record.body["spans"][id]["halts"]
            if halts:
                self.orders.merge({id: {"halts": halts, "lifted": []}}, self.known)
        for change in self.orders.forget_all_but(self.known):
            self.said.pop(change, None)
            with contextlib.suppress(OSError):  # it stays on the disk, of a change that is no more
                self.host.keep("orders", change, None)

    def note(self, event: str, **fields: Any) -> None:
        self.host.note(event, **fields)

    # -- the driver's host

    def poll(self, agent: str, number: int) -> None:
        if self.driver is None:
            return  # deposed by what an earlier answer of this round led to
        self.polls[number] = self.woken
        word = {
            "number": number,
            "term": self.record.campaign_term,
            "orders": self.orders.by_rollout,
            "said": self.driver.wait_reasons,
        }
        if agent == self.name:
            self.on_look(self.woken, self.name, word)
        else:
            self.host.post(agent, "look", word)

    def order(self, agent: str, number: int, act: Body) -> None:
        if self.driver is None:
            return
        word = {
            "number": number,
            "term": self.record.campaign_term,
            "revision": self.record.committed[1],
            "act": act,
        }
        if agent == self.name:
            self.on_order(self.woken, self.name, word)
        else:
            self.host.post(agent, "order", word)

    def propose(self, now: float, body: Body) -> bool:
        return self.record.propose(now, body)

    def find_voter_update(self, record: FleetRecord) -> tuple[str, str] | None:
        return self.record.find_voter_update(record.voters, record.members)

    # -- words of other agents

    def heard(self, now: float, sender: str, kind: str, body: Body) -> None:
        act = {
            "book": self.record.receive,
            "look": self.on_look,
            "seen": self.on_seen,
            "order": self.on_order,
            "orders": self.on_orders,
            "ask": self.on_ask,
            "told": self.on_told,
        }.get(kind)
        if act is None:
            self.host.note("peer_unknown_word", sender=sender, kind=kind)
            return
        act(now, sender, body)

    def current(self, sender: str, term: int) -> bool:
        """Whether it drives under the newest term that was promised here."""
        return term == self.record.promised_term and (sender == self.name or sender == self.record.leader)

    def on_look(self, now: float, sender: str, word: Body) -> None:
        if not self.current(sender, word["term"]):
            return  # a message of the replicated record tells it
        self.said = dict(word["said"])
        self.take_orders(word["orders"])
        self.reports[word["number"]] = now
        while len(self.reports) > REPORTS:
            del self.reports[next(iter(self.reports))]
        report = {
            "number": word["number"],
            "term": word["term"],
            "report": self.host.report(self.known),
            "orders": self.orders.by_rollout,
        }
        if sender == self.name:
            self.on_seen(now, self.name, report)
        else:
            self.host.post(sender, "seen", report)

    def on_seen(self, now: float, sender: str, word: Body) -> None:
        asked = self.polls.pop(word["number"], None)
        if self.driver is None or asked is None or word["term"] != self.record.campaign_term:
            return
        self.take_orders(word["orders"])
        self.driver.receive_report(now, sender, word["number"], asked, word["report"])

    def on_order(self, now: float, sender: str, word: Body) -> None:
        act = word["act"]
        sent = self.reports.get(word["number"])
        stands, why = self.orders.active(act["span"])
        refused = ""
        if not self.current(sender, word["term"]):
            refused = f"term {word['term']} of {sender}, promised {self.record.promised_term}"
        elif sent is None or now - sent > GO:
            refused = "it rests on a report that is old"
        elif stands:
            refused = f"{stands}: {why}"
        if not refused:
            refused = self.host.begin_step(act)
        if refused:
            self.host.note("order_refused", span=act["span"], instance=act["name"], why=refused)
            return
        self.host.note(
            "order_done",
            span=act["span"],
            instance=act["name"],
            step=act["id"],
            kind=act["kind"],
            term=word["term"],
            revision=word["revision"],
            driver=sender,
        )

    def on_orders(self, now: float, sender: str, word: Body) -> None:
        self.take_orders(word["orders"])

    def take_orders(self, theirs: Body) -> None:
        for change in self.orders.merge(theirs, self.known):
            self.keep_orders(change)

    def keep_orders(self, change: str) -> None:
        try:
            self.host.keep("orders", change, self.orders.of(change))
        except OSError as problem:  # obeyed all the same; others keep it too
            self.host.note("orders_not_kept", problem=str(problem))

    # -- tools

    def request(self, now: float, request: Body, reply: Callable[[Body], None]) -> None:
        """`reply` is called once, now or within ANSWERS."""
        ask = request["ask"]
        if ask in ("pause", "resume", "abort"):
            reply(self.on_halt(ask, request["id"]))
        elif ask == "find":
            reply(self.told_of(now, request["id"]))
        elif ask == "peers":
            reply({"book": self.record.status(), "log": self.record.body["log"]})
        elif len(self.jobs) >= MOST_JOBS:
            raise RefusedError(f"{MOST_JOBS} requests wait already")
        else:
            self.numbers += 1
            self.jobs[self.numbers] = Job(request, now, reply)
            self.try_job(now, self.numbers, self.jobs[self.numbers])

    def on_halt(self, ask: str, id: str) -> Body:
        if id not in self.known:
            known = self.record.body["spans"].get(id)
            raise RefusedError(
                f"change {id} is {known['state']}" if known else f"no change {id} is known here"
            )
        if ask == "resume":
            lifted = self.orders.resume(id)
            if not lifted:
                raise RefusedError(f"change {id} has no pause that is known here")
        else:
            self.numbers += 1
            kind = ABORT if ask == "abort" else PAUSE
            if not self.orders.add(id, kind, "asked to", f"{self.life}.{self.numbers}"):
                raise RefusedError(f"change {id} has too many pauses; abort it")
        self.keep_orders(id)
        for agent in self.record.body["members"]:
            if agent != self.name:
                self.host.post(agent, "orders", {"orders": {id: self.orders.of(id)}})
        stands = self.orders.active(id)[0]
        return {
            "id": id,
            "state": {"": "running", PAUSE: "paused", ABORT: "aborted"}[stands],
            "why": self.orders.active(id)[1],
            "obeyed_by": self.name,
            "driver": self.seen_driver(),
        }

    def seen_driver(self) -> str:
        return self.name if self.record.role == Role.LEADER else self.record.leader

    def told_of(self, now: float, id: str) -> Body:
        span = self.record.body["spans"].get(id)
        if span is None:
            raise RefusedError(f"no change {id} is known here")
        quiet = now - self.record.leader_heard_at if self.record.role != Role.LEADER else 0.0
        stands, why = self.orders.active(id)
        state = "paused" if stands == PAUSE and span["state"] == "running" else span["state"]
        return {
            **span,
            "state": state,
            "why": span["why"] or why,
            "waits": self.said.get(id, ""),
            "driver": self.seen_driver(),
            "driver_heard_ms": round(quiet),
            "term": self.record.version[0],
            "revision": self.record.version[1],
            "told_by": self.name,
        }

    def try_job(self, now: float, ref: int, job: Job) -> None:
        if self.driver is not None:
            answer = self.safely(now, job.request, now - job.since)
            if answer is not None:
                self.done(ref, answer)
                return
        elif self.record.leader and now - job.sent_at >= ASKS_AGAIN:
            job.sent_at = now
            word = {"ref": ref, "request": job.request, "waited": now - job.since}
            self.host.post(self.record.leader, "ask", word)
        if now >= job.until:
            if job.request["ask"] == "all":
                self.done(ref, self.alone())
                return
            voters, driver = sorted(self.record.voters()), self.seen_driver()
            self.done(
                ref,
                {
                    "refused": f"nobody drives that can be seen from {self.name}: a majority of "
                    f"{', '.join(voters)} is needed"
                    if not driver
                    else f"{driver} drives, and it is not in force yet; the same command with --id asks again"
                },
            )

    def done(self, ref: int, answer: Body) -> None:
        self.jobs.pop(ref).reply(answer)

    def alone(self) -> Body:
        """What can be told without the one that drives."""
        mine = self.host.report(self.known)["instances"]
        return {
            "instances": {f"{name}@{self.name}": one for name, one in mine.items()},
            "driver": "",
            "unknown": [agent for agent in self.record.members() if agent != self.name],
            "spans": self.listed(),
        }

    def listed(self) -> list[Body]:
        return [
            {key: span[key] for key in ("id", "kind", "state", "why")}
            | {"waits": self.said.get(span["id"], "")}
            for span in self.record.body["spans"].values()
        ]

    def safely(self, now: float, request: Body, waited: float) -> Body | None:
        """What tools send is theirs: it may refuse them, and nothing more."""
        try:
            return self.answer(now, request, waited)
        except RefusedError as problem:
            return {"refused": str(problem)}
        except (KeyError, TypeError, ValueError, AttributeError) as problem:
            return {"refused": f"a malformed command: {type(problem).__name__}: {problem}"}

    def answer(self, now: float, request: Body, waited: float) -> Body | None:
        """As the one that drives; None while it is not in force, or not seen enough; `waited`: ms so far."""
        assert self.driver is not None
        driver, ask = self.driver, request["ask"]
        unknown = [agent for agent in self.record.members() if not driver.view.is_fresh(now, agent)]
        if ask in ("all", "span", "plan") and unknown and now - driver.started_at < GO:
            return None  # it has just begun to look
        if ask in ("span", "plan") and waited < LOOKS:
            touched = {agent_of(key) for key in request["change"]["targets"]}
            if touched & set(unknown):
                return None  # one that has just come back is seen with the next report
        if ask == "all":
            return {
                "instances": driver.view.fresh_instances(now),
                "unknown": unknown,
                "driver": self.name,
                "spans": self.listed(),
            }
        if ask == "span":
            rollout_request = RolloutRequest.decode(request["change"])
            is_known = driver.request_rollout(now, rollout_request)
            return self.told_of(now, rollout_request.id) if is_known else None
        if ask == "plan":
            planned = driver.make_rollout(now, RolloutRequest.decode(request["change"]))
            return {
                "plan": list(planned.steps),
                "batch": planned.batch,
                "floor": planned.minimum_available,
            }
        if ask in ("admit", "dismiss"):
            there = request["name"] in self.record.body["members"]
            if there == (ask == "admit"):
                return {"members": self.record.members(), "log": self.record.body["log"]}
            if not driver.is_member_change_queued(request["name"]):
                if ask == "admit":
                    driver.admit(request["name"], request["by"])
                else:
                    driver.dismiss(now, request["name"], request["by"])
            return None
        raise RefusedError(f"'{ask}' is none that is known")

    def on_ask(self, now: float, sender: str, word: Body) -> None:
        """Another agent passes on what its tool asks."""
        if self.driver is None:
            return  # it asks whoever drives, again
        ref = word["ref"]
        answer = self.safely(now, word["request"], float(word["waited"]))
        if answer is not None:
            self.host.post(sender, "told", {"ref": ref, "answer": answer})

    def on_told(self, now: float, sender: str, word: Body) -> None:
        if word["ref"] in self.jobs and sender == self.record.leader:
            self.done(word["ref"], word["answer"])
