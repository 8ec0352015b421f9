import types as module_types

import msgspec
import pytest
from returns import result

from tamarackgap.requests import parsing


def parse(**headers):
    request = module_types.SimpleNamespace(
        path=parsing.PATH_PREFIX + "seats/x",
        qs="key=k",
        method="GET",
        headers={
            name.replace("_", "-"): value for name, value in headers.items()
        },
    )
    settings = module_types.SimpleNamespace(
        requests_key=512, requests_deadline=5000
    )
    return parsing.parse_request(request, b"", settings)


@pytest.mark.parametrize("name", ["X_Attempt", "X_First_Sent_Ms"])
@pytest.mark.parametrize(
    "number", ["9" * 30, "-" + "9" * 30, "9" * 5000, "1e5", "NaN", ""]
)
def test_a_number_that_cannot_be_passed_on_is_refused(name, number):
    assert isinstance(parse(**{name: number}), result.Failure)


def test_numbers_in_range_are_passed_on():
    request = parse(X_Attempt="2", X_First_Sent_Ms="1700000000000").unwrap()
    numbers = (request.attempt, request.first_sent_ms)
    assert msgspec.msgpack.encode(numbers)
    assert numbers == (2, 1_700_000_000_000)
