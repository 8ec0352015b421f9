"""Defines the command line."""

import getpass
import pathlib
import urllib.parse

import click
import msgspec
from returns import result

import tamarackgap
from tamarackgap import exceptions
from tamarackgap.commands import control, env, policy
from tamarackgap.ownership import reports
from tamarackgap.placement import records
from tamarackgap.processes import callpreview, daemon
from tamarackgap.settings import config

_EXIT_FAILED = 1
_EXIT_USAGE = 2
_EXIT_CONFLICT = 3
_EXIT_UNREACHABLE = 4
_EXIT_NOT_IN_FORCE = 5
_DEFAULT_WAIT_S = 13.0
_EXIT_CODES = """
\b
Exit codes:
  0  done
  1  failed
  2  wrong usage, or invalid settings
  3  somebody else edited the row; nothing was changed
  4  the table or the daemon does not answer
  5  accepted, but not yet in force everywhere
"""


def _fail(text: str, code: int) -> None:
    click.echo(f"tamarackgap: {text}", err=True)
    raise SystemExit(code)


def _load_settings(path: pathlib.Path) -> config.Config:
    match config.load(path):
        case result.Success(config.Config() as settings):
            return settings
        case result.Failure(problem):
            _fail(problem, _EXIT_USAGE)
    raise AssertionError(path)


def _print_result(value: object, as_json: bool, text: str) -> None:
    if as_json:
        click.echo(msgspec.json.encode(value).decode())
    else:
        click.echo(text)


_config_option = click.option(
    "--config",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="Settings file (INI).",
)
_json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON, for programs."
)
_table_option = click.option(
    "--table", "address", required=True, help="ip:port of the table service."
)
_daemon_option = click.option(
    "--daemon", "address", required=True, help="ip:port of any daemon's HTTP."
)


@click.group(epilog=_EXIT_CODES)
@click.version_option(tamarackgap.__version__)
def cli() -> None:
    """Routes requests to servers that own their keys exclusively."""


@cli.command("daemon", epilog=_EXIT_CODES)
@_config_option
def daemon_command(path: pathlib.Path) -> None:
    """Run the daemon of a local target, and drain it on SIGTERM."""
    settings = _load_settings(path)
    try:
        daemon.run(settings)
    except OSError as error:
        _fail(f"{path}: cannot start: {error}", _EXIT_FAILED)


@cli.command("check-config", epilog=_EXIT_CODES)
@_config_option
@_json_option
def check_config(path: pathlib.Path, as_json: bool) -> None:
    """Check a settings file, and print all settings, including defaults."""
    settings = _load_settings(path)
    values = msgspec.to_builtins(settings)
    lines = [f"{name} = {value}" for name, value in values.items()]
    _print_result(settings, as_json, "\n".join(lines))


@cli.command("debug", epilog=_EXIT_CODES)
@click.option(
    "--config", "path", type=click.Path(path_type=pathlib.Path), default=None
)
@_json_option
def debug(path: pathlib.Path | None, as_json: bool) -> None:
    """Print versions, limits and settings that help to find a fault."""
    settings = _load_settings(path) if path is not None else None
    environment = env.describe_environment(settings)
    lines = [
        f"{name}: {value}"
        for name, value in msgspec.structs.asdict(environment).items()
        if not isinstance(value, dict)
    ]
    for name in ("libraries", "settings"):
        pairs = getattr(environment, name).items()
        lines += [f"{name}.{key}: {value}" for key, value in pairs]
    _print_result(environment, as_json, "\n".join(lines))


def _get_page(address: str, path: str) -> bytes:
    try:
        status, body = control.send_request(address, "GET", path)
    except OSError as error:
        _fail(f"daemon {address}: {error}", _EXIT_UNREACHABLE)
    if status != 200:
        _fail(f"daemon {address}: {body.decode()}", _EXIT_FAILED)
    return body


@cli.command("status", epilog=_EXIT_CODES)
@_daemon_option
@_json_option
def status_command(address: str, as_json: bool) -> None:
    """Print the status of a daemon."""
    status = msgspec.json.decode(_get_page(address, "/status"))
    pairs = status.items()
    _print_result(status, as_json, "\n".join(f"{k}: {v}" for k, v in pairs))


@cli.command("owners", epilog=_EXIT_CODES)
@_daemon_option
@click.option("--service", default=None, help="Only this service.")
@_json_option
def owners(address: str, service: str | None, as_json: bool) -> None:
    """Print how many slots each daemon owns."""
    query = f"?service={urllib.parse.quote(service)}" if service else ""
    body = _get_page(address, "/owners" + query)
    rows = reports.decode_owners(body)
    lines = [
        f"{'SERVICE':16} {'DAEMON':20} {'DATA CENTRE':14} {'SLOTS':>6}"
        f" {'WEIGHT':>6} {'EPOCH':>5} STATE"
    ]
    lines += [
        f"{row.service:16} {row.daemon:20} {row.data_centre:14}"
        f" {row.slots:6} {row.weight:6} {row.epoch:5} {row.state}"
        for row in rows
    ]
    _print_result(rows, as_json, "\n".join(lines))


