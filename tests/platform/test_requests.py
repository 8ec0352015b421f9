import pytest

from tamarackgap import types
from tamarackgap.network import httppool
from tamarackgap.platform import requests


def _judge(status, **headers):
    named = [
        (name.replace("_", "-").encode(), value)
        for name, value in headers.items()
    ]
    return requests.decode_answer(1, httppool.Answer(status, named, b""))


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
def test_a_refusal_is_told_from_a_full_target_by_its_load(load, reason):
    found = _judge(
        503,
        x_tamarackgap_not_executed=b"1",
        x_tamarackgap_server_load=load,
    )
    assert found.verdict is types.Verdict.NOT_RUN
    assert found.reason is reason


def test_another_target_than_was_meant_has_not_run_it():
    found = _judge(421)
    assert found.verdict is types.Verdict.NOT_RUN
    assert found.reason is types.Reason.TARGET_MISDIRECTED


def test_503_without_the_header_may_have_run():
    assert _judge(503).verdict is types.Verdict.MAY_HAVE_RUN
