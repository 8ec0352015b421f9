import pytest

from tamarackgap import logs


def line(**fields):
    message = {
        "timestamp": 0.0,
        "task_uuid": "u",
        "task_level": [1],
        "message_type": "request",
        **fields,
    }
    return logs.line_of(message)


def test_a_line_is_pairs_of_key_and_value():
    assert (
        line(slot=3, lease_left=0.5, alone=True)
        == "time=1970-01-01T00:00:00.000Z event=request slot=3"
        " lease_left=0.5 alone=true"
    )


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        ("a b", '"a b"'),
        ("a=b", '"a=b"'),
        ("", '""'),
        ("two\nlines", '"two\\nlines"'),
        ('say "x"', '"say \\"x\\""'),
        ("plain-1:2/3", "plain-1:2/3"),
    ],
)
def test_a_value_is_quoted_where_it_must_be(value, shown):
    found = line(key=value)
    assert found.endswith(f" key={shown}")
    assert "\n" not in found
