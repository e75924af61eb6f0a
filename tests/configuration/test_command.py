"""Our settings by the command line, and the platform's own file beside them."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import SETTINGS

from vetchford.errors import MalformedInputError
from vetchford.server import platform_config

ROOT = Path(__file__).parent.parent.parent
PLATFORM = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "pool": "127.0.0.1:4400",
    "records": "127.0.0.1:7700",
    "members": "127.0.0.1:2379",
    "seed": "8c",
    "stop_ms": 3200,
    "limits": {"sockets": 128},
    "settings": SETTINGS,
}


def command(*given):
    environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
    return subprocess.run(
        [sys.executable, "-m", "vetchford", *given],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=environment,
        timeout=60,
    )


def test_check_tells_every_line_with_its_place_and_settings_shows_what_came_of_it(tmp_path):
    config, ours, site = (tmp_path / name for name in ("config.json", "ours.vet", "site.vet"))
    config.write_text(json.dumps(PLATFORM))
    ours.write_text(
        'version: 1\npools: gate: {stages: ["read"], share: *20% | number, reserve: 9}\npool: 1\n'
    )
    ran = command("check", "--config", str(config), "--with", str(ours))
    assert ran.returncode == 2 and ran.stderr.splitlines()[0].startswith(
        f"vetchford: {ours}:2:64: pools.gate.reserve: "
    )
    assert len(ran.stderr.splitlines()) == 2
    ours.write_text('version: 1\npools: gate: {stages: ["read"], share: *20% | number}\n')
    site.write_text("pools: gate: share: 30%\n")
    assert (
        command("check", "--with", str(ours), "--with", str(site)).returncode == 0
    )  # without the platform's file
    ran = command("settings", "--config", str(config), "--with", str(ours), "--with", str(site))
    assert json.loads(ran.stdout)["declared"]["pools"]["gate"]["share"] == 0.3
    assert "#Pool" in command("settings", "--with", str(ours), "--schema").stdout


def test_the_file_that_ships_is_good_for_the_stages_it_names():
    assert command("check", "--with", "deploy/pools.vet").returncode == 0


@pytest.mark.parametrize(
    ("path", "value", "said"),
    [
        (
            "familyInfo.cores",
            "two",
            "key 'settings.familyInfo.cores' must be a number of 1 or more; found \"two\"",
        ),
        ("familyInfo.ownStats", "x", "key 'settings.familyInfo.ownStats' must be an array; found \"x\""),
        ("familyInfo", 3, "key 'settings.familyInfo' must be an object; found 3"),
        (
            "requestClasses.1.effect",
            "maybe",
            "key 'settings.requestClasses[1].effect' must be one of read_like, idem",
        ),
        (
            "customers.0.quotaPerS",
            True,
            "key 'settings.customers[0].quotaPerS' must be a number of 0 or more; found true",
        ),
        ("requestClasses.0.deadline", 0, "key 'settings.requestClasses[0].deadline' must be above 0"),
    ],
)
def test_a_wrong_value_of_the_platform_s_settings_is_named_by_its_whole_path(path, value, said):
    told = json.loads(json.dumps(PLATFORM))
    inner, *steps = told["settings"], *path.split(".")
    for step in steps[:-1]:
        inner = inner[int(step) if step.isdigit() else step]
    inner[steps[-1]] = value
    with pytest.raises(MalformedInputError) as caught:
        platform_config.decode(told)
    assert str(caught.value).startswith(said)


def test_all_wrong_values_of_the_platform_s_settings_are_told_at_once():
    told = json.loads(json.dumps(PLATFORM))
    told["settings"]["familyInfo"] |= {"cores": "two", "blowup": []}
    told["settings"]["customers"][0]["name"] = 7
    with pytest.raises(MalformedInputError) as caught:
        platform_config.decode(told)
    assert len(str(caught.value).splitlines()) == 3


def test_files_that_are_named_together_are_each_read_once(tmp_path):
    # The options' library hands a repeated option over several times: five files met the bound of eight.
    files = []
    for n in range(5):
        files.append(tmp_path / f"{n}.vet")
        files[-1].write_text("version: 1\n")
    ran = command("check", *(word for file in files for word in ("--with", str(file))))
    assert ran.returncode == 0 and ran.stdout == f"{', '.join(map(str, files))}: good\n"


def test_an_agent_that_its_fleet_does_not_name_is_told_with_its_place(tmp_path):
    file = tmp_path / "fleet.vet"
    file.write_text(
        'version: 1\nagent: {\n  socket: "s"\n  store: "t"\n  logs: "l"\n  instances: n1: {command: ["x"], '
        'listen: "127.0.0.1:1"}\n  peers: {fleet: "pay", name: "south", listen: "127.0.0.1:2"\n'
        '    agents: {east: "127.0.0.1:2"}}\n}\n'
    )
    ran = command("check", "--with", str(file))
    assert ran.returncode == 2 and "agent.peers.name" in ran.stderr and "allowed: east" in ran.stderr
