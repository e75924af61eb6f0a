"""Writes data/store.sql by the agent of VETCHFORD_GOLDEN_ROOT, killed in the middle of a roll.

Rules: the clock of the day in the history becomes 1000 and one more an entry, the agent's token "golden"; the
checksum of the token's record is made anew, as it is a plain CRC-32 of its text.
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
        base = sqlite3.connect(folder / "store")
        text = json.dumps({"token": "golden"}, sort_keys=True)
        base.execute(
            "UPDATE newest SET body = ?, sum = ? WHERE kind = 'agent'", (text, zlib.crc32(text.encode()))
        )
        base.execute("UPDATE history SET body = ? WHERE kind = 'agent'", (text,))
        base.execute("UPDATE history SET at = 1000 + rowid")
        base.commit()
        DUMP.write_text("\n".join(base.iterdump()) + "\n", encoding="utf-8")
        base.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
