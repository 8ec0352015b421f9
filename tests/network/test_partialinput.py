from tamarackgap.network import partialinput


def test_reads_that_complete_nothing_add_up():
    counts = partialinput.PartialInput()
    for _ in range(3):
        counts.record_read(1000)
    assert counts.held == counts.since_complete == 3000


def test_what_was_passed_on_is_not_held():
    counts = partialinput.PartialInput()
    counts.record_read(1000)
    counts.record_complete(1100)
    counts.record_complete(300)
    counts.record_read(600)
    assert counts.held == counts.since_complete == 0


def test_the_rest_of_a_read_with_the_end_of_an_element_counts_as_held():
    counts = partialinput.PartialInput()
    counts.record_complete(100)
    counts.record_read(1000)
    assert (counts.held, counts.since_complete) == (900, 0)
    counts.record_read(500)
    assert (counts.held, counts.since_complete) == (1400, 500)


def test_nothing_is_held_after_the_message():
    counts = partialinput.PartialInput()
    counts.record_read(1000)
    counts.clear()
    assert counts.held == counts.since_complete == 0
