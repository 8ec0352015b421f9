import types as module_types

import pytest

from tamarackgap.peers import calls
from tamarackgap.traffic import balancer, targets


def status(**changed):
    values = {
        "service": "s",
        "accepting": True,
        "capacity": 4,
        "running": 1,
        "waiting": 0,
        "relative_latency": 0.3,
        "version": 1,
        "data_centre": "north",
        "process": "p1",
        "interval": 0.25,
        **changed,
    }
    return calls.TargetStatus(**values)


@pytest.fixture
def subject():
    timers = module_types.SimpleNamespace(now=100.0)
    record = module_types.SimpleNamespace(peer_address="1.2.3.4:5")
    leases = {"known": record}
    core = module_types.SimpleNamespace(
        view=module_types.SimpleNamespace(lease=leases.get)
    )
    return timers, targets.TargetDirectory(core, timers)


def test_another_process_at_an_address_means_the_earlier_is_gone(subject):
    _, found = subject
    assert found.update_status("a", "x:1", status()) == []
    assert found.update_status("b", "y:1", status()) == []
    assert found.update_status("c", "x:1", status(process="p2")) == ["a"]


def test_a_process_that_goes_on_under_another_name_is_not_gone(subject):
    # Calls in progress at a daemon that left its lease were taken for lost.
    _, found = subject
    found.update_status("a", "x:1", status())
    before = next(found.of_service("s"))
    assert found.update_status("b", "x:1", status(accepting=False)) == []
    (after,) = found.of_service("s")
    assert after is before
    assert after.incarnation == "b"
    assert not after.accepting
    assert not found.is_heard("a")
    # News of the earlier name that come late do not bring it back for good.
    found.update_status("a", "x:1", status())
    assert found.update_status("b", "x:1", status()) in ([], ["a"])
    assert found.address("b") == "x:1"


def test_a_daemon_that_left_its_lease_keeps_its_address_until_it_ends(subject):
    _, found = subject
    found.update_status("a", "x:1", status())
    found.update_status("b", "x:1", status())
    assert found.addresses() == {"x:1"}
    found.remove("b")
    assert found.addresses() == set()


def test_only_targets_of_a_service_are_listed(subject):
    _, found = subject
    found.update_status("a", "x:1", status())
    found.update_status("b", "y:1", status(service="t"))
    assert [c.incarnation for c in found.of_service("s")] == ["a"]


def test_room_is_what_is_left_of_the_capacity(subject):
    _, found = subject
    found.update_status("a", "x:1", status(running=3))
    assert found.has_room("s")
    next(found.of_service("s")).sent_since_report = 1
    assert not found.has_room("s")
    found.record_load(
        "a", calls.Completion(1, calls.types.Verdict.ANSWERED, running=2)
    )
    assert found.has_room("s")


def test_silence_is_noticed_and_forgotten_in_the_end(subject):
    timers, found = subject
    found.update_status("a", "x:1", status())
    assert found.is_heard("a")
    timers.now += balancer.SILENCE_TIMEOUT_S
    assert not found.is_heard("a")
    assert found.expired() == []
    timers.now += 10 * balancer.SILENCE_TIMEOUT_S
    assert found.expired() == ["a"]
    found.remove("a")
    assert not list(found.of_service("s"))


def test_a_daemon_that_tells_seldom_is_waited_for_longer(subject):
    timers, found = subject
    found.update_status("a", "x:1", status(interval=1.0))
    timers.now += 2 * 1.0
    assert found.is_heard("a")
    assert next(found.of_service("s")).is_usable(timers.now)
    timers.now += 1.0
    assert not found.is_heard("a")
    assert not next(found.of_service("s")).is_usable(timers.now)


def test_an_owner_that_has_told_nothing_is_known_by_its_record(subject):
    _, found = subject
    assert found.for_owner("known").incarnation == "known"
    assert found.address("known") == "1.2.3.4:5"
    assert found.address("nobody") == ""
