import pytest

from tamarackgap.traffic import localtarget

Transition = localtarget.Transition


def announcement(sequence=1, instance="i-1", born=100, **fields):
    values = {"service": "seats", "capacity": 4, **fields}
    return localtarget.Announcement(
        instance, born_ms=born, sequence=sequence, **values
    )


def new_target():
    return localtarget.LocalTarget("seats", 1.0, 0.0)


def test_first_announcement_starts_serving():
    target = new_target()
    assert (
        target.handle_announcement(announcement(), 0.1)
        is Transition.NEW_PROCESS
    )
    assert target.phase is localtarget.Phase.SERVING
    assert target.handle_announcement(announcement(2), 1.0) is Transition.NONE


def test_late_announcement_is_ignored():
    target = new_target()
    target.handle_announcement(announcement(5), 0.0)
    assert (
        target.handle_announcement(announcement(4, leaving=True), 0.1)
        is Transition.NONE
    )
    assert target.phase is localtarget.Phase.SERVING


def test_announcement_of_earlier_process_is_ignored():
    target = new_target()
    target.handle_announcement(announcement(1, instance="i-2", born=200), 0.0)
    assert target.handle_announcement(announcement(9), 0.1) is Transition.NONE
    assert target.instance == "i-2"


def test_new_process_may_have_same_instance_id():
    target = new_target()
    target.handle_announcement(announcement(9), 0.0)
    assert (
        target.handle_announcement(announcement(1, born=300), 0.1)
        is Transition.NEW_PROCESS
    )


def test_leaving_is_reported_once_and_not_reversed():
    target = new_target()
    target.handle_announcement(announcement(1), 0.0)
    assert (
        target.handle_announcement(announcement(2, leaving=True), 0.1)
        is Transition.LEAVING
    )
    assert (
        target.handle_announcement(announcement(3, leaving=True), 0.2)
        is Transition.NONE
    )
    assert target.handle_announcement(announcement(4), 0.3) is Transition.NONE
    assert target.phase is localtarget.Phase.LEAVING


def test_final_announcement_means_leaving():
    target = new_target()
    target.handle_announcement(announcement(1), 0.0)
    final = localtarget.Announcement("i-1", final=True)
    assert target.handle_announcement(final, 0.1) is Transition.LEAVING
    other = localtarget.Announcement("i-0", final=True)
    assert target.handle_announcement(other, 0.2) is Transition.NONE


def test_announcements_of_other_services_are_ignored():
    target = new_target()
    assert (
        target.handle_announcement(announcement(service="money"), 0.0)
        is Transition.NONE
    )
    assert target.phase is localtarget.Phase.ABSENT


def test_target_is_silent_only_if_it_answers_nothing():
    target = new_target()
    target.handle_announcement(announcement(1), 0.0)
    assert target.check_silence(2.0, 3.0) is Transition.NONE
    assert target.check_silence(3.5, 4.0) is Transition.NONE
    assert target.check_silence(2.0, 4.0) is Transition.SILENT
    assert target.check_silence(2.0, 4.1) is Transition.NONE
    assert (
        target.handle_announcement(announcement(2), 5.0) is Transition.RETURNED
    )


def test_refused_connection_means_lost():
    target = new_target()
    target.handle_announcement(announcement(1), 0.0)
    assert target.handle_connection_refused() is Transition.LOST
    assert target.handle_connection_refused() is Transition.NONE


def _be_silent(target):
    assert target.check_silence(0.0, 10.0) is Transition.SILENT


def _lose(target):
    assert target.handle_connection_refused() is Transition.LOST


def _go_on(target):
    pass


@pytest.mark.parametrize("pause", [_be_silent, _lose, _go_on])
@pytest.mark.parametrize("final", [True, False])
def test_a_process_that_has_left_never_serves_again(pause, final):
    # After a silence the daemon took a late announcement for a return.
    target = new_target()
    target.handle_announcement(announcement(1), 0.0)
    if final:
        last = localtarget.Announcement("i-1", final=True)
    else:
        last = announcement(3, leaving=True)
    target.handle_announcement(last, 0.5)
    pause(target)
    for sequence in (2, 4, 5):
        target.handle_announcement(announcement(sequence), 11.0)
        assert target.phase is not localtarget.Phase.SERVING


@pytest.mark.parametrize("born", [0, 100])
def test_a_leaving_before_the_first_announcement_binds(born):
    target = new_target()
    target.handle_announcement(
        localtarget.Announcement("i-1", born_ms=born, final=True), 0.0
    )
    target.handle_announcement(announcement(4), 0.1)
    assert target.phase is localtarget.Phase.LEAVING


def test_a_later_process_under_the_id_of_one_that_has_left_serves():
    target = new_target()
    target.handle_announcement(
        localtarget.Announcement("i-1", born_ms=100, final=True), 0.0
    )
    target.handle_announcement(announcement(1, born=200), 0.1)
    assert target.phase is localtarget.Phase.SERVING


def test_the_leaving_of_an_earlier_process_leaves_a_later_one_in_use():
    target = new_target()
    target.handle_announcement(announcement(1, born=200), 0.0)
    earlier = localtarget.Announcement("i-1", born_ms=100, final=True)
    assert target.handle_announcement(earlier, 0.1) is Transition.NONE
    assert target.phase is localtarget.Phase.SERVING


def test_a_leaving_that_others_know_of_ends_the_use():
    target = new_target()
    first = announcement(1)
    target.handle_announcement(first, 0.0)
    assert target.record_left(first.process, 0.1) is Transition.LEAVING
    assert target.record_left(first.process, 0.2) is Transition.NONE
    assert target.phase is localtarget.Phase.LEAVING
