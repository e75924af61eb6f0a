"""Guards that an agent completes a rollout found in a store of an older version."""

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
VERSIONS = ("v2", "1", "1")  # of the running instances: rollout r1 has replaced the first one


def load_store(path, token):
    """Create a store from the dump, with a new token, as parallel runs would adopt each other's processes."""
    text = json.dumps({"token": token}, sort_keys=True)
    database = sqlite3.connect(path)
    database.executescript(DUMP.read_text(encoding="utf-8"))
    replaced = (text, zlib.crc32(text.encode()))
    assert (
        database.execute("UPDATE newest SET body = ?, sum = ? WHERE kind = 'agent'", replaced).rowcount == 1
    )
    database.commit()
    database.close()


def test_a_rollout_in_an_old_store_is_completed(tmp_path):
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
            assert {name: instance["pid"] for name, instance in before.items()} == {
                f"n{n}": process.pid for n, process in enumerate(running)
            }
            end = agent.wait_for("r1", "finished")
            after = agent.instances()
            assert after["n0"]["pid"] == before["n0"]["pid"]  # had the new version already
            assert {instance["version"] for instance in after.values()} == {"v2"}
            old = [entry["name"] for entry in agent.ask({"ask": "history", "most": 1000})["history"]]
            harness.compare(
                "store_end",
                {
                    "roll": agent.normalise(end),
                    "status": agent.normalise(agent.ask({"ask": "status"})),
                    "names in the history": sorted(set(old)),
                },
            )
    finally:
        for process in running:
            process.kill()
            process.wait()
