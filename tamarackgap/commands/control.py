"""Sends the requests of operators' commands to the table and to daemons."""

import http.client
import time
from collections.abc import Callable

import msgspec

from tamarackgap import exceptions
from tamarackgap.commands import policy
from tamarackgap.ownership import changes
from tamarackgap.placement import records, rowmerge, slots
from tamarackgap.requests import pages
from tamarackgap.table import tableclient

_REQUEST_TIMEOUT_S = 5.0
_STATUS_TIMEOUT_S = 1.0
_RETRY_INTERVAL_S = 0.2


class Propagation(msgspec.Struct, frozen=True):
    """Counts the daemons that have read an edit.

    Attributes:
        revision: Table revision at which the edit was committed.
        daemons: Number of daemons with an open lease.
        applied: Number of these daemons that have read the edit.
    """

    revision: int
    daemons: int
    applied: int

    @property
    def is_complete(self) -> bool:
        """Whether every daemon has read the edit."""
        return self.applied == self.daemons


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout: float = _REQUEST_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Returns the status and the body of the answer to an HTTP request.

    Args:
        address: `ip:port` of the server.
        method: HTTP method.
        path: Path and query.
        body: The body.
        timeout: Longest wait for the connection or for more bytes, seconds.

    Raises:
        OSError: If there is no complete answer.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except http.client.HTTPException as error:
        raise OSError(f"{address}: {error!r}") from error
    finally:
        connection.close()


def read_rows(address: str) -> tableclient.Changes:
    """Returns all rows of the table and its revision.

    Args:
        address: The table's `ip:port`.

    Raises:
        exceptions.TableError: If the table gives no usable answer.
    """
    try:
        status, body = send_request(address, "GET", "/rows?since=0")
    except OSError as error:
        raise exceptions.TableError(f"table {address}: {error}") from error
    if status != 200:
        raise exceptions.TableError(f"table {address}: status {status}")
    try:
        return tableclient.decode_changes(body)
    except msgspec.MsgspecError as error:
        raise exceptions.TableError(f"table {address}: {error}") from error


def find_row(rows: list[records.Row], key: str) -> records.Row | None:
    """Returns the row with this key, or None."""
    return next((row for row in rows if row.key == key), None)


def set_policy(
    address: str,
    key: str,
    values: dict[str, int],
    who: str,
    seen_revision: int | None,
) -> int:
    """Edits a policy and returns the table revision of the committed edit.

    A lost answer is resolved by sending the same transaction again: the table
    commits it only once, and the entry in the history shows whether it did.

    Args:
        address: The table's `ip:port`.
        key: The row's key.
        values: New values of the columns to change.
        who: Name of the operator, for the history.
        seen_revision: Revision of the row that the operator saw, 0 for no
            row, or None to edit any revision.

    Raises:
        exceptions.ConflictError: If somebody else has edited the row.
        exceptions.TableError: If the outcome is unknown.
    """
    row = find_row(read_rows(address).rows, key)
    current = row.revision if row is not None and row.value else 0
    if seen_revision is not None and current != seen_revision:
        raise exceptions.ConflictError(
            f"{key} is at version {current}, not {seen_revision}:"
            " somebody else edited it"
        )
    edit = policy.build_edit(row, key, values, who, int(time.time() * 1000))
    body = msgspec.json.encode(edit.transaction)
    deadline = time.monotonic() + 2 * _REQUEST_TIMEOUT_S
    while time.monotonic() < deadline:
        status = _commit(address, body)
        if status in (200, 409):
            return _committed_revision(address, edit)
        time.sleep(_RETRY_INTERVAL_S)
    raise exceptions.TableError(
        f"table {address}: no answer; the edit may have been accepted:"
        " look at 'tamarackgap table history'"
    )


def _commit(address: str, body: bytes) -> int:
    """Returns the HTTP status of the answer, 0 if there is none."""
    try:
        return send_request(address, "POST", "/transactions", body)[0]
    except OSError:
        return 0


def _committed_revision(address: str, edit: policy.Edit) -> int:
    """Returns the revision of a committed edit.

    Raises:
        exceptions.ConflictError: If the table did not commit the edit.
    """
    rows = read_rows(address).rows
    history_row = find_row(rows, edit.transaction.writes[1].key)
    if history_row is None:
        raise exceptions.ConflictError(
            f"{edit.key}: somebody else edited it; nothing was changed"
        )
    return history_row.revision


def open_leases(rows: list[records.Row]) -> list[records.LeaseRecord]:
    """Returns the open lease records among rows; unreadable ones are left out.

    The records are sorted by incarnation.
    """
    view = records.TableView()
    rowmerge.merge_readable(view, rows)
    return view.open_records()


def query_propagation(address: str, revision: int) -> Propagation:
    """Returns how many daemons have read the table up to a revision.

    A daemon that does not answer counts as one that has not.

    Args:
        address: The table's `ip:port`.
        revision: The revision.

    Raises:
        exceptions.TableError: If the table does not answer.
    """
    lease_records = open_leases(read_rows(address).rows)
    applied = 0
    for record in lease_records:
        try:
            status = daemon_status(record.http_address)
        except OSError:
            continue
        applied += status.table_revision >= revision
    return Propagation(revision, len(lease_records), applied)


def wait_until_in_force(
    address: str,
    revision: int,
    seconds: float,
    on_progress: Callable[[Propagation], None],
) -> Propagation:
    """Waits until all daemons have read an edit, or until the time is up.

    Args:
        address: The table's `ip:port`.
        revision: Table revision at which the edit was committed.
        seconds: Longest wait.
        on_progress: Called after each round of queries.

    Returns:
        The result of the last round.

    Raises:
        exceptions.TableError: If the table does not answer.
    """
    deadline = time.monotonic() + seconds
    while True:
        state = query_propagation(address, revision)
        on_progress(state)
        if state.is_complete or time.monotonic() >= deadline:
            return state
        time.sleep(_RETRY_INTERVAL_S)


def daemon_status(address: str) -> pages.Status:
    """Returns a daemon's status.

    Args:
        address: `ip:port` of the daemon's HTTP server.

    Raises:
        OSError: If the daemon does not answer.
    """
    _, body = send_request(address, "GET", "/status", timeout=_STATUS_TIMEOUT_S)
    return msgspec.json.decode(body, type=pages.Status)


def close_lost_leases(address: str, daemon: str) -> int:
    """Closes the lease records of a daemon that an operator knows to be lost.

    Args:
        address: The table's `ip:port`.
        daemon: Name of the daemon.

    Returns:
        The number of closed records.

    Raises:
        exceptions.ConflictError: If a record has changed in the meantime.
        exceptions.TableError: If the table does not answer.
    """
    table = read_rows(address)
    view = records.TableView()
    rowmerge.merge_readable(view, table.rows)
    lease_records = [
        record for record in view.open_records() if record.daemon == daemon
    ]
    if not lease_records:
        return 0
    builder = changes.Builder(view, f"lost-{time.time_ns():x}")
    for record in lease_records:
        builder.close_record(record, slots.expand(record.runs))
    change = builder.build(changes.ChangeKind.CLOSE_GONE, "lost")
    status = _commit(address, msgspec.json.encode(change.transaction))
    if status == 409:
        raise exceptions.ConflictError(f"{daemon}: its record has changed")
    if status != 200:
        raise exceptions.TableError(f"table {address}: no answer")
    return len(lease_records)
