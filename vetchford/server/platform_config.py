"""What a server is told: environment and configuration file, checked key by key."""

import ipaddress
import json
import os
from collections.abc import Mapping
from typing import Any

from vetchford.admission import factory
from vetchford.errors import MalformedInputError
from vetchford.server import settings_schema as platform


def address(told: Mapping[str, Any], key: str) -> tuple[str, int]:
    host, _, port = str(told.get(key) or "").rpartition(":")
    try:
        ipaddress.ip_address(host)
        if not 0 <= int(port) < 65536:
            raise ValueError
    except ValueError:
        raise MalformedInputError(f"key '{key}' must be an address and a port") from None
    return host, int(port)


def records(told: Mapping[str, Any]) -> tuple[str, int] | None:
    """Where calls go; None where the settings have nothing below, and so name no service."""
    if told.get("records") or factory.calls_below(told.get("settings")):
        return address(told, "records")
    return None


def number(told: Mapping[str, Any], key: str, least: float, where: str = "") -> float:
    value = told.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 1e12:
        raise MalformedInputError(f"key '{where}{key}' must be a number of {least:g} or more")
    return value


class Silent:
    """A host that does nothing, to try the settings with."""

    def __getattr__(self, name: str) -> Any:
        return lambda *given: None


def load(
    environment: Mapping[str, str] = os.environ, path: str | None = None, ours: list[str] | None = None
) -> dict[str, Any]:
    """The configuration file with what the environment adds, and what our own files declare under `declared`.

    MalformedError has a line for each key at fault.
    """
    path = path or environment.get("ROUTER_CONFIG")
    if not path:
        raise MalformedInputError("ROUTER_CONFIG names no configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as problem:
        raise MalformedInputError(f"configuration file {path}: {problem.strerror}") from None
    except (ValueError, RecursionError) as problem:  # the second: brackets in brackets without end
        raise MalformedInputError(f"configuration file {path}: no JSON: {problem}") from None
    if not isinstance(told, dict):
        raise MalformedInputError(f"configuration file {path}: not an object")
    for variable, key in (("ROUTER_NAME", "name"), ("ROUTER_LISTEN", "listen")):
        if environment.get(variable):
            told[key] = environment[variable]
    check(told)
    told.pop("declared", None)  # not the platform's to set
    if ours:
        from vetchford.configuration import isolated_reader  # a server without such files does without it

        told["declared"] = isolated_reader.read(ours, list(factory.indices(told["settings"])[0]))
    return told


def check(told: dict[str, Any]) -> None:
    name = told.get("name")
    if not isinstance(name, str) or not name or not name.isprintable() or " " in name or not name.isascii():
        raise MalformedInputError("key 'name' must be a word")
    for key in ("listen", "pool", "members"):
        address(told, key)
    records(told)
    try:
        seed(told)
    except (TypeError, ValueError):
        raise MalformedInputError("key 'seed' must be a number in hex digits") from None
    number(told, "stop_ms", 1)
    if not isinstance(told.get("limits"), dict):
        raise MalformedInputError("key 'limits' must be an object")
    number(told["limits"], "sockets", 32, "limits.")
    if not isinstance(told.get("settings"), dict):
        raise MalformedInputError("key 'settings' must be an object")
    wrong = list(platform.problems(told["settings"]))
    if wrong:
        raise MalformedInputError("\n".join(wrong))
    try:
        factory.indices(told["settings"])
        factory.build(Silent(), seed(told), told["settings"], False)
    except (TypeError, AttributeError, ValueError) as problem:
        raise MalformedInputError(f"key 'settings' holds a value of the wrong kind: {problem}") from None


def understood(told: Mapping[str, Any]) -> dict[str, Any]:
    """What on-call staff want to see of it: addresses, limits and the stages by the project's words."""
    settings = told["settings"]
    stages = settings.get("requestClasses") or []
    millis = factory.NS_PER_MS
    return {
        **{key: told[key] for key in ("name", "listen", "pool", "members", "stop_ms", "limits")},
        "records": told.get("records"),
        "cores": (settings.get("familyInfo") or {}).get("cores"),
        **({"declared": told["declared"]} if "declared" in told else {}),
        "tenants": list(factory.indices(settings)[1]),
        "stages": [
            {
                "name": entry.get("name"),
                "effect": factory.EFFECTS[entry["effect"]],
                "due_ms": (entry.get("promise") or entry["deadline"]) / millis,
                "limit_ms": entry["deadline"] / millis,
                "utility": entry.get("worth"),
            }
            for entry in stages
        ],
    }


def seed(told: Mapping[str, Any]) -> int:
    return int(str(told.get("seed")), 16)
