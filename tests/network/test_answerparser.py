import gc
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


# A field of a trailer was kept up to the limit of a body, in ever new copies
# that no budget saw: twelve answers at once ended the process.
@pytest.mark.parametrize(
    ("begin", "endless"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"a"),
        (b"HTTP/1.1 200 OK\r\na: ", b"a"),
        (CHUNKED, b"0"),
        (CHUNKED + b"2;", b"a"),
        (CHUNKED + b"2\r\nab\r\n0\r\n", b"a"),
        (CHUNKED + b"2\r\nab\r\n0\r\na: ", b"a"),
        (CHUNKED + b"2\r\nab\r\n0\r\n", b"a: b\r\n"),
    ],
)
def test_a_part_without_end_is_given_up_as_early_as_a_head(begin, endless):
    answers = Answers(4_000_000)
    block = endless * (16_384 // len(endless))
    answers.parser.feed(begin)
    fed = 0
    while fed < 200_000 and not answers.parser.is_too_large:
        if not answers.parser.feed(block):
            break
        fed += len(block)
    assert fed < 100_000
    assert answers.received == []


def test_parts_that_are_not_complete_share_the_memory_of_the_process():
    budget = bytebudget.ByteBudget(200_000)
    all_answers = [Answers(4_000_000, budget) for _ in range(20)]
    for answers in all_answers:
        answers.parser.feed(CHUNKED + b"0\r\nx-a: ")
        answers.parser.feed(b"a" * 40_000)
    assert sum(answers.parser.is_too_large for answers in all_answers) >= 15
    assert budget.used >= 20 * 40_000
    for answers in all_answers:
        answers.parser.close()
    assert budget.used == 0


def test_a_trailer_is_as_long_as_a_head_may_be():
    answers = Answers(200_000)
    for byte in CHUNKED + b"2;x=y\r\nab\r\n0\r\n":
        assert answers.parser.feed(bytes([byte]))
    for _ in range(12):
        assert answers.parser.feed(b"x-a: " + b"a" * 5000 + b"\r\n")
        assert not answers.parser.is_too_large
    assert answers.parser.feed(b"\r\n")
    assert answers.received == [b"ab"]
    assert answers.budget.used == 0


@pytest.mark.parametrize(
    "begin", [CHUNKED + b"0\r\nx-a: ", CHUNKED + b"ffffff\r\n"]
)
def test_an_answer_whose_connection_was_closed_keeps_nothing(begin):
    # It lasted until a cyclic garbage collection, which counts objects.
    answers = Answers(4_000_000)
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        answers.parser.feed(begin)
        for _ in range(4):
            answers.parser.feed(b"a" * 65_536)
        answers.parser.close()
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert held < 10_000


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