@cli.command("explain", epilog=_EXIT_CODES)
@click.argument("key")
@_daemon_option
@click.option("--service", required=True, help="The key's service.")
@_json_option
def explain(key: str, address: str, service: str, as_json: bool) -> None:
    """Print the owner of KEY, its epoch and the write that assigned it."""
    query = urllib.parse.urlencode({"service": service, "key": key})
    body = _get_page(address, "/explain?" + query)
    explanation = msgspec.json.decode(body, type=reports.Explanation)
    owner = explanation.daemon or "no known daemon"
    text = (
        f"key {explanation.key} of {explanation.service} is in slot"
        f" {explanation.slot}, owned by {owner} ({explanation.owner})\n"
        f"since fence {explanation.fence}, in its epoch {explanation.epoch}"
        f" ({explanation.state}), by write {explanation.change}\n"
        f"successor: {explanation.successor or 'none'}"
    )
    _print_result(explanation, as_json, text)


@cli.command("explain-request", epilog=_EXIT_CODES)
@click.argument("host")
@click.argument("path")
@_daemon_option
@click.option("--key", default=None, help="The request's key, if it has one.")
@click.option("--bytes", "size", default=0, help="Size of its body, bytes.")
@_json_option
def explain_request(
    host: str,
    path: str,
    address: str,
    key: str | None,
    size: int,
    as_json: bool,
) -> None:
    """Print where a request for HOST and PATH would go now, and why.

    Nothing is sent. The daemon answers at its metrics address.
    """
    fields = {"host": host, "path": path, "bytes": str(size)}
    if key is not None:
        fields["key"] = key
    body = _get_page(
        address, "/explain-request?" + urllib.parse.urlencode(fields)
    )
    shown = msgspec.json.decode(body, type=callpreview.Preview)
    _print_result(shown, as_json, _preview_text(shown))


def _preview_text(shown: callpreview.Preview) -> str:
    lines = [
        f"route {shown.route}, service {shown.service},"
        f" latency objective {shown.objective_ms} ms"
    ]
    if shown.other_services:
        lines.append(f"others go to: {', '.join(shown.other_services)}")
    if shown.owner is not None:
        owner = shown.owner
        lines.append(
            f"slot {owner.slot} is owned by"
            f" {owner.daemon or 'no known daemon'} ({owner.owner}),"
            f" fence {owner.fence}"
        )
    else:
        lines.append(
            f"here: {shown.near or 'no usable target'};"
            f" elsewhere: {shown.far or 'no usable target'}"
        )
        lines.append(
            f"leaving gains {shown.gain} and costs {shown.cost}:"
            f" {shown.leaving_share:.0%} of such requests leave"
        )
    lines.append(
        f"{'TARGET':20} {'DATA CENTRE':14} {'LOAD':>9} {'AGE MS':>7}"
        f" {'ANSWER MS':>9} {'VALUE':>6}"
    )
    lines += [
        f"{target.incarnation:20} {target.data_centre:14}"
        f" {target.load:4}/{target.capacity:<4}"
        f" {'-' if target.load_age_ms is None else target.load_age_ms:>7}"
        f" {target.answer_ms:9} {target.value:6}"
        + ("" if target.usable else " not usable")
        for target in shown.targets
    ]
    return "\n".join(lines)


@cli.command("lost", epilog=_EXIT_CODES)
@click.argument("name")
@_table_option
@click.option(
    "--yes",
    is_flag=True,
    prompt="Is this daemon's VM certainly gone, and will it never come back?",
    help="Do not ask for confirmation.",
)
def lost(name: str, address: str, yes: bool) -> None:
    """Close the lease of daemon NAME, whose VM is certainly gone.

    Needed only if most witnesses of the lease are gone with it. If the daemon
    still runs, two servers may own the same key.
    """
    if not yes:
        _fail("nothing was done", _EXIT_FAILED)
    try:
        closed = control.close_lost_leases(address, name)
    except exceptions.ConflictError as error:
        _fail(str(error), _EXIT_CONFLICT)
    except exceptions.TableError as error:
        _fail(str(error), _EXIT_UNREACHABLE)
    if not closed:
        _fail(f"{name}: no open lease", _EXIT_FAILED)
    click.echo(f"{name}: {closed} lease(s) closed")


@cli.group("table", epilog=_EXIT_CODES)
def table() -> None:
    """Show and edit the policies: weights and limits of services."""


