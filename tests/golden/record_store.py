"""Records data/store.sql: the store of the agent of VETCHFORD_GOLDEN_ROOT, killed during a rollout.

The times in the history are replaced by 1001, 1002, ..., the agent's token by "golden", and the checksum of
the token's record, a CRC-32 of its text, is computed again.
"""

import json
import sqlite3
import sys
import tempfile
import zlib
from pathlib import Path

from golden.agent_under_test import AgentUnderTest
from golden.test_store import DUMP


def main() -> int:
    """Record the store and return the exit status."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        with AgentUnderTest(folder, ["good", "good", "good"]) as agent:
            start = {
                "ask": "change",
                "id": "s1",
                "kind": "start",
                "targets": ["n0", "n1", "n2"],
                "soak": 100.0,
            }
            agent.ask({**start, "batch": 3})
            agent.wait_for("s1", "finished")
            roll = {**start, "id": "r1", "kind": "roll", "version": "v2", "floor": 2, "spacing": 1500.0}
            agent.ask(roll)
            while agent.ask({"ask": "find", "id": "r1"})["steps"].get("n0") != "done":
                pass
            agent.process.kill()
            agent.process.wait()
            print(agent.rules.tree(agent.log.lines[-1]), file=sys.stderr)
        database = sqlite3.connect(folder / "store")
        text = json.dumps({"token": "golden"}, sort_keys=True)
        database.execute(
            "UPDATE newest SET body = ?, sum = ? WHERE kind = 'agent'", (text, zlib.crc32(text.encode()))
        )
        database.execute("UPDATE history SET body = ? WHERE kind = 'agent'", (text,))
        database.execute("UPDATE history SET at = 1000 + rowid")
        database.commit()
        DUMP.write_text("\n".join(database.iterdump()) + "\n", encoding="utf-8")
        database.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
