"""Checks that `docs/capacity.md` has a row for each constant of the admission decisions."""

import ast

from helpers import ROOT

TABLE = ROOT / "docs/capacity.md"
WITHOUT_CONSTANTS = {"actions", "capacity", "events", "factory", "rejection", "settings"}
"""Modules without constants that decide anything."""


def constants():
    """Yield the dotted names of the module constants that are not tuples."""
    for path in sorted((ROOT / "vetchford/admission").glob("*.py")):
        if path.stem in WITHOUT_CONSTANTS:
            continue
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.Assign) and not isinstance(node.value, ast.Tuple):
                yield f"admission.{path.stem}.{node.targets[0].id}"


def rows():
    lines = [line for line in TABLE.read_text().splitlines() if line.startswith("| `admission.")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


def test_each_constant_of_admission_has_one_row_with_value_bound_and_evidence():
    names = [row[0].strip("`") for row in rows()]
    assert sorted(names) == sorted(constants())
    for row in rows():
        assert len(row) == 7, row[0]
        assert row[1] and row[3] and row[4], row[0]


def test_the_values_of_the_table_are_those_of_the_code():
    for name, value, *_ in rows():
        module, constant = name.strip("`").rsplit(".", 1)
        path = ROOT / "vetchford" / f"{module.replace('.', '/')}.py"
        assigned = {
            node.targets[0].id: node.value
            for node in ast.parse(path.read_text()).body
            if isinstance(node, ast.Assign)
        }
        code_value = eval(compile(ast.Expression(assigned[constant]), name, "eval"))
        assert code_value == eval(value.replace(",", "")), name
