"""Checks that packages import only those listed before them in README."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = ROOT / "tamarackgap"
TOP = "(top)"


def package_map():
    """Returns the modules of each package, in the order of README's table."""
    text = (ROOT / "README.md").read_text()
    rows = re.findall(r"^\| (\(top\)|`\w+/`) \|.*\| (.*) \|$", text, re.M)
    return {
        name.strip("`/"): set(re.findall(r"`(\w+)`", modules))
        for name, modules in rows
    }


def imported_packages(path):
    """Returns the packages of tamarackgap that a file imports from."""
    packages = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split(".")
            if parts[0] == "tamarackgap":
                packages.add(parts[1] if len(parts) > 1 else TOP)
    return packages


def test_packages_import_only_those_before_them():
    names = list(package_map())
    for position, name in enumerate(names):
        if name == TOP:
            continue
        for path in (PACKAGE / name).glob("*.py"):
            later = imported_packages(path) - set(names[: position + 1])
            assert not later, f"{path.relative_to(ROOT)} imports {later}"


def test_the_map_names_every_module():
    for name, modules in package_map().items():
        folder = PACKAGE if name == TOP else PACKAGE / name
        files = {path.stem for path in folder.glob("*.py")}
        assert modules == files - {"__init__", "__main__"}, name


def test_every_package_is_on_the_map():
    packages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert packages == set(package_map()) - {TOP}


def test_scheduling_uses_no_network():
    for path in (PACKAGE / "scheduling").glob("*.py"):
        assert "network" not in imported_packages(path), path.name
