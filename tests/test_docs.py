"""Modules, classes, functions and constants that the developer documentation names exist."""

import ast
import re

import pytest
from helpers import ROOT

PAGES = ("docs/architecture.md", "docs/glossary.md", "docs/on-call.md", "CONTRIBUTING.md", "DEVELOPERS.md")
CODE = re.compile(r"`([^`\n]+)`")
CLASS = re.compile(r"(?:[A-Z][a-z]+){2,}")
PATH = re.compile(r"[\w/]+\.(?:py|vet|toml)")
DECISION = re.compile(r"^\| [\w ,-]+ \| `(?:(\w+)/)?(\w+)\.([\w.]+)`", re.MULTILINE)
NAMES_OF_OTHER_PROJECTS = {"CapacityLimiter", "BrokenResourceError", "util/retry.py"}
CONSTANT = re.compile(r"^\| `([\w.]+)\.(\w+)`", re.MULTILINE)
FOLDERS = ("", "vetchford", "docs")


def code_spans(page):
    return CODE.findall((ROOT / page).read_text())


@pytest.fixture(scope="module")
def classes():
    trees = (ast.parse(path.read_text()) for path in (ROOT / "vetchford").rglob("*.py"))
    return {node.name for tree in trees for node in ast.walk(tree) if isinstance(node, ast.ClassDef)}


@pytest.mark.parametrize("page", PAGES)
def test_classes_that_a_page_names_exist(page, classes):
    named = {
        name for text in code_spans(page) for name in CLASS.findall(text.split("(")[0]) if text[0].isupper()
    }
    assert named - NAMES_OF_OTHER_PROJECTS <= classes


@pytest.mark.parametrize("page", PAGES)
def test_modules_that_a_page_names_exist(page):
    named = [text for text in code_spans(page) if PATH.fullmatch(text) and "/" in text]
    missing = [path for path in named if not any((ROOT / folder / path).exists() for folder in FOLDERS)]
    assert set(missing) <= NAMES_OF_OTHER_PROJECTS


def test_each_rule_in_the_table_of_decisions_is_a_function():
    rows = DECISION.findall((ROOT / "docs/architecture.md").read_text())
    assert len(rows) > 40 and any(package for package, _, _ in rows)
    for package, module, name in rows:
        scope = ast.parse((ROOT / "vetchford" / (package or "admission") / f"{module}.py").read_text())
        for part in name.split("."):
            found = [node for node in scope.body if getattr(node, "name", None) == part]
            assert found, f"{module}.{name}"
            scope = found[0]
        assert isinstance(scope, ast.FunctionDef), f"{module}.{name}"


def test_each_constant_of_the_capacity_page_exists():
    names = CONSTANT.findall((ROOT / "docs/capacity.md").read_text())
    assert len(names) > 100
    for module, name in names:
        tree = ast.parse((ROOT / f"vetchford/{module.replace('.', '/')}.py").read_text())
        scope = tree.body + [
            part for node in tree.body if isinstance(node, ast.ClassDef) for part in node.body
        ]
        targets = [target for node in scope if isinstance(node, ast.Assign) for target in node.targets]
        assert name in {getattr(target, "id", None) for target in targets}, f"{module}.{name}"
