"""Tests the commands; those that use the table run against a stand-in."""

import json
import threading

import pytest
from click import testing

from standins import httpd, ports
from standins import platform as platform_lib
from tamarackgap.commands import cmdline
from tamarackgap.placement import records

VALID = """
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


def run(*arguments):
    return testing.CliRunner().invoke(cmdline.cli, list(arguments))


@pytest.fixture
def platform():
    simulated = platform_lib.Platform()
    address = f"127.0.0.1:{ports.find_free_ports(1, first=17000, last=18000)}"
    server = httpd.serve(address, simulated.handle_request)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    create_service = records.Transaction(
        "f",
        (),
        (
            records.Write(
                "founded/seats", records.encode(records.ServiceRecord(256))
            ),
        ),
    )
    simulated.table.commit(create_service)
    simulated.address = address
    yield simulated
    server.shutdown()
    server.server_close()


def test_valid_settings_are_printed(tmp_path):
    path = tmp_path / "d.ini"
    path.write_text(VALID)
    result = run("check-config", "--config", str(path), "--json")
    assert result.exit_code == 0
    assert json.loads(result.stdout)["daemon_name"] == "seats-0"


@pytest.mark.parametrize("command", ["check-config", "daemon", "debug"])
def test_invalid_settings_are_reported_in_one_line(tmp_path, command):
    path = tmp_path / "d.ini"
    path.write_text(VALID + "[ownership]\nlease = 7\n")
    result = run(command, "--config", str(path))
    assert result.exit_code == 2
    assert result.stderr.count("\n") == 1
    assert "[ownership] lease = 7: expected whole number" in result.stderr


def test_debug_lists_libraries():
    environment = json.loads(run("debug", "--json").stdout)
    assert environment["libraries"]["circuits"] != "missing"


def test_help_lists_exit_codes():
    assert (
        "somebody else edited the row" in run("table", "set", "--help").output
    )


def test_edit_is_accepted_and_recorded_in_history(platform):
    table_option = ("--table", platform.address)
    result = run(
        "table",
        "set",
        "seats",
        "north",
        "weight=50",
        *table_option,
        "--who",
        "ana",
    )
    assert result.exit_code == 0
    assert "accepted as version 2; in force at 0 of 0" in result.stdout
    (line,) = json.loads(run("table", "show", *table_option, "--json").stdout)
    assert (line["weight"], line["version"]) == (50, 2)
    history = run("table", "history", *table_option).stdout
    assert "ana policy/seats/north: (no row) -> weight=50" in history


@pytest.mark.parametrize("columns", [["weight=1001"], ["wait=1"], []])
def test_invalid_columns_are_refused(platform, columns):
    result = run(
        "table", "set", "seats", "north", *columns, "--table", platform.address
    )
    assert result.exit_code == 2
    assert result.stderr.count("\n") == 1
    assert platform.table.writes == 1


def test_unknown_service_is_refused(platform):
    table_option = ("--table", platform.address)
    result = run("table", "set", "saets", "north", "weight=1", *table_option)
    assert result.exit_code == 2
    assert "saets: no such service" in result.stderr


def test_edit_of_outdated_version_is_refused(platform):
    table_option = ("--table", platform.address)
    base = ("table", "set", "seats", "north")
    assert (
        run(*base, "weight=5", *table_option, "--version", "0").exit_code == 0
    )
    result = run(*base, "weight=6", *table_option, "--version", "0")
    assert result.exit_code == 3
    assert "is at version 2, not 0" in result.stderr


def test_edit_with_lost_answer_is_applied_once(platform):
    platform.faults.lose_answers = 1.0
    timer = threading.Timer(
        0.5, lambda: setattr(platform.faults, "lose_answers", 0.0)
    )
    timer.start()
    table_option = ("--table", platform.address)
    result = run("table", "set", "seats", "north", "weight=5", *table_option)
    timer.join()
    assert result.exit_code == 0
    history = json.loads(
        run("table", "history", *table_option, "--json").stdout
    )
    assert len(history) == 1


def test_unreachable_table_is_reported(platform):
    platform.faults.down = True
    result = run("table", "show", "--table", platform.address)
    assert result.exit_code == 4
    assert result.stderr.count("\n") == 1


def test_unreachable_daemon_is_reported():
    result = run("status", "--daemon", "127.0.0.1:1")
    assert result.exit_code == 4


def test_lost_closes_lease_only_after_confirmation(platform):
    record = records.LeaseRecord(
        "seats", "seats-9", "i9", "north", "127.0.0.1:1", "127.0.0.1:2"
    )
    platform.table.commit(
        records.Transaction(
            "l", (), (records.Write(record.key, records.encode(record)),)
        )
    )
    table_option = ("--table", platform.address)
    unconfirmed = testing.CliRunner().invoke(
        cmdline.cli, ["lost", "seats-9", *table_option], input="n\n"
    )
    assert unconfirmed.exit_code == 1
    assert run("lost", "seats-9", *table_option, "--yes").exit_code == 0
    row = next(
        row for row in platform.table.rows_since(0)[1] if row.key == record.key
    )
    assert row.value is None
    assert run("lost", "seats-9", *table_option, "--yes").exit_code == 1
