"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def _listed():
    if not KNOWN_RED.exists():
        return set()
    prefix = "test:"
    return {
        line[len(prefix) :].strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(prefix)
    }


def pytest_collection_modifyitems(items):
    listed = _listed()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(
                pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            )


def pytest_terminal_summary(terminalreporter):
    for name in sorted(_listed()):
        terminalreporter.write_line(f"known red, passed over: {name}")
