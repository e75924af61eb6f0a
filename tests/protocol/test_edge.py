"""Words of the wire protocols appear as literals in codecs only; all other code uses general terms."""

import ast
import re

import pytest
from helpers import ROOT

CODECS = (
    "vetchford/protocol",
    "vetchford/bench_adapter/simulator_actions.py",
    "vetchford/bench_adapter/simulator_events.py",
)
SETTINGS = """
    aimStretch below blowup callerIdle callers callsOver cancelSeen caps charges classCalls classSkipWorth
    clientHabits cold coldFrom cores cpuUsPerRequest cpuUsPerS customers deadline depShare drainGrace
    fallMultiple familyInfo fullChecks goal halt heeded idempotency_key keyKb lateWorth linger listFollows
    marksRetry maxRetryAfter non_idempotent overShareWorth ownStats passesDeadline promise quantum quotaPerS
    rampTime ramKb read_like requestClasses retryAfter rules say shareFor telemetry valueBy whole window worth
    worstClass worstTenant worstWindow
    core_use heap_share links on_cores
"""
CONFIGURATION = "limits pool seed sockets stop_ms"
REQUESTS = (
    "closing content cpu door giveup item jsonrpc later lb limit method params ram standing team txn unique"
)
WORKER_POOL = """
    bind blocked cancelled chatter chilly complete data gauges hot job n polled ref spawn supply took verified
    verify
"""
RECORDS_AND_REGISTRY = "DONE EMPTY ERROR HB OP OUT PAST UNOP UP WAIT"
SIMULATOR = """
    attach bell call callResult cheap code cutAt decisions ended execute exit fitness goCall happened ingress
    keepFor lapsed memKb metrics notNow notice notifyMe predicted prio prng project queuedFor reapAfter
    recordKey repeats resent share stalledOnCall stamp suspend targetKey terminal time timeTaken type unpin
    validUntil who write
"""
WIRE_WORDS = frozenset(
    " ".join((SETTINGS, CONFIGURATION, REQUESTS, WORKER_POOL, RECORDS_AND_REGISTRY, SIMULATOR)).split()
)
# Words that a package also uses in its own messages or stored data, with another meaning.
WORDS_WITH_OTHER_MEANING = {"bulkheads": {"share"}, "fleet": {"promise", "standing"}}
QUOTED = re.compile(r"'(\w+)'")


def literals(tree):
    """Yield all string and byte literals except docstrings, as text."""
    docstrings = {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")


def wire_words(source):
    """Return the wire words that are whole literals, or quoted in one as error texts name fields."""
    found = set()
    for literal in literals(ast.parse(source)):
        found |= {literal, *QUOTED.findall(literal)} & WIRE_WORDS
    return found


def modules_outside_codecs():
    for path in sorted((ROOT / "vetchford").rglob("*.py")):
        name = path.relative_to(ROOT).as_posix()
        if not name.startswith(CODECS):
            yield name


@pytest.mark.parametrize("name", modules_outside_codecs())
def test_wire_words_are_literals_of_codecs_only(name):
    allowed = WORDS_WITH_OTHER_MEANING.get(name.split("/")[1], set())
    assert wire_words((ROOT / name).read_text()) <= allowed


def test_wire_words_are_found_in_literals_and_not_in_docstrings():
    lines = (
        '"""A docstring names `door` and \'lb\'."""',
        'key = "txn"',
        'line = b"UNOP"',
        "text = f\"field 'team' is {line}\"",
        "other = 'a giveup'",
    )
    assert wire_words("\n".join(lines)) == {"txn", "UNOP", "team"}
