"""What operators' commands do: calls to the table and to daemons."""

import http.client
import time
from collections.abc import Callable

import msgspec

from tamarackgap import exceptions
from tamarackgap.commands import policy
from tamarackgap.ownership import changes
from tamarackgap.placement import records, slots
from tamarackgap.requests import pages
from tamarackgap.table import tableclient

_TIMEOUT_S = 5.0
_DAEMON_TIMEOUT_S = 1.0
_AGAIN_S = 0.2


class Propagation(msgspec.Struct, frozen=True):
    """How far an edit has come.

    Attributes:
        revision: The table's revision of the edit.
        daemons: Number of daemons in the table.
        applied: Number of those that have read it.
    """

    revision: int
    daemons: int
    applied: int

    @property
    def everywhere(self) -> bool:
        """Whether every daemon has read the edit."""
        return self.applied == self.daemons


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout: float = _TIMEOUT_S,
) -> tuple[int, bytes]:
    """Returns status and body of one HTTP request.

    Raises:
        OSError: If there is no whole answer.
    """
    host, _, port = address.rpartition(":")
    link = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        link.request(method, path, body)
        answer = link.getresponse()
        return answer.status, answer.read()
    except http.client.HTTPException as error:
        raise OSError(f"{address}: {error!r}") from error
    finally:
        link.close()


def read_rows(address: str) -> tableclient.Changes:
    """Returns all rows of the table.

    Raises:
        exceptions.TableError: If the table does not answer.
    """
    try:
        status, body = send_request(address, "GET", "/rows?since=0")
    except OSError as error:
        raise exceptions.TableError(f"table {address}: {error}") from error
    if status != 200:
        raise exceptions.TableError(f"table {address}: status {status}")
    return msgspec.json.decode(body, type=tableclient.Changes)


def find_row(rows: list[records.Row], key: str) -> records.Row | None:
    """Returns the row with a key, or None."""
    return next((row for row in rows if row.key == key), None)


def set_policy(
    address: str,
    key: str,
    values: dict[str, int],
    who: str,
    expected: int | None,
) -> int:
    """Edits a row; returns the table's revision of the edit.

    An answer that was lost is read back by the edit's own id before the
    edit is tried again, so it is made once.

    Args:
        address: The table's `ip:port`.
        key: The row's key.
        values: New values of some columns.
        who: The operator.
        expected: Revision of the row that the operator saw, 0 for none;
            None for whatever it is now.

    Raises:
        exceptions.ConflictError: If somebody else has edited the row.
        exceptions.TableError: If the outcome can't be learnt.
    """
    row = find_row(read_rows(address).rows, key)
    present = row.revision if row is not None and row.value else 0
    if expected is not None and present != expected:
        raise exceptions.ConflictError(
            f"{key} is at version {present}, not {expected}:"
            " somebody else edited it"
        )
    edit = policy.build_edit(row, key, values, who, int(time.time() * 1000))
    body = msgspec.json.encode(edit.transaction)
    give_up = time.monotonic() + 2 * _TIMEOUT_S
    while time.monotonic() < give_up:
        status = _put(address, body)
        if status in (200, 409):
            return _landed(address, edit)
        time.sleep(_AGAIN_S)
    raise exceptions.TableError(
        f"table {address}: no answer; the edit may have been accepted:"
        " look at 'tamarackgap table history'"
    )


def _put(address: str, body: bytes) -> int:
    try:
        return send_request(address, "POST", "/transactions", body)[0]
    except OSError:
        return 0


def _landed(address: str, edit: policy.Edit) -> int:
    """Returns the edit's revision, or raises if it lost against another."""
    rows = read_rows(address).rows
    written = find_row(rows, edit.transaction.writes[1].key)
    if written is None:
        raise exceptions.ConflictError(
            f"{edit.key}: somebody else edited it; nothing was changed"
        )
    return written.revision


def open_leases(rows: list[records.Row]) -> list[records.LeaseRecord]:
    """Returns all open lease records among rows."""
    found = [
        msgspec.json.decode(row.value, type=records.LeaseRecord)
        for row in rows
        if row.key.startswith(records.LEASE_PREFIX) and row.value
    ]
    return [record for record in found if record.is_open]


def query_propagation(address: str, revision: int) -> Propagation:
    """Asks every daemon whether it has read up to a revision."""
    members = open_leases(read_rows(address).rows)
    applied = 0
    for record in members:
        try:
            status = daemon_status(record.http_address)
        except OSError:
            continue
        applied += status.table_revision >= revision
    return Propagation(revision, len(members), applied)


def wait_until_in_force(
    address: str,
    revision: int,
    seconds: float,
    progress: Callable[[Propagation], None],
) -> Propagation:
    """Waits until an edit is in force everywhere, or time is up."""
    give_up = time.monotonic() + seconds
    while True:
        state = query_propagation(address, revision)
        progress(state)
        if state.everywhere or time.monotonic() >= give_up:
            return state
        time.sleep(_AGAIN_S)


def daemon_status(address: str) -> pages.Status:
    """Returns a daemon's status page.

    Raises:
        OSError: If it does not answer.
    """
    _, body = send_request(address, "GET", "/status", timeout=_DAEMON_TIMEOUT_S)
    return msgspec.json.decode(body, type=pages.Status)


def close_lost(address: str, daemon: str) -> int:
    """Closes the records of a daemon that a person knows to be lost.

    Returns:
        How many records were closed.

    Raises:
        exceptions.ConflictError: If a record changed meanwhile.
        exceptions.TableError: If the table does not answer.
    """
    found = read_rows(address)
    view = records.TableView()
    view.merge(found.rows)
    lost = [record for record in view.members() if record.daemon == daemon]
    if not lost:
        return 0
    builder = changes.Builder(view, f"lost-{time.time_ns():x}")
    for record in lost:
        builder.close(record, slots.expand(record.runs))
    change = builder.build(changes.ChangeKind.CLOSE_GONE, "lost")
    status = _put(address, msgspec.json.encode(change.transaction))
    if status == 409:
        raise exceptions.ConflictError(f"{daemon}: its record has changed")
    if status != 200:
        raise exceptions.TableError(f"table {address}: no answer")
    return len(lost)
