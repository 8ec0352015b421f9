from tamarackgap.traffic import beside

Change = beside.Change


def said(sequence=1, instance="i-1", born=100, **fields):
    values = {"service": "seats", "capacity": 4, **fields}
    return beside.Announcement(
        instance, born_ms=born, sequence=sequence, **values
    )


def subject():
    return beside.Beside("seats", 1.0, 0.0)


def test_a_first_announcement_begins_a_life():
    target = subject()
    assert target.announced(said(), 0.1) is Change.NEW_LIFE
    assert target.phase is beside.Phase.SERVING
    assert target.announced(said(2), 1.0) is Change.NONE


def test_a_late_announcement_changes_nothing():
    target = subject()
    target.announced(said(5), 0.0)
    assert target.announced(said(4, leaving=True), 0.1) is Change.NONE
    assert target.phase is beside.Phase.SERVING


def test_an_announcement_of_an_earlier_life_changes_nothing():
    target = subject()
    target.announced(said(1, instance="i-2", born=200), 0.0)
    assert target.announced(said(9), 0.1) is Change.NONE
    assert target.instance == "i-2"


def test_the_same_id_may_begin_another_life():
    target = subject()
    target.announced(said(9), 0.0)
    assert target.announced(said(1, born=300), 0.1) is Change.NEW_LIFE


def test_leaving_is_told_once_and_is_final():
    target = subject()
    target.announced(said(1), 0.0)
    assert target.announced(said(2, leaving=True), 0.1) is Change.LEAVING
    assert target.announced(said(3, leaving=True), 0.2) is Change.NONE
    assert target.announced(said(4), 0.3) is Change.NONE
    assert target.phase is beside.Phase.LEAVING


def test_one_that_signs_off_is_leaving():
    target = subject()
    target.announced(said(1), 0.0)
    final = beside.Announcement("i-1", final=True)
    assert target.announced(final, 0.1) is Change.LEAVING
    other = beside.Announcement("i-0", final=True)
    assert target.announced(other, 0.2) is Change.NONE


def test_others_services_are_not_used():
    target = subject()
    assert target.announced(said(service="money"), 0.0) is Change.NONE
    assert target.phase is beside.Phase.ABSENT


def test_silence_counts_only_where_nothing_is_answered():
    target = subject()
    target.announced(said(1), 0.0)
    assert target.check(2.0, 3.0) is Change.NONE
    assert target.check(3.5, 4.0) is Change.NONE
    assert target.check(2.0, 4.0) is Change.SILENT
    assert target.check(2.0, 4.1) is Change.NONE
    assert target.announced(said(2), 5.0) is Change.BACK


def test_a_refused_connection_is_the_end_at_once():
    target = subject()
    target.announced(said(1), 0.0)
    assert target.lost() is Change.LOST
    assert target.lost() is Change.NONE
