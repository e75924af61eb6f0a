"""The files with decisions are those that the deploy file lists under `policy`, within their size."""

import tomllib

from helpers import ROOT

MOST_LINES = 640  # non-blank lines of all policy files together
WITHOUT_DECISIONS = {
    "__init__",
    "actions",
    "capacity",
    "events",
    "factory",
    "health_state",
    "load_advice_state",
    "part",
    "request",
    "settings",
    "undivided_capacity",
    "workload_state",
}


def policy_files():
    return [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]


def test_the_policy_files_together_have_at_most_640_non_blank_lines():
    lines = [line for path in policy_files() for line in path.read_text().splitlines() if line.strip()]
    assert len(lines) <= MOST_LINES


def test_every_module_of_the_admission_package_is_a_policy_file_or_has_no_decisions():
    modules = {path.stem for path in (ROOT / "vetchford/admission").glob("*.py")}
    listed = {path.stem for path in policy_files()}
    assert modules == listed | WITHOUT_DECISIONS and not listed & WITHOUT_DECISIONS