class PolicyRow(msgspec.Struct, frozen=True):
    """A policy as 'table show' prints it, with the version of its row."""

    service: str
    data_centre: str
    version: int
    weight: int
    in_progress: int
    queue: int


def _read_rows(address: str) -> list[records.Row]:
    try:
        return control.read_rows(address).rows
    except exceptions.TableError as error:
        _fail(str(error), _EXIT_UNREACHABLE)
    raise AssertionError(address)


@table.command("show", epilog=_EXIT_CODES)
@_table_option
@_json_option
def table_show(address: str, as_json: bool) -> None:
    """Print all policies with their versions."""
    policy_rows = []
    for row in _read_rows(address):
        if not row.key.startswith(records.POLICY_PREFIX) or not row.value:
            continue
        service, _, data_centre = row.key.removeprefix(
            records.POLICY_PREFIX
        ).partition("/")
        row_policy = msgspec.json.decode(row.value, type=records.Policy)
        policy_rows.append(
            PolicyRow(
                service,
                data_centre,
                row.revision,
                row_policy.weight,
                row_policy.in_progress,
                row_policy.queue,
            )
        )
    policy_rows.sort(key=lambda row: (row.service, row.data_centre))
    lines = [
        f"{'SERVICE':16} {'DATA CENTRE':14} {'VERSION':>7} {'WEIGHT':>6}"
        f" {'IN_PROGRESS':>11} {'QUEUE':>6}"
    ]
    lines += [
        f"{row.service:16} {row.data_centre:14} {row.version:7}"
        f" {row.weight:6} {row.in_progress:11} {row.queue:6}"
        for row in policy_rows
    ]
    _print_result(policy_rows, as_json, "\n".join(lines))


@table.command("history", epilog=_EXIT_CODES)
@_table_option
@_json_option
def table_history(address: str, as_json: bool) -> None:
    """Print the history of accepted edits, oldest first."""
    entries = [
        msgspec.json.decode(row.value, type=policy.HistoryEntry)
        for row in sorted(_read_rows(address), key=lambda row: row.key)
        if row.key.startswith(policy.HISTORY_PREFIX) and row.value
    ]
    lines = [
        f"{entry.when_ms} {entry.who} {entry.row}:"
        f" {_format_columns(entry.before)} -> {_format_columns(entry.after)}"
        for entry in entries
    ]
    _print_result(entries, as_json, "\n".join(lines) or "no edits")


def _format_columns(row: records.Policy | None) -> str:
    if row is None:
        return "(no row)"
    return " ".join(f"{name}={getattr(row, name)}" for name in policy.COLUMNS)


@table.command("set", epilog=_EXIT_CODES)
@click.argument("service")
@click.argument("data_centre")
@click.argument("columns", nargs=-1, metavar="COLUMN=NUMBER...")
@_table_option
@click.option(
    "--version",
    "version",
    type=int,
    default=None,
    help="Version that 'table show' printed; 0 for a new row.",
)
@click.option(
    "--who",
    default=getpass.getuser,
    help="Name of the operator, for the history.",
)
@click.option(
    "--wait",
    default=_DEFAULT_WAIT_S,
    help="Seconds to wait until the edit is in force everywhere.",
)
@_json_option
def table_set(
    service: str,
    data_centre: str,
    columns: tuple[str, ...],
    address: str,
    version: int | None,
    who: str,
    wait: float,
    as_json: bool,
) -> None:
    """Edit the policy of SERVICE in DATA_CENTRE ('*' for any)."""
    match policy.parse_columns(list(columns)):
        case result.Failure(problem):
            _fail(str(problem), _EXIT_USAGE)
        case result.Success(values):
            pass
    rows = _read_rows(address)
    if control.find_row(rows, records.service_key(service)) is None:
        _fail(f"{service}: no such service", _EXIT_USAGE)
    key = records.policy_key(service, data_centre)
    try:
        revision = control.set_policy(address, key, values, who, version)
        state = control.wait_until_in_force(
            address, revision, wait, _print_progress
        )
    except exceptions.ConflictError as error:
        _fail(str(error), _EXIT_CONFLICT)
    except exceptions.TableError as error:
        _fail(str(error), _EXIT_UNREACHABLE)
    _print_result(
        state,
        as_json,
        f"accepted as version {state.revision}; in force at"
        f" {state.applied} of {state.daemons} daemons",
    )
    if not state.is_complete:
        raise SystemExit(_EXIT_NOT_IN_FORCE)


def _print_progress(state: control.Propagation) -> None:
    click.echo(
        f"in force at {state.applied} of {state.daemons} daemons", err=True
    )


def main() -> None:
    """Runs the command line."""
    cli()


if __name__ == "__main__":
    main()
