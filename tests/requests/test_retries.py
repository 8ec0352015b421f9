from tamarackgap.requests import retries


def test_each_request_adds_a_share_of_a_retry():
    budget = retries.RetryBudget(ratio=0.25, burst=1.0)
    assert budget.withdraw()
    assert not budget.withdraw()
    for _ in range(4):
        budget.deposit()
    assert budget.withdraw()
    assert not budget.withdraw()


def test_tokens_are_limited_by_the_burst():
    budget = retries.RetryBudget(ratio=1.0, burst=3.0)
    for _ in range(50):
        budget.deposit()
    assert budget.tokens == 3.0
