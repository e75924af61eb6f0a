"""KNOWN-RED.txt, the list of failures that CI passes over: its entries are complete, and its tests exist."""

import subprocess
import sys

import pytest
from helpers import ROOT

from scripts import known_red

ENTRY = """\
tests/server/test_server.py::test_name
  command: scripts/test X, seed 3
  seen: 2 of 9 runs
  issue: 7
"""


def test_an_entry_has_a_name_and_three_fields():
    entries = known_red.parse(
        f"{ENTRY}\npython -m benchmarks.subsets --quick\n  command: -\n  seen: x\n  issue: 8\n"
    )
    assert [entry.name.split()[0] for entry in entries] == [
        "tests/server/test_server.py::test_name",
        "python",
    ]
    assert [entry.is_test for entry in entries] == [True, False]
    assert entries[0].fields == {"command": "scripts/test X, seed 3", "seen": "2 of 9 runs", "issue": "7"}


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        (ENTRY.replace("  issue: 7\n", ""), "no issue"),
        (ENTRY.replace("  seen: 2 of 9 runs\n", "  seen:\n"), "no seen"),
        (ENTRY.replace("issue:", "ticket:"), "unknown field 'ticket'"),
        ("  command: without a test\n", "unknown field"),
    ],
)
def test_an_incomplete_entry_is_refused(text, problem):
    with pytest.raises(known_red.MalformedEntryError, match=problem):
        known_red.parse(text)


def test_each_listed_test_exists():
    names = [entry.name for entry in known_red.read() if entry.is_test]
    if not names:
        return
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "-q", *names],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stdout[-2000:]
