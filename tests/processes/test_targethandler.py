import types as module_types

import pytest

from tamarackgap.network import bytebudget, httppool
from tamarackgap.ownership import effects
from tamarackgap.platform import servers
from tamarackgap.processes import targethandler
from tamarackgap.traffic import adapter as adapterstructs
from tamarackgap.traffic import (
    crashes,
    localtarget,
    orders,
    routetable,
    runner,
)

SLOT_COUNT = 256


class Pool:
    """Records the orders that are sent, without connections."""

    has_established_connection = False

    def __init__(self, sent):
        self.sent = sent
        self.closed = 0

    def close(self):
        self.closed += 1

    def send(self, build, timeout, done, is_answer, exclusive):
        self.sent.append((build(), is_answer, exclusive))


class Core:
    """Owns two slots of a service, under a lease without end."""

    incarnation = "o-1"
    settings = effects.Settings("s", "d", "z", "p", "h")
    slots_version = 1
    owned = {slot: effects.OwnedSlot(1, 0.0, "") for slot in (0, 1)}
    view = module_types.SimpleNamespace(
        service_record=lambda service: module_types.SimpleNamespace(
            slots=SLOT_COUNT
        )
    )

    def lease_until(self):
        return 100.0

    def record_release(self, handovers):
        pass

    def release_lease(self, now):
        pass


@pytest.fixture
def handler_and_sent(monkeypatch):
    sent = []
    monkeypatch.setattr(
        targethandler.httppool, "ConnectionPool", lambda *unused: Pool(sent)
    )
    settings = module_types.SimpleNamespace(
        daemon_service="s",
        router_announce_interval=1000,
        router_target_address="127.0.0.1:1",
        requests_answer=1000,
        ownership_lease=2000,
        router_longest_hold=10_000,
        router_cold_overage=1.5,
        router_cold_slack=8.0,
    )
    adapter = module_types.SimpleNamespace(
        decode_announcement=lambda incoming: incoming.announcement,
        encode_announcement_answer=lambda holds, address: (
            adapterstructs.Response(200, [], address.encode())
        ),
        max_hold_ranges=10,
        codec=runner.Codec(None, None, None),
        encode_order=lambda order: order,
        is_order_answer=servers.is_order_answer,
    )
    timers = module_types.SimpleNamespace(now=1.0, after=lambda *unused: None)
    handler = targethandler.TargetHandler(
        settings,
        adapter,
        Core(),
        None,
        timers,
        crashes.CrashHistory(),
        lambda: None,
        bytebudget.ByteBudget(),
    )
    return handler, sent


GRANTED = httppool.Answer(200, [], b"")
SUPERSEDED = httppool.Answer(409, [], b"")
RELEASED = httppool.Answer(200, [(b"x-tamarackgap-handover", b"h")], b"")


def test_no_copy_of_the_answer_to_a_grant_acknowledges_a_release(
    handler_and_sent,
):
    handler, sent = handler_and_sent
    handler.renew_grants()
    handler.begin_release(frozenset({0}))
    grant, is_grant_answer, is_grant_alone = sent[0]
    release, is_release_answer, is_release_alone = sent[1]
    assert isinstance(grant, orders.Grant) and not is_grant_alone
    assert isinstance(release, orders.Release) and is_release_alone
    answers = (GRANTED, SUPERSEDED, RELEASED)
    assert [is_grant_answer(answer) for answer in answers] == [
        True,
        True,
        False,
    ]
    assert [is_release_answer(answer) for answer in answers] == [
        False,
        False,
        True,
    ]


def test_silence_of_a_target_breaks_off_no_running_call(handler_and_sent):
    # A target that had deregistered served on; what it ran was answered 502
    # when its last announcement was too old.
    handler, _ = handler_and_sent
    handler.target.handle_announcement(
        localtarget.Announcement("i-1", "s", 4, sequence=1), 1.0
    )
    assert handler.is_serving
    handler._timers.now = 10.0
    handler.check_silence()
    assert not handler.is_serving
    assert not handler.runner.accepting
    assert handler._call_pool.closed == 0


def test_calls_of_an_ended_target_are_failed_at_once(handler_and_sent):
    handler, _ = handler_and_sent
    handler.target.handle_announcement(
        localtarget.Announcement("i-1", "s", 4, sequence=1), 1.0
    )
    handler.runner.on_connection_refused()
    assert handler._call_pool.closed == 1


def announce(handler, sequence, cold_s, instance="i-1"):
    handler.handle_announcement(
        module_types.SimpleNamespace(
            announcement=localtarget.Announcement(
                instance, "s", 4, cold_s=cold_s, sequence=sequence
            ),
            respond=lambda *unused: None,
        )
    )


def offered_capacity(handler):
    return handler.runner.queue.offered_capacity(handler._timers.now)


def test_latest_announcement_says_whether_the_target_is_cold(
    handler_and_sent,
):
    handler, _ = handler_and_sent
    handler.limit_cold_calls(routetable.Service("s", True, 16, None, 7.0))
    announce(handler, 1, 0.0)
    assert offered_capacity(handler) == 4
    announce(handler, 3, 3.0)
    # An earlier announcement that arrives late.
    announce(handler, 2, 0.0)
    assert offered_capacity(handler) == 1
    handler._timers.now += 1.0
    announce(handler, 4, 0.0)
    assert offered_capacity(handler) == 4
    announce(handler, 5, 3.0)
    handler._timers.now += 3.1
    assert offered_capacity(handler) == 4


def test_a_cold_target_is_not_limited_without_a_rate(handler_and_sent):
    handler, _ = handler_and_sent
    handler.limit_cold_calls(routetable.Service("s", True, 16))
    announce(handler, 1, 3.0)
    assert offered_capacity(handler) == 4
    handler.limit_cold_calls(None)
    assert offered_capacity(handler) == 4


