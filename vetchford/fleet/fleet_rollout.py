"""What the agent that drives decides of changes over several agents. No I/O; times in ms.

A span is a change over instances of several agents. It stands in the fleet's record (`book.py`), and every
step is in force there before anything is done about it:

    pending -> out (its agent runs a change of its own over that one instance) -> done
                                                                              +-> lost

Whoever drives next finds every instance that may be out, and counts it as out, whether the order reached it
or not; so the floor and the batch hold however late an order comes, and no clock is trusted for them. What
serves is taken from reports asked for FRESH ago at most; what is not seen counts as not serving. A span goes
on with what is seen as long as its floor is proven, and waits, saying why, where it is not.
"""

import copy
from dataclasses import dataclass, field
from typing import Any, Protocol

from vetchford.fleet.instance import InstanceState
from vetchford.fleet.rollout import FAILURE_POLICIES, KINDS, RefusedError
from vetchford.fleet.rollout_controls import ABORT, RolloutControls

SERVING = InstanceState.SERVING

POLL = 250.0  # ms between two reports of one agent while a change runs
POLL_IDLE = 1000.0  # ms between them else: they hold what `--across` selects from
FRESH = 2000.0  # ms: eight polls; what was seen earlier proves nothing
ORDERED_AGAIN = 500.0  # ms until an order that shows no effect is given once more
UNSEEN = 5000.0  # ms unseen until an agent may be dismissed with steps out: over `across.GO`
ENDED_KEPT = 20  # ended spans in the record; the stores' histories have the older ones
MOST_TARGETS = 1000  # instances in one: its record stays under a tenth of the longest message
LOG_KEPT = 50  # changes of the members in the record

PENDING, OUT, DONE, LOST, LEFT = "pending", "out", "done", "lost", "left"
RUNNING, PAUSED, FINISHED, BROKEN, ABORTED = "running", "paused", "finished", "broken", "aborted"
ENDED = frozenset((FINISHED, BROKEN, ABORTED))

Body = dict[str, Any]


class Host(Protocol):
    """What the decisions act through."""

    def poll(self, agent: str, number: int) -> None:
        """Asks for a report; `seen` brings it, or nothing does."""

    def order(self, agent: str, number: int, act: Body) -> None:
        """Has an agent do a step that is in force; `number`: the report it rests on."""

    def propose(self, now: float, body: Body) -> bool: ...

    def relist(self, body: Body) -> str: ...

    def note(self, event: str, **fields: Any) -> None: ...


@dataclass(slots=True)
class View:
    """What one agent reported last."""

    asked: float = -1e12  # when the newest report that came was asked for
    number: int = 0
    report: Body = field(default_factory=lambda: {"instances": {}, "locals": {}, "versions": []})
    polled: float = -1e12
    ordered: dict[str, float] = field(default_factory=dict)  # local changes by last order; emptied with steps


def split(key: str) -> tuple[str, str]:
    """Instance and agent of "n1@east"."""
    instance, _, agent = key.rpartition("@")
    return instance, agent


def local(span: str, key: str, attempt: int) -> str:
    """The id of the change that an agent makes of one step: the same step is never two."""
    return f"{span}/{split(key)[0]}/{attempt}"


def founding(members: list[str]) -> Body:
    """The record that all agents with one file begin with."""
    voters = sorted(members)[:7]
    return {
        "members": {name: 0 for name in sorted(members)},
        "voters": dict.fromkeys(voters, ""),
        "log": [],
        "spans": {},
    }


