"""Rules of style that the linter has no check for."""

import ast

import pytest
from helpers import ROOT

MODULES = sorted(path.relative_to(ROOT).as_posix() for path in (ROOT / "vetchford").rglob("*.py"))


def tuple_assignments(tree):
    """Yield the lines of assignments such as `a, b = 1, 2`, which assign several values at once."""
    for node in ast.walk(tree):
        assigns_tuple = isinstance(node, ast.Assign) and isinstance(node.value, ast.Tuple)
        if assigns_tuple and any(isinstance(target, ast.Tuple) for target in node.targets):
            yield node.lineno


@pytest.mark.parametrize("module", MODULES)
def test_a_module_assigns_one_value_per_statement(module):
    assert list(tuple_assignments(ast.parse((ROOT / module).read_text()))) == []
