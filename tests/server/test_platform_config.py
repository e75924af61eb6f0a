"""Decoding the configuration of one server: invalid keys, overrides and optional keys."""

import json

import pytest
from helpers import VALID_CONFIGURATION

from vetchford.errors import MalformedInputError
from vetchford.server import platform_config


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("name", None),
        ("name", "two words"),
        ("listen", "here"),
        ("listen", "127.0.0.1:x"),
        ("pool", None),
        ("records", "localhost:5"),
        ("members", 7),
        ("seed", "xyz"),
        ("seed", None),
        ("stop_ms", 0),
        ("stop_ms", "3200"),
        ("limits", None),
        ("limits.sockets", 3),
        ("settings", []),
        ("settings.requestClasses", []),
        ("settings.familyInfo.cores", 0),
        ("settings.requestClasses", [5]),
    ],
)
def test_the_error_names_the_key_that_is_wrong(key, value):
    document = json.loads(json.dumps(VALID_CONFIGURATION))
    inner, *path = document, *key.split(".")
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    with pytest.raises(MalformedInputError, match="settings" if key.startswith("settings") else key):
        platform_config.decode(document)


def test_the_environment_overrides_the_configuration_file(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(VALID_CONFIGURATION))
    configuration = platform_config.load(
        {"ROUTER_CONFIG": str(file), "ROUTER_NAME": "n9", "ROUTER_LISTEN": "127.0.0.1:9"}
    )
    assert (configuration.name, configuration.listen) == ("n9", ("127.0.0.1", 9))
    assert configuration.summary()["stages"][1]["limit_ms"] == 60_000.0


def test_the_records_address_is_optional_without_a_dependency():
    document = json.loads(json.dumps(VALID_CONFIGURATION))
    for records in (None, ""):
        document["records"] = records
        with pytest.raises(MalformedInputError, match="'records'"):
            platform_config.decode(document)  # the settings declare a dependency that runs may call
    document["settings"]["familyInfo"]["below"] = "silent"
    platform_config.decode(document)
    del document["records"]
    configuration = platform_config.decode(document)
    assert configuration.records is None and configuration.summary()["records"] is None
    document["records"] = "nowhere"
    with pytest.raises(MalformedInputError, match="'records'"):
        platform_config.decode(document)