class FleetRolloutController:
    """Made anew each time that this agent begins to drive; holds nothing that the record has not."""

    def __init__(self, host: Host, name: str, body: Body, orders: RolloutControls) -> None:
        self.host, self.name, self.body, self.orders = host, name, body, orders
        self.views: dict[str, View] = {agent: View() for agent in body["members"]}
        self.said: dict[str, str] = {}  # why a span does not go on just now; emptied as it does
        self.next_start: dict[str, float] = {}  # by span; emptied as it ends
        self.number, self.waiting = 0, False  # whether a proposal is not yet in force
        self.asked: list[tuple[str, Body]] = []  # membership changes and new spans that wait for their turn
        self.began = 0.0

    # -- what is seen

    def woke(self, now: float) -> None:
        self.began = self.began or now
        busy = any(span["state"] not in ENDED for span in self.body["spans"].values())
        for agent in self.body["members"]:
            view = self.views.setdefault(agent, View())
            if now - view.polled >= (POLL if busy else POLL_IDLE):
                view.polled = now
                self.number += 1
                self.host.poll(agent, self.number)
        for agent in [agent for agent in self.views if agent not in self.body["members"]]:
            del self.views[agent]
        self.go_on(now)

    def seen(self, now: float, agent: str, number: int, asked: float, report: Body) -> None:
        """A report; `asked`: when it was asked for, by our own clock."""
        view = self.views.get(agent)
        if view is not None and number > view.number:
            view.number, view.asked, view.report = number, asked, report
            self.go_on(now)

    def fresh(self, now: float, agent: str) -> bool:
        return agent in self.views and now - self.views[agent].asked <= FRESH

    def seen_of(self, key: str) -> Body | None:
        name, agent = split(key)
        return self.views[agent].report["instances"].get(name) if agent in self.views else None

    def all_seen(self, now: float) -> dict[str, Body]:
        """All instances of agents that were seen of late."""
        return {
            f"{name}@{agent}": one
            for agent, view in sorted(self.views.items())
            if self.fresh(now, agent)
            for name, one in view.report["instances"].items()
        }

    def running(self, body: Body) -> list[Body]:
        return [span for span in body["spans"].values() if span["state"] not in ENDED]

    def proven(self, now: float, body: Body, span: Body) -> int:
        """Instances that its floor counts and that are known to serve, less those that may be out."""
        out = {key for other in self.running(body) for key, step in other["steps"].items() if step == OUT}
        return sum(
            one["state"] == SERVING
            and not one["unseen"]
            and one["group"] in span["groups"]
            and key not in out
            for key, one in self.all_seen(now).items()
        )

    # -- what is asked for

    def ask(self, now: float, request: Body) -> Body | None:
        """Checks and queues a new span; the one that is known by that id, or None: it is on its way."""
        known = self.body["spans"].get(request["id"])
        told = {"kind": request["kind"], "targets": sorted(request["targets"]), "version": request["version"]}
        if known is not None:
            if told != {
                "kind": known["kind"],
                "targets": sorted(known["steps"]),
                "version": known["version"],
            }:
                raise RefusedError(f"id {request['id']} is another change's ({known['kind']})")
            return known
        if any(id == request["id"] for id, _ in self.asked):
            return None
        self.asked.append((request["id"], self.checked(now, request)))
        self.go_on(now)
        return None

    def checked(self, now: float, request: Body) -> Body:
        """The span of a request; RefusedError where it must not begin."""
        targets = request["targets"]
        if request["kind"] not in KINDS or request["on_failure"] not in FAILURE_POLICIES:
            raise RefusedError(f"'{request['kind']}' or '{request['on_failure']}' is none that is known")
        if not targets or len(set(targets)) < len(targets) or len(targets) > MOST_TARGETS:
            raise RefusedError(f"it must name 1 to {MOST_TARGETS} instances, each once")
        seen = self.all_seen(now)
        strange = [key for key in targets if split(key)[1] not in self.body["members"]]
        away = sorted({agent for key in targets if not self.fresh(now, agent := split(key)[1])})
        if strange or away:
            raise RefusedError(
                f"not an agent of this fleet: {', '.join(strange)}"
                if strange
                else f"not seen: {', '.join(away)}"
            )
        for key in targets:
            if key not in seen:
                raise RefusedError(f"no such instance: {key}")
            begun = [*self.running(self.body), *(what for _, what in self.asked if "steps" in what)]
            owner = next((span["id"] for span in begun if key in span["steps"]), seen[key]["change"])
            if owner:
                raise RefusedError(f"{key} is in change {owner}")
            versions = self.views[split(key)[1]].report["versions"]
            if request["kind"] == "roll" and request["version"] not in (seen[key]["declared"], *versions):
                raise RefusedError(f"{split(key)[1]} has no command for version '{request['version']}'")
        if request["batch"] < 1 or request["floor"] < 0:
            raise RefusedError("batch must be 1 or more, floor 0 or more")
        span = {
            "id": request["id"],
            "kind": request["kind"],
            "version": request["version"],
            "batch": request["batch"],
            "floor": request["floor"],
            "spacing": request["spacing"],
            "soak": request["soak"],
            "on_failure": request["on_failure"],
            "state": RUNNING,
            "why": "",
            "back": False,
            "killed": [],
            "turned": [],
            "halts": {},
            "groups": sorted({seen[key]["group"] for key in targets}),
            "steps": dict.fromkeys(targets, PENDING),
            "tries": dict.fromkeys(targets, 0),
            "before": {key: [seen[key]["version"], seen[key]["wanted"]] for key in targets},
        }
        up = self.proven(now, self.body, span)
        going = sum(seen[key]["state"] == SERVING for key in targets)
        if span["kind"] == "stop" and up - going < span["floor"]:
            raise RefusedError(f"{up - going} would be left serving, under the floor of {span['floor']}")
        if span["kind"] in ("restart", "roll") and span["floor"] and going and up <= span["floor"]:
            raise RefusedError(f"{up} serve and the floor is {span['floor']}: none may go out")
        return span

    def admit(self, name: str, by: str) -> None:
        if name in self.body["members"]:
            raise RefusedError(f"{name} is a member already")
        self.asked.append(("admit", {"name": name, "by": by}))

    def dismiss(self, now: float, name: str, by: str) -> None:
        if name not in self.body["members"]:
            raise RefusedError(f"{name} is no member")
        if name == self.name:
            raise RefusedError(f"{name} drives: ask once another does (stop its agent first)")
        view = self.views.get(name, View())
        out = any(
            step == OUT and split(key)[1] == name
            for s in self.running(self.body)
            for key, step in s["steps"].items()
        )
        if out and now - max(view.asked, self.began) < UNSEEN:
            raise RefusedError(f"{name} is seen and has instances out: let them come back, or stop its agent")
        self.asked.append(("dismiss", {"name": name, "by": by}))

    # -- going on

    def in_force(self, now: float, body: Body) -> None:
        self.body, self.waiting = body, False
        self.go_on(now)

    def go_on(self, now: float) -> None:
        """Proposes what follows from what is seen, and gives the orders of what is in force."""
        if self.waiting:
            return
        body = copy.deepcopy(self.body)
        taken = self.members(body)
        for span in self.running(body):
            self.judge(now, span)
            self.follow(now, body, span)
            self.take_out(now, body, span)
            self.end(span)
        self.prune(body)
        relisted = self.host.relist(body) if body["voters"] == self.body["voters"] else ""
        if relisted:
            body["log"] = [*body["log"], ["voter", relisted, "its store holds the newest record"]][-LOG_KEPT:]
        if body != self.body:
            self.waiting = self.host.propose(now, body)
            if self.waiting:
                del self.asked[:taken]
            return
        del self.asked[:taken]
        self.give_orders(now)

    def members(self, body: Body) -> int:
        """Puts in what was asked for: spans, and one change of the members at a time; how many were."""
        for at, (id, what) in enumerate(self.asked):
            if id not in ("admit", "dismiss"):
                body["spans"][id] = copy.deepcopy(what)
                self.host.note("span_begins", span=id, kind=what["kind"], targets=len(what["steps"]))
                continue
            name = what["name"]
            if id == "admit":
                body["members"] = {**body["members"], name: len(body["log"]) + 1}
            else:
                body["members"] = {key: since for key, since in body["members"].items() if key != name}
                body["voters"] = {key: store for key, store in body["voters"].items() if key != name}
                for span in self.running(body):
                    for key, step in span["steps"].items():
                        if split(key)[1] == name and step in (PENDING, OUT):
                            span["steps"][key] = LOST
            body["log"] = [*body["log"], [id, name, what["by"]]][-LOG_KEPT:]
            return at + 1
        return len(self.asked)

    def judge(self, now: float, span: Body) -> None:
        """Orders of operators, from whichever side they came."""
        kind, why = self.orders.stands(span["id"])
        if kind == ABORT:
            for key, step in span["steps"].items():
                if step == PENDING:
                    span["steps"][key] = LEFT
            span["why"] = why
        elif kind and span["state"] == RUNNING:
            span["state"], span["why"] = PAUSED, why
        elif not kind and span["state"] == PAUSED:
            span["state"], span["why"] = RUNNING, ""
            for key, step in span["steps"].items():
                if step == LOST and split(key)[1] in self.views:  # tried once more
                    span["steps"][key] = PENDING

    def follow(self, now: float, body: Body, span: Body) -> None:
        """What has become of those that are out."""
        for key, step in list(span["steps"].items()):
            name, agent = split(key)
            if step != OUT or not self.fresh(now, agent):
                continue
            report = self.views[agent].report
            ended = report["locals"].get(local(span["id"], key, span["tries"][key]))
            id = local(span["id"], key, span["tries"][key])
            if ended is None and id not in self.views[agent].ordered and self.short(now, body, span, key, 0):
                # In force, and no order under our term: others have gone since, so the floor is asked anew.
                # What an earlier driver ordered is refused, as the agent has promised us.
                span["steps"][key] = PENDING
                continue
            if ended is None or ended[0] in ("running", "back", "paused"):
                continue  # paused: its store failed, and the order is given again
            if name in ended[2] and key not in span["killed"]:
                span["killed"] = [*span["killed"], key]
            self.views[agent].ordered.pop(local(span["id"], key, span["tries"][key]), None)
            if key in span["turned"]:  # it went forward while the others were already told to go back
                span["turned"] = [other for other in span["turned"] if other != key]
                span["steps"][key] = PENDING
                continue
            if ended[0] == "finished":
                span["steps"][key] = DONE
                continue
            span["steps"][key] = LOST
            self.host.note("span_lost", span=span["id"], instance=key, why=ended[1])
            if span["back"] or span["on_failure"] == "go_on":
                continue
            if (
                span["on_failure"] == "pause"
            ):  # in the record: whoever drives next must not take it for resumed
                span["halts"] = {
                    **span["halts"],
                    f"driver.{key}.{span['tries'][key]}": ["pause", f"{key}: {ended[1]}"],
                }
                span["state"], span["why"] = PAUSED, f"{key}: {ended[1]}"
                continue
            span["back"], span["why"] = True, f"{key}: {ended[1]}"
            span["turned"] = [other for other, was in span["steps"].items() if was == OUT]
            for other, was in span["steps"].items():  # all that were touched go back
                span["steps"][other] = LEFT if was == PENDING else PENDING if was != OUT else OUT

    def take_out(self, now: float, body: Body, span: Body) -> None:
        """As many more as batch, floor and spacing let it, those first that do not serve."""
        if span["state"] != RUNNING:
            return
        waiting = [key for key, step in span["steps"].items() if step == PENDING]
        out = sum(step == OUT for step in span["steps"].values())
        away = sorted(
            {
                split(key)[1]
                for key, step in span["steps"].items()
                if step in (PENDING, OUT) and not self.fresh(now, split(key)[1])
            }
        )
        said = f"not seen: {', '.join(away)}" if away else ""
        can = [key for key in waiting if split(key)[1] not in away and self.seen_of(key) is not None]
        can.sort(key=lambda key: self.seen_of(key)["state"] == SERVING)  # type: ignore[index]
        for key in can:
            if out >= span["batch"] or now < self.next_start.get(span["id"], 0.0):
                break
            one = self.seen_of(key)
            assert one is not None
            if one["state"] in ("draining", "stopping") or one["unseen"] or one["change"]:
                said = (
                    said
                    or f"{key} is {one['state']}{', in change ' + one['change'] if one['change'] else ''}"
                )
                continue  # something else of it is under way
            short = self.short(now, body, span, key, 1)
            if short:
                said = f"{short}; {said}" if said else short
                break
            span["steps"][key] = OUT
            span["tries"][key] += 1
            out += 1
            if span["spacing"]:
                self.next_start[span["id"]] = now + span["spacing"]
        self.said[span["id"]] = said

    def short(self, now: float, body: Body, span: Body, key: str, takes: int) -> str:
        """Which floor stands against taking it out, where it serves; `takes`: 0 once it is counted as out."""
        one = self.seen_of(key)
        if one is None or one["state"] != SERVING or self.kind(span, key) == "start":
            return ""
        for other in self.running(body):
            up = self.proven(now, body, other)
            if one["group"] in other["groups"] and up - takes < other["floor"]:
                return f"{up} proven to serve, the floor of {other['id']} is {other['floor']}"
        return ""

    def kind(self, span: Body, key: str) -> str:
        """What its agent is to do with one instance, also on the way back."""
        if not span["back"]:
            return span["kind"]
        if span["kind"] == "start":
            return "start" if span["before"][key][1] else "stop"
        return "start" if span["kind"] == "stop" else span["kind"]

    def end(self, span: Body) -> None:
        steps = list(span["steps"].values())
        if any(step in (PENDING, OUT) for step in steps):
            return
        if self.orders.stands(span["id"])[0] == ABORT:
            span["state"] = ABORTED
        elif span["state"] == PAUSED and LOST in steps:
            return  # somebody has to say whether it is tried again
        elif span["back"]:
            span["state"], span["why"] = BROKEN, f"gone back: {span['why']}"
        elif LOST in steps:
            lost = [key for key, step in span["steps"].items() if step == LOST]
            span["state"], span["why"] = BROKEN, f"lost: {', '.join(lost)}"
        else:
            span["state"], span["why"] = FINISHED, "all done"
        self.next_start.pop(span["id"], None)
        self.said.pop(span["id"], None)
        self.host.note("span_ended", span=span["id"], state=span["state"], why=span["why"])

    def prune(self, body: Body) -> None:
        ended = [id for id, span in body["spans"].items() if span["state"] in ENDED]
        for id in ended[: max(0, len(ended) - ENDED_KEPT)]:
            del body["spans"][id]

    def give_orders(self, now: float) -> None:
        """From the record in force and the reports alone: also after another drove before us."""
        for span in self.running(self.body):
            for key, step in span["steps"].items():
                name, agent = split(key)
                if step != OUT or not self.fresh(now, agent):
                    continue
                view, id = self.views[agent], local(span["id"], key, span["tries"][key])
                begun = view.report["locals"].get(id)
                if not begun and self.short(now, self.body, span, key, 0):
                    continue  # others have gone since it was put in force
                if (begun and begun[0] != "paused") or now - view.ordered.get(id, -1e12) < ORDERED_AGAIN:
                    continue
                view.ordered[id] = now
                kind = self.kind(span, key)
                back = span["before"][key][0]
                act = {
                    "id": id,
                    "span": span["id"],
                    "kind": kind,
                    "name": name,
                    "soak": span["soak"],
                    "version": (back if span["back"] else span["version"]) if kind == "roll" else "",
                }
                self.host.order(agent, view.number, act)
