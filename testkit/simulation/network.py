"""A network of agents in virtual time, that loses, delays, doubles and splits."""

import heapq
import random

from vetchford.fleet.failure_detector import FailureDetector
from vetchford.fleet.membership import MAX_UPDATES


class Net:
    def __init__(self, count, seed, loss=0.0, doubled=0.0):
        self.chance, self.loss, self.doubled = random.Random(seed), loss, doubled
        self.now, self.queue, self.count, self.dead, self.slow = 0.0, [], 0, set(), {}
        self.side, self.sent, self.told = {}, 0, []
        names = [f"a{n:03}" for n in range(count)]
        self.agents = {name: FailureDetector(Port(self, name), name, names, seed) for name in names}
        for name in names:
            self.later(self.chance.uniform(0.0, 1000.0), "woke", name, ())

    def later(self, wait, kind, name, given):
        self.count += 1
        heapq.heappush(self.queue, (self.now + wait, self.count, kind, name, given))

    def send(self, sender, to, *message):
        self.sent += 1
        if self.side.get(sender, 0) != self.side.get(to, 0):
            return
        for _ in range(1 + (self.chance.random() < self.doubled)):
            if self.chance.random() >= self.loss:
                wait = self.chance.uniform(1.0, 20.0) + self.slow.get(to, 0.0) + self.slow.get(sender, 0.0)
                self.later(wait, "heard", to, (sender, *message))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, kind, name, given = heapq.heappop(self.queue)
            if name in self.dead:
                continue
            if kind == "woke":
                self.agents[name].tick(self.now)
                self.later(100.0, "woke", name, ())
            elif given[0] not in self.dead or kind == "heard":
                self.agents[name].receive(self.now, *given)
        self.now = until

    def views(self, of):
        return {
            agent.membership.state(of)
            for name, agent in self.agents.items()
            if name not in self.dead and name != of
        }


class Port:
    def __init__(self, net, name):
        self.net, self.name = net, name

    def send(self, to, kind, number, about, news):
        assert len(news) <= MAX_UPDATES + 1
        self.net.send(self.name, to, kind, number, about, list(news))

    def on_state_changed(self, name, state):
        self.net.told.append((self.net.now, self.name, name, state))
