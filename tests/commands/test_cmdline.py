"""The command line, against a running deployment and without one."""

import json
import threading

import pytest
from click import testing

from standins import httpd, ports
from standins import platform as platform_lib
from tamarackgap.commands import cmdline
from tamarackgap.placement import records

GOOD = """
[daemon]
deployment = small
name = seats-0
service = seats
data_centre = north
http_address = 127.0.0.1:8000
peer_address = 127.0.0.1:8001
[table]
address = 127.0.0.1:9000
"""


def run(*words):
    return testing.CliRunner().invoke(cmdline.cli, list(words))


@pytest.fixture
def platform():
    found = platform_lib.Platform()
    address = f"127.0.0.1:{ports.free_ports(1, first=33000, last=34000)}"
    server = httpd.serve(address, found.handle_request)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    founding = records.Transaction(
        "f",
        (),
        (
            records.Write(
                "founded/seats", records.encode(records.ServiceRecord(256))
            ),
        ),
    )
    found.table.commit(founding)
    found.address = address
    yield found
    server.shutdown()
    server.server_close()


def test_good_settings_are_printed(tmp_path):
    path = tmp_path / "d.ini"
    path.write_text(GOOD)
    found = run("check-config", "--config", str(path), "--json")
    assert found.exit_code == 0
    assert json.loads(found.stdout)["daemon_name"] == "seats-0"


@pytest.mark.parametrize("command", ["check-config", "daemon", "debug"])
def test_bad_settings_end_a_command_with_one_line(tmp_path, command):
    path = tmp_path / "d.ini"
    path.write_text(GOOD + "[ownership]\nlease = 7\n")
    found = run(command, "--config", str(path))
    assert found.exit_code == 2
    assert found.stderr.count("\n") == 1
    assert "[ownership] lease = 7: expected whole number" in found.stderr


def test_debug_names_libraries():
    found = json.loads(run("debug", "--json").stdout)
    assert found["libraries"]["circuits"] != "missing"


def test_help_lists_exit_codes():
    assert (
        "somebody else edited the row" in run("table", "set", "--help").output
    )


def test_an_edit_is_accepted_and_shown_with_its_history(platform):
    where = ("--table", platform.address)
    found = run(
        "table", "set", "seats", "north", "weight=50", *where, "--who", "ana"
    )
    assert found.exit_code == 0
    assert "accepted as version 2; in force at 0 of 0" in found.stdout
    (line,) = json.loads(run("table", "show", *where, "--json").stdout)
    assert (line["weight"], line["version"]) == (50, 2)
    history = run("table", "history", *where).stdout
    assert "ana policy/seats/north: (no row) -> weight=50" in history


@pytest.mark.parametrize("columns", [["weight=1001"], ["wait=1"], []])
def test_a_row_out_of_range_is_refused(platform, columns):
    found = run(
        "table", "set", "seats", "north", *columns, "--table", platform.address
    )
    assert found.exit_code == 2
    assert found.stderr.count("\n") == 1
    assert platform.table.writes == 1


def test_an_unknown_service_is_refused(platform):
    where = ("--table", platform.address)
    found = run("table", "set", "saets", "north", "weight=1", *where)
    assert found.exit_code == 2
    assert "saets: no such service" in found.stderr


def test_an_edit_on_an_old_version_is_refused(platform):
    where = ("--table", platform.address)
    base = ("table", "set", "seats", "north")
    assert run(*base, "weight=5", *where, "--version", "0").exit_code == 0
    found = run(*base, "weight=6", *where, "--version", "0")
    assert found.exit_code == 3
    assert "is at version 2, not 0" in found.stderr


def test_an_edit_whose_answer_is_lost_is_made_once(platform):
    platform.faults.lose_answers = 1.0
    timer = threading.Timer(
        0.5, lambda: setattr(platform.faults, "lose_answers", 0.0)
    )
    timer.start()
    where = ("--table", platform.address)
    found = run("table", "set", "seats", "north", "weight=5", *where)
    timer.join()
    assert found.exit_code == 0
    history = json.loads(run("table", "history", *where, "--json").stdout)
    assert len(history) == 1


def test_a_table_that_is_down_is_said(platform):
    platform.faults.down = True
    found = run("table", "show", "--table", platform.address)
    assert found.exit_code == 4
    assert found.stderr.count("\n") == 1


def test_a_daemon_that_is_down_is_said():
    found = run("status", "--daemon", "127.0.0.1:1")
    assert found.exit_code == 4


def test_lost_closes_a_lease_only_when_confirmed(platform):
    record = records.LeaseRecord(
        "seats", "seats-9", "i9", "north", "127.0.0.1:1", "127.0.0.1:2"
    )
    platform.table.commit(
        records.Transaction(
            "l", (), (records.Write(record.key, records.encode(record)),)
        )
    )
    where = ("--table", platform.address)
    unsure = testing.CliRunner().invoke(
        cmdline.cli, ["lost", "seats-9", *where], input="n\n"
    )
    assert unsure.exit_code == 1
    assert run("lost", "seats-9", *where, "--yes").exit_code == 0
    row = next(
        r for r in platform.table.rows_since(0)[1] if r.key == record.key
    )
    assert row.value is None
    assert run("lost", "seats-9", *where, "--yes").exit_code == 1
