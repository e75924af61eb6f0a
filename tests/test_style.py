"""Rules of style that the linter has no check for."""

import ast

import pytest
from helpers import ROOT

MODULES = sorted(path.relative_to(ROOT).as_posix() for path in (ROOT / "vetchford").rglob("*.py"))


def assignments_of_several(tree):
    """Lines such as `a, b = 1, 2`, which do two steps in one."""
    for node in ast.walk(tree):
        several = isinstance(node, ast.Assign) and isinstance(node.value, ast.Tuple)
        if several and any(isinstance(target, ast.Tuple) for target in node.targets):
            yield node.lineno


@pytest.mark.parametrize("module", MODULES)
def test_one_assignment_a_line(module):
    assert list(assignments_of_several(ast.parse((ROOT / module).read_text()))) == []
