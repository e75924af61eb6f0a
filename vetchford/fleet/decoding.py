"""Decoding of typed messages from decoded JSON, without state."""

from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

MessageT = TypeVar("MessageT", bound=msgspec.Struct)


def read_fields(message_type: type[MessageT], encoded: Mapping[str, Any]) -> MessageT:
    """Return a message with the values that `encoded` has for its fields; ignore other keys.

    Types of values are not checked; a value of a wrong type is refused where it is used. Raises KeyError,
    which names the encoded key, if a field without a default is missing.
    """
    names = message_type.__struct_fields__
    keys = message_type.__struct_encode_fields__
    required_count = len(names) - len(message_type.__struct_defaults__)
    values: dict[str, Any] = {}
    for position, (name, key) in enumerate(zip(names, keys, strict=True)):
        if position < required_count or key in encoded:
            values[name] = encoded[key]
    return message_type(**values)
