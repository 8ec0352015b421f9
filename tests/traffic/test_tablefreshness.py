import pytest

from tamarackgap.traffic import tablefreshness


class Freshness:
    """A daemon's knowledge of version 5, on a clock that the test sets."""

    def __init__(self):
        self.now = 1000.0
        self.freshness = tablefreshness.TableFreshness(lambda: self.now)
        self.freshness.set_version(5)


@pytest.fixture
def daemon():
    return Freshness()


def test_a_table_without_proof_is_of_infinite_age(daemon):
    assert daemon.freshness.age == float("inf")


def test_the_age_counts_from_the_last_read(daemon):
    daemon.freshness.record_read(999.0)
    daemon.freshness.record_read(998.0)
    daemon.now = 1003.0
    assert daemon.freshness.age == 4.0


def test_the_proof_of_a_daemon_with_the_same_version_holds_here(daemon):
    assess = daemon.freshness.assess
    assert assess(5, 999.5, "a:1") is tablefreshness.Claim.NOT_NEWER
    assert daemon.freshness.age == 0.5
    assert assess(4, 999.9, "a:1") is tablefreshness.Claim.NOT_NEWER
    assert daemon.freshness.age == 0.5


def test_a_version_written_since_the_last_proof_is_newer(daemon):
    daemon.freshness.record_read(999.0)
    claim = daemon.freshness.assess(6, 999.1, "a:1")
    assert claim is tablefreshness.Claim.NEWER
    assert daemon.freshness.age == 1.0


def test_only_later_answers_to_others_are_news(daemon):
    assert daemon.freshness.hear_answer(990.0)
    assert not daemon.freshness.hear_answer(990.0)
    assert not daemon.freshness.hear_answer(989.0)
    assert daemon.freshness.hear_answer(991.0)


def test_a_version_that_the_store_did_not_show_is_doubtful(daemon):
    # A process of an earlier deployment handed on its own configuration.
    daemon.freshness.record_read(999.0)
    claim = daemon.freshness.assess(6, 998.0, "a:1")
    assert claim is tablefreshness.Claim.DOUBTFUL


def test_a_version_from_the_future_is_doubtful(daemon):
    daemon.freshness.record_read(999.0)
    claim = daemon.freshness.assess(6, 5000.0, "a:1")
    assert claim is tablefreshness.Claim.DOUBTFUL
    assert not daemon.freshness.hear_answer(5000.0)
    daemon.freshness.assess(5, 5000.0, "a:1")
    assert daemon.freshness.as_of <= daemon.now


def test_a_doubtful_version_is_refuted_by_a_later_read_only(daemon):
    assess = daemon.freshness.assess
    daemon.freshness.record_read(999.0)
    assess(6, 998.0, "a:1")
    daemon.freshness.record_read(999.5)
    assert assess(6, 998.0, "a:1") is tablefreshness.Claim.DOUBTFUL
    daemon.freshness.record_read(1000.5)
    assert assess(6, 998.0, "a:1") is tablefreshness.Claim.NOT_NEWER
    # Another version, and the same one with a later proof.
    assert assess(7, 998.0, "a:1") is tablefreshness.Claim.DOUBTFUL
    assert assess(6, 1000.6, "b:1") is tablefreshness.Claim.NEWER


def test_a_doubtful_version_that_the_store_shows_is_in_force(daemon):
    daemon.freshness.record_read(999.0)
    daemon.freshness.assess(6, 998.0, "a:1")
    daemon.freshness.set_version(6)
    daemon.freshness.record_read(1000.5)
    claim = daemon.freshness.assess(6, 1000.2, "a:1")
    assert claim is tablefreshness.Claim.NOT_NEWER
    assert daemon.freshness.assess(7, 1000.6, "a:1") is (
        tablefreshness.Claim.NEWER
    )


def test_the_proof_of_a_version_holds_once_it_is_in_force(daemon):
    # All who got a table from another daemon were doubted by the next ones.
    daemon.freshness.record_read(990.0)
    daemon.freshness.assess(6, 999.0, "a:1")
    assert daemon.freshness.as_of == 990.0
    daemon.freshness.set_version(6)
    assert daemon.freshness.as_of == 999.0
