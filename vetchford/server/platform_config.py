"""The configuration of one server: environment and configuration file, checked key by key.

The names of keys are those of the platform's page; `Configuration` keeps them as they are.
"""

import ipaddress
import json
import os
from collections.abc import Callable, Mapping
from typing import Any

from vetchford.admission import factory
from vetchford.errors import MalformedInputError
from vetchford.protocol import platform_settings
from vetchford.server import settings_schema

Configuration = dict[str, Any]
Address = tuple[str, int]  # numeric host, and port

FILE_VARIABLE = "ROUTER_CONFIG"
OVERRIDES = (("ROUTER_NAME", "name"), ("ROUTER_LISTEN", "listen"))  # environment variable and key
OWN_SETTINGS = "declared"  # key that our own files go under; not the platform's to set
MAX_NUMBER = 1e12
MAX_PORT = 65_535
LEAST_SOCKETS = 32
SHOWN_KEYS = ("name", "listen", "pool", "members", "stop_ms", "limits")


def address(configuration: Mapping[str, Any], key: str) -> Address:
    """Return the address of a peer, or to listen on; MalformedInputError where it is none."""
    host, _, port = str(configuration.get(key) or "").rpartition(":")
    try:
        ipaddress.ip_address(host)
        if not 0 <= int(port) <= MAX_PORT:
            raise ValueError
    except ValueError:
        raise MalformedInputError(f"key '{key}' must be an address and a port") from None
    return host, int(port)


def records_address(configuration: Mapping[str, Any]) -> Address | None:
    """Return where dependency calls go; None where the settings have none, and so name no service."""
    if configuration.get("records") or platform_settings.has_dependency(configuration.get("settings")):
        return address(configuration, "records")
    return None


def seed(configuration: Mapping[str, Any]) -> int:
    """Return the seed of random choices; ValueError where it is no hexadecimal number."""
    return int(str(configuration.get("seed")), 16)


class NoActions:
    """Actions of an admission controller that do nothing, to try settings with."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Return an action that does nothing."""
        return lambda *arguments: None


def load(
    environment: Mapping[str, str] = os.environ, path: str | None = None, ours: list[str] | None = None
) -> Configuration:
    """Return the configuration file with what the environment adds and our own files declare.

    `path` goes before the environment's ROUTER_CONFIG. MalformedInputError has a line for each key at fault.
    """
    path = path or environment.get(FILE_VARIABLE)
    if not path:
        raise MalformedInputError(f"{FILE_VARIABLE} names no configuration file")
    configuration = read_file(path)
    for variable, key in OVERRIDES:
        if environment.get(variable):
            configuration[key] = environment[variable]
    check(configuration)
    configuration.pop(OWN_SETTINGS, None)
    if ours:
        from vetchford.configuration import isolated_reader  # a server without such files does without it

        request_classes = list(platform_settings.decode(configuration["settings"]).class_indices())
        configuration[OWN_SETTINGS] = isolated_reader.read(ours, request_classes)
    return configuration


def read_file(path: str) -> Configuration:
    """Return what a configuration file holds, unchecked; MalformedInputError where it is no JSON object."""
    try:
        with open(path, encoding="utf-8") as file:
            configuration = json.load(file)
    except OSError as problem:
        raise MalformedInputError(f"configuration file {path}: {problem.strerror}") from None
    except (ValueError, RecursionError) as problem:  # the second: brackets in brackets without end
        raise MalformedInputError(f"configuration file {path}: no JSON: {problem}") from None
    if not isinstance(configuration, dict):
        raise MalformedInputError(f"configuration file {path}: not an object")
    return configuration


def check(configuration: Configuration) -> None:
    """Raise MalformedInputError unless a server can be built from the configuration."""
    check_name(configuration.get("name"))
    for key in ("listen", "pool", "members"):
        address(configuration, key)
    records_address(configuration)
    try:
        seed(configuration)
    except (TypeError, ValueError):
        raise MalformedInputError("key 'seed' must be a number in hex digits") from None
    check_number(configuration, "stop_ms", 1)
    check_object(configuration, "limits")
    check_number(configuration["limits"], "sockets", LEAST_SOCKETS, "limits.")
    check_object(configuration, "settings")
    check_settings(configuration)


def check_name(name: Any) -> None:
    """Raise MalformedInputError unless the name is printable ASCII without a space."""
    if not isinstance(name, str) or not name or not name.isprintable() or " " in name or not name.isascii():
        raise MalformedInputError("key 'name' must be a word")


def check_object(configuration: Configuration, key: str) -> None:
    """Raise MalformedInputError unless the value of `key` is an object."""
    if not isinstance(configuration.get(key), dict):
        raise MalformedInputError(f"key '{key}' must be an object")


def check_number(values: Mapping[str, Any], key: str, least: float, prefix: str = "") -> None:
    """Raise MalformedInputError unless the value of `key` is a number of `least` or more."""
    value = values.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < MAX_NUMBER:
        raise MalformedInputError(f"key '{prefix}{key}' must be a number of {least:g} or more")


def check_settings(configuration: Configuration) -> None:
    """Raise MalformedInputError unless a controller can be built from the platform's settings."""
    settings = configuration["settings"]
    problems = list(settings_schema.problems(settings))
    if problems:
        raise MalformedInputError("\n".join(problems))
    try:
        decoded = platform_settings.decode(settings)
        decoded.class_indices(), decoded.tenant_indices(), decoded.gauge_indices()
        factory.build(NoActions(), seed(configuration), decoded, False)
    except (TypeError, AttributeError, ValueError) as problem:
        raise MalformedInputError(f"key 'settings' holds a value of the wrong kind: {problem}") from None


def summary(configuration: Mapping[str, Any]) -> dict[str, Any]:
    """Return what operators want to see of it, as `vetchford settings` prints it."""
    settings = configuration["settings"]
    return {
        **{key: configuration[key] for key in SHOWN_KEYS},
        "records": configuration.get("records"),
        "cores": (settings.get("familyInfo") or {}).get("cores"),
        **({OWN_SETTINGS: configuration[OWN_SETTINGS]} if OWN_SETTINGS in configuration else {}),
        "tenants": list(platform_settings.decode(settings).tenant_indices()),
        "stages": [request_class_summary(entry) for entry in settings.get("requestClasses") or []],
    }


def request_class_summary(entry: Mapping[str, Any]) -> dict[str, Any]:
    """Return what operators want to see of one request class."""
    return {
        "name": entry.get("name"),
        "effect": platform_settings.EFFECTS[entry["effect"]],
        "due_ms": (entry.get("promise") or entry["deadline"]) / platform_settings.NS_PER_MS,
        "limit_ms": entry["deadline"] / platform_settings.NS_PER_MS,
        "utility": entry.get("worth"),
    }
