from tamarackgap.network import bytebudget

LIMIT = 1_000_000


def test_a_message_that_does_not_grow_has_room_in_a_full_budget():
    budget = bytebudget.ByteBudget(LIMIT)
    small, large = bytebudget.Charge(budget), bytebudget.Charge(budget)
    assert small.hold(1000)
    assert not large.hold(LIMIT)
    assert budget.refusals == 1
    assert small.hold(1000)
    assert small.hold(500)
    assert not small.hold(501)


def test_small_messages_have_room_where_large_ones_have_not():
    budget = bytebudget.ByteBudget(LIMIT)
    first, second = bytebudget.Charge(budget), bytebudget.Charge(budget)
    assert first.hold(700_000)
    assert not second.hold(100_000)
    second.release()
    assert second.hold(60_000)


def test_released_bytes_are_free_again():
    budget = bytebudget.ByteBudget(LIMIT)
    charges = [bytebudget.Charge(budget) for _ in range(20)]
    for charge in charges:
        charge.hold(60_000)
    assert budget.used == 20 * 60_000
    for charge in charges:
        charge.release()
        charge.release()
    assert budget.used == 0


def test_reserved_messages_have_room_in_a_full_budget():
    budget = bytebudget.ByteBudget(LIMIT)
    reserved = budget.reserve(500_000)
    data = bytebudget.Charge(budget)
    assert not data.hold(2 * LIMIT)
    control = bytebudget.Charge(reserved)
    assert control.hold(400_000)
    assert budget.used == 2 * LIMIT + 400_000
    assert not control.hold(600_000)
    control.release()
    assert budget.used == 2 * LIMIT


def test_reserved_messages_leave_less_room_for_others():
    budget = bytebudget.ByteBudget(LIMIT)
    control = bytebudget.Charge(budget.reserve(LIMIT))
    assert control.hold(LIMIT)
    assert not bytebudget.Charge(budget).hold(60_000)