def test_a_rate_that_comes_after_the_announcement_holds(handler_and_sent):
    handler, _ = handler_and_sent
    announce(handler, 1, 3.0)
    handler.limit_cold_calls(routetable.Service("s", True, 16, None, 7.0))
    assert offered_capacity(handler) == 1


def test_an_evacuated_target_is_as_if_leaving(handler_and_sent):
    handler, _ = handler_and_sent
    told = []
    handler.on_status_changed = lambda: told.append(handler.runner.accepting)
    announce(handler, 1, 0.0)
    assert handler.is_serving
    assert handler.runner.accepting
    told.clear()
    handler.set_evacuated(True)
    handler.set_evacuated(True)
    assert told == [False]
    assert not handler.is_serving
    # Announcements don't take it back.
    announce(handler, 2, 0.0)
    assert not handler.runner.accepting
    handler.set_evacuated(False)
    assert told == [False, True]
    assert handler.is_serving
    assert handler.runner.accepting


def test_a_new_process_of_an_evacuated_target_gets_no_calls(handler_and_sent):
    handler, _ = handler_and_sent
    handler.set_evacuated(True)
    announce(handler, 1, 0.0)
    announce(handler, 1, 3.0, instance="i-2")
    assert not handler.runner.accepting
    handler.set_evacuated(False)
    assert handler.runner.accepting


def test_a_target_is_taken_to_be_cold_when_it_is_taken_back(handler_and_sent):
    handler, _ = handler_and_sent
    handler.limit_cold_calls(routetable.Service("s", True, 16, None, 7.0))
    announce(handler, 1, 0.0)
    handler.set_evacuated(True)
    announce(handler, 2, 0.0)
    handler.set_evacuated(False)
    assert offered_capacity(handler) == 1
    # It may have been sent before.
    announce(handler, 3, 0.0)
    assert offered_capacity(handler) == 1
    handler._timers.now += 0.5
    assert offered_capacity(handler) == 1
    announce(handler, 4, 2.5)
    assert offered_capacity(handler) == 1
    handler._timers.now += 2.5
    announce(handler, 5, 0.0)
    assert offered_capacity(handler) == 4


def test_a_leaving_target_is_not_used_when_its_data_centre_is_taken_back(
    handler_and_sent,
):
    handler, _ = handler_and_sent
    announce(handler, 1, 0.0)
    handler.set_evacuated(True)
    handler.handle_announcement(
        module_types.SimpleNamespace(
            announcement=localtarget.Announcement(
                "i-1", "s", 4, leaving=True, sequence=2
            ),
            respond=lambda *unused: None,
        )
    )
    handler.set_evacuated(False)
    assert not handler.runner.accepting


class _Incoming:
    def __init__(self, **fields):
        self.announcement = localtarget.Announcement(
            "i-1", "s", 4, **{"born_ms": 100, **fields}
        )
        self.statuses = []
        self.bodies = []

    def respond(self, status, headers, body):
        self.statuses.append(status)
        self.bodies.append(body)


def test_a_target_is_not_used_before_its_leavings_are_known(handler_and_sent):
    handler, _ = handler_and_sent
    handler.await_leavings()
    late = _Incoming(sequence=7)
    handler.handle_announcement(late)
    handler.handle_announcement(_Incoming(sequence=5))
    assert late.statuses == [200]
    assert not handler.is_serving
    handler.record_left(late.announcement.process)
    handler.begin_use()
    assert not handler.is_serving
    assert not handler.runner.accepting


def test_a_target_that_has_not_left_is_used_once_that_is_known(
    handler_and_sent,
):
    handler, _ = handler_and_sent
    handler.await_leavings()
    handler.handle_announcement(_Incoming(sequence=7))
    handler.begin_use()
    assert handler.is_serving
    assert handler.runner.accepting


def test_an_announcement_at_the_address_named_by_this_process_counts(
    handler_and_sent,
):
    # Nothing else shows that it was not sent before all daemons were killed.
    handler, _ = handler_and_sent
    handler.await_leavings()
    handler.fresh_address = "h:7625"
    handler.on_fresh_announcement = lambda: handler.begin_use(False)
    late = _Incoming(sequence=7)
    handler.handle_announcement(late)
    assert late.bodies == [b"h:7625"]
    handler.handle_fresh_announcement(_Incoming(sequence=8, leaving=True))
    assert not handler.is_serving
    later = _Incoming(sequence=1, born_ms=10**13)
    handler.handle_fresh_announcement(later)
    assert handler.is_serving
    assert later.bodies == [b""]


def test_an_announcement_that_was_held_back_may_not_count(handler_and_sent):
    handler, _ = handler_and_sent
    handler.await_leavings()
    handler.handle_announcement(_Incoming(sequence=7))
    handler.begin_use(with_held=False)
    assert not handler.is_serving
    handler.handle_announcement(_Incoming(sequence=8))
    assert handler.is_serving


@pytest.mark.parametrize("is_known", [True, False])
@pytest.mark.parametrize("fields", [{"leaving": True}, {"final": True}])
def test_a_leaving_is_acknowledged_once_others_know_it(
    handler_and_sent, fields, is_known
):
    handler, _ = handler_and_sent
    asked = []
    handler.confirm_leaving = lambda *each: asked.append(each)
    handler.handle_announcement(_Incoming(sequence=1))
    leaving = _Incoming(sequence=2, **fields)
    handler.handle_announcement(leaving)
    assert leaving.statuses == []
    assert not handler.is_serving
    ((process, done),) = asked
    assert process == leaving.announcement.process
    done(is_known)
    assert leaving.statuses == [200 if is_known else 503]
