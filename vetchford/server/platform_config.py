"""Reads the configuration of one server from the platform's file, the environment and settings files."""

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from vetchford.admission import factory
from vetchford.errors import MalformedInputError
from vetchford.protocol import platform_configuration
from vetchford.protocol.platform_configuration import (
    LISTEN_KEY,
    NAME_KEY,
    DeclaredSettings,
    ServerConfiguration,
)

FILE_VARIABLE = "ROUTER_CONFIG"
ENVIRONMENT_OVERRIDES = {"ROUTER_NAME": NAME_KEY, "ROUTER_LISTEN": LISTEN_KEY}
"""Environment variables that override keys of the configuration file."""


class NoActions:
    """Actions of an admission controller that do nothing, used to validate settings."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Return an action that does nothing."""
        return lambda *arguments: None


def load(
    environment: Mapping[str, str] = os.environ,
    path: str | None = None,
    settings_paths: list[str] | None = None,
) -> ServerConfiguration:
    """Return the configuration from the platform's file, the environment and the settings files.

    `path` takes precedence over the environment's ROUTER_CONFIG; `settings_paths` are the settings files.

    Raises:
        MalformedInputError: A file can't be read, or keys are invalid; the message has a line for each fault.
    """
    path = path or environment.get(FILE_VARIABLE)
    if not path:
        raise MalformedInputError(f"no configuration file given: use --config or set {FILE_VARIABLE}")
    document = read_file(path)
    for variable, key in ENVIRONMENT_OVERRIDES.items():
        if environment.get(variable):
            document[key] = environment[variable]
    configuration = decode(document)
    if not settings_paths:
        return configuration
    from vetchford.configuration import isolated_reader  # not imported by a server without settings files

    request_classes = list(configuration.settings.class_indices())
    return replace(
        configuration, declared=DeclaredSettings(isolated_reader.read(settings_paths, request_classes))
    )


def read_file(path: str) -> dict[str, Any]:
    """Return the contents of a configuration file, unchecked.

    Raises:
        MalformedInputError: The file can't be read, or does not contain a JSON object.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise MalformedInputError(f"configuration file {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:  # RecursionError: brackets nested too deeply
        raise MalformedInputError(f"configuration file {path}: not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise MalformedInputError(f"configuration file {path}: expected a JSON object")
    return document


def decode(document: dict[str, Any]) -> ServerConfiguration:
    """Return the configuration from the contents of a configuration file.

    Raises:
        MalformedInputError: A key is invalid, or no admission controller can be built from the settings.
    """
    configuration = platform_configuration.decode(document)
    settings = configuration.settings
    try:
        settings.class_indices()
        settings.tenant_indices()
        settings.gauge_indices()
        factory.build(NoActions(), configuration.seed, settings, False)
    except (TypeError, AttributeError, ValueError) as error:
        raise platform_configuration.unusable_settings_error(error) from None
    return configuration
