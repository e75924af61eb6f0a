"""Checks that `deploy/balancer.toml` lists each module that makes decisions under `policy`."""

import tomllib

from helpers import ROOT

MODULES_WITHOUT_DECISIONS = {
    "__init__",
    "actions",
    "capacity",
    "events",
    "factory",
    "rejection",
    "request",
    "settings",
}


def policy_files():
    return [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]


def test_every_module_of_the_admission_package_is_a_policy_file_or_has_no_decisions():
    modules = {path.stem for path in (ROOT / "vetchford/admission").glob("*.py")}
    listed = {path.stem for path in policy_files()}
    assert modules == listed | MODULES_WITHOUT_DECISIONS and not listed & MODULES_WITHOUT_DECISIONS
