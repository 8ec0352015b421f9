from tamarackgap.ownership import loads


def test_load_is_unknown_once_its_members_slots_have_changed():
    member_loads = loads.MemberLoads()
    member_loads.record("a", 5.0, 0.0, revision=7)
    member_loads.record("b", 5.0, 0.0, revision=8)
    revisions = {"a": 7, "b": 9}
    assert member_loads.recent(1.0, revisions.__getitem__) == {"a": 5.0}
    member_loads.record("b", 6.0, 0.5, revision=9)
    assert member_loads.recent(1.0, revisions.__getitem__) == {
        "a": 5.0,
        "b": 6.0,
    }


def test_speeds_are_known_while_loads_are_not():
    member_loads = loads.MemberLoads()
    member_loads.record("a", None, 5.0, 140.0)
    member_loads.record("b", 7.0, 5.0)
    assert member_loads.recent(6.0) == {"b": 7.0}
    assert member_loads.speeds() == {"a": 140.0}
    assert not member_loads.recent(12.0)
    assert not member_loads.speeds()


def test_old_loads_are_dropped():
    member_loads = loads.MemberLoads()
    member_loads.record("a", 5.0, 0.0)
    member_loads.record("b", 6.0, 4.0)
    assert member_loads.recent(5.0) == {"a": 5.0, "b": 6.0}
    assert member_loads.recent(8.0) == {"b": 6.0}
    member_loads.record("b", None, 8.0)
    assert member_loads.recent(8.0) == {}


def test_a_load_that_took_longer_does_not_replace_a_later_one():
    member_loads = loads.MemberLoads()
    member_loads.record("a", None, 5.0)
    member_loads.record("a", 7.0, 4.0)
    assert member_loads.recent(5.0) == {}
    member_loads.record("a", 8.0, 6.0)
    member_loads.record("a", 7.0, 4.0)
    assert member_loads.recent(6.0) == {"a": 8.0}


def test_moves_per_minute_are_limited():
    budget = loads.MoveBudget(60, 0.0)
    budget.spend(60)
    assert budget.tokens(0.0) == 0
    assert budget.tokens(10.0) == 10
    budget.resize(6, 10.0)
    assert budget.tokens(10.0) == 6
    assert budget.tokens(999.0) == 6
