"""What the platform's `settings` may hold: each key's kind and least value, checked all in one go.

Keys that are not listed are not ours to judge and pass; so does null, which stands for a key left out.
"""

import json
from collections.abc import Iterator
from typing import Any

from vetchford.admission.factory import EFFECTS

NUMBER, WORD, SWITCH = "a number", "a string", "true or false"
MOST_SHOWN = 60  # characters of a value that was found

SHAPE: dict[str, Any] = {
    "familyInfo": {
        "cores": (NUMBER, 1),
        "ramKb": (NUMBER, 0),
        "blowup": (NUMBER, 0),
        "keyKb": (NUMBER, 0),
        "say": WORD,
        "halt": WORD,
        "below": WORD,
        "callerIdle": (NUMBER, 0),
        "callers": (NUMBER, 0),
        "callsOver": (NUMBER, 0),
        "linger": (NUMBER, 0),
        "depShare": (NUMBER, 0),
        "cold": SWITCH,
        "classSkipWorth": [(NUMBER, 0)],
        "ownStats": [WORD],
    },
    "requestClasses": [
        {
            "name": WORD,
            "effect": tuple(EFFECTS),
            "deadline": (NUMBER, 0),
            "promise": (NUMBER, 0),
            "worth": (NUMBER, 0),
            "lateWorth": (NUMBER, 0),
            "window": (NUMBER, 0),
        }
    ],
    "customers": [{"name": WORD, "quotaPerS": (NUMBER, 0)}],
    "rules": {
        "fallMultiple": (NUMBER, 0),
        "coldFrom": (NUMBER, 0),
        "rampTime": (NUMBER, 0),
        "drainGrace": (NUMBER, 0),
    },
    "goal": {"whole": (NUMBER, 0), "worstWindow": (NUMBER, 0), "worstClass": (NUMBER, 0)},
    "caps": {"retryAfter": SWITCH, "maxRetryAfter": (NUMBER, 0)},
    "valueBy": WORD,
    "servers": (NUMBER, 0),
    "overShareWorth": (NUMBER, 0),
}


def found(value: Any) -> str:
    text = json.dumps(value)
    return text if len(text) <= MOST_SHOWN else text[:MOST_SHOWN] + "..."


def problems(value: Any, shape: Any = None, path: str = "settings") -> Iterator[str]:
    """One line for each value that is not of its kind: the whole path, what is allowed, what was found."""
    shape = SHAPE if shape is None else shape
    if value is None:
        return
    allowed = ""
    if isinstance(shape, dict):
        if isinstance(value, dict):
            for key, inner in shape.items():
                yield from problems(value.get(key), inner, f"{path}.{key}")
            return
        allowed = "an object"
    elif isinstance(shape, list):
        if isinstance(value, list):
            for at, entry in enumerate(value):
                yield from problems(entry, shape[0], f"{path}[{at}]")
            return
        allowed = "an array"
    elif shape == WORD:
        allowed = "" if isinstance(value, str) else WORD
    elif shape == SWITCH:
        allowed = "" if isinstance(value, bool) else SWITCH
    elif shape[0] == NUMBER:
        fine = isinstance(value, int | float) and not isinstance(value, bool) and value >= shape[1]
        allowed = "" if fine else f"{NUMBER} of {shape[1]} or more"
    else:
        allowed = "" if value in shape else f"one of {', '.join(shape)}"
    if allowed:
        yield f"key '{path}' must be {allowed}; found {found(value)}"
