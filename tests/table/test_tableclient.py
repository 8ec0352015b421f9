import json

import pytest
from returns import result

from tamarackgap.network import httpclient
from tamarackgap.ownership import effects
from tamarackgap.placement import records
from tamarackgap.table import tableclient

DEEP = "[" * 100_000 + "]" * 100_000
GOOD = [records.Row("a", "{}", 1), records.Row("b", None, 2)]
UNREADABLE = [
    DEEP,
    '{"key": "odd", "value": "\\ud800", "revision": 1}',
    f'{{"key": "odd", "value": {DEEP}, "revision": 1}}',
    '{"key": "odd", "value": "", "revision": -1}',
    f'{{"key": "odd", "value": "", "revision": {10**30}}}',
    '{"key": "odd", "value": "", "revision": 1e300}',
    '{"key": 7, "value": "", "revision": 1}',
    "null",
]


class Http:
    """Answers each request with the same body."""

    def __init__(self, body):
        self._body = body

    def send(self, request, done):
        answer = httpclient.Answer(200, {}, self._body.encode())
        done(result.Success(answer))


def rows_with(odd):
    first, last = (json.dumps(record) for record in _builtins(GOOD))
    return f"[{first}, {odd}, {last}]"


def _builtins(rows):
    return [
        {"key": row.key, "value": row.value, "revision": row.revision}
        for row in rows
    ]


def read(body):
    outcomes = []
    client = tableclient.TableClient(Http(body), "127.0.0.1:1", 1.0)
    client.read(0, outcomes.append)
    return outcomes[0]


@pytest.mark.parametrize("odd", UNREADABLE)
def test_an_unreadable_row_leaves_the_others_of_a_read(odd):
    outcome = read(f'{{"revision": 9, "rows": {rows_with(odd)}}}')
    assert outcome == result.Success(tableclient.Changes(9, GOOD))


@pytest.mark.parametrize("odd", UNREADABLE)
def test_an_unreadable_row_leaves_the_others_after_a_commit(odd):
    body = f'{{"committed": false, "rows": {rows_with(odd)}}}'
    outcomes = []
    client = tableclient.TableClient(Http(body), "127.0.0.1:1", 1.0)
    client.commit(
        records.Transaction("c", (), ()), lambda *each: outcomes.append(each)
    )
    assert outcomes == [(effects.CommitState.CONFLICT, GOOD)]


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        "",
        "[]",
        '{"revision": -1, "rows": []}',
        f'{{"revision": {10**30}, "rows": []}}',
        '{"revision": 1, "rows": 7}',
    ],
)
def test_a_read_without_a_usable_answer_fails(body):
    assert isinstance(read(body), result.Failure)
