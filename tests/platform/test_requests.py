import pytest

from tamarackgap import types
from tamarackgap.network import httppool
from tamarackgap.platform import requests


def _decode(status, **headers):
    header_pairs = [
        (name.replace("_", "-").encode(), value)
        for name, value in headers.items()
    ]
    return requests.decode_answer(1, httppool.Answer(status, header_pairs, b""))


@pytest.mark.parametrize(
    ("load", "reason"),
    [
        (b"12,0,12", types.Reason.TARGET_FULL),
        (b"3,1,12", types.Reason.TARGET_FULL),
        (b"3,0,12", types.Reason.TARGET_REFUSED),
        (b"nonsense", types.Reason.TARGET_FULL),
        (b"1,2", types.Reason.TARGET_FULL),
    ],
)
def test_the_load_header_tells_a_full_target_from_a_refusal(load, reason):
    completion = _decode(
        503,
        x_tamarackgap_not_executed=b"1",
        x_tamarackgap_server_load=load,
    )
    assert completion.verdict is types.Verdict.NOT_RUN
    assert completion.reason is reason


@pytest.mark.parametrize(
    ("echoed", "is_answer"),
    [([b"r1"], True), ([b"r2"], False), ([], False), ([b"r1", b"r2"], False)],
)
@pytest.mark.parametrize("status", [200, 400, 421, 503])
def test_only_an_answer_with_the_id_of_a_request_is_its_own(
    status, echoed, is_answer
):
    headers = [(b"x-tamarackgap-attempt-id", value) for value in echoed]
    answer = httppool.Answer(status, headers, b"")
    assert requests.is_answer_to("r1", answer) is is_answer


def test_a_misdirected_request_has_not_run():
    completion = _decode(421)
    assert completion.verdict is types.Verdict.NOT_RUN
    assert completion.reason is types.Reason.TARGET_MISDIRECTED


def test_503_without_the_header_may_have_run():
    assert _decode(503).verdict is types.Verdict.MAY_HAVE_RUN
