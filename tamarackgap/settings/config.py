"""Reads and checks a settings file."""

import configparser
import ipaddress
import math
import pathlib
import re

import msgspec
from returns import result

from tamarackgap.settings import options

_NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_MEGABYTE = 1_048_576
_DEFAULT_MESSAGE_MEMORY = 96 * _MEGABYTE
# A message may be copied twice on its way through the process.
_MESSAGE_MEMORY_PART = 3


class Config(msgspec.Struct, frozen=True):
    """Holds all settings; `options.OPTIONS` has their meanings and units.

    Attributes:
        replaced: One line for each value that could not be used and was
            replaced by the default, as an error message.
    """

    daemon_deployment: str
    daemon_name: str
    daemon_service: str
    daemon_data_centre: str
    daemon_http_address: str
    daemon_peer_address: str
    daemon_log: str
    daemon_memory: int
    daemon_link: int
    router_announce_address: str
    router_ready_address: str
    router_metrics_address: str
    router_target_address: str
    router_announce_interval: int
    router_grants: str
    router_longest_hold: int
    router_grace: int
    router_grace_s: int
    router_reruns: int
    router_extra_reruns: int
    router_cold_overage: float
    router_cold_slack: float
    router_far_price: int
    router_spare_ports: int
    table_address: str
    table_poll: int
    table_timeout: int
    ownership_slots: int
    ownership_lease: int
    ownership_linger: int
    ownership_drift: int
    ownership_witnesses: int
    ownership_settle: int
    ownership_batch: int
    ownership_anchor: int
    target_silence: int
    requests_deadline: int
    requests_body: int
    requests_answer: int
    requests_patience: int
    requests_key: int
    requests_window: int
    requests_remembered: int
    requests_skew: int
    requests_retries: int
    replaced: tuple[str, ...] = ()

    @property
    def message_memory(self) -> int:
        """Memory for all messages under way, bytes."""
        if not self.daemon_memory:
            return _DEFAULT_MESSAGE_MEMORY
        return self.daemon_memory * _MEGABYTE // _MESSAGE_MEMORY_PART

    @property
    def link_rate(self) -> float:
        """Rate of the VM's link, bytes a second; 0 if it is not known."""
        return self.daemon_link * 1_000_000 / 8

    @property
    def grace(self) -> float:
        """Time from SIGTERM to SIGKILL, seconds."""
        return self.router_grace_s or self.router_grace / 1000


def load(path: pathlib.Path) -> result.Result[Config, str]:
    """Reads a settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings, or an error message of one line that names the file, the
        section, the setting, its value and what was expected.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure(f"{path}: cannot be read: {error}")
    except configparser.Error as error:
        text = " ".join(str(error).split())
        return result.Failure(f"{path}: is not an INI file: {text}")
    return _build_config(parser, str(path))


def _build_config(
    parser: configparser.ConfigParser, path: str
) -> result.Result[Config, str]:
    known_settings = {
        (option.section, option.name) for option in options.OPTIONS
    }
    for section in parser.sections():
        for name, value in parser.items(section):
            if (section, name) not in known_settings:
                return result.Failure(
                    f"{path}: [{section}] {name} = {value}: no such setting"
                )
    values: dict[str, str | int | float] = {}
    replaced = []
    for option in options.OPTIONS:
        text = parser.get(option.section, option.name, fallback=None)
        if not text and option.kind is options.Kind.NUMBER:
            text = None
        if text is None and option.default is None:
            return result.Failure(
                f"{path}: [{option.section}] {option.name} is missing:"
                f" expected {option.expected}"
            )
        value = option.default if text is None else _parse(option, text)
        if value is None:
            problem = (
                f"{path}: [{option.section}] {option.name} = {text}:"
                f" expected {option.expected}"
            )
            if not option.rendered:
                return result.Failure(problem)
            replaced.append(f"{problem}; {option.default} is used")
            value = option.default
        values[option.field] = value
    return _check_constraints(Config(**values, replaced=tuple(replaced)), path)


def _parse(option: options.Option, text: str) -> str | int | float | None:
    match option.kind:
        case options.Kind.INTEGER:
            return _parse_integer(option, text)
        case options.Kind.NUMBER:
            return _parse_number(option, text)
        case options.Kind.NAME:
            return text if _NAME_PATTERN.fullmatch(text) else None
        case options.Kind.ADDRESS:
            return text if is_address(text) else None
        case options.Kind.PATH:
            return text or None
        case options.Kind.CHOICE:
            return text if text in option.choices else None


def _parse_integer(option: options.Option, text: str) -> int | None:
    try:
        number = math.floor(float(text)) if option.rendered else int(text)
    except (ValueError, OverflowError):
        return None
    return number if option.minimum <= number <= option.maximum else None


def _parse_number(option: options.Option, text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    # Not for NaN.
    return number if option.minimum <= number <= option.maximum else None


def is_address(text: str) -> bool:
    """Returns whether `text` is an IPv4 address and a port, as `ip:port`."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return bool(_PORT_PATTERN.fullmatch(port)) and 0 < int(port) < 65536


def _check_constraints(config: Config, path: str) -> result.Result[Config, str]:
    slots = config.ownership_slots
    if slots & (slots - 1):
        return result.Failure(
            f"{path}: [ownership] slots = {slots}: expected a power of two"
        )
    if config.ownership_witnesses % 2 == 0:
        return result.Failure(
            f"{path}: [ownership] witnesses = {config.ownership_witnesses}:"
            " expected an odd number"
        )
    if config.daemon_http_address == config.daemon_peer_address:
        return result.Failure(
            f"{path}: [daemon] peer_address = {config.daemon_peer_address}:"
            " expected another address than http_address"
        )
    return result.Success(config)
