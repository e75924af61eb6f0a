"""Checked access to the fields of the simulator's events."""

from typing import Any

from vetchford.errors import MalformedInputError

Event = dict[str, Any]


def require(event: Event, key: str, kinds: type | tuple[type, ...]) -> Any:
    """The field's value; a boolean is none of the other kinds.

    Raises:
        MalformedInputError: The field is missing or of another kind.
    """
    value = event.get(key)
    if not isinstance(value, kinds) or (isinstance(value, bool) and kinds is not bool):
        raise MalformedInputError(
            f"{event.get('t', 'message')}: field '{key}' is missing or of the wrong kind"
        )
    return value
