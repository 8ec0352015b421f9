import pathlib
import re

import msgspec
import pytest
from returns import result

from tamarackgap.settings import config, options

VALID = """
[daemon]
deployment = association
name = seats-0
service = seats
data_centre = meseta-1
http_address = 127.0.0.1:8000
peer_address = 127.0.0.1:8001
[table]
address = 127.0.0.1:9000
"""


def load(tmp_path, text):
    path = tmp_path / "daemon.ini"
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    return config.load(path)


def test_missing_settings_have_defaults(tmp_path):
    settings = load(tmp_path, VALID).unwrap()
    assert settings.ownership_lease == 600
    assert settings.table_address == "127.0.0.1:9000"


def test_options_match_fields_of_config():
    fields = [field.name for field in msgspec.structs.fields(config.Config)]
    settings = [option.field for option in options.OPTIONS]
    assert fields == [*settings, "replaced"]


INVALID = [
    ("[ownership]\nlease = 5\n", "[ownership] lease = 5: expected whole"),
    ("[ownership]\nlease = soon\n", "lease = soon: expected whole number"),
    ("[ownership]\nslots = 100\n", "slots = 100: expected a power of two"),
    ("[ownership]\nwitnesses = 2\n", "witnesses = 2: expected an odd number"),
    ("[ownership]\nleese = 5\n", "[ownership] leese = 5: no such setting"),
    ("[daemons]\nname = a\n", "[daemons] name = a: no such setting"),
]


@pytest.mark.parametrize(("extra", "expected"), INVALID)
def test_invalid_setting_is_reported_in_one_line(tmp_path, extra, expected):
    problem = load(tmp_path, VALID + extra).failure()
    assert expected in problem
    assert "daemon.ini" in problem
    assert "\n" not in problem


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("name = seats-0\n", "", "[daemon] name is missing"),
        ("seats-0", "no spaces", "name = no spaces: expected name of"),
        ("127.0.0.1:9000", "localhost:9000", "expected ip:port"),
        ("127.0.0.1:9000", "127.0.0.1:99999", "expected ip:port"),
        ("127.0.0.1:8001", "127.0.0.1:8000", "expected another address"),
    ],
)
def test_invalid_value_is_reported(tmp_path, old, new, expected):
    assert expected in load(tmp_path, VALID.replace(old, new)).failure()


@pytest.mark.parametrize("text", ["no section", b"\xff\xfe[", "[a]\n[a]\n"])
def test_malformed_ini_file_is_rejected(tmp_path, text):
    assert isinstance(load(tmp_path, text), result.Failure)


def test_missing_file_is_reported(tmp_path):
    assert "cannot be read" in config.load(tmp_path / "none.ini").failure()


@pytest.mark.parametrize(
    ("name", "text", "field", "value"),
    [
        ("extra_reruns", "30.714285714285715", "router_extra_reruns", 30),
        ("longest_hold", "10000.0", "router_longest_hold", 10_000),
        ("announce_interval", "8.7e2", "router_announce_interval", 870),
        ("grants", "heartbeat", "router_grants", "heartbeat"),
    ],
)
def test_rendered_value_may_be_fraction(tmp_path, name, text, field, value):
    text = f"{VALID}[router]\n{name} = {text}\n"
    settings = load(tmp_path, text).unwrap()
    assert getattr(settings, field) == value
    assert settings.replaced == ()


@pytest.mark.parametrize("text", ["true", "false", "", "nan", "inf", "{}"])
@pytest.mark.parametrize(
    "name", ["extra_reruns", "longest_hold", "announce_interval", "grants"]
)
def test_unusable_rendered_value_is_replaced_by_default(tmp_path, name, text):
    text = f"{VALID}[router]\n{name} = {text}\n"
    settings = load(tmp_path, text).unwrap()
    (option,) = (option for option in options.OPTIONS if option.name == name)
    assert getattr(settings, option.field) == option.default
    (problem,) = settings.replaced
    assert f"[router] {name} = " in problem
    assert f"{option.default} is used" in problem
    assert "\n" not in problem


@pytest.mark.parametrize("name", ["cold_overage", "cold_slack"])
@pytest.mark.parametrize(
    ("text", "expected", "is_replaced"),
    [
        ("1.5", 1.5, False),
        ("8", 8.0, False),
        ("", None, False),
        ("nan", None, True),
        ("inf", None, True),
        ("-1", None, True),
        ("{}", None, True),
    ],
)
def test_bounds_of_cold_targets_may_be_missing(
    tmp_path, name, text, expected, is_replaced
):
    settings = load(tmp_path, f"{VALID}[router]\n{name} = {text}\n").unwrap()
    (option,) = (option for option in options.OPTIONS if option.name == name)
    value = getattr(settings, option.field)
    assert value == (option.default if expected is None else expected)
    assert bool(settings.replaced) is is_replaced


@pytest.mark.parametrize(
    ("lines", "grace"),
    [
        ("", 6.0),
        ("grace = 2500\n", 2.5),
        ("grace_s = 10\n", 10.0),
        ("grace_s = 7.5\ngrace = 2500\n", 7.0),
        ("grace_s =\ngrace = 2500\n", 2.5),
    ],
)
def test_grace_may_be_given_in_seconds(tmp_path, lines, grace):
    settings = load(tmp_path, f"{VALID}[router]\n{lines}").unwrap()
    assert settings.grace == grace


def test_template_of_the_platform_renders_the_grace_time(tmp_path):
    template = pathlib.Path("deploy/settings.ini").read_text()
    values = {
        "node": "sidecar-1",
        "service": "seats",
        "zone": "meseta-1",
        "ip": "10.1.0.8",
        "port_range.0": "7620",
        "listen.outbound": "10.1.0.8:8304",
        "listen.control": "10.1.0.8:8306",
        "listen.ready": "10.1.0.8:8302",
        "app_addr": "10.1.0.8:8301",
        "limits.memory_mb|json": "300",
        "limits.link_mbps|json": "10.0",
        "platform.address": "10.200.1.7:8309",
        "heartbeat_ms": "870",
        "grants": "heartbeat",
        "bounds.max_hold_ms": "10000",
        "bounds.grace_s": "10",
        "bounds.retry_budget_extra": "30.714285714285715",
        "bounds.cold_overage": "1.5",
        "bounds.cold_slack": "",
    }
    text = re.sub(r"{{(.*?)}}", lambda match: values[match[1]], template)
    settings = load(tmp_path, text).unwrap()
    assert settings.replaced == ()
    assert settings.grace == 10.0
    assert settings.router_grants == "heartbeat"
    assert settings.message_memory == 100 * 1024 * 1024
    assert settings.router_cold_overage == 1.5
    assert settings.router_cold_slack == 0.0
    assert settings.link_rate == 1_250_000


@pytest.mark.parametrize("text", ["10.0.0.9:1", "10.0.0.9:65535"])
def test_an_address_has_an_ip_and_a_port(text):
    assert config.is_address(text)


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":",
        "10.0.0.9",
        "10.0.0.9:",
        "10.0.0.9:0",
        "10.0.0.9:65536",
        "10.0.0.9:70000",
        "10.0.0.9:-1",
        "10.0.0.9:+1",
        "10.0.0.9: 1",
        "10.0.0.9:1\n",
        "10.0.0.9:1_0",
        "10.0.0.9:\u0663",
        "10.0.0.9:" + "9" * 5000,
        "\u0661.0.0.9:1",
        "10.0.0.256:1",
        "server:80",
        "[::1]:80",
        "\ud800:80",
    ],
)
def test_a_text_that_cannot_be_connected_to_is_no_address(text):
    assert not config.is_address(text)
