import pytest

from tamarackgap.network import answerparser


@pytest.mark.parametrize(
    ("headers", "seconds"),
    [
        ([], float("inf")),
        ([(b"keep-alive", b"timeout=5, max=100")], 5.0),
        ([(b"x", b"timeout=1"), (b"keep-alive", b"max=1,Timeout=7")], 7.0),
        ([(b"keep-alive", b"timeout=soon")], float("inf")),
    ],
)
def test_the_idle_timeout_of_the_other_side_is_read(headers, seconds):
    assert answerparser.keep_alive_timeout(headers) == seconds
