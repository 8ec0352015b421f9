from tamarackgap.traffic import localtarget

Transition = localtarget.Transition


def said(sequence=1, instance="i-1", born=100, **fields):
    values = {"service": "seats", "capacity": 4, **fields}
    return localtarget.Announcement(
        instance, born_ms=born, sequence=sequence, **values
    )


def subject():
    return localtarget.LocalTarget("seats", 1.0, 0.0)


def test_a_first_announcement_begins_a_life():
    target = subject()
    assert target.handle_announcement(said(), 0.1) is Transition.NEW_PROCESS
    assert target.phase is localtarget.Phase.SERVING
    assert target.handle_announcement(said(2), 1.0) is Transition.NONE


def test_a_late_announcement_changes_nothing():
    target = subject()
    target.handle_announcement(said(5), 0.0)
    assert (
        target.handle_announcement(said(4, leaving=True), 0.1)
        is Transition.NONE
    )
    assert target.phase is localtarget.Phase.SERVING


def test_an_announcement_of_an_earlier_life_changes_nothing():
    target = subject()
    target.handle_announcement(said(1, instance="i-2", born=200), 0.0)
    assert target.handle_announcement(said(9), 0.1) is Transition.NONE
    assert target.instance == "i-2"


def test_the_same_id_may_begin_another_life():
    target = subject()
    target.handle_announcement(said(9), 0.0)
    assert (
        target.handle_announcement(said(1, born=300), 0.1)
        is Transition.NEW_PROCESS
    )


def test_leaving_is_told_once_and_is_final():
    target = subject()
    target.handle_announcement(said(1), 0.0)
    assert (
        target.handle_announcement(said(2, leaving=True), 0.1)
        is Transition.LEAVING
    )
    assert (
        target.handle_announcement(said(3, leaving=True), 0.2)
        is Transition.NONE
    )
    assert target.handle_announcement(said(4), 0.3) is Transition.NONE
    assert target.phase is localtarget.Phase.LEAVING


def test_one_that_signs_off_is_leaving():
    target = subject()
    target.handle_announcement(said(1), 0.0)
    final = localtarget.Announcement("i-1", final=True)
    assert target.handle_announcement(final, 0.1) is Transition.LEAVING
    other = localtarget.Announcement("i-0", final=True)
    assert target.handle_announcement(other, 0.2) is Transition.NONE


def test_others_services_are_not_used():
    target = subject()
    assert (
        target.handle_announcement(said(service="money"), 0.0)
        is Transition.NONE
    )
    assert target.phase is localtarget.Phase.ABSENT


def test_silence_counts_only_where_nothing_is_answered():
    target = subject()
    target.handle_announcement(said(1), 0.0)
    assert target.check_silence(2.0, 3.0) is Transition.NONE
    assert target.check_silence(3.5, 4.0) is Transition.NONE
    assert target.check_silence(2.0, 4.0) is Transition.SILENT
    assert target.check_silence(2.0, 4.1) is Transition.NONE
    assert target.handle_announcement(said(2), 5.0) is Transition.RETURNED


def test_a_refused_connection_is_the_end_at_once():
    target = subject()
    target.handle_announcement(said(1), 0.0)
    assert target.handle_connection_refused() is Transition.LOST
    assert target.handle_connection_refused() is Transition.NONE
