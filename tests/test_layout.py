"""Dependencies between packages go one way, as README's map says."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = ROOT / "tamarackgap"
TOP = "(top)"


def order():
    """Returns README's packages in their order, with their modules."""
    text = (ROOT / "README.md").read_text()
    rows = re.findall(r"^\| (\(top\)|`\w+/`) \|.*\| (.*) \|$", text, re.M)
    return {
        name.strip("`/"): set(re.findall(r"`(\w+)`", modules))
        for name, modules in rows
    }


def used(path):
    """Returns the packages that a file imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split(".")
            if parts[0] == "tamarackgap":
                found.add(parts[1] if len(parts) > 1 else TOP)
    return found


def test_packages_use_only_those_before_them():
    names = list(order())
    for place, name in enumerate(names):
        if name == TOP:
            continue
        for path in (PACKAGE / name).glob("*.py"):
            later = used(path) - set(names[: place + 1])
            assert not later, f"{path.relative_to(ROOT)} uses {later}"


def test_the_map_names_every_module():
    for name, modules in order().items():
        folder = PACKAGE if name == TOP else PACKAGE / name
        there = {path.stem for path in folder.glob("*.py")}
        assert modules == there - {"__init__", "__main__"}, name


def test_every_package_is_on_the_map():
    there = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert there == set(order()) - {TOP}
