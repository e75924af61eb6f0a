"""A store that the code before the renames wrote, with a roll half done in it, is gone on from."""

import json
import os
import sqlite3
import uuid
import zlib

from golden import harness
from golden.agent_under_test import (
    INSTANCE_NAME,
    INSTANCE_TOKEN,
    INSTANCE_VERSION,
    AgentUnderTest,
    start_process,
)

DUMP = harness.DATA / "store.sql"
VERSIONS = ("v2", "1", "1")  # that run as the new agent starts: the roll of r1 had done the first


def load_store(path, token):
    """The dump as a store. Its token is made anew: two runs at once would take each other's processes."""
    text = json.dumps({"token": token}, sort_keys=True)
    base = sqlite3.connect(path)
    base.executescript(DUMP.read_text(encoding="utf-8"))
    replaced = (text, zlib.crc32(text.encode()))
    assert base.execute("UPDATE newest SET body = ?, sum = ? WHERE kind = 'agent'", replaced).rowcount == 1
    base.commit()
    base.close()


def test_the_roll_in_an_old_store_is_carried_to_its_end(tmp_path):
    token = uuid.uuid4().hex
    load_store(tmp_path / "store", token)
    agent = AgentUnderTest(tmp_path, ["good", "good", "good"])
    running = [
        start_process(
            agent.command(agent.ports[n], "good"),
            start_new_session=True,
            env={**os.environ, INSTANCE_TOKEN: token, INSTANCE_NAME: f"n{n}", INSTANCE_VERSION: version},
        )
        for n, version in enumerate(VERSIONS)
    ]
    try:
        with agent:
            before = agent.instances()
            assert {name: one["pid"] for name, one in before.items()} == {
                f"n{n}": process.pid for n, process in enumerate(running)
            }
            end = agent.wait_for("r1", "finished")
            after = agent.instances()
            assert after["n0"]["pid"] == before["n0"]["pid"]  # it had been rolled already
            assert {one["version"] for one in after.values()} == {"v2"}
            old = [entry["name"] for entry in agent.ask({"ask": "history", "most": 1000})["history"]]
            harness.compare(
                "store_end",
                {
                    "roll": agent.shown(end),
                    "status": agent.shown(agent.ask({"ask": "status"})),
                    "names in the history": sorted(set(old)),
                },
            )
    finally:
        for process in running:
            process.kill()
            process.wait()
