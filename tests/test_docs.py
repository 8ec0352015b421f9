"""Checks that the documents match the program."""

import pathlib
import re

import pytest
from returns import result

from bench import journal
from tamarackgap.commands import cmdline
from tamarackgap.settings import config, options

DOCS = [pathlib.Path("README.md"), pathlib.Path("docs/operators.md")]


@pytest.mark.parametrize("path", DOCS, ids=str)
def test_every_ini_block_is_valid(tmp_path, path):
    blocks = re.findall(r"```ini\n(.*?)```", path.read_text(), re.S)
    assert blocks
    for number, block in enumerate(blocks):
        file = tmp_path / f"{number}.ini"
        file.write_text(block)
        assert isinstance(config.load(file), result.Success)


def test_every_setting_is_listed_with_its_default():
    text = pathlib.Path("docs/operators.md").read_text()
    for option in options.OPTIONS:
        default = option.default
        shown = "must be given" if default is None else default
        unit = option.unit or option.kind.value
        line = f"| `{option.section}.{option.name}` | {unit} | {shown} |"
        assert line in text


def test_every_command_is_listed():
    text = pathlib.Path("docs/operators.md").read_text()
    for name, command in cmdline.cli.commands.items():
        subcommands = getattr(command, "commands", None)
        paths = (
            [f"{name} {sub}" for sub in subcommands] if subcommands else [name]
        )
        for path in paths:
            assert f"| `{path} " in text


def test_every_log_event_is_listed():
    text = pathlib.Path("docs/operators.md").read_text()
    for path in pathlib.Path("tamarackgap").rglob("*.py"):
        calls = r"(?:logs\.(?:request_)?event|outbox\.log)\(\s*\"(\w+)\""
        for event in re.findall(calls, path.read_text()):
            assert f"`{event}`" in text, event


def test_the_table_of_days_matches_the_journal():
    note = journal.NOTE.read_text()
    assert (
        journal.insert_table(note, journal.render_table(journal.load_entries()))
        == note
    )


def test_the_module_map_matches_the_tree():
    text = pathlib.Path("README.md").read_text()
    for path in pathlib.Path("tamarackgap").rglob("*.py"):
        if not path.stem.startswith("__"):
            assert f"`{path.stem}`" in text, path.stem
