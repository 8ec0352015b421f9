from tamarackgap.ownership import loads


def test_a_load_that_is_old_is_unknown():
    subject = loads.Loads()
    subject.note("a", 5.0, 0.0)
    subject.note("b", 6.0, 4.0)
    assert subject.fresh(5.0) == {"a": 5.0, "b": 6.0}
    assert subject.fresh(8.0) == {"b": 6.0}
    subject.note("b", None, 8.0)
    assert subject.fresh(8.0) == {}


def test_moves_are_bounded_by_the_minute():
    budget = loads.MoveBudget(60, 0.0)
    budget.spend(60)
    assert budget.tokens(0.0) == 0
    assert budget.tokens(10.0) == 10
    budget.resize(6, 10.0)
    assert budget.tokens(10.0) == 6
    assert budget.tokens(999.0) == 6
