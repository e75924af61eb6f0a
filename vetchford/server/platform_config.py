"""Where the configuration of one server comes from: its file, the environment and our own settings files."""

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from vetchford.admission import factory
from vetchford.errors import MalformedInputError
from vetchford.protocol import platform_configuration
from vetchford.protocol.platform_configuration import LISTEN_KEY, NAME_KEY, OwnSettings, ServerConfiguration

FILE_VARIABLE = "ROUTER_CONFIG"
OVERRIDES = {"ROUTER_NAME": NAME_KEY, "ROUTER_LISTEN": LISTEN_KEY}
"""Keys of the configuration that a variable of the environment goes before."""


class NoActions:
    """Actions of an admission controller that do nothing, to try settings with."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Return an action that does nothing."""
        return lambda *arguments: None


def load(
    environment: Mapping[str, str] = os.environ, path: str | None = None, own_paths: list[str] | None = None
) -> ServerConfiguration:
    """Return what the configuration file, the environment and our own settings files say.

    `path` goes before the environment's ROUTER_CONFIG; `own_paths` are files of our own settings.

    Raises:
        MalformedInputError: A file can't be read, or a key is wrong: a line for each.
    """
    path = path or environment.get(FILE_VARIABLE)
    if not path:
        raise MalformedInputError(f"{FILE_VARIABLE} names no configuration file")
    document = read_file(path)
    for variable, key in OVERRIDES.items():
        if environment.get(variable):
            document[key] = environment[variable]
    configuration = decode(document)
    if not own_paths:
        return configuration
    from vetchford.configuration import isolated_reader  # a server without such files does without it

    request_classes = list(configuration.settings.class_indices())
    return replace(configuration, own=OwnSettings(isolated_reader.read(own_paths, request_classes)))


def read_file(path: str) -> dict[str, Any]:
    """Return what a configuration file holds, unchecked.

    Raises:
        MalformedInputError: It can't be read, or holds no JSON object.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as problem:
        raise MalformedInputError(f"configuration file {path}: {problem.strerror}") from None
    except (ValueError, RecursionError) as problem:  # the second: brackets in brackets without end
        raise MalformedInputError(f"configuration file {path}: no JSON: {problem}") from None
    if not isinstance(document, dict):
        raise MalformedInputError(f"configuration file {path}: not an object")
    return document


def decode(document: dict[str, Any]) -> ServerConfiguration:
    """Return the configuration that a document holds.

    Raises:
        MalformedInputError: A key is wrong, or no admission controller can be built from the settings.
    """
    configuration = platform_configuration.decode(document)
    settings = configuration.settings
    try:
        settings.class_indices()
        settings.tenant_indices()
        settings.gauge_indices()
        factory.build(NoActions(), configuration.seed, settings, False)
    except (TypeError, AttributeError, ValueError) as problem:
        raise platform_configuration.unusable_settings(problem) from None
    return configuration
