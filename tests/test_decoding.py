import json

import msgspec
import pytest

from tamarackgap import decoding

DEEP = "[" * 100_000 + "]" * 100_000


class Page(msgspec.Struct):
    version: int
    rows: list[msgspec.Raw]


@pytest.mark.parametrize(
    "data", [DEEP.encode(), b'{"rows": "\xff"}', b"\xff", b""]
)
@pytest.mark.parametrize("decode", [decoding.decode, decoding.decode_with_list])
def test_what_cannot_be_read_raises_one_kind_of_error(decode, data):
    with pytest.raises(msgspec.MsgspecError):
        decode(data, Page)


@pytest.mark.parametrize(
    "data", ['{"rows": "\ud800"}', f'{{"version": 1, "rows": [], "x": {DEEP}}}']
)
def test_a_text_that_cannot_be_read_raises_one_kind_of_error(data):
    with pytest.raises(msgspec.MsgspecError):
        decoding.decode(data, Page)


def test_a_deeply_nested_field_leaves_the_list_beside_it():
    text = f'{{"version": 1, "x": {DEEP}, "rows": [3]}}'
    page = decoding.decode_with_list(text.encode(), Page)
    assert [bytes(row) for row in page.rows] == [b"3"]


@pytest.mark.parametrize(
    "odd",
    [
        DEEP,
        f'{{"]": {DEEP}}}',
        f'{{"a\\"[": [{DEEP}, "]"]}}',
        '{"a": "\\ud800"}',
        '{"a": [NaN, -Infinity]}',
        "{]",
        "nothing",
    ],
)
def test_an_unreadable_entry_leaves_the_others_of_a_list(odd):
    entries = [{"a": [1, {"b\\": "]}"}]}, None, "[[", 2]
    texts = [json.dumps(entry) for entry in entries]
    texts.insert(2, odd)
    text = f'{{"version": 7, "rows": [{", ".join(texts)}]}}'
    page = decoding.decode_with_list(text.encode(), Page)
    assert page.version == 7
    entries.insert(2, None)
    assert [json.loads(bytes(row)) for row in page.rows] == entries
