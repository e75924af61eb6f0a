"""The link to the worker pool breaks as commands are on their way; a charge runs twice."""

import json
import os
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import Balancers, Pool, Server, World, free_port  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("CASE_SEED", str(time.time_ns() & 0xFFFFFF)))
LOAD_S = float(os.environ.get("CASE_LOAD_S", "80"))
RATE_PER_S = 130.0
BURST = 12  # requests that clients send at once, each second
WORK_MS = (
    26.0  # of a run, times 0.75 to 1.25; six cores take 190 such runs a second and more, these have room
)
CORES = 16
BREAK_EVERY_S = 3.0
CLASS_NAME = "slot-reserve"
TIMEOUT_MS = 1000
WINDOW_MS = 13_329
ANSWER_SLACK_MS = 60

SETTINGS = {
    "servers": 4,
    "family": "server",
    "familyInfo": {
        "below": "silent",
        "blowup": 4.0,
        "callerIdle": 30_000_000_000,
        "callers": 4,
        "cancelSeen": True,
        "cold": False,
        "cores": CORES,
        "fullChecks": False,
        "halt": "silent",
        "keyKb": 20.0,
        "ownStats": ["core_use", "on_cores"],
        "passesDeadline": True,
        "ramKb": 200_000.0,
        "say": "silent",
    },
    "requestClasses": [
        {
            "name": CLASS_NAME,
            "effect": "idempotency_key",
            "worth": 3.0,
            "lateWorth": 0.2,
            "promise": 600_000_000,
            "deadline": TIMEOUT_MS * 1_000_000,
            "window": WINDOW_MS * 1_000_000,
        },
    ],
    "caps": {"retryAfter": True, "maxRetryAfter": 1_000_000_000},
    "goal": {"whole": 0.5, "worstWindow": 0.3, "worstClass": 0.2},
    "rules": {
        "answerSlack": ANSWER_SLACK_MS * 1_000_000,
        "coldFrom": 0.24,
        "drainGrace": 2_500_000_000,
        "fall": 2_000_000_000,
        "fallMultiple": 8.0,
        "rampTime": 16_000_000_000,
    },
    "valueBy": "work",
}


class BreakingPool(Pool):
    """A pool that handles what has come in, then writes its replies.

    When a break is due, the link breaks between the two, the next time that three commands or more of a burst
    have come in at once: these runs have begun, and the server does not know that its commands arrived.
    """

    break_due = False
    breaks = 0
    replies = None

    def read(self, sock):
        self.replies = []
        spawned = len(self.running)
        super().read(sock)
        replies, self.replies = self.replies, None
        if self.break_due and len(self.running) >= spawned + 3 and self.link is sock:
            self.break_due = False
            self.breaks += 1
            self.break_link()
        else:
            super().send(*replies)

    def send(self, *messages):
        if self.replies is None:
            super().send(*messages)
        else:
            self.replies += messages


def main():
    with tempfile.TemporaryDirectory(prefix="case1-") as folder, open(HERE / "record.txt", "w") as record:
        world = World(record, SEED)
        port = free_port()
        balancers = Balancers(world, "n1", port, 4, CLASS_NAME, TIMEOUT_MS, ANSWER_SLACK_MS, True, WORK_MS)

        def draw_run():
            return WORK_MS / 1000.0 * world.random.uniform(0.75, 1.25), 0

        pool = BreakingPool(world, "n1", CORES, balancers, draw_run)
        server = Server(folder, "n1", port, pool.address, f"127.0.0.1:{free_port()}", SETTINGS)
        try:
            if not balancers.wait_until_serving():
                print("could not run: the server does not serve")
                return 2
            end = time.time() + LOAD_S

            def send_next():
                if time.time() < end:
                    balancers.send_one()
                    world.after(world.random.expovariate(RATE_PER_S), send_next)

            def send_burst():
                if time.time() < end:
                    for _ in range(BURST):
                        balancers.send_one()
                    world.after(1.0, send_burst)

            def break_next():
                pool.break_due = True
                world.after(BREAK_EVERY_S, break_next)

            send_next()
            send_burst()
            if TROUBLE:
                world.after(3.0, break_next)
            world.run_for(LOAD_S)
            pool.break_due = False
            world.run_for(2.0)
            crashed = server.process.poll() is not None
        finally:
            server.stop()
            record.write(server.log_text())
        result = {
            **balancers.count_answers(),
            "links broken": pool.breaks,
            "runs": sum(pool.runs.values()),
            "requests run more than once": len(pool.run_again),
            "other problems": balancers.problems[:3],
        }
        record.write(json.dumps(result) + "\n")
        print(json.dumps(result))
        if crashed or result["served"] < result["sent"] / 2:
            return 2
        return 1 if pool.run_again else 0


if __name__ == "__main__":
    sys.exit(main())
