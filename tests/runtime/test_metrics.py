"""Counters and invariants."""

import subprocess
import sys

import pytest
from helpers import ROOT

from vetchford.runtime.metrics import Metrics


def test_invariants_are_asserted_in_debug_builds_and_counted_in_release_builds():
    with pytest.raises(AssertionError):
        Metrics().check_invariant(False, "one_answer")
    program = (
        "from vetchford.runtime.metrics import Metrics\nm = Metrics()\n"
        "m.check_invariant(False, 'one_answer')\nprint(m.by_name)"
    )
    result = subprocess.run([sys.executable, "-O", "-c", program], capture_output=True, text=True, cwd=ROOT)
    assert "'must_hold_broken': 1" in result.stdout
