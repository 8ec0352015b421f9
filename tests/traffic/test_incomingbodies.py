import pytest

from tamarackgap import types
from tests.support import bodies

MB = 1_000_000
BODY = bytes(range(256)) * 20_000


def test_a_body_arrives_whole_with_the_time_that_is_left():
    link = bodies.Link()
    link.send(1, BODY)
    link.deliver(3)
    link.timers.advance(0.4)
    link.deliver()
    (dispatch,) = link.submitted
    assert dispatch.call.body == BODY
    assert dispatch.remaining == pytest.approx(1.6)
    assert dispatch.objective_remaining == pytest.approx(0.1)
    assert link.incoming.count == link.budget.used == 0


def test_bodies_have_their_room_before_they_are_sent():
    # Bodies of several callers at once took daemons over their memory.
    link = bodies.Link(memory=40 * MB)
    for leg in range(1, 8):
        link.send(leg, bytes(10 * MB))
    link.deliver(7)
    assert link.budget.used <= 30 * MB
    assert {reply.leg for reply in link.replies} == {4, 5, 6, 7}
    assert {reply.reason for reply in link.replies} == {types.Reason.QUEUE_FULL}
    link.deliver()
    assert [dispatch.leg for dispatch in link.submitted] == [1, 2, 3]


def test_a_call_that_would_not_run_is_refused_before_its_body_is_sent():
    link = bodies.Link(refusal=types.Reason.DRAINING)
    link.send(1, BODY)
    link.deliver()
    (reply,) = link.replies
    assert reply.reason is types.Reason.DRAINING
    assert link.most_on_way == link.budget.used == 0


@pytest.mark.parametrize("lost", [0, 1, 5])
def test_a_body_of_which_a_part_was_lost_is_refused(lost):
    link = bodies.Link()
    link.send(1, BODY)
    link.deliver(1 + lost)
    del link.queue[0]
    link.deliver()
    assert link.submitted == []
    assert {reply.verdict for reply in link.replies} == {types.Verdict.NOT_RUN}
    assert link.incoming.count == link.budget.used == 0


def test_the_process_after_the_receiver_refuses_what_it_has_not_got_whole():
    link = bodies.Link()
    link.send(1, BODY)
    link.deliver(3)
    link.restart_receiver()
    link.deliver()
    assert link.submitted == []
    assert link.replies[0].leg == 1
    assert link.replies[0].verdict is types.Verdict.NOT_RUN


@pytest.mark.parametrize("end", ["deadline", "withdrawal"])
def test_a_body_whose_caller_waits_no_more_takes_no_memory(end):
    link = bodies.Link()
    link.send(1, BODY)
    link.deliver(3)
    assert link.budget.used >= len(BODY)
    if end == "deadline":
        link.timers.advance(2.1)
    else:
        link.incoming.withdraw(bodies.SENDER, 1)
    assert link.incoming.count == link.budget.used == 0
    link.deliver()
    assert link.submitted == []


def test_a_part_beyond_the_announced_size_ends_the_body():
    link = bodies.Link()
    link.send(1, BODY)
    link.queue[0] = type(link.queue[0])(link.queue[0].dispatch, 300_000)
    link.deliver()
    assert link.submitted == []
    assert link.replies[0].verdict is types.Verdict.NOT_RUN
    assert link.budget.used == 0
