from tamarackgap.peers import calls
from tamarackgap.traffic import outgoingbodies
from tests.support import bodies

BODY = bytes(5_000_000)


def test_a_body_of_one_part_is_sent_with_its_call():
    link = bodies.Link()
    assert link.send(1, bytes(outgoingbodies.PART_BYTES))
    assert [type(message) for message in link.queue] == [calls.Dispatch]
    assert not link.outgoing.is_incomplete(1)


def test_few_parts_are_on_their_way_at_once():
    # A body in one message kept the link for its whole length.
    link = bodies.Link()
    link.send(1, BODY)
    link.deliver()
    assert link.submitted[0].call.body == BODY
    assert link.most_on_way <= 1_100_000


def test_parts_on_their_way_count_in_the_budget():
    link = bodies.Link()
    link.send(1, BODY)
    link.deliver(1)
    assert link.sender_budget.used == link.most_on_way > 0
    link.deliver()
    assert link.sender_budget.used == 0


def test_a_call_can_not_have_run_before_all_its_parts_were_sent():
    link = bodies.Link()
    link.send(1, BODY)
    while link.outgoing.is_incomplete(1):
        assert link.submitted == []
        link.deliver(1)
    link.deliver()
    assert len(link.submitted) == 1


def test_a_leg_whose_connection_is_lost_fails_once():
    link = bodies.Link()
    link.send(1, BODY)
    link.deliver(2)
    link.is_up = False
    link.deliver()
    assert link.failed == [1]
    assert link.submitted == []
    assert link.sender_budget.used == 0


def test_a_call_without_connection_will_never_arrive():
    link = bodies.Link()
    link.is_up = False
    assert not link.send(1, BODY)
    assert not link.outgoing.is_incomplete(1)


def test_nothing_more_is_sent_of_a_dropped_body():
    link = bodies.Link()
    link.send(1, BODY)
    link.deliver(1)
    link.outgoing.drop(1)
    link.queue.clear()
    link.outgoing.handle_credit(calls.BodyCredit(1, 262_144))
    assert link.queue == link.failed == []
    assert link.sender_budget.used == 0
