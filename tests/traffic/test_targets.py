import types as module_types

import pytest

from tamarackgap import types
from tamarackgap.peers import calls
from tamarackgap.scheduling import balancer
from tamarackgap.traffic import targets


def status(**fields):
    values = {
        "service": "s",
        "accepting": True,
        "capacity": 4,
        "running": 1,
        "waiting": 0,
        "relative_latency": 0.3,
        "route_table_version": 1,
        "data_centre": "north",
        "process": "p1",
        "interval": 0.25,
        **fields,
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


def test_new_process_at_address_ends_earlier_daemon(subject):
    _, directory = subject
    assert directory.update_status("a", "x:1", status()) == []
    assert directory.update_status("b", "y:1", status()) == []
    assert directory.update_status("c", "x:1", status(process="p2")) == ["a"]


def test_process_with_new_incarnation_keeps_its_candidate(subject):
    # Calls at a daemon that had given up its lease were failed as lost.
    _, directory = subject
    directory.update_status("a", "x:1", status())
    before = next(directory.candidates_of_service("s"))
    assert directory.update_status("b", "x:1", status(accepting=False)) == []
    (after,) = directory.candidates_of_service("s")
    assert after is before
    assert after.incarnation == "b"
    assert not after.accepting
    assert not directory.is_reachable("a")
    # A late status of the earlier incarnation does not restore it permanently.
    directory.update_status("a", "x:1", status())
    assert directory.update_status("b", "x:1", status()) in ([], ["a"])
    assert directory.address("b") == "x:1"


def test_address_is_kept_after_lease_until_daemon_is_removed(subject):
    _, directory = subject
    directory.update_status("a", "x:1", status())
    directory.update_status("b", "x:1", status())
    assert directory.addresses() == {"x:1"}
    directory.remove("b")
    assert directory.addresses() == set()


def test_only_targets_of_service_are_listed(subject):
    _, directory = subject
    directory.update_status("a", "x:1", status())
    directory.update_status("b", "y:1", status(service="t"))
    assert [c.incarnation for c in directory.candidates_of_service("s")] == [
        "a"
    ]


def test_has_room_compares_load_with_capacity(subject):
    _, directory = subject
    directory.update_status("a", "x:1", status(running=3))
    assert directory.has_room("s")
    next(directory.candidates_of_service("s")).sent_since_report = 1
    assert not directory.has_room("s")
    directory.record_load(
        "a", calls.Completion(1, calls.types.Verdict.ANSWERED, running=2)
    )
    assert directory.has_room("s")


def test_silent_daemon_expires(subject):
    timers, directory = subject
    directory.update_status("a", "x:1", status())
    assert directory.is_reachable("a")
    timers.now += balancer.SILENCE_TIMEOUT_S
    assert not directory.is_reachable("a")
    assert directory.expired_daemons() == []
    timers.now += 10 * balancer.SILENCE_TIMEOUT_S
    assert directory.expired_daemons() == ["a"]
    directory.remove("a")
    assert not list(directory.candidates_of_service("s"))


def test_silence_timeout_grows_with_report_interval(subject):
    timers, directory = subject
    directory.update_status("a", "x:1", status(interval=1.0))
    timers.now += 2 * 1.0
    assert directory.is_reachable("a")
    assert next(directory.candidates_of_service("s")).is_usable(timers.now)
    timers.now += 1.0
    assert not directory.is_reachable("a")
    assert not next(directory.candidates_of_service("s")).is_usable(timers.now)


def test_owner_without_report_is_found_by_lease_record(subject):
    _, directory = subject
    assert directory.candidate_of_owner("known").incarnation == "known"
    assert directory.address("known") == "1.2.3.4:5"
    assert directory.address("nobody") == ""


def test_a_relayed_status_counts_from_when_it_was_heard(subject):
    timers, directory = subject
    directory.update_status("a", "x:1", status(interval=2.0), age=1.5)
    assert directory.is_reachable("a")
    timers.now += 3.5
    # Five seconds after the daemon was last heard.
    assert not directory.is_reachable("a")


def test_a_relayed_status_does_not_replace_a_later_one(subject):
    timers, directory = subject
    directory.update_status("a", "x:1", status(accepting=False, running=0))
    timers.now += 0.5
    directory.update_status("a", "x:1", status(running=3), age=1.0)
    (candidate,) = directory.candidates_of_service("s")
    assert not candidate.accepting
    assert candidate.reported_load == 0
    assert candidate.last_heard == 100.0


def test_a_relayed_status_does_not_bring_back_an_ended_process(subject):
    timers, directory = subject
    directory.update_status("b", "x:1", status(process="p2"))
    timers.now += 0.5
    assert directory.update_status("a", "x:1", status(), age=1.0) == []
    assert not directory.is_reachable("a")
    assert directory.is_reachable("b")


def test_a_relayed_status_does_not_replace_the_load_of_a_completion(subject):
    timers, directory = subject
    directory.update_status("a", "x:1", status())
    timers.now += 1.0
    completion = calls.Completion(
        1, types.Verdict.ANSWERED, running=4, waiting=2, slowdown=1.5
    )
    directory.record_load("a", completion)
    directory.update_status(
        "a", "x:1", status(running=0, accepting=False), age=0.5
    )
    (candidate,) = directory.candidates_of_service("s")
    assert candidate.reported_load == 6
    assert candidate.slowdown == 1.5
    # The state of the target is newer than the one that was known.
    assert not candidate.accepting


def test_a_digest_leaves_out_other_data_centres_and_silent_daemons(subject):
    timers, directory = subject
    directory.update_status("old", "w:1", status())
    timers.now += 2.0
    directory.update_status("a", "x:1", status())
    directory.update_status("b", "y:1", status(data_centre="south"))
    timers.now += 0.25
    (heard,) = directory.digest("north")
    assert (heard.incarnation, heard.address) == ("a", "x:1")
    assert heard.age == pytest.approx(0.25)
