"""Decodes the platform's configuration of one server into a typed record, checking each key.

Only this module knows the names of its keys; those inside `settings` belong to `platform_settings`.
"""

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from vetchford.admission.settings import ServerSettings
from vetchford.errors import MalformedInputError
from vetchford.protocol import platform_settings

JsonObject = dict[str, Any]

NAME_KEY = "name"
LISTEN_KEY = "listen"
WORKER_POOL_KEY = "pool"
RECORDS_KEY = "records"
REGISTRY_KEY = "members"
SEED_KEY = "seed"
STOP_MS_KEY = "stop_ms"
LIMITS_KEY = "limits"
SOCKETS_KEY = "sockets"
SETTINGS_KEY = "settings"
SUMMARY_KEYS = (NAME_KEY, LISTEN_KEY, WORKER_POOL_KEY, REGISTRY_KEY, STOP_MS_KEY, LIMITS_KEY)

HEXADECIMAL = 16
MIN_STOP_MS = 1
MIN_SOCKETS = 32
MAX_NUMBER = 1e12
MAX_PORT = 65_535


class WrongKeyError(MalformedInputError):
    """A key of the configuration is missing or invalid."""

    def __init__(self, key: str, allowed: str) -> None:
        """Create the error; `key` is the full path of the key, `allowed` describes its valid values."""
        super().__init__(f"key '{key}' must be {allowed}")
        self.key = key
        self.allowed = allowed


class Address(NamedTuple):
    """The address of a service, or an address to listen on."""

    host: str
    """An IP address."""
    port: int

    def __str__(self) -> str:
        """Return the address as it is written in the configuration."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class DeclaredSettings:
    """What the settings files given by --with declare for a server; see `vetchford.configuration.records`."""

    document: JsonObject = field(default_factory=dict)
    """The content of the files; empty if no file was given."""

    @property
    def fleet(self) -> JsonObject | None:
        """Settings of the server as a member of its fleet; None for a server without a fleet."""
        return self.document.get("together") or None

    @property
    def bulkheads(self) -> str | Mapping[str, Any] | None:
        """Settings of the bulkheads; None if the capacity is not divided."""
        bulkheads = self.document.get("pools")
        return None if bulkheads == "none" else bulkheads or None


@dataclass(frozen=True, slots=True)
class ServerConfiguration:
    """The configuration of one server, read at its start and at each reload."""

    name: str
    """The name of the server in the registry."""
    listen: Address
    worker_pool: Address
    records: Address | None
    """None if requests make no dependency calls and no records service is configured."""
    registry: Address
    seed: int
    """Seed of all random choices."""
    stop_ms: float
    """Time from the termination notice to the kill."""
    max_descriptors: int
    """Maximum number of open file descriptors of the process."""
    settings: ServerSettings
    document: JsonObject
    """The undecoded configuration, for `summary` and for comparison at a reload."""
    declared: DeclaredSettings = DeclaredSettings()

    def summary(self) -> JsonObject:
        """Return the values that `vetchford settings` prints."""
        settings = self.document[SETTINGS_KEY]
        declared = {"declared": self.declared.document} if self.declared.document else {}
        return {
            **{key: self.document[key] for key in SUMMARY_KEYS},
            RECORDS_KEY: self.document.get(RECORDS_KEY),
            "cores": platform_settings.cores(settings),
            **declared,
            **platform_settings.summary(settings),
        }


def decode(document: JsonObject) -> ServerConfiguration:
    """Return the configuration as a typed record.

    Raises:
        MalformedInputError: A key is missing or invalid. The message lists all invalid keys of `settings`.
    """
    _check_name(document.get(NAME_KEY))
    listen = _address(document, LISTEN_KEY)
    worker_pool = _address(document, WORKER_POOL_KEY)
    registry = _address(document, REGISTRY_KEY)
    records = _records_address(document)
    seed = _seed(document)
    stop_ms = _number(document, STOP_MS_KEY, MIN_STOP_MS)
    limits = _object(document, LIMITS_KEY)
    max_descriptors = _number(limits, SOCKETS_KEY, MIN_SOCKETS, f"{LIMITS_KEY}.")
    settings = _object(document, SETTINGS_KEY)
    return ServerConfiguration(
        name=document[NAME_KEY],
        listen=listen,
        worker_pool=worker_pool,
        records=records,
        registry=registry,
        seed=seed,
        stop_ms=stop_ms,
        max_descriptors=int(max_descriptors),
        settings=_settings(settings),
        document=document,
    )


def _check_name(name: Any) -> None:
    """Raise MalformedInputError unless the name is printable ASCII without spaces."""
    if not isinstance(name, str) or not name or not name.isprintable() or " " in name or not name.isascii():
        raise WrongKeyError(NAME_KEY, "a string of printable ASCII characters without spaces")


def _address(document: JsonObject, key: str) -> Address:
    host, _, port = str(document.get(key) or "").rpartition(":")
    try:
        ipaddress.ip_address(host)
        if not 0 <= int(port) <= MAX_PORT:
            raise ValueError
    except ValueError:
        raise WrongKeyError(key, "an IP address and a port, such as 127.0.0.1:8080") from None
    return Address(host, int(port))


def _records_address(document: JsonObject) -> Address | None:
    """Return the address of the records service; None if there are no dependency calls and no address."""
    if document.get(RECORDS_KEY) or platform_settings.has_dependency(document.get(SETTINGS_KEY)):
        return _address(document, RECORDS_KEY)
    return None


def _seed(document: JsonObject) -> int:
    try:
        return int(str(document.get(SEED_KEY)), HEXADECIMAL)
    except ValueError:
        raise WrongKeyError(SEED_KEY, "a hexadecimal number") from None


def _object(document: JsonObject, key: str) -> JsonObject:
    value = document.get(key)
    if not isinstance(value, dict):
        raise WrongKeyError(key, "an object")
    return value


def _number(values: JsonObject, key: str, minimum: float, prefix: str = "") -> float:
    value = values.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < MAX_NUMBER:
        raise WrongKeyError(f"{prefix}{key}", f"a number of {minimum:g} or more")
    return float(value)


def _settings(settings: JsonObject) -> ServerSettings:
    platform_settings.check(settings)
    try:
        return platform_settings.decode(settings)
    except (TypeError, AttributeError, ValueError) as problem:
        raise unusable_settings_error(problem) from None


def unusable_settings_error(problem: Exception) -> MalformedInputError:
    """Return the error for settings that pass all checks of single values but can't be used."""
    return MalformedInputError(f"key '{SETTINGS_KEY}' holds a value of the wrong type: {problem}")
