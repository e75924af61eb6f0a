"""Settings files given by --with on the command line, and errors in the platform's configuration."""

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


def run_command(*arguments):
    environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
    return subprocess.run(
        [sys.executable, "-m", "vetchford", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=environment,
        timeout=60,
    )


def test_check_locates_each_problem_and_settings_prints_the_unified_values(tmp_path):
    config, base, override = (tmp_path / name for name in ("config.json", "ours.vet", "site.vet"))
    config.write_text(json.dumps(PLATFORM))
    base.write_text(
        'version: 1\npools: gate: {stages: ["read"], share: *20% | number, reserve: 9}\npool: 1\n'
    )
    result = run_command("check", "--config", str(config), "--with", str(base))
    assert result.returncode == 2 and result.stderr.splitlines()[0].startswith(
        f"vetchford: {base}:2:64: pools.gate.reserve: "
    )
    assert len(result.stderr.splitlines()) == 2
    base.write_text('version: 1\npools: gate: {stages: ["read"], share: *20% | number}\n')
    override.write_text("pools: gate: share: 30%\n")
    assert (
        run_command("check", "--with", str(base), "--with", str(override)).returncode == 0
    )  # without the platform's configuration
    result = run_command("settings", "--config", str(config), "--with", str(base), "--with", str(override))
    assert json.loads(result.stdout)["declared"]["pools"]["gate"]["share"] == 0.3
    assert "#Pool" in run_command("settings", "--with", str(base), "--schema").stdout


def test_the_shipped_settings_file_is_valid():
    assert run_command("check", "--with", "deploy/pools.vet").returncode == 0


@pytest.mark.parametrize(
    ("path", "value", "expected"),
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
def test_an_invalid_platform_setting_is_reported_with_its_full_path(path, value, expected):
    configuration = json.loads(json.dumps(PLATFORM))
    container, *keys = configuration["settings"], *path.split(".")
    for key in keys[:-1]:
        container = container[int(key) if key.isdigit() else key]
    container[keys[-1]] = value
    with pytest.raises(MalformedInputError) as caught:
        platform_config.decode(configuration)
    assert str(caught.value).startswith(expected)


def test_all_invalid_platform_settings_are_reported_at_once():
    configuration = json.loads(json.dumps(PLATFORM))
    configuration["settings"]["familyInfo"] |= {"cores": "two", "blowup": []}
    configuration["settings"]["customers"][0]["name"] = 7
    with pytest.raises(MalformedInputError) as caught:
        platform_config.decode(configuration)
    assert len(str(caught.value).splitlines()) == 3


def test_each_file_given_by_with_is_read_once(tmp_path):
    # docopt lists the values of a repeated option several times, so five files exceeded the limit of eight.
    files = []
    for n in range(5):
        files.append(tmp_path / f"{n}.vet")
        files[-1].write_text("version: 1\n")
    result = run_command("check", *(word for file in files for word in ("--with", str(file))))
    assert result.returncode == 0 and result.stdout == f"{', '.join(map(str, files))}: good\n"


def test_an_agent_missing_from_its_fleet_is_reported(tmp_path):
    file = tmp_path / "fleet.vet"
    file.write_text(
        'version: 1\nagent: {\n  socket: "s"\n  store: "t"\n  logs: "l"\n  instances: n1: {command: ["x"], '
        'listen: "127.0.0.1:1"}\n  peers: {fleet: "pay", name: "south", listen: "127.0.0.1:2"\n'
        '    agents: {east: "127.0.0.1:2"}}\n}\n'
    )
    result = run_command("check", "--with", str(file))
    assert result.returncode == 2 and "agent.peers.name" in result.stderr and "allowed: east" in result.stderr
