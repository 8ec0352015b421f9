import pytest
from returns import result

from tamarackgap import types
from tamarackgap.network import httppool, httpserver, requestparser
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
        (b"3,0," + b"9" * 5000, types.Reason.TARGET_REFUSED),
        (b"\xd9\xa3,0,12", types.Reason.TARGET_FULL),
        (b"3,0,12,160", types.Reason.TARGET_REFUSED),
        (b"12,0,12,70", types.Reason.TARGET_FULL),
        (b"3,0,12,nonsense,7", types.Reason.TARGET_REFUSED),
        (b"3,0,12,,", types.Reason.TARGET_REFUSED),
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
    ("load", "slowdown"),
    [
        (b"3,0,12,160", 1.6),
        (b"3,0,12, 70 ,5", 0.7),
        (b"3,0,12", 0.0),
        (b"3,0,12,-5", 0.0),
        (b"3,0,12,x", 0.0),
        (b"", 0.0),
    ],
)
def test_a_target_tells_how_long_work_takes_now(load, slowdown):
    answered = _decode(
        200,
        x_tamarackgap_response_signature=b"s",
        x_tamarackgap_server_load=load,
    )
    refused = _decode(
        503, x_tamarackgap_not_executed=b"1", x_tamarackgap_server_load=load
    )
    assert answered.slowdown == refused.slowdown == slowdown


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


@pytest.mark.parametrize("status", [301, 400, 404, 413, 431, 499])
def test_a_refusal_without_signature_is_not_passed_on(status):
    # Callers take it for this system's own: proper requests were turned away.
    completion = _decode(status)
    assert completion.verdict is types.Verdict.MAY_HAVE_RUN
    signed = _decode(status, x_tamarackgap_response_signature=b"s")
    assert signed.verdict is types.Verdict.ANSWERED
    assert signed.status == status


def _decode_call(**headers):
    header_pairs = [
        (b"host", b"h"),
        (b"x-tamarackgap-attempt-id", b"r1"),
        *(
            (f"x-tamarackgap-{name.replace('_', '-')}".encode(), value)
            for name, value in headers.items()
        ),
    ]
    parsed = requestparser.ParsedRequest(
        "GET", "/x", header_pairs, b"", keeps_connection=True, memory=0
    )
    incoming = httpserver.IncomingRequest(None, 0.0, parsed)
    return requests.decode_call(incoming, types.ServiceName("s"))


@pytest.mark.parametrize("digits", [20, 400, 5000])
def test_a_timeout_of_many_digits_is_a_long_one(digits):
    request = _decode_call(timeout_ms=b"9" * digits).unwrap()
    assert 10**9 < request.timeout < float("inf")
    assert (
        _decode_call(timeout_ms=b"0" * digits + b"500").unwrap().timeout == 0.5
    )


@pytest.mark.parametrize(
    "key", [b"9" * 20, b"9" * 5000, b"-1", b"\xd9\xa3", b"", b"1.0", b"65536"]
)
def test_a_shard_key_out_of_range_is_refused(key):
    assert isinstance(_decode_call(shard_key=key), result.Failure)


def test_a_request_from_this_machine_is_a_call_of_its_server():
    headers = [(b"host", b"h"), (b"x-tamarackgap-attempt-id", b"r1")]
    parsed = requestparser.ParsedRequest(
        "GET", "/x", headers, b"", keeps_connection=True, memory=0
    )
    for is_local in (False, True):
        incoming = httpserver.IncomingRequest(None, 0.0, parsed, is_local)
        decoded = requests.decode_call(incoming, types.ServiceName("s"))
        assert decoded.unwrap().call.is_nested is is_local
