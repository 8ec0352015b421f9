"""Checks that each case of review/ renders deploy/settings.ini in full."""

import importlib
import pathlib
import re
import subprocess

import pytest

from tamarackgap.settings import config

ROOT = pathlib.Path(__file__).parent.parent
CASES = sorted(
    (path.parent.name for path in ROOT.glob("review/*/case.py")), key=int
)
# Settings whose fields the sites of most cases don't have.
OPTIONAL = {"cold_overage", "cold_slack"}


class DaemonStartedError(Exception):
    """A case has come as far as its first daemon."""


def play(case, folder, monkeypatch):
    """Plays a case, with its record in a folder of the test."""
    module = importlib.import_module(f"review.{case}.case")
    if hasattr(module, "main"):
        monkeypatch.setattr(module, "_FOLDER", folder)
        module.main()
        return
    record = module.cluster.Record(folder / "case.py")
    vms = module.cluster.Cluster(record)
    try:
        module.play(vms, record)
    finally:
        vms.stop()


def rendered_settings(case, folder, monkeypatch):
    """Returns the settings that a case renders for its first daemon."""
    rendered = []

    def read_settings(arguments, env, **options):
        path = pathlib.Path(env["TAMARACKGAP_NODE_FILE"])
        rendered.append(path.read_text("utf-8"))
        raise DaemonStartedError

    monkeypatch.setattr(subprocess, "Popen", read_settings)
    with pytest.raises(DaemonStartedError):
        play(case, folder, monkeypatch)
    return rendered[0]


def test_cases_are_found():
    assert len(CASES) >= 15


# The first review's cases ended with a KeyError for a field that the template
# had gained, and guarded nothing until that was noticed.
@pytest.mark.parametrize("case", CASES)
def test_each_field_of_the_settings_has_a_value(case, tmp_path, monkeypatch):
    try:
        text = rendered_settings(case, tmp_path, monkeypatch)
    except KeyError as error:
        pytest.fail(f"review/{case} has no value for the field {error}")
    assert re.findall("{{.*", text) == []
    for line in text.splitlines():
        name, equals, value = line.partition(" =")
        if equals and name not in OPTIONAL:
            assert value.strip(), f"review/{case} has no value for {name}"
    settings = tmp_path / "daemon.ini"
    settings.write_text(text)
    assert config.load(settings).unwrap().replaced == ()
