import tracemalloc

import pytest

from tamarackgap.network import answerparser, bytebudget


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


class Answers:
    """Feeds a parser, and keeps the answers that it has parsed."""

    def __init__(self, max_bytes, budget=None):
        self.received = []
        self.budget = budget or bytebudget.ByteBudget()
        self.parser = answerparser.AnswerParser(
            max_bytes,
            lambda status, headers, body: self.received.append(body),
            self.budget,
        )


CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("begin", "endless"),
    [(CHUNKED, b"2\r\nab\r\n"), (b"HTTP/1.1 200 OK\r\n", b"a:\r\n")],
)
def test_an_answer_takes_little_more_memory_than_it_may_have_bytes(
    begin, endless
):
    # Endless answers in chunks of two bytes took eight times the limit, and
    # twelve at once ended the process.
    answers = Answers(1_000_000)
    block = endless * (65_536 // len(endless))
    tracemalloc.start()
    try:
        answers.parser.feed(begin)
        while not answers.parser.is_too_large:
            assert answers.parser.feed(block)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 4 * answers.budget.used < 16_000_000


def test_answers_at_once_share_the_memory_of_the_process():
    budget = bytebudget.ByteBudget(1_000_000)
    all_answers = [Answers(400_000, budget) for _ in range(10)]
    for answers in all_answers:
        answers.parser.feed(CHUNKED)
    for _ in range(100):
        for answers in all_answers:
            if not answers.parser.is_too_large:
                answers.parser.feed(b"1000\r\n" + b"a" * 4096 + b"\r\n")
            if answers.parser.is_too_large:
                answers.parser.close()
        assert budget.used <= 1_000_000
    assert budget.refusals
    for answers in all_answers:
        answers.parser.close()
    assert budget.used == 0


def test_bytes_after_a_parser_was_closed_take_no_memory():
    budget = bytebudget.ByteBudget()
    parser = answerparser.AnswerParser(
        1000, lambda *answer: parser.close(), budget
    )
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
    parser.feed(answer + b"HTTP/1.1 200 OK\r\nx-a: b\r\nx-c: d\r\n")
    assert budget.used == 0


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
def test_a_status_that_http_does_not_have_makes_bytes_no_answer(status):
    # 000 was taken for an interim answer, and 600 and above were passed on.
    head = b"HTTP/1.1 %b X\r\ncontent-length: 1\r\n\r\n" % status
    answers = Answers(1000)
    assert not answers.parser.feed(head + b"a")
    assert answers.received == []
    assert answers.budget.used == 0
    in_parts = Answers(1000)
    assert not in_parts.parser.feed(head)
    assert not in_parts.parser.feed(b"a")
    assert in_parts.received == []


def test_an_answer_after_one_without_a_valid_status_is_not_believed():
    answers = Answers(1000)
    bad = b"HTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n"
    good = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb"
    assert not answers.parser.feed(bad + good)
    assert answers.received == []


@pytest.mark.parametrize("status", [b"200", b"599"])
def test_an_answer_with_an_interim_one_before_it_is_passed_on(status):
    answers = Answers(1000)
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    final = b"HTTP/1.1 %b X\r\ncontent-length: 1\r\n\r\nc" % status
    assert answers.parser.feed(interim + final)
    assert answers.received == [b"c"]
