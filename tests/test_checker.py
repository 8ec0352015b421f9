"""Checks that the checker reports each kind of violation."""

import pytest

from demo import checker, load
from standins import target as target_lib


def make_result(request="r1", verdict="answered", **changed):
    values = {
        "key": "k",
        "operation": "POST pay",
        "idempotent": False,
        "reason": "",
        "answer_error": "",
        "attempts": 1,
        "started_at": 0.0,
        "latency_s": 0.1,
        "verdicts": (verdict,),
        **changed,
    }
    return load.Result(request, verdict=verdict, **values)


def make_run(
    request="r1", target="pay-0", begun=1.0, at=1.1, fence=1, **changed
):
    values = {
        "run": "x",
        "key": "k",
        "slot": 3,
        "owner": "o",
        "operation": "POST /pay",
        **changed,
    }
    return target_lib.RunRecord(
        request, fence=fence, begun=begun, at=at, target=target, **values
    )


VALID = checker.History([make_result()], [make_run()])


def test_a_valid_history_has_no_violations():
    assert not any(checker.find_violations(VALID).values())


CASES = [
    ("two_owners", [make_run(), make_run("r2", "pay-1", 1.05, 1.2, 2)], {}),
    ("fences_fall", [make_run(fence=2), make_run("r2", at=2.0, begun=1.9)], {}),
    ("fences_fall", [make_run(), make_run("r2", "pay-1", 1.9, 2.0)], {}),
    ("doubled", [make_run(), make_run(begun=2.0, at=2.1)], {}),
    (
        "wrong_answers",
        [make_run()],
        {"results": [make_result(answer_error="not whole")]},
    ),
    (
        "ran_though_not",
        [make_run()],
        {"results": [make_result(verdict="not-run")]},
    ),
    ("answered_unrun", [], {}),
    (
        "work_after_leaving",
        [make_run(begun=9.0, at=9.1)],
        {"leave_started_at": {"pay-0": 5.0}},
    ),
    ("cut_by_shutdown", [make_run()], {"drain_exit_codes": {"pay-0": None}}),
    (
        "reverted_edits",
        [make_run()],
        {"edited_weights": {"a": 5}, "weights_in_force": {"pay-0": {"a": 4}}},
    ),
]


@pytest.mark.parametrize(("check", "runs", "changed"), CASES)
def test_a_violation_is_found_by_its_check_alone(check, runs, changed):
    values = {"results": [make_result()], "runs": runs, **changed}
    violations = checker.find_violations(checker.History(**values))
    assert [name for name, texts in violations.items() if texts] == [check]
